/**
Starts tasks on trial: a task under which a worker has crashed runs on a worker that has no other unproven run and starts no other task meanwhile, so that a second crash shows whether this task causes it.

The load this answers: a crash leaves about ten suspected tasks, nearly all of them harmless, while the pool is busy. A trial takes the worker with the fewest runs, and only a part of a pool's workers is used for trials at a time. The planned attempt is stored before the start order is sent. Whoever holds the lease next therefore counts the trial even if its outcome was never reported.
*/
import {storeAwayAfterMs, trialPlanTimeoutMs, trialWorkerShare} from '../constants.js';
import {isSuspect, settleTrial} from './crash-attribution.js';
import {isAllowed} from './placement.js';
import {
	type TaskRun, type Task, type Trial, type WorkerRecord,
} from './records.js';
import {multiplyResources} from './resources.js';
import {resourcesOccupiedBy, type SchedulerState} from './scheduler-state.js';
import {isUsable} from './workers.js';

const hasUnprovenRun = (worker: WorkerRecord): boolean => [...worker.runs.values()].some(({isProven}) => !isProven);

export const findTrial = (state: SchedulerState, task: Task): Trial | undefined => [...state.trials].find(({tasks}) => tasks.includes(task));

/** Returns how many more of the pool's workers may be used for trials. At least one may, whatever the size of the pool. */
export const freeTrialWorkers = (usable: readonly WorkerRecord[]): number =>
	Math.ceil(usable.length * trialWorkerShare) - usable.filter(({trial}) => trial !== undefined).length;

/** Returns the worker for the trial of a single task: the one with the fewest runs of those that have the capacity and may run it. */
export const chooseTrialWorker = (state: SchedulerState, task: Task, usable: readonly WorkerRecord[], nowMs: number): WorkerRecord | undefined => {
	let best: WorkerRecord | undefined;
	for (const worker of usable) {
		const isFree = worker.trial === undefined && !worker.runs.has(task.key);
		if (isFree && (best === undefined || worker.runs.size < best.runs.size) && isAllowed(state, task.step, worker, nowMs)) {
			best = worker;
		}
	}

	return best;
};

/** Returns true if a trial that is planned now can be stored soon; otherwise it would only keep workers from starting other tasks. */
export const canPlanTrials = (state: SchedulerState, nowMs: number): boolean =>
	state.pendingSaveNumber === undefined || nowMs - state.lastSaveAtMs < storeAwayAfterMs;

/** Reserves the workers and schedules the attempt to be stored. */
export const planTrial = (state: SchedulerState, {tasks, workers, attempt}: Pick<Trial, 'tasks' | 'workers' | 'attempt'>, nowMs: number): void => {
	const trial: Trial = {
		tasks, workers, attempt, saveNumber: state.saveCount + 1, plannedAtMs: nowMs, isStarted: false,
	};
	state.trials.add(trial);
	for (const worker of workers) {
		worker.trial = trial;
	}

	for (const task of tasks) {
		task.crashRecord = {...task.crashRecord, trialAttempt: attempt};
		state.dirtyJobs.add(task.step.job);
	}

	state.emit({
		type: 'log', fields: {
			event: 'trial_planned', taskKey: tasks[0]!.key, tasks: tasks.length, attempt, workerId: workers[0]!.entry.workerId, workers: new Set(workers).size,
		},
	});
};

/** Returns true if the attempt is stored and nothing on the trial's workers could be taken for the cause of a crash. */
export const canStartTrial = (state: SchedulerState, {saveNumber, workers}: Trial): boolean =>
	state.storedSaveNumber >= saveNumber && !workers.some(worker => hasUnprovenRun(worker));

const isUndecided = (run: TaskRun | undefined, {attempt}: Trial): boolean => run?.attempt === attempt && !run.isProven;

/** Returns true if the worker may run the trial's tasks that were planned for it. */
const isStillAllowed = (state: SchedulerState, {tasks, workers}: Trial, worker: WorkerRecord, nowMs: number): boolean => {
	const {step} = tasks[0]!;
	const taskCount = workers.filter(other => other === worker).length;
	return isUsable(worker, nowMs) && isAllowed(state, step, worker, nowMs) && state.hasRoom(worker, multiplyResources(resourcesOccupiedBy(step), taskCount));
};

const isObsolete = (state: SchedulerState, trial: Trial, nowMs: number): boolean => nowMs - trial.plannedAtMs >= trialPlanTimeoutMs
	|| trial.tasks.some(task => task.phase !== 'waiting' || task.step.job.outcome !== undefined)
	|| !trial.tasks.some(task => isSuspect(task))
	|| trial.workers.some(worker => !isStillAllowed(state, trial, worker, nowMs));

const endTrial = (state: SchedulerState, trial: Trial): void => {
	state.trials.delete(trial);
	for (const worker of trial.workers) {
		worker.trial = undefined;
	}
};

/** Releases the workers of trials that have ended, and of planned ones that cannot start any more. */
export const endFinishedTrials = (state: SchedulerState, nowMs: number): void => {
	for (const trial of state.trials) {
		if (trial.isStarted && !trial.tasks.some(({run}) => isUndecided(run, trial))) {
			endTrial(state, trial);
		} else if (!trial.isStarted && isObsolete(state, trial, nowMs)) {
			endTrial(state, trial);
			for (const task of trial.tasks) {
				task.lastAttempt = Math.max(task.lastAttempt, trial.attempt);
				settleTrial(state, task, trial.attempt);
			}
		}
	}
};
