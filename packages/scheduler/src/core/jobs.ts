/**
Job lifecycle: a job is accepted, becomes due, makes progress and ends. Progress is stored as sets that only grow, so that what two lease holders have stored can be merged in any order.
*/
import {assertNever} from '@poplarnotch/common';
import {maxLoggedRuns, stopRetryMs} from '../constants.js';
import {
	type JobOutcome, type JobProgress, type JobSpec, type TaskEnds,
} from '../types.js';
import {noCrashRecord} from './crash-record.js';
import {type JobChange} from './events.js';
import {orderTokenFor} from './order-tokens.js';
import {
	type JobRecord, type TaskRun, type StepInstance, type Task,
} from './records.js';
import {isStepReady, type SchedulerState} from './scheduler-state.js';
import {
	applyTaskRecords, effectiveEnds, mergeProgress, noTaskRecords, stepsOf, storedStepKey, storedTaskKey, storedTaskRecords,
} from './stored-progress.js';

/** Monotonic time and wall-clock time of one moment. */
export type CurrentTime = {readonly nowMs: number; readonly wallMs: number};

/** Returns the duration of the longest chain of steps. A step refers to earlier ones by their indexes. */
export const longestChainMs = (steps: ReadonlyArray<{readonly after: readonly number[]; readonly durationMs: number}>): number => {
	const finishMs: number[] = [];
	let longestMs = 0;
	for (const {after, durationMs} of steps) {
		let startMs = 0;
		for (const index of after) {
			startMs = Math.max(startMs, finishMs[index] ?? 0);
		}

		finishMs.push(startMs + durationMs);
		longestMs = Math.max(longestMs, startMs + durationMs);
	}

	return longestMs;
};

/** Longest time for which a gate tries to store a job, which bounds the age of a job that arrives while this process schedules. */
const maxAcceptanceMs = 3000;

/** Returns when the job was submitted. The age of a job that arrives during the term is bounded, so that a process whose wall clock is slow does not make all its jobs look late; jobs of earlier terms can be of any age. */
const submissionTimeMs = (state: SchedulerState, spec: JobSpec, {nowMs, wallMs}: CurrentTime): number => {
	const ageMs = Math.max(0, wallMs - spec.acceptedWallMs);
	return nowMs - (state.term === undefined ? ageMs : Math.min(ageMs, maxAcceptanceMs));
};

const newJob = (spec: JobSpec, submittedAtMs: number, nowMs: number): JobRecord => ({
	spec,
	rowKeys: new Set(),
	cancelKeys: new Set(),
	endsKeys: new Set(),
	firstSeenAtMs: nowMs,
	storedVersion: Number.POSITIVE_INFINITY,
	submittedAtMs,
	wholeChainMs: longestChainMs(spec.steps.map(({after, estimateMs}) => ({after, durationMs: estimateMs}))),
	occurrences: new Map(),
	outcome: undefined,
	endedWallMs: undefined,
	isCancelRequested: false,
	exceedsShare: false,
	hasBegun: false,
	isOutcomeStored: false,
	progressVersion: 0,
	storedDoneTasks: {},
	storedFailures: {},
	storedCrashRecords: {},
});

const createStepInstance = (job: JobRecord, occurrence: number, stepIndex: number, nowMs: number): StepInstance => {
	const spec = job.spec.steps[stepIndex]!;
	const tasks: Task[] = [];
	const step: StepInstance = {
		job, occurrence, stepIndex, spec, tasks, doneCount: 0, advice: new Map(), adviceRequestedAtMs: undefined, nextAdviceRequestAtMs: 0, measuredCount: 0, longestRunMs: 0,
	};
	const done = new Set((job.storedDoneTasks[storedStepKey(occurrence, stepIndex)] ?? []).filter(index => index < spec.taskCount));
	for (let index = 0; index < spec.taskCount; index++) {
		const storedKey = storedTaskKey(occurrence, stepIndex, index);
		const failures = job.storedFailures[storedKey] ?? [];
		const crashRecord = job.storedCrashRecords[storedKey] ?? noCrashRecord;
		const phase = crashRecord.isGivenUp ? 'given-up' : 'waiting';
		tasks.push({
			key: `${job.spec.jobId}.${occurrence}.${stepIndex}.${index}`,
			step,
			index,
			phase: done.has(index) ? 'done' : phase,
			run: undefined,
			checkpoint: '',
			failedAttempts: new Set(failures),
			crashRecord,
			suspicions: [],
			lastAttempt: 0,
			avoidedWorkerId: undefined,
			waitingSinceMs: nowMs,
		});
	}

	step.doneCount = done.size;
	return step;
};

