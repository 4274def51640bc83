/**
Evacuation of data centres. Each test guards against starts in a data centre after an operator has ordered its evacuation, or against damage that the evacuation itself would do.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationWithoutStandby, pool, SchedulerSimulation, standbyPool, takeoverMs,
} from './support/scheduler-simulation.js';

/** Time within which a running holder applies an order. */
const effectiveMs = 600;

let simulation: SchedulerSimulation;

beforeEach(() => {
	simulation = new SchedulerSimulation({
		seed: 23, processes: 3, workersPerPool: 6, standbyMachines: 4, dataCentres: ['north', 'south'],
	});
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const dataCentreOf = (workerId: string): string => simulation.fleet.workers.get(workerId)!.entry.dataCentre;

/** Returns the starts in the data centre from the given time on. */
const startsIn = (dataCentre: string, sinceMs: number): readonly string[] => simulation.fleet.starts
	.filter(({workerId, atMs}) => atMs >= sinceMs && dataCentreOf(workerId) === dataCentre)
	.map(({taskKey, workerId, atMs}) => `${Math.round(atMs)} ms: ${taskKey} on ${workerId}`);

let jobCount = 0;

/** Submits jobs that keep all workers busy, for the given time. */
const runUnderLoad = async (forMs: number, taskCount = 6): Promise<void> => {
	for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
		if (simulation.hasRunningProcess) {
			void simulation.submit(jobOf(++jobCount, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount})]}));
		}

		await simulation.run(100);
	}
};

test('nothing starts in an evacuated data centre until the order is withdrawn, and the work runs elsewhere', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnderLoad(1000);
	expect(startsIn('north', 0).length).toBeGreaterThan(0);
	simulation.orderEvacuation('north');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	await runUnderLoad(3000);
	expect(startsIn('north', effectiveAtMs)).toEqual([]);
	expect(startsIn('south', effectiveAtMs).length).toBeGreaterThan(0);
	simulation.orderEvacuation('north', false);
	await runUnderLoad(2000);
	expect(startsIn('north', effectiveAtMs).length).toBeGreaterThan(0);
});

test('machines of an evacuated data centre are not moved into a pool, those of others are', async () => {
	await simulation.run(takeoverMs);
	simulation.orderEvacuation('north');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	await runUnderLoad(4000);
	const arrived = simulation.moves.filter(({target, atMs}) => target === pool && atMs >= effectiveAtMs).map(({machineId}) => simulation.machines.get(machineId)!.entry.dataCentre);
	expect(arrived.length).toBeGreaterThan(0);
	expect(new Set(arrived)).toEqual(new Set(['south']));
});

test('idle machines of an evacuated data centre go to standby although their pool is busy', async () => {
	await simulation.run(takeoverMs);
	const poolsOfNorth = () => new Set([...simulation.machines.values()].filter(({entry}) => entry.dataCentre === 'north').map(({entry}) => entry.pool));
	await runUnderLoad(4000, 20);
	expect(poolsOfNorth()).toContain(pool);
	simulation.orderEvacuation('north');
	await runUnderLoad(5000, 20);
	expect(poolsOfNorth()).toEqual(new Set([standbyPool]));
});

test('an evacuation ordered right before the holder is killed holds for its successor from the first start on', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnderLoad(500);
	// The successors' calls that watch the operators' rows hang, so only a read at the takeover shows them the order.
	simulation.ordersConfirmMs = 60_000;
	await simulation.run(600);
	const successors = simulation.processes.filter(process => process !== simulation.holder);
	for (const {table} of successors) {
		table.isDown = true;
	}

	simulation.orderEvacuation('north');
	const orderedAtMs = simulation.clock.nowMs();
	simulation.kill(simulation.holder!);
	await runUnderLoad(2000);
	for (const {table} of successors) {
		table.isDown = false;
	}

	await runUnderLoad(8000);
	expect(startsIn('north', orderedAtMs)).toEqual([]);
	expect(startsIn('south', orderedAtMs).length).toBeGreaterThan(0);
});

test('an evacuation survives two takeovers', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.orderEvacuation('north');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	for (let takeover = 0; takeover < 2; takeover++) {
		simulation.kill(simulation.holder!);
		simulation.addProcess();
		await runUnderLoad(6000);
	}

	expect(startsIn('north', effectiveAtMs)).toEqual([]);
	expect(startsIn('south', effectiveAtMs).length).toBeGreaterThan(0);
});
