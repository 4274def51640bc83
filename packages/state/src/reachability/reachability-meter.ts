/**
Records whether this process's calls to the table service are answered, directly or through a peer. An outage shows as calls that fail at once, or as calls without any answer, which would otherwise be noticed only at their time limit.
*/
import {type Clock} from '@poplarnotch/common';

/** A call without an answer for this long counts as failed, unless another call was answered meanwhile. A slow table service answers within 200 ms. */
const overdueMs = 700;

/** Whether a process reaches the table service, as it reports to its peers. */
export type ReachabilityReport = {
	/** The last call failed, or is overdue. */
	readonly isFailing: boolean;
	/** Time since the last answered call; left out before the first. */
	readonly answeredAgeMs?: number | undefined;
};

export class ReachabilityMeter {
	readonly #clock: Clock;
	/** Times at which the pending calls were sent, without those that wait for changes. */
	readonly #pendingSinceMs = new Map<symbol, number>();
	#answeredAtMs: number | undefined;
	#failedSinceMs: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** When the failures began that were not interrupted by an answer; `undefined` if the table service is reached. */
	get failingSinceMs(): number | undefined {
		const nowMs = this.#clock.nowMs();
		const overdue = [...this.#pendingSinceMs.values()].filter(sentAtMs => sentAtMs >= (this.#answeredAtMs ?? sentAtMs) && nowMs - sentAtMs >= overdueMs);
		const sinceMs = Math.min(this.#failedSinceMs ?? Number.POSITIVE_INFINITY, ...overdue);
		return sinceMs === Number.POSITIVE_INFINITY ? undefined : sinceMs;
	}

	/** How long the oldest call has been waiting, or since when calls have failed, if nothing was answered since; 0 if no such call is known. */
	get unansweredForMs(): number {
		const nowMs = this.#clock.nowMs();
		const pending = [...this.#pendingSinceMs.values()].filter(sentAtMs => sentAtMs >= (this.#answeredAtMs ?? sentAtMs));
		return nowMs - Math.min(this.#failedSinceMs ?? nowMs, ...pending, nowMs);
	}

	/** Time since the last answer if no call but long ones is pending, 0 otherwise. */
	get quietForMs(): number {
		return this.#pendingSinceMs.size > 0 ? 0 : this.#clock.nowMs() - (this.#answeredAtMs ?? this.#clock.nowMs());
	}

	get report(): ReachabilityReport {
		return {
			isFailing: this.failingSinceMs !== undefined,
			...(this.#answeredAtMs === undefined ? {} : {answeredAgeMs: this.#clock.nowMs() - this.#answeredAtMs}),
		};
	}

	/** Records the outcome of the call that is performed. `isLong` is true for calls that wait for changes or list all rows. `isAnswer` tells whether an error is an answer of the table service. */
	async measure<Result>(perform: () => Promise<Result>, isLong: boolean, isAnswer: (error: unknown) => boolean): Promise<Result> {
		const call = Symbol('call');
		const sentAtMs = this.#clock.nowMs();
		if (!isLong) {
			this.#pendingSinceMs.set(call, sentAtMs);
		}

		try {
			const result = await perform();
			this.#recordAnswer();
			return result;
		} catch (error) {
			if (isAnswer(error)) {
				this.#recordAnswer();
			} else if (sentAtMs >= (this.#answeredAtMs ?? sentAtMs)) {
				// A call that was sent before the last answer and lost its connection says nothing about the time after it.
				this.#failedSinceMs ??= this.#clock.nowMs();
			}

			throw error;
		} finally {
			this.#pendingSinceMs.delete(call);
		}
	}

	#recordAnswer(): void {
		this.#answeredAtMs = this.#clock.nowMs();
		this.#failedSinceMs = undefined;
	}
}