/** Returns how many times the job's steps run in total. */
export const occurrenceCount = (spec: JobSpec): number => Math.max(1, spec.recurrence.count);

/** Creates the steps and tasks of occurrences that have become due. */
export const createDueOccurrences = (job: JobRecord, {nowMs, wallMs}: CurrentTime): void => {
	const {recurrence, steps} = job.spec;
	for (let occurrence = job.occurrences.size; occurrence < occurrenceCount(job.spec); occurrence++) {
		const dueWallMs = recurrence.firstDueWallMs + (occurrence * recurrence.periodMs);
		if (recurrence.count > 0 && wallMs < dueWallMs) {
			return;
		}

		job.occurrences.set(occurrence, steps.map((_step, index) => createStepInstance(job, occurrence, index, nowMs)));
	}
};

/** Orders the worker to stop a run. */
export const orderStop = (state: SchedulerState, run: TaskRun, nowMs: number, reason: string): void => {
	const {term} = state;
	if (term === undefined) {
		return;
	}

	if (run.phase !== 'unconfirmed') {
		run.phase = 'stopping';
	}

	run.stopOrderedAtMs = nowMs;
	state.emit({
		type: 'stop', workerId: run.worker.entry.workerId, taskKey: run.taskKey, attempt: run.attempt, fencingToken: term.fencingToken, orderToken: orderTokenFor(state, run.worker), reason, percent: run.percent,
	});
};

/** Returns true if the run was ordered to stop, and so long ago that the order may be repeated. */
export const isStopOverdue = ({stopOrderedAtMs}: TaskRun, nowMs: number): boolean => stopOrderedAtMs !== undefined && nowMs - stopOrderedAtMs >= stopRetryMs;

/** Ends a job: none of its tasks starts any more, and its runs are stopped. */
export const endJob = (state: SchedulerState, job: JobRecord, outcome: JobOutcome, {nowMs, wallMs}: CurrentTime): void => {
	if (job.outcome !== undefined) {
		return;
	}

	job.outcome = outcome;
	job.endedWallMs = wallMs;
	state.openJobs.delete(job);
	state.dirtyJobs.add(job);
	// Only the lease holder logs the end, so that it is logged once; the other processes read it from the stored rows.
	if (state.term !== undefined) {
		logJobEnd(state, job, outcome, nowMs);
	}

	for (const step of stepsOf(job)) {
		for (const {run} of step.tasks) {
			if (run !== undefined && run.phase !== 'stopping') {
				orderStop(state, run, nowMs, outcome);
			}
		}
	}
};

const logJobEnd = (state: SchedulerState, job: JobRecord, outcome: JobOutcome, nowMs: number): void => {
	state.emit({
		type: 'log', fields: {
			event: 'job_ended', jobId: job.spec.jobId, queue: job.spec.queue, outcome, ageMs: Math.round(nowMs - job.firstSeenAtMs),
		},
	});
};

/** Marks a task as done. When one member of a gang ends, all its members are done. */
export const finishTask = (state: SchedulerState, task: Task, now: CurrentTime): void => {
	const members = task.step.spec.isGang ? task.step.tasks : [task];
	for (const member of members) {
		if (member.phase !== 'done') {
			member.phase = 'done';
			task.step.doneCount++;
		}
	}

	const {job} = task.step;
	state.dirtyJobs.add(job);
	if (!task.step.spec.isLasting && isJobDone(job)) {
		endJob(state, job, 'completed', now);
	}
};

const isJobDone = (job: JobRecord): boolean => job.occurrences.size === occurrenceCount(job.spec)
	&& stepsOf(job).every(step => step.doneCount === step.tasks.length);

