/**
Slot rebalancing between gates: no slot is ever held twice, lost slots are allocated anew, and the allocations follow the demands.
*/
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {compileFleetSettings, type FleetSettings, type JsonValue} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';
import {allocatePool} from '../../src/slots/allocate-pool.js';
import {SlotSimulation} from './slot-simulation.js';

const gateNames = ['g1', 'g2', 'g3', 'g4'];
const slots = 8;

const fleetOf = (hosts: number, revision = 1, cancelGraceMs = 1000): FleetSettings => {
	const tree = new Map<string, JsonValue>([
		['/pools/draws/slotsPerServer', slots], ['/pools/draws/cancelGraceMs', cancelGraceMs], ['/teams/red/share', 1], ['/teams/red/upperLimit', 1000],
	]);
	for (let index = 1; index <= hosts; index++) {
		tree.set(`/hosts/h${index}/pool`, 'draws');
		tree.set(`/hosts/h${index}/dataCentre`, 'dc1');
		tree.set(`/hosts/h${index}/rack`, 'r1');
		tree.set(`/hosts/h${index}/address`, 'http://127.0.0.1:9000');
	}

	const compiled = compileFleetSettings(tree, revision);
	if (E.isLeft(compiled)) {
		throw new TypeError(JSON.stringify(compiled.left));
	}

	return compiled.right;
};

const moves = fc.array(fc.record({
	type: fc.oneof(
		{weight: 12, arbitrary: fc.constant('deliver' as const)},
		{weight: 6, arbitrary: fc.constant('tick' as const)},
		{weight: 3, arbitrary: fc.constantFrom('changeLoad' as const, 'refresh' as const, 'suspect' as const)},
		{weight: 1, arbitrary: fc.constantFrom('start' as const, 'kill' as const, 'remove' as const, 'runWithoutFaults' as const, 'hosts' as const)},
	),
	pick: fc.nat(1000),
	delivery: fc.constantFrom('once' as const, 'once' as const, 'once' as const, 'lose' as const, 'duplicate' as const),
}), {minLength: 50, maxLength: 250, size: 'max'});

type Move = typeof moves extends fc.Arbitrary<ReadonlyArray<infer Value>> ? Value : never;

/** Applies one random move; returns the revision of the settings. */
const applyMove = (simulation: SlotSimulation, {type, pick, delivery}: Move, revision: number): number => {
	const gate = simulation.alive[pick % Math.max(simulation.alive.length, 1)];
	switch (type) {
		case 'start': {
			simulation.start(gateNames[pick % gateNames.length]!);
			break;
		}

		case 'deliver': {
			simulation.deliver(pick, delivery);
			break;
		}

		case 'remove': {
			simulation.removeDead();
			break;
		}

		case 'runWithoutFaults': {
			simulation.runWithoutFaults(pick % 40);
			break;
		}

		case 'hosts': {
			simulation.changeSettings(fleetOf(2 + (pick % 3), revision + 1));
			return revision + 1;
		}

		case 'tick': {
			// Long steps let the delays before a reconciliation round expire between other moves.
			simulation.tickAfter(gate, 50 + ((pick % 7) * 100), pick % 40);
			break;
		}

		case 'changeLoad': {
			simulation.changeLoad(gate, (pick % 7) - 3);
			break;
		}

		case 'refresh': {
			simulation.refresh(gate);
			break;
		}

		case 'suspect': {
			simulation.toggleSuspected(gate, gateNames[pick % gateNames.length]!);
			break;
		}

		case 'kill': {
			if (simulation.alive.length > 1) {
				simulation.kill(gate);
			}
		}
	}

	return revision;
};

const sumOf = (counts: Iterable<number>): number => [...counts].reduce((sum, count) => sum + count, 0);

const heldByAliveGate = (simulation: SlotSimulation): readonly number[] => simulation.alive.map(gate => sumOf(gate.state.held.values()));

