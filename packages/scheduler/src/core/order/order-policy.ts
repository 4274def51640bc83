/**
The order in which waiting steps are offered capacity, as an interchangeable policy. A policy ranks jobs; collecting and sorting their steps is common to all policies.

The order matters only while a pool is full. Bursts in which a queue demands about twice its pool's capacity for some seconds decide whether a policy is good.
*/
import {readySteps} from '../jobs.js';
import {type JobRecord, type StepInstance} from '../records.js';
import {type SchedulerState} from '../scheduler-state.js';
import {type Queue, type StepSpec} from '../../types.js';

/** A step with waiting tasks and its sort keys. */
export type QueuedStep = {
	readonly step: StepInstance;
	readonly pool: string;
	readonly rank: number;
	readonly priority: number;
	/** Orders steps of the same rank and priority; smaller is first. */
	readonly sortKey: number;
};

/** Sort keys of a job: smaller is first. */
export type JobRank = {
	readonly rank: number;
	readonly sortKey: number;
};

export interface OrderPolicy {
	/** Returns all steps with waiting tasks, in the order in which they are offered capacity. */
	sort(state: SchedulerState, nowMs: number): readonly QueuedStep[];
	/** Called with the number of tasks of a step that were started. */
	recordStarts(queued: QueuedStep, startedCount: number): void;
}

/** Rank of lasting tasks: each second without them affects their users, so they precede all jobs. */
export const lastingRank = 0;

const announcedFactor = (): number => 1;

/** Returns the expected duration of the longest chain of unfinished steps, for durations that differ from the announced ones by the given factor. It is called for each waiting job 40 times a second, so it creates few objects. */
export const remainingChainMs = (job: JobRecord, factorOf: (step: StepSpec) => number = announcedFactor): number => {
	let longestMs = 0;
	for (const steps of job.occurrences.values()) {
		const finishMs: number[] = [];
		for (const {spec, doneCount, tasks} of steps) {
			let startMs = 0;
			for (const index of spec.after) {
				startMs = Math.max(startMs, finishMs[index] ?? 0);
			}

			const endMs = startMs + (doneCount === tasks.length ? 0 : spec.estimateMs * factorOf(spec));
			finishMs.push(endMs);
			longestMs = Math.max(longestMs, endMs);
		}
	}

	return longestMs;
};

/** Returns the time that the queue allows for the job, from its submission to its end. */
export const objectiveMsOf = (queue: Queue, job: JobRecord): number => (queue.objectiveFactor * job.wholeChainMs) + queue.objectiveMs;

/** Collects the steps with waiting tasks and sorts them. `rankJob` is called only for jobs that have such steps. */
export const sortByRank = (state: SchedulerState, rankJob: (job: JobRecord, queue: Queue) => JobRank): QueuedStep[] => {
	const queued: QueuedStep[] = [];
	for (const job of state.openJobs) {
		const queue = state.queueOf(job);
		if (queue === undefined) {
			continue;
		}

		let jobRank: JobRank | undefined;
		for (const step of readySteps(job)) {
			if (step.tasks.some(task => task.phase === 'waiting')) {
				jobRank ??= rankJob(job, queue);
				queued.push({
					step, pool: queue.pool, rank: step.spec.isLasting ? lastingRank : jobRank.rank, priority: queue.priority, sortKey: jobRank.sortKey,
				});
			}
		}
	}

	return queued.toSorted((a, b) => a.rank - b.rank || a.priority - b.priority || a.sortKey - b.sortKey);
};
