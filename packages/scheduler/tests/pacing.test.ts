/**
Filling tasks beside serving ones: the serving tasks keep their target, and the filling ones get what is left.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {fillingStepOf, jobOf, servingStepOf} from './support/jobs.js';
import {SchedulerWorld, takeOverMs} from './support/scheduler-world.js';

/** Serving tasks on every worker, so that whatever fills has to share. */
const serving = jobOf(1, {customer: '', steps: [servingStepOf({taskCount: 3})]});
const filling = jobOf(2, {steps: [fillingStepOf({taskCount: 6})]});

let world: SchedulerWorld;

beforeEach(async () => {
	world = new SchedulerWorld({
		seed: 5, processes: 2, workersPerPool: 3, standbyMachines: 0,
	});
	world.fleet.behaviour.runMs = () => 6000;
	await world.run(takeOverMs);
	void world.submit(serving);
	await world.run(1000);
	void world.submit(filling);
});

afterEach(() => {
	world.close();
	expect(world.fleet.brokenPromises).toEqual([]);
});

const pacesOfFills = (): readonly number[] => [...world.fleet.workers.values()].flatMap(worker => [...worker.runs.values()].filter(run => run.step.isFilling).map(run => run.pacePercent));

test('fills that disturb nobody keep their full pace', async () => {
	world.fleet.behaviour.disturbanceMs = 5;
	await world.run(3000);
	expect(pacesOfFills()).toEqual([100, 100, 100, 100, 100, 100]);
});

test('fills beside a serving task that misses its target are slowed down until it holds', async () => {
	world.fleet.behaviour.disturbanceMs = 200;
	await world.run(6000);
	for (const worker of world.fleet.workers.values()) {
		for (const run of worker.runs.values()) {
			expect(worker.responseMs(run)).toBeLessThanOrEqual(100);
		}
	}

	expect(pacesOfFills()).toHaveLength(6);
});

test('fills get their pace back once the disturbance is over, and finish', async () => {
	world.fleet.behaviour.disturbanceMs = 200;
	await world.run(3000);
	expect(Math.max(...pacesOfFills())).toBeLessThan(50);
	world.fleet.behaviour.disturbanceMs = 1;
	await world.run(12_000);
	expect(world.fleet.isDone(`${filling.jobId}.0.0.0`)).toBe(true);
});

test('a new holder slows down what an earlier one had given full pace', async () => {
	world.fleet.behaviour.disturbanceMs = 1;
	world.fleet.behaviour.runMs = () => 60_000;
	await world.run(1500);
	world.kill(world.holder!);
	world.fleet.behaviour.disturbanceMs = 200;
	// The lease has to run out before another process may act; what happens until then is beyond it.
	await world.run(6500);
	world.fleet.brokenPromises.length = 0;
	await world.run(4500);
	expect(pacesOfFills()).toHaveLength(6);
	expect(Math.max(...pacesOfFills())).toBeLessThan(50);
});
