/**
Which process holds the lease: the larger ones are preferred if hosts differ in size.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf} from './support/jobs.js';
import {SchedulerSimulation} from './support/scheduler-simulation.js';

let simulation: SchedulerSimulation;

beforeEach(() => {
	simulation = new SchedulerSimulation({
		seed: 4, processes: 4, workersPerPool: 4, standbyMachines: 0,
	});
	simulation.cpuMillicores.set('process-2', 1350);
	simulation.cpuMillicores.set('process-3', 1350);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

test('a small process that acquired the lease first releases it to a larger one', async () => {
	await simulation.run(8000);
	expect(['process-2', 'process-3']).toContain(simulation.holder?.name);
});

test('another large process takes over from one that crashes, and jobs continue', async () => {
	await simulation.run(8000);
	const first = simulation.holder!;
	simulation.kill(first);
	await simulation.run(5500);
	expect(['process-2', 'process-3']).toContain(simulation.holder?.name);
	expect(simulation.holder).not.toBe(first);
	const job = jobOf(1);
	void simulation.submit(job, simulation.holder);
	await simulation.run(3000);
	expect(simulation.fleet.isDone(`${job.jobId}.0.1.0`)).toBe(true);
});

test('a small process holds the lease when no larger one is running', async () => {
	await simulation.run(8000);
	for (const process of simulation.processes.filter(({name}) => simulation.cpuMillicores.has(name))) {
		simulation.kill(process);
	}

	await simulation.run(6500);
	expect(['process-0', 'process-1']).toContain(simulation.holder?.name);
});
