/**
Forecasts the demand of pools whose queues burst: a queue that asks for a twentieth of its mean and then for five times as much for some seconds.

A burst is detected from its first jobs, and its pool is sized at once for the peak that earlier bursts reached. Where bursts of two pools have followed one another at a constant interval, the second is expected before its first job. A wrong forecast costs idle machines, never a task: what could not be placed still counts as a shortage.
*/
import {type BurstChange, type BurstSize, type DemandForecast} from './demand-forecast.js';
import {type Arrival, DemandMeter} from './demand-meter.js';

const bucketMs = 100;
/** The mean, against which a burst is detected, is taken over 10 s. */
const bucketCount = 100;
/** A burst's rate is taken over 500 ms, long enough that two jobs in quick succession are none. */
const recentBuckets = 5;
/** A peak is the largest rate over 1 s: shorter windows are dominated by single large jobs. */
const peakBuckets = 10;

/** A burst begins at this multiple of the mean rate. */
const beginFactor = 3;
/** Fewer jobs within the recent window are no burst of a pool that had nothing to do. */
const minBurstJobs = 4;
/** A burst ends when its rate falls below this part of its own mean. */
const endShare = 1 / 3;

/** A burst whose work still finds no room goes on for at most this long after its rate fell. Its jobs may not be seen for a moment, while job rows are listed anew, and its pool must not lose machines then. */
const maxWaitingMs = 3000;

/** Peak of a pool's first burst as a multiple of the mean, and its limit as a multiple of what arrives. */
const firstPeakFactor = 5;
const maxArrivedFactor = 2;

/** A burst may still rise, also above what was learned: its rate is extrapolated over the time until machines ordered now are ready, up to a limit. */
const extrapolationMs = 2500;
const maxExtrapolationFactor = 2.5;
/** The slope of fewer jobs says nothing. */
const minExtrapolatedJobs = 8;

/** Weight of the newest burst in what was learned. */
const learningWeight = 0.5;
/** Shorter bursts, which may be a few jobs by chance, are not learned from. */
const minLearnedMs = 1000;

/** Time that a machine needs to move to another pool. */
const moveMs = 1500;
/** A burst is about to end only if its rate has fallen below this part of its peak: an earlier burst of which this process saw only a part is too short a measure. */
const fallingShare = 0.5;
/** Time after a burst in which its pool's machines count as free for others. */
const afterBurstMs = 2000;

/** Bursts follow one another in a stable order if the last intervals differ by less than this. */
const maxSpreadMs = 1000;
/** Number of equal successions after which the next one is expected, and number remembered. */
const minSuccessions = 2;
const maxSuccessions = 3;

/** Demand is known once arrivals have been measured for as long as their mean is taken over. After 2 s, a burst still rises, and the machines that it is about to need would be on their way to standby. */
const minMeasuredMs = bucketCount * bucketMs;
/** A fleet that has had no job for this long is taken to have no traffic. */
const maxUnknownMs = 60_000;

/** A burst in progress. */
type Burst = {
	readonly beganAtMs: number;
	readonly expected: BurstSize;
	jobs: number;
	peakMillicores: number;
	/** Since when the rate has been below the part of its mean at which the burst ends. */
	fellAtMs: number | undefined;
};

/** The burst of another pool that came before one of this pool, and the time between their begins. */
type Succession = {readonly after: string; readonly intervalMs: number};

/** Arrivals and bursts of one pool. */
class PoolHistory {
	burst: Burst | undefined;
	endedAtMs = Number.NEGATIVE_INFINITY;
	learned: BurstSize = {peakMillicores: 0, lengthMs: 0};
	successions: readonly Succession[] = [];
	readonly #work = new Float64Array(bucketCount);
	readonly #jobs = new Float64Array(bucketCount);
	#lastBucket = 0;

	record(millicoreMs: number, atMs: number): void {
		const bucket = Math.floor(atMs / bucketMs);
		this.advance(atMs);
		if (bucket > this.#lastBucket - bucketCount) {
			this.#work[bucket % bucketCount]! += millicoreMs;
			this.#jobs[bucket % bucketCount]! += 1;
		}
	}

