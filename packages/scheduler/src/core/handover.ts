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

/** For this long after a worker has started again under its id, the next holder may take it for its earlier incarnation, since lists of machines may lack the present one. It covers the delay of a list and that of this process's learning of the restart. */
const restartKnownAfterMs = 6000;

/** Returns true if the worker has a start that may still be carried out, or if an incarnation that lists of machines may lack runs a task of this term: one that the worker has begun without having listed it may be that of a restart that nobody has noticed yet. */
const mayRunUnseen = ({runs, restartedAtMs}: WorkerRecord, nowMs: number): boolean =>
	(restartedAtMs !== undefined && nowMs - restartedAtMs < restartKnownAfterMs)
	|| [...runs.values()].some(({mayArrive, listedIncarnation}) => mayArrive || listedIncarnation === undefined);

/** Returns the ids of the workers on which a start of this term, or of an earlier one, may still be carried out, or has been by an incarnation that lists of machines may lack; `undefined` if that is not known. A start that was taken for prevented, since its worker had accepted a stop or its deadline had passed, counts as well: the next incarnation of the worker knows of neither. */
export const listOpenStarts = (state: SchedulerState, nowMs: number): readonly string[] | undefined => {
	const earlier = state.term && earlierStarts(state, nowMs);
	if (earlier === undefined) {
		return undefined;
	}

	const own = [...state.workers.values()].filter(worker => mayRunUnseen(worker, nowMs)).map(({entry}) => entry.workerId);
	const open = new Set([...own, ...state.lateStarts(nowMs), ...earlier]);
	return open.size > maxListedWorkers ? undefined : [...open];
};

/** Returns true if no order of an earlier holder can start anything on the worker: lists of this term show that its last incarnation has ended, and the earlier holders had no open start on it, so that one that begins under its id later gets none. */
export const hasNoEarlierStarts = ({term, inheritedStarts, areMachinesOfTerm}: SchedulerState, {entry, isEnded, missingSince}: WorkerRecord): boolean =>
	areMachinesOfTerm && isEnded && missingSince !== undefined && missingSince.sentAtMs >= term!.wonAtMs && inheritedStarts?.has(entry.workerId) === false;
