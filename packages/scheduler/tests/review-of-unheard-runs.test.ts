/**
Takeovers beside a worker out of reach, where the last holder knew of a run on it, or of a restart. Each test guards against a task that the next holder starts elsewhere while its run goes on.
*/
import {expect, test} from 'vitest';
import {type SchedulerEffect, type WorkerEntry} from '../src/index.js';
import {type HandoverNote} from '../src/core/handover-note.js';
import {noteAt, noteNaming} from './support/handover-notes.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {longestLeaseMs, maxArrivalMs, shortLeaseMs} from './support/lease-bounds.js';
import {NewHolder, startedTasks, wallOffsetMs} from './support/new-holder.js';

const fencingToken = 5;
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;

type Start = Extract<SchedulerEffect, {readonly type: 'start'}>;

const tick = (holder: NewHolder, nowMs: number): readonly SchedulerEffect[] => holder.dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs, jobRowsRevision: 100}, nowMs);

/** When the holder starts the task: its term has lasted for long, so that all starts of earlier ones are over. */
const orderedAtMs = 20_000;

/** Starts the task on a holder that has settled, and answers the start 10 ms later. */
const startTask = (holder: NewHolder, answer?: 'started' | 'unknown'): Start => {
	holder.dispatch({type: 'leaseWon', fencingToken}, 0);
	holder.settle(10);
	tick(holder, 20);
	holder.settle(orderedAtMs - 50);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]}, orderedAtMs - 5);
	const start = tick(holder, orderedAtMs).find(effect => effect.type === 'start')!;
	expect(start).toMatchObject({taskKey});
	if (answer !== undefined) {
		holder.dispatch({
			type: 'startAnswered', fencingToken, workerId: start.workerId, taskKey, attempt: start.attempt, answer,
		}, orderedAtMs + 10);
	}

	return start;
};

const missPoll = (holder: NewHolder, workerId: string, sentAtMs: number, missedAtMs: number): void => {
	const {term, workers} = holder.state;
	holder.dispatch({
		type: 'polled', fencingToken: term!.fencingToken, workerId, incarnation: workers.get(workerId)!.incarnation, sentAtMs, sentAcknowledgement: 0, answer: {type: 'unreachable'},
	}, missedAtMs);
};

/** The worker registers itself with these changes. */
const register = (holder: NewHolder, workerId: string, changes: Partial<WorkerEntry>, nowMs: number): void => {
	holder.dispatch({type: 'workersListed', workers: [...holder.state.workers.values()].map(({entry}) => entry.workerId === workerId ? {...entry, ...changes} : entry)}, nowMs);
};

const runOf = ({attempt}: Pick<Start, 'attempt'>) => ({
	taskKey, attempt, checkpoint: '', percent: 1, figure: 0,
});

/** Ticks until the task is started, and returns when that is. */
const startedAgainAtMs = (holder: NewHolder, beforeTick?: (nowMs: number) => void): number | undefined => {
	for (let nowMs = 50; nowMs < 40_000; nowMs += 10) {
		beforeTick?.(nowMs);
		if (startedTasks(tick(holder, nowMs)).includes(taskKey)) {
			return nowMs;
		}
	}

	return undefined;
};

type Takeover = {
	readonly workerId: string;
	readonly note: HandoverNote | undefined;
	readonly workerIds?: readonly string[];
	/** When the present incarnation of the worker began, by its registration; by default a minute before. */
	readonly bornWallMs?: number;
	/** Called once the term has begun. */
	readonly before?: (next: NewHolder) => void;
};

/** Takes the job over by another process, at the time 0 of its clock, while the worker is out of reach, and returns when the task is started again. */
const takeOver = ({workerId, note, workerIds = ['w1', 'w2'], bornWallMs, before}: Takeover): number | undefined => {
	const next = new NewHolder([...new Set(workerIds)]);
	if (bornWallMs !== undefined) {
		register(next, workerId, {bornWallMs}, 0);
		// The process has read the present registration only.
		next.state.workers.get(workerId)!.restartedAtMs = undefined;
	}

	next.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row', version: 10})]}, 0);
	next.dispatch({type: 'leaseWon', fencingToken: fencingToken + 1, note}, 0);
	for (const other of next.workers.filter(other => other !== workerId)) {
		next.report(other, 10);
	}

	next.list(10);
	before?.(next);
	if (next.state.workers.has(workerId)) {
		missPoll(next, workerId, 30, 35);
	}

	next.dispatch({type: 'revisionRead', fencingToken: fencingToken + 1, revision: 100}, 40);
	return startedAgainAtMs(next);
};

