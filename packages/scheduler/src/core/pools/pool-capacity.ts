/**
Totals of each pool's capacity, collected once a round and adjusted with each move that the round orders. Pool sizing compares them with the demand for every machine; adding up all workers for each of them would make a round's cost grow with the square of the fleet's size.
*/
import {type Shortage} from '../dispatch.js';
import {isMachineEvacuated, workerOn} from '../machines.js';
import {type MachineRecord, type WorkerRecord} from '../records.js';
import {type SchedulerState} from '../scheduler-state.js';
import {isUsable} from '../workers.js';

export type PoolCapacity = {
	/** CPU capacity that the pool will have: that of its usable workers, less what lasting tasks occupy, plus that of arriving machines, except for machines in evacuated data centres. */
	expectedMillicores: number;
	/** Free CPU capacity of the pool's usable workers. */
	freeMillicores: number;
	/** Number of machines on their way to the pool. */
	arrivingCount: number;
};

/** Returns the pool that the machine is on its way to, if any. */
const arrivalPoolOf = (machine: MachineRecord): string | undefined => {
	if (machine.order?.type === 'move') {
		return machine.order.pool;
	}

	return machine.entry.state === 'moving' ? machine.entry.pool : undefined;
};

const lastingMillicoresOn = (worker: WorkerRecord): number => {
	let millicores = 0;
	for (const run of worker.runs.values()) {
		millicores += run.task?.step.spec.isLasting === true ? run.occupiedResources.cpuMillicores : 0;
	}

	return millicores;
};

export class PoolCapacities {
	readonly #state: SchedulerState;
	readonly #nowMs: number;
	readonly #byPool = new Map<string, PoolCapacity>();

	constructor(state: SchedulerState, nowMs: number) {
		this.#state = state;
		this.#nowMs = nowMs;
		for (const worker of state.workers.values()) {
			if (isUsable(worker, nowMs)) {
				this.#countWorker(worker, 1);
			}
		}

		for (const machine of state.machines.values()) {
			const pool = arrivalPoolOf(machine);
			if (pool !== undefined) {
				this.#countArrival(machine, pool);
			}
		}
	}

	of(pool: string): PoolCapacity {
		let capacity = this.#byPool.get(pool);
		if (capacity === undefined) {
			capacity = {expectedMillicores: 0, freeMillicores: 0, arrivingCount: 0};
			this.#byPool.set(pool, capacity);
		}

		return capacity;
	}

	/** Takes the machine out of its pool and counts it as arriving in the other. Must be called before the move is ordered, while the worker is still usable. */
	move(machine: MachineRecord, pool: string): void {
		const worker = workerOn(this.#state, machine);
		if (worker !== undefined && isUsable(worker, this.#nowMs)) {
			this.#countWorker(worker, -1);
		}

		this.#countArrival(machine, pool);
	}

	#countWorker(worker: WorkerRecord, sign: 1 | -1): void {
		const capacity = this.of(worker.entry.pool);
		capacity.expectedMillicores += sign * (worker.entry.capacity.cpuMillicores - lastingMillicoresOn(worker));
		capacity.freeMillicores += sign * this.#state.freeMillicores(worker);
	}

	#countArrival(machine: MachineRecord, pool: string): void {
		if (isMachineEvacuated(this.#state, machine)) {
			return;
		}

		const capacity = this.of(pool);
		capacity.expectedMillicores += machine.entry.capacity.cpuMillicores;
		capacity.arrivingCount++;
	}
}

/** Returns the pools whose unplaced tasks ask for more CPU than their workers have free. A task that finds no worker for its label or rack, although CPU is free, does not count: another machine would not help. */
export const poolsLackingRoom = (state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, nowMs: number): ReadonlySet<string> => {
	const freeByPool = new Map<string, number>();
	for (const worker of shortages.size === 0 ? [] : state.workers.values()) {
		const {pool} = worker.entry;
		if (shortages.has(pool) && isUsable(worker, nowMs)) {
			freeByPool.set(pool, (freeByPool.get(pool) ?? 0) + state.freeMillicores(worker));
		}
	}

	return new Set([...shortages].filter(([pool, {needs}]) => needs.cpuMillicores > (freeByPool.get(pool) ?? 0)).map(([pool]) => pool));
};
