/**
Decides how often the lease holder polls a busy worker and begins a round.

The load this answers: some hundred busy workers and a holder whose host has about one core. Each poll returns the run ends of its pause, so a worker with eight short tasks is polled a dozen times a second, and 350 workers take more processor time than the host has. Starts are then late although workers are free. The lateness of rounds shows this at once: a timer of a process with time to spare begins within a millisecond or two. While rounds are late, polls are spaced further apart, so that each one gathers more run ends. Where rounds are long themselves, they are spaced apart too, so that answers are read between them.
*/
import {maxPollPauseMs, pollPauseMs} from '../constants.js';

/** Interval of rounds, and its maximum. */
export const roundIntervalMs = 25;
const maxRoundIntervalMs = 60;

/** Rounds take at most this share of the time until the interval has reached its maximum. */
const maxRoundShare = 0.25;

/** Mean lateness of rounds up to which polls keep their shortest pause. */
const latenessBudgetMs = 3;

/** By how much the pause grows with each millisecond of mean lateness beyond the budget. */
const pausePerLatenessMs = 15;

/** Weight of the newest round in the means: they follow a change of load within about half a second. */
const newestWeight = 1 / 16;

/** A single round counts at most this much, so that one pause of the whole process is not taken for load. */
const maxSampleMs = 60;

export class HolderPacing {
	#meanLatenessMs = 0;
	#meanRoundMs = 0;

	/** Pause between two polls of a worker whose run ends can wait. */
	get pollPauseMs(): number {
		const excessMs = Math.max(0, this.#meanLatenessMs - latenessBudgetMs);
		return Math.min(maxPollPauseMs, pollPauseMs + (excessMs * pausePerLatenessMs));
	}

	/** Time from the end of one round to the begin of the next. */
	get roundIntervalMs(): number {
		const neededMs = this.#meanRoundMs * ((1 / maxRoundShare) - 1);
		return Math.min(maxRoundIntervalMs, Math.max(roundIntervalMs, neededMs));
	}

	/** Records how long a round took and how much later than planned it began. */
	recordRound(durationMs: number, latenessMs: number): void {
		this.#meanRoundMs += newestWeight * (Math.min(durationMs, maxSampleMs) - this.#meanRoundMs);
		this.#meanLatenessMs += newestWeight * (Math.min(latenessMs, maxSampleMs) - this.#meanLatenessMs);
	}

	/** Forgets the load, for use when the process stops scheduling. */
	reset(): void {
		this.#meanLatenessMs = 0;
		this.#meanRoundMs = 0;
	}
}
