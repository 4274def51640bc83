/**
The store refuses a row of progress by itself. Guards against ends that are acknowledged although nothing of them is stored (TWICE), and against one such row that holds up everything else.
*/
import {beforeEach, expect, test} from 'vitest';
import {
	type FinishedEntry, type JobSpec, reduceScheduler, type SchedulerEffect, SchedulerState,
} from '../src/index.js';
import {type ProgressSave} from '../src/core/events.js';
import {progressKey} from '../src/jobs/rows.js';
import {canStartTrial, planTrial} from '../src/core/trials.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {
	configurationWithoutStandby, pool, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

const fencingToken = 5;
const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const refused = jobOf(1, {steps: [stepOf({taskCount: 5})]});
const stored = jobOf(2, {steps: [stepOf({taskCount: 5})]});

let state: SchedulerState;
let nowMs: number;
let effects: SchedulerEffect[];

const dispatch = (event: EventBody): void => {
	nowMs += 5;
	effects = [...reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs}).effects];
};

/** Runs a round and returns the save that it emits. */
const round = (): ProgressSave | undefined => {
	nowMs += 50;
	dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs});
	return effects.find(effect => effect.type === 'save')?.save;
};

const savedJobs = (save: ProgressSave | undefined): readonly string[] | undefined => save?.jobs.map(({jobId}) => jobId).toSorted();

const end = (sequence: number, {jobId}: JobSpec, index: number): FinishedEntry => ({
	sequence, taskKey: `${jobId}.0.0.${index}`, attempt: 4001, end: 'done', checkpoint: '',
});

const report = (workerId: string, ...finished: readonly FinishedEntry[]): void => {
	const {incarnation} = state.workers.get(workerId)!;
	dispatch({
		type: 'polled', fencingToken, workerId, incarnation, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: nowMs, bornWallMs: 900_000, running: [], finished,
			},
		},
	});
};

const answerSave = (save: ProgressSave | undefined, isRefused: boolean): void => {
	const refusedJobIds = isRefused ? save!.jobs.map(({jobId}) => jobId).filter(jobId => jobId === refused.jobId) : [];
	dispatch({
		type: 'saved', fencingToken, saveNumber: save!.saveNumber, refusedJobIds,
	});
};

const acknowledged = (): readonly number[] => [...state.workers.values()].map(({acknowledgedSequence}) => acknowledgedSequence);

beforeEach(() => {
	state = new SchedulerState();
	nowMs = 0;
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: ['w1', 'w2'].map(workerId => ({
			workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
		})),
	});
	dispatch({type: 'leaseWon', fencingToken});
	dispatch({type: 'jobsChanged', changes: [refused, stored].map(job => acceptedChange(job))});
});

test('ends whose progress the store refuses are not acknowledged, nor those after them on their worker, and all others are', () => {
	report('w1', end(1, stored, 0), end(2, refused, 0), end(3, stored, 1));
	report('w2', end(1, stored, 2), end(2, stored, 3));
	answerSave(round(), true);
	expect(acknowledged()).toEqual([1, 2]);
	round();
	expect(acknowledged()).toEqual([1, 2]);
});

test('ends that arrive while their job is refused wait until a save that holds them is stored', () => {
	report('w1', end(1, refused, 0));
	answerSave(round(), true);
	nowMs += 2000;
	const retry = round();
	expect(savedJobs(retry)).toEqual([refused.jobId]);
	report('w2', end(1, refused, 1));
	answerSave(retry, false);
	const next = round();
	expect(savedJobs(next)).toEqual([refused.jobId]);
	expect(acknowledged()).toEqual([0, 0]);
	answerSave(next, false);
	expect(acknowledged()).toEqual([1, 1]);
});

