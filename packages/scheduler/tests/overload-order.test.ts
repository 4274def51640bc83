/**
A burst demands twice what a pool holds, while tasks take 20 to 90 percent longer or shorter than announced. The orders are compared by what callers get.
*/
import {describe, expect, test} from 'vitest';
import {createOrderPolicy} from '../src/core/order/order-policies.js';
import {type OrderPolicy} from '../src/core/order/order-policy.js';
import {reduceScheduler, SchedulerState} from '../src/index.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {
	eitherWay, longer, type OverloadLoad, playOverload,
} from './support/overload-model.js';
import {firstComeFirstServed, shortestRemainingChainFirst} from './support/reference-orders.js';
import {configurationOf} from './support/scheduler-simulation.js';

const twiceTheCapacity = {
	burstLoad: 2, burstMs: 6000, gapMs: 18_000, bursts: 3,
};

const seeds = [1, 2, 3];

/** Plays all seeds and returns the mean of each figure. */
const play = (createPolicy: () => OrderPolicy, drawFactor: OverloadLoad['drawFactor']) => {
	const outcomes = seeds.map(seed => playOverload(createPolicy(), {...twiceTheCapacity, seed, drawFactor}));
	const mean = (read: (outcome: typeof outcomes[number]) => number) => outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length;
	return {
		value: mean(({valuePercent}) => valuePercent),
		inTime: mean(({all}) => all.inTimePercent),
		smallInTime: mean(({small}) => small.inTimePercent),
		largeInTime: mean(({large}) => large.inTimePercent),
		worstCustomer: mean(({worstCustomerPercent}) => worstCustomerPercent),
		unfinished: mean(({unfinished}) => unfinished),
	};
};

describe.each([
	{durations: 'shorter or longer than announced', drawFactor: eitherWay, gain: 1.05},
	{durations: 'longer than announced', drawFactor: longer, gain: 1.8},
])('a burst of twice the capacity with durations $durations', ({drawFactor, gain}) => {
	const likely = play(() => createOrderPolicy('likely-in-time-first'), drawFactor);

	// Guards against starting jobs at their last moment, so that nearly all of them miss their objective together.
	test('serves more in time than the latest start first', () => {
		const latestStart = play(() => createOrderPolicy('latest-start-first'), drawFactor);
		expect(likely.value).toBeGreaterThan(gain * latestStart.value);
		expect(likely.inTime).toBeGreaterThan(latestStart.inTime);
		expect(likely.worstCustomer).toBeGreaterThan(latestStart.worstCustomer);
	});

	test('is worth more than to serve the oldest or the shortest first', () => {
		expect(likely.value).toBeGreaterThan(play(firstComeFirstServed, drawFactor).value);
		expect(likely.value).toBeGreaterThan(play(shortestRemainingChainFirst, drawFactor).value);
	});

	// Guards against serving small jobs alone, which are more numerous for the same capacity.
	test('serves large jobs at least half as often as all, and runs each job to its end', () => {
		expect(likely.largeInTime).toBeGreaterThanOrEqual(likely.inTime / 2);
		expect(likely.unfinished).toBe(0);
	});
});

// Guards against starvation: while more work arrives than the pool can process, jobs that are too late would otherwise wait for the end of the overload.
test('jobs that are too late get a tenth of the starts of a pool that stays overloaded', () => {
	const {worthlessStartsPercent} = playOverload(createOrderPolicy('likely-in-time-first'), {
		seed: 4, burstLoad: 2, burstMs: 40_000, gapMs: 10_000, bursts: 1, drawFactor: longer,
	});
	// The reserve is a tenth, from the time at which the first jobs are too late.
	expect(worthlessStartsPercent).toBeGreaterThan(5);
});

describe('the age of a job', () => {
	const stateWith = (hasTerm: boolean, acceptedWallMs: number): SchedulerState => {
		const state = new SchedulerState();
		const time = {nowMs: 1000, wallMs: 101_000};
		reduceScheduler(state, {type: 'configured', configuration: configurationOf(1), ...time});
		if (hasTerm) {
			reduceScheduler(state, {type: 'leaseWon', fencingToken: 1, ...time});
		}

		const job = jobOf(1, {acceptedWallMs, steps: [stepOf()]});
		reduceScheduler(state, {type: 'jobsChanged', changes: [acceptedChange(job)], ...time});
		return state;
	};

	const submittedAtMs = (state: SchedulerState): number => state.jobs.get(jobOf(1).jobId)!.submittedAtMs;

	// Guards against a new holder that takes all waiting jobs for new ones.
	test('counts from its submission, also for jobs of an earlier holder', () => {
		expect(submittedAtMs(stateWith(false, 94_000))).toBe(-6000);
		expect(submittedAtMs(stateWith(true, 100_400))).toBe(400);
	});

	// Guards against a gate with a slow wall clock, all of whose jobs would be served last.
	test('is bounded for jobs that arrive during the term', () => {
		expect(submittedAtMs(stateWith(true, 41_000))).toBe(-2000);
	});
});
