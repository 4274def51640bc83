/**
Evacuation of data centres: while an operator's order for a data centre exists, nothing new is started there and none of its machines is moved into a pool. This module keeps the orders and logs their progress; `isUsable`, pool sizing, relocation and waves act on them.

The load this answers: an operator expects a data centre to fail or to lose its network within minutes. Its workers still answer, so without the order they would get new tasks that are then lost.
*/
import {type JsonObject} from '@poplarnotch/common';
import {maxLoggedRuns} from '../constants.js';
import {type Evacuation, type Task, type TaskRun} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Minimum interval between two log lines about the progress of one evacuation. */
const progressIntervalMs = 1000;

/** Applies the complete list of data centres that are to be evacuated. */
export const applyEvacuationOrders = (state: SchedulerState, dataCentres: readonly string[], nowMs: number): void => {
	const ordered = new Set(dataCentres);
	for (const evacuation of state.evacuations.values()) {
		if (!ordered.has(evacuation.dataCentre)) {
			endEvacuation(state, evacuation, nowMs);
		}
	}

	for (const dataCentre of ordered) {
		if (!state.evacuations.has(dataCentre)) {
			state.evacuations.set(dataCentre, {
				dataCentre, knownSinceMs: nowMs, withoutRoom: [], waitingForStep: [], announced: undefined, isEmpty: false, loggedProgress: '', progressLoggedAtMs: Number.NEGATIVE_INFINITY,
			});
		}
	}

	for (const worker of state.workers.values()) {
		worker.isEvacuated = state.evacuations.has(worker.entry.dataCentre);
	}
};

const endEvacuation = (state: SchedulerState, {dataCentre, knownSinceMs, isEmpty}: Evacuation, nowMs: number): void => {
	state.evacuations.delete(dataCentre);
	if (state.term !== undefined) {
		state.emit({
			type: 'log', fields: {
				event: 'evacuation_ended', dataCentre, afterMs: Math.round(nowMs - knownSinceMs), wasEmpty: isEmpty,
			},
		});
	}
};

/** Makes the next lease term log all evacuations again, since another process may have logged them last. */
export const resetEvacuationLogs = (state: SchedulerState): void => {
	for (const evacuation of state.evacuations.values()) {
		Object.assign(evacuation, {
			withoutRoom: [], waitingForStep: [], announced: undefined, isEmpty: false, loggedProgress: '',
		});
	}
};

const runsIn = (state: SchedulerState, dataCentre: string): readonly TaskRun[] =>
	[...state.workers.values()].filter(({entry}) => entry.dataCentre === dataCentre).flatMap(({runs}) => [...runs.values()]);

const knownDataCentres = (state: SchedulerState): ReadonlySet<string> => new Set([
	...[...state.workers.values()].map(({entry}) => entry.dataCentre),
	...[...state.machines.values()].map(({entry}) => entry.dataCentre),
].filter(dataCentre => dataCentre !== ''));

/** Logs an evacuation once it is certain whether its data centre exists. */
const announce = (state: SchedulerState, evacuation: Evacuation, nowMs: number): void => {
	const {dataCentre} = evacuation;
	const known = knownDataCentres(state);
	if (!known.has(dataCentre)) {
		if (evacuation.announced === undefined && state.areMachinesOfTerm) {
			evacuation.announced = 'unknown';
			state.emit({type: 'log', level: 'warn', fields: {event: 'evacuation_unknown', dataCentre, known: [...known].join(',')}});
		}

		return;
	}

	evacuation.announced = 'started';
	const runs = runsIn(state, dataCentre);
	state.emit({
		type: 'log', fields: {
			event: 'evacuation_started', dataCentre, knownForMs: Math.round(nowMs - evacuation.knownSinceMs), runs: runs.length, lastingRuns: runs.filter(run => isLasting(run)).length,
		},
	});
	if ([...known].every(name => state.evacuations.has(name))) {
		state.emit({type: 'log', level: 'warn', fields: {event: 'evacuation_of_all_data_centres', dataCentres: [...known].join(',')}});
	}
};

const isLasting = ({task}: TaskRun): boolean => task?.step.spec.isLasting === true;

const nameTasks = (tasks: readonly Task[]): string => tasks.slice(0, maxLoggedRuns).map(({key}) => key).join(',');

/** What still runs in the data centre, and what keeps lasting tasks there. */
const progressFields = ({withoutRoom, waitingForStep}: Evacuation, runs: readonly TaskRun[]) => ({
	endingRuns: runs.filter(run => !isLasting(run)).length,
	lastingRuns: runs.filter(run => isLasting(run)).length,
	stoppingRuns: runs.filter(({phase}) => phase === 'stopping').length,
	gangRuns: runs.filter(run => isLasting(run) && run.task!.step.spec.isGang).length,
	silentRuns: runs.filter(({worker}) => worker.silentSinceMs !== undefined).length,
	withoutRoom: withoutRoom.length,
	waitingForStep: waitingForStep.length,
});

const logProgress = (state: SchedulerState, evacuation: Evacuation, nowMs: number): void => {
	const {dataCentre, knownSinceMs, withoutRoom, waitingForStep} = evacuation;
	const runs = runsIn(state, dataCentre);
	if (runs.length === 0) {
		// Before the takeover is settled, runs of an earlier lease holder may not be known yet.
		if (!evacuation.isEmpty && state.isSettled) {
			evacuation.isEmpty = true;
			state.emit({type: 'log', fields: {event: 'evacuation_empty', dataCentre, afterMs: Math.round(nowMs - knownSinceMs)}});
		}

		return;
	}

	evacuation.isEmpty = false;
	const fields = progressFields(evacuation, runs);
	const text = JSON.stringify(fields);
	if (text !== evacuation.loggedProgress) {
		evacuation.loggedProgress = text;
		evacuation.progressLoggedAtMs = nowMs;
		state.emit({
			type: 'log', fields: {
				event: 'evacuation_progress', dataCentre, ...fields, blockedTasks: nameTasks([...withoutRoom, ...waitingForStep]),
			},
		});
	}
};

/** Logs how the evacuations progress. Requires a term, so that one process logs. */
export const logEvacuations = (state: SchedulerState, nowMs: number): void => {
	for (const evacuation of state.evacuations.values()) {
		if (evacuation.announced !== 'started') {
			announce(state, evacuation, nowMs);
		}

		// While tasks run there, the workers are searched at most once in this interval.
		if (evacuation.announced === 'started' && nowMs - evacuation.progressLoggedAtMs >= progressIntervalMs) {
			logProgress(state, evacuation, nowMs);
		}
	}
};

/** Describes the evacuations for diagnosis. */
export const describeEvacuations = (state: SchedulerState, nowMs: number): JsonObject[] => [...state.evacuations.values()].map(evacuation => ({
	dataCentre: evacuation.dataCentre,
	knownForMs: Math.round(nowMs - evacuation.knownSinceMs),
	isKnown: knownDataCentres(state).has(evacuation.dataCentre),
	isEmpty: evacuation.isEmpty,
	...progressFields(evacuation, runsIn(state, evacuation.dataCentre)),
}));