test('refused progress is saved again once a second, however often others are saved, and is released once it is stored', () => {
	const attemptsAtMs: number[] = [];
	report('w1', end(1, refused, 0), end(2, stored, 0));
	for (let count = 0; count < 100; count++) {
		const save = round();
		const retried = save?.jobs.find(({jobId}) => jobId === refused.jobId);
		if (retried !== undefined) {
			expect(retried.isRetry).toBe(attemptsAtMs.length > 0);
			attemptsAtMs.push(nowMs);
		}

		if (save !== undefined) {
			answerSave(save, true);
		}

		// New progress of the refused job is no reason to save it sooner.
		if (count % 10 === 0 && count < 40) {
			report('w2', end(1 + (count / 10), refused, 1 + (count / 10)));
		}
	}

	expect(attemptsAtMs.length).toBeGreaterThanOrEqual(5);
	expect(attemptsAtMs.length).toBeLessThanOrEqual(6);
	expect(acknowledged()).toEqual([0, 0]);
	nowMs += 1000;
	answerSave(round(), false);
	expect(round()).toBeUndefined();
	expect(acknowledged()).toEqual([2, 4]);
});

test('ends of other jobs are saved and acknowledged without delay while one is refused', () => {
	report('w1', end(1, refused, 0));
	answerSave(round(), true);
	report('w2', end(1, stored, 0));
	const save = round();
	expect(savedJobs(save)).toEqual([stored.jobId]);
	answerSave(save, true);
	expect(acknowledged()).toEqual([0, 1]);
	expect(round()).toBeUndefined();
});

test('a refused save is repeated in the next term, and its ends stay unacknowledged until then', () => {
	report('w1', end(1, refused, 0));
	answerSave(round(), true);
	dispatch({type: 'leaseLost', fencingToken});
	dispatch({type: 'leaseWon', fencingToken: fencingToken + 1});
	nowMs += 1000;
	expect(savedJobs(round())).toEqual([refused.jobId]);
});

test('a trial whose planned attempt the store refuses does not start', () => {
	const job = state.jobs.get(refused.jobId)!;
	round();
	planTrial(state, {tasks: [job.occurrences.get(0)![0]!.tasks[0]!], workers: [state.workers.get('w1')!], attempt: 5001}, nowMs);
	const [trial] = state.trials;
	const save = round();
	expect(savedJobs(save)).toEqual([refused.jobId]);
	answerSave(save, true);
	expect(canStartTrial(state, trial!)).toBe(false);
});

test('what a save acknowledges is logged in one line, with the save and the term', () => {
	report('w1', end(1, stored, 0), end(2, refused, 0));
	report('w2', end(1, stored, 1), end(2, stored, 2));
	const save = round();
	answerSave(save, true);
	expect(effects.filter(effect => effect.type === 'log').map(({fields}) => fields).filter(({event}) => event === 'ends_acknowledged')).toEqual([{
		event: 'ends_acknowledged', saveNumber: save!.saveNumber, fencingToken, count: 2, workers: 'w1:1,w2:2',
	}]);
});

test('tasks whose ends the store does not take are not started again by the next holder', async () => {
	const simulation = new SchedulerSimulation({
		seed: 7, processes: 2, workersPerPool: 6, standbyMachines: 0,
	});
	simulation.fleet.behaviour.runMs = taskKey => taskKey.endsWith('.0') ? 20_000 : 100;
	await simulation.run(takeoverMs);
	const former = simulation.holder!;
	const isOfFirstJob = (key: string): boolean => key === progressKey(refused.jobId);
	for (const {table} of simulation.processes) {
		table.isRejected = isOfFirstJob;
	}

	for (const job of [refused, stored]) {
		void simulation.submit(job, former);
	}

	await simulation.run(4000);
	const rows = await simulation.table.readRows([refused, stored].map(({jobId}) => progressKey(jobId)));
	expect(rows.map(({key}) => key)).toEqual([progressKey(stored.jobId)]);
	simulation.kill(former);
	await simulation.run(8000);
	expect(simulation.holder).toBeDefined();
	expect(simulation.fleet.starts.map(({taskKey}) => taskKey).toSorted()).toEqual([refused, stored].flatMap(({jobId}) => [0, 1, 2, 3, 4].map(index => `${jobId}.0.0.${index}`)));
	for (const {table} of simulation.processes) {
		table.isRejected = () => false;
	}

	await simulation.run(12_000);
	expect([...simulation.holder!.scheduler.state.jobs.values()].map(({outcome, isOutcomeStored}) => [outcome, isOutcomeStored])).toEqual([['completed', true], ['completed', true]]);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});
