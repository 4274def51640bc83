/**
Answers to callers while the store does not answer.
*/
import {expect, test} from 'vitest';
import {silentLogger, VirtualClock} from '@poplarnotch/common';
import {JobService} from '../../src/jobs/job-service.js';
import {type AcceptResult, type JobStore} from '../../src/jobs/job-store.js';
import {ReplicaJobView} from '../../src/jobs/job-view.js';
import {admitAll, reduceScheduler, SchedulerState} from '../../src/index.js';
import {acceptedChange, jobOf} from '../support/jobs.js';
import {configurationOf, queueOf} from '../support/scheduler-simulation.js';

const target = {queue: queueOf(), customer: 'altan'};
const job = jobOf(1);

/** A read to which the store never answers. */
const neverResolves = async (): Promise<void> => new Promise(() => {
	// Never settles.
});

const configurationMaxAgeMs = 1900;

/** A job service whose store does not answer and which knows one job. */
const serviceOf = (clock: VirtualClock, ageMs: number): JobService => {
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})], nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'configured', configuration: configurationOf(3), nowMs: 0, wallMs: 0,
	});
	return new JobService({
		// These tests store nothing.
		state: () => state, store: {} as unknown as JobStore, view: () => new ReplicaJobView({state: () => state, refresh: neverResolves, ageMs: () => ageMs}), configurationAgeMs: () => ageMs, maxConfigurationAgeMs: configurationMaxAgeMs, admission: admitAll, loadOf: () => undefined, clock, log: silentLogger,
	});
};

const statusAt = async (ageMs: number, jobId: string): Promise<string> => {
	const clock = new VirtualClock();
	const answer = serviceOf(clock, ageMs).status(jobId, target);
	clock.advance(400);
	return answer;
};

test('a recently confirmed job state is shown', async () => {
	expect(await statusAt(2000, job.jobId)).toBe('queued');
});

test('a job state confirmed too long ago is not shown', async () => {
	expect(await statusAt(4000, job.jobId)).toBe('unavailable');
});

test('an unknown job is reported as unavailable, not as absent', async () => {
	expect(await statusAt(2000, 'ffff')).toBe('unavailable');
});

test('calls are not answered by a configuration that may have been replaced', () => {
	const admit = (ageMs: number) => serviceOf(new VirtualClock(), ageMs).admit('draws.example', '/q/1', undefined).type;
	expect(admit(configurationMaxAgeMs)).toBe('admitted');
	expect(admit(configurationMaxAgeMs + 1)).toBe('configuration-stale');
});

/** A job service whose store gives the results in turn, or none at all, with what is known of the store. */
const submittingService = (clock: VirtualClock, results: AcceptResult[]) => {
	const store = {isAway: false, submissions: 0};
	const service = new JobService({
		state: () => new SchedulerState(), store: {
			async accept() {
				store.submissions++;
				const result = results.shift();
				return result ?? neverResolves();
			},
		} as unknown as JobStore, view: () => new ReplicaJobView({state: () => new SchedulerState(), refresh: neverResolves, ageMs: () => 0}), configurationAgeMs: () => 0, admission: admitAll, loadOf: () => undefined, maxConfigurationAgeMs: configurationMaxAgeMs, isStoreAway: () => store.isAway, clock, log: silentLogger,
	});
	return {store, service};
};

test('while the store is away, a job is refused at once and nothing is sent', async () => {
	const {store, service} = submittingService(new VirtualClock(), []);
	store.isAway = true;
	expect(await service.submit(job)).toBe('not-accepted');
	expect(store.submissions).toBe(0);
	store.isAway = false;
	void service.submit(job);
	expect(store.submissions).toBe(1);
});

test('a job that an earlier attempt may have stored is not reported as not stored', async () => {
	const clock = new VirtualClock();
	const {store, service} = submittingService(clock, ['unknown', 'unavailable', 'unavailable']);
	expect(await service.submit(job)).toBe('unknown');
	expect(await service.submit(job)).toBe('unknown');
	store.isAway = true;
	expect(await service.submit(job)).toBe('unknown');
	expect(await service.submit(jobOf(2))).toBe('not-accepted');
	clock.advance(30_000);
	expect(await service.submit(job)).toBe('not-accepted');
});

test('a job whose first attempt is still pending is not reported as not stored', async () => {
	const {store, service} = submittingService(new VirtualClock(), []);
	void service.submit(job);
	store.isAway = true;
	expect(await service.submit(job)).toBe('unknown');
});
