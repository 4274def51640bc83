/**
Sizes pools by moving machines between them and the standby pool.

Answers demand that rises by turns: a pool that lacks room gets machines from standby, then idle ones of pools that lack nothing; a machine that has had no work for a while goes to standby, where it costs nothing. A move ends everything on a machine, so only machines on which nothing runs are moved.
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

const growPools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, movable: MachineRecord[], nowMs: number): void => {
	const machines = [...state.machines.values()];
	for (const [pool, shortage] of shortages) {
		const donors = movable.filter(machine => machine.order === undefined && machine.entry.pool !== pool && (isStandby(state, machine) || !shortages.has(machine.entry.pool)))
			.toSorted((a, b) => Number(isStandby(state, b)) - Number(isStandby(state, a)) || idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let missing = donors.length === 0 ? 0 : machinesFor(shortage, donors[0]!) - machines.filter(machine => isComing(machine, pool)).length;
		for (const donor of donors) {
			if (missing > 0) {
				missing--;
				orderMove(state, donor, pool, nowMs, `shortage of ${shortage.taskCount} tasks`);
			}
		}
	}
};

const shrinkPools = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, movable: readonly MachineRecord[], standby: string, nowMs: number): void => {
	const idleByPool = new Map<string, MachineRecord[]>();
	for (const machine of movable) {
		if (!isStandby(state, machine) && machine.order === undefined && !shortages.has(machine.entry.pool)) {
			idleByPool.set(machine.entry.pool, [...idleByPool.get(machine.entry.pool) ?? [], machine]);
		}
	}

	for (const idle of idleByPool.values()) {
		const longIdle = idle.toSorted((a, b) => idleForMs(state, b, nowMs) - idleForMs(state, a, nowMs));
		let freeMillicores = freeIn(state, longIdle[0]!.entry.pool, nowMs);
		for (const machine of longIdle) {
			const {cpuMillicores} = machine.entry.capacity;
			const isSpare = freeMillicores - cpuMillicores >= cpuMillicores * keptRoomShare;
			if (isSpare && idleForMs(state, machine, nowMs) >= idleBeforeStandbyMs) {
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
