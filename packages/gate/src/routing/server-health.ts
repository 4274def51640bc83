/**
Outlier ejection of one backend server: records its outcomes, ends an ejection after successful probes and renews it after a failed one. `server-table.ts` decides on the first ejection, which depends on the other servers of the pool, and limits how many servers are ejected together.
*/
import {
	ejectAfterFailures, minEjectionMs, maxEjectionMs, minOutcomesForRate, outcomeAverageWeight, probeSuccesses,
} from '../constants.js';

/** Health of a backend server: in use, ejected, or tried again with single requests. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

/** Health of one backend server as observed by this gate. It mutates private state that only the reducer owns. */
export class ServerHealth {
	#state: HealthState = 'healthy';
	#consecutiveFailures = 0;
	#outcomes = 0;
	#successRate = 1;
	#ejections = 0;
	#ejectedUntilMs = 0;
	#probeSuccesses = 0;

	get state(): HealthState {
		return this.#state;
	}

	get successRate(): number {
		return this.#successRate;
	}

	/** True if enough outcomes were recorded for the success rate to be significant. */
	get hasSuccessRate(): boolean {
		return this.#outcomes >= minOutcomesForRate;
	}

	get consecutiveFailures(): number {
		return this.#consecutiveFailures;
	}

	/** True if enough consecutive requests have failed that the server may be ejected. */
	get isFailingRepeatedly(): boolean {
		return this.#consecutiveFailures >= ejectAfterFailures;
	}

	/** Records one outcome. Returns true if it completes a successful probing. */
	record(isSuccess: boolean, nowMs: number): boolean {
		this.#outcomes++;
		this.#consecutiveFailures = isSuccess ? 0 : this.#consecutiveFailures + 1;
		this.#successRate += ((isSuccess ? 1 : 0) - this.#successRate) * outcomeAverageWeight;
		return this.#state === 'probing' && this.#recordProbe(isSuccess, nowMs);
	}

	/** Ejects the server. Each further ejection is twice as long, up to a maximum. */
	eject(nowMs: number): void {
		const ejectionMs = Math.min(minEjectionMs * (2 ** this.#ejections), maxEjectionMs);
		this.#state = 'ejected';
		this.#ejections++;
		this.#ejectedUntilMs = nowMs + ejectionMs;
	}

	/** Starts probing after the ejection time. Returns true if probing starts now. */
	startProbing(nowMs: number): boolean {
		if (this.#state !== 'ejected' || nowMs < this.#ejectedUntilMs) {
			return false;
		}

		this.#state = 'probing';
		this.#probeSuccesses = 0;
		return true;
	}

	#recordProbe(isSuccess: boolean, nowMs: number): boolean {
		if (!isSuccess) {
			this.eject(nowMs);
			return false;
		}

		this.#probeSuccesses++;
		if (this.#probeSuccesses < probeSuccesses) {
			return false;
		}

		this.#state = 'healthy';
		this.#outcomes = 0;
		this.#successRate = 1;
		this.#ejections = 0;
		return true;
	}
}
