/**
Starts waiting tasks on workers with free capacity, within the capacity of workers and the upper limits of customers. Returns the tasks that could not be placed, which pool sizing uses as its input.
*/
import {type Resources} from '../types.js';
import {isSuspect} from './crash-attribution.js';
import {orderTokenFor} from './order-tokens.js';
import {requestAdvice, ticketFor} from './placement-advice.js';
import {type QueuedStep} from './order/order-policy.js';
import {chooseAmong, isAllowed} from './placement.js';
import {
	type TaskRun, type StepInstance, type Task, type WorkerRecord,
} from './records.js';
import {
	addResources, fitsInto, multiplyResources, noResources, staysWithin,
} from './resources.js';
import {resourcesOccupiedBy, type SchedulerState} from './scheduler-state.js';
import {canStartJob, logEarlyStarts} from './takeover.js';
import {
	canPlanTrials, canStartTrial, endFinishedTrials, findTrial, freeTrialWorkers, planTrial, planTrials, skipAttempt, type TrialPlan, type WaitingSuspect,
} from './trials.js';
import {recordLeaseSent} from './unheard-runs.js';
import {deadlineClockMs, isUsable} from './workers.js';

/** Tasks of one pool that could not be placed for lack of capacity. */
export type Shortage = {
	readonly needs: Resources;
	readonly taskCount: number;
};

const staysWithinUpperLimit = (state: SchedulerState, customer: string, more: Resources): boolean => {
	const limit = state.configuration.customers.get(customer)?.upperLimit ?? noResources;
	return staysWithin(limit, state.resourcesInUse(customer), more);
};

/** Returns the number of the tasks' next common attempt, which is above all of earlier lease holders. */
const nextAttempt = (state: SchedulerState, ...tasks: readonly Task[]): number => Math.max(state.term!.attemptBase, ...tasks.map(task => task.lastAttempt)) + 1;

/** For this long after a term has begun, starts are logged with the version of the progress that they rest on. A takeover is settled within it. */
const detailedStartsMs = 10_000;

const startTask = (state: SchedulerState, task: Task, worker: WorkerRecord, nowMs: number): void => {
	const {fencingToken, wonAtMs} = state.term!;
	const attempt = nextAttempt(state, task);
	const {job, spec} = task.step;
	const startDeadlineClockMs = deadlineClockMs(worker, nowMs)!;
	const run: TaskRun = {
		taskKey: task.key,
		attempt,
		worker,
		incarnation: worker.incarnation,
		customer: job.spec.customer,
		occupiedResources: resourcesOccupiedBy(task.step),
		limitUsage: spec.needs,
		task,
		phase: 'starting',
		orderedAtMs: nowMs,
		startDeadlineClockMs,
		mayArrive: true,
		startedAtMs: undefined,
		listedIncarnation: undefined,
		isConfirmed: false,
		isTrial: worker.trial?.tasks.includes(task) === true,
		isAdopted: false,
		lastListedAtMs: nowMs,
		isProven: false,
		unansweredAtMs: undefined,
		stopOrderedAtMs: undefined,
		checkpoint: task.checkpoint,
		percent: 0,
		percentChangedAtMs: nowMs,
		figure: 0,
		pacePercent: 100,
		paceOrderedAtMs: undefined,
	};
	state.addRun(run);
	state.startCount++;
	recordLeaseSent(worker, nowMs);
	state.emit({
		type: 'start', workerId: worker.entry.workerId, taskKey: task.key, attempt, ticket: ticketFor(state, task.step, worker, nowMs) ?? '', payload: job.spec.payload, checkpoint: task.checkpoint, deadlineClockMs: startDeadlineClockMs, fencingToken, orderToken: orderTokenFor(state, worker), waitedMs: Math.round(nowMs - task.waitingSinceMs), progressVersion: nowMs - wonAtMs < detailedStartsMs ? job.progressVersion : undefined,
	});
};

/** A pool's usable workers during one dispatch pass, in which their free capacity only shrinks. */
class PoolWorkers {
	/** Includes workers that are used for a trial, which start no other task. */
	readonly usable: WorkerRecord[] = [];
	/** Resources for which no worker had the capacity earlier in this pass. */
	readonly #tooLarge: Resources[] = [];

	/** Returns true if something no larger was found to fit on no worker. */
	isTooLarge(needs: Resources): boolean {
		return this.#tooLarge.some(known => fitsInto(known, needs));
	}

	/** Returns the usable workers with capacity for the resources. */
	withCapacity(state: SchedulerState, needs: Resources): readonly WorkerRecord[] {
		if (this.isTooLarge(needs)) {
			return [];
		}

		const found = this.usable.filter(worker => worker.trial === undefined && state.hasRoom(worker, needs));
		if (found.length === 0) {
			this.#tooLarge.push(needs);
		}

		return found;
	}
}

