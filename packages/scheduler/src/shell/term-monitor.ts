/**
Logs what a term begins with, and how long the process stood still in it. A holder that stands still reads and stores nothing and may be replaced meanwhile; afterwards only this shows it.
*/
import {type Clock, type Logger} from '@poplarnotch/common';

/** A round that begins later than planned by this much counts as a standstill. A busy holder is late by less. */
const standstillMs = 100;

/** A term as it is seen in a round. */
export type ObservedTerm = {
	readonly fencingToken: number;
	readonly wonAtMs: number;
	/** Workers that the last holder has named for an open start, and for how long there may be others. */
	readonly openStarts: number;
	readonly unknownStartsUntilMs: number;
	readonly openJobs: number;
	/** The holder before may be alive: it was replaced on suspicion, or its lease ran out, without a word of it. */
	readonly isEarlierHolderLost: boolean;
};

export type TermMonitorOptions = {
	readonly term: () => ObservedTerm | undefined;
	readonly clock: Clock;
	readonly log: Logger;
};

export class TermMonitor {
	readonly #options: TermMonitorOptions;
	#fencingToken: number | undefined;
	#endedAtMs: number | undefined;
	#longestMs = 0;
	#standstillCount = 0;
	#standstillMs = 0;

	constructor(options: TermMonitorOptions) {
		this.#options = options;
	}

	/** Records by how much a round was late, and logs the begin or the end of a term. */
	recordRound(latenessMs: number): void {
		const term = this.#options.term();
		if (this.#fencingToken !== undefined) {
			this.#longestMs = Math.max(this.#longestMs, latenessMs);
			if (latenessMs >= standstillMs) {
				this.#standstillCount++;
				this.#standstillMs += latenessMs;
			}
		}

		if (term?.fencingToken !== this.#fencingToken) {
			this.#logStandstills();
			this.#begin(term);
		}
	}

	#begin(term: ObservedTerm | undefined): void {
		const nowMs = this.#options.clock.nowMs();
		this.#fencingToken = term?.fencingToken;
		this.#longestMs = 0;
		this.#standstillCount = 0;
		this.#standstillMs = 0;
		if (term !== undefined) {
			const {fencingToken, wonAtMs, openStarts, unknownStartsUntilMs, openJobs, isEarlierHolderLost} = term;
			this.#options.log.info({
				event: 'term_began', fencingToken, sinceEarlierTermMs: this.#endedAtMs === undefined ? undefined : Math.round(wonAtMs - this.#endedAtMs), openStarts, unknownForMs: Math.max(0, Math.round(unknownStartsUntilMs - nowMs)), openJobs, earlierHolder: isEarlierHolderLost ? 'lost' : 'stopped-or-none',
			});
		}
	}

	#logStandstills(): void {
		if (this.#fencingToken !== undefined) {
			this.#endedAtMs = this.#options.clock.nowMs();
			this.#options.log.info({
				event: 'term_standstills', fencingToken: this.#fencingToken, longestMs: Math.round(this.#longestMs), count: this.#standstillCount, totalMs: Math.round(this.#standstillMs),
			});
		}
	}
}
