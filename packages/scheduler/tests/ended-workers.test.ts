/**
Workers that a process takes for ended and that go on. Guards against tasks that are started again because their worker, which lists their ends, is never polled (TWICE).
*/
import {beforeEach, expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {pollPauseMs} from '../src/constants.js';
import {isUsable} from '../src/core/workers.js';
import {
	type FinishedEntry, type MachineEntry, reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerAddress, type WorkerControl,
} from '../src/index.js';
import {WorkerPoller} from '../src/shell/worker-poller.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const bornWallMs = 900_000;
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;
const roundMs = 25;

let clock: VirtualClock;
let state: SchedulerState;
let starts: string[];
let pendingSave: number | undefined;
/** The ends that each worker lists, and up to which it was told to forget them. */
let ends: Map<string, readonly FinishedEntry[]>;
let acknowledged: Map<string, number>;
let machines: readonly MachineEntry[];
let poller: WorkerPoller;

const dispatch = (event: EventBody): readonly SchedulerEffect[] => {
	const nowMs = clock.nowMs();
	const {effects} = reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs});
	for (const effect of effects) {
		if (effect.type === 'start') {
			starts.push(effect.taskKey);
		} else if (effect.type === 'save') {
			pendingSave = effect.save.saveNumber;
		}
	}

	return effects;
};

const machineOf = (workerId: string): MachineEntry => ({
	machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity, workerId,
});

const control = {
	async poll({workerId}: WorkerAddress, {acknowledgedSequence}: {readonly acknowledgedSequence: number}) {
		acknowledged.set(workerId, Math.max(acknowledged.get(workerId) ?? 0, acknowledgedSequence));
		return {
			type: 'report', report: {
				clockMs: clock.nowMs(), bornWallMs, running: [], finished: (ends.get(workerId) ?? []).filter(({sequence}) => sequence > acknowledged.get(workerId)!),
			},
		};
	},
} as unknown as WorkerControl;

/** Runs rounds, lists the machines every 400 ms, polls the workers and stores all progress. */
const run = async (forMs: number): Promise<void> => {
	for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += roundMs) {
		clock.advance(roundMs);
		if (clock.nowMs() % 400 === 0) {
			dispatch({type: 'machinesListed', sentAtMs: clock.nowMs(), machines});
		}

		dispatch({type: 'tick', jobRowsConfirmedAtMs: clock.nowMs()});
		poller.pollDueWorkers(clock.nowMs());
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		if (pendingSave !== undefined && state.term !== undefined) {
			dispatch({type: 'saved', fencingToken: state.term.fencingToken, saveNumber: pendingSave});
			pendingSave = undefined;
		}
	}
};

beforeEach(async () => {
	clock = new VirtualClock();
	state = new SchedulerState();
	starts = [];
	pendingSave = undefined;
	ends = new Map();
	acknowledged = new Map();
	machines = ['w1', 'w2'].map(workerId => machineOf(workerId));
	poller = new WorkerPoller({
		control, clock, state: () => state, pauseMs: () => pollPauseMs, dispatch(event) {
			dispatch(event);
		},
	});
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: ['w1', 'w2'].map(workerId => ({
			workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
		})),
	});
	dispatch({type: 'leaseWon', fencingToken: 5});
	await run(400);
	expect(state.isSettled).toBe(true);
});

/** The job's only task had ended as done on w1. */
const expectNoSecondRun = (): void => {
	expect(starts).toEqual([]);
	expect(state.jobs.get(job.jobId)!.outcome).toBe('completed');
	expect(acknowledged.get('w1')).toBe(1);
};

/** Another process holds the lease for a while. It has the task run on w1, and stores nothing. */
const loseLeaseForAWhile = (): void => {
	dispatch({type: 'leaseLost', fencingToken: 5});
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]});
	ends.set('w1', [{
		sequence: 1, taskKey, attempt: 7001, end: 'done', checkpoint: '',
	}]);
	clock.advance(1000);
	dispatch({type: 'leaseWon', fencingToken: 9});
};

test('a worker is heard in a later term of a holder whose order for its machine was accepted and had changed nothing', async () => {
	dispatch({
		type: 'wavesOrdered', waves: [{
			waveId: 1, machineIds: ['m-w1'], withinMs: 60_000, concurrency: 1,
		}],
	});
	const order = dispatch({type: 'tick'}).find(effect => effect.type === 'maintain');
	// An earlier holder had the machine maintained for the same wave.
	dispatch({
		type: 'machineAnswered', fencingToken: 5, machineId: 'm-w1', orderNumber: order!.orderNumber, answer: 'accepted',
	});
	loseLeaseForAWhile();
	await run(7000);
	expectNoSecondRun();
});

test('a worker is heard in a later term of a holder that ended it because one list of machines lacked it', async () => {
	machines = [machineOf('w2')];
	await run(400);
	expect(state.workers.get('w1')!.isEnded).toBe(true);
	machines = ['w1', 'w2'].map(workerId => machineOf(workerId));
	loseLeaseForAWhile();
	await run(7000);
	expectNoSecondRun();
});

test('a worker is used again in the same term once a later list of machines names it', async () => {
	machines = [machineOf('w2')];
	await run(400);
	expect(state.workers.get('w1')!.isEnded).toBe(true);
	machines = ['w1', 'w2'].map(workerId => machineOf(workerId));
	await run(800);
	expect(isUsable(state.workers.get('w1')!, clock.nowMs())).toBe(true);
});
