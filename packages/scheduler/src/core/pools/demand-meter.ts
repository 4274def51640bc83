/**
Measures the rate at which work arrives for each pool, so that a pool grows with the first jobs of a burst instead of waiting until tasks find no free capacity.
*/
import {type BurstChange, type DemandForecast} from './demand-forecast.js';

/** Demand is measured over this window. It is shorter than a burst, which lasts some seconds, and long enough to average out single large jobs. */
const windowMs = 2000;

/** A job's work that arrived for a pool. */
export type Arrival = {
	readonly pool: string;
	/** Sum over all tasks of requested CPU times estimated run time. */
	readonly millicoreMs: number;
	readonly atMs: number;
};

export class DemandMeter implements DemandForecast {
	readonly #arrivals = new Map<string, Arrival[]>();

	/** Nothing is expected, so nothing is off. */
	get errorPercent(): number {
		return 0;
	}

	advance(): readonly BurstChange[] {
		return [];
	}

	restart(): void {
		// What arrived before the term still counts.
	}

	isDemandKnown(): boolean {
		return true;
	}

	isInBurst(): boolean {
		return false;
	}

	isBurstEnding(): boolean {
		return false;
	}

	isBurstOver(): boolean {
		return false;
	}

	recordArrival(arrival: Arrival): void {
		const recent = (this.#arrivals.get(arrival.pool) ?? []).filter(({atMs}) => atMs > arrival.atMs - windowMs);
		this.#arrivals.set(arrival.pool, [...recent, arrival]);
	}

	/** Returns the CPU capacity that would process work at the current arrival rate. */
	demandMillicores(pool: string, nowMs: number): number {
		const recent = (this.#arrivals.get(pool) ?? []).filter(({atMs}) => atMs > nowMs - windowMs);
		const first = recent[0];
		if (first === undefined) {
			return 0;
		}

		// A burst that has just begun is averaged over the time since its first arrival, but over at least half the window.
		const overMs = Math.max(windowMs / 2, nowMs - first.atMs);
		return recent.reduce((sum, {millicoreMs}) => sum + millicoreMs, 0) / overMs;
	}
}