// The run is on the later incarnation, with the longest lease by a deadline of the earlier clock. The holder itself counts on for that; the note says 0 ms, since the restart has made the worker one that has not answered.
test.each(['started', 'unknown', undefined] as const)('a worker that has started again, and may run a task of the holder, is not stated as one on which all is over: start answered %s', answer => {
	const holder = new NewHolder(['w1', 'w2']);
	const start = startTask(holder, answer);
	register(holder, start.workerId, {bornWallMs: wallOffsetMs + orderedAtMs - 50}, orderedAtMs + 100);
	missPoll(holder, start.workerId, orderedAtMs + 110, orderedAtMs + 1110);
	const releasedAtMs = orderedAtMs + 1300;
	tick(holder, releasedAtMs);
	const worker = holder.state.workers.get(start.workerId)!;
	expect(worker.runs.size).toBe(1);
	expect(worker.leaseExpiresAtMs).toBeGreaterThanOrEqual(orderedAtMs + 100 + longestLeaseMs);
	const startedAtMs = takeOver({workerId: start.workerId, note: noteAt(holder.state, releasedAtMs)});
	expect(startedAtMs).toBeGreaterThanOrEqual(orderedAtMs - releasedAtMs + longestLeaseMs);
});

// A list of machines has ended the worker while its machine was down, and a later one names it again: it is out of reach, and may run the task by the start that had no answer.
test('a worker that goes on, by a list of machines, after it was taken for ended is not stated as one on which all is over', () => {
	const holder = new NewHolder(['w1', 'w2']);
	const start = startTask(holder, 'unknown');
	missPoll(holder, start.workerId, orderedAtMs + 20, orderedAtMs + 1020);
	holder.list(orderedAtMs + 1100, [start.workerId]);
	expect(holder.state.workers.get(start.workerId)!.isEnded).toBe(true);
	holder.list(orderedAtMs + 2000);
	const worker = holder.state.workers.get(start.workerId)!;
	expect({isEnded: worker.isEnded, runs: worker.runs.size}).toEqual({isEnded: false, runs: 1});
	const releasedAtMs = orderedAtMs + 2500;
	tick(holder, releasedAtMs);
	const startedAtMs = takeOver({workerId: start.workerId, note: noteAt(holder.state, releasedAtMs)});
	expect(startedAtMs).toBeGreaterThanOrEqual(orderedAtMs - releasedAtMs + longestLeaseMs);
});

test('the note of a large fleet fits into a row, with as many open starts, silent workers and ends as it names', () => {
	const idOf = (index: number): string => `i-${(0x10_00_00_00 + (index * 7919)).toString(16)}`;
	const silent = Array.from({length: 200}, (_value, index) => idOf(index));
	const holder = new NewHolder([...silent, 'here']);
	const jobs = Array.from({length: 499}, (_value, index) => jobOf(index + 1, {steps: [stepOf({taskCount: 32})]}));
	holder.dispatch({type: 'jobsChanged', changes: jobs.map(each => acceptedChange(each))}, 0);
	holder.dispatch({type: 'leaseWon', fencingToken, note: noteNaming(...Array.from({length: 1000}, (_value, index) => idOf(index)))}, 5);
	holder.report('here', 20, {
		finished: jobs.map(({jobId}, index) => ({
			sequence: index + 1, taskKey: `${jobId}.0.0.${index % 32}`, attempt: 1, end: 'done', checkpoint: '',
		} as const)),
	});
	const note = noteAt(holder.state, 10 + (1000 / 3));
	const {openStarts, runsForMs = {}, ends = {}} = note;
	expect([openStarts, runsForMs].map(named => Object.keys(named).length)).toEqual([1000, 200]);
	expect(Object.keys(ends).length).toBeGreaterThan(100);
	expect(4 * Math.ceil(JSON.stringify({handover: note}).length / 3)).toBeLessThanOrEqual(65_536);
});

