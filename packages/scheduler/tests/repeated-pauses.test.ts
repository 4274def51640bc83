/**
A holder that stands still again while it confirms its lease after a first pause. Guards against orders of a holder that was replaced long ago (ONE, TWICE), on the strength of a read from before the second pause.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {fenceKey} from '@poplarnotch/state';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const latencyMs = 800;

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
	const [lease] = await simulation.table.readRows([fenceKey('scheduler')]);
	expect(lease!.version).toBeGreaterThan(fencingToken);
	for (let elapsedMs = 0; elapsedMs < 5000; elapsedMs += 5) {
		await simulation.run(5);
		const {term, isSuspended} = former.scheduler.state;
		expect(term?.fencingToken === fencingToken && !isSuspended, `${elapsedMs} ms`).toBe(false);
	}
});
