/**
Ends of tasks that this process has read and that no store holds yet, when it can no longer store them under its fence: its term is over, or a report arrives after it. If the worker has left by then, nobody else will hear of them, and the next holder would start the tasks again.

What is known of ends only grows, so they need no fence. The last holder leaves them to the next one beside the released lease, in the same transaction, and every process records what it reads later in rows of its own, which are only ever created.
*/
import {type FinishedEntry, type TaskEnds, type WorkerReport} from '../types.js';
import {type JobEnds, type SchedulerEvent} from './events.js';
import {type CurrentTime, failTask, finishTask} from './jobs.js';
import {type JobRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {
	effectiveEnds, keepForDueTasks, mergeEnds, stepsOf, storedStepKey, storedTaskKey,
} from './stored-progress.js';
import {
	findTask, isUnresolved, parseTaskKey, type TaskPlace,
} from './unresolved-tasks.js';

const hasEnds = ({doneTasks, failures}: TaskEnds): boolean => Object.keys(doneTasks).length > 0 || Object.keys(failures).length > 0;

/** Returns the ends of the job's tasks that are known to this process and were not read from the store. */
const endsBeyondStored = (job: JobRecord): TaskEnds => {
	const doneTasks: Record<string, readonly number[]> = {};
	const failures: Record<string, readonly number[]> = {};
	for (const {occurrence, stepIndex, tasks} of stepsOf(job)) {
		const stepKey = storedStepKey(occurrence, stepIndex);
		const storedDone = new Set(job.storedDoneTasks[stepKey]);
		const done = tasks.filter(({phase, index}) => phase === 'done' && !storedDone.has(index)).map(({index}) => index);
		if (done.length > 0) {
			doneTasks[stepKey] = done;
		}

		for (const {index, failedAttempts} of tasks) {
			const taskKey = storedTaskKey(occurrence, stepIndex, index);
			const storedFailed = new Set(job.storedFailures[taskKey]);
			const failed = [...failedAttempts].filter(attempt => !storedFailed.has(attempt));
			if (failed.length > 0) {
				failures[taskKey] = failed;
			}
		}
	}

	return {doneTasks, failures};
};

/** Returns true if none of the job's tasks will start any more, whatever is known of their ends. */
const isOver = ({isOutcomeStored, isCancelRequested}: JobRecord): boolean => isOutcomeStored || isCancelRequested;

const endOf = ({attempt, end}: FinishedEntry, {occurrence, stepIndex, index}: TaskPlace): TaskEnds => end === 'done'
	? {doneTasks: {[storedStepKey(occurrence, stepIndex)]: [index]}, failures: {}}
	: {doneTasks: {}, failures: {[storedTaskKey(occurrence, stepIndex, index)]: [attempt]}};

/** Gathers reported ends by their jobs. */
const endsByJob = (entries: readonly FinishedEntry[], known: Iterable<JobEnds> = []): readonly JobEnds[] => {
	const gathered = new Map([...known].map(({jobId, ends}) => [jobId, ends]));
	for (const entry of entries) {
		const place = parseTaskKey(entry.taskKey);
		if (place !== undefined) {
			const ends = endOf(entry, place);
			const earlier = gathered.get(place.jobId);
			gathered.set(place.jobId, earlier === undefined ? ends : mergeEnds(earlier, ends));
		}
	}

	return [...gathered].map(([jobId, ends]) => ({jobId, ends}));
};

const isDoneOrFailed = ({end}: FinishedEntry): boolean => end === 'done' || end === 'failed';

/** Returns the ends that this process has read in its term and that are not known to be stored. */
export const unstoredTaskEnds = (state: SchedulerState): readonly JobEnds[] => {
	const jobs = new Set([...state.dirtyJobs, ...state.pendingSaveJobs]);
	const ends = [...jobs].filter(job => !isOver(job)).map(job => ({jobId: job.spec.jobId, ends: endsBeyondStored(job)})).filter(each => hasEnds(each.ends));
	const unresolved = [...[...state.workers.values()].flatMap(({unresolvedEnds}) => unresolvedEnds), ...state.endsOfEarlierIncarnations]
		.map(({entry}) => entry)
		.filter(entry => isDoneOrFailed(entry));
	return endsByJob(unresolved, ends);
};

const emitRecord = (state: SchedulerState, jobs: readonly JobEnds[], reason: string, isBesideSave = false): void => {
	if (jobs.length > 0) {
		state.emit({type: 'recordEnds', jobs, isBesideSave});
		state.emit({
			type: 'log', fields: {
				event: 'ends_recorded', reason, jobs: jobs.length, first: jobs[0]!.jobId,
			},
		});
	}
};

/** Records what the term leaves unstored as it ends, or before it if its save takes long: the save awaits the outcome of each of its calls, and these writes do not. */
export const recordUnstoredEnds = (state: SchedulerState, reason: string): void => {
	emitRecord(state, unstoredTaskEnds(state), reason);
};

/** Time for which ends that were read may be known to this process alone. */
const maxUnrecordedMs = 100;

/** Records that may be on their way to the store at once. One whose answer is lost stays among them for the time limit of a call. */
const maxPendingRecords = 12;

const without = <Value>(values: readonly Value[], known: readonly Value[] = []): readonly Value[] => values.filter(value => !known.includes(value));

/** Returns the ends that are not among the known ones. */
const endsBeyond = ({doneTasks, failures}: TaskEnds, known: TaskEnds | undefined): TaskEnds => {
	const beyond = (ends: TaskEnds['doneTasks'], knownEnds: TaskEnds['doneTasks'] = {}): TaskEnds['doneTasks'] => Object.fromEntries(Object.entries(ends)
		.map(([key, numbers]) => [key, without(numbers, knownEnds[key])] as const)
		.filter(([, numbers]) => numbers.length > 0));
	return {doneTasks: beyond(doneTasks, known?.doneTasks), failures: beyond(failures, known?.failures)};
};

/** Records the ends that were read and are not stored while a save takes long: it may await the outcome of a call whose answer is lost, and nothing that was read since is stored meanwhile. With the loss of this process, and of the workers, they would be lost. */
export const recordDelayedEnds = (state: SchedulerState, nowMs: number): void => {
	const {term, pendingSaveNumber, lastSaveAtMs, lastRecordAtMs, pendingRecords, recordedEnds} = state;
	if (term === undefined || pendingSaveNumber === undefined || nowMs - Math.max(lastSaveAtMs, lastRecordAtMs) < maxUnrecordedMs || pendingRecords >= maxPendingRecords) {
		return;
	}

	const jobs: JobEnds[] = [];
	for (const {jobId, ends} of unstoredTaskEnds(state)) {
		const job = state.jobs.get(jobId);
		const fresh = endsBeyond(ends, job && recordedEnds.get(job));
		if (job !== undefined && hasEnds(fresh)) {
			recordedEnds.set(job, mergeEnds(recordedEnds.get(job) ?? fresh, fresh));
			jobs.push({jobId, ends: fresh});
		}
	}

	if (jobs.length > 0) {
		state.lastRecordAtMs = nowMs;
		state.pendingRecords++;
		emitRecord(state, jobs, 'the save takes long', true);
	}
};

/** Returns true if the end may matter and is not known to this process. */
const isNews = (state: SchedulerState, {taskKey, attempt, end}: FinishedEntry, reportedAtMs: number): boolean => {
	const task = findTask(state, taskKey);
	if (task === undefined) {
		return isUnresolved(state, {taskKey, reportedAtMs});
	}

	const {spec, job} = task.step;
	return !spec.isLasting && !isOver(job) && task.phase !== 'done' && !(end === 'failed' && task.failedAttempts.has(attempt));
};

/** Keeps the ends of a report that is not of the present term, or not of the present incarnation of its worker, which may not list them again. In a term they are stored with its progress, otherwise they are recorded. */
const keepReportedEnds = (state: SchedulerState, {workerId, report, nowMs}: {readonly workerId: string; readonly report: WorkerReport; readonly nowMs: number}): void => {
	const news = report.finished.filter(entry => isDoneOrFailed(entry) && isNews(state, entry, nowMs));
	const worker = state.workers.get(workerId);
	if (news.length === 0) {
		return;
	}

	if (state.term !== undefined && worker !== undefined) {
		state.endsOfEarlierIncarnations = [...state.endsOfEarlierIncarnations, ...news.map(entry => ({
			entry, reportedAtMs: nowMs, worker, isListedAgain: true,
		}))];
	} else {
		emitRecord(state, endsByJob(news), `a report of ${workerId} without a term`);
	}
};

/** Keeps the ends of a report that is dropped otherwise. */
export const keepEndsOfDropped = (state: SchedulerState, event: SchedulerEvent): void => {
	if (event.type === 'polled' && event.answer.type === 'report') {
		keepReportedEnds(state, {workerId: event.workerId, report: event.answer.report, nowMs: event.nowMs});
	} else if (event.type === 'reportedLate') {
		keepReportedEnds(state, event);
	}
};

/** Applies an inherited end to each of the job's tasks that it names. */
const applyToTasks = (state: SchedulerState, job: JobRecord, {doneTasks, failures}: TaskEnds, now: CurrentTime): void => {
	for (const {occurrence, stepIndex, tasks} of stepsOf(job)) {
		for (const index of doneTasks[storedStepKey(occurrence, stepIndex)] ?? []) {
			const task = tasks[index];
			if (task !== undefined && task.phase !== 'done' && job.outcome === undefined) {
				finishTask(state, task, now);
			}
		}

		for (const task of tasks) {
			for (const attempt of failures[storedTaskKey(occurrence, stepIndex, task.index)] ?? []) {
				failTask(state, task, attempt, now);
			}
		}
	}
};

/** Returns true if all tasks that the ends name are created. */
const areTasksCreated = ({occurrences}: JobRecord, {doneTasks, failures}: TaskEnds): boolean =>
	[...Object.keys(doneTasks), ...Object.keys(failures)].every(key => occurrences.has(Number(key.split('.')[0])));

/** Applies the ends that the last holder has left. They are stored with the next save; those of tasks that this process does not know yet are recorded. */
export const applyInheritedEnds = (state: SchedulerState, inherited: Readonly<Record<string, TaskEnds>>, now: CurrentTime): void => {
	const unknown: JobEnds[] = [];
	for (const [jobId, ends] of Object.entries(inherited)) {
		const job = state.jobs.get(jobId);
		if (job === undefined) {
			unknown.push({jobId, ends});
			continue;
		}

		if (job.outcome === undefined) {
			applyToTasks(state, job, effectiveEnds(job, ends), now);
		}

		if (!areTasksCreated(job, ends)) {
			keepForDueTasks(job, ends);
			unknown.push({jobId, ends});
		}
	}

	emitRecord(state, unknown, 'inherited for tasks that are not known yet');
	const jobIds = Object.keys(inherited);
	if (jobIds.length > 0) {
		state.emit({
			type: 'log', fields: {
				event: 'ends_inherited', jobs: jobIds.length, unknownJobs: unknown.length, first: jobIds[0],
			},
		});
	}
};
