/**
Rate limiter of the stand-in, which works like that of the real platform.
*/
import {type Clock} from '@poplarnotch/common';

const msPerSecond = 1000;

/** Token bucket that allows a mean rate and bursts of up to one second's tokens. */
export class TokenBucket {
	readonly #clock: Clock;
	#perSecond: number;
	#tokens: number;
	#refilledAtMs: number;

	constructor(perSecond: number, clock: Clock) {
		this.#clock = clock;
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
		this.#refilledAtMs = clock.nowMs();
	}

	/** Changes the rate and refills the bucket if the rate differs from the current one. */
	setRate(perSecond: number): void {
		if (perSecond !== this.#perSecond) {
			this.#perSecond = perSecond;
			this.#tokens = perSecond;
		}
	}

	/** Takes a token. Returns false if none is left. */
	tryTake(): boolean {
		const nowMs = this.#clock.nowMs();
		const addedTokens = (nowMs - this.#refilledAtMs) * this.#perSecond / msPerSecond;
		this.#tokens = Math.min(this.#perSecond, this.#tokens + addedTokens);
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
