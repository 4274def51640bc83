/**
A configuration with thousands of queues: the holder goes on scheduling, and every process knows the pending jobs.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {type FleetConfiguration} from '../src/index.js';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationOf, queueOf, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

const queueCount = 5000;
const queueNames = Array.from({length: queueCount}, (_value, index) => `queue-of-a-grown-configuration-${index}`);

const grown: FleetConfiguration = configurationOf(2, {
	routes: queueNames.map(queue => ({host: `${queue}.example`, pathPrefix: '/q/', queue})),
	queues: new Map(queueNames.map(name => [name, queueOf({name})])),
});

let simulation: SchedulerSimulation;
let jobCount = 0;

beforeEach(async () => {
	jobCount = 0;
	simulation = new SchedulerSimulation({
		seed: 31, processes: 5, workersPerPool: 4, standbyMachines: 0,
	});
	simulation.fleet.behaviour.runMs = () => 300;
	await simulation.run(takeoverMs);
	simulation.configure(grown);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const submit = (count: number): void => {
	for (let index = 0; index < count; index++) {
		jobCount++;
		void simulation.submit(jobOf(jobCount, {queue: queueNames[jobCount % queueCount]!, steps: [stepOf({taskCount: 2})], acceptedWallMs: simulation.clock.wallTimeMs()}));
	}
};

test('a configuration that grows by thousands of queues does not end the holder\'s scheduling', async () => {
	const token = simulation.holder!.scheduler.state.term!.fencingToken;
	for (let passedMs = 0; passedMs < 5000; passedMs += 100) {
		submit(2);
		await simulation.run(100);
	}

	await simulation.run(2000);
	expect(simulation.holder?.scheduler.state.term?.fencingToken).toBe(token);
	expect(simulation.fleet.starts.filter(({atMs}) => atMs > simulation.clock.nowMs() - 3000).length).toBeGreaterThan(0);
	expect(simulation.processes[0]!.scheduler.state.openJobs.size).toBe(0);
});

test('the pending jobs of thousands of queues are published to the processes that follow no jobs', async () => {
	simulation.fleet.behaviour.runMs = () => 60_000;
	submit(3000);
	await simulation.run(4000);
	const outsider = simulation.processes.find(({scheduler}) => scheduler.state.jobs.size === 0)!;
	const counts = Promise.all([2500, 2999].map(async index => outsider.scheduler.jobService.countPending({queue: queueOf({name: queueNames[index]!}), customer: ''})));
	await simulation.run(200);
	expect(await counts).toEqual([1, 1]);
	// Without published counts, each call would read the rows of all jobs.
	const {rows} = await simulation.table.readPrefix('control/pending/');
	expect(rows.length).toBeGreaterThan(1);
});