/** Records a failed attempt. The job fails once one of its tasks has used up its attempts. */
export const failTask = (state: SchedulerState, task: Task, attempt: number, now: CurrentTime): void => {
	const {job} = task.step;
	if (task.step.spec.isLasting || task.phase === 'done' || task.failedAttempts.has(attempt)) {
		return;
	}

	task.failedAttempts.add(attempt);
	state.dirtyJobs.add(job);
	if (task.failedAttempts.size >= maxAttemptsOf(state, job)) {
		endJob(state, job, 'failed', now);
	}
};

export const maxAttemptsOf = (state: SchedulerState, job: JobRecord): number => state.queueOf(job)?.maxAttempts ?? Number.POSITIVE_INFINITY;

const applyProgress = (state: SchedulerState, job: JobRecord, progress: JobProgress, now: CurrentTime): void => {
	job.hasBegun ||= progress.hasBegun;
	applyTaskRecords(job, progress);
	if (progress.outcome !== undefined) {
		endJob(state, job, progress.outcome, now);
		job.endedWallMs = progress.endedWallMs ?? job.endedWallMs;
		job.isOutcomeStored = true;
		state.dirtyJobs.delete(job);
	}
};

const totalWeight = (state: SchedulerState): number =>
	[...state.configuration.customers.values()].reduce((sum, {weight}) => sum + weight, 0);

/** Records whether the job exceeds its customer's share. Lasting jobs are exempt because they are few and long-lived, and so are jobs without a customer, which have no share. */
const recordShare = (state: SchedulerState, job: JobRecord, {nowMs, wallMs}: CurrentTime): void => {
	const customer = state.configuration.customers.get(job.spec.customer);
	if (customer !== undefined && !job.spec.steps.some(step => step.isLasting)) {
		const acceptedAtMs = nowMs - Math.max(0, wallMs - job.spec.acceptedWallMs);
		job.exceedsShare = !state.shares.recordJob({customer: customer.name, share: customer.weight / totalWeight(state)}, acceptedAtMs);
	}
};

const applyChange = (state: SchedulerState, change: JobChange, now: CurrentTime): void => {
	if (change.type === 'accepted') {
		let accepted = state.jobs.get(change.job.jobId);
		if (accepted === undefined) {
			accepted = newJob(change.job, submissionTimeMs(state, change.job, now), now.nowMs);
			state.jobs.set(change.job.jobId, accepted);
			state.openJobs.add(accepted);
			recordShare(state, accepted, now);
			attachRows(state, accepted, now);
		}

		accepted.rowKeys.add(change.rowKey);
		accepted.storedVersion = Math.min(accepted.storedVersion, change.version);
		return;
	}

	const job = state.jobs.get(change.jobId);
	if (job === undefined) {
		applyDetachedChange(state, change, now.nowMs);
		return;
	}

	switch (change.type) {
		case 'progressed': {
			applyProgress(state, job, change.progress, now);
			job.progressVersion = Math.max(job.progressVersion, change.version);
			break;
		}

		case 'cancelled': {
			job.isCancelRequested = true;
			job.cancelKeys.add(change.rowKey);
			break;
		}

		case 'endsRecorded': {
			job.endsKeys.add(change.rowKey);
			applyRecordedEnds(state, job, change.ends);
			break;
		}

		case 'removed': {
			applyRemoval(state, job, change, now.nowMs);
			break;
		}

		default: {
			assertNever(change);
		}
	}
};

/** Applies ends that another process, or an earlier term, has read. A task that was started again meanwhile ran twice. */
const applyRecordedEnds = (state: SchedulerState, job: JobRecord, recorded: TaskEnds): void => {
	const ends = effectiveEnds(job, recorded);
	const startedAgain = stepsOf(job).flatMap(({occurrence, stepIndex, tasks}) => (ends.doneTasks[storedStepKey(occurrence, stepIndex)] ?? [])
		.flatMap(index => tasks[index]?.phase === 'placed' ? [tasks[index].key] : []));
	job.hasBegun = true;
	applyTaskRecords(job, {...noTaskRecords, ...ends});
	if (startedAgain.length > 0) {
		state.emit({
			type: 'log', level: 'warn', fields: {
				event: 'started_after_recorded_end', jobId: job.spec.jobId, count: startedAgain.length, tasks: startedAgain.slice(0, maxLoggedRuns).join(','), fencingToken: state.term?.fencingToken,
			},
		});
	}
};

