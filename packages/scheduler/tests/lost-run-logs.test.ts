/**
The lines by which a task that runs twice at the same time is traced to the run that counted as over: a shortened record of a day keeps them for a word such as "lost" in their names.
*/
import {beforeEach, expect, test} from 'vitest';
import {maxLoggedRuns} from '../src/constants.js';
import {type RunningEntry, type SchedulerEffect} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {NewHolder, wallOffsetMs} from './support/new-holder.js';

const fencingToken = 5;
const taskCount = maxLoggedRuns + 5;
const job = jobOf(1, {steps: [stepOf({taskCount, needs: {cpuMillicores: 100, memoryMb: 100, accelerators: 0}})]});

let holder: NewHolder;
let effects: readonly SchedulerEffect[];

const dispatch = (event: EventBody, nowMs: number): void => {
	effects = holder.dispatch(event, nowMs);
};

const logged = (name: string) => effects.flatMap(effect => effect.type === 'log' && effect.fields.event === name ? [effect.fields] : []);

const tick = (nowMs: number): void => {
	dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs}, nowMs);
};

const missPoll = (workerId: string, nowMs: number): void => {
	dispatch({
		type: 'polled', fencingToken, incarnation: holder.state.workers.get(workerId)!.incarnation, workerId, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {type: 'unreachable'},
	}, nowMs);
};

const runningOf = (index: number, attempt = 4001): RunningEntry => ({
	taskKey: `${job.jobId}.0.0.${index}`, attempt, percent: 10, checkpoint: '', figure: 0,
});

/** Attempt of the task in the present term. */
const presentAttempt = (index: number): number => holder.state.jobs.get(job.jobId)!.occurrences.get(0)![0]!.tasks[index]!.lastAttempt;

const answerStarts = (): void => {
	for (const run of holder.state.workers.get('w1')!.runs.values()) {
		dispatch({
			type: 'startAnswered', fencingToken, incarnation: run.incarnation, workerId: 'w1', taskKey: run.taskKey, attempt: run.attempt, answer: 'started',
		}, 120);
	}
};

/** A takeover after which all tasks are placed on `w1`, since `w2` is silent. */
const placeAll = (): void => {
	holder.settle(10);
	missPoll('w2', 50);
	tick(100);
	expect(holder.state.workers.get('w1')!.runs.size).toBe(taskCount);
};

beforeEach(() => {
	holder = new NewHolder(['w1', 'w2']);
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]}, 0);
	dispatch({type: 'leaseWon', fencingToken}, 0);
});

test('a takeover that is settled by time names the workers that it gives up, with the bound', () => {
	holder.report('w1', 10);
	holder.list(10);
	missPoll('w2', 20);
	tick(13_500);
	expect(logged('workers_given_up_as_lost')).toEqual([]);
	tick(13_600);
	expect(logged('takeover_settled')).toMatchObject([{by: 'time'}]);
	expect(logged('workers_given_up_as_lost')).toMatchObject([{
		by: 'time', count: 1, fencingToken, sinceOrdersOverMs: 13_600, workers: 'w2:silent-13580ms:by-longest-lease', machines: '',
	}]);
});

test('a takeover that every worker has answered gives up nobody', () => {
	holder.settle(10);
	tick(20);
	expect(logged('takeover_settled')).toMatchObject([{by: 'reports'}]);
	expect(logged('workers_given_up_as_lost')).toEqual([]);
});

test('a takeover that is settled by reports names the workers that it has passed over', () => {
	holder.report('w1', 10);
	holder.list(1000, ['w2']);
	dispatch({type: 'workersListed', workers: [holder.state.workers.get('w1')!.entry]}, 1020);
	tick(1030);
	expect(logged('takeover_settled')).toMatchObject([{by: 'reports'}]);
	expect(logged('workers_given_up_as_lost')).toMatchObject([{by: 'reports', count: 1, workers: 'w2:ended:unlisted:by-ended-unlisted'}]);
});

