/**
Decides when progress is stored and which run ends workers may discard. A run end is acknowledged only after all progress processed up to it is stored, so that no lease holder ever restarts a finished task.
*/
import {progressOf} from './jobs.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Minimum interval between two saves. It groups run ends into one transaction and adds little to the time at which a job is shown as completed. */
const minSaveIntervalMs = 40;

/** Schedules the acknowledgement of processed run ends for when the next save is stored. */
export const prepareAcknowledgements = (state: SchedulerState): void => {
	const hasUnsaved = state.dirtyJobs.size > 0;
	for (const worker of state.workers.values()) {
		const sequence = resolvedSequence(worker);
		if (sequence <= worker.acknowledgedSequence || worker.pendingAcknowledgement?.sequence === sequence) {
			continue;
		}

		if (hasUnsaved || state.pendingSaveNumber !== undefined) {
			worker.pendingAcknowledgement = {sequence, saveNumber: state.saveCount + 1};
		} else {
			worker.acknowledgedSequence = sequence;
		}
	}
};

/** Returns the sequence number up to which all ends have been applied to their tasks. */
const resolvedSequence = ({unresolvedEnds: [first], processedSequence}: WorkerRecord): number => first === undefined ? processedSequence : first.entry.sequence - 1;

/** Emits a save if some progress is not stored yet. */
export const saveProgress = (state: SchedulerState, nowMs: number): void => {
	if (state.pendingSaveNumber !== undefined || nowMs - state.lastSaveAtMs < minSaveIntervalMs) {
		return;
	}

	const jobs = [...state.dirtyJobs];
	const waves = [...state.waves.values()].filter(wave => wave.isDirty);
	const isAcknowledgementPending = [...state.workers.values()].some(worker => worker.pendingAcknowledgement !== undefined);
	if (jobs.length === 0 && waves.length === 0 && !isAcknowledgementPending) {
		return;
	}

	state.saveCount++;
	state.lastSaveAtMs = nowMs;
	state.pendingSaveNumber = state.saveCount;
	state.pendingSaveJobs = jobs;
	state.pendingSaveWaves = waves;
	state.dirtyJobs.clear();
	for (const wave of waves) {
		wave.isDirty = false;
	}

	state.emit({
		type: 'save',
		fencingToken: state.term!.fencingToken,
		save: {
			saveNumber: state.saveCount,
			jobs: jobs.map(job => ({jobId: job.spec.jobId, progress: progressOf(job)})),
			waves: waves.map(wave => ({waveId: wave.order.waveId, maintained: [...wave.maintained], isCompleted: wave.state === 'completed'})),
		},
	});
};

/** Releases the acknowledgements that waited for the save. */
export const applySaved = (state: SchedulerState, saveNumber: number): void => {
	if (state.pendingSaveNumber !== saveNumber) {
		return;
	}

	state.pendingSaveNumber = undefined;
	state.pendingSaveJobs = [];
	state.pendingSaveWaves = [];
	state.storedSaveNumber = saveNumber;
	for (const worker of state.workers.values()) {
		const {pendingAcknowledgement} = worker;
		if (pendingAcknowledgement !== undefined && pendingAcknowledgement.saveNumber <= saveNumber) {
			worker.acknowledgedSequence = pendingAcknowledgement.sequence;
			worker.pendingAcknowledgement = undefined;
		}
	}
};
