/**
Queues whose steps may run only on workers that a policy service allows.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationOf, pool, queueOf, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 9, processes: 2, workersPerPool: 40, standbyMachines: 0,
	});
	// Without a standby pool no worker leaves the pool.
	const pools = new Map([[pool, {name: pool, isStandby: false, enforcesCapacity: false}]]);
	simulation.configure(configurationOf(2, {pools, queues: new Map([['draws', queueOf({needsAdvice: true})]])}));
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

test('tasks start only on workers that the policy service allows, with its ticket', async () => {
	simulation.fleet.behaviour.isAllowed = (_stepKey, workerId) => workerId.endsWith('5');
	const job = jobOf(1, {steps: [stepOf({taskCount: 6}), stepOf({taskCount: 4, after: [0]})]});
	void simulation.submit(job);
	await simulation.run(6000);
	expect(simulation.fleet.starts).toHaveLength(10);
	expect(new Set(simulation.fleet.starts.map(({workerId}) => workerId.at(-1)))).toEqual(new Set(['5']));
	expect(simulation.fleet.isDone(`${job.jobId}.0.1.0`)).toBe(true);
});

test('advice requests name a limited number of workers, and not again those that were denied', async () => {
	simulation.fleet.behaviour.isAllowed = (_stepKey, workerId) => workerId === 'w-39';
	void simulation.submit(jobOf(1, {steps: [stepOf({taskCount: 1})]}));
	await simulation.run(3000);
	const {adviceRequests} = simulation.fleet;
	expect(Math.max(...adviceRequests.map(({workerIds}) => workerIds.length))).toBeLessThanOrEqual(30);
	const requested = adviceRequests.flatMap(({workerIds}) => workerIds);
	expect(new Set(requested).size).toBe(requested.length);
	expect(simulation.fleet.starts.map(({workerId}) => workerId)).toEqual(['w-39']);
});

test('an expired ticket is requested again', async () => {
	simulation.fleet.behaviour.isAllowed = (_stepKey, workerId) => workerId === 'w-3';
	simulation.fleet.behaviour.runMs = () => 1500;
	// Only one task fits at a time, so the last one starts after the first ticket has expired.
	void simulation.submit(jobOf(1, {steps: [stepOf({taskCount: 3, needs: {cpuMillicores: 8000, memoryMb: 100, accelerators: 0}})]}));
	await simulation.run(9000);
	expect(simulation.fleet.starts).toHaveLength(3);
	expect(simulation.fleet.adviceRequests.filter(({workerIds}) => workerIds.includes('w-3')).length).toBeGreaterThan(1);
});

test('a queue that needs no advice sends no advice requests', async () => {
	simulation.configure(configurationOf(3));
	await simulation.run(100);
	void simulation.submit(jobOf(1));
	await simulation.run(2000);
	expect(simulation.fleet.adviceRequests).toEqual([]);
	expect(simulation.fleet.starts.length).toBeGreaterThan(0);
});
