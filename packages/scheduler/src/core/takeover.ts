/**
The takeover of the fleet by a new lease holder. Until it is settled, tasks of an earlier holder may be at work, or have ended, on workers that have not reported to this process, so only jobs that no earlier holder can have started are started.
*/
import {maxLoggedRuns} from '../constants.js';
import {type FinishedEntry} from '../types.js';
import {resolveLostTrials} from './crash-attribution.js';
import {
	type JobRecord, type StepInstance, type Task, type WorkerRecord,
} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {foundEndsFields} from './report-logs.js';
import {areEarlierStartsKnown, hasInheritedStart, hasNoEarlierStarts} from './inherited-starts.js';
import {type CurrentTime} from './jobs.js';
import {
	earlierCallsOverAtMs, earlierRunsOverAtMs, leaseExpiryAfter, unknownRunsOverAtMs, unregisteredRunsOverAtMs,
} from './unheard-runs.js';

/** Returns true unless an earlier lease holder may have started the job, which could then be running on a worker that has not reported to this process yet. The job's version decides, since this process may have read the job long after an earlier holder did. */
export const canStartJob = ({isSettled, newJobsAfterRevision}: SchedulerState, {storedVersion}: JobRecord): boolean =>
	isSettled || (newJobsAfterRevision !== undefined && storedVersion > newJobsAfterRevision);

/** Asks the store for a revision once the orders of earlier holders are over, and for another one once their last call has arrived. */
export const requestRevisions = (state: SchedulerState, nowMs: number): void => {
	const {isSettled, requestedRevisions, term, earlierOrdersOverAtMs} = state;
	const dueAtMs = {orders: earlierOrdersOverAtMs, calls: earlierCallsOverAtMs(state)} as const;
	for (const after of ['orders', 'calls'] as const) {
		if (!isSettled && !requestedRevisions.has(after) && nowMs >= dueAtMs[after]) {
			requestedRevisions.add(after);
			state.emit({type: 'readRevision', fencingToken: term!.fencingToken, after});
		}
	}
};

/** Returns true if the worker has ends that it has not listed yet. The time limit of the takeover says nothing about them while the worker answers, or until it has been silent for a whole lease. */
const hasUnlistedEnds = ({mayLackEnds, silentSinceMs, lastAnswerAtMs}: WorkerRecord, nowMs: number): boolean =>
	mayLackEnds && (silentSinceMs === undefined || nowMs < leaseExpiryAfter(lastAnswerAtMs));

/** Tells what is known of a worker that has not reported all that it has. */
const describeUnheardWorker = (state: SchedulerState, worker: WorkerRecord, nowMs: number): string => {
	const {entry: {workerId}, isEnded, isListed, silentSinceMs} = worker;
	const reach = silentSinceMs === undefined ? 'unanswered' : `silent-${Math.round(nowMs - silentSinceMs)}ms`;
	return `${workerId}:${isEnded ? 'ended' : reach}${isListed ? '' : ':unlisted'}${hasInheritedStart(state, workerId, nowMs) ? ':open-start' : ''}`;
};

const describeUnheard = (state: SchedulerState, workers: readonly WorkerRecord[], nowMs: number): string =>
	workers.slice(0, maxLoggedRuns).map(worker => describeUnheardWorker(state, worker, nowMs)).join(',');

/** Number of workers with a stated start; `undefined` while there may be others. */
const statedStarts = (state: SchedulerState, nowMs: number): number | undefined => areEarlierStartsKnown(state, nowMs) ? state.inheritedStarts.size : undefined;

/** A holder that was replaced has stored or recorded what it read from a worker that left longer ago than this: it has stood still for less. */
const departureMemoryMs = 4000;

/** Returns true if the holder that was replaced may be alive and know of ends that nobody else will hear of, since their workers have left. It records them when it learns that it was replaced, so what it has stored until its orders are over has to be read. */
const awaitsEarlierEnds = (state: SchedulerState, nowMs: number): boolean => {
	const {
		earlierHolder, earlierOrdersOverAtMs, newJobsAfterRevision, jobRowsRevision = 0, lastDepartureAtMs,
	} = state;
	const mayHaveLeft = nowMs - lastDepartureAtMs < departureMemoryMs;
	const isRead = nowMs >= earlierOrdersOverAtMs && newJobsAfterRevision !== undefined && jobRowsRevision >= newJobsAfterRevision;
	return earlierHolder !== undefined && mayHaveLeft && !isRead;
};

/** While a takeover is not settled, it is logged this often what it waits for. */
const waitLogIntervalMs = 1000;

