/**
Numbers that the lease holder publishes for the gates' admission decisions: how long each pool would need for the work that is ahead of a new job of each priority. They are computed once a second.
*/
import {objectiveMsOf, remainingChainMs} from '../core/order/order-policy.js';
import {type JobRecord} from '../core/records.js';
import {resourcesOccupiedBy, type SchedulerState} from '../core/scheduler-state.js';
import {isUsable} from '../core/workers.js';
import {type Queue} from '../types.js';

/** Chain lengths of jobs for which separate numbers are published. Jobs with short chains are served before those with long ones, so a new job waits only for work of chains up to about its own. */
export const chainLimitsMs = [1000, 2000, 4000, 8000, Number.POSITIVE_INFINITY] as const;

/** What gates know of the work of one pool that is ahead of a new job of one priority. */
export type PoolLoad = {
	readonly pool: string;
	/** The load counts work of this priority and of higher ones, which have lower numbers. */
	readonly priority: number;
	/** Time in which the pool processes the work ahead of a new job, if nothing else arrives, for each of `chainLimitsMs`. */
	readonly drainMs: readonly number[];
	/** Customers with waiting jobs of this priority beyond their share of the arrivals. */
	readonly overShare: readonly string[];
};

/** Returns the load that applies to a queue: that of its own priority, or of the next higher one with waiting work, whose customers do not count as beyond their share here. */
export const loadOfQueue = (loads: readonly PoolLoad[], {pool, priority}: Queue): PoolLoad | undefined => {
	const nearest = loads
		.filter(load => load.pool === pool && load.priority <= priority)
		.toSorted((a, b) => b.priority - a.priority)[0];
	return nearest === undefined || nearest.priority === priority ? nearest : {...nearest, overShare: []};
};

/** Usable CPU capacity by pool, less what lasting tasks occupy. */
const capacityByPool = (state: SchedulerState, nowMs: number): ReadonlyMap<string, number> => {
	const capacities = new Map<string, number>();
	for (const worker of state.workers.values()) {
		if (isUsable(worker, nowMs)) {
			let millicores = worker.entry.capacity.cpuMillicores;
			for (const run of worker.runs.values()) {
				millicores -= run.task?.step.spec.isLasting === true ? run.occupiedResources.cpuMillicores : 0;
			}

			capacities.set(worker.entry.pool, (capacities.get(worker.entry.pool) ?? 0) + millicores);
		}
	}

	return capacities;
};

/** Returns the work that waits, by the announced durations and what was learned of them. */
const waitingMillicoreMs = (state: SchedulerState, job: JobRecord, queue: Queue): number => {
	let millicoreMs = 0;
	for (const step of [...job.occurrences.values()].flat()) {
		if (!step.spec.isLasting) {
			const count = step.tasks.filter(({phase}) => phase === 'waiting').length;
			const {short, long} = state.durations.factorsOf(queue.name, step.spec.image);
			millicoreMs += count * resourcesOccupiedBy(step).cpuMillicores * step.spec.estimateMs * (short + long) / 2;
		}
	}

	return millicoreMs;
};

/** Waiting work of one pool and priority, by chain limit. */
type Backlog = {
	readonly pool: string;
	readonly priority: number;
	readonly millicoreMs: number[];
	readonly overShare: Set<string>;
};

/** Returns the backlogs of all pools and priorities. Jobs that cannot be in time any more come after new ones, so their work is left out. */
const backlogsOf = (state: SchedulerState, nowMs: number): readonly Backlog[] => {
	const backlogs = new Map<string, Backlog>();
	for (const job of state.openJobs) {
		const queue = state.queueOf(job);
		if (queue === undefined || nowMs - job.submittedAtMs + remainingChainMs(job) > objectiveMsOf(queue, job)) {
			continue;
		}

		const {pool, priority} = queue;
		const key = `${priority} ${pool}`;
		const backlog = backlogs.get(key) ?? {
			pool, priority, millicoreMs: chainLimitsMs.map(() => 0), overShare: new Set(),
		};
		backlogs.set(key, backlog);
		const millicoreMs = waitingMillicoreMs(state, job, queue);
		for (const [index, limitMs] of chainLimitsMs.entries()) {
			backlog.millicoreMs[index]! += job.wholeChainMs <= limitMs ? millicoreMs : 0;
		}

		if (job.exceedsShare) {
			backlog.overShare.add(job.spec.customer);
		}
	}

	return [...backlogs.values()];
};

/** Returns the load of each pool and priority with waiting work. Queues of one pool share its capacity, and work of the same or a higher priority is ahead. */
export const poolLoadsOf = (state: SchedulerState, nowMs: number): readonly PoolLoad[] => {
	const backlogs = backlogsOf(state, nowMs);
	const capacities = capacityByPool(state, nowMs);
	return backlogs.flatMap(({pool, priority, overShare}) => {
		const capacity = capacities.get(pool) ?? 0;
		// Without any worker, it is not known how soon there will be some, so nothing is published.
		if (capacity <= 0) {
			return [];
		}

		const ahead = backlogs.filter(other => other.pool === pool && other.priority <= priority);
		const drainMs = chainLimitsMs.map((_limitMs, index) => Math.round(ahead.reduce((sum, {millicoreMs}) => sum + millicoreMs[index]!, 0) / capacity));
		return [{
			pool, priority, drainMs, overShare: [...overShare],
		}];
	});
};
