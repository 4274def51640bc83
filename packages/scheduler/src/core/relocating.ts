/**
Moves lasting tasks away from workers that leave or are about to be maintained, and stops runs that make no progress.

A lasting task at work is ended only while fewer of its step are away than the step may miss, and only where another worker has room for it.
*/
import {stalledTaskMs} from '../constants.js';
import {orderStop} from './jobs.js';
import {reviewPaces} from './pacing.js';
import {chooseWorker} from './placing.js';
import {
	type Run, type StepRun, type Task, type WorkerRecord,
} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {isUsable} from './workers.js';

/** Percent that a lasting task shows once it is at work. */
const atWorkPercent = 100;

/** A lasting task takes this long to be at work at the most; one that takes longer stands still. */
const stalledLastingTaskMs = 4000;

/** A new holder has looked at every worker and renewed its lease by then; before, what is listed as running may be about to lapse. */
const firstLooksMs = 1000;

/** How long a stop may take before it is ordered again. */
const stopRetryMs = 600;

const isAtWork = (run: Run | undefined): boolean =>
	run?.phase === 'running' && run.percent >= atWorkPercent && run.worker.silentSinceMs === undefined;

/** Tasks of the step that serve nobody at the moment. */
export const awayCount = (step: StepRun): number => step.tasks.filter(task => !isAtWork(task.run)).length;

/** Whether the run may be ended: without it, no more of its step may be away than the step can miss. */
const mayEnd = (run: Run, step: StepRun): boolean => awayCount(step) - (isAtWork(run) ? 0 : 1) < Math.max(1, step.spec.mayMiss);

/** Stops lasting tasks that another worker has room for; returns the tasks that found none. */
const relocateFrom = (state: SchedulerState, worker: WorkerRecord, usable: readonly WorkerRecord[], nowMs: number): readonly Task[] => {
	const stranded: Task[] = [];
	for (const run of worker.runs.values()) {
		const step = run.task?.step;
		if (step === undefined || !step.spec.isLasting || run.phase !== 'running') {
			continue;
		}

		// A task that was still starting when its worker last answered may be at work by now.
		const isAllowed = worker.entry.isDraining || mayEnd(run, step);
		const target = chooseWorker(state, run.task!, usable.filter(other => other.entry.pool === worker.entry.pool && !other.isDue), nowMs);
		if (target === undefined) {
			stranded.push(run.task!);
		} else if (isAllowed) {
			orderStop(state, run, nowMs, worker.entry.isDraining ? 'worker-draining' : 'machine-reserved');
		}
	}

	return stranded;
};

const stopStalled = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	for (const run of worker.runs.values()) {
		if (run.phase !== 'running' || run.task === undefined || worker.silentSinceMs !== undefined) {
			continue;
		}

		const {isLasting, isGang} = run.task.step.spec;
		const stalledForMs = Math.min(worker.lastAnswerAtMs, nowMs) - run.percentChangedAtMs;
		const isStalled = isLasting
			? run.percent < atWorkPercent && stalledForMs >= stalledLastingTaskMs
			: !isGang && run.worker.fillPacePercent > 0 && run.pacePercent !== 0 && stalledForMs >= stalledTaskMs;
		if (isStalled) {
			run.task.avoidedWorkerId = worker.entry.workerId;
			orderStop(state, run, nowMs, 'no-progress');
		}
	}
};

/** A stop without an effect may be ordered again, except where others of a lasting step have gone away meanwhile: they come back first. */
const mayRepeatStop = (run: Run): boolean => {
	const step = run.task?.step;
	return step === undefined || !step.spec.isLasting || step.job.outcome !== undefined || run.worker.entry.isDraining || mayEnd(run, step);
};

const repeatStops = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	for (const run of worker.runs.values()) {
		if (run.stopOrderedAtMs !== undefined && nowMs - run.stopOrderedAtMs >= stopRetryMs && mayRepeatStop(run)) {
			orderStop(state, run, nowMs, 'repeated');
		}
	}
};

/** Looks after what runs: relocations, runs without progress, stops that got no answer. Returns the tasks that have to move and find no room. */
export const reviewRuns = (state: SchedulerState, nowMs: number): readonly Task[] => {
	const stranded: Task[] = [];
	const isTermSettling = nowMs - (state.term?.wonAtMs ?? nowMs) < firstLooksMs;
	const usable = [...state.workers.values()].filter(worker => isUsable(worker, nowMs));
	for (const worker of state.workers.values()) {
		repeatStops(state, worker, nowMs);
		stopStalled(state, worker, nowMs);
		if (isTermSettling) {
			continue;
		}

		if (worker.entry.isDraining || worker.isReserved) {
			stranded.push(...relocateFrom(state, worker, usable, nowMs));
		}
	}

	reviewPaces(state, usable, nowMs);
	return stranded;
};
