/**
Measures who hands in more than its share. A customer's weight is the number of jobs a second that it may count on; what comes beyond is done after everybody else's work where a pool is full, and as any other where it is not.
*/

/** Jobs that a customer may hand in at once are those of this time: users act in bursts, and a rush by turns lasts longer. */
const burstS = 2;

const msPerSecond = 1000;

type Allowance = {
	readonly jobs: number;
	readonly atMs: number;
};

export class ShareMeter {
	readonly #allowances = new Map<string, Allowance>();

	/** Notes a job that a customer with this weight handed in; tells whether it is within the share. */
	takeJob(customer: string, weight: number, nowMs: number): boolean {
		const most = Math.max(1, weight * burstS);
		const last = this.#allowances.get(customer) ?? {jobs: most, atMs: nowMs};
		const jobs = Math.min(most, last.jobs + (weight * Math.max(0, nowMs - last.atMs) / msPerSecond));
		const isWithin = jobs >= 1;
		this.#allowances.set(customer, {jobs: isWithin ? jobs - 1 : jobs, atMs: Math.max(nowMs, last.atMs)});
		return isWithin;
	}
}
