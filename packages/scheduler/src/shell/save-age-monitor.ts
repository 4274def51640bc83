/**
Tells that the lease holder's progress is not being stored. Tasks are started and ends are read all the same, so nothing else shows that the next holder will know none of it.
*/
import {type Clock, type Logger, type MetricsRegistry} from '@poplarnotch/common';

/** A save that waits for so long is logged, and again after each further interval. A slow store stores one within 300 ms. */
const reportIntervalMs = 1000;

/** What is not stored at present. */
export type UnsavedProgress = {
	/** Number of the save under way; `undefined` if there is none. */
	readonly saveNumber: number | undefined;
	/** When that save was ordered. */
	readonly orderedAtMs: number;
	/** Jobs with progress that is not stored. */
	readonly jobs: number;
	readonly fencingToken: number | undefined;
};

export type SaveAgeMonitorOptions = {
	readonly unsaved: () => UnsavedProgress;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class SaveAgeMonitor {
	readonly #options: SaveAgeMonitorOptions;
	#reportedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: SaveAgeMonitorOptions) {
		this.#options = options;
		options.metrics.gauge('save_pending_ms', () => Math.round(this.#ageMs(options.unsaved())));
	}

	/** Logs a save that has waited for too long. */
	check(): void {
		const {unsaved, clock, log} = this.#options;
		const progress = unsaved();
		const {saveNumber, jobs, fencingToken} = progress;
		const ageMs = this.#ageMs(progress);
		const nowMs = clock.nowMs();
		if (ageMs >= reportIntervalMs && nowMs - this.#reportedAtMs >= reportIntervalMs) {
			this.#reportedAtMs = nowMs;
			log.warn({
				event: 'progress_unsaved', saveNumber, ageMs: Math.round(ageMs), jobs, fencingToken,
			});
		}
	}

	#ageMs({saveNumber, orderedAtMs}: UnsavedProgress): number {
		return saveNumber === undefined ? 0 : this.#options.clock.nowMs() - orderedAtMs;
	}
}
