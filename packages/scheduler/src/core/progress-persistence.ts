/**
Decides when progress is stored and which run ends workers may discard. A run end is acknowledged only after all progress processed up to it is stored, so that no lease holder ever restarts a finished task. Progress that the store refuses is saved again from time to time; until it is stored, the ends of its job, and later ones on the same workers, are not acknowledged.
*/
import {maxLoggedRuns, refusedSaveRetryMs} from '../constants.js';
import {type LeaseLossReason, type SchedulerEvent} from './events.js';
import {progressOf} from './stored-progress.js';
import {type JobRecord, type WaveRecord, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Minimum interval between two saves. It groups run ends into one transaction and adds little to the time at which a job is shown as completed. */
const minSaveIntervalMs = 40;

/** Returns false while the store has refused the job or wave too recently. */
const isSaveDue = (state: SchedulerState, record: JobRecord | WaveRecord, nowMs: number): boolean =>
	(state.refusedUntilMs.get(record) ?? Number.NEGATIVE_INFINITY) <= nowMs;

/** Returns true if progress of a job is to be saved that the store has not refused too recently. */
const hasUnsavedJobs = (state: SchedulerState, nowMs: number): boolean =>
	state.refusedUntilMs.size === 0 ? state.dirtyJobs.size > 0 : [...state.dirtyJobs].some(job => isSaveDue(state, job, nowMs));

/** Schedules the acknowledgement of processed run ends for when the next save is stored. */
const prepareAcknowledgements = (state: SchedulerState, nowMs: number): void => {
	forgetObsoleteRefusals(state);
	const hasUnsaved = hasUnsavedJobs(state, nowMs);
	const acknowledged: WorkerRecord[] = [];
	for (const worker of state.workers.values()) {
		const {acknowledgedSequence, pendingAcknowledgement} = worker;
		const sequence = Math.min(resolvedSequence(worker), storedSequence(state, worker));
		// An acknowledgement that the save under way releases is kept: later ends wait for the next save.
		const isBeingSaved = pendingAcknowledgement !== undefined && pendingAcknowledgement.saveNumber === state.pendingSaveNumber;
		if (isBeingSaved || sequence <= acknowledgedSequence || pendingAcknowledgement?.sequence === sequence) {
			continue;
		}

		if (hasUnsaved || state.pendingSaveNumber !== undefined) {
			worker.pendingAcknowledgement = {sequence, saveNumber: state.saveCount + 1};
		} else {
			acknowledge(worker, sequence);
			acknowledged.push(worker);
		}
	}

	logAcknowledged(state, acknowledged, state.storedSaveNumber);
};

/** Jobs that are removed, or whose outcome another process has stored, are not saved again. */
const forgetObsoleteRefusals = (state: SchedulerState): void => {
	for (const record of state.refusedUntilMs.keys()) {
		if ('spec' in record && (record.isOutcomeStored || state.jobs.get(record.spec.jobId) !== record)) {
			state.refusedUntilMs.delete(record);
		}
	}
};

/** Returns the sequence number before the first end whose job the store has refused. */
const storedSequence = (state: SchedulerState, worker: WorkerRecord): number => {
	let sequence = Number.POSITIVE_INFINITY;
	for (const end of state.refusedUntilMs.size === 0 ? [] : worker.unacknowledgedEnds) {
		if (state.refusedUntilMs.has(end.job)) {
			sequence = Math.min(sequence, end.sequence - 1);
		}
	}

	return sequence;
};

const acknowledge = (worker: WorkerRecord, sequence: number): void => {
	worker.acknowledgedSequence = sequence;
	worker.unacknowledgedEnds = worker.unacknowledgedEnds.filter(end => end.sequence > sequence);
};

/** Returns the time since the report that listed it for each end of a known job up to the sequence number. */
const agesOfEnds = ({unacknowledgedEnds}: WorkerRecord, sequence: number, nowMs: number): readonly number[] =>
	unacknowledgedEnds.filter(end => end.sequence <= sequence).map(({reportedAtMs}) => nowMs - reportedAtMs);

/** Number of ends that the worker has listed and whose progress is not stored. */
export const unstoredEnds = ({processedSequence, acknowledgedSequence}: WorkerRecord): number => processedSequence - acknowledgedSequence;

/** Logs what this term has read and not stored as it ends: the next holder knows of it only as long as the workers list it. */
export const logUnstoredEnds = (state: SchedulerState, nowMs: number, reason: LeaseLossReason): void => {
	if (state.term === undefined) {
		return;
	}

	const workers = [...state.workers.values()].filter(worker => unstoredEnds(worker) > 0);
	const reportedAtMs = workers.flatMap(worker => [...worker.unacknowledgedEnds, ...worker.unresolvedEnds].map(end => end.reportedAtMs));
	state.emit({
		type: 'log', fields: {
			event: 'term_ended', reason, orders: 'stopped', fencingToken: state.term.fencingToken, termMs: Math.round(nowMs - state.term.wonAtMs), isSettled: state.isSettled, unstoredEnds: workers.reduce((sum, worker) => sum + unstoredEnds(worker), 0), oldestMs: reportedAtMs.length === 0 ? undefined : Math.round(nowMs - Math.min(...reportedAtMs)), pendingSave: state.pendingSaveNumber, workers: workers.slice(0, maxLoggedRuns).map(worker => `${worker.entry.workerId}:${worker.acknowledgedSequence}-${worker.processedSequence}`).join(','),
		},
	});
};

/** Names the workers and the ends up to which they may discard them, and the last save that was stored before. */
const logAcknowledged = (state: SchedulerState, workers: readonly WorkerRecord[], saveNumber: number): void => {
	if (workers.length > 0) {
		state.emit({
			type: 'log', fields: {
				event: 'ends_acknowledged', saveNumber, fencingToken: state.term?.fencingToken, count: workers.length, workers: workers.slice(0, maxLoggedRuns).map(({entry: {workerId}, acknowledgedSequence}) => `${workerId}:${acknowledgedSequence}`).join(','),
			},
		});
	}
};

/** Returns the sequence number up to which all ends have been applied to their tasks. */
const resolvedSequence = ({unresolvedEnds: [first], processedSequence}: WorkerRecord): number => first === undefined ? processedSequence : first.entry.sequence - 1;

/** Returns true if a save can begin: none is under way, and the interval since the last one is over or the lease is about to be released. */
const maySave = (state: SchedulerState, nowMs: number): boolean =>
	state.pendingSaveNumber === undefined && (state.isHandingOver || nowMs - state.lastSaveAtMs >= minSaveIntervalMs);

/** Stores progress, and prepares the acknowledgement of the ends that it rests on. */
export const storeProgress = (state: SchedulerState, nowMs: number): void => {
	prepareAcknowledgements(state, nowMs);
	saveProgress(state, nowMs);
};

/** Stores ends without waiting for the next round: at once, or when the interval since the last save is over. While nothing but this process and their worker knows of them, the loss of both has their tasks run again. */
export const storeReportedEnds = (state: SchedulerState, nowMs: number): void => {
	if (state.term === undefined || state.pendingSaveNumber !== undefined || !hasUnsavedJobs(state, nowMs)) {
		return;
	}

	if (maySave(state, nowMs)) {
		storeProgress(state, nowMs);
	} else if (!state.isSaveScheduled) {
		state.isSaveScheduled = true;
		state.emit({type: 'scheduleSave', fencingToken: state.term.fencingToken, delayMs: minSaveIntervalMs - (nowMs - state.lastSaveAtMs)});
	}
};

/** Returns true if everything that this process has read of its term is stored, or cannot be for now. Ends of jobs that are not read yet are not stored. */
export const isProgressStored = (state: SchedulerState, nowMs: number): boolean =>
	state.pendingSaveNumber === undefined
	&& !hasUnsavedJobs(state, nowMs)
	&& ![...state.waves.values()].some(wave => wave.isDirty && isSaveDue(state, wave, nowMs))
	&& state.endsOfEarlierIncarnations.length === 0
	&& ![...state.workers.values()].some(({unresolvedEnds}) => unresolvedEnds.length > 0);

/** Emits a save if some progress is not stored yet. */
const saveProgress = (state: SchedulerState, nowMs: number): void => {
	if (!maySave(state, nowMs)) {
		return;
	}

	const jobs = [...state.dirtyJobs].filter(job => isSaveDue(state, job, nowMs));
	const waves = [...state.waves.values()].filter(wave => wave.isDirty && isSaveDue(state, wave, nowMs));
	const isAcknowledgementPending = [...state.workers.values()].some(worker => worker.pendingAcknowledgement !== undefined);
	if (jobs.length === 0 && waves.length === 0 && !isAcknowledgementPending) {
		return;
	}

	state.saveCount++;
	state.lastSaveAtMs = nowMs;
	state.pendingSaveNumber = state.saveCount;
	state.pendingSaveJobs = jobs;
	state.pendingSaveWaves = waves;
	for (const job of jobs) {
		state.dirtyJobs.delete(job);
	}

	for (const wave of waves) {
		wave.isDirty = false;
	}

	state.emit({
		type: 'save',
		fencingToken: state.term!.fencingToken,
		save: {
			saveNumber: state.saveCount,
			jobs: jobs.map(job => ({jobId: job.spec.jobId, progress: progressOf(job), isRetry: state.refusedUntilMs.has(job)})),
			waves: waves.map(wave => ({
				waveId: wave.order.waveId, maintained: [...wave.maintained], isCompleted: wave.state === 'completed', isRetry: state.refusedUntilMs.has(wave),
			})),
		},
	});
};

type SavedEvent = Extract<SchedulerEvent, {readonly type: 'saved'}>;

/** Keeps what the store refused as unsaved, to be saved again later. */
const keepRefused = (state: SchedulerState, {refusedJobIds = [], refusedWaveIds = [], nowMs}: SavedEvent): void => {
	const refusedJobs = new Set(refusedJobIds);
	for (const job of state.pendingSaveJobs) {
		state.refusedUntilMs.delete(job);
		if (refusedJobs.has(job.spec.jobId)) {
			state.refusedUntilMs.set(job, nowMs + refusedSaveRetryMs);
			state.dirtyJobs.add(job);
		}
	}

	const refusedWaves = new Set(refusedWaveIds);
	for (const wave of state.pendingSaveWaves) {
		state.refusedUntilMs.delete(wave);
		if (refusedWaves.has(wave.order.waveId)) {
			state.refusedUntilMs.set(wave, nowMs + refusedSaveRetryMs);
			wave.isDirty = true;
		}
	}
};

/** Releases the acknowledgements that waited for the save, up to the ends of jobs that it did not store. */
export const applySaved = (state: SchedulerState, event: SavedEvent): void => {
	const {saveNumber} = event;
	if (state.pendingSaveNumber !== saveNumber) {
		return;
	}

	keepRefused(state, event);
	forgetObsoleteRefusals(state);
	state.pendingSaveNumber = undefined;
	state.pendingSaveJobs = [];
	state.pendingSaveWaves = [];
	state.storedSaveNumber = saveNumber;
	const acknowledged: WorkerRecord[] = [];
	const agesMs: number[] = [];
	for (const worker of state.workers.values()) {
		const {pendingAcknowledgement} = worker;
		if (pendingAcknowledgement !== undefined && pendingAcknowledgement.saveNumber <= saveNumber) {
			const sequence = Math.min(pendingAcknowledgement.sequence, storedSequence(state, worker));
			worker.pendingAcknowledgement = undefined;
			if (sequence > worker.acknowledgedSequence) {
				agesMs.push(...agesOfEnds(worker, sequence, event.nowMs));
				acknowledge(worker, sequence);
				acknowledged.push(worker);
			}
		}
	}

	logAcknowledged(state, acknowledged, saveNumber);
	if (agesMs.length > 0) {
		state.emit({type: 'endsStored', agesMs});
	}
};
