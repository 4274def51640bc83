/**
Throttles filling tasks on workers where serving tasks miss their response-time target.

Filling tasks use the CPU time that serving tasks leave idle, and their interference with the serving tasks changes within seconds. Each sample in which a serving task misses its target cuts the pace of all filling tasks on that worker, which pauses them after two samples. Samples well below the target raise the pace again in small steps.
*/
import {type OrderAnswer} from '../ports.js';
import {orderStop, type CurrentTime} from './jobs.js';
import {orderTokenFor} from './order-tokens.js';
import {chooseWorker} from './placement.js';
import {type TaskRun, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {stepDown} from './terms.js';

/** Workers report averages of the last half second; a shorter interval would evaluate the same load twice. */
const sampleIntervalMs = 500;

const fullPacePercent = 100;

/** Factor applied to the pace when a target is missed. Full pace drops to 35% with the first sample and to a pause with the second, well within the 4 s for which operators accept a missed target. */
const throttleFactor = 0.35;

/** Below this pace a filling task makes less progress than its start costs, so it is paused. */
const minPacePercent = 15;

/** Amount by which a sample below `recoveryThreshold` raises the pace. From a pause to full pace takes 5 s, longer than most load bursts. */
const recoveryStepPercent = 10;

/** Ratio of response time to target below which the pace is raised. Between this ratio and the target the pace stays unchanged. */
const recoveryThreshold = 0.7;

/** An unanswered order is repeated after this delay. */
const paceRetryMs = 600;

/** A filling task that has been paused for this long is moved to another worker if there is one without serving tasks. */
const maxFillingPauseMs = 3000;

const isFilling = (run: TaskRun): boolean => run.task?.step.spec.isFilling === true;

const hasResponseTarget = (run: TaskRun): boolean => {
	const spec = run.task?.step.spec;
	return spec !== undefined && spec.isLasting && !spec.isFilling && spec.targetMs > 0 && run.phase === 'running';
};

/** Returns the highest ratio of response time to target among the serving tasks; 1 means exactly at the target. */
const worstTargetRatio = (serving: readonly TaskRun[]): number => Math.max(0, ...serving.map(run => run.figure / run.task!.step.spec.targetMs));

const nextPace = (pacePercent: number, targetRatio: number): number => {
	if (targetRatio > 1) {
		const throttledPercent = pacePercent * throttleFactor;
		return throttledPercent < minPacePercent ? 0 : Math.round(throttledPercent);
	}

	return targetRatio < recoveryThreshold ? Math.min(fullPacePercent, pacePercent + recoveryStepPercent) : pacePercent;
};

/** Sets the pace of a worker's filling tasks after the worker has reported. */
export const updatePace = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	if (nowMs - worker.paceSampledAtMs < sampleIntervalMs) {
		return;
	}

	worker.paceSampledAtMs = nowMs;
	const serving = [...worker.runs.values()].filter(run => hasResponseTarget(run));
	const targetRatio = worstTargetRatio(serving);
	const pacePercent = serving.length === 0 ? fullPacePercent : nextPace(worker.fillingPacePercent, targetRatio);
	const hasFillingRuns = [...worker.runs.values()].some(run => isFilling(run));
	if (pacePercent !== worker.fillingPacePercent && hasFillingRuns) {
		state.emit({
			type: 'log', fields: {
				event: 'pace_changed', workerId: worker.entry.workerId, percent: pacePercent, replaces: worker.fillingPacePercent, targetPercent: Math.round(100 * targetRatio),
			},
		});
	}

	worker.fillingPausedSinceMs = pacePercent > 0 ? undefined : worker.fillingPausedSinceMs ?? nowMs;
	worker.fillingPacePercent = hasFillingRuns ? pacePercent : fullPacePercent;
};

/** Orders the pace for filling tasks that do not have it yet, and relocates tasks that have been paused too long. */
export const orderPaces = (state: SchedulerState, usable: readonly WorkerRecord[], nowMs: number): void => {
	for (const worker of state.workers.values()) {
		for (const run of worker.runs.values()) {
			if (!isFilling(run) || run.phase !== 'running') {
				continue;
			}

			const isWaiting = run.paceOrderedAtMs !== undefined && nowMs - run.paceOrderedAtMs < paceRetryMs;
			if (run.pacePercent !== worker.fillingPacePercent && !isWaiting) {
				orderPace(state, run, nowMs);
			}

			relocateStarved(state, run, usable, nowMs);
		}
	}
};

const orderPace = (state: SchedulerState, run: TaskRun, nowMs: number): void => {
	run.paceOrderedAtMs = nowMs;
	state.emit({
		type: 'pace', workerId: run.worker.entry.workerId, taskKey: run.taskKey, attempt: run.attempt, percent: run.worker.fillingPacePercent, fencingToken: state.term!.fencingToken, orderToken: orderTokenFor(state, run.worker), orderedAtMs: nowMs,
	});
};

const relocateStarved = (state: SchedulerState, run: TaskRun, usable: readonly WorkerRecord[], nowMs: number): void => {
	const {worker} = run;
	if (worker.fillingPausedSinceMs === undefined || nowMs - worker.fillingPausedSinceMs < maxFillingPauseMs || run.task!.step.spec.isLasting) {
		return;
	}

	const candidates = usable.filter(other => other !== worker && other.entry.pool === worker.entry.pool && ![...other.runs.values()].some(sibling => hasResponseTarget(sibling)));
	if (chooseWorker(state, run.task!, candidates, nowMs) !== undefined) {
		run.task!.avoidedWorkerId = worker.entry.workerId;
		orderStop(state, run, nowMs, 'starved');
	}
};

type PaceAnsweredEvent = CurrentTime & {
	readonly workerId: string;
	readonly taskKey: string;
	readonly attempt: number;
	readonly percent: number;
	readonly orderedAtMs: number;
	readonly answer: OrderAnswer;
};

/** Applies the answer to the last pace order for the run; an earlier one may be answered after it. */
export const applyPaceAnswer = (state: SchedulerState, event: PaceAnsweredEvent): void => {
	if (event.answer === 'fenced') {
		stepDown(state, `worker ${event.workerId} has seen a higher token`, event.nowMs);
		return;
	}

	const run = state.workers.get(event.workerId)?.runs.get(event.taskKey);
	if (run?.attempt === event.attempt && run.paceOrderedAtMs === event.orderedAtMs && event.answer === 'accepted') {
		run.pacePercent = event.percent;
		run.paceOrderedAtMs = undefined;
	}
};
