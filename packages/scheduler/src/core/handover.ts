/**
What a lease holder leaves to the next one as it releases the lease: the workers on which a start that it ordered, or an earlier holder, may still be carried out. A start names its worker by an id, which a worker that is down may come back under. A new holder does not know which starts were answered, and would have to wait for each worker that is down and may return; the note tells which of them it need not wait for. All times in it are durations, since no two processes share a clock.
*/
import {maxCallDelayMs, maxListingDelayMs} from '../constants.js';
import {type HandoverNote} from './handover-note.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** More workers with open starts are not listed; the next holder then waits as it does without a note. */
const maxListedWorkers = 1000;

/** Applies what the last holder left. Without a note, or beside a replaced holder that may still order starts, any start may be under way. */
export const receiveNote = (state: SchedulerState, note: HandoverNote | undefined, nowMs: number): void => {
	const isUsed = note !== undefined && state.earlierHolder === undefined;
	state.unknownStartsUntilMs = isUsed ? nowMs + note.unknownForMs : state.earlierOrdersOverAtMs + maxCallDelayMs;
	state.inheritedStarts = new Map(note?.openStarts.map(({workerId, forMs}) => [workerId, nowMs + forMs]));
};

/** Returns until when the next holder cannot tell the worker from one that is gone: a start may be carried out on it, or it may have started again so recently that lists of machines do not name it yet. */
const uncertainUntilMs = ({runs, restartedAtMs}: WorkerRecord): number => Math.max(
	restartedAtMs === undefined ? 0 : restartedAtMs + maxListingDelayMs,
	...[...runs.values()].map(({mayArrive, listedIncarnation, orderedAtMs}) => {
		if (mayArrive) {
			return orderedAtMs + maxCallDelayMs;
		}

		// The worker has answered the start, and no report says since when it has been there.
		return listedIncarnation === undefined ? orderedAtMs + maxListingDelayMs : 0;
	}),
);

/** Names the workers on which a start of this term, or of an earlier one, may still be carried out. A start that was taken for prevented, since its worker had accepted a stop or its deadline had passed, counts as well, and so does one that was left to this holder: the next incarnation of the worker knows of none of that. Only time ends them. */
export const noteForNextHolder = (state: SchedulerState, nowMs: number): HandoverNote => {
	const own = [...state.workers.values()].map(worker => [worker.entry.workerId, uncertainUntilMs(worker)] as const);
	const untilMs = new Map<string, number>();
	for (const [workerId, atMs] of [...own, ...state.lateStarts(), ...state.inheritedStarts]) {
		if (atMs > nowMs) {
			untilMs.set(workerId, Math.max(atMs, untilMs.get(workerId) ?? 0));
		}
	}

	return untilMs.size > maxListedWorkers
		? {openStarts: [], unknownForMs: maxCallDelayMs}
		: {openStarts: [...untilMs].map(([workerId, atMs]) => ({workerId, forMs: atMs - nowMs})), unknownForMs: Math.max(0, state.unknownStartsUntilMs - nowMs)};
};

/** Returns true if the starts of earlier holders that may still be carried out are known. */
export const areEarlierStartsKnown = ({unknownStartsUntilMs}: SchedulerState, nowMs: number): boolean => nowMs >= unknownStartsUntilMs;

/** Returns true if a start of an earlier holder on the worker may still be carried out, as that one stated. */
export const hasInheritedStart = ({inheritedStarts}: SchedulerState, {entry}: WorkerRecord, nowMs: number): boolean =>
	(inheritedStarts.get(entry.workerId) ?? Number.NEGATIVE_INFINITY) > nowMs;

/** Returns true if no order of an earlier holder can start anything on the worker: lists of this term show that its last incarnation has ended, and the earlier holders had no open start on it, so that one that begins under its id later gets none. */
export const hasNoEarlierStarts = (state: SchedulerState, worker: WorkerRecord, nowMs: number): boolean =>
	state.areMachinesOfTerm && worker.isEnded && worker.missingSince !== undefined && worker.missingSince.sentAtMs >= state.term!.wonAtMs && areEarlierStartsKnown(state, nowMs) && !hasInheritedStart(state, worker, nowMs);
