/**
Limits a gate's rate of writes, since all gates share the write capacity of the table service.
*/

const millisecondsPerSecond = 1000;

/** A token bucket: tokens are refilled at a fixed rate, up to the burst size. */
export class WriteRateLimiter {
	readonly #perSecond: number;
	readonly #burst: number;
	#tokens: number;
	#refilledAtMs = Number.NEGATIVE_INFINITY;

	constructor(perSecond: number, burst: number) {
		this.#perSecond = perSecond;
		this.#burst = burst;
		this.#tokens = burst;
	}

	/** Takes a token and returns 0, or returns the time in ms until the next token is available. */
	take(nowMs: number): number {
		const refilled = Math.max(nowMs - this.#refilledAtMs, 0) * this.#perSecond / millisecondsPerSecond;
		this.#tokens = Math.min(this.#tokens + refilled, this.#burst);
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return Math.ceil((1 - this.#tokens) * millisecondsPerSecond / this.#perSecond);
		}

		this.#tokens -= 1;
		return 0;
	}
}
