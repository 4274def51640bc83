/**
Detects customers that submit more than their share. A customer's share of the arriving jobs is its weight relative to the weights of all customers. Jobs beyond twice that share run after everybody else's jobs while a pool is full, and in the normal order otherwise.
*/

/** Shares are measured over this window. It is longer than a single burst of a user's jobs and shorter than the seconds for which a customer floods a queue. */
const windowMs = 4000;

/** Multiple of its share that a customer may submit: arrivals rarely match the weights exactly, so only a clear excess counts. */
const toleratedShareFactor = 2;

/** Shares are taken of at least this number of jobs, so that the first jobs in an empty window are not an excess. */
const minWindowJobs = 10;

export type CustomerShare = {
	readonly customer: string;
	/** The customer's weight divided by the sum of all weights, 0 to 1. */
	readonly share: number;
};

export class ShareMeter {
	/** Arrival times of jobs within the share, by customer. */
	readonly #arrivals = new Map<string, number[]>();

	/** Records a job and returns whether it is within its customer's share. */
	recordJob({customer, share}: CustomerShare, atMs: number): boolean {
		let total = 0;
		for (const [name, times] of this.#arrivals) {
			const recent = times.filter(time => time > atMs - windowMs);
			this.#arrivals.set(name, recent);
			total += recent.length;
		}

		const own = this.#arrivals.get(customer) ?? [];
		const isWithin = own.length < toleratedShareFactor * share * Math.max(minWindowJobs, total + 1);
		if (isWithin) {
			this.#arrivals.set(customer, [...own, atMs]);
		}

		return isWithin;
	}
}
