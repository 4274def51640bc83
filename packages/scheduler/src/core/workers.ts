/**
Tracks workers: which ones are registered, which ones answer polls, and when everything on a silent worker has definitely ended.
*/
import {
	maxLoggedRuns, workerSilenceTimeoutMs, taskLeaseMs,
} from '../constants.js';
import {type WorkerEntry} from '../types.js';
import {attributeCrash, giveUpIfExhausted} from './crash-attribution.js';
import {areTokensUsedUp, isSupersededStart} from './order-tokens.js';
import {dropOutdatedEntry} from './outdated-events.js';
import {unstoredEnds} from './progress-persistence.js';
import {type TaskRun, type WorkerIncarnation, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {leaseExpiryAfter, recordEarlierLeases, runOverAtMs} from './unheard-runs.js';

const newWorker = (state: SchedulerState, entry: WorkerEntry, nowMs: number, restartCount = state.takeRestartCount(entry.workerId)): WorkerRecord => ({
	entry,
	incarnation: ++state.incarnationCount,
	restartCount: restartCount ?? 0,
	restartedAtMs: restartCount === undefined ? undefined : nowMs,
	restart: undefined,
	outdatedEntry: undefined,
	firstSeenAtMs: nowMs,
	isListed: true,
	unlistedAtMs: undefined,
	runs: new Map(),
	expectedRuns: new Set(),
	expiredRuns: [],
	trial: undefined,
	trialEndedAtMs: Number.NEGATIVE_INFINITY,
	bornWallMs: entry.bornWallMs,
	isEvacuated: state.evacuations.has(entry.dataCentre),
	isFenced: false,
	mayLackEnds: false,
	clock: undefined,
	leaseExpiresAtMs: nowMs,
	lastLeaseSentAtMs: Number.NEGATIVE_INFINITY,
	lastAnswerAtMs: nowMs,
	lastReportSentAtMs: Number.NEGATIVE_INFINITY,
	silentSinceMs: undefined,
	unreachedAtMs: undefined,
	silenceNoticedAtMs: nowMs,
	processedSequence: 0,
	unresolvedEnds: [],
	unacknowledgedEnds: [],
	acknowledgedSequence: 0,
	pendingAcknowledgement: undefined,
	sentAcknowledgement: 0,
	recentFailuresMs: [],
	quarantinedUntilMs: 0,
	machineId: undefined,
	missingSince: undefined,
	isEnded: false,
	isMaintenanceDue: false,
	isReserved: false,
	fillingPacePercent: 100,
	paceSampledAtMs: 0,
	fillingPausedSinceMs: undefined,
	idleSinceMs: nowMs,
});

/** Applies a complete list of registered workers. */
export const applyWorkerList = (state: SchedulerState, entries: readonly WorkerEntry[], nowMs: number): void => {
	const listed = new Set(entries.map(entry => entry.workerId));
	for (const entry of entries) {
		const known = state.workers.get(entry.workerId);
		if (known === undefined) {
			state.workers.set(entry.workerId, newWorker(state, entry, nowMs));
			continue;
		}

		known.isListed = true;
		known.unlistedAtMs = undefined;
		if (dropOutdatedEntry(state, known, entry)) {
			continue;
		}

		const hasDrainChanged = known.entry.isDraining !== entry.isDraining;
		if (hasDrainChanged && state.term !== undefined) {
			state.emit({
				type: 'log', fields: {
					event: 'worker_state', workerId: entry.workerId, pool: entry.pool, isDraining: entry.isDraining, runs: known.runs.size,
				},
			});
		}

		// The loss of the runs is judged by whether the earlier incarnation was draining.
		if (entry.bornWallMs !== undefined && known.bornWallMs !== undefined && entry.bornWallMs > known.bornWallMs) {
			beginIncarnation(state, known, entry.bornWallMs, nowMs);
		}

		known.entry = entry;
		known.isEvacuated = state.evacuations.has(entry.dataCentre);
	}

	for (const [workerId, worker] of state.workers) {
		if (!listed.has(workerId) && worker.isListed) {
			worker.isListed = false;
			worker.unlistedAtMs = nowMs;
			if (worker.entry.isDraining) {
				state.lastDepartureAtMs = nowMs;
			}

			if (state.term === undefined || worker.isEnded) {
				continue;
			}

			state.emit({
				type: 'log', fields: {
					event: 'worker_unlisted', workerId, pool: worker.entry.pool, runs: worker.runs.size, unstoredEnds: unstoredEnds(worker),
				},
			});
		}
	}
};

/** Makes the starts that may still be carried out open again. A stop that an earlier incarnation accepted does not bind the present one. */
const reopenStarts = (worker: WorkerRecord, nowMs: number): void => {
	for (const run of worker.runs.values()) {
		if (run.mayArrive && run.phase !== 'starting') {
			run.phase = 'unconfirmed';
			run.startedAtMs = undefined;
			run.stopOrderedAtMs = undefined;
			run.unansweredAtMs ??= nowMs;
		}
	}
};

/** Resets the record of a restarted worker, which has seen no fencing token. Its registration may be learned of after tasks were started on the new incarnation, so what has ended with the earlier one is left to the first report. */
export const beginIncarnation = (state: SchedulerState, worker: WorkerRecord, bornWallMs: number | undefined, nowMs: number): void => {
	if (state.term !== undefined) {
		const runs = [...worker.runs.values()];
		state.emit({
			type: 'log', fields: {
				event: 'worker_restarted', workerId: worker.entry.workerId, bornWallMs, earlierBornWallMs: worker.bornWallMs, runs: runs.length, unanswered: runs.filter(({mayArrive}) => mayArrive).length, wasEnded: worker.isEnded, leaseLeftMs: Math.round(worker.leaseExpiresAtMs - nowMs), clockMs: worker.clock?.clockMs,
			},
		});
	}

	// The crash of a worker that was taken for ended has been attributed.
	const wasLeaving = worker.restart?.wasLeaving ?? (worker.isEnded || isLeaving(state, worker));
	worker.restart = {wasLeaving, hasReported: false};
	reopenStarts(worker, nowMs);
	state.lastDepartureAtMs = nowMs;
	worker.incarnation = ++state.incarnationCount;
	worker.restartCount++;
	worker.restartedAtMs = nowMs;
	worker.bornWallMs = bornWallMs;
	worker.isEnded = false;
	worker.firstSeenAtMs = nowMs;
	worker.machineId = undefined;
	worker.isReserved = false;
	worker.isFenced = false;
	worker.mayLackEnds = false;
	worker.clock = undefined;
	worker.processedSequence = 0;
	state.endsOfEarlierIncarnations = [...state.endsOfEarlierIncarnations, ...worker.unresolvedEnds.map(end => ({...end, worker}))];
	worker.unresolvedEnds = [];
	worker.unacknowledgedEnds = [];
	worker.acknowledgedSequence = 0;
	worker.sentAcknowledgement = 0;
	worker.pendingAcknowledgement = undefined;
	if (worker.runs.size === 0) {
		worker.leaseExpiresAtMs = nowMs;
	} else {
		recordEarlierLeases(state, worker, nowMs);
	}

	worker.recentFailuresMs.length = 0;
	worker.quarantinedUntilMs = 0;
	logUnansweredAtRestart(state, worker, nowMs);
};

/** Names the starts that a restart leaves open. They are no part of a line `runs_lost`, since the new incarnation may carry them out. */
const logUnansweredAtRestart = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	const unanswered = [...worker.runs.values()].filter(({mayArrive}) => mayArrive);
	if (state.term !== undefined && unanswered.length > 0) {
		state.emit({
			type: 'log', fields: {
				event: 'restart_may_have_lost_runs', workerId: worker.entry.workerId, runs: worker.runs.size, unanswered: unanswered.length, incarnation: worker.incarnation, bornWallMs: worker.bornWallMs, lastAnswerAgeMs: Math.round(nowMs - worker.lastAnswerAtMs), leaseLeftMs: Math.round(worker.leaseExpiresAtMs - nowMs), tasks: describeRuns(unanswered, nowMs),
			},
		});
	}
};

