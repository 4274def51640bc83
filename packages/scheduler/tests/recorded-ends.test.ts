/**
Ends of tasks that a process has read and cannot store under its fence: they are left to the next holder, or recorded without the fence, so that no task is started after them.
*/
import {describe, expect, test} from 'vitest';
import {
	type FinishedEntry, type JobChange, type StepSpec,
} from '../src/index.js';
import {endsKey, endsToJson, jobChangeFrom} from '../src/jobs/rows.js';
import {noteAt, noteNaming} from './support/handover-notes.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {
	NewHolder, recordsOf, startedTasks, wallOffsetMs,
} from './support/new-holder.js';

const jobWith = (step: Partial<StepSpec>) => jobOf(1, {acceptedWallMs: wallOffsetMs, steps: [stepOf({taskCount: 2, ...step})]});
const job = jobWith({});
const taskKeyOf = (index: number): string => `${job.jobId}.0.0.${index}`;
const endOf = (index: number, end: FinishedEntry['end'] = 'done'): FinishedEntry => ({
	sequence: index + 1, taskKey: taskKeyOf(index), attempt: 4001, end, checkpoint: '',
});

/** A process that has taken over a fleet of which it knows everything, with a job of two tasks. */
const holderWith = (step: Partial<StepSpec> = {}): NewHolder => {
	const holder = new NewHolder(['here', 'there']);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(step))]}, 5);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	return holder;
};

describe('ends that a report names after the term', () => {
	test('are recorded, with failed attempts', () => {
		const holder = holderWith();
		holder.settle(20);
		holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'stopping'}, 40);
		const effects = holder.report('here', 60, {finished: [endOf(0), endOf(1, 'failed')]}, {fencingToken: 5});
		expect(recordsOf(effects)).toEqual([{jobId: job.jobId, ends: {doneTasks: {'0.0': [0]}, failures: {'0.0.1': [4001]}}}]);
	});

	test('are not recorded if they are stored, or if no task of the job starts any more', () => {
		const holder = holderWith();
		holder.settle(20);
		holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'stopping'}, 40);
		const change = {
			type: 'endsRecorded', jobId: job.jobId, ends: {doneTasks: {'0.0': [0]}, failures: {}}, rowKey: 'a',
		} satisfies JobChange;
		holder.dispatch({type: 'jobsChanged', changes: [change]}, 50);
		expect(recordsOf(holder.report('here', 60, {finished: [endOf(0)]}, {fencingToken: 5}))).toEqual([]);
		holder.dispatch({type: 'jobsChanged', changes: [{type: 'cancelled', jobId: job.jobId, rowKey: 'b'}]}, 70);
		expect(recordsOf(holder.report('here', 80, {finished: [endOf(1)]}, {fencingToken: 5}))).toEqual([]);
	});

	test('are stored by the process if it holds the lease again', () => {
		const holder = holderWith();
		holder.settle(20);
		holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'superseded'}, 30);
		holder.dispatch({type: 'leaseWon', fencingToken: 9, note: noteNaming()}, 40);
		expect(recordsOf(holder.report('here', 50, {finished: [endOf(0)]}, {fencingToken: 5}))).toEqual([]);
		holder.settle(60);
		const effects = [80, 100].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs));
		expect(startedTasks(effects)).toEqual([taskKeyOf(1)]);
		expect(effects.find(({type}) => type === 'save')).toMatchObject({save: {jobs: [{progress: {doneTasks: {'0.0': [0]}}}]}});
	});

	test('count for all members of a gang at the next holder', () => {
		const holder = holderWith({isGang: true});
		holder.settle(20);
		holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'stopping'}, 40);
		const [record] = recordsOf(holder.report('here', 60, {finished: [endOf(1)]}, {fencingToken: 5}));
		const next = holderWith({isGang: true});
		next.dispatch({type: 'jobsChanged', changes: [{type: 'endsRecorded', ...record!, rowKey: 'a'}]}, 15);
		next.settle(20);
		expect(startedTasks([40, 60].flatMap(nowMs => next.dispatch({type: 'tick'}, nowMs)))).toEqual([]);
		expect([...next.state.jobs.values()][0]!.outcome).toBe('completed');
	});
});

