/**
Calls that wait until something happens or their time is over.
*/
export class WakeUp {
	readonly #waiting = new Set<() => void>();

	/** Wakes all that wait. */
	notify(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async wait(timeoutMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, timeoutMs);
			this.#waiting.add(wake);
		});
	}
}
