/**
The end of a takeover. Each test guards against jobs of the earlier lease holder that wait although nothing of it can run unseen any more, or that start too early.
*/
import {beforeEach, expect, test} from 'vitest';
import {reduceScheduler} from '../src/core/reducer.js';
import {SchedulerState} from '../src/core/scheduler-state.js';
import {type MachineEntry, type WorkerEntry} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {configurationOf, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

/** Wall clock at the time 0 of the monotonic clock. */
const wallOffsetMs = 1_000_000;

let state: SchedulerState;

const dispatch = (event: EventBody, nowMs: number): void => {
	reduceScheduler(state, {...event, nowMs, wallMs: wallOffsetMs + nowMs});
};

const workerOf = (workerId: string, bornWallMs: number): WorkerEntry => ({
	workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
});

const machine: MachineEntry = {
	machineId: 'm-1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: 'listed',
};

/** A process that first sees the workers as it wins the lease. One of them, born at the given time, is no longer on any machine and does not answer. */
const takeOver = (bornWallMs: number): void => {
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
	dispatch({type: 'machinesListed', machines: [machine], sentAtMs: 10}, 20);
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