type RemovedRow = Extract<JobChange, {readonly type: 'removed'}>;

/** Forgets that a row of a known job is stored. What was read from it stays in force while the job is known. */
const applyRemoval = (state: SchedulerState, job: JobRecord, {jobId, row, rowKey}: RemovedRow, nowMs: number): void => {
	switch (row) {
		case 'specification': {
			job.rowKeys.delete(rowKey);
			if (job.rowKeys.size === 0) {
				state.jobs.delete(jobId);
				state.openJobs.delete(job);
				state.dirtyJobs.delete(job);
				detachRows(state, job, nowMs);
			}

			break;
		}

		case 'progress': {
			job.progressVersion = 0;
			break;
		}

		case 'cancellation': {
			job.cancelKeys.delete(rowKey);
			break;
		}

		case 'ends': {
			job.endsKeys.delete(rowKey);
			break;
		}

		default: {
			assertNever(row);
		}
	}
};

/** Keeps what is still stored of a job whose specification was removed. */
const detachRows = (state: SchedulerState, job: JobRecord, nowMs: number): void => {
	const {progressVersion, cancelKeys, endsKeys} = job;
	if (progressVersion === 0 && cancelKeys.size === 0 && endsKeys.size === 0) {
		return;
	}

	const progress: JobProgress = {
		outcome: job.isOutcomeStored ? job.outcome : undefined, endedWallMs: job.endedWallMs, hasBegun: job.hasBegun, ...storedTaskRecords(job),
	};
	state.detachedRows.set(job.spec.jobId, {
		progress: progressVersion === 0 && endsKeys.size === 0 ? undefined : progress, progressVersion, cancelKeys, endsKeys, sinceMs: nowMs,
	});
};

/** Applies the rows of the job that were read before its specification. */
const attachRows = (state: SchedulerState, job: JobRecord, now: CurrentTime): void => {
	const rows = state.detachedRows.get(job.spec.jobId);
	if (rows === undefined) {
		return;
	}

	state.detachedRows.delete(job.spec.jobId);
	for (const key of rows.cancelKeys) {
		job.cancelKeys.add(key);
		job.isCancelRequested = true;
	}

	for (const key of rows.endsKeys) {
		job.endsKeys.add(key);
	}

	job.progressVersion = rows.progressVersion;
	if (rows.progress !== undefined) {
		applyProgress(state, job, {...rows.progress, ...effectiveEnds(job, rows.progress)}, now);
	}
};

/** Applies a change to a row of a job whose specification is not known. */
const applyDetachedChange = (state: SchedulerState, change: Exclude<JobChange, {readonly type: 'accepted'}>, nowMs: number): void => {
	const rows = state.detachedRows.get(change.jobId) ?? {
		progress: undefined, progressVersion: 0, cancelKeys: new Set(), endsKeys: new Set(), sinceMs: nowMs,
	};
	switch (change.type) {
		case 'progressed': {
			rows.progress = rows.progress === undefined ? change.progress : mergeProgress(rows.progress, change.progress);
			rows.progressVersion = Math.max(rows.progressVersion, change.version);
			break;
		}

		case 'cancelled': {
			rows.cancelKeys.add(change.rowKey);
			break;
		}

		case 'endsRecorded': {
			const recorded: JobProgress = {
				outcome: undefined, endedWallMs: undefined, hasBegun: true, ...noTaskRecords, ...change.ends,
			};
			rows.progress = rows.progress === undefined ? recorded : mergeProgress(rows.progress, recorded);
			rows.endsKeys.add(change.rowKey);
			break;
		}

		case 'removed': {
			rows.progressVersion = change.row === 'progress' ? 0 : rows.progressVersion;
			rows.cancelKeys.delete(change.rowKey);
			rows.endsKeys.delete(change.rowKey);
			if (rows.progressVersion === 0 && rows.endsKeys.size === 0) {
				rows.progress = undefined;
			}

			break;
		}

		default: {
			assertNever(change);
		}
	}

	if (rows.progress === undefined && rows.cancelKeys.size === 0 && rows.endsKeys.size === 0) {
		state.detachedRows.delete(change.jobId);
	} else {
		state.detachedRows.set(change.jobId, rows);
	}
};

