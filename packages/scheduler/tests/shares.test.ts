/**
One customer that floods a queue, beside others.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {ShareMeter} from '../src/core/shares.js';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationOf, pool, SchedulerWorld, takeOverMs,
} from './support/scheduler-world.js';

let world: SchedulerWorld;

beforeEach(async () => {
	world = new SchedulerWorld({
		seed: 6, processes: 1, workersPerPool: 2, standbyMachines: 0,
	});
	const unlimited = {cpuMillicores: 0, memoryMb: 0, accelerators: 0};
	world.configure(configurationOf(2, {
		// Without a standby pool the workers stay, and there are no others.
		pools: new Map([[pool, {name: pool, isStandby: false, guardsCapacity: false}]]),
		customers: new Map(['altan', 'nomin', 'saran', 'tsagaan'].map(name => [name, {name, weight: 2, upperLimit: unlimited}])),
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
	// Five of the first ten jobs are within its share; at most two more run when the other customer comes.
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

test('a customer is within its share up to twice its weight\'s part of what arrives', () => {
	const meter = new ShareMeter();
	const small = {customer: 'nomin', share: 0.25};
	const large = {customer: 'altan', share: 0.25};
	const flood = Array.from({length: 8}, () => meter.takeJob(large, 1000));
	// Half of ten jobs.
	expect(flood).toEqual([true, true, true, true, true, false, false, false]);
	for (let index = 0; index < 8; index++) {
		meter.takeJob({customer: `customer-${index}`, share: 0.06}, 1500);
	}

	// Half of what arrives may be its own: as much as the others hand in, and one more.
	expect(meter.takeJob(small, 1600)).toBe(true);
	const more = Array.from({length: 10}, () => meter.takeJob(large, 1700));
	expect(more.filter(Boolean)).toHaveLength(5);
	expect(meter.takeJob(large, 6000)).toBe(true);
});
