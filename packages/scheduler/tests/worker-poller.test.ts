/**
A holder under load must gather run ends of busy workers, but not at the cost of trials, which keep their workers from other tasks, or of machines that are about to leave. A single poll without an answer must not hide the ends of a worker's runs for seconds.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {maxPollPauseMs, pollPauseMs, taskLeaseMs} from '../src/constants.js';
import {
	type PollAnswer, type PollOrder, reduceScheduler, SchedulerState, type WorkerAddress, type WorkerControl, type WorkerEntry,
} from '../src/index.js';
import {WorkerPoller} from '../src/shell/worker-poller.js';

const entryOf = (workerId: string): WorkerEntry => ({
	workerId, pool: 'pairing', address: `${workerId}:1`, dataCentre: 'dc', isDraining: workerId === 'draining', capacity: {cpuMillicores: 1000, memoryMb: 1000, accelerators: 0}, labels: [], rack: 'r', bornWallMs: 1, coldLeftMs: 0,
});

test('only workers whose run ends can wait are polled less often under load', async () => {
	const clock = new VirtualClock();
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'workersListed', workers: ['busy', 'draining', 'reserved', 'on-trial'].map(workerId => entryOf(workerId)), nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'leaseWon', fencingToken: 1, nowMs: 0, wallMs: 0,
	});
	state.workers.get('reserved')!.isReserved = true;
	state.workers.get('on-trial')!.trial = {
		tasks: [], workers: [], attempt: 1, saveNumber: 1, plannedAtMs: 0, isStarted: true,
	};
	const polls: string[] = [];
	const poller = new WorkerPoller({
		control: {
			async poll({workerId}: WorkerAddress) {
				polls.push(workerId);
				return {
					type: 'report', report: {
						clockMs: 0, bornWallMs: 1, running: [], finished: [],
					},
				};
			},
		} as unknown as WorkerControl,
		clock, state: () => state, pauseMs: () => maxPollPauseMs, dispatch() {
			// The workers stay as they are, so each of them is to be polled again.
		},
	});
	for (let elapsedMs = 0; elapsedMs < 10 * maxPollPauseMs; elapsedMs += pollPauseMs / 2) {
		poller.pollDueWorkers(clock.nowMs());
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.advance(pollPauseMs / 2);
	}

	const countOf = (workerId: string): number => polls.filter(polled => polled === workerId).length;
	expect(countOf('busy')).toBeLessThanOrEqual(11);
	for (const workerId of ['draining', 'reserved', 'on-trial']) {
		expect(countOf(workerId), workerId).toBeGreaterThan(40);
	}
});

type PlayedAnswer = {
	readonly afterMs: number;
	readonly type: 'report' | 'unreachable';
	/** Keys of tasks that the report lists as done. */
	readonly done?: readonly string[];
};

type PlayedPoll = {
	/** What was dispatched as the answer, with the time. */
	readonly polled: ReadonlyArray<{readonly atMs: number; readonly type: string}>;
	/** Tasks that a later report lists as done. */
	readonly doneLate: readonly string[];
};

/** Polls one worker until it has been reported on or given up. */
const playPoll = async (answers: readonly PlayedAnswer[]): Promise<PlayedPoll> => {
	const clock = new VirtualClock();
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'workersListed', workers: [entryOf('busy')], nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'leaseWon', fencingToken: 1, nowMs: 0, wallMs: 0,
	});
	const polled: Array<{readonly atMs: number; readonly type: string}> = [];
	const doneLate: string[] = [];
	let sent = 0;
	const poller = new WorkerPoller({
		control: {
			async poll(): Promise<PollAnswer> {
				const {afterMs, type, done = []} = answers[sent]!;
				sent++;
				await new Promise<void>(resolve => {
					clock.schedule(afterMs, resolve);
				});
				return type === 'unreachable'
					? {type}
					: {
						type, report: {
							clockMs: 0, bornWallMs: 1, running: [], finished: done.map(taskKey => ({
								sequence: 1, taskKey, attempt: 1, end: 'done', checkpoint: '',
							})),
						},
					};
			},
		} as unknown as WorkerControl,
		clock, state: () => state, pauseMs: () => pollPauseMs, dispatch(event) {
			if (event.type === 'polled') {
				polled.push({atMs: clock.nowMs(), type: event.answer.type});
			} else if (event.type === 'reportedLate') {
				doneLate.push(...event.report.finished.map(({taskKey}) => taskKey));
			}
		},
	});
	poller.pollDueWorkers(clock.nowMs());
	for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 10) {
		clock.advance(10);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	expect(sent).toBe(answers.length);
	return {polled, doneLate};
};

const pollOnce = async (answers: readonly PlayedAnswer[]): Promise<PlayedPoll['polled']> => {
	const {polled} = await playPoll(answers);
	return polled;
};

