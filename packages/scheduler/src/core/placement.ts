/**
Chooses the worker for a task.

Placement is designed for pools whose demand exceeds their capacity: tasks are packed onto workers that already run tasks (best fit by CPU), so that idle machines can leave the pool and wide tasks still find a whole worker. Lasting tasks are packed too, but workers on a rack that already runs half of the step's tasks are avoided, since a rack can fail as a whole. Workers that have started recently are slow at first, so warm ones are preferred.
*/
import {ticketFor} from './placement-advice.js';
import {type StepInstance, type Task, type WorkerRecord} from './records.js';
import {resourcesOccupiedBy, type SchedulerState} from './scheduler-state.js';

const countOnWorker = (step: StepInstance, worker: WorkerRecord): number => {
	let count = 0;
	for (const run of worker.runs.values()) {
		if (run.task?.step === step) {
			count++;
		}
	}

	for (const run of worker.expectedRuns) {
		if (run.task?.step === step) {
			count++;
		}
	}

	return count;
};

/** Returns true if the worker has the capacity for one more task of the step and may run it. */
export const isAllowed = (state: SchedulerState, step: StepInstance, worker: WorkerRecord, nowMs: number): boolean => {
	const {spec} = step;
	return state.hasRoom(worker, resourcesOccupiedBy(step))
		&& (spec.requiredLabel === '' || worker.entry.labels.includes(spec.requiredLabel))
		&& (spec.maxPerWorker === 0 || countOnWorker(step, worker) < spec.maxPerWorker)
		&& ticketFor(state, step, worker, nowMs) !== undefined;
};

/** Penalty of a worker whose filling tasks are paused. */
const maxInterferencePenalty = 101;

/** Filling tasks prefer workers without serving tasks, then workers that allow the highest pace. */
const interferencePenalty = (worker: WorkerRecord): number => {
	const serves = [...worker.runs.values()].some(run => (run.task?.step.spec.targetMs ?? 0) > 0);
	return serves ? maxInterferencePenalty - worker.fillingPacePercent : 0;
};

/** Counts the step's runs on each rack. */
const runsByRack = (step: StepInstance): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {run} of step.tasks) {
		if (run !== undefined) {
			const {rack} = run.worker.entry;
			counts.set(rack, (counts.get(rack) ?? 0) + 1);
		}
	}

	return counts;
};

/** Used for steps whose placement does not depend on racks. */
const noRuns: ReadonlyMap<string, number> = new Map();

/** Combines penalties, the most important first, into one number; smaller is better. */
const combinePenalties = (...penalties: readonly boolean[]): number => {
	let tier = 0;
	for (const isPenalized of penalties) {
		tier = (2 * tier) + (isPenalized ? 1 : 0);
	}

	return tier;
};

/** Ranks a worker for the task before its free capacity is compared; smaller is better. */
const tierOf = (task: Task, worker: WorkerRecord, onRack: ReadonlyMap<string, number>): number => {
	const {spec} = task.step;
	const {rack} = worker.entry;
	const isAvoided = task.avoidedWorkerId === worker.entry.workerId;
	const isFarFromData = spec.dataRack !== '' && spec.dataRack !== rack;
	const isIdle = worker.runs.size === 0;
	const isCold = worker.entry.coldLeftMs > 0;
	if (spec.isLasting) {
		const isCrowded = (onRack.get(rack) ?? 0) >= Math.ceil(spec.taskCount / 2);
		return combinePenalties(isAvoided, worker.isMaintenanceDue, isCold, isFarFromData, isCrowded, isIdle);
	}

	if (spec.isFilling) {
		return (((combinePenalties(isAvoided, isCold, isFarFromData) * (maxInterferencePenalty + 1)) + interferencePenalty(worker)) * 2) + (isIdle ? 1 : 0);
	}

	const isOffRack = spec.prefersOneRack && onRack.size > 0 && !onRack.has(rack);
	return combinePenalties(isAvoided, isCold, isFarFromData, isOffRack, isIdle);
};

/** Returns the best of the workers on which the task's step is allowed, or `undefined` if there is none. */
export const chooseAmong = (state: SchedulerState, task: Task, allowed: readonly WorkerRecord[]): WorkerRecord | undefined => {
	if (allowed.length === 0) {
		return undefined;
	}

	const {spec} = task.step;
	const onRack = spec.isLasting || spec.prefersOneRack ? runsByRack(task.step) : noRuns;
	let best: WorkerRecord | undefined;
	let bestTier = 0;
	let bestFreeMillicores = 0;
	for (const worker of allowed) {
		// An earlier run of the task may still be stopping there.
		if (worker.runs.has(task.key)) {
			continue;
		}

		const tier = tierOf(task, worker, onRack);
		const freeMillicores = state.freeMillicores(worker);
		if (best === undefined || tier < bestTier || (tier === bestTier && freeMillicores < bestFreeMillicores)) {
			best = worker;
			bestTier = tier;
			bestFreeMillicores = freeMillicores;
		}
	}

	return best;
};

/** Returns the best worker that may run the task, or `undefined` if none has the capacity. */
export const chooseWorker = (state: SchedulerState, task: Task, workers: readonly WorkerRecord[], nowMs: number): WorkerRecord | undefined =>
	chooseAmong(state, task, workers.filter(worker => isAllowed(state, task.step, worker, nowMs)));