export const presentIncarnation = (worker: WorkerRecord): WorkerIncarnation => ({worker, incarnation: worker.incarnation});

/** Returns true if the worker has not started again since. */
export const isPresent = ({worker, incarnation}: WorkerIncarnation): boolean => worker.incarnation === incarnation;

/** Why a worker's runs ended with an unknown result. */
export type LossReason = 'machine-ordered-away' | 'machine-removed' | 'machine-runs-another-worker' | 'rack-lost' | 'worker-restarted' | 'worker-replaced' | 'silent-past-lease' | 'unlisted-past-lease';

/** A worker that is gone for one of these reasons has crashed, unless it was leaving. */
const crashReasons: ReadonlySet<LossReason> = new Set(['machine-runs-another-worker', 'worker-restarted', 'worker-replaced']);

/** For these reasons it is not known whether the worker has crashed or is out of reach. */
const silenceReasons: ReadonlySet<LossReason> = new Set(['silent-past-lease', 'unlisted-past-lease']);

/** Returns the runs that end with the present incarnation, and those whose start may be carried out by the next one under the worker's id. */
export const splitByReturn = (worker: WorkerRecord, mayReturn: boolean): {readonly lost: readonly TaskRun[]; readonly open: readonly TaskRun[]} => {
	const runs = [...worker.runs.values()];
	return {lost: runs.filter(({mayArrive}) => !(mayReturn && mayArrive)), open: runs.filter(({mayArrive}) => mayReturn && mayArrive)};
};

