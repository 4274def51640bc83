/**
The order in which waiting work is offered room.

Answers the load in which a queue asks for about twice what its pool holds for some seconds: lasting tasks first, since each second without them is lost to their users; then jobs that can still meet their objective, by queue priority and by how late they may still start; jobs that are late anyway come after them, and last what a customer hands in beyond its share, so that one who floods a queue is served from what the others leave. A step that finds no room does not hold up the others.
*/
import {type JobRecord, type StepRun} from './records.js';
import {readySteps, stepsOf} from './jobs.js';
import {type SchedulerState} from './scheduler-state.js';

/** A step with tasks that wait, and its place in the order. */
export type QueuedStep = {
	readonly step: StepRun;
	readonly pool: string;
	readonly rank: number;
	readonly priority: number;
	/** Until when the step must start for its job to meet the objective, on the process's clock. */
	readonly latestStartMs: number;
};

const lastingRank = 0;
const timelyRank = 1;
const lateRank = 2;
const beyondShareRank = 3;

/** Length of the longest chain of steps that are not done, from estimates. */
export const remainingChainMs = (job: JobRecord): number => {
	const finishMs = new Map<string, number>();
	let longest = 0;
	for (const step of stepsOf(job)) {
		const earlier = step.spec.after.map(index => finishMs.get(`${step.occurrence}.${index}`) ?? 0);
		const own = step.doneCount === step.tasks.length ? 0 : step.spec.estimateMs;
		const end = Math.max(0, ...earlier) + own;
		finishMs.set(`${step.occurrence}.${step.stepIndex}`, end);
		longest = Math.max(longest, end);
	}

	return longest;
};

const wholeChainMs = (job: JobRecord): number => {
	const finishMs: number[] = [];
	for (const step of job.spec.steps) {
		finishMs.push(Math.max(0, ...step.after.map(index => finishMs[index] ?? 0)) + step.estimateMs);
	}

	return Math.max(0, ...finishMs);
};

/** When the job has to be done to meet its objective. */
export const objectiveAtMs = (state: SchedulerState, job: JobRecord): number => {
	const queue = state.queueOf(job);
	return job.seenAtMs + ((queue?.objectiveFactor ?? 1) * wholeChainMs(job)) + (queue?.objectiveMs ?? 0);
};

const queuedStepsOf = (state: SchedulerState, job: JobRecord, nowMs: number): readonly QueuedStep[] => {
	const queue = state.queueOf(job);
	if (queue === undefined) {
		return [];
	}

	const latestStartMs = objectiveAtMs(state, job) - remainingChainMs(job);
	const timelyOrLate = nowMs <= latestStartMs ? timelyRank : lateRank;
	const rank = job.isBeyondShare ? beyondShareRank : timelyOrLate;
	return readySteps(job).filter(step => step.tasks.some(task => task.phase === 'waiting')).map(step => ({
		step,
		pool: queue.pool,
		rank: step.spec.isLasting ? lastingRank : rank,
		priority: queue.priority,
		latestStartMs,
	}));
};

/** All steps with waiting tasks, first those that are offered room first. */
export const orderQueue = (state: SchedulerState, nowMs: number): readonly QueuedStep[] => [...state.openJobs]
	.flatMap(job => queuedStepsOf(state, job, nowMs))
	.toSorted((a, b) => a.rank - b.rank || a.priority - b.priority || a.latestStartMs - b.latestStartMs);
