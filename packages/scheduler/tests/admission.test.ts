/**
Gates refuse jobs that would be too late to be of use, by numbers that the lease holder publishes.
*/
import {describe, expect, test} from 'vitest';
import {SeededRandom, silentLogger, VirtualClock} from '@poplarnotch/common';
import {type AdmissionControl, DrainTimeAdmission} from '../src/admission/admission-control.js';
import {loadOfQueue, type PoolLoad, poolLoadsOf} from '../src/admission/pool-loads.js';
import {createOrderPolicy} from '../src/core/order/order-policies.js';
import {reduceScheduler, SchedulerState, type SubmitResult} from '../src/index.js';
import {JobService} from '../src/jobs/job-service.js';
import {type JobStore} from '../src/jobs/job-store.js';
import {type JobView, type KnownJob} from '../src/jobs/job-view.js';
import {PublicationReader, publicationWrites, type PublishedQueues} from '../src/shell/published-queues.js';
import {
	acceptedChange, jobOf, lastingStepOf, stepOf,
} from './support/jobs.js';
import {eitherWay, playOverload} from './support/overload-model.js';
import {configurationOf, pool, queueOf} from './support/scheduler-simulation.js';

/** A job with an objective of 2 x 700 + 600 = 2000 ms. */
const job = jobOf(1, {steps: [stepOf({estimateMs: 700})]});

const loadOf = (drainMs: number, overShare: readonly string[] = []): PoolLoad => ({
	pool, priority: 0, drainMs: [drainMs, drainMs, drainMs, drainMs, drainMs], overShare,
});

const admissionWith = (drawn: number): AdmissionControl => new DrainTimeAdmission({next: () => drawn});

const isRefused = (load: PoolLoad | undefined, drawn: number, submitted = job): boolean => admissionWith(drawn).decide(submitted, queueOf(), load).type === 'refused';

describe('the decision of a gate', () => {
	// Guards against gates that refuse and accept together, since all of them know the same numbers.
	test('refuses customers beyond their share with a probability that rises from two to three times the objective', () => {
		const refused = [3900, 4500, 5500, 6100].map(drainMs => [0.1, 0.5, 0.9].map(drawn => isRefused(loadOf(drainMs, ['altan']), drawn)));
		expect(refused).toEqual([[false, false, false], [true, false, false], [true, true, false], [true, true, true]]);
	});

	test('refuses customers within their share last', () => {
		expect(isRefused(loadOf(4900, ['altan']), 0.1)).toBe(true);
		expect(isRefused(loadOf(4900), 0)).toBe(false);
		expect(isRefused(loadOf(6100), 0.99)).toBe(true);
	});

	test('admits jobs if the load is not known, and lasting and scheduled jobs', () => {
		expect(isRefused(undefined, 0)).toBe(false);
		expect(isRefused(loadOf(60_000), 0, jobOf(2, {steps: [lastingStepOf()]}))).toBe(false);
		expect(isRefused(loadOf(60_000), 0, {...job, recurrence: {count: 2, firstDueWallMs: 0, periodMs: 1000}})).toBe(false);
	});

	// Guards against small jobs that are refused for the backlog of large ones, which they precede.
	test('counts the work of chains up to about the job\'s own', () => {
		expect(isRefused({...loadOf(0), drainMs: [0, 0, 0, 60_000, 60_000]}, 0)).toBe(false);
	});

	// Guards against refused callers that return together.
	test('asks the caller to come back after the drain time less the objective, spread by a quarter', () => {
		expect(admissionWith(0).decide(job, queueOf(), loadOf(8000))).toMatchObject({retryAfterMs: 6000});
		expect(admissionWith(0.8).decide(job, queueOf(), loadOf(8000))).toMatchObject({retryAfterMs: 7200});
	});
});

describe('the published load', () => {
	const stateWith = (ageMs: number): SchedulerState => {
		const state = new SchedulerState();
		const time = {nowMs: 100_000, wallMs: 100_000};
		reduceScheduler(state, {type: 'configured', configuration: configurationOf(1), ...time});
		reduceScheduler(state, {
			type: 'workersListed', workers: [{
				workerId: 'w', pool, address: 'w', dataCentre: 'dc', isDraining: false, capacity: {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0}, labels: [], rack: 'r', bornWallMs: 1, coldLeftMs: 0,
			}], ...time,
		});
		const jobs = [
			...Array.from({length: 10}, (_value, index) => jobOf(index + 1, {acceptedWallMs: 100_000 - ageMs, steps: [stepOf({taskCount: 8, estimateMs: 1000})]})),
			jobOf(20, {acceptedWallMs: 100_000, steps: [stepOf({taskCount: 8, estimateMs: 3000})]}),
		];
		reduceScheduler(state, {type: 'jobsChanged', changes: jobs.map(accepted => acceptedChange(accepted)), ...time});
		reduceScheduler(state, {type: 'leaseWon', fencingToken: 1, ...time});
		reduceScheduler(state, {
			type: 'polled', fencingToken: 1, workerId: 'w', incarnation: 1, sentAtMs: 100_000, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: 0, bornWallMs: 1, finished: [], running: [],
				},
			}, ...time,
		});
		return state;
	};

	test('is the time that the pool needs for the work that waits, by chain length', () => {
		// 80 tasks of 1 s, and 8 of 3 s, on a worker with 8 slots. The default factors give 1.25 times the announced durations.
		expect(loadOfQueue(poolLoadsOf(stateWith(0), 100_000), queueOf())?.drainMs).toEqual([12_500, 12_500, 16_250, 16_250, 16_250]);
	});

	// Guards against refusing jobs for work that comes after them.
	test('leaves out jobs that cannot be in time', () => {
		expect(loadOfQueue(poolLoadsOf(stateWith(2500), 100_000), queueOf())?.drainMs).toEqual([0, 0, 3750, 3750, 3750]);
	});

	test('of a queue is that of its own priority, or of the next higher one with waiting work', () => {
		const loads = [{...loadOf(10), priority: 0}, {...loadOf(30, ['altan']), priority: 2}, {...loadOf(90), pool: 'other', priority: 1}];
		const drainMsOf = (priority: number): number | undefined => loadOfQueue(loads, queueOf({priority}))?.drainMs[0];
		expect([0, 1, 2, 3].map(priority => drainMsOf(priority))).toEqual([10, 10, 30, 30]);
		expect(loadOfQueue(loads, queueOf({priority: 3}))?.overShare).toEqual([]);
		expect(loadOfQueue(loads, queueOf({pool: 'idle'}))).toBeUndefined();
	});
});

