/**
What a lease holder leaves to the next one as it releases the lease: the workers on which a start that it ordered, or an earlier holder, may still be carried out. A start names its worker by an id, which a worker that is down may come back under. A new holder does not know which starts were answered, and would have to wait for each worker that is down and may return; the note tells which of them it need not wait for. All times in it are durations, since no two processes share a clock.
*/
import {maxCallDelayMs, maxListingDelayMs} from '../constants.js';
import {type HandoverNote} from './handover-note.js';
import {type CurrentTime} from './jobs.js';
import {unstoredTaskEnds} from './recorded-ends.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {allRunsOverAtMs, leaseExpiryAfter, unregisteredRunsOverAtMs} from './unheard-runs.js';

/** More workers with open starts are not listed, so that the note fits into a row; the next holder then waits as it does without a note. */
const maxOpenStarts = 1000;

/** More workers that may have started again are not listed; the next holder then relies on no list of machines of the first moments. */
const maxUncertainWorkers = 200;

/** More workers with a bound of their own are not listed; the next holder then takes the longest of the others' for all that are not named. */
const maxBoundWorkers = 200;

/** Size of the JSON text of the ends in a note, beside the starts in the same row. Further ends are recorded as the term ends. */
const maxEndsTextLength = 16_000;

/** Returns the unstored ends that fit into the note. */
const endsForNote = (state: SchedulerState): NonNullable<HandoverNote['ends']> => {
	const noted: NonNullable<HandoverNote['ends']> = {};
	let textLength = 0;
	for (const {jobId, ends} of unstoredTaskEnds(state)) {
		const lengthOfJob = JSON.stringify({[jobId]: ends}).length;
		if (textLength + lengthOfJob <= maxEndsTextLength) {
			textLength += lengthOfJob;
			noted[jobId] = ends;
		}
	}

	return noted;
};

/** Until when a start on the worker may be carried out that has no answer. */
const openUntilMs = ({runs}: WorkerRecord): number =>
	Math.max(0, ...[...runs.values()].map(({mayArrive, orderedAtMs}) => mayArrive ? orderedAtMs + maxCallDelayMs : 0));

/** Until when lists of machines may lack the worker though it is there: it was seen to start again, or has answered a start and no report tells since when it has been there. */
const unlistedUntilMs = ({runs, restartedAtMs}: WorkerRecord): number => maxListingDelayMs + Math.max(
	restartedAtMs ?? Number.NEGATIVE_INFINITY,
	...[...runs.values()].map(({mayArrive, listedIncarnation, orderedAtMs, startedAtMs = orderedAtMs}) => !mayArrive && listedIncarnation === undefined ? startedAtMs : Number.NEGATIVE_INFINITY),
);

/** States until when runs may go on, on workers for which the next holder would count otherwise. Workers that have ended run nothing. Those that machines run and that are not registered may be out of reach. */
const runBounds = (state: SchedulerState, now: CurrentTime): Pick<HandoverNote, 'runsForMs' | 'othersRunForMs'> => {
	const untilMs = new Map<string, number>();
	for (const worker of state.workers.values()) {
		const overAtMs = allRunsOverAtMs(state, worker, now);
		const isUnheard = !worker.isFenced || worker.silentSinceMs !== undefined;
		if (!worker.isEnded && (isUnheard || overAtMs > leaseExpiryAfter(now.nowMs))) {
			untilMs.set(worker.entry.workerId, overAtMs);
		}
	}

	for (const {entry: {workerId}} of state.machines.values()) {
		if (workerId !== undefined && !state.workers.has(workerId)) {
			untilMs.set(workerId, unregisteredRunsOverAtMs(state, workerId));
		}
	}

	const bounds = [...untilMs].map(([workerId, overAtMs]) => [workerId, Math.max(0, Math.ceil(overAtMs - now.nowMs))] as const).toSorted(([, a], [, b]) => b - a);
	const longestOther = bounds[maxBoundWorkers];
	return {runsForMs: Object.fromEntries(bounds.slice(0, maxBoundWorkers)), ...(longestOther === undefined ? {} : {othersRunForMs: longestOther[1]})};
};

/** Names the workers on which a start of this term, or of an earlier one, may still be carried out, and those that may have just started again. A start that was taken for prevented, since its worker had accepted a stop or its deadline had passed, counts as well, and so does one that was left to this holder: the next incarnation of the worker knows of none of that. Only time ends them. */
export const noteForNextHolder = (state: SchedulerState, now: CurrentTime): HandoverNote => {
	const {nowMs} = now;
	const workers = [...state.workers.values()];
	const forMs = new Map<string, number>();
	const name = (workerId: string, untilMs: number): void => {
		if (untilMs > nowMs) {
			forMs.set(workerId, Math.max(Math.ceil(untilMs - nowMs), forMs.get(workerId) ?? 0));
		}
	};

	for (const [workerId, untilMs] of [...workers.map(worker => [worker.entry.workerId, openUntilMs(worker)] as const), ...state.lateStarts(), ...state.inheritedStarts]) {
		name(workerId, untilMs);
	}

	const ends = endsForNote(state);
	if (forMs.size > maxOpenStarts) {
		return {
			openStarts: {}, unknownForMs: maxCallDelayMs, unlistedForMs: 0, ends,
		};
	}

	const uncertain = workers.filter(worker => unlistedUntilMs(worker) > nowMs);
	const areNamed = uncertain.length <= maxUncertainWorkers;
	for (const worker of areNamed ? uncertain : []) {
		name(worker.entry.workerId, unlistedUntilMs(worker));
	}

	return {
		openStarts: Object.fromEntries(forMs),
		unknownForMs: Math.max(0, state.unknownStartsUntilMs - nowMs),
		unlistedForMs: areNamed ? Math.max(0, state.unlistedUntilMs - nowMs) : maxListingDelayMs,
		...runBounds(state, now),
		ends,
	};
};
