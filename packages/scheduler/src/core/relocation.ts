/**
Relocates lasting tasks from workers that are draining or about to be maintained, and stops runs that make no progress.

A lasting task is stopped only if another worker has the capacity for it, and, unless its worker is draining, only while fewer tasks of its step are unavailable than the step may miss.
*/
import {taskStallTimeoutMs} from '../constants.js';
import {orderStop} from './jobs.js';
import {orderPaces} from './throttling.js';
import {chooseWorker} from './placement.js';
import {
	type TaskRun, type StepInstance, type Task, type WorkerRecord,
} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {isUsable} from './workers.js';

/** Progress that a lasting task reports once it is serving. */
const servingPercent = 100;

/** A lasting task that is not serving after this time counts as stalled. */
const stalledLastingTaskMs = 4000;

/** Within this time a new lease holder has polled every worker and renewed its lease. Before that, a run listed as running may be about to lapse. */
const initialPollsMs = 1000;

/** A stop that has had no effect is ordered again after this time. */
const stopRetryMs = 600;

const isServing = (run: TaskRun | undefined): boolean =>
	run?.phase === 'running' && run.percent >= servingPercent && run.worker.silentSinceMs === undefined && run.worker.isListed;

/** Returns how many tasks of the step are not serving. */
export const unavailableCount = (step: StepInstance): number => step.tasks.filter(task => !isServing(task.run)).length;

/** Returns true if ending the run keeps the step's unavailable tasks within the number that it may miss. A step without a limit counts as one that may miss one task. */
const canInterrupt = (run: TaskRun, step: StepInstance): boolean => unavailableCount(step) - (isServing(run) ? 0 : 1) < Math.max(1, step.spec.mayMiss);

/** Stops lasting tasks that fit on another worker and returns the tasks that fit nowhere. */
const relocateFrom = (state: SchedulerState, worker: WorkerRecord, usable: readonly WorkerRecord[], nowMs: number): readonly Task[] => {
	const displaced: Task[] = [];
	for (const run of worker.runs.values()) {
		const step = run.task?.step;
		if (step === undefined || !step.spec.isLasting || run.phase !== 'running') {
			continue;
		}

		// The limit applies even if the task was still starting when its worker last reported, since it may be serving by now.
		const isAllowed = worker.entry.isDraining || canInterrupt(run, step);
		const target = chooseWorker(state, run.task!, usable.filter(other => other.entry.pool === worker.entry.pool && !other.isMaintenanceDue), nowMs);
		if (target === undefined) {
			displaced.push(run.task!);
		} else if (isAllowed) {
			orderStop(state, run, nowMs, worker.entry.isDraining ? 'worker-draining' : 'machine-reserved');
		}
	}

	return displaced;
};

const stopStalled = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	for (const run of worker.runs.values()) {
		if (run.phase !== 'running' || run.task === undefined || worker.silentSinceMs !== undefined) {
			continue;
		}

		const {isLasting, isGang} = run.task.step.spec;
		const stalledForMs = Math.min(worker.lastAnswerAtMs, nowMs) - run.percentChangedAtMs;
		const isStalled = isLasting
			? run.percent < servingPercent && stalledForMs >= stalledLastingTaskMs
			: !isGang && run.worker.fillingPacePercent > 0 && run.pacePercent !== 0 && stalledForMs >= taskStallTimeoutMs;
		if (isStalled) {
			run.task.avoidedWorkerId = worker.entry.workerId;
			orderStop(state, run, nowMs, 'no-progress');
		}
	}
};

/** Returns true if a stop that had no effect may be ordered again. It may not while other tasks of a lasting step are unavailable; those must recover first. */
const mayRepeatStop = (run: TaskRun): boolean => {
	const step = run.task?.step;
	return step === undefined || !step.spec.isLasting || step.job.outcome !== undefined || run.worker.entry.isDraining || canInterrupt(run, step);
};

const repeatStops = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	for (const run of worker.runs.values()) {
		if (run.stopOrderedAtMs !== undefined && nowMs - run.stopOrderedAtMs >= stopRetryMs && mayRepeatStop(run)) {
			orderStop(state, run, nowMs, 'repeated');
		}
	}
};

/** Relocates tasks, stops stalled runs, repeats unanswered stops and applies paces. Returns the tasks that must move but fit nowhere. */
export const reconcileRuns = (state: SchedulerState, nowMs: number): readonly Task[] => {
	const displaced: Task[] = [];
	const isTakingOver = nowMs - (state.term?.wonAtMs ?? nowMs) < initialPollsMs;
	const usable = [...state.workers.values()].filter(worker => isUsable(worker, nowMs));
	for (const worker of state.workers.values()) {
		repeatStops(state, worker, nowMs);
		stopStalled(state, worker, nowMs);
		if (isTakingOver) {
			continue;
		}

		if (worker.entry.isDraining || worker.isReserved) {
			displaced.push(...relocateFrom(state, worker, usable, nowMs));
		}
	}

	orderPaces(state, usable, nowMs);
	return displaced;
};
