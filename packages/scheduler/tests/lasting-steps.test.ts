/**
Lasting steps of two and three tasks whose orders get no answer for a while: in the calm that follows, no task stays unserved, and no task that serves is stopped beyond its step's limit.
*/
import {SeededRandom} from '@poplarnotch/common';
import {expect, test} from 'vitest';
import {jobOf, lastingStepOf} from './support/jobs.js';
import {
	configurationWithoutStandby, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

/** The users' limit: a task whose turn has come is not left unserved for this long in a calm. */
const maxUnservedMs = 3000;

const jobCount = 4;
const lateOrderMs = 8000;
const sampleMs = 50;
const calmMs = 10_000;
const workersPerPool = 12;

/** Moments at which orders stop being answered: before the tasks are started, or as workers under them are lost. */
const troubles = ['before the first start', 'as workers are lost', 'as machines are due for maintenance'] as const;

const cases = troubles.flatMap(trouble => [1, 2, 3, 4, 5].map(seed => ({trouble, seed})));

/** Longest time for which a task had no run, in a calm. */
const longestUnservedMs = async (simulation: SchedulerSimulation, taskKeys: readonly string[]): Promise<number> => {
	const servedAtMs = new Map(taskKeys.map(taskKey => [taskKey, simulation.clock.nowMs()]));
	let longestMs = 0;
	for (let elapsedMs = 0; elapsedMs < calmMs; elapsedMs += sampleMs) {
		await simulation.run(sampleMs);
		const nowMs = simulation.clock.nowMs();
		for (const [taskKey, lastMs] of servedAtMs) {
			if (simulation.fleet.runsOf(taskKey) > 0) {
				servedAtMs.set(taskKey, nowMs);
			} else {
				longestMs = Math.max(longestMs, nowMs - lastMs);
			}
		}
	}

	return longestMs;
};

test.each(cases)('lasting tasks whose orders stay unanswered $trouble are served again, seed $seed', async ({trouble, seed}) => {
	const simulation = new SchedulerSimulation({
		seed, processes: 2, workersPerPool, standbyMachines: 0,
	});
	const random = new SeededRandom(seed);
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	const jobs = Array.from({length: jobCount}, (_value, index) => jobOf(index + 1, {customer: '', steps: [lastingStepOf({taskCount: 2 + (index % 2)})]}));
	const taskKeys = jobs.flatMap(({jobId, steps}) => Array.from({length: steps[0]!.taskCount}, (_value, index) => `${jobId}.0.0.${index}`));
	const submit = async (): Promise<void> => {
		const accepted = Promise.all(jobs.map(async job => simulation.submit(job)));
		await simulation.run(300);
		expect(await accepted).toEqual(jobs.map(() => true));
	};

	if (trouble !== 'before the first start') {
		await submit();
		await simulation.run(2000);
	}

	Object.assign(simulation.faults, {areOrdersUnanswered: true, lateOrderMs});
	switch (trouble) {
		case 'before the first start': {
			await submit();
			break;
		}

		case 'as workers are lost': {
			for (const taskKey of taskKeys.filter(() => random.next() < 0.5)) {
				simulation.loseWorkerOf(taskKey);
			}

			break;
		}

		case 'as machines are due for maintenance': {
			simulation.orderWave({
				waveId: 1, machineIds: [...simulation.machines.keys()].slice(0, 6), withinMs: 20_000, concurrency: 2,
			});
			break;
		}
	}

	await simulation.run(1000 + (4000 * random.next()));
	simulation.faults.areOrdersUnanswered = false;
	await simulation.run(lateOrderMs);
	const unservedMs = await longestUnservedMs(simulation, taskKeys);
	const {brokenPromises} = simulation.fleet;
	simulation.close();
	expect(brokenPromises).toEqual([]);
	expect(unservedMs).toBeLessThan(maxUnservedMs);
	expect([...simulation.waveStates.values()]).toEqual(trouble === 'as machines are due for maintenance' ? ['completed'] : []);
});
