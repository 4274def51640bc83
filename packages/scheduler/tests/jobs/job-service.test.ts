/**
Answers to callers while the store does not answer.
*/
import {expect, test} from 'vitest';
import {silentLogger, VirtualClock} from '@poplarnotch/common';
import {JobService} from '../../src/jobs/job-service.js';
import {type JobStore} from '../../src/jobs/job-store.js';
import {ReplicaJobView} from '../../src/jobs/job-view.js';
import {admitAll, reduceScheduler, SchedulerState} from '../../src/index.js';
import {jobOf} from '../support/jobs.js';
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
		type: 'jobsChanged', changes: [{type: 'accepted', job, rowKey: 'row'}], nowMs: 0, wallMs: 0,
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
