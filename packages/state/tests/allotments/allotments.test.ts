import fc from 'fast-check';
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {RetryingTableService, type TableService} from '@poplarnotch/platform';
import {
	advanceVirtualTime, type CallOutcome, MemoryTableService, UnreliableTable,
} from '@poplarnotch/standin';
import {GateSimulation} from './gate-simulation.js';

const team = 'red';
const processIds = ['gate-1', 'gate-2', 'gate-3'];
const maxRunMs = 3000;
const stepMs = 50;
const durationMs = 60_000;
/** Time within which a lowered limit takes effect: failing calls, the next read, and running work. */
const loweringMs = 20_000;

const fate: fc.Arbitrary<CallOutcome> = fc.record({
	type: fc.constantFrom('answered' as const, 'answered' as const, 'answered' as const, 'refused' as const, 'answerLost' as const, 'late' as const),
	delayMs: fc.nat(300),
});

const gate = fc.nat(processIds.length - 1);
const atMs = fc.nat(40_000);
const step = fc.oneof(
	{
		weight: 6, arbitrary: fc.record({
			type: fc.constant('arrivals' as const), atMs, gate, count: fc.integer({min: 1, max: 30}),
		}),
	},
	{
		weight: 2, arbitrary: fc.record({
			type: fc.constant('pause' as const), atMs, gate, durationMs: fc.integer({min: 100, max: 30_000}),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('kill' as const), atMs, gate})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('replace' as const), atMs, gate})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('loseHost' as const), atMs, gate})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('limit' as const), atMs, limit: fc.integer({min: 0, max: 15})})},
);
type SimulationStep = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const perform = (simulation: GateSimulation, planned: SimulationStep): void => {
	if (planned.type === 'limit') {
		simulation.setLimit(planned.limit);
		return;
	}

	const processId = processIds[planned.gate]!;
	const run = simulation.current(processId);
	switch (planned.type) {
		case 'arrivals': {
			run.waiting.set(team, (run.waiting.get(team) ?? 0) + planned.count);
			break;
		}

		case 'pause': {
			run.process.pause(planned.durationMs);
			break;
		}

		case 'kill': {
			run.kill();
			break;
		}

		case 'replace': {
			simulation.start(processId);
			break;
		}

		case 'loseHost': {
			run.kill();
			simulation.hosts.remove(`host-${processId}`);
			break;
		}
	}
};

const startSimulation = (clock: VirtualClock, table: TableService, limit: number): GateSimulation => {
	const simulation = new GateSimulation({
		clock, table, teams: [team], limit, maxRunMs, seed: 5,
	});
	for (const processId of processIds) {
		simulation.start(processId);
	}

	return simulation;
};

test('the sum of what gates may run never exceeds the limit, under any failures of gates, calls and responses', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(fate, {maxLength: 150}),
		fc.array(step, {minLength: 3, maxLength: 20}),
		fc.boolean(),
		async (fates, steps, confirmsOutcomes) => {
			const clock = new VirtualClock();
			const unreliable = new UnreliableTable(clock, fates);
			const table = confirmsOutcomes ? new RetryingTableService(unreliable, {client: 'gates', clock}) : unreliable;
			const simulation = startSimulation(clock, table, 10);
			const limits = [{atMs: 0, limit: 10}];
			for (const planned of steps) {
				clock.schedule(planned.atMs, () => {
					perform(simulation, planned);
					if (planned.type === 'limit') {
						limits.push({atMs: clock.nowMs(), limit: planned.limit});
					}
				});
			}

			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				await advanceVirtualTime(clock, stepMs, stepMs);
				const nowMs = clock.nowMs();
				const applicableLimits = limits.filter((_entry, index) => (limits[index + 1]?.atMs ?? nowMs) >= nowMs - loweringMs);
				expect(simulation.usable(team)).toBeLessThanOrEqual(Math.max(...applicableLimits.map(entry => entry.limit)));
			}

			simulation.close();
		},
	), {seed: 29, numRuns: 25});
});

