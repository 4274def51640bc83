/**
Shares one expensive read among the calls that need its result: calls that come while it is under way wait for it, and later ones get its result for as long as that is young enough. So any number of callers costs the store one read in that time.
*/
import {type Clock} from '@poplarnotch/common';
import {storeRetryDelayMs} from '../constants.js';

export type SharedReadOptions<Value> = {
	readonly read: () => Promise<Value>;
	/** A read that was sent longer ago is not shared any more, whether it is under way or not. */
	readonly maxAgeMs: number;
	readonly clock: Clock;
};

export class SharedRead<Value> {
	readonly #options: SharedReadOptions<Value>;
	#latest: Promise<Value> | undefined;
	#sharedUntilMs = Number.NEGATIVE_INFINITY;

	constructor(options: SharedReadOptions<Value>) {
		this.#options = options;
	}

	/** Resolves to a result that is at most `maxAgeMs` old when the call is made, or was read since; fails as the read does. */
	async get(): Promise<Value> {
		const nowMs = this.#options.clock.nowMs();
		if (this.#latest === undefined || nowMs >= this.#sharedUntilMs) {
			this.#sharedUntilMs = nowMs + this.#options.maxAgeMs;
			this.#latest = this.#read();
		}

		return this.#latest;
	}

	/** A failure is shared for a moment only, which keeps callers from repeating it at once. */
	async #read(): Promise<Value> {
		const {read, clock} = this.#options;
		const sharedUntilMs = this.#sharedUntilMs;
		try {
			return await read();
		} catch (error) {
			if (this.#sharedUntilMs === sharedUntilMs) {
				this.#sharedUntilMs = Math.min(sharedUntilMs, clock.nowMs() + storeRetryDelayMs);
			}

			throw error;
		}
	}
}
