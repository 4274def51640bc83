/**
Numbers that the lease holder publishes for the gates' admission decisions: how long each queue's pool would need for the work that is ahead of a new job. They are computed once a second.
*/
import {objectiveMsOf, remainingChainMs} from '../core/order/order-policy.js';
import {type JobRecord} from '../core/records.js';
import {resourcesOccupiedBy, type SchedulerState} from '../core/scheduler-state.js';
import {isUsable} from '../core/workers.js';
import {type Queue} from '../types.js';

/** Chain lengths of jobs for which separate numbers are published. Jobs with short chains are served before those with long ones, so a new job waits only for work of chains up to about its own. */
export const chainLimitsMs = [1000, 2000, 4000, 8000, Number.POSITIVE_INFINITY] as const;

/** What gates know of a queue. */
export type QueueLoad = {
	/** Time in which the pool processes the work ahead of a new job, if nothing else arrives, for each of `chainLimitsMs`. */
	readonly drainMs: readonly number[];
	/** Customers with jobs beyond their share of the arrivals. */
	readonly overShare: readonly string[];
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
type Backlog = {readonly queue: Queue; readonly millicoreMs: number[]; readonly overShare: Set<string>};

/** Returns the load of each queue with waiting work. Jobs that cannot be in time any more come after new ones, so their work is left out. Queues of one pool share its capacity, and work of the same or a higher priority is ahead. */
export const queueLoadsOf = (state: SchedulerState, nowMs: number): ReadonlyMap<string, QueueLoad> => {
	const backlogs = new Map<string, Backlog>();
	for (const job of state.openJobs) {
		const queue = state.queueOf(job);
		if (queue === undefined || nowMs - job.submittedAtMs + remainingChainMs(job) > objectiveMsOf(queue, job)) {
			continue;
		}

		const backlog = backlogs.get(queue.name) ?? {queue, millicoreMs: chainLimitsMs.map(() => 0), overShare: new Set()};
		backlogs.set(queue.name, backlog);
		const millicoreMs = waitingMillicoreMs(state, job, queue);
		for (const [index, limitMs] of chainLimitsMs.entries()) {
			backlog.millicoreMs[index]! += job.wholeChainMs <= limitMs ? millicoreMs : 0;
		}

		if (job.exceedsShare) {
			backlog.overShare.add(job.spec.customer);
		}
	}

	const capacities = capacityByPool(state, nowMs);
	const loads = new Map<string, QueueLoad>();
	for (const queue of state.configuration.queues.values()) {
		const ahead = [...backlogs.values()].filter(other => other.queue.pool === queue.pool && other.queue.priority <= queue.priority);
		const capacity = capacities.get(queue.pool) ?? 0;
		// Without any worker, it is not known how soon there will be some, so nothing is published.
		if (ahead.length > 0 && capacity > 0) {
			const drainMs = chainLimitsMs.map((_limitMs, index) => Math.round(ahead.reduce((sum, {millicoreMs}) => sum + millicoreMs[index]!, 0) / capacity));
			loads.set(queue.name, {drainMs, overShare: [...backlogs.get(queue.name)?.overShare ?? []]});
		}
	}

	return loads;
};