test('the ends of a worker that leaves one poll without an answer are known soon', async () => {
	expect(await pollOnce([{afterMs: 1400, type: 'unreachable'}, {afterMs: 5, type: 'report'}])).toEqual([{atMs: 210, type: 'report'}]);
});

test('a poll that is answered in time is not sent twice, and a late report after the repeated one is left out', async () => {
	expect(await pollOnce([{afterMs: 100, type: 'report'}])).toEqual([{atMs: 100, type: 'report'}]);
	expect(await pollOnce([{afterMs: 300, type: 'report'}, {afterMs: 20, type: 'report'}])).toEqual([{atMs: 220, type: 'report'}]);
});

test('the ends of a report that comes after the repeated poll was answered are passed on', async () => {
	const {doneLate} = await playPoll([{afterMs: 300, type: 'report', done: ['late']}, {afterMs: 5, type: 'report'}]);
	expect(doneLate).toEqual(['late']);
});

test('a worker counts as unreachable once neither poll was answered', async () => {
	expect(await pollOnce([{afterMs: 900, type: 'unreachable'}, {afterMs: 900, type: 'unreachable'}])).toEqual([{atMs: 1100, type: 'unreachable'}]);
});

// TWICE: a worker that had started again forgot ends of its present incarnation, whose numbers start anew, before they were read.
test('ends are acknowledged only to a worker that has answered the last poll, and by a poll of its own', async () => {
	const clock = new VirtualClock();
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'workersListed', workers: [entryOf('busy')], nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'leaseWon', fencingToken: 1, nowMs: 0, wallMs: 0,
	});
	state.workers.get('busy')!.acknowledgedSequence = 7;
	const answers: ReadonlyArray<PollAnswer['type']> = ['report', 'unreachable', 'unreachable', 'report', 'report', 'report'];
	const acknowledged: number[] = [];
	const poller = new WorkerPoller({
		control: {
			async poll(_worker: WorkerAddress, {acknowledgedSequence}: PollOrder) {
				acknowledged.push(acknowledgedSequence);
				const type = answers[acknowledged.length - 1] ?? 'report';
				await new Promise<void>(resolve => {
					clock.schedule(type === 'unreachable' ? 900 : 5, resolve);
				});
				return type === 'unreachable'
					? {type}
					: {
						type, report: {
							clockMs: 0, bornWallMs: 1, running: [], finished: [],
						},
					};
			},
		} as unknown as WorkerControl,
		clock, state: () => state, pauseMs: () => pollPauseMs, dispatch(event) {
			reduceScheduler(state, event);
		},
	});
	for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 10) {
		// Each report is followed by another end, so that there is always one to acknowledge.
		const worker = state.workers.get('busy')!;
		worker.acknowledgedSequence = worker.sentAcknowledgement + 1;
		poller.pollDueWorkers(clock.nowMs());
		clock.advance(10);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	// The second poll is not answered, the third one repeats it, and the fourth one goes to a silent worker.
	expect(acknowledged.slice(0, 6)).toEqual([1, 2, 0, 0, 2, 3]);
});

/** Polls a worker that runs a task, a second after the lease of the process was checked, and returns the lease's deadline on the worker's clock. */
const deadlineAfterPause = (isSuspended: boolean): number | undefined => {
	const clock = new VirtualClock();
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'workersListed', workers: [entryOf('busy')], nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'leaseWon', fencingToken: 1, nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'polled', fencingToken: 1, workerId: 'busy', incarnation: 1, sentAtMs: 0, sentAcknowledgement: 0, nowMs: 0, wallMs: 0, answer: {
			type: 'report', report: {
				clockMs: 0, bornWallMs: 1, finished: [], running: [{
					taskKey: '1.0.0.0', attempt: 1, checkpoint: '', percent: 0, figure: 0,
				}],
			},
		},
	});
	state.isSuspended = isSuspended;
	const orders: PollOrder[] = [];
	const poller = new WorkerPoller({
		control: {
			async poll(_worker: WorkerAddress, order: PollOrder) {
				orders.push(order);
				return {type: 'unreachable'};
			},
		} as unknown as WorkerControl,
		clock, state: () => state, pauseMs: () => pollPauseMs, dispatch: () => undefined,
	});
	clock.advance(1000);
	poller.pollDueWorkers(0);
	expect(orders).toHaveLength(1);
	return orders[0]!.deadlineClockMs;
};

// TWICE: both guard against leases that outlast the time for which a next holder counts with them.
test('a process that was paused after it had checked its lease extends no lease on a worker beyond what the check allows', () => {
	expect(deadlineAfterPause(false)).toBe(taskLeaseMs);
});

test('a suspended holder extends no lease on a worker', () => {
	expect(deadlineAfterPause(true)).toBeUndefined();
});
