/**
A token bucket that successes fill and retries empty: the number of retries stays a fixed fraction of successes, so that an outage does not multiply the load.
*/
import {maxRetryTokens, retryTokensPerSuccess} from '../constants.js';

/** The retry budget of one pool. It mutates private state that only the reducer owns. */
export class RetryBudget {
	#tokens = maxRetryTokens;

	get tokens(): number {
		return this.#tokens;
	}

	/** Adds a fraction of a retry to the budget. */
	recordSuccess(): void {
		this.#tokens = Math.min(this.#tokens + retryTokensPerSuccess, maxRetryTokens);
	}

	/** Spends one retry. Returns false if the budget is exhausted. */
	trySpend(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
