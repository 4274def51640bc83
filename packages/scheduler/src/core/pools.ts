/**
Sizes pools by moving machines between them and the standby pool.

Answers demand that rises by turns: a pool that lacks room, or is about to by what arrives, gets machines from standby, then idle ones of pools that lack nothing; a machine that has had no work for a while goes to standby, where it costs nothing. A move ends everything on a machine, so only machines on which nothing runs are moved.
*/
import {type Shortage} from './dispatch.js';
import {
	isIdle, isOrderable, isSound, isStandby, orderMove, workerOn,
} from './machines.js';
import {type MachineRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {isUsable} from './workers.js';

/** A machine without work for this long leaves its pool: a move costs about as much as a machine in a pool for 1.2 s. */
const idleBeforeStandbyMs = 1200;

/** Share of its room that a pool can fill: tasks do not divide machines evenly. */
const fillableShare = 0.85;

/** Room that stays free in a pool, as a share of one machine, so that its next jobs can start at once. */
const keptRoomShare = 0.5;

const waveMachines = (state: SchedulerState): ReadonlySet<string> => {
	const busy = new Set<string>();
	for (const wave of state.waves.values()) {
		if (wave.state === 'running') {
			for (const machineId of wave.reserved) {
				busy.add(machineId);
			}
		}
	}

	return busy;
};

const isComing = (machine: MachineRecord, pool: string): boolean =>
	(machine.order?.type === 'move' && machine.order.pool === pool) || (machine.entry.state === 'moving' && machine.entry.pool === pool);

/** How many machines of the given size would take the shortage. */
const machinesFor = (shortage: Shortage, machine: MachineRecord): number => Math.ceil(Math.max(
	shortage.needs.cpuMillicores / Math.max(1, machine.entry.capacity.cpuMillicores),
	shortage.needs.memoryMb / Math.max(1, machine.entry.capacity.memoryMb),
	machine.entry.capacity.accelerators === 0 ? 0 : shortage.needs.accelerators / machine.entry.capacity.accelerators,
));

const idleForMs = (state: SchedulerState, machine: MachineRecord, nowMs: number): number => {
	const worker = workerOn(state, machine);
	return worker === undefined ? 0 : nowMs - worker.idleSinceMs;
};

/** Processor room on the pool's usable workers. */
const freeIn = (state: SchedulerState, pool: string, nowMs: number): number => {
	let free = 0;
	for (const worker of state.workers.values()) {
		if (worker.entry.pool === pool && isUsable(worker, nowMs)) {
			free += state.room(worker).cpuMillicores;
		}
	}

	return free;
};

/** Processor room that the pool will have: that of its workers, less what lasting tasks take, and of machines on their way. */
const comingMillicores = (state: SchedulerState, pool: string, nowMs: number): number => {
	let total = 0;
	for (const worker of state.workers.values()) {
		if (worker.entry.pool === pool && isUsable(worker, nowMs)) {
			total += worker.entry.capacity.cpuMillicores;
			for (const run of worker.runs.values()) {
				total -= run.task?.step.spec.isLasting === true ? run.occupies.cpuMillicores : 0;
			}
		}
	}

	for (const machine of state.machines.values()) {
		total += isComing(machine, pool) ? machine.entry.capacity.cpuMillicores : 0;
	}

	return total;
};

/** What the pool lacks: for tasks that wait without room, and for what arrives. */
const missingMachines = (state: SchedulerState, pool: string, shortage: Shortage | undefined, nowMs: number): ((machine: MachineRecord) => number) => {
	const comingCount = [...state.machines.values()].filter(machine => isComing(machine, pool)).length;
	const wanted = state.demand.arrivingMillicores(pool, nowMs) / fillableShare;
	const lacking = wanted - comingMillicores(state, pool, nowMs);
	return machine => Math.max(
		shortage === undefined ? 0 : machinesFor(shortage, machine) - comingCount,
		Math.ceil(lacking / Math.max(1, machine.entry.capacity.cpuMillicores)),
	);
};

const growPools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, movable: readonly MachineRecord[], nowMs: number): void => {
	for (const {name: pool, isStandby: isOff} of state.configuration.pools.values()) {
		if (isOff) {
			continue;
		}

		const missingOf = missingMachines(state, pool, shortages.get(pool), nowMs);
		const donors = movable.filter(machine => machine.order === undefined && machine.entry.pool !== pool && (isStandby(state, machine) || isSpare(state, machine, shortages, nowMs)))
			.toSorted((a, b) => Number(isStandby(state, b)) - Number(isStandby(state, a)) || idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let missing = donors.length === 0 ? 0 : missingOf(donors[0]!);
		for (const donor of donors) {
			if (missing > 0) {
				missing--;
				orderMove(state, donor, pool, nowMs, `${shortages.get(pool)?.taskCount ?? 0} tasks without room`);
			}
		}
	}
};

/** The machine's pool lacks no room, and would not without it. */
const isSpare = (state: SchedulerState, machine: MachineRecord, shortages: ReadonlyMap<string, Shortage>, nowMs: number): boolean => {
	const {pool, capacity} = machine.entry;
	const wanted = state.demand.arrivingMillicores(pool, nowMs) / fillableShare;
	return !shortages.has(pool) && comingMillicores(state, pool, nowMs) - capacity.cpuMillicores >= wanted;
};

const shrinkPools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, movable: readonly MachineRecord[], standby: string, nowMs: number): void => {
	const idleByPool = new Map<string, MachineRecord[]>();
	for (const machine of movable) {
		if (!isStandby(state, machine) && machine.order === undefined && isSpare(state, machine, shortages, nowMs)) {
			idleByPool.set(machine.entry.pool, [...idleByPool.get(machine.entry.pool) ?? [], machine]);
		}
	}

	for (const idle of idleByPool.values()) {
		const longIdle = idle.toSorted((a, b) => idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let freeMillicores = freeIn(state, longIdle[0]!.entry.pool, nowMs);
		for (const machine of longIdle) {
			const {cpuMillicores} = machine.entry.capacity;
			const hasRoomLeft = freeMillicores - cpuMillicores >= cpuMillicores * keptRoomShare;
			if (hasRoomLeft && idleForMs(state, machine, nowMs) >= idleBeforeStandbyMs) {
				freeMillicores -= cpuMillicores;
				orderMove(state, machine, standby, nowMs, 'idle');
			}
		}
	}
};

/** Orders the moves that the present demand asks for. */
export const sizePools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, nowMs: number): void => {
	if (state.machinesListedAtMs === undefined || state.machinesListedAtMs < state.term!.wonAtMs) {
		return;
	}

	const reserved = waveMachines(state);
	const movable = [...state.machines.values()].filter(machine => isOrderable(state, machine, nowMs) && isIdle(state, machine, nowMs) && isSound(state, machine) && !reserved.has(machine.entry.machineId));
	growPools(state, shortages, movable, nowMs);
	const standby = [...state.configuration.pools.values()].find(pool => pool.isStandby)?.name;
	if (standby !== undefined) {
		shrinkPools(state, shortages, movable, standby, nowMs);
	}
};
