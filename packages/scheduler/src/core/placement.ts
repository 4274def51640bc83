/**
Chooses the worker for a task.

Placement is designed for pools whose demand exceeds their capacity: tasks are packed onto workers that already run tasks (best fit by CPU), so that idle machines can leave the pool and wide tasks still find a whole worker. Lasting tasks are packed too, but workers on a rack that already runs half of the step's tasks are avoided, since a rack can fail as a whole.
*/
import {ticketFor} from './placement-advice.js';
import {type TaskRun, type Task, type WorkerRecord} from './records.js';
import {fitsInto} from './resources.js';
import {resourcesOccupiedBy, type SchedulerState} from './scheduler-state.js';

/** Ranking of a worker, compared field by field in order; smaller is better. */
type Score = readonly number[];

const countOnWorker = (task: Task, worker: WorkerRecord): number => {
	let count = 0;
	for (const run of worker.runs.values()) {
		if (run.task?.step === task.step) {
			count++;
		}
	}

	return count;
};

const isAllowed = (state: SchedulerState, task: Task, worker: WorkerRecord, nowMs: number): boolean => {
	const {spec} = task.step;
	return !worker.runs.has(task.key)
		&& (spec.requiredLabel === '' || worker.entry.labels.includes(spec.requiredLabel))
		&& (spec.maxPerWorker === 0 || countOnWorker(task, worker) < spec.maxPerWorker)
		&& fitsInto(resourcesOccupiedBy(task.step), state.room(worker))
		&& ticketFor(state, task.step, worker, nowMs) !== undefined;
};

const runsOf = (task: Task): readonly TaskRun[] => task.step.tasks.flatMap(member => member.run === undefined ? [] : [member.run]);

/** Filling tasks prefer workers without serving tasks, then workers that allow the highest pace. */
const interferencePenalty = (worker: WorkerRecord): number => {
	const serves = [...worker.runs.values()].some(run => (run.task?.step.spec.targetMs ?? 0) > 0);
	return serves ? 101 - worker.fillingPacePercent : 0;
};

const idlePenalty = (worker: WorkerRecord): number => worker.runs.size === 0 ? 1 : 0;

const scoreOf = (state: SchedulerState, task: Task, worker: WorkerRecord, siblings: readonly TaskRun[]): Score => {
	const {spec} = task.step;
	const {rack} = worker.entry;
	const isAvoided = task.avoidedWorkerId === worker.entry.workerId ? 1 : 0;
	const isFarFromData = spec.dataRack !== '' && spec.dataRack !== rack ? 1 : 0;
	const onRack = siblings.filter(run => run.worker.entry.rack === rack).length;
	const freeMillicores = state.room(worker).cpuMillicores;
	if (spec.isLasting) {
		const isCrowded = onRack >= Math.ceil(spec.taskCount / 2) ? 1 : 0;
		return [isAvoided, worker.isMaintenanceDue ? 1 : 0, isFarFromData, isCrowded, idlePenalty(worker), freeMillicores];
	}

	if (spec.isFilling) {
		return [isAvoided, isFarFromData, interferencePenalty(worker), idlePenalty(worker), freeMillicores];
	}

	const isOffRack = spec.prefersOneRack && siblings.length > 0 && onRack === 0 ? 1 : 0;
	return [isAvoided, isFarFromData, isOffRack, idlePenalty(worker), freeMillicores];
};

const isBetter = (a: Score, b: Score): boolean => {
	for (const [index, value] of a.entries()) {
		if (value !== b[index]) {
			return value < b[index]!;
		}
	}

	return false;
};

/** Returns the best worker that may run the task, or `undefined` if none has the capacity. */
export const chooseWorker = (state: SchedulerState, task: Task, workers: readonly WorkerRecord[], nowMs: number): WorkerRecord | undefined => {
	const siblings = runsOf(task);
	let best: WorkerRecord | undefined;
	let bestScore: Score = [];
	for (const worker of workers) {
		if (!isAllowed(state, task, worker, nowMs)) {
			continue;
		}

		const score = scoreOf(state, task, worker, siblings);
		if (best === undefined || isBetter(score, bestScore)) {
			best = worker;
			bestScore = score;
		}
	}

	return best;
};
