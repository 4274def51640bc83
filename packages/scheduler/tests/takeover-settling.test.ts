/**
The end of a takeover. Each test guards against jobs of the earlier lease holder that wait although nothing of it can run unseen any more, or that start too early.
*/
import {beforeEach, expect, test} from 'vitest';
import {type EarlierHolder, type SchedulerEffect} from '../src/core/events.js';
import {reduceScheduler} from '../src/core/reducer.js';
import {SchedulerState} from '../src/core/scheduler-state.js';
import {type MachineEntry, type UnreadableMachine, type WorkerEntry} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {longestLeaseMs, maxArrivalMs, shortLeaseMs} from './support/lease-bounds.js';
import {configurationOf, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

/** Wall clock at the time 0 of the monotonic clock. */
const wallOffsetMs = 1_000_000;

let state: SchedulerState;

const dispatch = (event: EventBody, nowMs: number): readonly SchedulerEffect[] =>
	reduceScheduler(state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects;

const workerOf = (workerId: string, bornWallMs: number): WorkerEntry => ({
	workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
});

const machine: MachineEntry = {
	machineId: 'm-1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: 'listed',
};

/** A process that first sees the workers as it wins the lease. One of them, born at the given time, is no longer on any machine and does not answer. */
const takeOver = (bornWallMs: number, unreadable: readonly UnreadableMachine[] = []): void => {
	dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
	dispatch({type: 'workersListed', workers: [workerOf('listed', wallOffsetMs - 60_000), workerOf('gone', bornWallMs)]}, 0);
	dispatch({type: 'leaseWon', fencingToken: 5}, 0);
	dispatch({
		type: 'polled', fencingToken: 5, workerId: 'listed', incarnation: 1, sentAtMs: 1, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: 0, bornWallMs: wallOffsetMs - 60_000, running: [], finished: [],
			},
		},
	}, 5);
	dispatch({
		type: 'machinesListed', machines: [machine], unreadable, sentAtMs: 10,
	}, 20);
	dispatch({type: 'tick'}, 25);
};

beforeEach(() => {
	state = new SchedulerState();
});

test('an old worker whose machine was moved away by the earlier holder does not delay the end of the takeover', () => {
	takeOver(wallOffsetMs - 10_000);
	expect(state.isSettled).toBe(true);
});

test('a worker that may have registered after the machines were listed is waited for', () => {
	takeOver(wallOffsetMs - 1000);
	expect(state.isSettled).toBe(false);
});

// Guards against starting tasks again elsewhere because the entry of their machine could not be read.
test.each([
	{about: 'its machine', unreadable: [{machineId: 'm-1', workerId: undefined}], isEnded: false},
	{about: 'itself', unreadable: [{machineId: undefined, workerId: 'listed'}], isEnded: false},
	{about: 'another machine', unreadable: [{machineId: 'm-9', workerId: 'i-9'}], isEnded: true},
])('a worker that is missing from a list with an unreadable entry about $about has ended: $isEnded', ({unreadable, isEnded}) => {
	takeOver(wallOffsetMs - 10_000);
	const other: MachineEntry = {...machine, machineId: 'm-2', workerId: 'other'};
	dispatch({
		type: 'machinesListed', machines: [other], unreadable, sentAtMs: 3000,
	}, 3010);
	expect(state.workers.get('listed')!.isEnded).toBe(isEnded);
	expect(state.machines.has('m-1')).toBe(unreadable.some(({machineId}) => machineId === 'm-1'));
});

// Guards against starting tasks again elsewhere because a list of several pages missed the machine of an unregistered worker.
test('a takeover waits for a second list where lists have several pages, and for the machines of both', () => {
	const unregistered: MachineEntry = {...machine, machineId: 'm-2', workerId: 'unregistered'};
	const listPages = (machines: readonly MachineEntry[], sentAtMs: number): boolean => {
		dispatch({
			type: 'machinesListed', machines, isOfOneMoment: false, sentAtMs,
		}, sentAtMs + 10);
		dispatch({type: 'tick'}, sentAtMs + 15);
		return state.isSettled;
	};

	dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
	dispatch({type: 'workersListed', workers: [workerOf('listed', wallOffsetMs - 60_000)]}, 0);
	dispatch({type: 'leaseWon', fencingToken: 5}, 0);
	dispatch({
		type: 'polled', fencingToken: 5, workerId: 'listed', incarnation: 1, sentAtMs: 1, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: 0, bornWallMs: wallOffsetMs - 60_000, running: [], finished: [],
			},
		},
	}, 5);
	expect(listPages([machine], 10)).toBe(false);
	expect(listPages([machine, unregistered], 500)).toBe(false);
	expect(listPages([machine], 1000)).toBe(false);
	expect(listPages([machine], 1500)).toBe(true);
});

