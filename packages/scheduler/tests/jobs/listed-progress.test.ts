/**
The rows of a job stand in two parts of the store, which are listed one after the other while jobs are stored and end.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {type RowChange, type WatchableTable} from '@poplarnotch/platform';
import {TableReplica} from '@poplarnotch/state';
import {reduceScheduler, SchedulerState} from '../../src/index.js';
import {
	jobChangeFrom, jobKey, jobToJson, progressKey, progressToJson,
} from '../../src/jobs/rows.js';
import {jobOf} from '../support/jobs.js';

test('a job that was stored and ended while rows were listed is known as ended, and its tasks are not run again', async () => {
	const state = new SchedulerState();
	const job = jobOf(1);
	const accepted: RowChange = {key: jobKey(job.jobId), value: jobToJson(job), version: 15};
	const ended: RowChange = {
		key: progressKey(job.jobId), version: 20, value: progressToJson({
			outcome: 'completed', endedWallMs: 1, hasBegun: true, doneTasks: {}, failures: {}, crashRecords: {},
		}),
	};
	// The part of the job was read before the job was stored, the part of all progress after its end.
	const table = {
		listRows: async () => ({rows: [ended], revision: 10}),
		readRevision: async () => 20,
		waitForChanges: async () => ({changes: [accepted, ended], revision: 20, hasMore: false}),
	};
	const replica = new TableReplica({
		table: table as unknown as WatchableTable, prefix: 'jobs/', waitMs: 0, pauseMs: () => 0, clock: new VirtualClock(),
		onChanges(changes) {
			reduceScheduler(state, {
				type: 'jobsChanged', changes: changes.flatMap(change => jobChangeFrom(change) ?? []), nowMs: 1, wallMs: 1,
			});
		},
	});
	await replica.refresh();
	await replica.refresh();
	expect(state.jobs.get(job.jobId)).toMatchObject({outcome: 'completed', isOutcomeStored: true});
});