describe('ends that are not stored as the term ends', () => {
	const holderWithUnstored = (): NewHolder => {
		const holder = holderWith();
		holder.report('here', 20, {finished: [endOf(0), endOf(1, 'failed')]});
		return holder;
	};

	test('are recorded', () => {
		const effects = holderWithUnstored().dispatch({type: 'leaseLost', fencingToken: 5, reason: 'superseded'}, 25);
		expect(recordsOf(effects)).toEqual([{jobId: job.jobId, ends: {doneTasks: {'0.0': [0]}, failures: {'0.0.1': [4001]}}}]);
	});

	test('are recorded before the release if the save takes long', () => {
		const holder = holderWithUnstored();
		holder.dispatch({type: 'handoverBegun', fencingToken: 5}, 25);
		expect(recordsOf(holder.dispatch({type: 'storingDelayed', fencingToken: 5}, 130))).toHaveLength(1);
		holder.dispatch({type: 'saved', fencingToken: 5, saveNumber: holder.state.pendingSaveNumber!}, 140);
		expect(recordsOf(holder.dispatch({type: 'storingDelayed', fencingToken: 5}, 150))).toEqual([]);
	});

	test('are not recorded once they are read from the store', () => {
		const holder = holderWithUnstored();
		const progress = {
			outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {'0.0': [0]}, failures: {'0.0.1': [4001]}, crashRecords: {},
		};
		holder.dispatch({
			type: 'jobsChanged', changes: [{
				type: 'progressed', jobId: job.jobId, progress, rowKey: 'p', version: 9,
			}],
		}, 22);
		expect(recordsOf(holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'superseded'}, 25))).toEqual([]);
	});

	test('are known to the next holder from the note, and stored by it', () => {
		const note = noteAt(holderWithUnstored().state, 25);
		const next = new NewHolder(['there']);
		next.dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]}, 5);
		next.dispatch({type: 'leaseWon', fencingToken: 9, note}, 30);
		const saves = next.dispatch({type: 'tick'}, 50);
		next.report('there', 60);
		next.list(60);
		const effects = [80, 100].flatMap(nowMs => next.dispatch({type: 'tick'}, nowMs));
		expect(startedTasks(effects)).toEqual([taskKeyOf(1)]);
		expect(saves.find(({type}) => type === 'save')).toMatchObject({save: {jobs: [{progress: {doneTasks: {'0.0': [0]}, failures: {'0.0.1': [4001]}}}]}});
	});

	test('fit into the row of the lease, however many they are', () => {
		const jobs = Array.from({length: 600}, (_value, index) => jobOf(index, {acceptedWallMs: wallOffsetMs, steps: [stepOf({taskCount: 32})]}));
		const holder = new NewHolder(['here']);
		holder.dispatch({type: 'jobsChanged', changes: jobs.map(each => acceptedChange(each))}, 5);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		holder.report('here', 20, {
			finished: jobs.slice(0, 499).map(({jobId}, index) => ({...endOf(0), sequence: index + 1, taskKey: `${jobId}.0.0.${index % 32}`})),
		});
		const maxRowBytes = 65_536;
		expect(4 * Math.ceil(JSON.stringify({handover: noteAt(holder.state, 25)}).length / 3)).toBeLessThan(maxRowBytes / 2);
		expect(recordsOf(holder.dispatch({type: 'leaseLost', fencingToken: 5}, 30))).toHaveLength(499);
	});
});

describe('recorded ends', () => {
	const key = endsKey(job.jobId, 'edge-1@1.1');
	const value = endsToJson({doneTasks: {'0.0': [0]}, failures: {'0.0.1': [4001]}});
	const change = jobChangeFrom({key, value, version: 7})!;

	test('are read back from their row', () => {
		expect(change).toEqual({
			type: 'endsRecorded', jobId: job.jobId, ends: {doneTasks: {'0.0': [0]}, failures: {'0.0.1': [4001]}}, rowKey: key,
		});
		expect(jobChangeFrom({key, value: {doneRanges: [['0-9', 0, '0-9999']]}, version: 7})).toBeUndefined();
		expect(jobChangeFrom({key, value: undefined, version: 8})).toEqual({
			type: 'removed', jobId: job.jobId, row: 'ends', rowKey: key,
		});
	});

	test.each([
		{order: 'before the job', changes: [change, acceptedChange(job)]},
		{order: 'after the job', changes: [acceptedChange(job), change]},
	])('keep their tasks from being started again: read $order', ({changes}) => {
		const holder = new NewHolder(['here']);
		for (const [index, each] of changes.entries()) {
			holder.dispatch({type: 'jobsChanged', changes: [each]}, index + 1);
		}

		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		holder.report('here', 20);
		holder.list(20);
		expect(startedTasks([40, 60].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs)))).toEqual([taskKeyOf(1)]);
	});

	test('of the last task complete the job', () => {
		const holder = holderWith();
		holder.settle(20);
		holder.dispatch({
			type: 'jobsChanged', changes: [{
				type: 'endsRecorded', jobId: job.jobId, ends: {doneTasks: {'0.0': [0, 1]}, failures: {}}, rowKey: 'a',
			}],
		}, 30);
		const effects = [40, 90].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs));
		expect(startedTasks(effects)).toEqual([]);
		expect(effects.find(({type}) => type === 'save')).toMatchObject({save: {jobs: [{progress: {outcome: 'completed'}}]}});
	});

	test('are forgotten with the rows of their job', () => {
		const holder = new NewHolder(['here']);
		const accepted = acceptedChange(job);
		holder.dispatch({type: 'jobsChanged', changes: [accepted, change]}, 1);
		const rowKey = accepted.type === 'accepted' ? accepted.rowKey : '';
		holder.dispatch({
			type: 'jobsChanged', changes: [{
				type: 'removed', jobId: job.jobId, row: 'specification', rowKey,
			}],
		}, 2);
		expect(holder.state.detachedRows.size).toBe(1);
		holder.dispatch({
			type: 'jobsChanged', changes: [{
				type: 'removed', jobId: job.jobId, row: 'ends', rowKey: key,
			}],
		}, 3);
		expect(holder.state.detachedRows.size).toBe(0);
	});
});

test('the ends of a report that comes after another one has answered its poll are not lost', () => {
	const holder = holderWith();
	holder.settle(20);
	holder.reportLate('here', 30, {finished: [endOf(0)]});
	expect(startedTasks([40, 60].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs)))).toEqual([taskKeyOf(1)]);
});