/** Records the job's demand on its pool. Lasting and scheduled jobs are left out, since they do not arrive in bursts. */
const recordDemand = (state: SchedulerState, job: JobSpec, {nowMs, wallMs}: CurrentTime): void => {
	const pool = state.queueOf(job)?.pool;
	if (pool === undefined || job.recurrence.count > 0 || job.steps.some(step => step.isLasting)) {
		return;
	}

	const millicoreMs = job.steps.reduce((sum, step) => sum + (step.taskCount * step.needs.cpuMillicores * step.estimateMs), 0);
	state.demand.recordArrival({pool, millicoreMs, atMs: nowMs - Math.max(0, wallMs - job.acceptedWallMs)});
};

/** Leaves out the rows that a later change of the batch removes. */
const withoutRemovedRows = (changes: readonly JobChange[]): readonly JobChange[] => {
	const removedAt = new Map<string, number>();
	for (const [index, change] of changes.entries()) {
		if (change.type === 'removed') {
			removedAt.set(change.rowKey, index);
		}
	}

	return removedAt.size === 0 ? changes : changes.filter((change, index) => change.type === 'removed' || index > (removedAt.get(change.rowKey) ?? -1));
};

/** Applies changes to job rows: the removals, then the specifications by the time of acceptance, then what belongs to them. A row that is stored again after its removal is the newer one. */
export const applyJobChanges = (state: SchedulerState, batch: readonly JobChange[], now: CurrentTime): void => {
	const changes = withoutRemovedRows(batch);
	for (const change of changes.filter(({type}) => type === 'removed')) {
		applyChange(state, change, now);
	}

	const accepted = changes.filter(change => change.type === 'accepted')
		.toSorted((a, b) => a.job.acceptedWallMs - b.job.acceptedWallMs);
	for (const change of accepted) {
		if (!state.jobs.has(change.job.jobId)) {
			recordDemand(state, change.job, now);
		}

		applyChange(state, change, now);
	}

	for (const change of changes.filter(({type}) => type === 'progressed' || type === 'cancelled' || type === 'endsRecorded')) {
		applyChange(state, change, now);
	}
};

/** Creates the tasks that are due, so that what workers report on them can be applied. */
export const createDueTasks = (state: SchedulerState, now: CurrentTime): void => {
	for (const job of state.openJobs) {
		createDueOccurrences(job, now);
	}
};

/** Ends cancelled jobs, creates occurrences that became due, and ends jobs whose last task was stored as done by an earlier lease holder. */
export const updateOpenJobs = (state: SchedulerState, now: CurrentTime): void => {
	for (const job of state.openJobs) {
		if (job.isCancelRequested) {
			endJob(state, job, 'cancelled', now);
			continue;
		}

		createDueOccurrences(job, now);
		endIfFinished(state, job, now);
	}
};

/** Returns true if the step can never be done. Lasting tasks serve without each other, so their step goes on until all of them were given up. */
const isHopeless = ({spec, tasks, doneCount}: StepInstance, maxAttempts: number): boolean => spec.isLasting
	? tasks.every(task => task.phase === 'given-up')
	: doneCount < tasks.length && tasks.some(task => task.phase === 'given-up' || (task.phase !== 'done' && task.failedAttempts.size >= maxAttempts));

const endIfFinished = (state: SchedulerState, job: JobRecord, now: CurrentTime): void => {
	const maxAttempts = maxAttemptsOf(state, job);
	let canComplete = job.occurrences.size > 0;
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isHopeless(step, maxAttempts)) {
				endJob(state, job, 'failed', now);
				return;
			}

			canComplete &&= !step.spec.isLasting && step.doneCount === step.tasks.length;
		}
	}

	if (canComplete && isJobDone(job)) {
		endJob(state, job, 'completed', now);
	}
};

/** Returns the unfinished steps of the job whose predecessors are done. */
export const readySteps = (job: JobRecord): readonly StepInstance[] => {
	const ready: StepInstance[] = [];
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (step.doneCount < step.tasks.length && isStepReady(step)) {
				ready.push(step);
			}
		}
	}

	return ready;
};
