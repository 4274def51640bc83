/**
Orders that wait for a connection while their holder stands still and is replaced. Guards against orders on a lapsed lease to workers and machines that know of no later holder (TWICE): a worker that has started again carries out a start, and a machine ends its worker with what has just ended there.
*/
import {describe, expect, test} from 'vitest';
import {noteNaming} from './support/handover-notes.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {NewHolder, wallOffsetMs} from './support/new-holder.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const runMs = 300;
const connectMs = 20;
const standstillMs = 1500;
const workers = ['w-0', 'w-1', 'w-2', 'w-3'];

let simulation: SchedulerSimulation;
let former: SchedulerSimulation['processes'][number];

const begin = async (): Promise<void> => {
	simulation = new SchedulerSimulation({
		seed: 64, processes: 4, workersPerPool: workers.length, standbyMachines: 0, successors: 4,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.fleet.behaviour.runMs = () => runMs;
	await simulation.run(takeoverMs);
	former = simulation.holder!;
};

const submit = async (): Promise<void> => {
	await Promise.all([
		simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: workers.length})]}), simulation.processes.find(process => process !== former)),
		simulation.run(connectMs),
	]);
};

/** Lets the orders of the holder wait for a connection, and the holder stand still as soon as one does. */
const standStillAtOrder = async (kind: 'machine' | 'process'): Promise<void> => {
	const token = former.scheduler.state.term!.fencingToken;
	const waiting: number[] = [];
	simulation.connectMsOf = fencingToken => {
		if (fencingToken !== token && Math.floor(fencingToken / 1000) !== token) {
			return 0;
		}

		waiting.push(fencingToken);
		return connectMs;
	};

	for (let waitedMs = 0; waiting.length === 0 && waitedMs < 20_000; waitedMs += 5) {
		await simulation.run(5);
	}

	expect(waiting.length).toBeGreaterThan(0);
	former.clock.freeze(standstillMs, kind);
};

const finish = async (): Promise<void> => {
	await simulation.run(6000);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
	expect(simulation.fleet.starts).toHaveLength(workers.length);
};

// The clock of the machine stops, or only the process does.
describe.each(['machine', 'process'] as const)('after a standstill of the %s', kind => {
	test('a start is not sent to a worker that has started again', async () => {
		await begin();
		const submitted = submit();
		await standStillAtOrder(kind);
		await submitted;
		await simulation.run(standstillMs - 200);
		for (const workerId of workers) {
			simulation.restartWorkerLate(workerId, 100, 800);
		}

		await finish();
	});

	test('a machine is not ordered away under the tasks of the next holder', async () => {
		await begin();
		simulation.orderWave({
			waveId: 1, machineIds: ['m-0'], withinMs: 20_000, concurrency: 1,
		});
		await standStillAtOrder(kind);
		await simulation.run(standstillMs - 200);
		await submit();
		await finish();
	});
});

test.each([[true, false], [false, true]])('a start that was not sent (withdrawn: %s) shows that its worker is out of reach: %s', (isWithdrawn, isUnreached) => {
	const holder = new NewHolder(['here']);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobOf(1, {acceptedWallMs: wallOffsetMs}))]}, 5);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	holder.settle(20);
	const start = [40, 60].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs)).find(effect => effect.type === 'start')!;
	const {workerId, taskKey, attempt} = start;
	holder.dispatch({
		type: 'startAnswered', fencingToken: 5, workerId, taskKey, attempt, answer: 'not-sent', isWithdrawn,
	}, 70);
	expect(holder.state.workers.get(workerId)!.unreachedAtMs !== undefined).toBe(isUnreached);
});

test('ends that a replaced holder has read and not stored are not run again where their workers have started again', async () => {
	await begin();
	for (const {table} of simulation.processes) {
		table.latencyMs = 120;
	}

	const submitted = submit();
	const doneCount = (): number => [...former.scheduler.state.jobs.values()].flatMap(job => [...job.occurrences.values()]).flat().reduce((sum, step) => sum + step.doneCount, 0);
	for (let waitedMs = 0; doneCount() === 0 && waitedMs < 5000; waitedMs++) {
		await simulation.run(1);
	}

	former.clock.freeze(standstillMs, 'process');
	await simulation.run(150);
	await submitted;
	for (const workerId of workers) {
		simulation.restartWorker(workerId);
	}

	await finish();
});
