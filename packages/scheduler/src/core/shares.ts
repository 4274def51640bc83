/**
Measures who hands in more than its share. A customer's weight is its share of what arrives, against the weights of all; what comes beyond twice that share is done after everybody else's work where a pool is full, and as any other where it is not.
*/

/** Arrivals of this time are weighed against each other: long against a single burst of a user's jobs, short against the seconds for which a customer floods a queue. */
const windowMs = 4000;

/** Customers do not divide their work by their weights; only a clear excess counts. */
const toleratedExcess = 2;

/** With fewer jobs than this in the window nobody has an excess. */
const leastJobs = 10;

export type CustomerShare = {
	readonly customer: string;
	/** Its weight as a part of the weights of all customers, 0 to 1. */
	readonly share: number;
};

export class ShareMeter {
	/** When jobs within their customer's share arrived. */
	readonly #arrivals = new Map<string, number[]>();

	/** Notes a job; tells whether it is within its customer's share. */
	takeJob({customer, share}: CustomerShare, atMs: number): boolean {
		let total = 0;
		for (const [name, times] of this.#arrivals) {
			const recent = times.filter(time => time > atMs - windowMs);
			this.#arrivals.set(name, recent);
			total += recent.length;
		}

		const own = this.#arrivals.get(customer) ?? [];
		const isWithin = own.length < toleratedExcess * share * Math.max(leastJobs, total + 1);
		if (isWithin) {
			this.#arrivals.set(customer, [...own, atMs]);
		}

		return isWithin;
	}
}
