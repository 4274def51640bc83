/**
Workers report runs and ends of jobs that the new holder has not read yet: its predecessor, replaced on suspicion, started them. Guards against tasks that run again after their ends were acknowledged, and beside their first runs (TWICE).
*/
import {beforeEach, expect, test} from 'vitest';
import {fenceKey} from '@poplarnotch/state';
import {
	type FinishedEntry, type JobSpec, reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerReport,
} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {
	configurationWithoutStandby, pool, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

const fencingToken = 5;
const wallOffsetMs = 1_000_000;
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;
const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

let state: SchedulerState;
let nowMs: number;
let effects: SchedulerEffect[];

const dispatch = (event: EventBody): void => {
	nowMs += 5;
	effects = [...reduceScheduler(state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects];
};

const effectTypes = (): readonly string[] => effects.map(({type}) => type).filter(type => type === 'start' || type === 'stop');

/** Runs a round after the job rows were last read completely at the given time. */
const round = (jobRowsConfirmedAtMs: number): void => {
	nowMs += 50;
	dispatch({type: 'tick', jobRowsConfirmedAtMs});
};

const accept = (spec: JobSpec): void => {
	dispatch({type: 'jobsChanged', changes: [acceptedChange(spec, {rowKey: 'row'})]});
};

const report = (changes: Partial<WorkerReport>): void => {
	dispatch({
		type: 'polled', fencingToken, workerId: 'w1', incarnation: 1, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: nowMs, bornWallMs: 900_000, running: [], finished: [], ...changes,
			},
		},
	});
};

const done: FinishedEntry = {
	sequence: 1, taskKey, attempt: 4001, end: 'done', checkpoint: '',
};

const running: WorkerReport['running'] = [{
	taskKey, attempt: 4001, checkpoint: 'c1', percent: 10, figure: 0,
}];

const acknowledged = (): number => state.workers.get('w1')!.acknowledgedSequence;

/** Runs rounds and returns in how many of them a task was started. */
const roundsWithStarts = (rounds: number): number => Array.from({length: rounds}).filter(() => {
	round(nowMs);
	return effectTypes().includes('start');
}).length;

/** Stores the pending save. */
const store = (): void => {
	dispatch({type: 'saved', fencingToken, saveNumber: state.pendingSaveNumber!});
};

beforeEach(() => {
	state = new SchedulerState();
	nowMs = 0;
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: [{
			workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
		}],
	});
	dispatch({type: 'leaseWon', fencingToken});
	dispatch({
		type: 'machinesListed', sentAtMs: nowMs, machines: [{
			machineId: 'm1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: 'w1',
		}],
	});
});

test('the end of a task whose job is read later is acknowledged once it is stored, and the task is not started again', () => {
	const confirmedAtMs = nowMs;
	report({finished: [done]});
	round(confirmedAtMs);
	expect(acknowledged()).toBe(0);
	accept(job);
	round(confirmedAtMs);
	expect(effectTypes()).toEqual([]);
	expect(state.jobs.get(job.jobId)!.outcome).toBe('completed');
	expect(acknowledged()).toBe(0);
	store();
	expect(acknowledged()).toBe(1);
});

const workerEntry = {
	workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
};

// Guards against an end that only this process knows of once its worker has forgotten it.
test('the end of a task whose job is read later counts although its worker has started again meanwhile', () => {
	const confirmedAtMs = nowMs;
	report({finished: [done]});
	round(confirmedAtMs);
	dispatch({type: 'workersListed', workers: [{...workerEntry, bornWallMs: 900_500}]});
	dispatch({
		type: 'polled', fencingToken, workerId: 'w1', incarnation: state.workers.get('w1')!.incarnation, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: nowMs, bornWallMs: 900_500, running: [], finished: [],
			},
		},
	});
	accept(job);
	expect(roundsWithStarts(10)).toBe(0);
	expect(state.jobs.get(job.jobId)!.outcome).toBe('completed');
});

test('the end of a task whose job is read later counts although its worker has left meanwhile', () => {
	const confirmedAtMs = nowMs;
	report({finished: [done]});
	round(confirmedAtMs);
	const others = ['w2', 'w3'].map(workerId => ({...workerEntry, workerId, address: `${workerId}:1`}));
	dispatch({type: 'workersListed', workers: others});
	dispatch({
		type: 'machinesListed', sentAtMs: nowMs, machines: others.map(({workerId}) => ({
			machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity, workerId,
		})),
	});
	accept(job);
	expect(roundsWithStarts(10)).toBe(0);
	expect(state.jobs.get(job.jobId)!.outcome).toBe('completed');
});

test('the end of a task whose job has been removed is acknowledged once all job rows have been read since', () => {
	report({finished: [done]});
	round(nowMs + 1);
	expect(acknowledged()).toBe(1);
});

test('the run of a task whose job is read later is neither stopped nor started beside', () => {
	const confirmedAtMs = nowMs;
	report({running});
	expect(effectTypes()).toEqual([]);
	accept(job);
	round(confirmedAtMs);
	expect(effectTypes()).toEqual([]);
	report({running: [{...running[0]!, percent: 20}]});
	report({finished: [done]});
	round(confirmedAtMs);
	expect(effectTypes()).toEqual([]);
	expect(state.jobs.get(job.jobId)!.outcome).toBe('completed');
});

test('a run whose job does not exist is stopped once all job rows have been read since', () => {
	const confirmedAtMs = nowMs;
	report({running});
	round(confirmedAtMs);
	expect(effectTypes()).toEqual([]);
	round(nowMs);
	expect(effectTypes()).toEqual(['stop']);
});

// The predecessor's clock was ahead of this one's.
test('the end of an occurrence that is not due by this clock is kept until it is due', () => {
	const firstDueWallMs = wallOffsetMs + 1000;
	accept({...job, recurrence: {count: 2, firstDueWallMs, periodMs: 10_000}});
	report({finished: [done]});
	round(nowMs);
	expect(acknowledged()).toBe(0);
	nowMs = 1100;
	round(nowMs);
	expect(effectTypes()).toEqual([]);
	store();
	expect(acknowledged()).toBe(1);
});

test('jobs that a replaced holder goes on starting, and that its successor reads late, run once', async () => {
	const simulation = new SchedulerSimulation({
		seed: 5, processes: 2, workersPerPool: 6, standbyMachines: 0,
	});
	simulation.fleet.behaviour.runMs = () => 100;
	await simulation.run(takeoverMs);
	const former = simulation.holder!;
	const next = simulation.processes.find(process => process !== former)!;
	next.table.latencyMs = 500;
	await simulation.run(1000);
	simulation.datagrams.isLost = () => true;
	for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 5) {
		if (elapsedMs % 20 === 0) {
			void simulation.submit(jobOf(1 + elapsedMs, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 2})]}), next);
		}

		await simulation.run(5);
		const [lease] = await simulation.table.readRows([fenceKey('scheduler')]);
		// The former holder learns from a worker only that it was replaced, since the answers to its writes are lost.
		former.table.lostAnswerRate = lease?.version === former.scheduler.state.term?.fencingToken ? 0 : 1;
	}

	expect(next.scheduler.state.term).toBeDefined();
	former.table.lostAnswerRate = 0;
	await simulation.run(8000);
	const keys = simulation.fleet.starts.map(start => start.taskKey);
	expect(new Set(keys).size).toBe(300);
	expect(keys.length).toBe(300);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});