test('a takeover waits for an unreadable machine that the next list of several pages misses', () => {
	takeOver(wallOffsetMs - 10_000, [{machineId: 'm-9', workerId: undefined}]);
	const listPages = (sentAtMs: number): boolean => {
		dispatch({
			type: 'machinesListed', machines: [machine], isOfOneMoment: false, sentAtMs,
		}, sentAtMs + 10);
		dispatch({type: 'tick'}, sentAtMs + 15);
		return state.isSettled;
	};

	expect(listPages(500)).toBe(false);
	expect(listPages(1000)).toBe(true);
});

/** When the last lease that was sent to a worker at this time is over, on the incarnation that it was meant for. */
const leaseOverMs = (sentAtMs: number): number => sentAtMs + shortLeaseMs;

/** When the longest lease is over that a worker grants at this time. */
const longestLeaseOverMs = (grantedAtMs: number): number => grantedAtMs + longestLeaseMs;

/** Ticks until the takeover is settled, and returns the time and the line that is logged. */
const settle = (fromMs: number) => {
	for (let nowMs = fromMs; nowMs < 20_000; nowMs += 10) {
		const line = dispatch({type: 'tick'}, nowMs).find(effect => effect.type === 'log' && effect.fields.event === 'takeover_settled');
		if (line?.type === 'log') {
			return {atMs: nowMs, ...line.fields};
		}
	}

	return undefined;
};

// Guards against starting tasks elsewhere while a replaced holder keeps them running on a worker that it still reaches.
test.each([
	{
		about: 'may give orders for 2 s', earlierHolder: {mayOrderUntilMs: 2000, mayOrderMachinesUntilMs: 3000}, goneAtMs: undefined, overlapMs: 2000,
	},
	{
		about: 'is gone after 1 s', earlierHolder: {mayOrderUntilMs: 2000, mayOrderMachinesUntilMs: 3000}, goneAtMs: 1000, overlapMs: 1000,
	},
	{
		about: 'was gone before', earlierHolder: undefined, goneAtMs: undefined, overlapMs: 0,
	},
])('a worker of which only an earlier registration is known is waited for until its longest lease is over, counted from the last order of a holder that $about', ({earlierHolder, goneAtMs, overlapMs}) => {
	dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
	dispatch({type: 'workersListed', workers: [workerOf('cut', wallOffsetMs - 1000)]}, 0);
	dispatch({type: 'leaseWon', fencingToken: 5, earlierHolder}, 0);
	if (goneAtMs !== undefined) {
		dispatch({type: 'earlierHolderChanged', earlierHolder: {mayOrderUntilMs: goneAtMs, mayOrderMachinesUntilMs: goneAtMs}}, goneAtMs);
	}

	expect(settle(goneAtMs ?? 0)).toMatchObject({atMs: longestLeaseOverMs(overlapMs + maxArrivalMs), unanswered: 1, overlapMs});
});

// Guards against a task that is started again before the lease is over that a replaced holder sent after the next one had begun.
test.each([
	{about: 'long before', bornWallMs: wallOffsetMs - 60_000, overAtMs: leaseOverMs(1500)},
	{about: 'just before', bornWallMs: wallOffsetMs - 1000, overAtMs: longestLeaseOverMs(1500)},
])('the runs of a worker that began $about and answers once are kept until the last lease is over that the replaced holder may have granted before', ({bornWallMs, overAtMs}) => {
	const earlierHolder: EarlierHolder = {mayOrderUntilMs: 2000, mayOrderMachinesUntilMs: 3000};
	dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
	dispatch({type: 'workersListed', workers: [workerOf('cut', bornWallMs)]}, 0);
	dispatch({type: 'leaseWon', fencingToken: 5, earlierHolder}, 0);
	const poll = {
		type: 'polled', fencingToken: 5, workerId: 'cut', incarnation: 1, sentAcknowledgement: 0,
	} as const;
	dispatch({
		...poll, sentAtMs: 1490, answer: {
			type: 'report', report: {
				clockMs: 0, bornWallMs, finished: [], running: [{
					taskKey: '1.0.0.0', attempt: 1, checkpoint: '', percent: 0, figure: 0,
				}],
			},
		},
	}, 1500);
	dispatch({...poll, sentAtMs: 1600, answer: {type: 'unreachable'}}, 1800);
	dispatch({type: 'tick'}, overAtMs - 10);
	expect(state.workers.get('cut')!.runs.size).toBe(1);
	dispatch({type: 'tick'}, overAtMs);
	expect(state.workers.get('cut')!.runs.size).toBe(0);
});

