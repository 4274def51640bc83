/**
Counts the requests that run concurrently on several backend servers. A sum of the servers' own counts, read one after the other, would combine values of different moments.
*/

/** Requests that run now, and the maximum of concurrent requests since the last reset. */
export type RunCount = {
	readonly running: number;
	readonly maxRunning: number;
};

/** Run counter that the backend servers of one process share. */
export class RunCounter {
	#running = 0;
	#maxRunning = 0;

	get count(): RunCount {
		return {running: this.#running, maxRunning: this.#maxRunning};
	}

	begin(): void {
		this.#running++;
		this.#maxRunning = Math.max(this.#maxRunning, this.#running);
	}

	end(): void {
		this.#running--;
	}

	/** Resets the maximum to the number of requests that run now. */
	reset(): void {
		this.#maxRunning = this.#running;
	}
}
