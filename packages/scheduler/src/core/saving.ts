/**
Decides when progress is stored and which ends workers may forget. An end is acknowledged only after everything that was learnt with it is stored, so that no holder ever starts a finished task again.
*/
import {progressOf} from './jobs.js';
import {type SchedulerState} from './scheduler-state.js';

/** Pause between two saves: groups what ends within it into one transaction and adds little to the time at which a job is shown as completed. */
const savePauseMs = 40;

/** Ends that a worker has listed are acknowledged once the next save is stored. */
export const noteProcessedEnds = (state: SchedulerState): void => {
	const hasUnsaved = [...state.jobs.values()].some(job => job.isDirty);
	for (const worker of state.workers.values()) {
		if (worker.processedSequence <= worker.acknowledgedSequence || worker.pendingAcknowledgement?.sequence === worker.processedSequence) {
			continue;
		}

		if (hasUnsaved || state.saveUnderWay !== undefined) {
			worker.pendingAcknowledgement = {sequence: worker.processedSequence, saveNumber: state.saveCount + 1};
		} else {
			worker.acknowledgedSequence = worker.processedSequence;
		}
	}
};

/** Asks for a save where something is not stored yet. */
export const saveProgress = (state: SchedulerState, nowMs: number): void => {
	if (state.saveUnderWay !== undefined || nowMs - state.lastSaveAtMs < savePauseMs) {
		return;
	}

	const jobs = [...state.jobs.values()].filter(job => job.isDirty);
	const waves = [...state.waves.values()].filter(wave => wave.isDirty);
	const isAwaited = [...state.workers.values()].some(worker => worker.pendingAcknowledgement !== undefined);
	if (jobs.length === 0 && waves.length === 0 && !isAwaited) {
		return;
	}

	state.saveCount++;
	state.lastSaveAtMs = nowMs;
	state.saveUnderWay = state.saveCount;
	for (const job of jobs) {
		job.isDirty = false;
	}

	for (const wave of waves) {
		wave.isDirty = false;
	}

	state.emit({
		type: 'save',
		save: {
			saveNumber: state.saveCount,
			jobs: jobs.map(job => ({jobId: job.spec.jobId, progress: progressOf(job)})),
			waves: waves.map(wave => ({waveId: wave.order.waveId, maintained: [...wave.maintained], isCompleted: wave.state === 'completed'})),
		},
	});
};

/** A save is stored: the ends that waited for it may be forgotten. */
export const applySaved = (state: SchedulerState, saveNumber: number): void => {
	if (state.saveUnderWay !== saveNumber) {
		return;
	}

	state.saveUnderWay = undefined;
	for (const worker of state.workers.values()) {
		const {pendingAcknowledgement} = worker;
		if (pendingAcknowledgement !== undefined && pendingAcknowledgement.saveNumber <= saveNumber) {
			worker.acknowledgedSequence = pendingAcknowledgement.sequence;
			worker.pendingAcknowledgement = undefined;
		}
	}
};