// Guards against starting a task again that runs on a worker of which neither the registration nor the machine can be read.
test.each([
	{about: 'a worker that has not registered', unreadable: {machineId: 'm-2', workerId: 'unknown'}, isSettled: false},
	{about: 'a worker that cannot be read', unreadable: {machineId: 'm-2', workerId: undefined}, isSettled: false},
	{about: 'a worker that has reported', unreadable: {machineId: 'm-2', workerId: 'listed'}, isSettled: true},
])('a takeover with an unreadable machine of $about is settled at once: $isSettled', ({unreadable, isSettled}) => {
	takeOver(wallOffsetMs - 10_000, [unreadable]);
	expect(state.isSettled).toBe(isSettled);
	dispatch({type: 'tick'}, longestLeaseOverMs(maxArrivalMs) - 1);
	expect(state.isSettled).toBe(isSettled);
	dispatch({type: 'tick'}, longestLeaseOverMs(maxArrivalMs));
	expect(state.isSettled).toBe(true);
});

// Guards against jobs that wait for the leases of a worker that had ended in an earlier term of the same process.
test.each([
	{
		about: 'is gone', isListed: false, workerId: 'next', isSettled: true,
	},
	{
		about: 'is registered again', isListed: true, workerId: 'next', isSettled: false,
	},
	{
		about: 'runs on a machine again', isListed: false, workerId: 'listed', isSettled: false,
	},
])('a second takeover with a worker that ended in the first term and $about is settled at once: $isSettled', ({isListed, workerId, isSettled}) => {
	takeOver(wallOffsetMs - 10_000);
	const next = workerOf('next', wallOffsetMs);
	dispatch({type: 'workersListed', workers: [next]}, 30);
	dispatch({type: 'machinesListed', machines: [{...machine, workerId: 'next'}], sentAtMs: 40}, 50);
	expect(state.workers.get('listed')).toMatchObject({isEnded: true, isListed: false});
	dispatch({type: 'leaseLost', fencingToken: 5}, 60);
	dispatch({type: 'workersListed', workers: isListed ? [next, workerOf('listed', wallOffsetMs - 60_000)] : [next]}, 70);
	dispatch({type: 'leaseWon', fencingToken: 9}, 80);
	dispatch({
		type: 'polled', fencingToken: 9, workerId: 'next', incarnation: state.workers.get('next')!.incarnation, sentAtMs: 85, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: 0, bornWallMs: wallOffsetMs, running: [], finished: [],
			},
		},
	}, 90);
	dispatch({type: 'machinesListed', machines: [{...machine, workerId: 'next'}, {...machine, machineId: 'm-9', workerId}], sentAtMs: 95}, 100);
	dispatch({type: 'tick'}, 105);
	expect(state.isSettled).toBe(isSettled);
});

// Guards against starting tasks again whose ends a worker has not listed yet, since its report was full.
test('the time limit does not settle a takeover while a worker that answers has further ends, and does once it has been silent past its lease', () => {
	dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
	dispatch({type: 'workersListed', workers: [workerOf('full', wallOffsetMs - 60_000)]}, 0);
	dispatch({type: 'leaseWon', fencingToken: 5}, 0);
	const poll = (answer: Extract<EventBody, {readonly type: 'polled'}>['answer'], nowMs: number): void => {
		dispatch({
			type: 'polled', fencingToken: 5, workerId: 'full', incarnation: 1, sentAtMs: nowMs - 5, sentAcknowledgement: 0, answer,
		}, nowMs);
	};

	const report = {
		clockMs: 0, bornWallMs: wallOffsetMs - 60_000, running: [], finished: Array.from({length: 500}, (_value, index) => ({
			sequence: index + 1, taskKey: `ffffffffffffffff.0.0.${index}`, attempt: 1, end: 'done', checkpoint: '',
		} as const)),
	};
	for (let nowMs = 100; nowMs <= 7000; nowMs += 100) {
		poll({type: 'report', report}, nowMs);
		dispatch({type: 'tick'}, nowMs);
	}

	expect(state.isSettled).toBe(false);
	poll({type: 'unreachable'}, 7100);
	expect(settle(7100)).toMatchObject({by: 'time', unanswered: 1});
});
