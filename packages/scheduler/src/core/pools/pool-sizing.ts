/**
Resizes pools by moving machines between them and the standby pool.

Demand peaks in different pools at different times. A pool that lacks capacity, or will lack it at the current arrival rate, gets machines from standby first and then idle machines of pools with no shortage. A machine that has been idle for a while goes to standby, where it costs nothing, once the fleet's demand has been measured: before its first jobs, pools keep the size that the operators gave them. A move ends everything on a machine, so only idle machines are moved.
*/
import {type Shortage} from '../dispatch.js';
import {
	isIdle, isMachineEvacuated, isOrderable, isServiceable, isStandby, orderMove, workerOn,
} from '../machines.js';
import {type MachineRecord} from '../records.js';
import {type SchedulerState} from '../scheduler-state.js';
import {PoolCapacities} from './pool-capacity.js';

/** A machine that has been idle for this long leaves its pool: a move costs about as much as keeping a machine in a pool for 1.2 s. */
const idleBeforeStandbyMs = 1200;

/** Share of a pool's capacity that tasks can use, since tasks do not divide machines evenly. */
const achievableUtilisation = 0.85;

/** Capacity kept free in a pool, as a share of one machine, so that the next jobs can start at once. */
const headroomShare = 0.5;

const machinesReservedForWaves = (state: SchedulerState): ReadonlySet<string> => {
	const reserved = new Set<string>();
	for (const wave of state.waves.values()) {
		if (wave.state === 'running') {
			for (const machineId of wave.reserved) {
				reserved.add(machineId);
			}
		}
	}

	return reserved;
};

/** Returns how many machines of the given size would cover the shortage. */
const machinesNeeded = (shortage: Shortage, machine: MachineRecord): number => Math.ceil(Math.max(
	shortage.needs.cpuMillicores / Math.max(1, machine.entry.capacity.cpuMillicores),
	shortage.needs.memoryMb / Math.max(1, machine.entry.capacity.memoryMb),
	machine.entry.capacity.accelerators === 0 ? 0 : shortage.needs.accelerators / machine.entry.capacity.accelerators,
));

const idleForMs = (state: SchedulerState, machine: MachineRecord, nowMs: number): number => {
	const worker = workerOn(state, machine);
	return worker === undefined ? 0 : nowMs - worker.idleSinceMs;
};

/** One round of pool sizing. */
type SizingRound = {
	readonly state: SchedulerState;
	readonly shortages: ReadonlyMap<string, Shortage>;
	readonly capacities: PoolCapacities;
	/** Idle machines that can accept an order. */
	readonly movable: readonly MachineRecord[];
	readonly nowMs: number;
};

/** Returns the CPU capacity that the pool needs at the current arrival rate. */
const neededMillicores = ({state, nowMs}: SizingRound, pool: string): number => state.demand.demandMillicores(pool, nowMs) / achievableUtilisation;

/** Returns how many machines of this machine's size the pool lacks for unplaced tasks and for the current arrival rate. */
const machineDeficit = (round: SizingRound, pool: string, machine: MachineRecord): number => {
	const shortage = round.shortages.get(pool);
	const {arrivingCount, expectedMillicores} = round.capacities.of(pool);
	return Math.max(
		shortage === undefined ? 0 : machinesNeeded(shortage, machine) - arrivingCount,
		Math.ceil((neededMillicores(round, pool) - expectedMillicores) / Math.max(1, machine.entry.capacity.cpuMillicores)),
	);
};

/** Returns a function that tells whether a machine's pool has no shortage and would have none without the machine. */
const spareCheck = (round: SizingRound): ((machine: MachineRecord) => boolean) => {
	const neededByPool = new Map<string, number>();
	return ({entry: {pool, capacity}}) => {
		const needed = neededByPool.get(pool) ?? neededMillicores(round, pool);
		neededByPool.set(pool, needed);
		return !round.shortages.has(pool) && round.capacities.of(pool).expectedMillicores - capacity.cpuMillicores >= needed;
	};
};

const moveTo = ({state, capacities, nowMs}: SizingRound, machine: MachineRecord, pool: string, reason: string): void => {
	capacities.move(machine, pool);
	orderMove(state, machine, pool, nowMs, reason);
};

/** Returns true if the pool may lack machines of some size. It is asked before candidates are collected and sorted, which costs far more and is in vain for most pools of most rounds. */
const mayLackMachines = (round: SizingRound, pool: string): boolean =>
	round.shortages.has(pool) || neededMillicores(round, pool) > round.capacities.of(pool).expectedMillicores;

