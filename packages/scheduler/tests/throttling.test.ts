/**
Filling tasks on the same workers as serving tasks: the serving tasks meet their target, and the filling tasks get the remaining CPU time.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {fillingStepOf, jobOf, servingStepOf} from './support/jobs.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

/** Serving tasks run on every worker, so that all filling tasks share a worker with one. */
const serving = jobOf(1, {customer: '', steps: [servingStepOf({taskCount: 3})]});
const filling = jobOf(2, {steps: [fillingStepOf({taskCount: 6})]});

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 5, processes: 2, workersPerPool: 3, standbyMachines: 0,
	});
	simulation.fleet.behaviour.runMs = () => 6000;
	await simulation.run(takeoverMs);
	void simulation.submit(serving);
	await simulation.run(1000);
	void simulation.submit(filling);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const fillingPaces = (): readonly number[] => [...simulation.fleet.workers.values()].flatMap(worker => [...worker.runs.values()].filter(run => run.step.isFilling).map(run => run.pacePercent));

test('filling tasks that do not interfere with serving tasks keep their full pace', async () => {
	simulation.fleet.behaviour.interferenceMs = 5;
	await simulation.run(3000);
	expect(fillingPaces()).toEqual([100, 100, 100, 100, 100, 100]);
});

test('filling tasks are throttled until the serving task on their worker meets its target', async () => {
	simulation.fleet.behaviour.interferenceMs = 200;
	await simulation.run(6000);
	for (const worker of simulation.fleet.workers.values()) {
		for (const run of worker.runs.values()) {
			expect(worker.responseMs(run)).toBeLessThanOrEqual(100);
		}
	}

	expect(fillingPaces()).toHaveLength(6);
});

test('filling tasks regain their pace once the interference is over, and finish', async () => {
	simulation.fleet.behaviour.interferenceMs = 200;
	await simulation.run(3000);
	expect(Math.max(...fillingPaces())).toBeLessThan(50);
	simulation.fleet.behaviour.interferenceMs = 1;
	await simulation.run(12_000);
	expect(simulation.fleet.isDone(`${filling.jobId}.0.0.0`)).toBe(true);
});

test('a new lease holder throttles filling tasks that ran at full pace under an earlier holder', async () => {
	simulation.fleet.behaviour.interferenceMs = 1;
	simulation.fleet.behaviour.runMs = () => 60_000;
	await simulation.run(1500);
	simulation.kill(simulation.holder!);
	simulation.fleet.behaviour.interferenceMs = 200;
	// Another process may act only after the lease has expired, so violations until then do not count.
	await simulation.run(6500);
	simulation.fleet.brokenPromises.length = 0;
	await simulation.run(4500);
	expect(fillingPaces()).toHaveLength(6);
	expect(Math.max(...fillingPaces())).toBeLessThan(50);
});
