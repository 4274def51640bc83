/**
A term of which nothing was stored: what has ended in it is known to the workers alone. Guards against tasks that the next holder starts again although they have ended done (TWICE).
*/
import {expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

/** More than the ends that two workers list at once. */
const taskCount = 1200;

const termMs = 12_000;

test.each([
	{about: 'at once', refusedForMs: 0},
	{about: 'only after the last leases of the term are over', refusedForMs: 8000},
])('no task of an unsaved term is started again by the next holder, whose progress is stored $about', async ({refusedForMs}) => {
	const simulation = new SchedulerSimulation({
		seed: 3, processes: 2, workersPerPool: 3, standbyMachines: 0,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.fleet.behaviour.runMs = () => 20;
	await simulation.run(takeoverMs);
	for (const {table} of simulation.processes) {
		table.isRejected = key => key.startsWith('jobs/shared/');
	}

	// The third worker is within reach of the next holder only, which could start tasks there.
	simulation.cutWorker([...simulation.fleet.workers.keys()][2]!, termMs);
	void simulation.submit(jobOf(1, {steps: [stepOf({taskCount, needs: {cpuMillicores: 500, memoryMb: 100, accelerators: 0}})]}));
	await simulation.run(termMs);
	const startsBefore = simulation.fleet.starts.length;
	expect(startsBefore).toBeGreaterThan(1000);
	simulation.kill(simulation.holder!);
	await simulation.run(refusedForMs);
	for (const {table} of simulation.processes) {
		table.isRejected = () => false;
	}

	await simulation.run(8000);
	const keys = simulation.fleet.starts.map(({taskKey}) => taskKey);
	expect(keys.length - new Set(keys).size).toBe(0);
	expect(new Set(keys).size).toBe(taskCount);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});
