/**
Simple orders that the scheduler's policies are compared with.
*/
import {
	type OrderPolicy, type QueuedStep, remainingChainMs, sortByRank,
} from '../../src/core/order/order-policy.js';
import {type JobRecord} from '../../src/core/records.js';
import {type SchedulerState} from '../../src/core/scheduler-state.js';

class ReferenceOrder implements OrderPolicy {
	readonly #sortKeyOf: (job: JobRecord) => number;

	constructor(sortKeyOf: (job: JobRecord) => number) {
		this.#sortKeyOf = sortKeyOf;
	}

	sort(state: SchedulerState): readonly QueuedStep[] {
		return sortByRank(state, job => ({rank: 1, sortKey: this.#sortKeyOf(job)}));
	}

	recordStarts(): void {
		// Nothing to record.
	}
}

export const firstComeFirstServed = (): OrderPolicy => new ReferenceOrder(({firstSeenAtMs}) => firstSeenAtMs);

export const shortestRemainingChainFirst = (): OrderPolicy => new ReferenceOrder(remainingChainMs);
