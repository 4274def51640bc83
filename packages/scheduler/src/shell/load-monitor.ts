/**
Tells how busy the lease holder is: what its process spends of its processor, how late its rounds run, and how many tasks it starts for that. A holder that lacks processor time starts few tasks although workers are free, which its other lines do not show.
*/
import process from 'node:process';
import {type Clock, type Logger, type MetricsRegistry} from '@poplarnotch/common';

const reportIntervalMs = 1000;

/** Totals of the holder's work since its process started, and what waits at present. */
export type SchedulerWork = {
	readonly starts: number;
	readonly polls: number;
	readonly openJobs: number;
	/** Present pause between two polls of a busy worker. */
	readonly pollPauseMs: number;
	/** When the current term began; `undefined` without one. */
	readonly termBeganAtMs: number | undefined;
};

export type LoadMonitorOptions = {
	readonly work: () => SchedulerWork;
	/** Processor time that the process has used. */
	readonly cpuTimeMs?: () => number;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

const processCpuTimeMs = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
};

type Reading = {readonly atMs: number; readonly cpuMs: number; readonly starts: number; readonly polls: number};

export class LoadMonitor {
	readonly #options: LoadMonitorOptions;
	readonly #cpuTimeMs: () => number;
	#last: Reading | undefined;
	#rounds = 0;
	#roundMs = 0;
	#longestRoundMs = 0;
	#largestDelayMs = 0;

	constructor(options: LoadMonitorOptions) {
		this.#options = options;
		this.#cpuTimeMs = options.cpuTimeMs ?? processCpuTimeMs;
	}

	/** Records one round, how long it took, and how late it began because the process was busy. Logs the load once a second. */
	recordRound(durationMs: number, delayMs: number): void {
		this.#options.metrics.recordMs('scheduler_round_ms', durationMs);
		this.#options.metrics.recordMs('scheduler_round_delay_ms', delayMs);
		this.#rounds++;
		this.#roundMs += durationMs;
		this.#longestRoundMs = Math.max(this.#longestRoundMs, durationMs);
		this.#largestDelayMs = Math.max(this.#largestDelayMs, delayMs);
		const nowMs = this.#options.clock.nowMs();
		if (this.#last === undefined || nowMs - this.#last.atMs >= reportIntervalMs) {
			this.#report(nowMs);
		}
	}

	/** Forgets the last reading, for use when the process stops scheduling. */
	reset(): void {
		this.#last = undefined;
		this.#beginInterval();
	}

	#report(nowMs: number): void {
		const {
			starts, polls, openJobs, pollPauseMs, termBeganAtMs,
		} = this.#options.work();
		const last = this.#last;
		this.#last = {
			atMs: nowMs, cpuMs: this.#cpuTimeMs(), starts, polls,
		};
		if (last !== undefined) {
			this.#options.log.info({
				event: 'scheduler_load',
				overMs: Math.round(nowMs - last.atMs),
				termAgeMs: termBeganAtMs === undefined ? undefined : Math.round(nowMs - termBeganAtMs),
				cpuMs: Math.round(this.#last.cpuMs - last.cpuMs),
				rounds: this.#rounds,
				roundMs: Math.round(this.#roundMs),
				longestRoundMs: Math.round(this.#longestRoundMs),
				largestDelayMs: Math.round(this.#largestDelayMs),
				starts: starts - last.starts,
				polls: polls - last.polls,
				pollPauseMs: Math.round(pollPauseMs),
				openJobs,
			});
		}

		this.#beginInterval();
	}

	#beginInterval(): void {
		this.#rounds = 0;
		this.#roundMs = 0;
		this.#longestRoundMs = 0;
		this.#largestDelayMs = 0;
	}
}