	/** Clears the buckets that fall out of the window. */
	advance(nowMs: number): void {
		const bucket = Math.floor(nowMs / bucketMs);
		for (let next = Math.max(this.#lastBucket + 1, bucket - bucketCount + 1); next <= bucket; next++) {
			this.#work[next % bucketCount] = 0;
			this.#jobs[next % bucketCount] = 0;
		}

		this.#lastBucket = Math.max(this.#lastBucket, bucket);
	}

	recentJobs(): number {
		return this.#sum(this.#jobs, recentBuckets);
	}

	/** Jobs of the window before the recent ones, scaled to the length of the recent window. */
	usualJobs(): number {
		const earlier = this.#sum(this.#jobs, bucketCount) - this.recentJobs();
		return earlier * recentBuckets / (bucketCount - recentBuckets);
	}

	recentMillicores(): number {
		return this.#sum(this.#work, recentBuckets) / (recentBuckets * bucketMs);
	}

	peakMillicores(): number {
		return this.#sum(this.#work, peakBuckets) / (peakBuckets * bucketMs);
	}

	/** Returns the rate of the last second, continued at the slope from the second before; 0 if there are too few jobs. */
	extrapolatedMillicores(): number {
		if (this.#sum(this.#jobs, 2 * peakBuckets) < minExtrapolatedJobs) {
			return 0;
		}

		const latest = this.peakMillicores();
		const earlier = (this.#sum(this.#work, 2 * peakBuckets) / (peakBuckets * bucketMs)) - latest;
		const slopePerMs = Math.max(0, latest - earlier) / (peakBuckets * bucketMs);
		return Math.min(latest + (slopePerMs * extrapolationMs), maxExtrapolationFactor * latest);
	}

	meanMillicores(): number {
		return this.#sum(this.#work, bucketCount) / (bucketCount * bucketMs);
	}

	learn(actual: BurstSize): void {
		const isFirst = this.learned.lengthMs === 0;
		const blend = (known: number, latest: number): number => isFirst ? latest : known + ((latest - known) * learningWeight);
		this.learned = {
			peakMillicores: blend(this.learned.peakMillicores, actual.peakMillicores),
			lengthMs: blend(this.learned.lengthMs, actual.lengthMs),
		};
	}

	/** Returns the interval at which this pool's bursts have followed those of the other pool, if it is constant. */
	intervalAfter(pool: string): number | undefined {
		const intervals = this.successions.map(({intervalMs}) => intervalMs);
		const isStable = intervals.length >= minSuccessions
			&& this.successions.every(({after}) => after === pool)
			&& Math.max(...intervals) - Math.min(...intervals) < maxSpreadMs;
		return isStable ? intervals.reduce((sum, value) => sum + value, 0) / intervals.length : undefined;
	}

	#sum(values: Float64Array, count: number): number {
		let sum = 0;
		for (let bucket = this.#lastBucket; bucket > this.#lastBucket - count && bucket >= 0; bucket--) {
			sum += values[bucket % bucketCount]!;
		}

		return sum;
	}
}

export class BurstForecast implements DemandForecast {
	errorPercent = 0;
	readonly #meter = new DemandMeter();
	readonly #pools = new Map<string, PoolHistory>();
	#firstArrivalAtMs = Number.POSITIVE_INFINITY;
	#firstRoundAtMs = Number.POSITIVE_INFINITY;
	#lastBegun: {readonly pool: string; readonly atMs: number} | undefined;

	recordArrival(arrival: Arrival): void {
		this.#meter.recordArrival(arrival);
		this.#firstArrivalAtMs = Math.min(this.#firstArrivalAtMs, arrival.atMs);
		let history = this.#pools.get(arrival.pool);
		if (history === undefined) {
			history = new PoolHistory();
			this.#pools.set(arrival.pool, history);
		}

		history.record(arrival.millicoreMs, arrival.atMs);
		if (history.burst !== undefined) {
			history.burst.jobs++;
		}
	}

	advance(nowMs: number, lackingRoom: ReadonlySet<string>): readonly BurstChange[] {
		this.#firstRoundAtMs = Math.min(this.#firstRoundAtMs, nowMs);
		const changes: BurstChange[] = [];
		for (const [pool, history] of this.#pools) {
			history.advance(nowMs);
			const change = history.burst === undefined ? this.#beginBurst(pool, history, nowMs) : this.#followBurst(pool, history, lackingRoom.has(pool), nowMs);
			if (change !== undefined) {
				changes.push(change);
			}
		}

		return changes;
	}

	restart(): void {
		this.#lastBegun = undefined;
		for (const history of this.#pools.values()) {
			history.burst = undefined;
		}
	}

