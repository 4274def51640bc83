/**
Simulates withdrawn keys, outages, network cuts, pauses and restarts with the reducers of several replicas.
*/
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ReplicaSimulation} from './replica-simulation.js';

const index = fc.nat({max: 6});

const actionArbitrary = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('commit' as const), at: index})},
	{weight: 4, arbitrary: fc.record({type: fc.constant('checkInForce' as const), at: index})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('cutTable' as const), at: index})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('healTable' as const), at: index})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('tableDown' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('tableUp' as const)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('split' as const), mask: fc.nat({max: 127})})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('joinLinks' as const)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('pause' as const), at: index, durationMs: fc.integer({min: 50, max: 6000})})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('restart' as const), at: index})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('lag' as const), maxLagMs: fc.constantFrom(2, 50, 400, 1500)})},
);

type Action = typeof actionArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const split = (fleet: ReplicaSimulation, mask: number): void => {
	for (let a = 0; a < fleet.size; a++) {
		for (let b = a + 1; b < fleet.size; b++) {
			if (((mask >> a) & 1) !== ((mask >> b) & 1)) { // eslint-disable-line no-bitwise
				fleet.conditions.cutLinks.add(`${a}-${b}`);
			}
		}
	}
};

const clearFaults = (fleet: ReplicaSimulation): void => {
	fleet.conditions.isTableDown = false;
	fleet.conditions.cutFromTable.clear();
	fleet.conditions.cutLinks.clear();
	fleet.conditions.maxLagMs = 5;
};

const applyAction = (fleet: ReplicaSimulation, action: Action): void => {
	const at = 'at' in action ? action.at % fleet.size : 0;
	const {conditions} = fleet;
	const handlers: Record<Action['type'], () => void> = {
		commit() {
			fleet.commit(at);
		},
		checkInForce() {
			fleet.checkInForce(at);
		},
		cutTable() {
			conditions.cutFromTable.add(at);
		},
		healTable() {
			conditions.cutFromTable.delete(at);
		},
		tableDown() {
			conditions.isTableDown = true;
		},
		tableUp() {
			conditions.isTableDown = false;
		},
		split() {
			split(fleet, action.type === 'split' ? action.mask : 0);
		},
		joinLinks() {
			conditions.cutLinks.clear();
		},
		pause() {
			fleet.pause(at, action.type === 'pause' ? action.durationMs : 0);
		},
		restart() {
			fleet.restart(at);
		},
		lag() {
			conditions.maxLagMs = action.type === 'lag' ? action.maxLagMs : 5;
		},
	};
	handlers[action.type]();
};

describe('settings replicas', () => {
	test('under any faults, no withdrawn key is accepted after its time limit, no copy goes back, and each revision has one tree', () => {
		fc.assert(fc.property(
			fc.integer({min: 1, max: 7}),
			fc.nat(),
			fc.array(fc.tuple(fc.integer({min: 0, max: 1500}), actionArbitrary), {minLength: 5, maxLength: 40}),
			(size, seed, schedule) => {
				const fleet = new ReplicaSimulation(size, seed);
				fleet.advance(1000);
				for (const [waitMs, action] of schedule) {
					fleet.advance(waitMs);
					applyAction(fleet, action);
				}

				clearFaults(fleet);
				fleet.advance(12_000);
				for (let process = 0; process < size; process++) {
					expect([fleet.isFresh(process), fleet.revision(process)]).toEqual([true, fleet.checker.log.length]);
				}

				expect(fleet.checkInForce(0)).toBe(true);
			},
		), {seed: 51, numRuns: 400});
	});

	test('copies stay fresh during an outage of the table service for all, even with a minority of processes dead, at any fleet size', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 24}), fc.nat(), fc.double({min: 0, max: 0.49, noNaN: true}), (size, seed, deadShare) => {
			const fleet = new ReplicaSimulation(size, seed);
			fleet.advance(2000);
			fleet.commit(0);
			fleet.advance(1000);
			for (let process = 0; process < Math.floor((size - 1) * deadShare); process++) {
				fleet.kill(process);
			}

			fleet.conditions.isTableDown = true;
			fleet.advance(10_000);
			expect(fleet.failedClosedAtMs).toEqual([]);
			expect(fleet.isFresh(size - 1)).toBe(true);
		}), {seed: 52, numRuns: 12});
	});

	test('a process cut off from the table service but not from peers stays fresh; one cut off from both fails closed', () => {
		const fleet = new ReplicaSimulation(6, 1);
		fleet.advance(2000);
		fleet.conditions.cutFromTable.add(2);
		fleet.advance(10_000);
		expect(fleet.failedClosedAtMs).toEqual([]);
		fleet.commit(0);
		fleet.advance(300);
		expect(fleet.revision(2)).toBe(1);
		split(fleet, 0b100);
		fleet.advance(2000);
		expect(fleet.isFresh(2)).toBe(false);
		fleet.commit(0);
		fleet.advance(1500);
		expect(fleet.checkInForce(0)).toBe(false);
		fleet.advance(1000);
		expect(fleet.checkInForce(0)).toBe(true);
	});

	test('a restarted process does not trust a single peer whose copy was confirmed before its start', () => {
		const fleet = new ReplicaSimulation(3, 1);
		fleet.advance(2000);
		split(fleet, 0b001);
		fleet.commit(0);
		fleet.advance(100);
		expect([fleet.revision(0), fleet.revision(1)]).toEqual([1, 0]);
		fleet.conditions.isTableDown = true;
		fleet.kill(2);
		fleet.conditions.cutLinks.clear();
		fleet.restart(0);
		for (let waited = 0; waited < 4000; waited += 50) {
			fleet.advance(50);
			expect(fleet.isFresh(0)).toBe(false);
		}

		clearFaults(fleet);
		fleet.advance(2000);
		expect([fleet.isFresh(0), fleet.revision(0)]).toEqual([true, 1]);
	});
});