/** Usable workers by pool, collected once per dispatch pass. */
class UsableWorkers {
	readonly #byPool = new Map<string, PoolWorkers>();

	constructor(state: SchedulerState, nowMs: number) {
		for (const worker of state.workers.values()) {
			if (isUsable(worker, nowMs)) {
				this.of(worker.entry.pool).usable.push(worker);
			}
		}
	}

	of(pool: string): PoolWorkers {
		let workers = this.#byPool.get(pool);
		if (workers === undefined) {
			workers = new PoolWorkers();
			this.#byPool.set(pool, workers);
		}

		return workers;
	}
}

/** Starts the tasks of planned trials whose workers are ready. Gangs are started by `startGang`. */
const startReadyTrials = (state: SchedulerState, nowMs: number): void => {
	for (const trial of state.trials) {
		const task = trial.tasks[0]!;
		if (task.step.spec.isGang || !canStartTrial(state, trial)) {
			continue;
		}

		trial.isStarted = true;
		if (staysWithinUpperLimit(state, task.step.job.spec.customer, task.step.spec.needs)) {
			startTask(state, task, trial.workers[0]!, nowMs);
		} else {
			skipAttempt(state, task, trial.attempt);
		}
	}
};

/** The waiting tasks of one pool as far as trials depend on them. */
type PoolSuspects = {
	readonly suspects: WaitingSuspect[];
	/** Tasks that are not suspected wait too. */
	isOtherWaiting: boolean;
};

/** Collects the suspected tasks that wait without a planned trial, by pool. The trial of a gang is planned by `startGang`. */
const collectSuspects = (state: SchedulerState, queued: readonly QueuedStep[]): ReadonlyMap<string, PoolSuspects> => {
	const byPool = new Map<string, PoolSuspects>();
	for (const {step, pool} of queued) {
		const found = byPool.get(pool) ?? {suspects: [], isOtherWaiting: false};
		byPool.set(pool, found);
		for (const task of canStartJob(state, step.job) ? step.tasks : []) {
			if (task.phase !== 'waiting') {
				continue;
			}

			if (step.spec.isGang || !isSuspect(task)) {
				found.isOtherWaiting = true;
			} else if (findTrial(state, task) === undefined) {
				found.suspects.push({task, attempt: nextAttempt(state, task)});
			}
		}
	}

	return byPool;
};

const planPoolTrials = (state: SchedulerState, queued: readonly QueuedStep[], workers: UsableWorkers, nowMs: number): void => {
	if (!canPlanTrials(state, nowMs)) {
		return;
	}

	for (const [pool, {suspects, isOtherWaiting}] of collectSuspects(state, queued)) {
		if (suspects.length > 0) {
			planTrials(state, suspects, {usable: workers.of(pool).usable, isOtherWaiting}, nowMs);
		}
	}
};

/** Starts the tasks of a step that fit, and returns how many could not be placed. */
const startIndividualTasks = (state: SchedulerState, {step}: QueuedStep, pool: PoolWorkers, nowMs: number): number => {
	let allowed = pool.withCapacity(state, resourcesOccupiedBy(step)).filter(worker => isAllowed(state, step, worker, nowMs));
	let unplaced = 0;
	for (const task of step.tasks) {
		if (task.phase !== 'waiting') {
			continue;
		}

		if (!staysWithinUpperLimit(state, step.job.spec.customer, step.spec.needs)) {
			return unplaced;
		}

		if (isSuspect(task)) {
			// Suspects are started by their trials. Without one, the pool lacks a worker for it.
			unplaced += findTrial(state, task) === undefined ? 1 : 0;
			continue;
		}

		const worker = chooseAmong(state, task, allowed);
		if (worker === undefined) {
			unplaced++;
			continue;
		}

		startTask(state, task, worker, nowMs);
		if (!isAllowed(state, step, worker, nowMs)) {
			allowed = allowed.filter(other => other !== worker);
		}
	}

	return unplaced;
};

/** Starts all tasks of a gang with the same attempt number, or none of them. */
const startGang = (state: SchedulerState, {step}: QueuedStep, pool: PoolWorkers, nowMs: number): number => {
	if (step.tasks.some(task => task.phase !== 'waiting')) {
		return 0;
	}

	const requestedResources = multiplyResources(step.spec.needs, step.tasks.length);
	if (!staysWithinUpperLimit(state, step.job.spec.customer, requestedResources)) {
		return 0;
	}

	const trial = findTrial(state, step.tasks[0]!);
	if (trial !== undefined && !canStartTrial(state, trial)) {
		return 0;
	}

	const lastAttempt = Math.max(...step.tasks.map(task => task.lastAttempt));
	const checkpoint = step.tasks.find(task => task.checkpoint !== '')?.checkpoint ?? '';
	const workers = pool.withCapacity(state, resourcesOccupiedBy(step));
	const plan = trial?.workers ?? planGang(state, step, workers.filter(worker => ticketFor(state, step, worker, nowMs) !== undefined));
	if (plan === undefined) {
		return step.tasks.length;
	}

	if (trial !== undefined) {
		trial.isStarted = true;
	} else if (step.tasks.some(task => isSuspect(task))) {
		planGangTrial(state, {tasks: step.tasks, workers: plan, attempt: nextAttempt(state, ...step.tasks)}, pool, nowMs);
		return 0;
	}

	for (const [index, task] of step.tasks.entries()) {
		task.lastAttempt = lastAttempt;
		task.checkpoint = checkpoint;
		startTask(state, task, plan[index]!, nowMs);
	}

	return 0;
};

