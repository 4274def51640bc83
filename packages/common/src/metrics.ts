/**
Counters, gauges and latency histograms of a process, rendered in the Prometheus text format.
*/
import {build, type Histogram} from 'hdr-histogram-js';

/** Quantiles that every histogram reports. */
const reportedQuantiles = [0.5, 0.9, 0.99, 0.999] as const;

/** Histograms record microseconds, so that durations below 1 ms remain distinguishable. */
const microsecondsPerMs = 1000;

/** Longest duration that a histogram records, in microseconds; longer ones count as this long. */
const highestTrackableUs = 600_000_000;

const significantDigits = 2;

/** The metrics of one process. Names are in snake_case with the unit as suffix. */
export class MetricsRegistry {
	readonly #counters = new Map<string, number>();
	readonly #gauges = new Map<string, () => number>();
	readonly #histograms = new Map<string, Histogram>();

	/** Adds to a counter. */
	increment(name: string, by = 1): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
	}

	/** Returns the value of a counter; 0 if it was never incremented. */
	counterValue(name: string): number {
		return this.#counters.get(name) ?? 0;
	}

	/** Registers a gauge whose value is read whenever metrics are rendered. */
	gauge(name: string, read: () => number): void {
		this.#gauges.set(name, read);
	}

	/** Records one duration. */
	recordMs(name: string, durationMs: number): void {
		const valueUs = Math.round(durationMs * microsecondsPerMs);
		this.#histogram(name).recordValue(Math.min(Math.max(valueUs, 0), highestTrackableUs));
	}

	/** Returns a quantile of a histogram in milliseconds; 0 if nothing was recorded. */
	quantileMs(name: string, quantile: number): number {
		const histogram = this.#histograms.get(name);
		return histogram === undefined ? 0 : histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMs;
	}

	/** Renders all metrics in the Prometheus text format. */
	render(): string {
		return [
			...this.#renderCounters(),
			...this.#renderGauges(),
			...this.#renderHistograms(),
			'',
		].join('\n');
	}

	#histogram(name: string): Histogram {
		let histogram = this.#histograms.get(name);
		if (histogram === undefined) {
			histogram = build({
				lowestDiscernibleValue: 1,
				highestTrackableValue: highestTrackableUs,
				numberOfSignificantValueDigits: significantDigits,
				autoResize: true,
				bitBucketSize: 32,
				useWebAssembly: false,
			});
			this.#histograms.set(name, histogram);
		}

		return histogram;
	}

	#renderCounters(): string[] {
		return [...this.#counters].flatMap(([name, value]) => [`# TYPE ${name} counter`, `${name} ${value}`]);
	}

	#renderGauges(): string[] {
		return [...this.#gauges].flatMap(([name, read]) => [`# TYPE ${name} gauge`, `${name} ${read()}`]);
	}

	#renderHistograms(): string[] {
		return [...this.#histograms].flatMap(([name, histogram]) => [
			`# TYPE ${name} summary`,
			...reportedQuantiles.map(quantile =>
				`${name}{quantile="${quantile}"} ${histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMs}`),
			`${name}_count ${histogram.totalCount}`,
		]);
	}
}
