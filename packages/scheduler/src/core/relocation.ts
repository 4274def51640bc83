/**
Relocates lasting tasks from workers that are draining, about to be maintained or in an evacuated data centre, and stops runs that make no progress.

A lasting task is stopped only if another worker has the capacity for it, and, unless its worker is draining, only while fewer tasks of its step are unavailable than the step may miss.

An evacuation displaces a large part of the fleet's lasting tasks at the same time, so one free place would be found for many of them. Each task that leaves an evacuated data centre therefore has its own capacity elsewhere, which is kept free until its run has ended.
*/
import {taskStallTimeoutMs} from '../constants.js';
import {isStopOverdue, orderStop} from './jobs.js';
import {orderPaces} from './throttling.js';
import {chooseWorker} from './placement.js';
import {requestAdvice} from './placement-advice.js';
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

/** A run that its worker still lists this long after the last stop was ordered goes on: a worker ends a run within a second of a stop. */
const stopEffectMs = 2000;

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

/** Releases the capacity that was kept for runs that have ended meanwhile, whose tasks now wait, and on workers that can no longer be used. */
const releaseReplacements = (state: SchedulerState, nowMs: number): void => {
	for (const [run, worker] of state.replacements) {
		const isStopping = run.phase === 'stopping' && run.worker.runs.get(run.taskKey) === run;
		if (!isStopping || !isUsable(worker, nowMs)) {
			state.releaseCapacity(run);
		}
	}
};

/** Returns the runs of lasting tasks that must leave the worker's data centre. Runs on a silent worker end with their lease. A gang could only be relocated as a whole, which ends all its tasks at once, so gangs stay. */
const runsToEvacuate = (worker: WorkerRecord): readonly TaskRun[] => {
	if (!worker.isEvacuated || worker.entry.isDraining || worker.silentSinceMs !== undefined) {
		return [];
	}

	return [...worker.runs.values()].filter(({phase, task}) => phase === 'running' && task?.step.spec.isLasting === true && !task.step.spec.isGang);
};

