/**
Ends that workers list around the release of a lease, shortly before they leave. Guards against tasks that a later holder starts again because the end went to a process that dropped it, or kept it to itself (TWICE).
*/
import {afterEach, expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const workerCount = 16;
const taskCount = 8;
const leaverCount = 4;

/** Notice that workers give before they leave, at least. */
const noticeMs = 1000;

/** Longer than a test lasts. */
const throttledMs = 30_000;

/** Time that the platform gives a process to stop. */
const graceMs = 2500;

let simulation: SchedulerSimulation;
let tasks: readonly string[];
let leaverIds: readonly string[];

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

/** Starts a long task on each worker, and returns the holder once it is quiet. */
const startTasks = async (latencyMs: number) => {
	simulation = new SchedulerSimulation({
		seed: 61, processes: 6, workersPerPool: workerCount, standbyMachines: 0, successors: 4,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.arePollsAnsweredAtEnds = true;
	simulation.fleet.behaviour.runMs = () => 60_000;
	await simulation.run(takeoverMs);
	void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount, maxPerWorker: 1})]}), simulation.holder);
	await simulation.run(300);
	const leavers = [...simulation.fleet.workers.values()].filter(({runs}) => runs.size > 0).slice(0, leaverCount);
	leaverIds = leavers.map(({entry}) => entry.workerId);
	tasks = leavers.flatMap(({runs}) => [...runs.keys()]);
	for (const {table} of simulation.processes) {
		table.latencyMs = latencyMs;
	}

	await simulation.run(2100);
	return simulation.holder!;
};

/** Lets the runs of the leavers end. */
const endRuns = (afterMs: number): void => {
	for (const workerId of leaverIds) {
		for (const run of simulation.fleet.workers.get(workerId)!.runs.values()) {
			run.endsAtMs = simulation.clock.nowMs() + afterMs;
		}
	}
};

/** Lets the workers drain, which the processes read with a call's delay. */
const drainLeavers = (latencyMs: number): void => {
	simulation.registrationDelayMs = latencyMs;
	for (const workerId of leaverIds) {
		simulation.drainWorker(workerId, noticeMs);
	}
};

/** Lets all processes stand still for a part of each period, as under a quota of processor time. */
const throttleAll = (stillMs: number): void => {
	for (const process of simulation.processes) {
		simulation.throttle(process, throttledMs, () => stillMs);
	}
};

/** Runs until the workers have left and a next holder has had time to start their tasks again. */
const expectLeaversDone = async (): Promise<void> => {
	await simulation.run(9000);
	expect(tasks.filter(taskKey => !simulation.fleet.isDone(taskKey))).toEqual([]);
	expect(simulation.holder).toBeDefined();
};

test.each([4, 120, 240].flatMap(latencyMs => [10, 110].map(endsAfterMs => ({latencyMs, endsAfterMs}))))('an end is not lost that a holder about to release its lease hears from a worker whose drain it has not read: calls of $latencyMs ms, $endsAfterMs ms after the signal', async ({latencyMs, endsAfterMs}) => {
	const former = await startTasks(latencyMs);
	// Something is to be stored, so that the release is prepared for some time.
	for (const {entry, runs} of simulation.fleet.workers.values()) {
		for (const run of leaverIds.includes(entry.workerId) ? [] : runs.values()) {
			run.endsAtMs = simulation.clock.nowMs() + 20;
		}
	}

	await simulation.run(50);
	drainLeavers(latencyMs);
	simulation.stop(former, graceMs);
	endRuns(endsAfterMs);
	await expectLeaversDone();
});

test.each([0, 30, 80].flatMap(stillMs => [4, 120, 240].flatMap(latencyMs => [20, 200].map(endsAfterMs => ({stillMs, latencyMs, endsAfterMs})))))('an end is not lost that answers a poll of a holder that has released its lease by then: calls of $latencyMs ms, $endsAfterMs ms after the release, processes stand still for $stillMs ms of each 100 ms', async ({stillMs, latencyMs, endsAfterMs}) => {
	const former = await startTasks(latencyMs);
	throttleAll(stillMs);
	simulation.stop(former, graceMs);
	while (former.scheduler.state.term !== undefined) {
		await simulation.run(5);
	}

	drainLeavers(latencyMs);
	endRuns(endsAfterMs);
	await expectLeaversDone();
});

test.each([4, 40, 120].flatMap(latencyMs => [20, 100].map(endsAfterMs => ({latencyMs, endsAfterMs}))))('an end is not lost that answers a poll of a holder that has released its lease, while all processes are replaced: calls of $latencyMs ms, $endsAfterMs ms after the release', async ({latencyMs, endsAfterMs}) => {
	const former = await startTasks(latencyMs);
	simulation.stop(former, graceMs);
	while (former.scheduler.state.term !== undefined) {
		await simulation.run(5);
	}

	drainLeavers(latencyMs);
	endRuns(endsAfterMs);
	for (const process of simulation.processes.filter(({isStopping}) => !isStopping)) {
		simulation.stop(process, graceMs);
	}

	await simulation.run(noticeMs - 200);
	for (let count = 0; count < 4; count++) {
		simulation.addProcess();
	}

	await expectLeaversDone();
});
