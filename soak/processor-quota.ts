/**
Processor quota of the daemons. A process that has used its share of a period is stopped until the next one. Time that is left over lapses; time used beyond the share is owed by the periods that follow, up to one share: more is used only while the soak itself stands still.

The used time is read from the kernel's statistics of each thread, which needs no privileges. A process that a trouble has stopped as well is not continued.
*/
import {Buffer} from 'node:buffer';
import {type ChildProcess} from 'node:child_process';
import {
	closeSync, openSync, readdirSync, readSync,
} from 'node:fs';

const periodMs = 100;
const lookIntervalMs = 4;
const nanosecondsPerMs = 1_000_000;

/** Returns the time that a process may use at the start of a period, after `periods` of them have passed. */
export const refill = (remainingMs: number, quotaMs: number, periods: number): number => Math.min(quotaMs, Math.max(-quotaMs, remainingMs) + (periods * quotaMs));

/** Returns the time that a thread has used by its line of `schedstat`: nanoseconds of running, of waiting, and number of time slices. */
export const usedMsOf = (schedstat: string): number => Number(schedstat.split(' ', 1)[0]) / nanosecondsPerMs;

type Thread = {
	readonly descriptor: number;
	usedMs: number;
};

/** What all processes under the quota have shown. */
type Figures = {
	periods: number;
	throttledPeriods: number;
	longestStopMs: number;
};

/** A process under the quota. */
export class ThrottledProcess {
	/** Set while a trouble stops the process. */
	isPaused = false;
	readonly #child: ChildProcess;
	readonly #quotaMs: number;
	readonly #figures: Figures;
	readonly #threads = new Map<string, Thread>();
	readonly #line = Buffer.alloc(64);
	#remainingMs: number;
	#periodEndsAtMs = performance.now() + periodMs;
	#stoppedAtMs: number | undefined;

	constructor(child: ChildProcess, quotaMs: number, figures: Figures) {
		this.#child = child;
		this.#quotaMs = quotaMs;
		this.#figures = figures;
		this.#remainingMs = quotaMs;
	}

	/** Whether the process is stopped until its next period. */
	get isStopped(): boolean {
		return this.#stoppedAtMs !== undefined;
	}

	/** Stops the process if its share is used up, and continues it at the next period. */
	look(nowMs: number): void {
		if (nowMs >= this.#periodEndsAtMs) {
			this.#openThreads();
		}

		this.#remainingMs -= this.#readUsedMs();
		if (nowMs >= this.#periodEndsAtMs) {
			this.#beginPeriod(nowMs);
		}

		if (this.#remainingMs <= 0 && this.#stoppedAtMs === undefined) {
			this.#stoppedAtMs = nowMs;
			this.#figures.throttledPeriods++;
			this.#signal('SIGSTOP');
		}
	}

	close(): void {
		for (const {descriptor} of this.#threads.values()) {
			closeSync(descriptor);
		}

		this.#threads.clear();
	}

	#beginPeriod(nowMs: number): void {
		const periods = 1 + Math.floor((nowMs - this.#periodEndsAtMs) / periodMs);
		this.#periodEndsAtMs += periods * periodMs;
		this.#figures.periods += periods;
		this.#remainingMs = refill(this.#remainingMs, this.#quotaMs, periods);
		if (this.#stoppedAtMs !== undefined && this.#remainingMs > 0) {
			this.#figures.longestStopMs = Math.max(this.#figures.longestStopMs, nowMs - this.#stoppedAtMs);
			this.#stoppedAtMs = undefined;
			this.#signal('SIGCONT');
		}
	}

	#signal(name: 'SIGSTOP' | 'SIGCONT'): void {
		if (!this.isPaused) {
			this.#child.kill(name);
		}
	}

	/** Opens the statistics of the threads that are new. */
	#openThreads(): void {
		const folder = `/proc/${this.#child.pid}/task`;
		try {
			for (const id of readdirSync(folder).filter(each => !this.#threads.has(each))) {
				this.#threads.set(id, {descriptor: openSync(`${folder}/${id}/schedstat`, 'r'), usedMs: 0});
			}
		} catch {
			// The process or the thread has ended.
		}
	}

	#readUsedMs(): number {
		let sumMs = 0;
		for (const [id, thread] of this.#threads) {
			try {
				const length = readSync(thread.descriptor, this.#line, 0, this.#line.length, 0);
				const usedMs = usedMsOf(this.#line.toString('latin1', 0, length));
				sumMs += usedMs - thread.usedMs;
				thread.usedMs = usedMs;
			} catch {
				// The thread has ended.
				closeSync(thread.descriptor);
				this.#threads.delete(id);
			}
		}

		return sumMs;
	}
}

export class ProcessorQuota {
	readonly #quotaMs: number;
	readonly #figures: Figures = {periods: 0, throttledPeriods: 0, longestStopMs: 0};
	readonly #processes = new Set<ThrottledProcess>();
	readonly #timer: NodeJS.Timeout;

	/** `share` is the share of a core that each process may use. */
	constructor(share: number) {
		this.#quotaMs = share * periodMs;
		this.#timer = setInterval(() => {
			const nowMs = performance.now();
			for (const each of this.#processes) {
				each.look(nowMs);
			}
		}, lookIntervalMs);
	}

	/** Throttles the process until it ends. */
	apply(child: ChildProcess): ThrottledProcess {
		const throttled = new ThrottledProcess(child, this.#quotaMs, this.#figures);
		this.#processes.add(throttled);
		child.once('exit', () => {
			this.#processes.delete(throttled);
			throttled.close();
		});
		return throttled;
	}

	describe(): string {
		const {periods, throttledPeriods, longestStopMs} = this.#figures;
		return `${throttledPeriods} of ${periods} periods of ${periodMs} ms in which a daemon had used its ${this.#quotaMs} ms, the longest stop of ${Math.round(longestStopMs)} ms`;
	}

	close(): void {
		clearInterval(this.#timer);
		for (const each of this.#processes) {
			each.close();
		}

		this.#processes.clear();
	}
}
