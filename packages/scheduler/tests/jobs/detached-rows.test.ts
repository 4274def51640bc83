/**
The rows of a job that are read in another order, or in other batches, than they were written: what a process knows of a job follows from its rows alone.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {type RowChange, type WatchableTable} from '@poplarnotch/platform';
import {TableReplica} from '@poplarnotch/state';
import {type JobProgress, reduceScheduler, SchedulerState} from '../../src/index.js';
import {
	cancelKey, earlierJobKey, jobChangeFrom, jobKey, jobToJson, progressKey, progressToJson,
} from '../../src/jobs/rows.js';
import {jobOf, stepOf} from '../support/jobs.js';

const job = jobOf(1, {steps: [stepOf({taskCount: 3})]});
const {jobId} = job;

const accepted: RowChange = {key: jobKey(jobId), value: jobToJson(job), version: 10};
const acceptedEarlier: RowChange = {...accepted, key: earlierJobKey(jobId)};
const cancelled: RowChange = {key: cancelKey(jobId), value: {requestedWallMs: 1}, version: 11};

const progressed = (progress: Partial<JobProgress>, version = 12): RowChange => ({
	key: progressKey(jobId), version, value: progressToJson({
		outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {}, failures: {}, crashRecords: {}, ...progress,
	}),
});

const completed = progressed({outcome: 'completed', endedWallMs: 1});

const removed = ({key}: RowChange, version = 20): RowChange => ({key, value: undefined, version});

/** Reads the batches one after the other, as the lease holder. */
const read = (...batches: ReadonlyArray<readonly RowChange[]>): SchedulerState => {
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'leaseWon', fencingToken: 5, nowMs: 1, wallMs: 1,
	});
	for (const batch of batches) {
		reduceScheduler(state, {
			type: 'jobsChanged', changes: batch.flatMap(change => jobChangeFrom(change) ?? []), nowMs: 1, wallMs: 1,
		});
		reduceScheduler(state, {type: 'tick', nowMs: 1, wallMs: 1});
	}

	return state;
};

test('a job whose end is read in a batch before its specification is known as ended, and its tasks are not run again', () => {
	expect(read([completed], [accepted]).jobs.get(jobId)).toMatchObject({outcome: 'completed', isOutcomeStored: true});
});

test('tasks whose ends are read before the specification of their job are not run again', () => {
	const state = read([progressed({doneTasks: {'0.0': [0]}})], [progressed({doneTasks: {'0.0': [2]}, failures: {'0.0.1': [7]}}, 13)], [accepted]);
	const [step] = state.jobs.get(jobId)!.occurrences.get(0)!;
	expect(step!.tasks.map(({phase}) => phase)).toEqual(['done', 'waiting', 'done']);
	expect(step!.doneCount).toBe(2);
	expect([...step!.tasks[1]!.failedAttempts]).toEqual([7]);
});

test('a job whose cancellation is read before its specification does not run', () => {
	expect(read([cancelled], [accepted]).jobs.get(jobId)).toMatchObject({outcome: 'cancelled'});
});

test('a listing that is passed on row by row after an error, progress first, does not lose the ends of jobs', async () => {
	const state = new SchedulerState();
	const replica = new TableReplica({
		table: {
			listRows: async () => ({rows: [completed, accepted], revision: 12}), readRevision: async () => 12,
		} as unknown as WatchableTable, prefix: 'jobs/', waitMs: 0, pauseMs: () => 0, clock: new VirtualClock(),
		onChanges(changes) {
			if (changes.length > 1) {
				throw new Error('a row that cannot be applied');
			}

			reduceScheduler(state, {
				type: 'jobsChanged', changes: changes.flatMap(change => jobChangeFrom(change) ?? []), nowMs: 1, wallMs: 1,
			});
		},
	});
	await replica.refresh();
	expect(state.jobs.get(jobId)).toMatchObject({outcome: 'completed', isOutcomeStored: true});
});

test('a job is known while one of its two specifications is stored', () => {
	const state = read([acceptedEarlier, accepted, progressed({doneTasks: {'0.0': [0]}})], [removed(acceptedEarlier)]);
	expect(state.jobs.get(jobId)).toMatchObject({storedDoneTasks: {'0.0': [0]}});
	expect(read([acceptedEarlier, accepted], [removed(acceptedEarlier)], [removed(accepted)]).jobs.size).toBe(0);
});

test('a job that is removed and stored again in one batch is known, and one that is stored and removed is not', () => {
	const again = {...accepted, version: 21};
	expect(read([accepted, completed], [removed(accepted), removed(completed), again]).jobs.get(jobId)).toMatchObject({outcome: undefined});
	expect(read([accepted, removed(accepted)]).jobs.size).toBe(0);
});

test('a job that is stored again while its progress is still stored is known as ended', () => {
	expect(read([accepted, completed], [removed(accepted)], [{...accepted, version: 21}]).jobs.get(jobId)).toMatchObject({outcome: 'completed'});
});

test.each([
	['progress and a cancellation without a job', [completed, cancelled]],
	['an ended job', [accepted, cancelled, completed]],
	['a job without progress', [accepted, cancelled]],
])('nothing is kept of %s once the rows are removed, in any order', (_name, rows) => {
	const removals = rows.map(row => removed(row));
	for (const order of [removals, removals.toReversed()]) {
		const state = read(rows, ...order.map(change => [change]));
		expect([state.jobs.size, state.detachedRows.size]).toEqual([0, 0]);
	}
});
