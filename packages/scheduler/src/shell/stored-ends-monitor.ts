/**
Tells how long the lease holder alone knows of an end: from the report that lists it until the progress that rests on it is stored. If the worker leaves and the holder is lost within that time, the next holder starts the task again.
*/
import {type Clock, type Logger, type MetricsRegistry} from '@poplarnotch/common';

const reportIntervalMs = 5000;

/** Operators count an end as acknowledged this long after a worker has listed it. */
const lateAfterMs = 100;

export type StoredEndsMonitorOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class StoredEndsMonitor {
	readonly #options: StoredEndsMonitorOptions;
	#count = 0;
	#sumMs = 0;
	#longestMs = 0;
	#lateCount = 0;
	#beganAtMs: number | undefined;

	constructor(options: StoredEndsMonitorOptions) {
		this.#options = options;
	}

	/** Records the ages of ends that are stored now. Logs what was recorded every few seconds. */
	record(agesMs: readonly number[]): void {
		const {clock, metrics} = this.#options;
		for (const ageMs of agesMs) {
			metrics.recordMs('end_stored_ms', ageMs);
			this.#sumMs += ageMs;
			this.#longestMs = Math.max(this.#longestMs, ageMs);
			this.#lateCount += ageMs > lateAfterMs ? 1 : 0;
		}

		this.#count += agesMs.length;
		const nowMs = clock.nowMs();
		this.#beganAtMs ??= nowMs;
		if (nowMs - this.#beganAtMs >= reportIntervalMs) {
			this.#report(nowMs);
		}
	}

	#report(nowMs: number): void {
		this.#options.log.info({
			event: 'ends_stored', overMs: Math.round(nowMs - this.#beganAtMs!), count: this.#count, meanMs: Math.round(this.#sumMs / this.#count), longestMs: Math.round(this.#longestMs), late: this.#lateCount,
		});
		this.#count = 0;
		this.#sumMs = 0;
		this.#longestMs = 0;
		this.#lateCount = 0;
		this.#beganAtMs = nowMs;
	}
}
