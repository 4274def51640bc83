/**
A process that stands still while an answer of the store is on its way that lets it give orders. Guards against orders of a holder that was replaced meanwhile (ONE, TWICE): its monotonic clock and its wall clock agree after a standstill, so only the length of the pause shows it.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {fenceKey} from '@poplarnotch/state';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const latencyMs = 800;

/** The state may say for less than a round that the term goes on: no order is given before the next round. */
const roundMs = 25;

let simulation: SchedulerSimulation;

beforeEach(async () => {
	simulation = new SchedulerSimulation({
		seed: 7, processes: 3, workersPerPool: 4, standbyMachines: 0,
	});
	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const readToken = async (): Promise<number | undefined> => {
	const [lease] = await simulation.table.readRows([fenceKey('scheduler')]);
	return lease?.version;
};

/** For how long the process goes on in the term, in all. */
const measureOrderingMs = async (process: typeof simulation.processes[number], fencingToken: number): Promise<number> => {
	let orderingMs = 0;
	for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 5) {
		await simulation.run(5);
		const {term, isSuspended} = process.scheduler.state;
		orderingMs += term?.fencingToken === fencingToken && !isSuspended ? 5 : 0;
	}

	return orderingMs;
};

test.each([1200, 1500].flatMap(pauseMs => [400, 450, 500, 550, 600, 650, 700, 750].map(afterMs => ({pauseMs, afterMs}))))('a holder that stands still for $pauseMs ms, $afterMs ms after a first standstill, goes on only after another read', async ({pauseMs, afterMs}) => {
	const former = simulation.holder!;
	const {fencingToken} = former.scheduler.state.term!;
	former.table.latencyMs = latencyMs;
	await simulation.run(1000);
	former.clock.freeze(450, 'process');
	await simulation.run(500 + afterMs);
	expect(former.scheduler.state.isSuspended).toBe(true);
	former.clock.freeze(pauseMs, 'process');
	await simulation.run(pauseMs - 5);
	expect(await readToken()).toBeGreaterThan(fencingToken);
	expect(await measureOrderingMs(former, fencingToken)).toBeLessThanOrEqual(roundMs);
});

test.each([1000, 1200, 1500].flatMap(pauseMs => [300, 400, 600, 700, 800, 900].map(afterMs => ({pauseMs, afterMs}))))('a holder that is not sure of its lease, and that stands still for $pauseMs ms, $afterMs ms after its store answers again, goes on only after another read', async ({pauseMs, afterMs}) => {
	const former = simulation.holder!;
	const {fencingToken} = former.scheduler.state.term!;
	former.table.isDown = true;
	while (!former.scheduler.state.isSuspended) {
		await simulation.run(5);
	}

	former.table.isDown = false;
	former.table.latencyMs = latencyMs / 2;
	await simulation.run(afterMs);
	former.clock.freeze(pauseMs, 'process');
	await simulation.run(pauseMs - 5);
	expect(await readToken()).toBeGreaterThan(fencingToken);
	expect(await measureOrderingMs(former, fencingToken)).toBeLessThanOrEqual(roundMs);
});
