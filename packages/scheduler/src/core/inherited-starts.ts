/**
What a lease holder knows of the starts of earlier holders, by the note that the last one has left.
*/
import {maxCallDelayMs} from '../constants.js';
import {type HandoverNote} from './handover-note.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Applies what the last holder left. Without a note, or beside a replaced holder that may still order starts, any start may be under way. */
export const receiveNote = (state: SchedulerState, note: HandoverNote | undefined, nowMs: number): void => {
	const isUsed = note !== undefined && state.earlierHolder === undefined;
	state.unknownStartsUntilMs = isUsed ? nowMs + note.unknownForMs : state.earlierOrdersOverAtMs + maxCallDelayMs;
	state.unlistedUntilMs = nowMs + (note?.unlistedForMs ?? 0);
	state.inheritedBounds = new Map(Object.entries(isUsed ? note.runsForMs ?? {} : {}).map(([workerId, forMs]) => [workerId, nowMs + forMs]));
	state.inheritedOthersUntilMs = isUsed && note.othersRunForMs !== undefined ? nowMs + note.othersRunForMs : Number.NEGATIVE_INFINITY;
	state.inheritedStarts = new Map(Object.entries(note?.openStarts ?? {}).map(([workerId, forMs]) => [workerId, nowMs + forMs]));
};

/** Returns true if the starts of earlier holders that may still be carried out are known. */
export const areEarlierStartsKnown = ({unknownStartsUntilMs}: SchedulerState, nowMs: number): boolean => nowMs >= unknownStartsUntilMs;

/** Returns true if the earlier holder stated a start on the worker that may be carried out after this time. */
export const hasInheritedStart = ({inheritedStarts}: SchedulerState, workerId: string, afterMs: number): boolean =>
	(inheritedStarts.get(workerId) ?? Number.NEGATIVE_INFINITY) > afterMs;

/** Returns true if no order of an earlier holder can start anything on the worker: lists of this term show that its last incarnation has ended, and the earlier holders had no open start on it, so that one that begins under its id later gets none. The list must have been asked for after all such starts, since an earlier one may lack an incarnation that has carried one out. */
export const hasNoEarlierStarts = (state: SchedulerState, worker: WorkerRecord): boolean => {
	const {isEnded, missingSince} = worker;
	return state.areMachinesOfTerm && isEnded && missingSince !== undefined
		&& missingSince.sentAtMs >= Math.max(state.term!.wonAtMs, state.unlistedUntilMs)
		&& areEarlierStartsKnown(state, missingSince.sentAtMs)
		&& !hasInheritedStart(state, worker.entry.workerId, missingSince.sentAtMs);
};

const areAllStartsNamed = (state: SchedulerState): boolean => {
	const {wonAtMs} = state.term!;
	return areEarlierStartsKnown(state, wonAtMs) && state.unlistedUntilMs <= wonAtMs;
};

/** Returns true if, as the last holder has stated, each of its starts on the worker was answered and listed. A lease of another incarnation than the one that has listed it is stated as a bound. */
export const areStartsAccountedFor = (state: SchedulerState, workerId: string): boolean => areAllStartsNamed(state) && !hasInheritedStart(state, workerId, state.term!.wonAtMs);

/** Returns true if that holds for each worker. */
export const areAllStartsAccountedFor = (state: SchedulerState): boolean =>
	areAllStartsNamed(state) && [...state.inheritedStarts.keys()].every(workerId => !hasInheritedStart(state, workerId, state.term!.wonAtMs));
