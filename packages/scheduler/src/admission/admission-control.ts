/**
Decides at a gate whether to refuse a job because its pool is overloaded. A job that would wait for longer than three times its objective is worth nothing to its caller, who learns at once when to try again. Such a job would also take capacity from jobs that can be in time, since each stored job is run to its end.

All gates decide by the same published numbers, so each refuses at random: the probability rises from 0 to 1 between two and three times the objective. Otherwise, all gates would refuse and accept together.
*/
import {type RandomSource} from '@poplarnotch/common';
import {longestChainMs} from '../core/jobs.js';
import {type JobSpec, type Queue} from '../types.js';
import {chainLimitsMs, type PoolLoad} from './pool-loads.js';

/** Numbers older than this are not used: they describe the backlog before or after a burst, or an earlier lease holder's. */
export const maxLoadAgeMs = 2000;

/** Multiples of the objective between which the probability of a refusal rises from 0 to 1. */
const firstRefusalFactor = 2;
const worthlessFactor = 3;

/** Customers within their share are refused from this much later on, in multiples of the objective, so that they are refused last. */
const withinShareAllowance = 0.5;

const minRetryAfterMs = 1000;

/** Share of the retry delay by which it is spread, so that refused callers do not return together. */
const retrySpread = 0.25;

export type Refusal = {readonly type: 'refused'; readonly retryAfterMs: number; readonly drainMs: number};

export type AdmissionDecision = {readonly type: 'admitted'} | Refusal;

export interface AdmissionControl {
	/** Decides on a new job by the load of its pool; `undefined` if it is not known, which admits the job. */
	decide(job: JobSpec, queue: Queue, load: PoolLoad | undefined): AdmissionDecision;
}

const admitted: AdmissionDecision = {type: 'admitted'};

export const admitAll: AdmissionControl = {
	decide: () => admitted,
};

export class DrainTimeAdmission implements AdmissionControl {
	readonly #random: RandomSource;

	constructor(random: RandomSource) {
		this.#random = random;
	}

	/** Lasting and scheduled jobs are admitted: they are few, and their value does not depend on how soon they end. */
	decide({customer, steps, recurrence}: JobSpec, {objectiveFactor, objectiveMs}: Queue, load: PoolLoad | undefined): AdmissionDecision {
		if (load === undefined || recurrence.count > 0 || steps.some(({isLasting}) => isLasting)) {
			return admitted;
		}

		const chainMs = longestChainMs(steps.map(({after, estimateMs}) => ({after, durationMs: estimateMs})));
		const jobObjectiveMs = (objectiveFactor * chainMs) + objectiveMs;
		const drainMs = load.drainMs[chainLimitsMs.findIndex(limitMs => chainMs <= limitMs)] ?? 0;
		if (jobObjectiveMs <= 0) {
			return admitted;
		}

		const allowance = load.overShare.includes(customer) ? 0 : withinShareAllowance;
		const firstFactor = firstRefusalFactor + allowance;
		const probability = ((drainMs / jobObjectiveMs) - firstFactor) / (worthlessFactor - firstFactor);
		if (this.#random.next() >= probability) {
			return admitted;
		}

		const delayMs = Math.max(minRetryAfterMs, drainMs - jobObjectiveMs);
		return {type: 'refused', retryAfterMs: Math.round(delayMs * (1 + (retrySpread * this.#random.next()))), drainMs};
	}
}
