/**
A holder whose own path to the store is lost while others reach the store goes on through them at once, so that new jobs are started in time.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

/** Longest time without a start after the loss of the path, of which 500 ms show that others are answered. */
const maxGapMs = 1000;

let simulation: SchedulerSimulation;
let jobCount = 0;

beforeEach(async () => {
	jobCount = 0;
	simulation = new SchedulerSimulation({
		seed: 41, processes: 6, workersPerPool: 8, standbyMachines: 0, successors: 4, relays: true,
	});
	simulation.fleet.behaviour.runMs = () => 100;
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

/** Submits a job every 50 ms to processes that reach the store. */
const runUnderLoad = async (forMs: number): Promise<void> => {
	for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
		jobCount++;
		const submitters = simulation.processes.filter(({table}) => !table.isDown && table.isSilent !== true);
		const job = jobOf(jobCount, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 2})]});
		void simulation.submit(job, submitters[jobCount % submitters.length]);
		await simulation.run(50);
	}
};

test.each([
	{loss: {isSilent: true}, cut: 1}, {loss: {isDown: true}, cut: 1}, {loss: {isSilent: true}, cut: 2}, {loss: {isDown: true}, cut: 2},
])('no start is missing for longer than a second while the store answers others: $loss, $cut hosts', async ({loss, cut}) => {
	await runUnderLoad(1000);
	const former = simulation.holder!;
	const {fencingToken} = former.scheduler.state.term!;
	const lostAtMs = simulation.clock.nowMs();
	const affected = [former, ...simulation.processes.filter(process => process !== former)].slice(0, cut);
	for (const {table} of affected) {
		Object.assign(table, loss);
	}

	await runUnderLoad(6000);
	expect(simulation.longestGapMs(lostAtMs)).toBeLessThan(maxGapMs);
	// A successor that has never scheduled is slower for seconds than a holder that relays.
	expect(simulation.holder).toBe(former);
	expect(former.scheduler.state.term!.fencingToken).toBe(fencingToken);
	for (const {table} of affected) {
		Object.assign(table, {isSilent: false, isDown: false});
	}

	await runUnderLoad(3000);
	expect(simulation.longestGapMs(lostAtMs)).toBeLessThan(maxGapMs);
	const keys = simulation.fleet.starts.map(({taskKey}) => taskKey);
	expect(new Set(keys).size).toBe(keys.length);
});

test('a path that is lost for a moment changes no holder', async () => {
	const {fencingToken} = simulation.holder!.scheduler.state.term!;
	for (let count = 0; count < 5; count++) {
		simulation.holder!.table.isDown = true;
		await runUnderLoad(100);
		simulation.holder!.table.isDown = false;
		await runUnderLoad(900);
	}

	expect(simulation.holder!.scheduler.state.term!.fencingToken).toBe(fencingToken);
});

test('a store that is slow for all changes no holder', async () => {
	const {fencingToken} = simulation.holder!.scheduler.state.term!;
	for (const {table} of simulation.processes) {
		table.latencyMs = 300;
	}

	await runUnderLoad(5000);
	expect(simulation.holder!.scheduler.state.term!.fencingToken).toBe(fencingToken);
});
