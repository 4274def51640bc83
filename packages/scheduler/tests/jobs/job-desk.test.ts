/**
What callers are told of a job while the store does not answer.
*/
import {expect, test} from 'vitest';
import {silentLogger, VirtualClock} from '@poplarnotch/common';
import {JobDesk} from '../../src/jobs/job-desk.js';
import {type JobStore} from '../../src/jobs/job-store.js';
import {reduceScheduler, SchedulerState} from '../../src/index.js';
import {jobOf} from '../support/jobs.js';
import {configurationOf, queueOf} from '../support/scheduler-world.js';

const target = {queue: queueOf(), customer: 'altan'};
const job = jobOf(1);

/** A read that the store does not answer. */
const never = async (): Promise<void> => new Promise(() => {
	// Stays open.
});

const configurationMaxAgeMs = 1900;

/** A desk whose store does not answer, and which knows one job. */
const deskOf = (clock: VirtualClock, ageMs: number): JobDesk => {
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'jobsChanged', changes: [{type: 'accepted', job, rowKey: 'row'}], nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'configured', configuration: configurationOf(3), nowMs: 0, wallMs: 0,
	});
	return new JobDesk({
		// Nothing is stored in these tests.
		state: () => state, store: {} as unknown as JobStore, refresh: never, ageMs: () => ageMs, configurationAgeMs: () => ageMs, maxConfigurationAgeMs: configurationMaxAgeMs, clock, log: silentLogger,
	});
};

const askWhile = async (ageMs: number, jobId: string): Promise<string> => {
	const clock = new VirtualClock();
	const answer = deskOf(clock, ageMs).status(jobId, target);
	clock.advance(400);
	return answer;
};

test('a job that is known is shown as it was known lately', async () => {
	expect(await askWhile(2000, job.jobId)).toBe('queued');
});

test('what was known long ago is not shown', async () => {
	expect(await askWhile(4000, job.jobId)).toBe('unavailable');
});

test('a job that is not known is not said to be absent', async () => {
	expect(await askWhile(2000, 'ffff')).toBe('unavailable');
});

test('calls are not judged by a configuration that may have been replaced', () => {
	const desk = (ageMs: number) => deskOf(new VirtualClock(), ageMs).admit('draws.example', '/q/1', undefined).type;
	expect(desk(configurationMaxAgeMs)).toBe('admitted');
	expect(desk(configurationMaxAgeMs + 1)).toBe('configuration-stale');
});
