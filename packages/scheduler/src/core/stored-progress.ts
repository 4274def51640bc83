/**
What is stored of a job's tasks: which of them are done, which attempts have failed, and their crash records. It only grows, so that what two processes have stored can be merged in any order.
*/
import {
	type CrashRecord, type JobProgress, type TaskEnds,
} from '../types.js';
import {mergeCrashRecords, noCrashRecord} from './crash-record.js';
import {mergeByKey, unionOf} from './merging.js';
import {type JobRecord, type StepInstance, type Task} from './records.js';

/** Key of a step in stored progress. */
export const storedStepKey = (occurrence: number, stepIndex: number): string => `${occurrence}.${stepIndex}`;

/** Key of a task in stored progress. */
export const storedTaskKey = (occurrence: number, stepIndex: number, index: number): string => `${storedStepKey(occurrence, stepIndex)}.${index}`;

/** Returns the steps of all occurrences created so far. */
export const stepsOf = (job: JobRecord): readonly StepInstance[] => [...job.occurrences.values()].flat();

/** Returns the job's progress in the form that is stored. */
export const progressOf = (job: JobRecord): JobProgress => {
	const doneTasks: Record<string, readonly number[]> = {...job.storedDoneTasks};
	const failures: Record<string, readonly number[]> = {...job.storedFailures};
	const crashRecords = {...job.storedCrashRecords};
	for (const step of stepsOf(job)) {
		const stepKey = storedStepKey(step.occurrence, step.stepIndex);
		const done = step.tasks.filter(task => task.phase === 'done').map(task => task.index);
		if (done.length > 0) {
			doneTasks[stepKey] = done;
		}

		for (const task of step.tasks) {
			if (task.failedAttempts.size > 0) {
				failures[storedTaskKey(step.occurrence, step.stepIndex, task.index)] = [...task.failedAttempts];
			}

			if (task.crashRecord !== noCrashRecord) {
				crashRecords[storedTaskKey(step.occurrence, step.stepIndex, task.index)] = task.crashRecord;
			}
		}
	}

	return {
		outcome: job.outcome, endedWallMs: job.endedWallMs, hasBegun: job.hasBegun, doneTasks, failures, crashRecords,
	};
};

const applyCrashRecord = (task: Task, stored: CrashRecord | undefined): void => {
	if (stored === undefined) {
		return;
	}

	task.crashRecord = mergeCrashRecords(task.crashRecord, stored);
	if (task.crashRecord.isGivenUp && task.phase === 'waiting') {
		task.phase = 'given-up';
	}
};

type TaskRecords = Pick<JobProgress, 'doneTasks' | 'failures' | 'crashRecords'>;

export const mergeEnds = (a: TaskEnds, b: TaskEnds): TaskEnds => ({
	doneTasks: mergeByKey(a.doneTasks, b.doneTasks, unionOf),
	failures: mergeByKey(a.failures, b.failures, unionOf),
});

const mergeTaskRecords = (a: TaskRecords, b: TaskRecords): TaskRecords => ({
	...mergeEnds(a, b),
	crashRecords: mergeByKey(a.crashRecords, b.crashRecords, mergeCrashRecords),
});

export const mergeProgress = (a: JobProgress, b: JobProgress): JobProgress => ({
	outcome: a.outcome ?? b.outcome,
	endedWallMs: b.endedWallMs ?? a.endedWallMs,
	hasBegun: a.hasBegun || b.hasBegun,
	...mergeTaskRecords(a, b),
});

export const storedTaskRecords = ({storedDoneTasks, storedFailures, storedCrashRecords}: JobRecord): TaskRecords => ({doneTasks: storedDoneTasks, failures: storedFailures, crashRecords: storedCrashRecords});

/** Applies what is stored of the job's tasks. */
export const applyTaskRecords = (job: JobRecord, progress: TaskRecords): void => {
	const stored = mergeTaskRecords(storedTaskRecords(job), progress);
	job.storedDoneTasks = stored.doneTasks;
	job.storedFailures = stored.failures;
	job.storedCrashRecords = stored.crashRecords;
	const hasTaskRecords = Object.keys(progress.failures).length > 0 || Object.keys(progress.crashRecords).length > 0;
	for (const step of stepsOf(job)) {
		for (const index of progress.doneTasks[storedStepKey(step.occurrence, step.stepIndex)] ?? []) {
			const task = step.tasks[index];
			if (task !== undefined && task.phase !== 'done') {
				task.phase = 'done';
				step.doneCount++;
			}
		}

		// Most rows are the lease holder's own saves, read back several hundred times a second, and few of them have such records.
		for (const task of hasTaskRecords ? step.tasks : []) {
			const storedKey = storedTaskKey(step.occurrence, step.stepIndex, task.index);
			for (const attempt of progress.failures[storedKey] ?? []) {
				task.failedAttempts.add(attempt);
			}

			applyCrashRecord(task, progress.crashRecords[storedKey]);
		}
	}
};

export const noTaskRecords: TaskRecords = {doneTasks: {}, failures: {}, crashRecords: {}};

/** Returns the ends as they count for the job, which the process that recorded them need not have known: when one member of a gang ends, all its members are done, and a lasting task is never done. */
export const effectiveEnds = ({spec: {steps}}: JobRecord, {doneTasks, failures}: TaskEnds): TaskEnds => {
	const stepOf = (key: string) => steps[Number(key.split('.')[1])];
	const done = Object.entries(doneTasks).flatMap(([stepKey, indexes]) => {
		const step = stepOf(stepKey);
		if (step === undefined || step.isLasting) {
			return [];
		}

		return [[stepKey, step.isGang ? Array.from({length: step.taskCount}, (_value, index) => index) : indexes] as const];
	});
	const failed = Object.entries(failures).filter(([taskKey]) => stepOf(taskKey)?.isLasting === false);
	return {doneTasks: Object.fromEntries(done), failures: Object.fromEntries(failed)};
};

/** Keeps ends for tasks that are created later. */
export const keepForDueTasks = (job: JobRecord, ends: TaskEnds): void => {
	applyTaskRecords(job, {...noTaskRecords, ...effectiveEnds(job, ends)});
};