/** Marks the present incarnation of the worker as gone, together with its runs. If the worker may start again under its id, starts without an answer count as possible runs for as long as the leases that they carry. */
export const endWorker = (state: SchedulerState, worker: WorkerRecord, nowMs: number, {reason, mayReturn = false}: {readonly reason: LossReason; readonly mayReturn?: boolean}): void => {
	if (!worker.isEnded) {
		const {lost, open} = splitByReturn(worker, mayReturn);
		const {leaseExpiresAtMs} = worker;
		worker.isEnded = true;
		// A takeover waits for a worker that may return: it may carry out a start of the earlier holder.
		worker.isFenced = !mayReturn;
		worker.mayLackEnds = false;
		worker.leaseExpiresAtMs = Math.max(nowMs, ...open.map(({orderedAtMs}) => leaseExpiryAfter(orderedAtMs)));
		loseRuns(state, worker, nowMs, {
			reason, lost, undecided: open, leaseExpiresAtMs,
		});
	}
};

/** Uses a worker again that was taken for ended, once the list of machines shows that it goes on, or has started again. */
const reviveWorker = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	worker.isEnded = false;
	worker.clock = undefined;
	// Its crash, if it was one, has been attributed.
	worker.restart = {wasLeaving: true, hasReported: false};
	if (worker.runs.size > 0) {
		recordEarlierLeases(state, worker, nowMs);
	}

	// The next report tells what runs on it.
	worker.isFenced = false;
	state.emit({type: 'log', fields: {event: 'worker_goes_on', workerId: worker.entry.workerId, machineId: worker.machineId}});
};

/** Lets the worker take tasks again after an order for its machine. */
export const returnToService = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	worker.isReserved = false;
	if (worker.isEnded) {
		reviveWorker(state, worker, nowMs);
	}
};

/** Returns true if the worker may have ended because it was drained or its machine was ordered away. How long it has been known to drain tells nothing: its registration may be read only as it leaves. */
const isLeaving = (state: SchedulerState, worker: WorkerRecord): boolean => {
	const order = worker.machineId === undefined ? undefined : state.machines.get(worker.machineId)?.order;
	const isOrderedAway = order?.endsIncarnation?.incarnation === worker.incarnation;
	return worker.entry.isDraining || isOrderedAway;
};

/** Names the runs with their attempts, ages and phases, the youngest first, whether the present incarnation of their worker has listed them, and marks those whose start may still be carried out. */
const describeRuns = (runs: readonly TaskRun[], nowMs: number): string => runs.toSorted((a, b) => b.orderedAtMs - a.orderedAtMs)
	.slice(0, maxLoggedRuns)
	.map(run => `${run.taskKey}#${run.attempt}:${Math.round(nowMs - run.orderedAtMs)}ms:${run.phase}:${run.listedIncarnation === run.worker.incarnation ? 'listed' : 'unlisted'}${run.mayArrive ? ':unanswered' : ''}`)
	.join(',');

/** Why runs of a worker are lost, and which; by default all. */
export type Loss = {
	readonly reason: LossReason;
	readonly lost?: readonly TaskRun[];
	/** Runs that may go on, but may also have crashed the worker. */
	readonly undecided?: readonly TaskRun[];
	readonly wasLeaving?: boolean;
	/** Until when leases counted before the loss, if it has changed that. */
	readonly leaseExpiresAtMs?: number;
};

/** Removes runs of a worker that have definitely ended with an unknown result. */
export const loseRuns = (state: SchedulerState, worker: WorkerRecord, nowMs: number, {
	reason, lost = [...worker.runs.values()], undecided = [], wasLeaving = isLeaving(state, worker), leaseExpiresAtMs = worker.leaseExpiresAtMs,
}: Loss): void => {
	if (lost.length > 0) {
		state.emit({
			type: 'log', fields: {
				event: 'runs_lost',
				workerId: worker.entry.workerId,
				runs: lost.length,
				reason,
				isDraining: worker.entry.isDraining,
				isReserved: worker.isReserved,
				silentMs: worker.silentSinceMs === undefined ? undefined : Math.round(nowMs - worker.silentSinceMs),
				lastAnswerAgeMs: Math.round(nowMs - worker.lastAnswerAtMs),
				leaseOverForMs: Math.round(nowMs - leaseExpiresAtMs),
				incarnation: worker.incarnation,
				bornWallMs: worker.bornWallMs,
				restartedAgoMs: worker.restartedAtMs === undefined ? undefined : Math.round(nowMs - worker.restartedAtMs),
				fencingToken: state.term?.fencingToken,
				tasks: describeRuns(lost, nowMs),
			},
		});
	}

	for (const run of lost) {
		state.removeRun(run, nowMs);
		giveUpIfExhausted(state, run);
	}

	if (silenceReasons.has(reason)) {
		worker.expiredRuns = [...worker.expiredRuns, ...lost];
		return;
	}

	const underCrash = [...lost, ...undecided, ...worker.expiredRuns];
	worker.expiredRuns = [];
	if (underCrash.length > 0 && crashReasons.has(reason) && !wasLeaving) {
		attributeCrash(state, worker, underCrash, nowMs);
	}
};