describe('a publication', () => {
	const maxRowBytes = 4000;
	const publishedWith = (queues: number): PublishedQueues => ({
		jobsByQueue: new Map(Array.from({length: queues}, (_value, index) => [`queue-${index}`, index])),
		loads: [loadOf(10, Array.from({length: queues}, (_value, index) => `customer-${index}`))],
		times: {loadsAtMs: 100_000, jobsAtMs: 99_000},
	});

	const changesOf = (published: PublishedQueues, publication: string, formerRows = 0) => publicationWrites(published, {publication, maxRowBytes, formerRows}).flat()
		.map(write => ({key: write.key, value: write.type === 'put' ? write.value : undefined, version: 1}));

	test.each([0, 1, 60, 5000])('of %i queues and customers is read as written, in rows below the size limit', queues => {
		const published = publishedWith(queues);
		const changes = changesOf(published, '1.1');
		expect(Math.max(...changes.map(({value}) => JSON.stringify(value).length))).toBeLessThanOrEqual(maxRowBytes);
		const reader = new PublicationReader();
		const read = changes.map(change => reader.apply(change));
		expect(read.slice(0, -1).every(each => each === undefined)).toBe(true);
		expect(read.at(-1)).toEqual(published);
	});

	// Guards against counts that are put together from two publications.
	test('is used only once all of its rows are read', () => {
		const reader = new PublicationReader();
		const [large, small] = [changesOf(publishedWith(1000), '1.1'), changesOf(publishedWith(2), '1.2', 30)];
		large.map(change => reader.apply(change));
		const next = changesOf(publishedWith(1000), '1.3');
		expect(next.slice(1).map(change => reader.apply(change)).every(each => each === undefined)).toBe(true);
		expect(reader.apply(next[0]!)).toEqual(publishedWith(1000));
		expect(small.map(change => reader.apply(change))[0]).toEqual(publishedWith(2));
		expect(reader.rowCount).toBe(1);
	});
});

describe('a gate of an overloaded queue', () => {
	const submitWith = async (stored: KnownJob | undefined, load: PoolLoad | undefined): Promise<{readonly result: SubmitResult; readonly storedIds: readonly string[]}> => {
		const state = new SchedulerState();
		reduceScheduler(state, {
			type: 'configured', configuration: configurationOf(1), nowMs: 0, wallMs: 0,
		});
		const storedIds: string[] = [];
		const store = {
			async accept({jobId}: {readonly jobId: string}) {
				storedIds.push(jobId);
				return 'accepted';
			},
		};
		const service = new JobService({
			state: () => state, store: store as unknown as JobStore, view: () => ({find: async () => stored}) as unknown as JobView, configurationAgeMs: () => 0, maxConfigurationAgeMs: 1000, admission: admissionWith(0), loadOf: () => load, clock: new VirtualClock(), log: silentLogger,
		});
		return {result: await service.submit(job), storedIds};
	};

	test('does not store the jobs that it refuses', async () => {
		expect(await submitWith(undefined, loadOf(8000))).toEqual({result: {type: 'overloaded', retryAfterMs: 6000}, storedIds: []});
		expect(await submitWith(undefined, undefined)).toEqual({result: 'accepted', storedIds: [job.jobId]});
	});

	// Guards against telling a caller that a job was not stored whose first attempt, through another gate, was stored without an answer.
	test('accepts a job again that is stored', async () => {
		expect(await submitWith({customer: 'altan', state: 'queued', isEnded: false}, loadOf(8000))).toEqual({result: 'accepted', storedIds: []});
	});
});

// Guards against refusing jobs that would have been in time. At eight times the capacity, a part of the burst is refused.
test('refusals cost no more than a twentieth of what callers get', () => {
	const load = {
		seed: 1, burstLoad: 8, burstMs: 6000, gapMs: 18_000, bursts: 1, drawFactor: eitherWay,
	};
	const accepting = playOverload(createOrderPolicy('likely-in-time-first'), load);
	const refusing = playOverload(createOrderPolicy('likely-in-time-first'), load, new DrainTimeAdmission(new SeededRandom(5)));
	expect(refusing.refusedPercent).toBeGreaterThan(3);
	expect(refusing.valuePercent).toBeGreaterThan(0.95 * accepting.valuePercent);
	expect(refusing.unfinished).toBe(0);
});
