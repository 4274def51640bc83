/**
One customer floods a queue that other customers use too.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {ShareMeter} from '../src/core/share-meter.js';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationOf, pool, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 6, processes: 1, workersPerPool: 2, standbyMachines: 0,
	});
	const unlimited = {cpuMillicores: 0, memoryMb: 0, accelerators: 0};
	simulation.configure(configurationOf(2, {
		// Without a standby pool no worker leaves the pool, and none can be added.
		pools: new Map([[pool, {name: pool, isStandby: false, enforcesCapacity: false}]]),
		customers: new Map(['altan', 'nomin', 'saran', 'tsagaan'].map(name => [name, {name, weight: 2, upperLimit: unlimited}])),
	}));
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const shortJob = (number: number, customer: string) => jobOf(number, {customer, acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 4, needs: {cpuMillicores: 2000, memoryMb: 100, accelerators: 0}})]});

const startedAtMs = (number: number): number =>
	Math.min(...simulation.fleet.starts.filter(({taskKey}) => taskKey.startsWith(jobOf(number).jobId)).map(({atMs}) => atMs));

test('jobs beyond a customer\'s share wait for the jobs of others', async () => {
	simulation.fleet.behaviour.runMs = () => 800;
	for (let number = 1; number <= 20; number++) {
		void simulation.submit(shortJob(number, 'altan'));
	}

	await simulation.run(500);
	void simulation.submit(shortJob(100, 'nomin'));
	await simulation.run(15_000);
	const later = Array.from({length: 20}, (_value, index) => startedAtMs(index + 1)).filter(atMs => atMs > startedAtMs(100));
	// Five of the first ten jobs are within its share, and at most two more are running when the other customer's job arrives.
	expect(later.length).toBeGreaterThanOrEqual(12);
});

test('jobs beyond a customer\'s share start at once while there is free capacity', async () => {
	simulation.fleet.behaviour.runMs = () => 50;
	for (let number = 1; number <= 20; number++) {
		void simulation.submit(shortJob(number, 'altan'));
	}

	await simulation.run(4000);
	expect(simulation.fleet.isDone(`${jobOf(20).jobId}.0.0.3`)).toBe(true);
});

test('a customer is within its share up to twice its weight\'s part of the arriving jobs', () => {
	const meter = new ShareMeter();
	const small = {customer: 'nomin', share: 0.25};
	const large = {customer: 'altan', share: 0.25};
	const flood = Array.from({length: 8}, () => meter.recordJob(large, 1000));
	// Half of ten jobs are within the share.
	expect(flood).toEqual([true, true, true, true, true, false, false, false]);
	for (let index = 0; index < 8; index++) {
		meter.recordJob({customer: `customer-${index}`, share: 0.06}, 1500);
	}

	// The customer may submit half of the arriving jobs: as many as the others submitted, plus one.
	expect(meter.recordJob(small, 1600)).toBe(true);
	const more = Array.from({length: 10}, () => meter.recordJob(large, 1700));
	expect(more.filter(Boolean)).toHaveLength(5);
	expect(meter.recordJob(large, 6000)).toBe(true);
});
