/**
What a lease holder leaves to the next one as it releases the lease: the workers on which a start that it ordered, or an earlier holder, may still be carried out, and for how long. A start names its worker by an id, which a worker that is down may come back under. A new holder does not know which starts were answered, and would have to wait for each worker that is down and may return; the note tells which of them it need not wait for.
*/
import {maxCallDelayMs} from '../constants.js';
import {type Handover} from './events.js';
import {maxListingDelayMs} from './machines.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** More workers with open starts are not listed; the next holder then waits as it does without a note. */
const maxListedWorkers = 1000;

/** An incarnation of a worker is registered and named in lists of machines within this time. */
const maxUnlistedMs = 2 * maxListingDelayMs;

/** Takes what the last holder left. It is not used while a replaced holder may go on ordering. */
export const receiveHandover = (state: SchedulerState, handover: Handover | undefined, nowMs: number): void => {
	const received = state.earlierHolder === undefined ? handover : undefined;
	state.inheritedStartsUntilMs = new Map(Object.entries(received?.openStarts ?? {}).map(([workerId, forMs]) => [workerId, nowMs + forMs]));
	state.receivedUnknownStartsUntilMs = received && nowMs + received.unknownStartsForMs;
};

/** Returns until when a start of an earlier holder may be carried out on any worker. Without a note, that is so for as long as a call may be under way. */
const unknownStartsUntilMs = ({receivedUnknownStartsUntilMs, earlierOrdersOverAtMs}: SchedulerState): number =>
	receivedUnknownStartsUntilMs ?? earlierOrdersOverAtMs + maxCallDelayMs;

/** Returns until when a start of this term may be carried out on the worker, or may have been by an incarnation that lists of machines lack. A run that was begun and is not listed may be that of an incarnation that nobody has noticed yet. */
const openUntilMs = ({runs, restartedAtMs}: WorkerRecord): number => Math.max(
	restartedAtMs === undefined ? 0 : restartedAtMs + maxUnlistedMs,
	...[...runs.values()].map(({mayArrive, orderedAtMs, startedAtMs = orderedAtMs, listedIncarnation}) => {
		if (mayArrive) {
			return orderedAtMs + maxCallDelayMs;
		}

		return listedIncarnation === undefined ? startedAtMs + maxUnlistedMs : 0;
	}),
);

/** Returns what the holder leaves to the next one; `undefined` if that is too much. A start that was taken for prevented, since its worker had accepted a stop or its deadline had passed, counts as open, and so does one that was left to this holder though its worker has answered since: the next incarnation of the worker knows of neither. */
export const handoverOf = (state: SchedulerState, nowMs: number): Handover | undefined => {
	const own = [...state.workers.values()].map(worker => [worker.entry.workerId, openUntilMs(worker)] as const);
	const untilMs = new Map<string, number>();
	for (const [workerId, openMs] of [...own, ...state.lateStartsUntilMs, ...state.inheritedStartsUntilMs]) {
		if (openMs > nowMs) {
			untilMs.set(workerId, Math.max(openMs, untilMs.get(workerId) ?? 0));
		}
	}

	return untilMs.size > maxListedWorkers
		? undefined
		: {
			openStarts: Object.fromEntries([...untilMs].map(([workerId, openMs]) => [workerId, Math.ceil(openMs - nowMs)])),
			unknownStartsForMs: Math.ceil(Math.max(0, unknownStartsUntilMs(state) - nowMs)),
		};
};

/** Returns true if no order of an earlier holder can start anything on the worker: lists of this term show that its last incarnation has ended, and none of them had an open start on it as the last list was asked for, so that one that begins under its id later gets none. */
export const hasNoEarlierStarts = (state: SchedulerState, {entry, isEnded, missingSince}: WorkerRecord): boolean =>
	state.areMachinesOfTerm && isEnded && missingSince !== undefined
	&& missingSince.sentAtMs >= Math.max(state.term!.wonAtMs, unknownStartsUntilMs(state), state.inheritedStartsUntilMs.get(entry.workerId) ?? 0);
