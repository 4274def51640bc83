/**
Notes of a hand-over, as tests write and read them.
*/
import {noteForNextHolder} from '../../src/core/handover.js';
import {type HandoverNote} from '../../src/core/handover-note.js';
import {type SchedulerState} from '../../src/index.js';

/** For how long a start without an answer may still be carried out. */
const maxCallDelayMs = 15_000;

/** A note that names all workers on which a start may still be carried out. */
export const noteNaming = (...workerIds: readonly string[]): HandoverNote => ({
	openStarts: Object.fromEntries(workerIds.map(workerId => [workerId, maxCallDelayMs])), unknownForMs: 0, unlistedForMs: 0,
});

/** Wall clock at the time 0 of the monotonic clock. */
const wallOffsetMs = 1_000_000;

/** Returns the note that the holder would leave now. */
export const noteAt = (state: SchedulerState, nowMs: number): HandoverNote => noteForNextHolder(state, {nowMs, wallMs: wallOffsetMs + nowMs});

/** Returns the workers that the holder would name now; `undefined` if it does not know all. */
export const listOpenStarts = (state: SchedulerState, nowMs: number): readonly string[] | undefined => {
	const {openStarts, unknownForMs} = noteAt(state, nowMs);
	return unknownForMs > 0 ? undefined : Object.keys(openStarts);
};