describe('slot rebalancing', () => {
	it('holds no slot twice under lost, late and duplicated messages, crashes and restarts, and loses none permanently', () => {
		fc.assert(fc.property(moves, steps => {
			const simulation = new SlotSimulation(fleetOf(3));
			let revision = 1;
			simulation.start('g1');
			simulation.start('g2');
			for (const move of steps) {
				revision = applyMove(simulation, move, revision);
				simulation.checkNoSlotIsHeldTwice();
			}

			simulation.changeSettings(fleetOf(3, ++revision));
			simulation.removeDead();
			simulation.endAllWork();
			simulation.runWithoutFaults(120);
			expect([simulation.heldOn('h1'), simulation.heldOn('h2'), simulation.heldOn('h3')]).toEqual([slots, slots, slots]);
		}), {seed: 30_003, numRuns: 60});
	});

	it('allocates the slots of a dead gate anew once it is removed, and not before', () => {
		const simulation = new SlotSimulation(fleetOf(2));
		for (const name of gateNames) {
			simulation.start(name);
		}

		simulation.runWithoutFaults(60);
		expect(simulation.heldOn('h1')).toBe(slots);
		const lost = simulation.alive[0]!;
		const lostSlots = lost.state.held.get('h1')!;
		expect(lostSlots).toBeGreaterThan(0);
		simulation.kill(lost);
		simulation.runWithoutFaults(100);
		expect(simulation.heldOn('h1')).toBe(slots - lostSlots);
		simulation.removeDead();
		simulation.runWithoutFaults(100);
		expect(simulation.heldOn('h1')).toBe(slots);
	});

	it('does not reallocate the slots of a dead gate while its last work may still be running', () => {
		const simulation = new SlotSimulation(fleetOf(2, 1, 6000));
		for (const name of gateNames) {
			simulation.start(name);
		}

		simulation.runWithoutFaults(60);
		simulation.kill(simulation.alive[0]);
		simulation.removeDead();
		const left = simulation.heldOn('h1');
		simulation.runWithoutFaults(100);
		expect(left).toBeLessThan(slots);
		expect(simulation.heldOn('h1')).toBe(left);
		simulation.runWithoutFaults(60);
		expect(simulation.heldOn('h1')).toBe(slots);
	});

	it.each([0, 1, 2, 3])('rebalances the slots of the live gates while gate %i is dead and still registered', dead => {
		const simulation = new SlotSimulation(fleetOf(3));
		for (const name of gateNames) {
			simulation.start(name);
		}

		simulation.runWithoutFaults(60);
		const lost = simulation.alive[dead]!;
		lost.waiting = 100;
		simulation.runWithoutFaults(1);
		simulation.kill(lost);
		simulation.runWithoutFaults(60);
		const left = sumOf(heldByAliveGate(simulation));
		simulation.alive[1]!.waiting = 100;
		simulation.runWithoutFaults(60);
		expect(left).toBeGreaterThan(0);
		expect(heldByAliveGate(simulation)).toEqual([0, left, 0]);
	});

	it('transfers the slots to the gates that have the demand', () => {
		const simulation = new SlotSimulation(fleetOf(3));
		for (const name of gateNames) {
			simulation.start(name);
		}

		simulation.runWithoutFaults(60);
		simulation.alive[2]!.waiting = 100;
		simulation.runWithoutFaults(60);
		expect(heldByAliveGate(simulation)).toEqual([0, 0, 24, 0]);
	});
});

describe('allocating one pool', () => {
	const terms = fc.record({share: fc.integer({min: 1, max: 9}), upperLimit: fc.integer({min: 0, max: 60})});
	const demand = fc.oneof(fc.constant(0), fc.integer({min: 0, max: 80}));

	it('allocates each team its weighted max-min part over all gates, wherever its requests arrive', () => {
		fc.assert(fc.property(
			fc.array(terms, {minLength: 2, maxLength: 5}),
			fc.array(fc.array(demand, {minLength: 5, maxLength: 5}), {minLength: 1, maxLength: 6}),
			fc.integer({min: 1, max: 70}),
			(teamTerms, demands, capacity) => {
				const teams = new Map(teamTerms.map((entry, index) => [`t${index}`, entry]));
				const demandsByGate = new Map(demands.map((row, gate) =>
					[`g${gate}`, new Map([...teams.keys()].map((team, index) => [team, row[index]!]))]));
				const parts = allocatePool({
					capacity, teams, demandsByGate, drainingGates: new Set(),
				});
				expect([...parts.values()].reduce((sum, part) => sum + part.slots, 0)).toBe(capacity);

				// A team that gets less than its demand has at least the level of every other team.
				const rows = [...teams].map(([team, {share, upperLimit}]) => {
					const demanded = Math.min(demands.reduce((sum, row) => sum + row[Number(team.slice(1))]!, 0), upperLimit);
					const got = [...parts.values()].reduce((sum, part) => sum + part.entitled.get(team)!, 0);
					return {demanded, got, level: got / share};
				});
				for (const short of rows.filter(row => row.got < row.demanded - 1e-6)) {
					expect(Math.max(...rows.map(row => row.level))).toBeLessThanOrEqual(short.level + 1e-6);
				}
			},
		), {seed: 30_004, numRuns: 300});
	});
});
