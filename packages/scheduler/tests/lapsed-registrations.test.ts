/**
Workers whose registrations have lapsed while the store was away, and which run on.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf, lastingStepOf, stepOf} from './support/jobs.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 23, processes: 2, workersPerPool: 4, standbyMachines: 0,
	});
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

test('a new holder does not start the tasks of an unregistered worker again', async () => {
	simulation.fleet.behaviour.runMs = () => 9000;
	void simulation.submit(jobOf(1, {steps: [lastingStepOf({taskCount: 3})]}));
	void simulation.submit(jobOf(2, {steps: [stepOf({taskCount: 6})]}));
	await simulation.run(3000);
	simulation.kill(simulation.holder!);
	simulation.clock.schedule(2000, () => {
		simulation.lapseRegistrations(3000);
	});
	await simulation.run(9000);
	const startedKeys = simulation.fleet.starts.map(({taskKey}) => taskKey);
	expect(startedKeys.toSorted()).toEqual([...new Set(startedKeys)].toSorted());
});
