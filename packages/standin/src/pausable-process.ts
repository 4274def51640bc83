/**
Simulates a process that can be paused, as by a stopped virtual machine or a long garbage collection. While it is paused, its timers do not fire and its calls are neither sent nor completed, but its clock advances.
*/
import {type CancelTimer, type Clock} from '@poplarnotch/common';
import {type TableService} from '@poplarnotch/platform';

/** Provides the clock and the table service of a process that may be paused. */
export class PausableProcess implements Clock {
	readonly #clock: Clock;
	#isPaused = false;
	#deferredCallbacks: Array<() => void> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get isPaused(): boolean {
		return this.#isPaused;
	}

	nowMs(): number {
		return this.#clock.nowMs();
	}

	wallTimeMs(): number {
		return this.#clock.wallTimeMs();
	}

	schedule(delayMs: number, callback: () => void): CancelTimer {
		let isCancelled = false;
		const cancel = this.#clock.schedule(delayMs, () => {
			this.#runOrDefer(() => {
				if (!isCancelled) {
					callback();
				}
			});
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	/** Pauses the process for the given time. */
	pause(durationMs: number): void {
		this.#isPaused = true;
		this.#clock.schedule(durationMs, () => {
			this.#isPaused = false;
			const callbacks = this.#deferredCallbacks;
			this.#deferredCallbacks = [];
			for (const resume of callbacks) {
				resume();
			}
		});
	}

	/** Wraps a table service so that its calls are deferred while the process is paused. */
	wrapTable(table: TableService): TableService {
		return {
			commit: async transaction => this.#call(async () => table.commit(transaction)),
			readRows: async keys => this.#call(async () => table.readRows(keys)),
			readPrefix: async (prefix, options) => this.#call(async () => table.readPrefix(prefix, options)),
			changesSince: async (prefix, revision, limit) => this.#call(async () => table.changesSince(prefix, revision, limit)),
		};
	}

	async #call<Result>(perform: () => Promise<Result>): Promise<Result> {
		await this.#waitUntilRunning();
		try {
			return await perform();
		} finally {
			await this.#waitUntilRunning();
		}
	}

	async #waitUntilRunning(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#runOrDefer(resolve);
		});
	}

	#runOrDefer(callback: () => void): void {
		if (this.#isPaused) {
			this.#deferredCallbacks.push(callback);
		} else {
			callback();
		}
	}
}
