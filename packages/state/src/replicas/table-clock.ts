/**
The table service's steady clock, as far as this process knows it from the readings that answers carry. Processes have no clock in common, so this is how one of them knows the age of what another one has stored.

An answer is made after its call was sent and before it arrives. So the time since it arrived is the least, and the time since the call was sent the most, that has passed since its reading. Of all readings, those with the tightest bounds are kept. The bounds widen slowly, since the rates of two steady clocks differ. A reading that contradicts them replaces both: one of the clocks has started anew.
*/
import {type Clock} from '@poplarnotch/common';

/** Two steady clocks differ in their rate by less than this. */
const maxDriftRate = 0.001;

/** Readings are whole milliseconds. */
const resolutionMs = 1;

/** A reading, and the time on this process's clock that it is counted from. */
type Bound = {
	readonly tableMs: number;
	readonly atMs: number;
};

export type TableClockReading = {
	/** The table service's clock when it answered; `undefined` if the answer does not tell. */
	readonly tableClockMs: number | undefined;
	/** When the call was sent, on this process's clock. */
	readonly sentAtMs: number;
};

const earliestAt = ({tableMs, atMs}: Bound, momentMs: number): number => {
	const elapsedMs = momentMs - atMs;
	return tableMs + elapsedMs - (Math.abs(elapsedMs) * maxDriftRate);
};

const latestAt = ({tableMs, atMs}: Bound, momentMs: number): number => {
	const elapsedMs = momentMs - atMs;
	return tableMs + resolutionMs + elapsedMs + (Math.abs(elapsedMs) * maxDriftRate);
};

export class TableClock {
	readonly #clock: Clock;
	#earliest: Bound | undefined;
	#latest: Bound | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records the reading of an answer that has just arrived. */
	record({tableClockMs: tableMs, sentAtMs}: TableClockReading): void {
		if (tableMs === undefined) {
			return;
		}

		const nowMs = this.#clock.nowMs();
		const earliest: Bound = {tableMs, atMs: nowMs};
		const latest: Bound = {tableMs, atMs: sentAtMs};
		const isContradicted = this.#earliest === undefined || this.#latest === undefined
			|| earliestAt(earliest, nowMs) > latestAt(this.#latest, nowMs)
			|| latestAt(latest, nowMs) < earliestAt(this.#earliest, nowMs);
		if (isContradicted || earliestAt(earliest, nowMs) >= earliestAt(this.#earliest!, nowMs)) {
			this.#earliest = earliest;
		}

		if (isContradicted || latestAt(latest, nowMs) <= latestAt(this.#latest!, nowMs)) {
			this.#latest = latest;
		}
	}

	/** The least that the table service's clock can have shown at a time of this process's clock, in ms; `undefined` before the first reading. */
	earliestMs(atMs: number): number | undefined {
		return this.#earliest === undefined ? undefined : earliestAt(this.#earliest, atMs);
	}

	/** The most that the table service's clock can show now, in ms; `undefined` before the first reading. */
	get latestNowMs(): number | undefined {
		return this.#latest === undefined ? undefined : latestAt(this.#latest, this.#clock.nowMs());
	}
}
