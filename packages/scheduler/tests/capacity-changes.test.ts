/**
Workers whose capacity shrinks and grows while they run tasks.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 17, processes: 3, workersPerPool: 4, standbyMachines: 0,
	});
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const submitLoad = (from: number): void => {
	for (let number = from; number < from + 8; number++) {
		void simulation.submit(jobOf(number, {steps: [stepOf({taskCount: 5})]}));
	}
};

/** Resizes the workers that are up to the given number of cores. */
const resizeWorkers = (cores: number): void => {
	for (const worker of simulation.fleet.workers.values()) {
		if (worker.isUp) {
			simulation.resizeWorker(worker.entry.workerId, {cpuMillicores: cores * 1000, memoryMb: 16_000, accelerators: 0});
		}
	}
};

test('no start exceeds a capacity that has shrunk below what runs, and a capacity that has grown is used', async () => {
	submitLoad(1);
	await simulation.run(200);
	resizeWorkers(2);
	await simulation.run(50);
	submitLoad(11);
	submitLoad(21);
	await simulation.run(4000);
	const startsWhileSmall = simulation.fleet.starts.length;
	resizeWorkers(8);
	await simulation.run(8000);
	expect(simulation.fleet.starts.length).toBeGreaterThan(startsWhileSmall);
	expect([...simulation.holder!.scheduler.state.openJobs]).toEqual([]);
});

test('a holder that takes over while capacities are shrunk starts nothing beyond them', async () => {
	submitLoad(1);
	await simulation.run(200);
	resizeWorkers(1);
	simulation.kill(simulation.holder!);
	submitLoad(11);
	await simulation.run(25_000);
	expect([...simulation.holder!.scheduler.state.openJobs]).toEqual([]);
});

test('a gang planned for workers that shrink before it starts is planned anew', async () => {
	const gang = jobOf(1, {steps: [stepOf({taskCount: 4, isGang: true, needs: {cpuMillicores: 4000, memoryMb: 100, accelerators: 0}})]});
	let crashes = 0;
	simulation.fleet.behaviour.crashesAfterMs = taskKey => taskKey.endsWith('.0.0.0') && crashes === 0 ? 10 : undefined;
	void simulation.submit(gang);
	for (let waitedMs = 0; simulation.fleet.crashes.size === 0 && waitedMs < 3000; waitedMs += 5) {
		await simulation.run(5);
	}

	crashes = 1;
	for (let waitedMs = 0; simulation.holder!.scheduler.state.trials.size === 0 && waitedMs < 9000; waitedMs += 5) {
		await simulation.run(5);
	}

	expect(simulation.holder!.scheduler.state.trials.size).toBe(1);
	resizeWorkers(6);
	await simulation.run(15_000);
	expect(simulation.holder!.scheduler.state.jobs.get(gang.jobId)!.outcome).toBe('completed');
});
