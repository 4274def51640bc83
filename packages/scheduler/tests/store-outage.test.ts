/**
An outage of the table service for every process: no other process can acquire the lease, so the holder goes on placing stored jobs. If the table service is unavailable for some processes only, the holder stops and is replaced.
*/
import {afterEach, expect, test} from 'vitest';
import {jobOf} from './support/jobs.js';
import {
	configurationWithoutStandby, SchedulerSimulation, type SimulationOptions, takeoverMs,
} from './support/scheduler-simulation.js';

const size = {
	seed: 11, processes: 5, workersPerPool: 4, standbyMachines: 0,
};

/** More tasks than the workers finish in the longest outage. */
const jobCount = 150;

/** A task runs for 100 to 1000 ms, and the workers have room for 32. */
const maxIdleMs = 250;

let simulation: SchedulerSimulation;

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

/** Starts a fleet in which one holder has stored jobs waiting. */
const startBusy = async (options: Partial<SimulationOptions> = {}) => {
	simulation = new SchedulerSimulation({...size, ...options});
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	const holder = simulation.holder!;
	for (let number = 1; number <= jobCount; number++) {
		void simulation.submit(jobOf(number), holder);
	}

	await simulation.run(1000);
	return holder;
};

const setStoreDown = (isDown: boolean, processes = simulation.processes): void => {
	for (const {table} of processes) {
		table.isDown = isDown;
	}
};

const startsAfter = (fromMs: number): number => simulation.fleet.starts.filter(({atMs}) => atMs > fromMs).length;

const isAllDone = (): boolean => Array.from({length: jobCount}, (_value, index) => jobOf(index + 1).jobId).every(jobId => simulation.fleet.isDone(`${jobId}.0.1.1`));

test.each([4000, 9000])('while no process reaches the store for %i ms, stored jobs are started without a gap, and the same holder renews afterwards', async outageMs => {
	const holder = await startBusy();
	const {fencingToken} = holder.scheduler.state.term!;
	const fromMs = simulation.clock.nowMs();
	setStoreDown(true);
	await simulation.run(outageMs);
	expect(holder.scheduler.hasOutageEvidence()).toBe(true);
	setStoreDown(false);
	await simulation.run(1500);
	expect(simulation.longestGapMs(fromMs)).toBeLessThan(maxIdleMs);
	expect(simulation.holder).toBe(holder);
	expect(holder.scheduler.state.term?.fencingToken).toBe(fencingToken);
	expect(holder.scheduler.hasOutageEvidence()).toBe(false);
	await simulation.run(20_000);
	// Each task ran once, and its end was stored and acknowledged.
	expect(isAllDone()).toBe(true);
	expect(simulation.fleet.starts).toHaveLength(new Set(simulation.fleet.starts.map(({taskKey}) => taskKey)).size);
	expect([...simulation.fleet.workers.values()].filter(worker => worker.hasUnacknowledged)).toEqual([]);
});

test('a peer that is lost during the outage does not end the scheduling', async () => {
	const holder = await startBusy();
	setStoreDown(true);
	await simulation.run(3000);
	const fromMs = simulation.clock.nowMs();
	simulation.peers.setCut(simulation.processes.find(process => process !== holder)!.name, true);
	await simulation.run(4000);
	expect(simulation.longestGapMs(fromMs)).toBeLessThan(maxIdleMs);
});

test('during an outage no machine is moved or sent to maintenance', async () => {
	const holder = await startBusy();
	setStoreDown(true);
	await simulation.run(2600);
	simulation.orderWave({
		waveId: 1, machineIds: ['m-0', 'm-1'], withinMs: 20_000, concurrency: 2,
	});
	await simulation.run(4000);
	expect(simulation.holder).toBe(holder);
	expect([...simulation.maintained]).toEqual([]);
	setStoreDown(false);
	await simulation.run(15_000);
	expect(simulation.maintained.size).toBe(2);
});

test('a holder that alone does not reach the store suspends itself and is replaced', async () => {
	const holder = await startBusy();
	const cutAtMs = simulation.clock.nowMs();
	setStoreDown(true, [holder]);
	await simulation.run(2600);
	expect(holder.scheduler.state.isSuspended).toBe(true);
	expect(simulation.longestGapMs(cutAtMs)).toBeGreaterThan(150);
	await simulation.run(3500);
	expect(simulation.holder).toBeDefined();
	expect(simulation.holder).not.toBe(holder);
	setStoreDown(false);
	await simulation.run(20_000);
	expect(isAllDone()).toBe(true);
});

test('a holder that is cut off from the store and from its peers suspends itself, since it has no evidence', async () => {
	const holder = await startBusy();
	simulation.peers.setCut(holder.name, true);
	setStoreDown(true, [holder]);
	await simulation.run(2600);
	expect(holder.scheduler.state.isSuspended).toBe(true);
	expect(holder.scheduler.hasOutageEvidence()).toBe(false);
});

test('while half of the peers reach the store, the holder does not go on', async () => {
	const holder = await startBusy();
	const others = simulation.processes.filter(process => process !== holder);
	setStoreDown(true, [holder, ...others.slice(0, 2)]);
	await simulation.run(2600);
	expect(holder.scheduler.state.isSuspended).toBe(true);
});

test('a holder that was paused during the outage starts nothing before the store has confirmed its lease', async () => {
	const holder = await startBusy();
	setStoreDown(true);
	await simulation.run(3000);
	expect(holder.scheduler.state.isSuspended).toBe(false);
	holder.clock.freeze(800);
	await simulation.run(900);
	const resumedAtMs = simulation.clock.nowMs();
	await simulation.run(2000);
	// The peers answer again that they do not reach the store, but it may have been back during the pause.
	expect(holder.scheduler.hasOutageEvidence()).toBe(true);
	expect(startsAfter(resumedAtMs)).toBe(0);
	setStoreDown(false);
	await simulation.run(20_000);
	expect(isAllDone()).toBe(true);
});

test('a holder that is paused over the end of the outage does not act on what its peers had answered before', async () => {
	const holder = await startBusy();
	setStoreDown(true);
	await simulation.run(3000);
	holder.clock.freeze(6000);
	await simulation.run(300);
	setStoreDown(false);
	await simulation.run(5000);
	const successor = simulation.processes.find(process => process !== holder && process.scheduler.state.term !== undefined);
	expect(successor).toBeDefined();
	await simulation.run(1000);
	expect(holder.clock.isFrozen).toBe(false);
	expect(simulation.holder).toBe(successor);
	await simulation.run(20_000);
	expect(isAllDone()).toBe(true);
});

test('if the holder dies right after the outage has begun, another process takes over when the store is back', async () => {
	const holder = await startBusy();
	setStoreDown(true);
	await simulation.run(50);
	simulation.kill(holder);
	await simulation.run(5000);
	expect(simulation.holder).toBeUndefined();
	setStoreDown(false);
	await simulation.run(4500);
	expect(simulation.holder).toBeDefined();
	await simulation.run(20_000);
	expect(isAllDone()).toBe(true);
});

test('with scheduling during outages switched off, the holder suspends itself as soon as its lease is not confirmed', async () => {
	const holder = await startBusy({outageScheduling: false});
	setStoreDown(true);
	await simulation.run(2600);
	expect(holder.scheduler.state.isSuspended).toBe(true);
	setStoreDown(false);
	await simulation.run(1000);
	expect(simulation.holder).toBe(holder);
});
