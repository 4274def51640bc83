/**
The life of jobs: accepted, due, progressing, ended. Progress is kept as facts that only grow, so that what two holders have seen can be joined in any order.
*/
import {assertNever} from '@poplarnotch/common';
import {type JobOutcome, type JobProgress, type JobSpec} from '../types.js';
import {type JobChange} from './events.js';
import {
	type JobRecord, type Run, type StepRun, type Task,
} from './records.js';
import {isStepReady, type SchedulerState} from './scheduler-state.js';

/** A steady clock and a wall clock at one moment. */
export type Now = {readonly nowMs: number; readonly wallMs: number};

const partKey = (occurrence: number, stepIndex: number): string => `${occurrence}.${stepIndex}`;

const newJob = (spec: JobSpec, nowMs: number): JobRecord => ({
	spec,
	rowKeys: new Set(),
	seenAtMs: nowMs,
	occurrences: new Map(),
	outcome: undefined,
	endedWallMs: undefined,
	isCancelRequested: false,
	isBeyondShare: false,
	hasBegun: false,
	isDirty: false,
	isOutcomeStored: false,
	storedDone: {},
	storedFailures: {},
});

const layOutStep = (job: JobRecord, occurrence: number, stepIndex: number, nowMs: number): StepRun => {
	const spec = job.spec.steps[stepIndex]!;
	const tasks: Task[] = [];
	const step: StepRun = {
		job, occurrence, stepIndex, spec, tasks, doneCount: 0, advice: new Map(), adviceAskedAtMs: undefined, adviceNotBeforeMs: 0,
	};
	const done = new Set(job.storedDone[partKey(occurrence, stepIndex)]);
	for (let index = 0; index < spec.taskCount; index++) {
		const failures = job.storedFailures[`${occurrence}.${stepIndex}.${index}`] ?? [];
		tasks.push({
			key: `${job.spec.jobId}.${occurrence}.${stepIndex}.${index}`,
			step,
			index,
			phase: done.has(index) ? 'done' : 'waiting',
			run: undefined,
			checkpoint: '',
			failedAttempts: new Set(failures),
			lastAttempt: 0,
			avoidedWorkerId: undefined,
			waitingSinceMs: nowMs,
		});
	}

	step.doneCount = done.size;
	return step;
};

/** How often the job's steps run in all. */
export const occurrenceCount = (spec: JobSpec): number => Math.max(1, spec.recurrence.count);

/** Lays out the occurrences that have become due. */
export const layOutDue = (job: JobRecord, {nowMs, wallMs}: Now): void => {
	const {recurrence, steps} = job.spec;
	for (let occurrence = job.occurrences.size; occurrence < occurrenceCount(job.spec); occurrence++) {
		const dueWallMs = recurrence.firstDueWallMs + (occurrence * recurrence.periodMs);
		if (recurrence.count > 0 && wallMs < dueWallMs) {
			return;
		}

		job.occurrences.set(occurrence, steps.map((_step, index) => layOutStep(job, occurrence, index, nowMs)));
	}
};

/** All steps that are laid out. */
export const stepsOf = (job: JobRecord): readonly StepRun[] => [...job.occurrences.values()].flat();

const joinNumbers = (a: readonly number[] = [], b: readonly number[] = []): readonly number[] => [...new Set([...a, ...b])];

const joinFacts = (
	a: Readonly<Record<string, readonly number[]>>,
	b: Readonly<Record<string, readonly number[]>>,
): Readonly<Record<string, readonly number[]>> => {
	const joined: Record<string, readonly number[]> = {...a};
	for (const [key, numbers] of Object.entries(b)) {
		joined[key] = joinNumbers(joined[key], numbers);
	}

	return joined;
};

/** What has to be stored of the job. */
export const progressOf = (job: JobRecord): JobProgress => {
	const doneTasks: Record<string, readonly number[]> = {...job.storedDone};
	const failures: Record<string, readonly number[]> = {...job.storedFailures};
	for (const step of stepsOf(job)) {
		const part = partKey(step.occurrence, step.stepIndex);
		const done = step.tasks.filter(task => task.phase === 'done').map(task => task.index);
		if (done.length > 0) {
			doneTasks[part] = done;
		}

		for (const task of step.tasks) {
			if (task.failedAttempts.size > 0) {
				failures[`${part}.${task.index}`] = [...task.failedAttempts];
			}
		}
	}

	return {
		outcome: job.outcome, endedWallMs: job.endedWallMs, hasBegun: job.hasBegun, doneTasks, failures,
	};
};

