/**
Orders jobs that can still meet their objective by queue priority and by their latest start; late jobs follow. Jobs in excess of their customer's share come last, so that a customer that floods a queue only gets capacity that the others leave.

Beyond full load, this order starts each job at its last moment, and most of them miss their objective if durations are longer than announced. `likely-in-time-first` avoids that.
*/
import {type JobRecord} from '../records.js';
import {type SchedulerState} from '../scheduler-state.js';
import {type Queue} from '../../types.js';
import {
	type JobRank, objectiveMsOf, type OrderPolicy, type QueuedStep, remainingChainMs, sortByRank,
} from './order-policy.js';

const onTimeRank = 1;
const lateRank = 2;
const overShareRank = 3;

export class LatestStartFirst implements OrderPolicy {
	sort(state: SchedulerState, nowMs: number): readonly QueuedStep[] {
		return sortByRank(state, (job, queue) => this.#rank(job, queue, nowMs));
	}

	/** The order does not depend on what was started before. */
	recordStarts(): void {
		// Nothing to record.
	}

	#rank(job: JobRecord, queue: Queue, nowMs: number): JobRank {
		const latestStartMs = job.firstSeenAtMs + objectiveMsOf(queue, job) - remainingChainMs(job);
		const deadlineRank = nowMs <= latestStartMs ? onTimeRank : lateRank;
		return {rank: job.exceedsShare ? overShareRank : deadlineRank, sortKey: latestStartMs};
	}
}
