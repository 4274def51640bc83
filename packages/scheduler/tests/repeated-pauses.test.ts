/**
A process that stands still, alone or with its machine, while it confirms its lease after a first pause, or while it begins its term. Guards against orders of a holder that was replaced meanwhile (ONE, TWICE), on the strength of reads from before the pause.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {fenceKey} from '@poplarnotch/state';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const latencyMs = 800;

/** After a standstill, the state may say for less than a round that the term goes on: no order is given before the next round. */
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

/** Leaves the holder in doubt whether it still has its lease, and lets its store answer slowly from then on. */
const doubtLease = async (former: typeof simulation.processes[number]): Promise<void> => {
	former.table.isDown = true;
	while (!former.scheduler.state.isSuspended) {
		await simulation.run(5);
	}

	former.table.isDown = false;
	former.table.latencyMs = latencyMs / 2;
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

test.each([450, 500, 550, 600, 650, 700, 750])('a holder whose machine is suspended %i ms after the read that confirms its lease goes on only after another read', async afterMs => {
	const former = simulation.holder!;
	const {fencingToken} = former.scheduler.state.term!;
	former.table.latencyMs = latencyMs;
	await simulation.run(1000);
	former.clock.freeze(450, 'process');
	await simulation.run(500);
	expect(former.scheduler.state.isSuspended).toBe(true);
	// The store has answered by now, and the answer is on its way.
	await simulation.run(afterMs);
	expect(former.scheduler.state.isSuspended).toBe(true);
	former.clock.freeze(20_000);
	await simulation.run(19_990);
	expect(await readToken()).toBeGreaterThan(fencingToken);
	expect(await measureOrderingMs(former, fencingToken)).toBe(0);
});

test.each([100, 500, 1000])('a process whose machine is suspended %i ms after it has won the lease, before its term begins, begins none under a lease that has passed on', async afterMs => {
	simulation.kill(simulation.holder!);
	const [, next] = simulation.processes;
	next!.table.latencyMs = latencyMs;
	const formerToken = await readToken();
	for (const {table} of simulation.processes.slice(2)) {
		table.isDown = true;
	}

	while (await readToken() === formerToken) {
		await simulation.run(5);
	}

	const fencingToken = (await readToken())!;
	await simulation.run(afterMs);
	expect(next!.scheduler.state.term).toBeUndefined();
	for (const {table} of simulation.processes.slice(2)) {
		table.isDown = false;
	}

	next!.clock.freeze(20_000);
	await simulation.run(19_990);
	expect(await readToken()).toBeGreaterThan(fencingToken);
	for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 5) {
		await simulation.run(5);
		expect(next!.scheduler.state.term?.fencingToken, `${elapsedMs} ms`).not.toBe(fencingToken);
	}
});

test.each([150, 200, 250, 300, 350, 400, 450, 500])('a holder that is not sure of its lease, and whose machine is suspended %i ms after its store answers again, goes on only after another read', async afterMs => {
	const former = simulation.holder!;
	const {fencingToken} = former.scheduler.state.term!;
	await doubtLease(former);
	await simulation.run(afterMs);
	former.clock.freeze(20_000);
	await simulation.run(19_990);
	expect(await readToken()).toBeGreaterThan(fencingToken);
	expect(await measureOrderingMs(former, fencingToken)).toBe(0);
});

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
	await doubtLease(former);
	await simulation.run(afterMs);
	former.clock.freeze(pauseMs, 'process');
	await simulation.run(pauseMs - 5);
	expect(await readToken()).toBeGreaterThan(fencingToken);
	expect(await measureOrderingMs(former, fencingToken)).toBeLessThanOrEqual(roundMs);
});