/** Notes something that must be stored. */
export const markDirty = (job: JobRecord): void => {
	job.isDirty = true;
};

/** Asks the worker to stop a run. */
export const orderStop = (state: SchedulerState, run: Run, nowMs: number, reason: string): void => {
	const {term} = state;
	if (term === undefined) {
		return;
	}

	if (run.phase !== 'unconfirmed') {
		run.phase = 'stopping';
	}

	run.stopOrderedAtMs = nowMs;
	state.emit({
		type: 'stop', workerId: run.worker.entry.workerId, taskKey: run.taskKey, attempt: run.attempt, fencingToken: term.fencingToken, reason, percent: run.percent,
	});
};

/** Ends a job: nothing of it starts any more, and what runs is stopped. */
export const endJob = (state: SchedulerState, job: JobRecord, outcome: JobOutcome, {nowMs, wallMs}: Now): void => {
	if (job.outcome !== undefined) {
		return;
	}

	job.outcome = outcome;
	job.endedWallMs = wallMs;
	state.openJobs.delete(job);
	markDirty(job);
	// The process that schedules says so once; the others only learn of it.
	if (state.term !== undefined) {
		noteJobEnd(state, job, outcome, nowMs);
	}

	for (const step of stepsOf(job)) {
		for (const {run} of step.tasks) {
			if (run !== undefined && run.phase !== 'stopping') {
				orderStop(state, run, nowMs, outcome);
			}
		}
	}
};

const noteJobEnd = (state: SchedulerState, job: JobRecord, outcome: JobOutcome, nowMs: number): void => {
	state.emit({
		type: 'note', fields: {
			event: 'job_ended', jobId: job.spec.jobId, queue: job.spec.queue, outcome, ageMs: Math.round(nowMs - job.seenAtMs),
		},
	});
};

/** Marks a task as done; the end of one member of a gang is the end of all. */
export const finishTask = (state: SchedulerState, task: Task, now: Now): void => {
	const finished = task.step.spec.isGang ? task.step.tasks : [task];
	for (const member of finished) {
		if (member.phase !== 'done') {
			member.phase = 'done';
			task.step.doneCount++;
		}
	}

	const {job} = task.step;
	markDirty(job);
	if (!task.step.spec.isLasting && isJobDone(job)) {
		endJob(state, job, 'completed', now);
	}
};

const isJobDone = (job: JobRecord): boolean => job.occurrences.size === occurrenceCount(job.spec)
	&& stepsOf(job).every(step => step.doneCount === step.tasks.length);

/** Notes a failed run; a task that has used up its attempts fails its job. */
export const failTask = (state: SchedulerState, task: Task, attempt: number, now: Now): void => {
	const {job} = task.step;
	if (task.step.spec.isLasting || task.phase === 'done' || task.failedAttempts.has(attempt)) {
		return;
	}

	task.failedAttempts.add(attempt);
	markDirty(job);
	if (task.failedAttempts.size >= maxAttemptsOf(state, job)) {
		endJob(state, job, 'failed', now);
	}
};

export const maxAttemptsOf = (state: SchedulerState, job: JobRecord): number => state.queueOf(job)?.maxAttempts ?? Number.POSITIVE_INFINITY;

const applyProgress = (state: SchedulerState, job: JobRecord, progress: JobProgress, now: Now): void => {
	job.hasBegun ||= progress.hasBegun;
	job.storedDone = joinFacts(job.storedDone, progress.doneTasks);
	job.storedFailures = joinFacts(job.storedFailures, progress.failures);
	for (const step of stepsOf(job)) {
		for (const index of progress.doneTasks[partKey(step.occurrence, step.stepIndex)] ?? []) {
			const task = step.tasks[index];
			if (task !== undefined && task.phase !== 'done') {
				task.phase = 'done';
				step.doneCount++;
			}
		}

		for (const task of step.tasks) {
			for (const attempt of progress.failures[`${step.occurrence}.${step.stepIndex}.${task.index}`] ?? []) {
				task.failedAttempts.add(attempt);
			}
		}
	}

	if (progress.outcome !== undefined) {
		endJob(state, job, progress.outcome, now);
		job.endedWallMs = progress.endedWallMs ?? job.endedWallMs;
		job.isOutcomeStored = true;
		job.isDirty = false;
	}
};