// The poll that gets no answer is under way at the release, so that the worker does not count as silent yet.
test('a start that was answered and not listed is left to the next holder for the longest lease, also if its worker is not silent yet', () => {
	const holder = new NewHolder(['w1', 'w2']);
	const start = startTask(holder, 'started');
	const releasedAtMs = orderedAtMs + 1200;
	tick(holder, releasedAtMs);
	const startedAtMs = takeOver({workerId: start.workerId, note: noteAt(holder.state, releasedAtMs)});
	expect(startedAtMs).toBeGreaterThanOrEqual(orderedAtMs + 10 - releasedAtMs + longestLeaseMs);
});

test('a start that was answered and not listed is left to the next holder for the longest lease, also if too many are silent for the note', () => {
	const workerIds = Array.from({length: 203}, (_, index) => `w${index + 1}`);
	const holder = new NewHolder(workerIds);
	const start = startTask(holder, 'started');
	const releasedAtMs = orderedAtMs + 1300;
	for (const workerId of workerIds.filter(workerId => workerId !== 'w203' || start.workerId === 'w203')) {
		missPoll(holder, workerId, orderedAtMs + 20, orderedAtMs + 1020);
	}

	const note = noteAt(holder.state, releasedAtMs);
	const startedAtMs = takeOver({workerId: start.workerId, note, workerIds: ['w1', 'w2', start.workerId]});
	expect(startedAtMs).toBeGreaterThanOrEqual(orderedAtMs + 10 - releasedAtMs + longestLeaseMs);
});

// The holder learns of the restart by the report that lists the run, and counts 10,550 ms from then. The worker is then cut off, and the lease released before the next poll has failed.
test('a run of which the holder knows that it may have the longest lease is left to the next holder with that', () => {
	const holder = new NewHolder(['w1', 'w2']);
	const start = startTask(holder, 'unknown');
	holder.report(start.workerId, orderedAtMs + 100, {bornWallMs: wallOffsetMs + orderedAtMs - 50, running: [runOf(start)]});
	expect(holder.state.workers.get(start.workerId)!.leaseExpiresAtMs).toBeGreaterThanOrEqual(orderedAtMs + 100 + longestLeaseMs);
	const releasedAtMs = orderedAtMs + 1300;
	tick(holder, releasedAtMs);
	const startedAtMs = takeOver({workerId: start.workerId, note: noteAt(holder.state, releasedAtMs)});
	expect(startedAtMs).toBeGreaterThanOrEqual(orderedAtMs - releasedAtMs + longestLeaseMs);
});

// The first holder named the worker for the rest of the second after its restart. The second one hears it, and counts with the longest lease for the run that it adopts.
test('an adopted run that may have the longest lease is left to the next holder with that', () => {
	const second = new NewHolder(['w1', 'w2']);
	register(second, 'w2', {bornWallMs: wallOffsetMs - 300}, 0);
	second.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row', version: 10})]}, 0);
	second.dispatch({type: 'leaseWon', fencingToken, note: {...noteNaming(), openStarts: {w2: 700}}}, 0);
	second.report('w1', 10);
	second.list(10);
	second.report('w2', 20, {bornWallMs: wallOffsetMs - 300, running: [runOf({attempt: 1})]});
	expect(second.state.workers.get('w2')!.leaseExpiresAtMs).toBeGreaterThanOrEqual(longestLeaseMs);
	const releasedAtMs = 1500;
	tick(second, releasedAtMs);
	expect(takeOver({workerId: 'w2', note: noteAt(second.state, releasedAtMs)})).toBeGreaterThanOrEqual(longestLeaseMs - releasedAtMs);
});

// The last holder had not heard the worker, and tells until when a run may go on. The next one, which has not seen the restart, hears it once, and knows less than that.
test('the next holder hears a worker once that the last one had not heard, and counts no less than that one', () => {
	const bornWallMs = wallOffsetMs - 2000;
	const startedAtMs = takeOver({
		workerId: 'w2', note: {...noteNaming(), runsForMs: {w2: 9000}}, bornWallMs,
		before(next) {
			next.report('w2', 20, {bornWallMs, running: [runOf({attempt: 1})]});
		},
	});
	expect(startedAtMs).toBeGreaterThanOrEqual(9000);
});

