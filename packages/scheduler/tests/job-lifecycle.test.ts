/**
Jobs on a fleet without faults: when their tasks start, and how the processes apply a new configuration.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {type JobSpec} from '../src/index.js';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationOf, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 3, processes: 2, workersPerPool: 4, standbyMachines: 0,
	});
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const stateOf = async (job: JobSpec): Promise<string> => {
	const answer = simulation.randomProcess().scheduler.jobService.status(job.jobId, {queue: configurationOf(1).queues.get('draws')!, customer: job.customer});
	await simulation.run(200);
	return answer;
};

const startsOf = (taskKey: string): number => simulation.fleet.starts.filter(start => start.taskKey === taskKey).length;

test('each process applies a new configuration to its callers\' port once', async () => {
	simulation.configuredVersions.length = 0;
	simulation.configure(configurationOf(7));
	await simulation.run(100);
	expect(simulation.configuredVersions).toEqual([7, 7]);
});

test('the members of a gang start together with one attempt number', async () => {
	const job = jobOf(1, {steps: [stepOf({taskCount: 6, isGang: true, needs: {cpuMillicores: 4000, memoryMb: 100, accelerators: 0}})]});
	void simulation.submit(job);
	await simulation.run(3000);
	const {starts} = simulation.fleet;
	expect(starts).toHaveLength(6);
	expect(new Set(starts.map(({attempt}) => attempt)).size).toBe(1);
	expect(Math.max(...starts.map(({atMs}) => atMs)) - Math.min(...starts.map(({atMs}) => atMs))).toBeLessThan(50);
	expect(await stateOf(job)).toBe('completed');
});

test('a gang that does not fit as a whole starts none of its members', async () => {
	const job = jobOf(1, {steps: [stepOf({taskCount: 9, isGang: true, needs: {cpuMillicores: 4000, memoryMb: 100, accelerators: 0}})]});
	void simulation.submit(job);
	await simulation.run(3000);
	expect(simulation.fleet.starts).toEqual([]);
	expect(await stateOf(job)).toBe('queued');
});

test('a task whose run was interrupted resumes from its last checkpoint', async () => {
	const job = jobOf(1, {steps: [stepOf({taskCount: 1, isCheckpointing: true})]});
	simulation.fleet.behaviour.runMs = () => 4000;
	void simulation.submit(job);
	await simulation.run(1000);
	const [first] = simulation.fleet.starts;
	simulation.fleet.workers.get(first!.workerId)!.interruptRun(first!.taskKey, 'checkpoint-1');
	await simulation.run(1000);
	const [, second] = simulation.fleet.starts;
	expect(second).toMatchObject({taskKey: first!.taskKey, checkpoint: 'checkpoint-1'});
	expect(second!.attempt).toBeGreaterThan(first!.attempt);
});

test('each occurrence starts when it is due, and the job is completed after the last', async () => {
	const firstDueWallMs = simulation.clock.wallTimeMs() + 1000;
	const job = jobOf(1, {steps: [stepOf({taskCount: 1})], recurrence: {count: 3, firstDueWallMs, periodMs: 2000}});
	const submittedAtMs = simulation.clock.nowMs();
	void simulation.submit(job);
	await simulation.run(4000);
	expect(await stateOf(job)).toBe('running');
	await simulation.run(3000);
	for (const occurrence of [0, 1, 2]) {
		const taskKey = `${job.jobId}.${occurrence}.0.0`;
		const start = simulation.fleet.starts.find(candidate => candidate.taskKey === taskKey);
		expect(startsOf(taskKey)).toBe(1);
		expect(start!.atMs - submittedAtMs).toBeGreaterThanOrEqual(1000 + (2000 * occurrence));
		expect(start!.atMs - submittedAtMs).toBeLessThan(1200 + (2000 * occurrence));
	}

	expect(await stateOf(job)).toBe('completed');
});

test('a start that is lost while its job is cancelled does not occupy its worker for good', async () => {
	Object.assign(simulation.faults, {lostOrderRate: 1, lateOrderMs: 500});
	const job = jobOf(1, {steps: [stepOf({taskCount: 8})]});
	void simulation.submit(job);
	await simulation.run(100);
	expect([...simulation.holder!.scheduler.state.workers.values()].flatMap(({runs}) => [...runs.keys()])).toHaveLength(8);
	simulation.fleet.cancelSent.add(job.jobId);
	void simulation.randomProcess().scheduler.jobService.cancel(job.jobId, {queue: configurationOf(1).queues.get('draws')!, customer: job.customer});
	await simulation.run(1200);
	simulation.faults.lostOrderRate = 0;
	await simulation.run(5000);
	expect([...simulation.holder!.scheduler.state.workers.values()].flatMap(({runs}) => [...runs.keys()])).toEqual([]);
});
