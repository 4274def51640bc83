/**
What is believed of workers: who is listed, who answers, and when something on a silent worker has surely ended.
*/
import {
	leaseMarginMs, leaseStretch, silentWorkerMs, taskLeaseMs,
} from '../constants.js';
import {type WorkerEntry} from '../types.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

const newWorker = (entry: WorkerEntry, nowMs: number): WorkerRecord => ({
	entry,
	seenAtMs: nowMs,
	isListed: true,
	unlistedAtMs: undefined,
	runs: new Map(),
	bornWallMs: entry.bornWallMs,
	isFenced: false,
	clock: undefined,
	leaseOverAtMs: nowMs,
	lastAnswerAtMs: nowMs,
	silentSinceMs: undefined,
	processedSequence: 0,
	acknowledgedSequence: 0,
	pendingAcknowledgement: undefined,
	sentAcknowledgement: 0,
	recentFailuresMs: [],
	quarantinedUntilMs: 0,
	machineId: undefined,
	isEnded: false,
	isDue: false,
	isReserved: false,
	fillPacePercent: 100,
	paceSampledAtMs: 0,
	pausedSinceMs: undefined,
	idleSinceMs: nowMs,
});

/** Takes the whole list of workers into account. */
export const applyWorkerList = (state: SchedulerState, entries: readonly WorkerEntry[], nowMs: number): void => {
	const listed = new Set(entries.map(entry => entry.workerId));
	for (const entry of entries) {
		const known = state.workers.get(entry.workerId);
		if (known === undefined) {
			state.workers.set(entry.workerId, newWorker(entry, nowMs));
			continue;
		}

		if (known.entry.isDraining !== entry.isDraining && state.term !== undefined) {
			state.emit({
				type: 'note', fields: {
					event: 'worker_state', workerId: entry.workerId, pool: entry.pool, isDraining: entry.isDraining, runs: known.runs.size,
				},
			});
		}

		known.entry = entry;
		known.isListed = true;
		known.unlistedAtMs = undefined;
		if (entry.bornWallMs !== undefined && known.bornWallMs !== undefined && entry.bornWallMs > known.bornWallMs) {
			beginNewLife(state, known, entry.bornWallMs, nowMs);
		}
	}

	for (const [workerId, worker] of state.workers) {
		if (!listed.has(workerId) && worker.isListed) {
			worker.isListed = false;
			worker.unlistedAtMs = nowMs;
			if (state.term === undefined || worker.isEnded) {
				continue;
			}

			state.emit({
				type: 'note', fields: {
					event: 'worker_unlisted', workerId, pool: worker.entry.pool, runs: worker.runs.size,
				},
			});
		}
	}
};

/** A worker that started again runs nothing and has seen no token. */
export const beginNewLife = (state: SchedulerState, worker: WorkerRecord, bornWallMs: number | undefined, nowMs: number): void => {
	loseRuns(state, worker, nowMs, 'worker-restarted');
	worker.bornWallMs = bornWallMs;
	worker.isEnded = false;
	worker.seenAtMs = nowMs;
	worker.machineId = undefined;
	worker.isReserved = false;
	worker.isFenced = false;
	worker.clock = undefined;
	worker.processedSequence = 0;
	worker.acknowledgedSequence = 0;
	worker.sentAcknowledgement = 0;
	worker.pendingAcknowledgement = undefined;
	worker.leaseOverAtMs = nowMs;
	worker.recentFailuresMs.length = 0;
	worker.quarantinedUntilMs = 0;
};

/** The worker is gone for good, with everything on it. */
export const endWorker = (state: SchedulerState, worker: WorkerRecord, nowMs: number, reason: string): void => {
	if (!worker.isEnded) {
		worker.isEnded = true;
		worker.isFenced = true;
		worker.leaseOverAtMs = nowMs;
		loseRuns(state, worker, nowMs, reason);
	}
};

/** Everything on the worker has surely ended without a known end. */
export const loseRuns = (state: SchedulerState, worker: WorkerRecord, nowMs: number, reason: string): void => {
	if (worker.runs.size > 0) {
		state.emit({
			type: 'note', fields: {
				event: 'runs_lost', workerId: worker.entry.workerId, runs: worker.runs.size, reason,
			},
		});
	}

	for (const run of worker.runs.values()) {
		state.removeRun(run, nowMs);
	}
};

/** Deadline on the worker's clock that lasts one lease from now; `undefined` while its clock is unknown. */
export const deadlineClockMs = (worker: WorkerRecord, nowMs: number): number | undefined =>
	worker.clock === undefined ? undefined : Math.floor(worker.clock.clockMs + (nowMs - worker.clock.readAtMs) + taskLeaseMs);

/** Notes that a deadline was sent: until then things may run on the worker. */
export const noteLeaseSent = (worker: WorkerRecord, nowMs: number): void => {
	worker.leaseOverAtMs = Math.max(worker.leaseOverAtMs, nowMs + (taskLeaseMs * leaseStretch) + leaseMarginMs);
};

/** Whether the worker may be given work. */
export const isUsable = (worker: WorkerRecord, nowMs: number): boolean => worker.isListed
	&& !worker.isEnded
	&& !worker.entry.isDraining
	&& worker.isFenced
	&& !worker.isReserved
	&& worker.clock !== undefined
	&& worker.silentSinceMs === undefined
	&& nowMs >= worker.quarantinedUntilMs;

/** Gives up on what silent workers ran, and forgets workers that are gone. */
export const reviewWorkers = (state: SchedulerState, nowMs: number): void => {
	for (const [workerId, worker] of state.workers) {
		const isSilent = worker.silentSinceMs !== undefined && nowMs - worker.silentSinceMs >= silentWorkerMs;
		const isOver = nowMs >= worker.leaseOverAtMs;
		if (isOver && (isSilent || !worker.isListed)) {
			loseRuns(state, worker, nowMs, worker.isListed ? 'silent-past-lease' : 'unlisted-past-lease');
		}

		if (!worker.isListed && worker.runs.size === 0 && (isOver || state.term === undefined) && nowMs - (worker.unlistedAtMs ?? nowMs) > taskLeaseMs * 2) {
			state.workers.delete(workerId);
		}
	}
};

/** Whether no worker can still run something that an earlier holder started and this one has not seen. */
export const reviewSettled = (state: SchedulerState, nowMs: number): void => {
	if (state.term === undefined || state.isSettled) {
		return;
	}

	const earlierLeaseOverAtMs = state.term.wonAtMs + (taskLeaseMs * leaseStretch) + leaseMarginMs;
	const workers = [...state.workers.values()];
	const machinesKnown = state.machinesListedAtMs !== undefined && state.machinesListedAtMs >= state.term.wonAtMs;
	const unseen = [...state.machines.values()].filter(({entry}) => entry.workerId !== undefined && entry.state === 'up' && !state.workers.has(entry.workerId));
	const areAllSeen = workers.every(worker => worker.isFenced) && machinesKnown && unseen.every(({entry}) => state.configuration.pools.get(entry.pool)?.isStandby === true);
	if (areAllSeen || nowMs >= earlierLeaseOverAtMs) {
		state.isSettled = true;
		state.emit({
			type: 'note', fields: {
				event: 'takeover_settled', workers: workers.length, unanswered: workers.filter(worker => !worker.isFenced).length, afterMs: Math.round(nowMs - state.term.wonAtMs),
			},
		});
	}
};