const totalWeight = (state: SchedulerState): number =>
	[...state.configuration.customers.values()].reduce((sum, {weight}) => sum + weight, 0);

/** Lasting jobs are few and stay; jobs without a customer have no share to exceed. */
const noteShare = (state: SchedulerState, job: JobRecord, {nowMs, wallMs}: Now): void => {
	const customer = state.configuration.customers.get(job.spec.customer);
	if (customer !== undefined && !job.spec.steps.some(step => step.isLasting)) {
		const acceptedAtMs = nowMs - Math.max(0, wallMs - job.spec.acceptedWallMs);
		job.isBeyondShare = !state.shares.takeJob({customer: customer.name, share: customer.weight / totalWeight(state)}, acceptedAtMs);
	}
};

const applyChange = (state: SchedulerState, change: JobChange, now: Now): void => {
	if (change.type === 'accepted') {
		let accepted = state.jobs.get(change.job.jobId);
		if (accepted === undefined) {
			accepted = newJob(change.job, now.nowMs);
			state.jobs.set(change.job.jobId, accepted);
			state.openJobs.add(accepted);
			noteShare(state, accepted, now);
		}

		accepted.rowKeys.add(change.rowKey);
		return;
	}

	const job = state.jobs.get(change.jobId);
	if (job === undefined) {
		return;
	}

	switch (change.type) {
		case 'progressed': {
			applyProgress(state, job, change.progress, now);
			break;
		}

		case 'cancelled': {
			job.isCancelRequested = true;
			job.rowKeys.add(change.rowKey);
			break;
		}

		case 'removed': {
			state.jobs.delete(change.jobId);
			state.openJobs.delete(job);
			break;
		}

		default: {
			assertNever(change);
		}
	}
};

/** Lasting and scheduled jobs do not come by the rush. */
const noteDemand = (state: SchedulerState, job: JobSpec, {nowMs, wallMs}: Now): void => {
	const pool = state.queueOf(job)?.pool;
	if (pool === undefined || job.recurrence.count > 0 || job.steps.some(step => step.isLasting)) {
		return;
	}

	const millicoreMs = job.steps.reduce((sum, step) => sum + (step.taskCount * step.needs.cpuMillicores * step.estimateMs), 0);
	state.demand.noteArrival({pool, millicoreMs, atMs: nowMs - Math.max(0, wallMs - job.acceptedWallMs)});
};

/** Takes changes of job rows into account. Specifications come first: their rows may arrive in any order with the others. */
export const applyJobChanges = (state: SchedulerState, changes: readonly JobChange[], now: Now): void => {
	const accepted = changes.filter(change => change.type === 'accepted')
		.toSorted((a, b) => a.job.acceptedWallMs - b.job.acceptedWallMs);
	for (const change of accepted) {
		if (!state.jobs.has(change.job.jobId)) {
			noteDemand(state, change.job, now);
		}

		applyChange(state, change, now);
	}

	for (const change of changes.filter(({type}) => type !== 'accepted')) {
		applyChange(state, change, now);
	}
};

/** Ends cancelled jobs, lays out what became due and ends jobs whose last task was stored as done by an earlier holder. */
export const reviewJobs = (state: SchedulerState, now: Now): void => {
	for (const job of state.openJobs) {
		if (job.isCancelRequested) {
			endJob(state, job, 'cancelled', now);
			continue;
		}

		layOutDue(job, now);
		reviewOutcome(state, job, now);
	}
};

const reviewOutcome = (state: SchedulerState, job: JobRecord, now: Now): void => {
	const steps = stepsOf(job);
	const maxAttempts = maxAttemptsOf(state, job);
	if (steps.some(step => !step.spec.isLasting && step.tasks.some(task => task.phase !== 'done' && task.failedAttempts.size >= maxAttempts))) {
		endJob(state, job, 'failed', now);
	} else if (steps.length > 0 && steps.every(step => !step.spec.isLasting) && isJobDone(job)) {
		endJob(state, job, 'completed', now);
	}
};

/** Steps of the job whose tasks may run now. */
export const readySteps = (job: JobRecord): readonly StepRun[] =>
	stepsOf(job).filter(step => step.doneCount < step.tasks.length && isStepReady(step));
