/**
Decides which tasks are blamed for the crash of a worker, and gives up tasks that crash the workers that start them.

The load this answers: some jobs have a task that crashes each worker shortly after its start, on workers that run ten to thirty other tasks. Only what the crash can be blamed on is counted. A worker's crash is blamed on its run on trial if there is one, else on the runs that the worker has not been seen to survive, else on all that have not run for long. The tasks blamed are started again on trial (see `trials.ts`), the most likely cause first, which tells the one that crashes workers from those that shared a worker with it. Once the cause is found, the others are cleared.
*/
import {
	clearedAfterMs, maxCrashes, maxCrashesInTrial, maxLoggedRuns, maxPossibleCrashes, provenAfterMs,
} from '../constants.js';
import {
	addCrash, countCrashes, hasCrash, isTrialUnresolved, isUnderSuspicion, noCrashRecord,
} from './crash-record.js';
import {stepsOf} from './stored-progress.js';
import {type TaskRun, type Task, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Returns true if a worker has crashed under the task since it was last proven, so that it is only started on trial. */
export const isSuspect = ({crashRecord}: Task): boolean => crashRecord !== noCrashRecord && isUnderSuspicion(crashRecord);

/** Time for which the worker was seen to survive the run. */
const survivedMs = (run: TaskRun): number => Math.max(0, run.lastListedAtMs - (run.startedAtMs ?? run.orderedAtMs));

/** A run whose task is done, whose job has ended, or whose crash is recorded already tells nothing more. */
const canBeBlamed = ({task, attempt}: TaskRun): boolean => task !== undefined
	&& task.step.job.outcome === undefined
	&& task.phase !== 'done'
	&& !hasCrash(task.crashRecord, attempt);

const firstNonEmpty = (...groups: ReadonlyArray<readonly TaskRun[]>): readonly TaskRun[] => groups.find(group => group.length > 0) ?? [];

/** Returns the runs that may have caused the crash, the most likely first: confirmed runs before others, and the latest before earlier ones. */
const selectBlamed = (runs: readonly TaskRun[]): readonly TaskRun[] => {
	const unproven = runs.filter(({isProven}) => !isProven);
	return firstNonEmpty(unproven.filter(({isTrial}) => isTrial), unproven, runs.filter(run => survivedMs(run) < clearedAfterMs))
		.filter(run => canBeBlamed(run))
		.toSorted((a, b) => Number(b.isConfirmed) - Number(a.isConfirmed) || b.orderedAtMs - a.orderedAtMs);
};

const recordedAttempts = ({crashRecord}: Task): readonly number[] => [...crashRecord.crashedAttempts, ...crashRecord.presumedAttempts];

/** Clears the task if this process suspects it of a single crash, of which another task turned out to be the cause. */
const clearIfCauseFound = (state: SchedulerState, task: Task): void => {
	const [suspicion, ...otherSuspicions] = task.suspicions;
	const [onlyAttempt, ...otherAttempts] = recordedAttempts(task);
	const isOnlyCrash = otherSuspicions.length === 0 && onlyAttempt !== undefined && otherAttempts.length === 0;
	if (isOnlyCrash && suspicion?.suspects.some(other => other !== task && other.phase === 'given-up') === true) {
		task.suspicions = [];
		task.crashRecord = {...task.crashRecord, clearedAttempt: onlyAttempt};
		state.dirtyJobs.add(task.step.job);
	}
};

/** Clears the tasks that were suspected together with the cause of a crash, and of no other crash before. A task on trial stays a suspect until the outcome is known: several tasks that crash workers may have shared one, and the trial may have crashed its worker already. */
const clearOtherSuspects = (state: SchedulerState, cause: Task): void => {
	for (const task of cause.suspicions.flatMap(({suspects}) => suspects)) {
		if (task !== cause && !isTrialUnresolved(task.crashRecord)) {
			clearIfCauseFound(state, task);
		}
	}
};

const giveUp = (state: SchedulerState, task: Task): void => {
	task.phase = 'given-up';
	task.crashRecord = {...task.crashRecord, isGivenUp: true};
	clearOtherSuspects(state, task);
	state.emit({type: 'count', name: 'scheduler_tasks_given_up_total'});
	state.emit({
		type: 'log', fields: {
			event: 'task_given_up', taskKey: task.key, crashedAttempts: task.crashRecord.crashedAttempts.join(','), presumedAttempts: task.crashRecord.presumedAttempts.join(','),
		},
	});
};

/** How an attempt ended that may have crashed its worker. */
type PossibleCrash = {
	readonly attempt: number;
	/** The attempt is known to have run as the worker crashed. */
	readonly isObserved: boolean;
	/** No other unproven run was on the worker. */
	readonly wasAlone: boolean;
};

const hasReachedLimit = ({crashRecord}: Task, maxObserved: number): boolean => {
	const {observed, possible} = countCrashes(crashRecord);
	return observed >= maxObserved || possible >= maxPossibleCrashes;
};

const recordCrash = (state: SchedulerState, task: Task, {attempt, isObserved, wasAlone}: PossibleCrash): void => {
	task.crashRecord = addCrash(task.crashRecord, attempt, isObserved);
	state.dirtyJobs.add(task.step.job);
	// A task that has been started again since the crash is judged by its later run.
	if (hasReachedLimit(task, isObserved && wasAlone ? maxCrashesInTrial : maxCrashes) && task.phase === 'waiting') {
		giveUp(state, task);
	}
};

/** Gives up the run's task if a crash was blamed on the run while its start might still be carried out, and the crashes have reached a limit. */
export const giveUpIfExhausted = (state: SchedulerState, {task, attempt}: TaskRun): void => {
	if (task?.phase === 'waiting' && task.step.job.outcome === undefined && hasCrash(task.crashRecord, attempt) && hasReachedLimit(task, maxCrashes)) {
		giveUp(state, task);
	}
};

/** Returns each task that the runs are blamed for, with the most likely of its runs. Members of a gang only run together, so they are blamed together. */
const suspectsOf = (blamed: readonly TaskRun[]): ReadonlyMap<Task, TaskRun> => {
	const runBySuspect = new Map<Task, TaskRun>();
	for (const run of blamed) {
		const {step} = run.task!;
		for (const member of step.spec.isGang ? step.tasks : [run.task!]) {
			if (!runBySuspect.has(member)) {
				runBySuspect.set(member, run);
			}
		}
	}

	return runBySuspect;
};

const describeSuspects = (runs: readonly TaskRun[]): string =>
	runs.slice(0, maxLoggedRuns).map(({task, attempt, isTrial, isConfirmed}) => `${task!.key}#${attempt}${isTrial ? ':trial' : ''}${isConfirmed ? '' : ':unconfirmed'}`).join(',');

/** Records the crash of a worker under the given runs, which have been removed from it. */
export const attributeCrash = (state: SchedulerState, worker: WorkerRecord, runs: readonly TaskRun[], nowMs: number): void => {
	const blamed = selectBlamed(runs);
	state.emit({type: 'count', name: 'scheduler_worker_crashes_total'});
	state.emit({
		type: 'log', fields: {
			event: 'worker_crashed', workerId: worker.entry.workerId, runs: runs.length, suspects: describeSuspects(blamed), lastAnswerAgeMs: Math.round(nowMs - worker.lastAnswerAtMs),
		},
	});
	const runBySuspect = suspectsOf(blamed);
	const suspects = [...runBySuspect.keys()];
	for (const [rank, task] of suspects.entries()) {
		const run = runBySuspect.get(task)!;
		task.suspicions = [...task.suspicions, {suspects, rank}];
		recordCrash(state, task, {attempt: run.attempt, isObserved: run.isConfirmed, wasAlone: run.isTrial && !run.isProven});
	}
};

/** How likely the task is to be the cause of its last crash, 0 for the most likely. A task that an earlier lease holder suspected has no rank and is treated as likely. */
export const suspicionRank = (task: Task): number => task.suspicions.at(-1)?.rank ?? 0;

/** Notes that the worker listed the run in a report that it was asked for at `sentAtMs`. A run that lasts is proven, and later clears its task. */
export const recordSurvival = (state: SchedulerState, run: TaskRun, sentAtMs: number): void => {
	run.isConfirmed = true;
	run.lastListedAtMs = Math.max(run.lastListedAtMs, sentAtMs);
	const ageMs = survivedMs(run);
	if (!run.isProven && ageMs >= provenAfterMs) {
		run.isProven = true;
		settleTrial(state, run.task, run.attempt);
		trust(state, run, 'provenAttempt');
	}

	if (ageMs >= clearedAfterMs) {
		trust(state, run, 'clearedAttempt');
	}
};

/** Notes in the task's crash record, if it has one, that its worker survived the run. */
const trust = (state: SchedulerState, {task, attempt}: TaskRun, field: 'provenAttempt' | 'clearedAttempt'): void => {
	if (task !== undefined && task.crashRecord !== noCrashRecord && task.crashRecord[field] < attempt && countCrashes(task.crashRecord).possible > 0) {
		task.crashRecord = {...task.crashRecord, [field]: attempt};
		state.dirtyJobs.add(task.step.job);
	}
};

/** Notes that the attempt ended without a crash or was never started, if it was the task's trial. */
export const settleTrial = (state: SchedulerState, task: Task | undefined, attempt: number): void => {
	if (task?.crashRecord.trialAttempt === attempt && task.crashRecord.settledTrialAttempt < attempt && task.step.job.outcome === undefined) {
		task.crashRecord = {...task.crashRecord, settledTrialAttempt: attempt};
		state.dirtyJobs.add(task.step.job);
		clearIfCauseFound(state, task);
	}
};

/** Returns true if the trial cannot have crashed the worker that it was planned for: the same incarnation of it has reported in this term, or it drains. */
const hasSparedWorker = (state: SchedulerState, {crashRecord: {trialWorker}}: Task): boolean => {
	if (trialWorker === undefined) {
		return false;
	}

	const worker = state.workers.get(trialWorker.workerId);
	return worker?.bornWallMs === trialWorker.bornWallMs && (worker.entry.isDraining || (worker.isFenced && !worker.isEnded));
};

/** Presumes that the trials of an earlier lease holder whose outcome nobody reports crashed their workers, unless these are known to have gone on. Called once every worker has reported or its leases have expired. */
export const resolveLostTrials = (state: SchedulerState): void => {
	for (const job of state.openJobs) {
		for (const task of stepsOf(job).flatMap(({tasks}) => tasks)) {
			if (task.phase !== 'waiting' || !isTrialUnresolved(task.crashRecord)) {
				continue;
			}

			if (hasSparedWorker(state, task)) {
				settleTrial(state, task, task.crashRecord.trialAttempt);
			} else {
				state.emit({type: 'log', fields: {event: 'trial_outcome_unknown', taskKey: task.key, attempt: task.crashRecord.trialAttempt}});
				recordCrash(state, task, {attempt: task.crashRecord.trialAttempt, isObserved: false, wasAlone: true});
			}
		}
	}
};
