/**
Learns how long steps really take compared with what their submitters announced, by queue and image: estimates are off by half in either direction, and some queues are always too optimistic.

The model is kept in memory only. A new lease holder rebuilds it within seconds of a burst; storing it would cost a write each second. While there are few samples, announced durations and default factors are used.
*/
import {build, type Histogram} from 'hdr-histogram-js';

/** Fewer samples than this are not used: the percentiles would rest on a few of them. */
const minSamples = 20;

/** A generation is closed after this many samples or after this time, if it has enough samples; quantiles are of the last two generations. A generation spans the gap between two bursts of a queue, so that the model survives it. */
const generationSamples = 200;
const generationMs = 60_000;

/** Quantiles are computed again after this many new samples, since they are asked for with each waiting job of a round. */
const samplesPerUpdate = 10;

/** Factors are recorded in percent; longer ones count as this. */
const maxFactorPercent = 10_000;

/** Range of the factor that a job's chance is judged by. */
export type DurationFactors = {
	/** A fifth of the steps take less than this multiple of the announced duration. */
	readonly short: number;
	/** A third of the steps take more than this multiple. */
	readonly long: number;
};

/** Used while the model has few samples: the announced duration, and what it is exceeded by if the estimate is off by half. */
export const defaultFactors: DurationFactors = {short: 1, long: 1.5};

const shortPercentile = 20;
/** With the 80th percentile, large jobs lost their chance too early: in the overload model with durations that are longer than announced, they were in time less than half as often as all jobs. */
const longPercentile = 65;

const newHistogram = (): Histogram => build({
	lowestDiscernibleValue: 1, highestTrackableValue: maxFactorPercent, numberOfSignificantValueDigits: 2, bitBucketSize: 32, useWebAssembly: false,
});

/** Recent factors of one queue or of one of its images. */
class RecentFactors {
	factors: DurationFactors | undefined;
	readonly #sum = newHistogram();
	#current = newHistogram();
	#previous = newHistogram();
	#currentSinceMs: number;
	#samplesSinceUpdate = 0;

	constructor(nowMs: number) {
		this.#currentSinceMs = nowMs;
	}

	get sampleCount(): number {
		return this.#current.totalCount + this.#previous.totalCount;
	}

	record(factor: number, nowMs: number): void {
		const {totalCount} = this.#current;
		if (totalCount >= generationSamples || (totalCount >= minSamples && nowMs - this.#currentSinceMs >= generationMs)) {
			const reused = this.#previous;
			reused.reset();
			this.#previous = this.#current;
			this.#current = reused;
			this.#currentSinceMs = nowMs;
		}

		this.#current.recordValue(Math.min(maxFactorPercent, Math.max(1, Math.round(100 * factor))));
		this.#samplesSinceUpdate++;
		if (this.sampleCount >= minSamples && (this.factors === undefined || this.#samplesSinceUpdate >= samplesPerUpdate)) {
			this.#update();
		}
	}

	#update(): void {
		this.#samplesSinceUpdate = 0;
		this.#sum.reset();
		this.#sum.add(this.#current);
		this.#sum.add(this.#previous);
		this.factors = {short: this.#sum.getValueAtPercentile(shortPercentile) / 100, long: this.#sum.getValueAtPercentile(longPercentile) / 100};
	}
}

type QueueFactors = {
	readonly all: RecentFactors;
	readonly byImage: Map<string, RecentFactors>;
};

/** Images of a queue beyond this number share the queue's factors. */
const maxImagesPerQueue = 50;

/** A finished step. */
export type StepDuration = {
	readonly queue: string;
	readonly image: string;
	readonly estimateMs: number;
	/** Run time of the step's longest task. */
	readonly durationMs: number;
};

export class DurationModel {
	readonly #byQueue = new Map<string, QueueFactors>();

	/** Records a finished step. Steps without an announced duration are left out. */
	record({queue, image, estimateMs, durationMs}: StepDuration, nowMs: number): void {
		if (estimateMs <= 0) {
			return;
		}

		let known = this.#byQueue.get(queue);
		if (known === undefined) {
			known = {all: new RecentFactors(nowMs), byImage: new Map()};
			this.#byQueue.set(queue, known);
		}

		const factor = durationMs / estimateMs;
		known.all.record(factor, nowMs);
		if (image !== '' && !known.byImage.has(image) && known.byImage.size < maxImagesPerQueue) {
			known.byImage.set(image, new RecentFactors(nowMs));
		}

		known.byImage.get(image)?.record(factor, nowMs);
	}

	/** Returns the factors of the image, or of its queue while the image has few samples. */
	factorsOf(queue: string, image: string): DurationFactors {
		const known = this.#byQueue.get(queue);
		return known?.byImage.get(image)?.factors ?? known?.all.factors ?? defaultFactors;
	}

	/** Returns the factors of each queue with enough samples, for diagnosis. */
	summary(): ReadonlyArray<DurationFactors & {readonly queue: string; readonly samples: number}> {
		return [...this.#byQueue].flatMap(([queue, {all}]) => all.factors === undefined ? [] : [{queue, samples: all.sampleCount, ...all.factors}]);
	}
}