test('a run of an earlier term that is listed while its task runs elsewhere is named, once', () => {
	placeAll();
	answerStarts();
	effects = holder.report('w2', 900, {running: [runningOf(3)]});
	expect(logged('run_listed_again')).toEqual([]);
	expect(logged('lost_run_listed')).toMatchObject([{
		taskKey: `${job.jobId}.0.0.3`, attempt: 4001, workerId: 'w2', taskPhase: 'placed', presentAttempt: presentAttempt(3), presentWorkerId: 'w1', presentPhase: 'running', overlapMs: 780, silentMs: 850, lastAnswerAgeMs: 890, isPastLease: false, isSettled: true, fencingToken,
	}]);
	effects = holder.report('w2', 1000, {running: [runningOf(3)]});
	expect(logged('lost_run_listed')).toEqual([]);
});

test('a run that is listed after its task was done elsewhere is named', () => {
	placeAll();
	answerStarts();
	holder.report('w1', 300, {
		finished: [{
			sequence: 1, taskKey: `${job.jobId}.0.0.3`, attempt: presentAttempt(3), end: 'done', checkpoint: '',
		}],
	});
	effects = holder.report('w2', 900, {running: [runningOf(3)]});
	expect(logged('lost_run_listed')).toMatchObject([{taskPhase: 'done', lastAttempt: presentAttempt(3), presentWorkerId: undefined}]);
});

test('a run whose task waits is taken up without such a line', () => {
	effects = holder.report('w2', 10, {running: [runningOf(3)]});
	expect(logged('lost_run_listed')).toEqual([]);
});

test('one report brings a bounded number of lines', () => {
	placeAll();
	effects = holder.report('w2', 900, {running: Array.from({length: taskCount}, (_, index) => runningOf(index))});
	expect(logged('lost_run_listed')).toHaveLength(maxLoggedRuns);
});

test('lost runs are named with what was known of their worker, and whether it had listed them', () => {
	placeAll();
	answerStarts();
	holder.report('w1', 300, {running: [runningOf(3, presentAttempt(3))]}, {incarnation: holder.state.workers.get('w1')!.incarnation});
	missPoll('w1', 400);
	const {incarnation, leaseExpiresAtMs, bornWallMs} = holder.state.workers.get('w1')!;
	tick(9000);
	// All but the third were not in the report, so they had vanished.
	expect(logged('runs_lost')).toMatchObject([{
		workerId: 'w1', runs: 1, reason: 'silent-past-lease', silentMs: 8600, lastAnswerAgeMs: 8700, leaseOverForMs: Math.round(9000 - leaseExpiresAtMs), incarnation, bornWallMs, fencingToken, tasks: `${job.jobId}.0.0.3#${presentAttempt(3)}:8900ms:running:listed`,
	}]);
});

test('a restart names the starts that it leaves open, and only these', () => {
	placeAll();
	effects = holder.report('w1', 300, {bornWallMs: wallOffsetMs + 200});
	expect(logged('restart_may_have_lost_runs')).toMatchObject([{
		workerId: 'w1', runs: taskCount, unanswered: taskCount, bornWallMs: wallOffsetMs + 200,
	}]);
	expect(logged('restart_may_have_lost_runs')[0]?.tasks).toContain(`${job.jobId}.0.0.0#${presentAttempt(0)}:200ms:starting:unlisted:unanswered,`);
});

test('a restart whose runs had all been answered is told by the lost runs alone', () => {
	placeAll();
	answerStarts();
	effects = holder.report('w1', 300, {bornWallMs: wallOffsetMs + 200});
	expect(logged('restart_may_have_lost_runs')).toEqual([]);
	effects = holder.report('w1', 400, {bornWallMs: wallOffsetMs + 200});
	expect(logged('runs_lost')).toMatchObject([{reason: 'worker-restarted', runs: taskCount}]);
});
