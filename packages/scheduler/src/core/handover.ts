/**
What a lease holder leaves to the next one as it releases the lease: the workers on which a start that it ordered, or an earlier holder, may still be carried out. A start names its worker by an id, which a worker that is down may come back under. A new holder does not know which starts were answered, and would have to wait for each worker that is down and may return; the note tells which of them it need not wait for.
*/
import {maxCallDelayMs} from '../constants.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** More workers with open starts are not listed; the next holder then waits as it does without a note. */
const maxListedWorkers = 1000;

/** Returns the workers on which a start of earlier holders may still be carried out, as far as this holder knows; `undefined` if it does not. That a worker has answered, or that the takeover is settled, says nothing about the worker's next incarnation; only time does. */
const earlierStarts = ({term, inheritedStarts}: SchedulerState, nowMs: number): readonly string[] | undefined =>
	nowMs >= term!.wonAtMs + maxCallDelayMs ? [] : inheritedStarts && [...inheritedStarts];

/** Returns the ids of the workers on which a start of this term, or of an earlier one, may still be carried out; `undefined` if that is not known. A start that was taken for prevented, since its worker had accepted a stop or its deadline had passed, counts as well: the next incarnation of the worker knows of neither. */
export const listOpenStarts = (state: SchedulerState, nowMs: number): readonly string[] | undefined => {
	const earlier = state.term && earlierStarts(state, nowMs);
	if (earlier === undefined) {
		return undefined;
	}

	const isOpen = ({runs}: WorkerRecord): boolean => [...runs.values()].some(({mayArrive}) => mayArrive);
	const own = [...state.workers.values()].filter(worker => isOpen(worker)).map(({entry}) => entry.workerId);
	const open = new Set([...own, ...state.lateStarts(nowMs), ...earlier]);
	return open.size > maxListedWorkers ? undefined : [...open];
};

/** Returns true if no order of an earlier holder can start anything on the worker: lists of this term show that its last incarnation has ended, and the earlier holders had no open start on it, so that one that begins under its id later gets none. */
export const hasNoEarlierStarts = ({term, inheritedStarts, areMachinesOfTerm}: SchedulerState, {entry, isEnded, missingSince}: WorkerRecord): boolean =>
	areMachinesOfTerm && isEnded && missingSince !== undefined && missingSince.sentAtMs >= term!.wonAtMs && inheritedStarts?.has(entry.workerId) === false;
