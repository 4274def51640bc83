/**
One customer that floods a queue, beside others.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {ShareMeter} from '../src/core/shares.js';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationOf, pool, SchedulerWorld} from './support/scheduler-world.js';

/** A process has won the lease and has looked at all workers. */
const takeOverMs = 3500;

let world: SchedulerWorld;

beforeEach(async () => {
	world = new SchedulerWorld({
		seed: 6, processes: 1, workersPerPool: 2, standbyMachines: 0,
	});
	const unlimited = {cpuMillicores: 0, memoryMb: 0, accelerators: 0};
	world.configure(configurationOf(2, {
		// Without a standby pool the workers stay, and there are no others.
		pools: new Map([[pool, {name: pool, isStandby: false, guardsCapacity: false}]]),
		customers: new Map(['altan', 'nomin'].map(name => [name, {name, weight: 2, upperLimit: unlimited}])),
	}));
	await world.run(takeOverMs);
});

afterEach(() => {
	world.close();
	expect(world.fleet.brokenPromises).toEqual([]);
});

const shortJob = (number: number, customer: string) => jobOf(number, {customer, acceptedWallMs: world.clock.wallTimeMs(), steps: [stepOf({taskCount: 4, needs: {cpuMillicores: 2000, memoryMb: 100, accelerators: 0}})]});

const startedAtMs = (number: number): number =>
	Math.min(...world.fleet.starts.filter(({taskKey}) => taskKey.startsWith(jobOf(number).jobId)).map(({atMs}) => atMs));

test('what a customer hands in beyond its share waits for the others\' work', async () => {
	world.fleet.behaviour.runMs = () => 800;
	for (let number = 1; number <= 20; number++) {
		void world.submit(shortJob(number, 'altan'));
	}

	await world.run(500);
	void world.submit(shortJob(100, 'nomin'));
	await world.run(15_000);
	const later = Array.from({length: 20}, (_value, index) => startedAtMs(index + 1)).filter(atMs => atMs > startedAtMs(100));
	// The share covers four jobs at once, and as many wait or run when the other customer comes.
	expect(later.length).toBeGreaterThanOrEqual(12);
});

test('beyond its share a customer is served at once where there is room', async () => {
	world.fleet.behaviour.runMs = () => 50;
	for (let number = 1; number <= 20; number++) {
		void world.submit(shortJob(number, 'altan'));
	}

	await world.run(4000);
	expect(world.fleet.isDone(`${jobOf(20).jobId}.0.0.3`)).toBe(true);
});

test('a share is spent by a burst and comes back with time', () => {
	const meter = new ShareMeter();
	expect(Array.from({length: 6}, () => meter.takeJob('altan', 2, 1000))).toEqual([true, true, true, true, false, false]);
	expect(meter.takeJob('altan', 2, 1400)).toBe(false);
	expect(meter.takeJob('altan', 2, 1600)).toBe(true);
	expect(meter.takeJob('nomin', 2, 1600)).toBe(true);
});