/** Stops lasting tasks in evacuated data centres for which capacity elsewhere can be kept free. Returns the tasks that fit nowhere. */
const relocateEvacuated = (state: SchedulerState, usable: readonly WorkerRecord[], nowMs: number): readonly Task[] => {
	const withoutRoom: Task[] = [];
	const waiting: TaskRun[] = [];
	const stepsWithoutRoom = new Set<StepInstance>();
	for (const run of [...state.workers.values()].flatMap(worker => runsToEvacuate(worker))) {
		const task = run.task!;
		const {step} = task;
		// Workers that are due for maintenance are candidates too: a wave over the whole pool would otherwise wait for the evacuated machines, and they for the wave.
		const candidates = stepsWithoutRoom.has(step) ? [] : usable.filter(({entry}) => entry.pool === run.worker.entry.pool);
		const target = chooseWorker(state, task, candidates, nowMs);
		if (target === undefined) {
			requestAdvice(state, step, candidates, nowMs);
			stepsWithoutRoom.add(step);
			withoutRoom.push(task);
			continue;
		}

		state.keepCapacity(run, target);
		if (canInterrupt(run, step)) {
			orderStop(state, run, nowMs, 'data-centre-evacuated');
		} else {
			waiting.push(run);
		}
	}

	// Within the round, these took part so that the shortage is complete; across rounds, others may use the capacity.
	for (const run of waiting) {
		state.releaseCapacity(run);
	}

	for (const evacuation of state.evacuations.values()) {
		const isThere = (task: Task): boolean => task.run?.worker.entry.dataCentre === evacuation.dataCentre;
		evacuation.withoutRoom = withoutRoom.filter(task => isThere(task));
		evacuation.waitingForStep = waiting.flatMap(({task}) => task ?? []).filter(task => isThere(task));
	}

	return withoutRoom;
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

/** Returns the step whose limit on unavailable tasks applies to the run; `undefined` if its task does not last or is not wanted any more. */
const limitingStepOf = ({task}: TaskRun): StepInstance | undefined => {
	const step = task?.step;
	return step?.spec.isLasting === true && step.job.outcome === undefined ? step : undefined;
};

/** Returns true if the worker has answered since the stop was ordered, and the run makes no progress towards serving. */
const isStalledInStop = ({worker, stopOrderedAtMs, phase, percent, percentChangedAtMs}: TaskRun): boolean => phase === 'stopping'
	&& worker.silentSinceMs === undefined
	&& worker.lastReportSentAtMs > stopOrderedAtMs!
	&& percent < servingPercent
	&& worker.lastAnswerAtMs - percentChangedAtMs >= taskStallTimeoutMs;

/** Returns true if a stop that had no effect may be ordered again. The limit on a step's unavailable tasks protects those that serve, or may begin to at any moment. It does not apply to a run that can recover only by being stopped. */
const mayRepeatStop = (run: TaskRun): boolean => {
	const step = limitingStepOf(run);
	return step === undefined || run.worker.entry.isDraining || canInterrupt(run, step) || isStalledInStop(run);
};

/** Returns true if a task that is still wanted serves although it was ordered to stop: the worker did not carry out the order. */
const isStopLost = (run: TaskRun): boolean => limitingStepOf(run) !== undefined
	&& run.phase === 'stopping'
	&& run.percent >= servingPercent
	&& run.lastListedAtMs - run.stopOrderedAtMs! >= stopEffectMs;

/** Counts a run as running again. If there is still a reason to stop it, the stop is ordered anew as soon as the step's limit permits. */
const withdrawStop = (state: SchedulerState, run: TaskRun, nowMs: number): void => {
	state.emit({
		type: 'log', fields: {
			event: 'stop_withdrawn', taskKey: run.taskKey, attempt: run.attempt, workerId: run.worker.entry.workerId, orderedAgoMs: Math.round(nowMs - run.stopOrderedAtMs!),
		},
	});
	run.phase = 'running';
	run.stopOrderedAtMs = undefined;
};

/** Repeats stops that had no effect, as soon as they may be repeated. One that could not be repeated for so long that it was lost is withdrawn if its run serves: two runs of a step that are being stopped count as unavailable, and each would keep the other from being stopped for good. */
const repeatStops = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	for (const run of worker.runs.values()) {
		if (!isStopOverdue(run, nowMs)) {
			continue;
		}

		if (isStopLost(run)) {
			withdrawStop(state, run, nowMs);
		} else if (mayRepeatStop(run)) {
			orderStop(state, run, nowMs, 'repeated');
		}
	}
};

/** Relocates tasks, stops stalled runs, repeats unanswered stops and applies paces. Returns the tasks that must move but fit nowhere. */
export const reconcileRuns = (state: SchedulerState, nowMs: number): readonly Task[] => {
	const displaced: Task[] = [];
	const isTakingOver = nowMs - (state.term?.wonAtMs ?? nowMs) < initialPollsMs;
	const workers = [...state.workers.values()];
	const usable = workers.filter(worker => isUsable(worker, nowMs));
	// What leaves draining workers counts against the limits of the steps before any run that may wait is stopped.
	for (const worker of [...workers.filter(({entry}) => entry.isDraining), ...workers.filter(({entry}) => !entry.isDraining)]) {
		repeatStops(state, worker, nowMs);
		stopStalled(state, worker, nowMs);
		// What is stopped while nothing is started would not be replaced.
		if (isTakingOver || state.areOrdersOutdated) {
			continue;
		}

		if (worker.entry.isDraining || (worker.isReserved && !worker.isEvacuated)) {
			displaced.push(...relocateFrom(state, worker, usable, nowMs));
		}
	}

	if (!isTakingOver && !state.areOrdersOutdated && state.evacuations.size > 0) {
		displaced.push(...relocateEvacuated(state, usable, nowMs));
	}

	// Released last, so that the tasks that wait for the capacity are dispatched before it can be kept for another one.
	releaseReplacements(state, nowMs);
	orderPaces(state, usable, nowMs);
	return displaced;
};
