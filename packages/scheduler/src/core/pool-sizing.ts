/**
Resizes pools by moving machines between them and the standby pool.

Demand peaks in different pools at different times. A pool that lacks capacity, or will lack it at the current arrival rate, gets machines from standby first and then idle machines of pools with no shortage. A machine that has been idle for a while goes to standby, where it costs nothing. A move ends everything on a machine, so only idle machines are moved.
*/
import {type Shortage} from './dispatch.js';
import {
	isIdle, isOrderable, isServiceable, isStandby, orderMove, workerOn,
} from './machines.js';
import {type MachineRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {isUsable} from './workers.js';

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

const isArriving = (machine: MachineRecord, pool: string): boolean =>
	(machine.order?.type === 'move' && machine.order.pool === pool) || (machine.entry.state === 'moving' && machine.entry.pool === pool);

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

/** Returns the free CPU capacity on the pool's usable workers. */
const freeMillicoresOf = (state: SchedulerState, pool: string, nowMs: number): number => {
	let freeMillicores = 0;
	for (const worker of state.workers.values()) {
		if (worker.entry.pool === pool && isUsable(worker, nowMs)) {
			freeMillicores += state.room(worker).cpuMillicores;
		}
	}

	return freeMillicores;
};

/** Returns the CPU capacity that the pool will have: that of its usable workers, less what lasting tasks occupy, plus that of arriving machines. */
const expectedMillicores = (state: SchedulerState, pool: string, nowMs: number): number => {
	let total = 0;
	for (const worker of state.workers.values()) {
		if (worker.entry.pool === pool && isUsable(worker, nowMs)) {
			total += worker.entry.capacity.cpuMillicores;
			for (const run of worker.runs.values()) {
				total -= run.task?.step.spec.isLasting === true ? run.occupiedResources.cpuMillicores : 0;
			}
		}
	}

	for (const machine of state.machines.values()) {
		total += isArriving(machine, pool) ? machine.entry.capacity.cpuMillicores : 0;
	}

	return total;
};

/** Returns a function that tells, for machines of a given size, how many the pool lacks for unplaced tasks and for the current arrival rate. */
const machineDeficit = (state: SchedulerState, pool: string, shortage: Shortage | undefined, nowMs: number): ((machine: MachineRecord) => number) => {
	const arrivingCount = [...state.machines.values()].filter(machine => isArriving(machine, pool)).length;
	const demandMillicores = state.demand.demandMillicores(pool, nowMs) / achievableUtilisation;
	const deficitMillicores = demandMillicores - expectedMillicores(state, pool, nowMs);
	return machine => Math.max(
		shortage === undefined ? 0 : machinesNeeded(shortage, machine) - arrivingCount,
		Math.ceil(deficitMillicores / Math.max(1, machine.entry.capacity.cpuMillicores)),
	);
};

const growPools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, movable: readonly MachineRecord[], nowMs: number): void => {
	for (const {name: pool, isStandby: isStandbyPool} of state.configuration.pools.values()) {
		if (isStandbyPool) {
			continue;
		}

		const deficitFor = machineDeficit(state, pool, shortages.get(pool), nowMs);
		const candidates = movable.filter(machine => machine.order === undefined && machine.entry.pool !== pool && (isStandby(state, machine) || isSpare(state, machine, shortages, nowMs)))
			.toSorted((a, b) => Number(isStandby(state, b)) - Number(isStandby(state, a)) || idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let deficit = candidates.length === 0 ? 0 : deficitFor(candidates[0]!);
		for (const candidate of candidates) {
			if (deficit > 0) {
				deficit--;
				orderMove(state, candidate, pool, nowMs, `${shortages.get(pool)?.taskCount ?? 0} unplaced tasks`);
			}
		}
	}
};

/** Returns true if the machine's pool has no shortage and would have none without the machine. */
const isSpare = (state: SchedulerState, machine: MachineRecord, shortages: ReadonlyMap<string, Shortage>, nowMs: number): boolean => {
	const {pool, capacity} = machine.entry;
	const demandMillicores = state.demand.demandMillicores(pool, nowMs) / achievableUtilisation;
	return !shortages.has(pool) && expectedMillicores(state, pool, nowMs) - capacity.cpuMillicores >= demandMillicores;
};

const shrinkPools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, movable: readonly MachineRecord[], standby: string, nowMs: number): void => {
	const idleByPool = new Map<string, MachineRecord[]>();
	for (const machine of movable) {
		if (!isStandby(state, machine) && machine.order === undefined && isSpare(state, machine, shortages, nowMs)) {
			idleByPool.set(machine.entry.pool, [...idleByPool.get(machine.entry.pool) ?? [], machine]);
		}
	}

	for (const idle of idleByPool.values()) {
		const byIdleTime = idle.toSorted((a, b) => idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let freeMillicores = freeMillicoresOf(state, byIdleTime[0]!.entry.pool, nowMs);
		for (const machine of byIdleTime) {
			const {cpuMillicores} = machine.entry.capacity;
			const keepsHeadroom = freeMillicores - cpuMillicores >= cpuMillicores * headroomShare;
			if (keepsHeadroom && idleForMs(state, machine, nowMs) >= idleBeforeStandbyMs) {
				freeMillicores -= cpuMillicores;
				orderMove(state, machine, standby, nowMs, 'idle');
			}
		}
	}
};

/** Orders the machine moves that current demand requires. */
export const resizePools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, nowMs: number): void => {
	if (state.machinesListedAtMs === undefined || state.machinesListedAtMs < state.term!.wonAtMs) {
		return;
	}

	const reserved = machinesReservedForWaves(state);
	const movable = [...state.machines.values()].filter(machine => isOrderable(state, machine, nowMs) && isIdle(state, machine, nowMs)
		&& isServiceable(state, machine) && !reserved.has(machine.entry.machineId));
	growPools(state, shortages, movable, nowMs);
	const standby = [...state.configuration.pools.values()].find(pool => pool.isStandby)?.name;
	if (standby !== undefined) {
		shrinkPools(state, shortages, movable, standby, nowMs);
	}
};
