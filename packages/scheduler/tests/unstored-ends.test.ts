/**
An order for a machine ends its worker, and with it the list of what has ended there. Guards against tasks that the next holder starts again because their ends were known to a worker alone that the former holder had ordered away (TWICE).
*/
import {afterEach, expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const taskCount = 12;

let simulation: SchedulerSimulation;

const storeProgress = (isStored: boolean): void => {
	for (const {table} of simulation.processes) {
		table.isRejected = key => !isStored && key.startsWith('jobs/shared/');
	}
};

/** Runs all tasks of a job to their ends, of which nothing is stored. */
const runUnstored = async (): Promise<void> => {
	storeProgress(false);
	void simulation.submit(jobOf(1, {steps: [stepOf({taskCount})]}));
	await simulation.run(2000);
	expect(simulation.fleet.starts).toHaveLength(taskCount);
};

/** The holder is lost, and the next one stores progress. */
const replaceHolder = async (): Promise<void> => {
	simulation.kill(simulation.holder!);
	storeProgress(true);
	await simulation.run(9000);
};

const secondStarts = (): number => {
	const keys = simulation.fleet.starts.filter(({taskKey}) => taskKey.startsWith(jobOf(1).jobId)).map(({taskKey}) => taskKey);
	return keys.length - new Set(keys).size;
};

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

test('a machine is maintained only once the ends on its worker are stored', async () => {
	simulation = new SchedulerSimulation({
		seed: 4, processes: 3, workersPerPool: 4, standbyMachines: 0,
	});
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnstored();
	const machineIds = [...simulation.machines.keys()];
	simulation.orderWave({
		waveId: 1, machineIds, withinMs: 5000, concurrency: 4,
	});
	await simulation.run(3000);
	await replaceHolder();
	expect(secondStarts()).toBe(0);
	expect(simulation.maintained.size).toBe(machineIds.length);
});

test('an idle machine is switched off only once the ends on its worker are stored', async () => {
	simulation = new SchedulerSimulation({
		seed: 4, processes: 3, workersPerPool: 4, standbyMachines: 0,
	});
	await simulation.run(takeoverMs);
	await runUnstored();
	await simulation.run(8000);
	await replaceHolder();
	expect(secondStarts()).toBe(0);
	expect(simulation.moves.length).toBeGreaterThan(0);
});