/** Which runs of a restarted worker may have ended with its earlier incarnation, and which of these have. */
type RestartEvidence = {
	readonly mayBeGone: (run: TaskRun) => boolean;
	readonly isGone: (run: TaskRun) => boolean;
};

/** Removes the runs of a restarted worker that are gone, and blames the crash on these and on those that may be. */
const endRestart = (state: SchedulerState, worker: WorkerRecord, nowMs: number, {mayBeGone, isGone}: RestartEvidence): void => {
	const {restart} = worker;
	if (restart !== undefined) {
		worker.restart = undefined;
		const runs = [...worker.runs.values()].filter(run => mayBeGone(run));
		loseRuns(state, worker, nowMs, {
			reason: 'worker-restarted', lost: runs.filter(run => isGone(run)), undecided: runs.filter(run => !isGone(run)), wasLeaving: restart.wasLeaving,
		});
	}
};

/** Removes the runs of earlier incarnations once the first report of the present one shows which runs it has. A run that was confirmed after that report was asked for is left to the next one. */
export const settleRestart = (state: SchedulerState, worker: WorkerRecord, listed: ReadonlySet<string>, {sentAtMs, nowMs}: {readonly sentAtMs: number; readonly nowMs: number}): void => {
	endRestart(state, worker, nowMs, {
		mayBeGone: ({taskKey}) => !listed.has(taskKey),
		isGone: run => isSupersededStart(run) || (run.startedAtMs !== undefined && run.startedAtMs < sentAtMs),
	});
};

/** Removes the runs that an earlier incarnation listed, when the present one does not answer. Its own runs count as running until their leases expire. */
export const loseEarlierRuns = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	endRestart(state, worker, nowMs, {
		mayBeGone: () => true,
		isGone: ({listedIncarnation}) => listedIncarnation !== undefined && listedIncarnation < worker.incarnation,
	});
};

/** Returns a deadline one lease from now on the worker's clock, or `undefined` while its clock is unknown. */
export const deadlineClockMs = (worker: WorkerRecord, nowMs: number): number | undefined =>
	worker.clock === undefined ? undefined : Math.floor(worker.clock.clockMs + (nowMs - worker.clock.readAtMs) + taskLeaseMs);

/** Returns true if the worker can be assigned tasks. */
export const isUsable = (worker: WorkerRecord, nowMs: number): boolean => worker.isListed
	&& !worker.isEnded
	&& !worker.entry.isDraining
	&& worker.isFenced
	&& !areTokensUsedUp(worker)
	&& !worker.isReserved
	&& !worker.isEvacuated
	&& worker.clock !== undefined
	&& worker.silentSinceMs === undefined
	&& worker.unreachedAtMs === undefined
	&& nowMs >= worker.quarantinedUntilMs;

/** Removes the runs of silent or unlisted workers whose leases have expired, and deletes records of workers that are gone. */
export const expireWorkers = (state: SchedulerState, nowMs: number): void => {
	for (const worker of state.workers.values()) {
		const isSilent = worker.silentSinceMs !== undefined && nowMs - worker.silentSinceMs >= workerSilenceTimeoutMs;
		// A worker that was taken for ended has no runs but those whose start may still be carried out.
		const isUnheard = isSilent || !worker.isListed || worker.isEnded;
		const over = isUnheard ? [...worker.runs.values()].filter(run => nowMs >= runOverAtMs(state, run)) : [];
		if (over.length > 0) {
			loseRuns(state, worker, nowMs, {reason: worker.isListed ? 'silent-past-lease' : 'unlisted-past-lease', lost: over});
		}

		const isLeaseExpired = nowMs >= worker.leaseExpiresAtMs;
		// A worker may answer without being registered, and list what has ended on it.
		const goneSinceMs = Math.max(worker.unlistedAtMs ?? nowMs, worker.lastAnswerAtMs);
		// What is known of a worker bounds how long a takeover waits for it.
		const isAwaited = state.term !== undefined && !state.isSettled && !worker.isFenced && !worker.isEnded;
		if (!isAwaited && !worker.isListed && worker.runs.size === 0 && (isLeaseExpired || state.term === undefined) && nowMs - goneSinceMs > taskLeaseMs * 2) {
			state.deleteWorker(worker, nowMs);
		}
	}
};
