/**
Runs on workers out of reach. Each test guards against a task that is started elsewhere while its run goes on: a worker that has started again unseen takes a deadline of its earlier clock for one far ahead, and grants its longest lease.
*/
import {beforeEach, expect, test} from 'vitest';
import {type SchedulerEffect, type WorkerEntry} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {noteAt, noteNaming} from './support/handover-notes.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {longestLeaseMs, maxArrivalMs, shortLeaseMs} from './support/lease-bounds.js';
import {NewHolder, startedTasks, wallOffsetMs} from './support/new-holder.js';

const fencingToken = 5;
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;

/** When a run that is not known to the next holder is over, counted from the last order of the one before. */
const unknownRunMs = maxArrivalMs + longestLeaseMs;

let holder: NewHolder;

beforeEach(() => {
	holder = new NewHolder(['w1', 'w2']);
	workersFollowedSinceMs = undefined;
});

/** Since when the process has followed the registrations without a gap. */
let workersFollowedSinceMs: number | undefined;

const tick = (nowMs: number): readonly SchedulerEffect[] => holder.dispatch({
	type: 'tick', jobRowsConfirmedAtMs: nowMs, jobRowsRevision: 100, workersFollowedSinceMs,
}, nowMs);

const missPoll = (workerId: string, sentAtMs: number): void => {
	const {term, workers} = holder.state;
	holder.dispatch({
		type: 'polled', fencingToken: term!.fencingToken, workerId, incarnation: workers.get(workerId)!.incarnation, sentAtMs, sentAcknowledgement: 0, answer: {type: 'unreachable'},
	}, sentAtMs + 5);
};

/** Ticks until the task is started, and returns when that is. */
const startsAgainAtMs = (fromMs: number): number | undefined => {
	for (let nowMs = fromMs; nowMs < fromMs + 30_000; nowMs += 10) {
		if (startedTasks(tick(nowMs)).includes(taskKey)) {
			return nowMs;
		}
	}

	return undefined;
};

/** The worker that is out of reach registers itself. */
const register = (changes: Partial<WorkerEntry>, nowMs: number): void => {
	holder.dispatch({type: 'workersListed', workers: [...holder.state.workers.values()].map(({entry}) => entry.workerId === 'w2' ? {...entry, ...changes} : entry)}, nowMs);
};

/** Starts the task, and returns the order. */
const startTask = (nowMs: number): Extract<SchedulerEffect, {readonly type: 'start'}> => {
	holder.dispatch({type: 'leaseWon', fencingToken}, 0);
	holder.settle(10);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]}, nowMs - 5);
	const start = tick(nowMs).find(effect => effect.type === 'start');
	expect(start).toMatchObject({taskKey});
	return start!;
};

const answerStart = ({workerId, attempt}: {readonly workerId: string; readonly attempt: number}, answer: 'started' | 'unknown', nowMs: number): void => {
	holder.dispatch({
		type: 'startAnswered', fencingToken, workerId, taskKey, attempt, answer,
	}, nowMs);
};

test.each(['started', 'unknown'] as const)('a start that no report lists is not repeated elsewhere while a later incarnation of its worker may run it: answered %s', answer => {
	const start = startTask(100);
	answerStart(start, answer, 200);
	missPoll(start.workerId, 1000);
	expect(startsAgainAtMs(1010)).toBe(100 + maxArrivalMs + longestLeaseMs);
});

test('a run that its worker has listed counts as over a short lease after the last sending', () => {
	const start = startTask(100);
	answerStart(start, 'started', 110);
	holder.report(start.workerId, 150, {
		running: [{
			taskKey, attempt: start.attempt, checkpoint: '', percent: 1, figure: 0,
		}],
	});
	missPoll(start.workerId, 1000);
	expect(startsAgainAtMs(1010)).toBe(100 + shortLeaseMs);
});

/** The worker that is out of reach registers itself after the last call of the earlier holder has arrived. */
const registerLate = (changes: Partial<WorkerEntry> = {}): void => {
	holder.dispatch({
		type: 'revisionRead', fencingToken, revision: 200, after: 'calls',
	}, 50);
	register({registeredVersion: 201, ...changes}, 60);
};

/** Takes over a job of before while one of the workers does not answer. */
const takeOver = (changes: Partial<Extract<EventBody, {readonly type: 'leaseWon'}>> = {}): void => {
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row', version: 10})]}, 0);
	holder.dispatch({type: 'leaseWon', fencingToken, ...changes}, 0);
	holder.report('w1', 10);
	holder.list(10);
	missPoll('w2', 20);
	holder.dispatch({type: 'revisionRead', fencingToken, revision: 100}, 30);
};

test('a takeover waits for the longest lease of a worker that may have started again unseen', () => {
	takeOver();
	expect(startsAgainAtMs(40)).toBe(unknownRunMs);
});

test('a takeover waits for the short lease of a worker that goes on registering itself as the incarnation of long before', () => {
	takeOver();
	registerLate();
	expect(startsAgainAtMs(70)).toBe(shortLeaseMs);
});