/** Plans the trial of a gang unless too many workers are used for trials already. A gang may take more workers than the share for trials while there is no other trial, since it would never start otherwise. */
const planGangTrial = (state: SchedulerState, plan: TrialPlan, {usable}: PoolWorkers, nowMs: number): void => {
	const isOnlyTrial = usable.every(({trial}) => trial === undefined);
	if (canPlanTrials(state, nowMs) && (isOnlyTrial || new Set(plan.workers).size <= freeTrialWorkers(usable, true))) {
		planTrial(state, plan, nowMs);
	}
};

/** Returns a worker for each member of the gang, filling one worker after the other, or `undefined` if the gang does not fit. */
const planGang = (state: SchedulerState, step: StepInstance, workers: readonly WorkerRecord[]): readonly WorkerRecord[] | undefined => {
	const plan: WorkerRecord[] = [];
	const needs = resourcesOccupiedBy(step);
	const {requiredLabel, maxPerWorker, taskCount, dataRack} = step.spec;
	const byRack = workers.toSorted((a, b) => Number(b.entry.rack === dataRack) - Number(a.entry.rack === dataRack) || (a.entry.rack < b.entry.rack ? -1 : 1));
	for (const worker of byRack) {
		if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) {
			continue;
		}

		const freeCapacity = state.room(worker);
		const fits = Math.min(
			needs.cpuMillicores === 0 ? taskCount : Math.floor(freeCapacity.cpuMillicores / needs.cpuMillicores),
			needs.memoryMb === 0 ? taskCount : Math.floor(freeCapacity.memoryMb / needs.memoryMb),
			needs.accelerators === 0 ? taskCount : Math.floor(freeCapacity.accelerators / needs.accelerators),
			maxPerWorker === 0 ? taskCount : maxPerWorker,
		);
		for (let member = 0; member < fits && plan.length < taskCount; member++) {
			plan.push(worker);
		}
	}

	return plan.length === taskCount ? plan : undefined;
};

/** Adds unplaced tasks to the shortage of their pool. */
const addShortage = (shortages: Map<string, Shortage>, pool: string, step: StepInstance, taskCount: number): void => {
	const known = shortages.get(pool) ?? {needs: noResources, taskCount: 0};
	const needs = addResources(known.needs, multiplyResources(resourcesOccupiedBy(step), taskCount));
	shortages.set(pool, {needs, taskCount: known.taskCount + taskCount});
};

/** Tries once to place all waiting tasks and returns the shortage of each pool. `displaced` tasks, which have to leave their worker, count towards the shortage. */
export const dispatchTasks = (state: SchedulerState, displaced: readonly Task[], nowMs: number): ReadonlyMap<string, Shortage> => {
	const shortages = new Map<string, Shortage>();
	for (const {step} of displaced) {
		const pool = state.poolOf(step.job);
		if (pool !== undefined) {
			addShortage(shortages, pool, step, 1);
		}
	}

	endFinishedTrials(state, nowMs);
	const usable = new UsableWorkers(state, nowMs);
	const queuedSteps = state.order.sort(state, nowMs);
	planPoolTrials(state, queuedSteps, usable, nowMs);
	startReadyTrials(state, nowMs);
	const started: StepInstance[] = [];
	for (const queued of queuedSteps) {
		if (!canStartJob(state, queued.step.job)) {
			continue;
		}

		const pool = usable.of(queued.pool);
		const startsBefore = state.startCount;
		const unplaced = queued.step.spec.isGang
			? startGang(state, queued, pool, nowMs)
			: startIndividualTasks(state, queued, pool, nowMs);
		if (state.startCount > startsBefore) {
			state.order.recordStarts(queued, state.startCount - startsBefore);
			started.push(queued.step);
		}

		if (unplaced > 0) {
			requestAdvice(state, queued.step, pool.usable, nowMs);
		}

		// While an advice request is in flight, it is unknown whether the pool lacks capacity for the step.
		if (unplaced > 0 && queued.step.adviceRequestedAtMs === undefined) {
			addShortage(shortages, queued.pool, queued.step, unplaced);
		}
	}

	logEarlyStarts(state, started);
	return shortages;
};
