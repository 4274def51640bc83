/**
Takeovers beside a worker that lists 500 ends and has more. Guards against tasks of its further ends that are started again (TWICE), and against jobs of before a takeover that wait for ever (LOST).
*/
import {beforeEach, expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {pollPauseMs} from '../src/constants.js';
import {
	type FinishedEntry, type MachineEntry, reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerAddress, type WorkerControl,
} from '../src/index.js';
import {WorkerPoller} from '../src/shell/worker-poller.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const bornWallMs = 900_000;
const fencingToken = 5;
const roundMs = 25;
const endedCount = 600;
const ended = jobOf(1, {steps: [stepOf({taskCount: endedCount})]});
const waiting = jobOf(2, {steps: [stepOf({taskCount: 1})]});

let clock: VirtualClock;
let state: SchedulerState;
let starts: string[];
let settledAtMs: number | undefined;
let pendingSave: {readonly saveNumber: number; readonly jobIds: readonly string[]} | undefined;
let refusedJobId: string | undefined;
let isStoreAway: boolean;
let ends: Map<string, readonly FinishedEntry[]>;
let acknowledged: Map<string, number>;
let born: Map<string, number>;
let silent: Set<string>;
let machines: readonly MachineEntry[];
let poller: WorkerPoller;

const dispatch = (event: EventBody): readonly SchedulerEffect[] => {
	const nowMs = clock.nowMs();
	const {effects} = reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs});
	for (const effect of effects) {
		if (effect.type === 'start') {
			starts.push(effect.taskKey);
		} else if (effect.type === 'save') {
			pendingSave = {saveNumber: effect.save.saveNumber, jobIds: effect.save.jobs.map(({jobId}) => jobId)};
		} else if (effect.type === 'log' && effect.fields.event === 'takeover_settled') {
			settledAtMs = nowMs;
		}
	}

	return effects;
};

const entryOf = (workerId: string) => ({
	workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
});

const machineOf = (workerId: string): MachineEntry => ({
	machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity, workerId,
});

/** A worker lists 500 of its ends at a time, and forgets what is acknowledged. */
const control = {
	async poll({workerId}: WorkerAddress, {acknowledgedSequence}: {readonly acknowledgedSequence: number}) {
		if (silent.has(workerId)) {
			return {type: 'unreachable'};
		}

		acknowledged.set(workerId, Math.max(acknowledged.get(workerId) ?? 0, acknowledgedSequence));
		return {
			type: 'report', report: {
				clockMs: clock.nowMs(), bornWallMs: born.get(workerId) ?? bornWallMs, running: [], finished: (ends.get(workerId) ?? []).filter(({sequence}) => sequence > acknowledged.get(workerId)!).slice(0, 500),
			},
		};
	},
} as unknown as WorkerControl;

const answerSave = ({saveNumber, jobIds}: NonNullable<typeof pendingSave>): void => {
	pendingSave = undefined;
	dispatch({
		type: 'saved', fencingToken, saveNumber, refusedJobIds: jobIds.filter(jobId => jobId === refusedJobId),
	});
};

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
		if (pendingSave !== undefined && state.term !== undefined && !isStoreAway) {
			answerSave(pendingSave);
		}
	}
};

beforeEach(() => {
	clock = new VirtualClock();
	state = new SchedulerState();
	starts = [];
	settledAtMs = undefined;
	pendingSave = undefined;
	refusedJobId = undefined;
	isStoreAway = false;
	acknowledged = new Map();
	born = new Map();
	silent = new Set();
	ends = new Map([['full', Array.from({length: endedCount}, (_value, index) => ({
		sequence: index + 1, taskKey: `${ended.jobId}.0.0.${index}`, attempt: 4001 + index, end: 'done', checkpoint: '',
	} as const))]]);
	machines = ['full', 'other'].map(workerId => machineOf(workerId));
	poller = new WorkerPoller({
		control, clock, state: () => state, pauseMs: () => pollPauseMs, dispatch(event) {
			dispatch(event);
		},
	});
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({type: 'workersListed', workers: ['full', 'other'].map(workerId => entryOf(workerId))});
	dispatch({type: 'jobsChanged', changes: [ended, waiting].map(job => acceptedChange(job))});
	dispatch({type: 'leaseWon', fencingToken});
});

// Control: without further trouble the takeover is settled, and nothing that has ended is started.
test('a worker with 600 unacknowledged ends keeps a takeover open only until they are stored', async () => {
	await run(2000);
	expect(settledAtMs).toBeDefined();
	expect(starts).toEqual([`${waiting.jobId}.0.0.0`]);
});

test('a worker that has restarted, as its first report in the term tells, is told to forget its ends although that report is full', async () => {
	born.set('full', bornWallMs + 50_000);
	await run(20_000);
	expect({settledAtMs: settledAtMs !== undefined, acknowledged: acknowledged.get('full'), starts}).toEqual({settledAtMs: true, acknowledged: endedCount, starts: [`${waiting.jobId}.0.0.0`]});
});

test('a full worker that a list of machines has ended does not delay the end of the takeover beyond the last leases', async () => {
	refusedJobId = ended.jobId;
	silent.add('other');
	await run(1000);
	machines = [machineOf('other')];
	await run(1000);
	expect(state.workers.get('full')!.isEnded).toBe(true);
	await run(1000);
	dispatch({type: 'workersListed', workers: [entryOf('other')]});
	await run(20_000);
	expect(settledAtMs).toBeLessThan(6000);
});

test('jobs of before a takeover do not wait for ever because the store refuses the progress of one job that has ended on a worker', async () => {
	refusedJobId = ended.jobId;
	await run(60_000);
	expect(starts).toContain(`${waiting.jobId}.0.0.0`);
});

test('a worker whose restart was told by its registration is told to forget its ends although its report is full', async () => {
	dispatch({type: 'workersListed', workers: [{...entryOf('full'), bornWallMs: bornWallMs + 50_000}, entryOf('other')]});
	born.set('full', bornWallMs + 50_000);
	await run(20_000);
	expect(acknowledged.get('full')).toBe(endedCount);
});

// The store is away from the beginning of the term on, so nothing is acknowledged, and the registration of the worker lapses although it answers.
test('a full worker that answers is not forgotten, nor are its ends, because its registration has lapsed while the store is away', async () => {
	isStoreAway = true;
	await run(3000);
	dispatch({type: 'workersListed', workers: [entryOf('other')]});
	await run(17_000);
	expect(starts.filter(taskKey => taskKey.startsWith(ended.jobId))).toEqual([]);
	dispatch({type: 'workersListed', workers: ['full', 'other'].map(workerId => entryOf(workerId))});
	isStoreAway = false;
	await run(3000);
	expect(acknowledged.get('full')).toBe(endedCount);
	expect(starts).toEqual([`${waiting.jobId}.0.0.0`]);
});

// Its lease is not extended while it has no runs, so a lease that was over long ago says nothing about the length of the silence.
test('one poll without an answer does not settle a takeover with a full worker that answers before and after it', async () => {
	isStoreAway = true;
	await run(7000);
	expect(settledAtMs).toBeUndefined();
	silent.add('full');
	await run(100);
	silent.delete('full');
	await run(1000);
	expect(state.workers.get('full')!.silentSinceMs).toBeUndefined();
	expect(starts.filter(taskKey => taskKey.startsWith(ended.jobId))).toEqual([]);
	isStoreAway = false;
	await run(3000);
	expect(acknowledged.get('full')).toBe(endedCount);
	expect(starts).toEqual([`${waiting.jobId}.0.0.0`]);
});
