/**
Allocates the slots of one pool to the gates, from the demands of all gates: first by weighted max-min between teams over the whole pool, then each team's part between the gates in proportion to its demand there. So the shares hold over all gates together, wherever a team's requests arrive.

Slots that no team demands are divided equally between the gates that are not draining, so that each of them can start new work without requesting slots first.
*/
import {type Claimant, divideMaxMin, roundAllocations} from './max-min.js';

/** Demand of each team at one gate: requests running and waiting. */
export type TeamDemands = ReadonlyMap<string, number>;

/** A team's weight and the maximum number of slots that it may hold. */
export type TeamEntitlement = {
	readonly share: number;
	readonly upperLimit: number;
};

/** Input of one pool's allocation. */
export type AllocationInput = {
	/** Slots to allocate. */
	readonly capacity: number;
	readonly teams: ReadonlyMap<string, TeamEntitlement>;
	readonly demandsByGate: ReadonlyMap<string, TeamDemands>;
	/** Gates that are allocated slots only for their remaining demand. */
	readonly drainingGates: ReadonlySet<string>;
};

/** One gate's allocation. */
export type GateAllocation = {
	readonly slots: number;
	/** Slots to which each team is entitled at the gate; fractions of a slot are reached over time. */
	readonly entitled: ReadonlyMap<string, number>;
	/** Weight of each team at the gate: the slots that the team would be entitled to if its demand were unlimited. */
	readonly weights: ReadonlyMap<string, number>;
};

const sumOf = (values: Iterable<number>): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
};

const totalDemands = (input: AllocationInput): ReadonlyMap<string, number> => {
	const totals = new Map<string, number>();
	for (const demands of input.demandsByGate.values()) {
		for (const [team, demand] of demands) {
			totals.set(team, (totals.get(team) ?? 0) + demand);
		}
	}

	return totals;
};

const toClaimant = (input: AllocationInput, team: string, demand: number): Claimant => {
	const entitlement = input.teams.get(team);
	return {name: team, weight: entitlement?.share ?? 1, demand: Math.min(demand, entitlement?.upperLimit ?? 0)};
};

/** Slots for each unit of share at which the pool is full; a team whose demand exceeds this level gets this level. */
const fillLevelOf = (input: AllocationInput, allocatedByTeam: ReadonlyMap<string, number>): number => {
	const shares = [...input.teams.values()].map(({share}) => share);
	const evenLevel = Math.max(input.capacity, 1) / sumOf(shares);
	const levels = [...allocatedByTeam].map(([team, allocated]) => allocated / (input.teams.get(team)?.share ?? 1));
	return Math.max(evenLevel, ...levels);
};

/** The fraction of the team's demand that is at the gate; without any demand there, an equal fraction for each gate. */
const fractionAt = (demand: number, total: number, gates: number): number =>
	demand === 0 ? 1 / gates : demand / total;

/** Allocates slots and weights to each gate. The slots sum up to the capacity. */
export const allocatePool = (input: AllocationInput): ReadonlyMap<string, GateAllocation> => {
	const totals = totalDemands(input);
	const claimants = [...totals]
		.filter(([, demand]) => demand > 0)
		.map(([team, demand]) => toClaimant(input, team, demand));
	const allocatedByTeam = divideMaxMin(claimants, input.capacity);
	const remainingGates = input.demandsByGate.size - input.drainingGates.size;
	const idlePerGate = (input.capacity - sumOf(allocatedByTeam.values())) / Math.max(remainingGates, 1);

	const level = fillLevelOf(input, allocatedByTeam);
	const exactByGate = new Map<string, number>();
	const weightsByGate = new Map<string, ReadonlyMap<string, number>>();
	const entitledByGate = new Map<string, ReadonlyMap<string, number>>();
	for (const [gate, demands] of input.demandsByGate) {
		const entitled = new Map([...input.teams.keys()].map(team => {
			const demand = demands.get(team) ?? 0;
			return [team, demand === 0 ? 0 : allocatedByTeam.get(team)! * demand / totals.get(team)!];
		}));
		exactByGate.set(gate, (input.drainingGates.has(gate) ? 0 : idlePerGate) + sumOf(entitled.values()));
		entitledByGate.set(gate, entitled);
		weightsByGate.set(gate, new Map([...input.teams].map(([team, {share}]) =>
			[team, share * level * fractionAt(demands.get(team) ?? 0, totals.get(team) ?? 0, input.demandsByGate.size)])));
	}

	const slots = roundAllocations(exactByGate, input.capacity);
	return new Map([...slots].map(([gate, count]) => [gate, {slots: count, entitled: entitledByGate.get(gate)!, weights: weightsByGate.get(gate)!}]));
};
