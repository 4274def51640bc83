/**
Determines the order in which waiting steps are offered capacity.

The order is designed for bursts in which a queue demands about twice its pool's capacity for some seconds. Lasting tasks come first, since each second without them affects their users. Jobs that can still meet their objective follow, by queue priority and by their latest start; late jobs come after them. Jobs in excess of their customer's share come last, so that a customer that floods a queue only gets capacity that the others leave. A step that cannot be placed does not block the others.
*/
import {type JobRecord, type StepInstance} from './records.js';
import {longestChainMs, readySteps} from './jobs.js';
import {type SchedulerState} from './scheduler-state.js';

/** A step with waiting tasks and its sort keys. */
export type QueuedStep = {
	readonly step: StepInstance;
	readonly pool: string;
	readonly rank: number;
	readonly priority: number;
	/** Latest start, on the process's clock, at which the job still meets its objective. */
	readonly latestStartMs: number;
};

const lastingRank = 0;
const onTimeRank = 1;
const lateRank = 2;
const overShareRank = 3;

/** Returns the estimated duration of the longest chain of unfinished steps. */
export const remainingChainMs = (job: JobRecord): number => {
	let longestMs = 0;
	for (const steps of job.occurrences.values()) {
		longestMs = Math.max(longestMs, longestChainMs(steps.map(step => ({
			after: step.spec.after, durationMs: step.doneCount === step.tasks.length ? 0 : step.spec.estimateMs,
		}))));
	}

	return longestMs;
};

/** Returns the time by which the job must be done to meet its objective. */
export const objectiveDeadlineMs = (state: SchedulerState, job: JobRecord): number => {
	const queue = state.queueOf(job);
	return job.firstSeenAtMs + ((queue?.objectiveFactor ?? 1) * job.wholeChainMs) + (queue?.objectiveMs ?? 0);
};

const queuedStepsOf = (state: SchedulerState, job: JobRecord, nowMs: number): readonly QueuedStep[] => {
	const queue = state.queueOf(job);
	if (queue === undefined) {
		return [];
	}

	const steps = readySteps(job).filter(step => step.tasks.some(task => task.phase === 'waiting'));
	if (steps.length === 0) {
		return [];
	}

	const latestStartMs = objectiveDeadlineMs(state, job) - remainingChainMs(job);
	const deadlineRank = nowMs <= latestStartMs ? onTimeRank : lateRank;
	const rank = job.exceedsShare ? overShareRank : deadlineRank;
	return steps.map(step => ({
		step,
		pool: queue.pool,
		rank: step.spec.isLasting ? lastingRank : rank,
		priority: queue.priority,
		latestStartMs,
	}));
};

/** Returns all steps with waiting tasks, in the order in which they are offered capacity. */
export const sortQueuedSteps = (state: SchedulerState, nowMs: number): readonly QueuedStep[] => {
	const queued: QueuedStep[] = [];
	for (const job of state.openJobs) {
		queued.push(...queuedStepsOf(state, job, nowMs));
	}

	return queued.toSorted((a, b) => a.rank - b.rank || a.priority - b.priority || a.latestStartMs - b.latestStartMs);
};