const growPools = (round: SizingRound): void => {
	const {state, shortages, movable, nowMs} = round;
	const isSpare = spareCheck(round);
	const afterBurst = new Set([...state.configuration.pools.keys()].filter(pool => state.demand.isBurstOver(pool, nowMs)));
	const isAvailable = (machine: MachineRecord): boolean => isStandby(state, machine) || isSpare(machine);
	for (const {name: pool, isStandby: isStandbyPool} of state.configuration.pools.values()) {
		if (isStandbyPool || state.demand.isBurstEnding(pool, nowMs) || !mayLackMachines(round, pool)) {
			continue;
		}

		// A machine whose pool's burst is over would be moved anyway, so it saves a move to standby.
		const candidates = movable.filter(machine => machine.order === undefined && machine.entry.pool !== pool && !isMachineEvacuated(state, machine) && isAvailable(machine))
			.toSorted((a, b) => (afterBurst.size > 0 && Number(afterBurst.has(b.entry.pool)) - Number(afterBurst.has(a.entry.pool))) || Number(isStandby(state, b)) - Number(isStandby(state, a)) || idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let deficit = candidates.length === 0 ? 0 : machineDeficit(round, pool, candidates[0]!);
		for (const candidate of candidates) {
			// The moves before this one may have left the candidate's pool without spare capacity.
			if (deficit > 0 && state.machineOrdersLeft > 0 && isAvailable(candidate)) {
				deficit--;
				moveTo(round, candidate, pool, `${shortages.get(pool)?.taskCount ?? 0} unplaced tasks`);
			}
		}
	}
};

const shrinkPools = (round: SizingRound, standby: string): void => {
	const {state, movable, capacities, nowMs} = round;
	const isSpare = spareCheck(round);
	const isDemandKnown = state.demand.isDemandKnown(nowMs);
	const idleLongest = movable
		.filter(machine => !isStandby(state, machine) && machine.order === undefined && idleForMs(state, machine, nowMs) >= idleBeforeStandbyMs)
		.toSorted((a, b) => idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
	for (const machine of idleLongest) {
		const {pool, capacity: {cpuMillicores}} = machine.entry;
		// Machines of an evacuated data centre are no capacity of their pool.
		const isEvacuated = isMachineEvacuated(state, machine);
		const keepsHeadroom = capacities.of(pool).freeMillicores - cpuMillicores >= cpuMillicores * headroomShare;
		if (state.machineOrdersLeft > 0 && (isEvacuated || (isDemandKnown && keepsHeadroom && isSpare(machine)))) {
			moveTo(round, machine, standby, 'idle');
		}
	}
};

/** Brings the forecast up to date and logs the bursts that have begun or ended. `lackingRoom` has the pools with more ready work than room. */
export const updateForecast = (state: SchedulerState, lackingRoom: ReadonlySet<string>, nowMs: number): void => {
	for (const {pool, expected, actual} of state.demand.advance(nowMs, lackingRoom)) {
		state.emit({
			type: 'log', fields: {
				event: actual === undefined ? 'burst_began' : 'burst_ended',
				pool,
				expectedMillicores: Math.round(expected.peakMillicores),
				expectedMs: Math.round(expected.lengthMs),
				actualMillicores: actual === undefined ? undefined : Math.round(actual.peakMillicores),
				actualMs: actual === undefined ? undefined : Math.round(actual.lengthMs),
			},
		});
	}
};

/** Orders the machine moves that current demand requires. */
export const resizePools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, nowMs: number): void => {
	if (!state.areMachinesOfTerm) {
		return;
	}

	const reserved = machinesReservedForWaves(state);
	const movable = [...state.machines.values()].filter(machine => isOrderable(state, machine, nowMs) && isIdle(state, machine, nowMs)
		&& isServiceable(state, machine) && !reserved.has(machine.entry.machineId));
	const round: SizingRound = {
		state, shortages, movable, nowMs, capacities: new PoolCapacities(state, nowMs),
	};
	growPools(round);
	state.poolLoadLog.log(state, shortages, round.capacities, nowMs);
	const standby = [...state.configuration.pools.values()].find(pool => pool.isStandby)?.name;
	if (standby !== undefined) {
		shrinkPools(round, standby);
	}
};