/** What a takeover waits for. */
type Awaited = {
	/** Workers that may run tasks of an earlier holder and have not been heard. */
	readonly workers: readonly WorkerRecord[];
	/** Workers that machines run and that are not registered. */
	readonly unregistered: ReadonlyArray<{readonly machineId: string; readonly workerId: string}>;
	/** There may be workers of which not even the id is known. */
	readonly areOthersPossible: boolean;
	readonly awaitsHolder: boolean;
};

const workersOnMachines = ({machines}: SchedulerState): ReadonlySet<string | undefined> => new Set([...machines.values()].map(({entry}) => entry.workerId));

/** Returns true if the worker ended in an earlier term of this process, which does not poll it any more, and no machine runs it. */
const isGone = ({entry: {workerId}, isEnded, isListed}: WorkerRecord, onMachines: ReadonlySet<string | undefined>): boolean =>
	isEnded && !isListed && !onMachines.has(workerId);

const findAwaited = (state: SchedulerState, nowMs: number): Awaited => {
	const onMachines = workersOnMachines(state);
	const areUnreadableKnown = state.unreadableMachines.every(({workerId}) => workerId !== undefined && state.workers.has(workerId));
	return {
		workers: [...state.workers.values()].filter(worker => !worker.isFenced && !isGone(worker, onMachines) && !hasNoEarlierStarts(state, worker)),
		unregistered: [...state.machines.values()].flatMap(({entry: {machineId, workerId, pool, state: machineState}}) => {
			const isUnregistered = workerId !== undefined && machineState === 'up' && !state.workers.has(workerId);
			return isUnregistered && state.configuration.pools.get(pool)?.isStandby !== true ? [{machineId, workerId}] : [];
		}),
		areOthersPossible: !state.areMachinesOfTerm || !areUnreadableKnown,
		awaitsHolder: awaitsEarlierEnds(state, nowMs),
	};
};

const isNothingAwaited = ({workers, unregistered, areOthersPossible, awaitsHolder}: Awaited): boolean =>
	workers.length === 0 && unregistered.length === 0 && !areOthersPossible && !awaitsHolder;

/** Returns when the last run of an earlier holder is over, whether it is heard of or not. */
const awaitedRunsOverAtMs = (state: SchedulerState, {workers, unregistered, areOthersPossible, awaitsHolder}: Awaited, now: CurrentTime): number => Math.max(
	...workers.map(worker => earlierRunsOverAtMs(state, worker, now)),
	...unregistered.map(({workerId}) => unregisteredRunsOverAtMs(state, workerId)),
	areOthersPossible ? unknownRunsOverAtMs(state) : Number.NEGATIVE_INFINITY,
	awaitsHolder ? leaseExpiryAfter(state.earlierOrdersOverAtMs) : Number.NEGATIVE_INFINITY,
);

/** Logs what the takeover waits for. */
const logWaiting = (state: SchedulerState, awaited: Awaited, overAtMs: number, nowMs: number): void => {
	if (nowMs - state.takeoverLoggedAtMs >= waitLogIntervalMs) {
		state.takeoverLoggedAtMs = nowMs;
		state.emit({
			type: 'log', fields: {
				event: 'takeover_waits_for', afterMs: Math.round(nowMs - state.term!.wonAtMs), awaited: awaited.workers.length, openStarts: statedStarts(state, nowMs), unregistered: awaited.unregistered.length, areMachinesKnown: state.areMachinesOfTerm, areOthersPossible: awaited.areOthersPossible, awaitsHolder: awaited.awaitsHolder, leasesLeftMs: Math.round(overAtMs - nowMs), workers: describeUnheard(state, awaited.workers, nowMs),
			},
		});
	}
};

/** Why a worker that was not heard counts as one that runs nothing of an earlier holder. */
type GiveUpBound = 'ended-by-list' | 'ended-unlisted' | 'lease' | 'longest-lease' | 'silent-for-lease' | 'note';

const boundOf = (state: SchedulerState, worker: WorkerRecord, onMachines: ReadonlySet<string | undefined>, now: CurrentTime): GiveUpBound => {
	if (isGone(worker, onMachines)) {
		return 'ended-unlisted';
	}

	if (hasNoEarlierStarts(state, worker)) {
		return 'ended-by-list';
	}

	if (worker.mayLackEnds) {
		return 'silent-for-lease';
	}

	if (state.inheritedBounds.has(worker.entry.workerId)) {
		return 'note';
	}

	return earlierRunsOverAtMs(state, worker, now) > leaseExpiryAfter(state.earlierOrdersOverAtMs) ? 'longest-lease' : 'lease';
};