test('a gate with waiting requests gets the capacity of idle and gone gates, and its fair share from busy ones', async () => {
	const clock = new VirtualClock();
	const simulation = startSimulation(clock, new MemoryTableService(), 12);
	const keepWaiting = (processId: string, count: number): void => {
		simulation.current(processId).waiting.set(team, count);
	};

	const amountOf = (processId: string): number => simulation.current(processId).manager!.amountOf(team);
	const advanceWith = async (waiting: Readonly<Record<string, number>>, byMs: number): Promise<void> => {
		for (let passedMs = 0; passedMs < byMs; passedMs += 100) {
			for (const [processId, count] of Object.entries(waiting)) {
				keepWaiting(processId, count);
			}

			await advanceVirtualTime(clock, 100, stepMs);
			expect(simulation.usable(team)).toBeLessThanOrEqual(12);
		}
	};

	await advanceWith({'gate-1': 50}, 5000);
	expect(amountOf('gate-1')).toBe(12);
	await advanceWith({'gate-1': 50, 'gate-2': 50}, 10_000);
	expect(amountOf('gate-1')).toBe(6);
	expect(amountOf('gate-2')).toBe(6);
	await advanceWith({'gate-1': 0, 'gate-2': 50}, 8000);
	expect(amountOf('gate-2')).toBe(12);
	simulation.current('gate-2').kill();
	simulation.hosts.remove('host-gate-2');
	await advanceWith({'gate-1': 0, 'gate-3': 50}, 10_000);
	expect(amountOf('gate-3')).toBe(0);
	await advanceWith({'gate-1': 0, 'gate-3': 50}, 12_000);
	expect(amountOf('gate-3')).toBe(12);
	simulation.close();
});

test('a limit smaller than the number of gates with waiting requests is used by each of them in turn', async () => {
	const clock = new VirtualClock();
	const simulation = startSimulation(clock, new MemoryTableService(), 1);
	const served = new Map(processIds.map(processId => [processId, 0]));
	for (let passedMs = 0; passedMs < 60_000; passedMs += 100) {
		for (const processId of processIds) {
			simulation.current(processId).waiting.set(team, 5);
		}

		await advanceVirtualTime(clock, 100, stepMs);
		expect(simulation.usable(team)).toBeLessThanOrEqual(1);
		for (const processId of processIds) {
			served.set(processId, served.get(processId)! + simulation.current(processId).runningOf(team));
		}
	}

	expect(Math.min(...served.values())).toBeGreaterThan(30);
	simulation.close();
});

test('a lowered limit is met as soon as running work has ended', async () => {
	const clock = new VirtualClock();
	const simulation = startSimulation(clock, new MemoryTableService(), 30);
	const advanceBusy = async (byMs: number): Promise<void> => {
		for (let passedMs = 0; passedMs < byMs; passedMs += 100) {
			for (const processId of processIds) {
				simulation.current(processId).waiting.set(team, 50);
			}

			await advanceVirtualTime(clock, 100, stepMs);
		}
	};

	await advanceBusy(15_000);
	expect(simulation.running(team)).toBe(30);
	simulation.setLimit(9);
	await advanceBusy(maxRunMs + 100);
	expect(simulation.running(team)).toBeLessThanOrEqual(9);
	await advanceBusy(5000);
	expect(simulation.running(team)).toBe(9);
	simulation.close();
});

test('a stopping gate returns capacity that is not in use, and the rest as running requests end', async () => {
	const clock = new VirtualClock();
	const table = new MemoryTableService();
	const simulation = startSimulation(clock, table, 10);
	const run = simulation.current('gate-1');
	run.waiting.set(team, 4);
	await advanceVirtualTime(clock, 1000, stepMs);
	expect(run.runningOf(team)).toBeGreaterThan(0);
	const released = run.manager!.releaseAll(20_000);
	await advanceVirtualTime(clock, 200, stepMs);
	const {held} = table.valueOf(`allotments/${team}`) as {readonly held: number};
	expect(held).toBeGreaterThanOrEqual(run.runningOf(team));
	expect(held).toBeLessThanOrEqual(4);
	await advanceVirtualTime(clock, maxRunMs, stepMs);
	await released;
	expect(table.valueOf(`allotments/${team}`)).toEqual({held: 0});
	simulation.close();
});

test('a gate that was replaced during a long pause uses nothing when it resumes', async () => {
	const clock = new VirtualClock();
	const simulation = startSimulation(clock, new MemoryTableService(), 12);
	const paused = simulation.current('gate-1');
	paused.waiting.set(team, 50);
	await advanceVirtualTime(clock, 3000, stepMs);
	expect(paused.manager!.amountOf(team)).toBe(12);
	paused.process.pause(25_000);
	simulation.start('gate-1');
	for (let passedMs = 0; passedMs < 30_000; passedMs += stepMs) {
		simulation.current('gate-2').waiting.set(team, 50);
		await advanceVirtualTime(clock, stepMs, stepMs);
		expect(simulation.usable(team)).toBeLessThanOrEqual(12);
	}

	expect(simulation.current('gate-2').manager!.amountOf(team)).toBe(12);
	simulation.close();
});