test.each([
	{about: 'was written before the last call of the earlier holder had arrived', version: 200, changes: {}},
	{about: 'is of an incarnation that began a few seconds before', version: 201, changes: {bornWallMs: wallOffsetMs - 4000}},
])('a registration that $about does not shorten the wait of a takeover', ({version, changes}) => {
	register(changes, 0);
	takeOver();
	registerLate({...changes, registeredVersion: version});
	expect(startsAgainAtMs(70)).toBe(unknownRunMs);
});

// The registration is of an incarnation that began a few seconds before. What began and ended between two reads, which are 3 s apart at most, had a clock that was no further than that.
test.each([
	{
		about: 'for long before the worker was there', followedSinceMs: -20_000, ordersOverAtMs: 4000, overAtMs: 4000 + shortLeaseMs,
	},
	{
		about: 'for long, and has just seen the worker', followedSinceMs: -20_000, ordersOverAtMs: 0, overAtMs: 3000 + shortLeaseMs,
	},
	{
		about: 'for a few seconds', followedSinceMs: -5000, ordersOverAtMs: 4000, overAtMs: 4000 + unknownRunMs,
	},
	{
		about: 'with a gap', followedSinceMs: undefined, ordersOverAtMs: 4000, overAtMs: 4000 + unknownRunMs,
	},
])('the wait of a takeover by a process that has followed the registrations $about', ({followedSinceMs, ordersOverAtMs, overAtMs}) => {
	workersFollowedSinceMs = followedSinceMs;
	const changes = {bornWallMs: wallOffsetMs - 4000};
	register(changes, 0);
	holder.state.workers.get('w2')!.restartedAtMs = undefined;
	takeOver({earlierHolder: {mayOrderUntilMs: ordersOverAtMs, mayOrderMachinesUntilMs: ordersOverAtMs}});
	registerLate(changes);
	expect(startsAgainAtMs(70)).toBe(overAtMs);
});

test('a restart that the process has seen counts although it has followed the registrations for long', () => {
	workersFollowedSinceMs = -20_000;
	const changes = {bornWallMs: wallOffsetMs - 4000};
	register(changes, 0);
	takeOver();
	registerLate(changes);
	expect(startsAgainAtMs(70)).toBe(unknownRunMs);
});

test.each([
	{about: 'named no start on it', note: noteNaming(), overAtMs: shortLeaseMs},
	{about: 'named a start on it', note: noteNaming('w2'), overAtMs: unknownRunMs},
	{about: 'had not heard it for long', note: {...noteNaming(), runsForMs: {w2: 700}}, overAtMs: 700},
	{about: 'did not know of all starts', note: {...noteNaming(), unknownForMs: 4000}, overAtMs: unknownRunMs},
])('a takeover beside a worker out of reach, from a holder that $about', ({note, overAtMs}) => {
	takeOver({note});
	expect(startsAgainAtMs(40)).toBe(overAtMs);
});

test('a note of a replaced holder that may still be alive shortens no wait', () => {
	takeOver({note: {...noteNaming(), runsForMs: {w2: 700}}, earlierHolder: {mayOrderUntilMs: 1000, mayOrderMachinesUntilMs: 1000}});
	expect(startsAgainAtMs(40)).toBe(1000 + unknownRunMs);
});

test('a series of hand-overs beside a worker out of reach does not begin the wait anew', () => {
	takeOver();
	tick(4000);
	const {runsForMs} = noteAt(holder.state, 4000);
	expect(runsForMs).toEqual({w2: unknownRunMs - 4000});
	holder = new NewHolder(['w1', 'w2']);
	takeOver({note: {...noteNaming(), runsForMs}});
	expect(startsAgainAtMs(40)).toBe(unknownRunMs - 4000);
});

test('a holder states how long a start on a silent worker may run that it has not seen listed', () => {
	const start = startTask(100);
	answerStart(start, 'unknown', 1100);
	missPoll(start.workerId, 1000);
	expect(noteAt(holder.state, 2000)).toMatchObject({runsForMs: {[start.workerId]: 100 + maxArrivalMs + longestLeaseMs - 2000}});
});

test('a worker that answers, and one that has ended, are not stated as out of reach', () => {
	takeOver();
	expect(noteAt(holder.state, 100).runsForMs).toEqual({w2: unknownRunMs - 100});
	holder.list(1000, ['w2']);
	expect(noteAt(holder.state, 1100).runsForMs).toEqual({});
});

test('a takeover counts the longest lease of a worker whose registration was removed before from then, when holders stopped to start tasks there', () => {
	const [here, gone] = [...holder.state.workers.values()].map(({entry}) => entry);
	holder.dispatch({type: 'workersListed', workers: [here!]}, 1000);
	expect(gone!.workerId).toBe('w2');
	takeOver({earlierHolder: {mayOrderUntilMs: 6000, mayOrderMachinesUntilMs: 6000}});
	expect(startsAgainAtMs(1010)).toBe(1000 + 3000 + unknownRunMs);
});

test('a takeover waits for the longest lease of a worker that a machine runs and that is not registered', () => {
	holder.dispatch({type: 'workersListed', workers: [holder.state.workers.get('w1')!.entry]}, 0);
	holder.state.workers.delete('w2');
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row', version: 10})]}, 0);
	holder.dispatch({type: 'leaseWon', fencingToken}, 0);
	holder.report('w1', 10);
	holder.list(10);
	expect(startsAgainAtMs(40)).toBe(unknownRunMs);
});
