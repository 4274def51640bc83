/**
Clocks and timers. Reducers are pure and receive the time in their events; the shells, which perform I/O, take a `Clock`, so that tests can run on virtual time.
*/
import {performance} from 'node:perf_hooks';

/** Cancels a scheduled callback; has no effect after it has run. */
export type CancelTimer = () => void;

/** Reads time and schedules callbacks. */
export interface Clock {
	/** Returns the milliseconds of a monotonic clock, for durations and deadlines. */
	nowMs(): number;
	/** Returns the milliseconds since the Unix epoch, for records that people read. */
	wallTimeMs(): number;
	/** Calls `callback` once after `delayMs`. */
	schedule(delayMs: number, callback: () => void): CancelTimer;
}

/** The operating system's clock. */
export class SystemClock implements Clock {
	nowMs(): number {
		return performance.now();
	}

	wallTimeMs(): number {
		return Date.now();
	}

	schedule(delayMs: number, callback: () => void): CancelTimer {
		const timer = setTimeout(callback, delayMs);
		return () => {
			clearTimeout(timer);
		};
	}
}

type ScheduledCallback = {
	readonly dueMs: number;
	readonly order: number;
	readonly callback: () => void;
};

/** A clock for tests that advances only when `advance` is called. Callbacks run in order of due time, then in order of scheduling. */
export class VirtualClock implements Clock {
	#nowMs = 0;
	#order = 0;
	#scheduled: ScheduledCallback[] = [];

	nowMs(): number {
		return this.#nowMs;
	}

	wallTimeMs(): number {
		return this.#nowMs;
	}

	schedule(delayMs: number, callback: () => void): CancelTimer {
		const entry: ScheduledCallback = {dueMs: this.#nowMs + delayMs, order: this.#order++, callback};
		this.#scheduled.push(entry);
		return () => {
			this.#scheduled = this.#scheduled.filter(other => other !== entry);
		};
	}

	/** Advances the time and runs the callbacks that become due. */
	advance(byMs: number): void {
		const targetMs = this.#nowMs + byMs;
		for (let next = this.#takeNextDue(targetMs); next !== undefined; next = this.#takeNextDue(targetMs)) {
			this.#nowMs = next.dueMs;
			next.callback();
		}

		this.#nowMs = targetMs;
	}

	#takeNextDue(targetMs: number): ScheduledCallback | undefined {
		const due = this.#scheduled
			.filter(entry => entry.dueMs <= targetMs)
			.toSorted((a, b) => a.dueMs - b.dueMs || a.order - b.order);
		const next = due[0];
		if (next !== undefined) {
			this.#scheduled = this.#scheduled.filter(entry => entry !== next);
		}

		return next;
	}
}
