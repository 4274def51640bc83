/**
The lines that name ends which a process reads and applies to no task, by which a task that runs again is traced to the report that was dropped.
*/
import {beforeEach, expect, test} from 'vitest';
import {type FinishedEntry, type SchedulerEffect} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {NewHolder} from './support/new-holder.js';

const fencingToken = 5;
const job = jobOf(1, {steps: [stepOf({taskCount: 2})]});

let holder: NewHolder;
let nowMs: number;
let effects: readonly SchedulerEffect[];

const dispatch = (event: EventBody): void => {
	nowMs += 5;
	effects = holder.dispatch(event, nowMs);
};

const logged = (name: string) => effects.flatMap(effect => effect.type === 'log' && effect.fields.event === name ? [effect.fields] : []);

const endOf = (sequence: number, taskKey: string): FinishedEntry => ({
	sequence, taskKey, attempt: 4001, end: 'done', checkpoint: '',
});

const report = (...finished: readonly FinishedEntry[]): void => {
	nowMs += 5;
	effects = holder.report('w1', nowMs, {finished}, {fencingToken});
};

beforeEach(() => {
	holder = new NewHolder(['w1']);
	nowMs = 0;
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]});
	dispatch({type: 'leaseWon', fencingToken});
	dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs});
});

test('a report that comes after its term names the ends in it', () => {
	dispatch({type: 'leaseLost', fencingToken, reason: 'stopping'});
	report(endOf(1, `${job.jobId}.0.0.0`));
	expect(logged('event_outdated')).toMatchObject([{
		type: 'polled', reason: 'other-term', workerId: 'w1', done: 1, tasks: `${job.jobId}.0.0.0#4001`,
	}]);
});

test('an end of a job that is not known is named', () => {
	report(endOf(1, 'unknown.0.0.0'));
	dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs + 5});
	expect(logged('end_of_unknown_task')).toMatchObject([{taskKey: 'unknown.0.0.0', workerId: 'w1', isJobKnown: false}]);
});

test('ends of tasks that are known are named by no such line', () => {
	report(endOf(1, `${job.jobId}.0.0.0`));
	expect([...logged('event_outdated'), ...logged('end_of_unknown_task')]).toEqual([]);
});

test('new ends in a report during a hand-over are left out by nobody', () => {
	report(endOf(1, `${job.jobId}.0.0.0`));
	dispatch({type: 'handoverBegun', fencingToken});
	report(endOf(1, `${job.jobId}.0.0.0`), endOf(2, `${job.jobId}.0.0.1`));
	expect(holder.state.jobs.get(job.jobId)?.occurrences.get(0)?.[0]?.doneCount).toBe(2);
	expect([...logged('event_outdated'), ...logged('end_of_unknown_task')]).toEqual([]);
});

test('a takeover tells which of the ends that workers list are stored', () => {
	dispatch({
		type: 'jobsChanged', changes: [{
			type: 'progressed', jobId: job.jobId, rowKey: 'progress', version: 8, progress: {
				outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {'0.0': [0]}, failures: {}, crashRecords: {},
			},
		}],
	});
	dispatch({type: 'leaseWon', fencingToken: fencingToken + 4});
	nowMs += 5;
	holder.report('w1', nowMs, {finished: [endOf(1, `${job.jobId}.0.0.0`), endOf(2, `${job.jobId}.0.0.1`)]});
	nowMs += 13_550;
	dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs});
	expect(logged('takeover_settled')).toMatchObject([{storedEnds: 1, unstoredEnds: 1, unstoredJobs: job.jobId}]);
});
