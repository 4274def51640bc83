/**
Reports on waves over a change of the lease. Guards against a wave whose state the operators never read, because the report was still unanswered when the term ended.
*/
import {beforeEach, expect, test} from 'vitest';
import {type MachineEntry, reduceScheduler, SchedulerState} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

let state: SchedulerState;
let nowMs: number;

/** Returns the states that are reported. */
const dispatch = (event: EventBody): readonly string[] => {
	nowMs += 25;
	return reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs}).effects.flatMap(effect => effect.type === 'reportWave' ? [effect.state] : []);
};

const list = (): void => {
	const machine: MachineEntry = {
		machineId: 'm1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: undefined,
	};
	dispatch({type: 'machinesListed', sentAtMs: nowMs, machines: [machine]});
};

beforeEach(() => {
	state = new SchedulerState();
	nowMs = 0;
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'wavesOrdered', waves: [{
			waveId: 1, machineIds: ['m1'], withinMs: 60_000, concurrency: 1,
		}],
	});
	dispatch({type: 'leaseWon', fencingToken: 5});
	list();
});

test('a wave is reported again in each term, since the report of the term before may not have been written', () => {
	expect(dispatch({type: 'tick'})).toEqual(['running']);
	expect(dispatch({type: 'tick'})).toEqual([]);
	dispatch({
		type: 'waveProgressed', waveId: 1, maintained: ['m1'], isCompleted: true,
	});
	expect(dispatch({type: 'tick'})).toEqual(['completed']);
	dispatch({type: 'leaseLost', fencingToken: 5});
	dispatch({type: 'leaseWon', fencingToken: 9});
	list();
	expect(dispatch({type: 'tick'})).toEqual(['completed']);
	expect(dispatch({type: 'tick'})).toEqual([]);
});

test('a wave is not reported again after a suspension, in which the report is repeated', () => {
	expect(dispatch({type: 'tick'})).toEqual(['running']);
	dispatch({type: 'leaseSuspended'});
	dispatch({type: 'leaseConfirmed', fencingToken: 5});
	expect(dispatch({type: 'tick'})).toEqual([]);
});
