/**
Judges the starts of tasks that have ended `done`, as the platform's rules do: such a start violates a guarantee if the end is taken note of, before the start or later. An end is taken note of when it is acknowledged, or when a worker has listed it for some time with no disruption near. That a holder is stopped, or yields its lease, is no disruption, and neither is that the worker leaves as announced, or as ordered: what it has listed counts all the same.
*/

/** Time after its listing at which an end counts as taken note of. */
export const notedAfterMs = 100;

/** A disruption counts as near to a listing for this long. */
const disruptionNearMs = 1000;

/** How an end was taken note of. */
type Note = 'acknowledged' | 'listed';

export type NotedEnd = {
	readonly taskKey: string;
	readonly endedAtMs: number;
	readonly by: Note;
	/** Whether the worker's lease was over at some time between the end and the note. */
	readonly hasLapsed: boolean;
};

export class NotedEnds {
	readonly #recordViolation: (violation: string) => void;
	/** Keys of tasks whose successful end was taken note of, and how. */
	readonly #notes = new Map<string, Note>();
	readonly #lastStartAtMs = new Map<string, number>();
	#disruptedAtMs = Number.NEGATIVE_INFINITY;

	constructor(recordViolation: (violation: string) => void) {
		this.#recordViolation = recordViolation;
	}

	/** Records that something is disrupted at this time: a process is killed or stands still, or the store is away. */
	recordDisruption(nowMs: number): void {
		this.#disruptedAtMs = Math.max(this.#disruptedAtMs, nowMs);
	}

	/** Returns true if an end counts that was listed at the earlier time and that its worker has kept since, or has left with as announced. */
	isNotedByListing(listedAtMs: number, nowMs: number): boolean {
		return nowMs - listedAtMs >= notedAfterMs && this.isCalmSince(listedAtMs);
	}

	isCalmSince(listedAtMs: number): boolean {
		return this.#disruptedAtMs + disruptionNearMs < listedAtMs;
	}

	recordStart(taskKey: string, nowMs: number): void {
		this.#lastStartAtMs.set(taskKey, nowMs);
		const note = this.#notes.get(taskKey);
		if (note !== undefined) {
			this.#recordViolation(`single run: ${taskKey} has already finished, and its end was ${note}`);
		}
	}

	/** An end that is taken note of counts for the starts before that as well, unless the worker's lease was over meanwhile. */
	record({taskKey, endedAtMs, by, hasLapsed}: NotedEnd): void {
		if (hasLapsed && by === 'listed') {
			return;
		}

		if (!this.#notes.has(taskKey)) {
			this.#notes.set(taskKey, by);
		}

		if (!hasLapsed && (this.#lastStartAtMs.get(taskKey) ?? Number.NEGATIVE_INFINITY) > endedAtMs) {
			this.#recordViolation(`single run: ${taskKey} was started again before its end was ${by}`);
		}
	}
}