/** Logs the workers that were not heard when the takeover was settled, and by which bound their runs count as over. */
const logGivenUp = (state: SchedulerState, by: 'reports' | 'time', unheard: readonly WorkerRecord[], {unregistered}: Awaited, now: CurrentTime): void => {
	if (by === 'reports' && unheard.length === 0) {
		return;
	}

	const {nowMs} = now;
	const onMachines = workersOnMachines(state);
	const described = unheard.slice(0, maxLoggedRuns).map(worker => {
		const restarted = worker.restartedAtMs === undefined ? '' : `:restarted-${Math.round(nowMs - worker.restartedAtMs)}ms`;
		return `${describeUnheardWorker(state, worker, nowMs)}${restarted}:by-${boundOf(state, worker, onMachines, now)}`;
	});
	state.emit({
		type: 'log', fields: {
			event: 'workers_given_up_as_lost', by, count: unheard.length, fencingToken: state.term!.fencingToken, sinceOrdersOverMs: Math.round(nowMs - state.earlierOrdersOverAtMs), workers: described.join(','), machines: unregistered.slice(0, maxLoggedRuns).map(({machineId, workerId}) => `${machineId}:${workerId}`).join(','),
		},
	});
};

/** Marks the takeover as settled once no worker can still run a task of an earlier lease holder that this process has not seen. */
export const checkTakeoverSettled = (state: SchedulerState, now: CurrentTime): void => {
	if (state.term === undefined || state.isSettled) {
		return;
	}

	const {nowMs} = now;
	const {term: {wonAtMs}, earlierOrdersOverAtMs} = state;
	const workers = [...state.workers.values()];
	const awaited = findAwaited(state, nowMs);
	const areAllKnown = isNothingAwaited(awaited);
	const overAtMs = awaitedRunsOverAtMs(state, awaited, now);
	if (!areAllKnown && (nowMs < overAtMs || workers.some(worker => hasUnlistedEnds(worker, nowMs)))) {
		logWaiting(state, awaited, overAtMs, nowMs);
		return;
	}

	state.isSettled = true;
	resolveLostTrials(state);
	const passedOver = workers.filter(worker => !worker.isFenced && !awaited.workers.includes(worker));
	const unheard = [...awaited.workers, ...passedOver];
	const by = areAllKnown ? 'reports' : 'time';
	state.emit({
		type: 'log', fields: {
			event: 'takeover_settled', by, workers: workers.length, unanswered: unheard.length, unregistered: awaited.unregistered.length, afterMs: Math.round(nowMs - wonAtMs), overlapMs: Math.round(earlierOrdersOverAtMs - wonAtMs), awaited: awaited.workers.length, openStarts: statedStarts(state, nowMs),
			unheard: describeUnheard(state, unheard, nowMs), ...foundEndsFields(state),
		},
	});
	logGivenUp(state, by, unheard, awaited, now);
};

/** Logs the steps of which a round has started tasks although a worker of an earlier holder may not have reported yet, with the versions that say why their jobs are new. */
export const logEarlyStarts = (state: SchedulerState, steps: readonly StepInstance[]): void => {
	if (steps.length > 0 && !state.isSettled) {
		state.emit({
			type: 'log', fields: {
				event: 'started_before_settled', steps: steps.slice(0, maxLoggedRuns).map(({job, occurrence, stepIndex}) => `${job.spec.jobId}.${occurrence}.${stepIndex}@${job.storedVersion}`).join(','), count: steps.length, newJobsAfterRevision: state.newJobsAfterRevision,
			},
		});
	}
};

/** Returns true if the task had ended done in an earlier attempt when it was started again. */
export const isStartedAfterEnd = (task: Task | undefined, {end, attempt}: FinishedEntry): task is Task =>
	end === 'done' && task?.step.spec.isLasting === false && attempt < task.lastAttempt;

/** Logs tasks that had ended done, as the worker lists, when they were started again. */
export const logStartedAfterEnd = (state: SchedulerState, workerId: string, ended: ReadonlyArray<{readonly task: Task; readonly attempt: number}>): void => {
	if (ended.length > 0) {
		state.emit({
			type: 'log', level: 'warn', fields: {
				event: 'started_after_end', workerId, count: ended.length, tasks: ended.slice(0, maxLoggedRuns).map(({task, attempt}) => `${task.key}#${attempt}>${task.lastAttempt}`).join(','), isSettled: state.isSettled,
			},
		});
	}
};
