/**
Collects the results of the demo's checks and formats each as a line.
*/

/** Counts passed and failed checks. The lines are kept until they are printed, so that the scenarios of several deployments can run concurrently without mixing their output. */
export class Checks {
	#passed = 0;
	#failed = 0;
	readonly #lines: string[] = [];

	get passed(): number {
		return this.#passed;
	}

	get failed(): number {
		return this.#failed;
	}

	/** Records the result of one check with the observed values. */
	record(name: string, isPassed: boolean, detail: string): void {
		if (isPassed) {
			this.#passed++;
		} else {
			this.#failed++;
		}

		this.#lines.push(`  ${isPassed ? 'ok    ' : 'FAILED'} ${name} (${detail})`);
	}

	/** The lines of all checks recorded so far. */
	get report(): string {
		return this.#lines.join('\n');
	}
}
