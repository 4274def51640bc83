/**
The order in which teams are served: shares, urgency, max-min division, and the cost of cancellations.
*/
import fc from 'fast-check';
import {
	describe, expect, it, vi,
} from 'vitest';
import {FairQueue} from '../../src/dispatch/fair-queue.js';
import {divideMaxMin} from '../../src/slots/max-min.js';
import {
	GateUnderTest, grantsOf, requestWith, serversOf, settingsWith, startsIn,
} from '../reducer/fixtures.js';

type Running = {readonly team: string; readonly startedMs: number; readonly endMs: number};

/** Simulates backlogged teams on some slots for a time; returns the slot time that each team got. */
const simulateSlots = (weights: readonly number[], runMs: readonly number[], slots: number, durationMs: number): readonly number[] => {
	const queue = new FairQueue<number>();
	const used = weights.map(() => 0);
	const running: Running[] = [];
	for (const [team, weight] of weights.entries()) {
		queue.setWeight(`t${team}`, weight, 0);
	}

	const refill = (team: number, nowMs: number) => queue.pushBack(`t${team}`, false, team, nowMs);
	const waiting = weights.map((_, team) => refill(team, 0));
	for (let nowMs = 0; nowMs < durationMs; nowMs++) {
		for (const ended of running.filter(entry => entry.endMs <= nowMs)) {
			running.splice(running.indexOf(ended), 1);
			queue.released(ended.team, nowMs - ended.startedMs, nowMs);
		}

		while (running.length < slots) {
			const team = queue.peekNext(() => true, nowMs)!;
			queue.remove(waiting[team]!);
			queue.started(`t${team}`, nowMs);
			running.push({team: `t${team}`, startedMs: nowMs, endMs: nowMs + runMs[team]!});
			waiting[team] = refill(team, nowMs);
		}

		for (const {team} of running) {
			used[Number(team.slice(1))]!++;
		}
	}

	return used;
};

describe('backlogged teams', () => {
	it('get slot time by their weights, whatever their run times, also with fewer slots than teams', () => {
		fc.assert(fc.property(
			fc.array(fc.record({weight: fc.integer({min: 1, max: 10}), runMs: fc.integer({min: 5, max: 120})}), {minLength: 2, maxLength: 6}),
			fc.integer({min: 1, max: 12}),
			(teams, slots) => {
				const durationMs = 20_000;
				const used = simulateSlots(teams.map(team => team.weight), teams.map(team => team.runMs), slots, durationMs);
				const totalWeight = teams.reduce((sum, team) => sum + team.weight, 0);
				for (const [index, {weight}] of teams.entries()) {
					expect(Math.abs((used[index]! / (slots * durationMs)) - (weight / totalWeight))).toBeLessThan(0.02);
				}
			},
		), {seed: 4001, numRuns: 40});
	});
});

describe('max-min division', () => {
	it('gives no claimant more than its demand, leaves no usable capacity unallocated, and leaves no demand unmet while another claimant has more for its weight', () => {
		const claimants = fc.array(fc.record({weight: fc.integer({min: 1, max: 9}), demand: fc.integer({min: 0, max: 50})}), {minLength: 1, maxLength: 8});
		fc.assert(fc.property(claimants, fc.integer({min: 0, max: 100}), (entries, capacity) => {
			const named = entries.map((entry, index) => ({name: `t${index}`, ...entry}));
			const parts = divideMaxMin(named, capacity);
			const total = named.reduce((sum, {demand}) => sum + demand, 0);
			const allocated = named.reduce((sum, {name}) => sum + parts.get(name)!, 0);
			expect(allocated).toBeCloseTo(Math.min(total, capacity), 6);
			const highest = Math.max(...named.map(({name, weight}) => parts.get(name)! / weight));
			for (const {name, weight, demand} of named) {
				expect(parts.get(name)!).toBeLessThanOrEqual(demand + 1e-9);
				if (parts.get(name)! < demand - 1e-6) {
					expect(parts.get(name)! / weight).toBeGreaterThanOrEqual(highest - 1e-6);
				}
			}
		}), {seed: 4002, numRuns: 300});
	});
});

describe('one team\'s queue', () => {
	it('serves urgent work first, and each kind in order of arrival', () => {
		const servers = serversOf(1);
		const gate = new GateUnderTest(settingsWith(), servers, grantsOf(servers, 0, 9));
		const ids = ['pairing', 'urgent', 'pairing', 'urgent'].map(queue => {
			const request = requestWith({queue});
			gate.arrive(request);
			return request.requestId;
		});
		const starts = startsIn(gate.send({type: 'grantsChanged', grants: grantsOf(servers, 4, 9)}));
		expect(starts.map(start => start.requestId)).toEqual([ids[1], ids[3], ids[0], ids[2]]);
	});
});

describe('a burst of cancellations', () => {
	/** Number of Map and Set operations per request when all of `count` waiting requests are cancelled. */
	const operationsPerCancellation = (count: number): number => {
		const servers = serversOf(1);
		const gate = new GateUnderTest(settingsWith({'/queues/pairing/maxQueued': 10_000}), servers, grantsOf(servers, 0, 9));
		const ids = Array.from({length: count}, () => {
			const request = requestWith();
			gate.arrive(request);
			return request.requestId;
		});
		const spies = [
			...(['get', 'set', 'delete', 'values', 'entries'] as const).map(name => vi.spyOn(Map.prototype, name)),
			...(['delete', 'values'] as const).map(name => vi.spyOn(Set.prototype, name)),
		];
		for (const requestId of ids.toReversed()) {
			gate.send({type: 'callerGone', requestId});
		}

		const operations = spies.reduce((sum, spy) => sum + spy.mock.calls.length, 0);
		vi.restoreAllMocks();
		expect(gate.state.requests.size).toBe(0);
		return operations / count;
	};

	it('costs the same for each request, however many wait', () => {
		const few = operationsPerCancellation(20);
		expect(operationsPerCancellation(4000)).toBeLessThanOrEqual(few * 1.05);
		expect(few).toBeLessThan(20);
	});
});
