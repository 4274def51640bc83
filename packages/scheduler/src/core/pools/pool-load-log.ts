/**
Logs what pool sizing decides from, for each pool that lacks capacity or is in a burst: what its queue asks for, what the pool can do, and where its machines are. A burst whose jobs were late is explained by these lines: too small a forecast, machines on their way, machines taken by a wave, or capacity that was free and not used.
*/
import {type Shortage} from '../dispatch.js';
import {workerOn} from '../machines.js';
import {type SchedulerState} from '../scheduler-state.js';
import {type PoolCapacities} from './pool-capacity.js';

/** Shorter than a machine's move, so that each step of a burst is seen. */
const intervalMs = 500;

type MachineCounts = {up: number; reserved: number; moving: number; away: number};

const countMachines = (state: SchedulerState): ReadonlyMap<string, MachineCounts> => {
	const byPool = new Map<string, MachineCounts>();
	for (const machine of state.machines.values()) {
		const {pool, state: machineState} = machine.entry;
		const counts = byPool.get(pool) ?? {
			up: 0, reserved: 0, moving: 0, away: 0,
		};
		byPool.set(pool, counts);
		if (machineState === 'moving') {
			counts.moving++;
		} else if (machineState === 'up') {
			counts.up++;
			counts.reserved += workerOn(state, machine)?.isReserved === true ? 1 : 0;
		} else {
			counts.away++;
		}
	}

	return byPool;
};

export class PoolLoadLog {
	#loggedAtMs = Number.NEGATIVE_INFINITY;

	log(state: SchedulerState, shortages: ReadonlyMap<string, Shortage>, capacities: PoolCapacities, nowMs: number): void {
		const pools = [...state.configuration.pools.values()];
		const isOfInterest = (pool: string): boolean => shortages.has(pool) || state.demand.isInBurst(pool);
		if (nowMs - this.#loggedAtMs < intervalMs || !pools.some(({name}) => isOfInterest(name))) {
			return;
		}

		this.#loggedAtMs = nowMs;
		const machines = countMachines(state);
		const standbyMachines = pools.reduce((sum, {name, isStandby}) => sum + (isStandby ? machines.get(name)?.up ?? 0 : 0), 0);
		for (const {name: pool, isStandby} of pools) {
			if (!isStandby && isOfInterest(pool)) {
				const {expectedMillicores, freeMillicores, arrivingCount} = capacities.of(pool);
				const shortage = shortages.get(pool);
				const fields = {
					isInBurst: state.demand.isInBurst(pool),
					demandMillicores: Math.round(state.demand.demandMillicores(pool, nowMs)),
					unplacedTasks: shortage?.taskCount ?? 0,
					unplacedMillicores: shortage?.needs.cpuMillicores ?? 0,
					expectedMillicores,
					freeMillicores,
					arriving: arrivingCount,
					...machines.get(pool),
					standbyMachines,
				};
				state.emit({type: 'log', fields: {event: 'pool_load', pool, ...fields}});
			}
		}
	}
}
