/**
Which process schedules: where hosts differ, the larger ones.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf} from './support/jobs.js';
import {SchedulerWorld} from './support/scheduler-world.js';

let world: SchedulerWorld;

beforeEach(() => {
	world = new SchedulerWorld({
		seed: 4, processes: 4, workersPerPool: 4, standbyMachines: 0,
	});
	world.cpuMillicores.set('process-2', 1350);
	world.cpuMillicores.set('process-3', 1350);
});

afterEach(() => {
	world.close();
	expect(world.fleet.brokenPromises).toEqual([]);
});

test('a small process that came first gives the lease to a larger one', async () => {
	await world.run(8000);
	expect(['process-2', 'process-3']).toContain(world.holder?.name);
});

test('another large process takes over from one that dies, and jobs go on', async () => {
	await world.run(8000);
	const first = world.holder!;
	world.kill(first);
	await world.run(5500);
	expect(['process-2', 'process-3']).toContain(world.holder?.name);
	expect(world.holder).not.toBe(first);
	const job = jobOf(1);
	void world.submit(job, world.holder);
	await world.run(3000);
	expect(world.fleet.isDone(`${job.jobId}.0.1.0`)).toBe(true);
});

test('a small process schedules where no larger one lives', async () => {
	await world.run(8000);
	for (const process of world.processes.filter(({name}) => world.cpuMillicores.has(name))) {
		world.kill(process);
	}

	await world.run(6500);
	expect(['process-0', 'process-1']).toContain(world.holder?.name);
});
