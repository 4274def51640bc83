/**
Tells how old the lease holder's copy of shared rows is. A holder that no longer reads the job rows goes on with the jobs that it knows, so nothing else shows that it starts no new ones.
*/
import {type Clock, type Logger, type MetricsRegistry} from '@poplarnotch/common';

/** The copy is confirmed as of the time when the last answered call was sent. Without changes a call is answered after 1.5 s, so the copy is up to 3 s old while all is well. */
const staleAfterMs = 3200;

export type CopyAgeMonitorOptions = {
	/** Name of the copy in log lines and metrics, such as `job_rows`. */
	readonly name: string;
	/** When the newest answered call was sent; `undefined` before the first. */
	readonly confirmedAtMs: () => number | undefined;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class CopyAgeMonitor {
	readonly #options: CopyAgeMonitorOptions;
	#isStale = false;

	constructor(options: CopyAgeMonitorOptions) {
		this.#options = options;
		options.metrics.gauge(`${options.name}_age_ms`, () => Math.round(this.#ageMs ?? 0));
	}

	get #ageMs(): number | undefined {
		const confirmedAtMs = this.#options.confirmedAtMs();
		return confirmedAtMs === undefined ? undefined : this.#options.clock.nowMs() - confirmedAtMs;
	}

	/** Logs once when the copy becomes stale, and once when it is current again. */
	check(): void {
		const ageMs = this.#ageMs;
		const isStale = ageMs !== undefined && ageMs > staleAfterMs;
		if (isStale !== this.#isStale) {
			this.#isStale = isStale;
			this.#options.log.warn({event: `${this.#options.name}_${isStale ? 'stale' : 'current'}`, ageMs: Math.round(ageMs ?? 0)});
		}
	}
}
