/**
Orders jobs by whether they are likely to meet their objective, for bursts in which a queue demands about twice its pool's capacity and durations differ from the announced ones by 20 to 90 percent.

1. Lasting tasks.
2. Started jobs that can still be in time, the one with the least slack first. Leaving them would waste the work that was already done.
3. Jobs with a good chance of being in time, even if they take longer than announced. Short and young ones come first: they take the least capacity for each job that is in time, and they have the most slack left when the pool is full for longer than expected.
4. The same of customers that exceed their share. They still precede work that is late anyway, which is worth a fraction.
5. Jobs that are unlikely to be in time, but not too late to be of use, the oldest first.
6. Jobs that are too late to be of use, the oldest first. A tenth of a pool's starts is reserved for them, so that each job is run in the end. A reserve that includes (5) lowered the value of what callers got by a seventh in the overload model.
*/
import {type DurationFactors} from '../model/duration-model.js';
import {type JobRecord} from '../records.js';
import {type SchedulerState} from '../scheduler-state.js';
import {type Queue} from '../../types.js';
import {
	type JobRank, lastingRank, objectiveMsOf, type OrderPolicy, type QueuedStep, remainingChainMs, sortByRank,
} from './order-policy.js';

const startedRank = 1;
const likelyRank = 2;
const overShareRank = 3;
const unlikelyRank = 4;
const worthlessRank = 5;

/** Multiple of its objective after which a job is of no use to its caller. */
const worthlessFactor = 3;

/** Weight of a job's age against its remaining duration. In the overload model with durations that are longer than announced, 0.5 served more jobs in time than 0, 0.25 and 1. */
const ageWeight = 0.5;

/** Share of a pool's starts that is reserved for jobs that are too late. */
const reservedShare = 0.1;

/** Reserved starts that were not used accumulate up to this number, about the tasks of one step. */
const maxReservedStarts = 8;

export class LikelyInTimeFirst implements OrderPolicy {
	/** Reserved starts that are due, by pool. */
	readonly #reservedStarts = new Map<string, number>();

	sort(state: SchedulerState, nowMs: number): readonly QueuedStep[] {
		return this.#withReserved(sortByRank(state, (job, queue) => rankJob(state, job, queue, nowMs)));
	}

	recordStarts({pool, rank}: QueuedStep, startedCount: number): void {
		const reserved = this.#reservedStarts.get(pool) ?? 0;
		this.#reservedStarts.set(pool, rank === worthlessRank
			? Math.max(0, reserved - startedCount)
			: Math.min(maxReservedStarts, reserved + (startedCount * reservedShare)));
	}

	/** Moves one step that is too late to the front, for each pool with a reserved start that is due. Such steps are at the end of the list. */
	#withReserved(sorted: readonly QueuedStep[]): readonly QueuedStep[] {
		const oldest = new Map<string, QueuedStep>();
		for (let index = sorted.length - 1; index >= 0 && sorted[index]!.rank === worthlessRank; index--) {
			const queued = sorted[index]!;
			const known = oldest.get(queued.pool);
			if ((this.#reservedStarts.get(queued.pool) ?? 0) >= 1 && (known === undefined || queued.sortKey <= known.sortKey)) {
				oldest.set(queued.pool, queued);
			}
		}

		if (oldest.size === 0) {
			return sorted;
		}

		const moved = new Set(oldest.values());
		const lastingCount = sorted.findIndex(({rank}) => rank !== lastingRank);
		return [...sorted.slice(0, lastingCount), ...moved, ...sorted.slice(lastingCount).filter(queued => !moved.has(queued))];
	}
}

/** Returns the remaining chain with learned durations. The factor of most jobs is the same for all steps, so their announced chain is multiplied by it; walking the steps again made up a tenth of a round with a thousand waiting jobs. */
const expectedChainMs = (state: SchedulerState, job: JobRecord, announcedMs: number, bound: keyof DurationFactors): number => {
	const {queue, steps} = job.spec;
	const image = steps[0]?.image ?? '';
	return steps.every(step => step.image === image)
		? announcedMs * state.durations.factorsOf(queue, image)[bound]
		: remainingChainMs(job, step => state.durations.factorsOf(queue, step.image)[bound]);
};

const rankJob = (state: SchedulerState, job: JobRecord, queue: Queue, nowMs: number): JobRank => {
	const objectiveMs = objectiveMsOf(queue, job);
	const ageMs = nowMs - job.submittedAtMs;
	const remainingMs = remainingChainMs(job);
	const expectedMs = expectedChainMs(state, job, remainingMs, 'long');
	if (job.hasBegun && ageMs + expectedChainMs(state, job, remainingMs, 'short') <= objectiveMs) {
		return {rank: job.exceedsShare ? overShareRank : startedRank, sortKey: objectiveMs - ageMs - expectedMs};
	}

	if (ageMs + expectedMs <= objectiveMs) {
		return {rank: job.exceedsShare ? overShareRank : likelyRank, sortKey: remainingMs + (ageWeight * ageMs)};
	}

	return {rank: ageMs + expectedMs <= worthlessFactor * objectiveMs ? unlikelyRank : worthlessRank, sortKey: job.submittedAtMs};
};
