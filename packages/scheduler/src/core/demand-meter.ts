/**
Measures what arrives for each pool, so that a pool grows with the first jobs of a rush and does not wait until tasks find no room.
*/

/** Work that arrived within this time makes up the demand: short against a rush, which lasts some seconds, and long enough to even out single large jobs. */
const windowMs = 2000;

/** Work that arrives for a pool. */
export type Arrival = {
	readonly pool: string;
	/** Processor need times run time of all its tasks. */
	readonly millicoreMs: number;
	readonly atMs: number;
};

export class DemandMeter {
	readonly #arrivals = new Map<string, Arrival[]>();

	noteArrival(arrival: Arrival): void {
		const recent = (this.#arrivals.get(arrival.pool) ?? []).filter(({atMs}) => atMs > arrival.atMs - windowMs);
		this.#arrivals.set(arrival.pool, [...recent, arrival]);
	}

	/** Processor need that would serve what arrives at present as fast as it arrives. */
	arrivingMillicores(pool: string, nowMs: number): number {
		const recent = (this.#arrivals.get(pool) ?? []).filter(({atMs}) => atMs > nowMs - windowMs);
		const first = recent[0];
		if (first === undefined) {
			return 0;
		}

		// What has only just begun is measured by what has come so far, over half the window at least.
		const overMs = Math.max(windowMs / 2, nowMs - first.atMs);
		return recent.reduce((sum, {millicoreMs}) => sum + millicoreMs, 0) / overMs;
	}
}
