/**
Remembers submissions of which it is not known whether the job is stored, so that a later attempt for the same job is not answered with "not stored" while an earlier one may still take effect. Callers retry a job within seconds and often on the same connection.
*/
import {type Clock} from '@poplarnotch/common';

/** A commit without an answer takes effect within this time or not at all, and callers have given up by then. */
const retentionMs = 30_000;

/** Maximum number of remembered jobs; the oldest are dropped first. */
const maxJobs = 20_000;

export class UncertainSubmissions {
	readonly #clock: Clock;
	/** Number of pending submissions by job id. */
	readonly #pending = new Map<string, number>();
	/** When the outcome of a submission was found to be unknown, by job id, in this order. */
	readonly #unknownSinceMs = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Returns true if an earlier or pending submission may store the job. */
	has(jobId: string): boolean {
		const sinceMs = this.#unknownSinceMs.get(jobId);
		return this.#pending.has(jobId) || (sinceMs !== undefined && this.#clock.nowMs() - sinceMs < retentionMs);
	}

	begin(jobId: string): void {
		this.#pending.set(jobId, (this.#pending.get(jobId) ?? 0) + 1);
	}

	end(jobId: string, isUnknown: boolean): void {
		const pending = this.#pending.get(jobId)! - 1;
		if (pending === 0) {
			this.#pending.delete(jobId);
		} else {
			this.#pending.set(jobId, pending);
		}

		if (isUnknown) {
			this.#unknownSinceMs.delete(jobId);
			this.#unknownSinceMs.set(jobId, this.#clock.nowMs());
		}

		for (const [oldest, sinceMs] of this.#unknownSinceMs) {
			if (this.#unknownSinceMs.size <= maxJobs && this.#clock.nowMs() - sinceMs < retentionMs) {
				break;
			}

			this.#unknownSinceMs.delete(oldest);
		}
	}
}
