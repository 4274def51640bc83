/**
Only the lease holder and its possible successors follow jobs and workers. Callers of all other processes get the same answers.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf} from './support/jobs.js';
import {queueOf, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const target = {queue: queueOf(), customer: 'altan'};

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 9, processes: 8, workersPerPool: 4, standbyMachines: 0,
	});
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

/** Asks every running process for the job's state. */
const statusEverywhere = async (jobId: string): Promise<ReadonlySet<string>> => {
	const running = simulation.processes.filter(({clock}) => !clock.isDead);
	const answers = Promise.all(running.map(async ({scheduler}) => scheduler.jobService.status(jobId, target)));
	await simulation.run(500);
	return new Set(await answers);
};

test('a job is completed for callers of all processes, and most processes never read it', async () => {
	void simulation.submit(jobOf(1), simulation.processes[6]);
	await simulation.run(100);
	const early = await statusEverywhere(jobOf(1).jobId);
	expect(early.has('no-such-job')).toBe(false);
	await simulation.run(5000);
	expect(await statusEverywhere(jobOf(1).jobId)).toEqual(new Set(['completed']));
	const following = simulation.processes.filter(({scheduler}) => scheduler.state.jobs.size > 0);
	// The holder and two successors.
	expect(following.length).toBeLessThanOrEqual(3);
});

test('a job that was cancelled through one process is cancelled for callers of all', async () => {
	simulation.fleet.behaviour.runMs = () => 20_000;
	void simulation.submit(jobOf(1), simulation.processes[6]);
	await simulation.run(1000);
	simulation.fleet.cancelSent.add(jobOf(1).jobId);
	void simulation.processes[5]!.scheduler.jobService.cancel(jobOf(1).jobId, target);
	await simulation.run(500);
	expect(await statusEverywhere(jobOf(1).jobId)).toEqual(new Set(['cancelled']));
});

test('pending jobs are counted by every process, also while nobody holds the lease', async () => {
	simulation.fleet.behaviour.runMs = () => 60_000;
	for (let number = 1; number <= 30; number++) {
		void simulation.submit(jobOf(number, {steps: [{...jobOf(1).steps[0]!, needs: {cpuMillicores: 8000, memoryMb: 100, accelerators: 0}}]}));
	}

	await simulation.run(3000);
	const countEverywhere = async (): Promise<ReadonlyArray<number | undefined>> => {
		const running = simulation.processes.filter(({clock}) => !clock.isDead);
		const answers = Promise.all(running.map(async ({scheduler}) => scheduler.jobService.countPending(target)));
		await simulation.run(100);
		return answers;
	};

	const withHolder = await countEverywhere();
	expect(Math.min(...withHolder.map(Number))).toBeGreaterThanOrEqual(26);
	simulation.kill(simulation.holder!);
	const withoutHolder = await countEverywhere();
	expect(Math.min(...withoutHolder.map(Number))).toBeGreaterThanOrEqual(26);
});

test('when the holder and all its successors are lost, another process takes over and finishes what was accepted', async () => {
	simulation.fleet.behaviour.runMs = () => 2000;
	void simulation.submit(jobOf(1), simulation.processes[6]);
	await simulation.run(1000);
	const following = simulation.processes.filter(({scheduler}) => scheduler.state.jobs.size > 0);
	expect(following.length).toBeLessThan(simulation.processes.length);
	for (const process of following) {
		simulation.kill(process);
	}

	await simulation.run(25_000);
	expect(await statusEverywhere(jobOf(1).jobId)).toEqual(new Set(['completed']));
});