	demandMillicores(pool: string, nowMs: number): number {
		const history = this.#pools.get(pool);
		if (history === undefined) {
			return 0;
		}

		if (history.burst !== undefined) {
			return Math.max(this.#meter.demandMillicores(pool, nowMs), this.#expectedMillicores(history, history.burst, nowMs));
		}

		const current = this.isBurstOver(pool, nowMs) ? history.recentMillicores() : this.#meter.demandMillicores(pool, nowMs);
		return this.#isBurstExpected(pool, history, nowMs) ? Math.max(current, history.learned.peakMillicores) : current;
	}

	/** The first jobs of a fleet may be a burst, for which the pools as the operators sized them are the best guess. */
	isDemandKnown(nowMs: number): boolean {
		return nowMs - this.#firstArrivalAtMs >= minMeasuredMs || nowMs - this.#firstRoundAtMs >= maxUnknownMs;
	}

	isInBurst(pool: string): boolean {
		return this.#pools.get(pool)?.burst !== undefined;
	}

	isBurstEnding(pool: string, nowMs: number): boolean {
		const history = this.#pools.get(pool);
		const burst = history?.burst;
		if (history === undefined || burst === undefined || burst.expected.lengthMs === 0) {
			return false;
		}

		const endsInMs = burst.beganAtMs + burst.expected.lengthMs - nowMs;
		const isFalling = history.recentMillicores() < fallingShare * burst.peakMillicores;
		return isFalling && endsInMs < moveMs && endsInMs > -moveMs;
	}

	isBurstOver(pool: string, nowMs: number): boolean {
		const history = this.#pools.get(pool);
		return history !== undefined && history.burst === undefined && nowMs - history.endedAtMs < afterBurstMs;
	}

	#beginBurst(pool: string, history: PoolHistory, nowMs: number): BurstChange | undefined {
		const jobs = history.recentJobs();
		if (jobs < Math.max(minBurstJobs, beginFactor * history.usualJobs())) {
			return undefined;
		}

		const last = this.#lastBegun;
		if (last !== undefined && last.pool !== pool) {
			history.successions = [...history.successions, {after: last.pool, intervalMs: nowMs - last.atMs}].slice(-maxSuccessions);
		}

		this.#lastBegun = {pool, atMs: nowMs};
		history.burst = {
			beganAtMs: nowMs, expected: history.learned, jobs, peakMillicores: 0, fellAtMs: undefined,
		};
		return {pool, expected: history.learned, actual: undefined};
	}

	/** Measures the burst, and ends it once its rate has fallen and its work finds room. */
	#followBurst(pool: string, history: PoolHistory, lacksRoom: boolean, nowMs: number): BurstChange | undefined {
		const burst = history.burst!;
		burst.peakMillicores = Math.max(burst.peakMillicores, history.peakMillicores());
		const followedMs = (burst.fellAtMs ?? nowMs) - burst.beganAtMs;
		const windowMs = recentBuckets * bucketMs;
		if (followedMs < windowMs || history.recentJobs() >= endShare * burst.jobs * windowMs / (followedMs + windowMs)) {
			burst.fellAtMs = undefined;
			return undefined;
		}

		burst.fellAtMs ??= nowMs;
		if (lacksRoom && nowMs - burst.fellAtMs < maxWaitingMs) {
			return undefined;
		}

		const lengthMs = burst.fellAtMs - burst.beganAtMs;
		history.burst = undefined;
		history.endedAtMs = nowMs;
		const actual: BurstSize = {peakMillicores: burst.peakMillicores, lengthMs};
		if (lengthMs >= minLearnedMs) {
			this.errorPercent = Math.round(100 * Math.abs(burst.expected.peakMillicores - actual.peakMillicores) / Math.max(1, actual.peakMillicores));
			history.learn(actual);
		}

		return {pool, expected: burst.expected, actual};
	}

	/** Until its expected end, a burst needs what earlier ones did, and more if it rises above them. The first burst of a pool is estimated from the mean and from what has arrived. */
	#expectedMillicores(history: PoolHistory, {beganAtMs, expected}: Burst, nowMs: number): number {
		const extrapolated = history.extrapolatedMillicores();
		if (expected.lengthMs === 0) {
			return Math.max(extrapolated, Math.min(firstPeakFactor * history.meanMillicores(), maxArrivedFactor * history.recentMillicores()));
		}

		return Math.max(extrapolated, nowMs < beganAtMs + expected.lengthMs ? expected.peakMillicores : 0);
	}

	/** Returns true from `moveMs` before the expected begin of the pool's next burst until it is overdue. */
	#isBurstExpected(pool: string, history: PoolHistory, nowMs: number): boolean {
		const last = this.#lastBegun;
		const intervalMs = last === undefined || last.pool === pool ? undefined : history.intervalAfter(last.pool);
		const dueInMs = intervalMs === undefined ? Number.POSITIVE_INFINITY : last!.atMs + intervalMs - nowMs;
		return dueInMs <= moveMs && dueInMs > -maxSpreadMs;
	}
}