// The holder itself counts with 3 s in which the start may arrive.
test('the next holder counts with the time in which a start of the last moment may arrive', () => {
	const holder = new NewHolder(['w1', 'w2']);
	const start = startTask(holder);
	const releasedAtMs = orderedAtMs + 50;
	const startedAtMs = takeOver({workerId: start.workerId, note: noteAt(holder.state, releasedAtMs)});
	expect(startedAtMs).toBeGreaterThanOrEqual(orderedAtMs - releasedAtMs + maxArrivalMs + longestLeaseMs);
});

// Waits that begin anew: nothing is started on a worker that is not registered, so nothing runs there that outlasts the first wait.
test('a series of hand-overs beside a machine whose worker is not registered does not begin the wait anew', () => {
	const second = new NewHolder(['w1', 'w2']);
	second.dispatch({type: 'workersListed', workers: [second.state.workers.get('w1')!.entry]}, 0);
	second.state.workers.delete('w2');
	second.dispatch({type: 'leaseWon', fencingToken}, 0);
	for (let nowMs = 10; nowMs < 20_000; nowMs += 1000) {
		second.report('w1', nowMs);
		second.list(nowMs);
		tick(second, nowMs + 20);
	}

	expect(second.state.isSettled).toBe(true);
	const startedAtMs = takeOver({
		workerId: 'w2', note: noteAt(second.state, 20_000), before(next) {
			next.dispatch({type: 'workersListed', workers: [next.state.workers.get('w1')!.entry]}, 20);
			next.state.workers.delete('w2');
		},
	});
	expect(startedAtMs).toBeLessThanOrEqual(shortLeaseMs);
});

test('a series of hand-overs beside a worker that has not been registered or heard for long does not begin the wait anew', () => {
	const second = new NewHolder(['w1', 'w2']);
	second.dispatch({type: 'leaseWon', fencingToken}, 0);
	second.settle(10);
	tick(second, 20);
	second.dispatch({type: 'workersListed', workers: [second.state.workers.get('w1')!.entry]}, 1000);
	missPoll(second, 'w2', 1000, 2000);
	for (let nowMs = 2010; nowMs < 20_000; nowMs += 1000) {
		second.report('w1', nowMs);
		second.list(nowMs);
		tick(second, nowMs + 20);
	}

	const startedAtMs = takeOver({
		workerId: 'w2', note: noteAt(second.state, 20_000), before(next) {
			next.dispatch({type: 'workersListed', workers: [next.state.workers.get('w1')!.entry]}, 20);
		},
	});
	expect(startedAtMs).toBeLessThanOrEqual(shortLeaseMs);
});

test('a hand-over while no machines can be listed waits for the short lease only, if the last holder has left no start open anywhere', () => {
	const next = new NewHolder(['w1', 'w2']);
	next.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row', version: 10})]}, 0);
	next.dispatch({type: 'leaseWon', fencingToken, note: noteNaming()}, 0);
	next.report('w1', 10);
	next.report('w2', 10);
	expect(startedAgainAtMs(next)).toBeLessThanOrEqual(shortLeaseMs);
});

// The worker starts again after it has registered itself, and a start that the earlier holder had ordered before reaches it a second late: the lease lasts for 10,550 ms from then. The registration is removed, since the worker reaches the store no more.
test('a registration of the first moment after the orders of the earlier holder does not prove the incarnation that a late start meets', () => {
	const next = new NewHolder(['w1', 'w2']);
	next.dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row', version: 10})]}, 0);
	next.dispatch({type: 'leaseWon', fencingToken}, 0);
	next.report('w1', 10);
	next.list(10);
	missPoll(next, 'w2', 20, 25);
	next.dispatch({type: 'revisionRead', fencingToken, revision: 100}, 30);
	register(next, 'w2', {registeredVersion: 101}, 40);
	const startedAtMs = startedAgainAtMs(next, nowMs => {
		if (nowMs === 4540) {
			next.dispatch({type: 'workersListed', workers: [next.state.workers.get('w1')!.entry]}, nowMs);
		}
	});
	expect(startedAtMs).toBeGreaterThanOrEqual(1000 + longestLeaseMs);
});
