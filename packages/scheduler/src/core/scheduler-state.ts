/**
State of the scheduler, with the totals that decisions need: resources occupied on each worker and used by each customer. Only the functions of this folder change it, one event at a time.
*/
import {defaultMaxWorkerLeaseMs, maxCallDelayMs} from '../constants.js';
import {type UnreadableMachine} from '../ports.js';
import {
	type FleetConfiguration, type JobSpec, type Queue, type Resources,
} from '../types.js';
import {
	type DetachedRows, type Evacuation, type JobRecord, type ListTimes, type MachineRecord, type ReportedEnd, type TaskRun, type StepInstance, type Trial, type WaveRecord, type WorkerRecord,
} from './records.js';
import {DurationModel} from './model/duration-model.js';
import {LikelyInTimeFirst} from './order/likely-in-time-first.js';
import {type OrderPolicy} from './order/order-policy.js';
import {createDemandForecast, type DemandForecast, type PoolForecastName} from './pools/demand-forecast.js';
import {PoolLoadLog} from './pools/pool-load-log.js';
import {addResources, noResources, subtractResources} from './resources.js';
import {type AwaitedRevision, type EarlierHolder, type SchedulerEffect} from './events.js';
import {ShareMeter} from './share-meter.js';

const emptyConfiguration: FleetConfiguration = {
	version: 0,
	routes: [],
	customerByKey: new Map(),
	limits: {
		bodyBytes: 0, headerBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
	},
	queues: new Map(),
	pools: new Map(),
	customers: new Map(),
};

/** A period in which the process holds the lease and gives orders under its fencing token. */
export type LeaseTerm = {
	readonly fencingToken: number;
	readonly wonAtMs: number;
	/** Attempt numbers of this term start above this base, which rises from holder to holder. */
	readonly attemptBase: number;
};

/** Progress of a wave as stored, possibly by an earlier lease holder. */
export type StoredWave = {
	readonly maintained: readonly string[];
	readonly isCompleted: boolean;
};

/** Maximum number of attempts of one task in one term. */
const attemptsPerTerm = 1000;

export class SchedulerState {
	/** The order in which waiting steps are offered capacity. */
	readonly order: OrderPolicy;
	configuration = emptyConfiguration;
	term: LeaseTerm | undefined;
	/** The takeover is settled: every worker that may run tasks of an earlier lease holder has reported, or its leases have expired. */
	isSettled = false;
	/** Jobs that were stored after this revision cannot have been read while an earlier holder gave orders; `undefined` until the store has named a revision after that. */
	newJobsAfterRevision: number | undefined;
	/** Registrations that were stored after this revision were written after the last call of earlier holders had arrived; `undefined` until the store has named a revision after that. */
	registrationsAfterRevision: number | undefined;
	/** The revisions that the store was asked for in this term. */
	readonly requestedRevisions = new Set<AwaitedRevision>();
	/** The holder that this term's holder replaced on suspicion, while it may still be alive. */
	earlierHolder: EarlierHolder | undefined;
	/** Until when a start of earlier holders may still be carried out, by worker id, as the last one stated when it released the lease. */
	inheritedStarts: ReadonlyMap<string, number> = new Map();
	/** When the runs of earlier holders are over, by worker id, as the last one stated when it released the lease. */
	inheritedBounds: ReadonlyMap<string, number> = new Map();
	/** The same for all workers that it did not name. */
	inheritedOthersUntilMs = Number.NEGATIVE_INFINITY;
	/** Until when a start of earlier holders may be carried out that nobody has stated. */
	unknownStartsUntilMs = 0;
	/** Until when lists of machines may lack workers that started again before this term. */
	unlistedUntilMs = 0;
	/** Ends `done` that workers have listed since the term began, until its takeover was settled. */
	foundEnds = {stored: 0, unstored: 0, unstoredJobIds: new Set<string>()};
	/** When it was last logged what the takeover waits for, or when the term began. */
	takeoverLoggedAtMs = 0;
	readonly jobs = new Map<string, JobRecord>();
	/** Stored rows of jobs whose specification is not known, by job id. */
	readonly detachedRows = new Map<string, DetachedRows>();
	/** Jobs that have not ended. */
	readonly openJobs = new Set<JobRecord>();
	/** Jobs with progress that is not stored yet. */
	readonly dirtyJobs = new Set<JobRecord>();
	readonly workers = new Map<string, WorkerRecord>();
	readonly machines = new Map<string, MachineRecord>();
	/** The newest list of machines. */
	machineList: (ListTimes & {readonly unreadable: readonly UnreadableMachine[]}) | undefined;
	/** Every machine that stayed in place since this time is known: a list of one moment was requested then, or the first of two lists that are not. */
	machinesKnownSinceMs: number | undefined;
	/** The entries that cannot be read, of the newest list and of the one before if the newest may lack machines. */
	unreadableMachines: readonly UnreadableMachine[] = [];
	/** Evacuations in force, by data centre. */
	readonly evacuations = new Map<string, Evacuation>();
	/** The operators' rows have not been confirmed for too long, so nothing is started, relocated or moved into a pool. */
	areOrdersOutdated = false;
	readonly waves = new Map<number, WaveRecord>();
	/** Stored progress of waves, which may be read before the wave's order arrives. */
	readonly storedWaves = new Map<number, StoredWave>();
	/** The lease may have passed to another process, so no task is started, no lease on a worker extended, and no machine moved or sent to maintenance. Polling goes on. */
	isSuspended = false;
	/** The process will give up its lease once its orders to machines are answered, and sends no further ones. */
	isReleasePlanned = false;
	/** The process will give up its lease once the polls in flight are answered, and sends no further ones. */
	isPollingEnded = false;
	/** The process is about to give up its lease: it stores what it has read, and orders and polls nothing. */
	isHandingOver = false;
	/** The lease could not be renewed in time. Tasks are started, since no other process can have acquired the lease, but no machine is moved or sent to maintenance: the next holder may order the same machine at once. */
	isLeaseUnconfirmed = false;
	readonly demand: DemandForecast;
	/** How long steps take compared with their announced durations. */
	readonly durations = new DurationModel();
	readonly shares = new ShareMeter();
	readonly poolLoadLog = new PoolLoadLog();
	/** Number of tasks started by this process. */
	startCount = 0;
	/** Number of advice requests that were sent. */
	adviceRequestCount = 0;
	/** Numbers of the advice requests in flight. */
	readonly pendingAdviceRequests = new Set<number>();
	pendingSaveNumber: number | undefined;
	/** What the pending save contains; it is saved again in the next term if the outcome is not known by then. */
	pendingSaveJobs: readonly JobRecord[] = [];
	pendingSaveWaves: readonly WaveRecord[] = [];
	/** Jobs and waves whose last save the store refused, with the time from which they are saved again. They count as unsaved until a save with them is stored. */
	readonly refusedUntilMs = new Map<JobRecord | WaveRecord, number>();
	lastSaveAtMs = 0;
	/** The next save begins once the interval since the last one is over. */
	isSaveScheduled = false;
	saveCount = 0;
	/** Number of the last stored save. */
	storedSaveNumber = 0;
	/** When the newest read of the job rows was sent that found all of them; the copy holds every job that was accepted before. */
	jobRowsConfirmedAtMs: number | undefined;
	/** The copy of the job rows holds every change up to this revision. */
	jobRowsRevision: number | undefined;
	/** Since when this process has read the registrations of workers without a gap. */
	workersFollowedSinceMs: number | undefined;
	/** When a worker that drained was last seen to be gone, or one to have started again, with the list of what had ended there. */
	lastDepartureAtMs = Number.NEGATIVE_INFINITY;
	/** Runs of tasks whose jobs have not been read yet. */
	readonly unresolvedRuns = new Set<TaskRun>();
	/** Ends of jobs that have not been read yet, which earlier incarnations of workers had listed. No worker lists them any more. */
	endsOfEarlierIncarnations: ReadonlyArray<ReportedEnd & {readonly worker: WorkerRecord; readonly isListedAgain?: boolean}> = [];
	/** Trials of this term that have not ended. */
	readonly trials = new Set<Trial>();
	/** Number of orders for machines that were sent, repeated ones included. */
	machineOrderCount = 0;
	/** Longest lease that workers grant. */
	readonly maxWorkerLeaseMs: number;
	/** Number of incarnations of workers that this process has seen begin. */
	incarnationCount = 0;
	/** Number of machine orders that this round may still send. */
	machineOrdersLeft = Number.POSITIVE_INFINITY;
	readonly #resourcesInUse = new Map<string, Resources>();
	readonly #occupied = new Map<WorkerRecord, Resources>();
	/** Workers that keep capacity free for the task of a run that is being stopped elsewhere. */
	readonly #replacements = new Map<TaskRun, WorkerRecord>();
	/** Until when a start that this process has removed without an answer may be carried out, by worker id. */
	readonly #lateStartsUntilMs = new Map<string, number>();
	/** Numbers of restarts, in this term, of workers whose records were deleted. */
	readonly #deletedWorkers = new Map<string, {readonly restartCount: number; readonly deletedAtMs: number}>();
	#effects: SchedulerEffect[] = [];

	constructor(order: OrderPolicy = new LikelyInTimeFirst(), poolForecast: PoolForecastName = 'recent-arrivals', maxWorkerLeaseMs = defaultMaxWorkerLeaseMs) {
		this.maxWorkerLeaseMs = maxWorkerLeaseMs;
		this.order = order;
		this.demand = createDemandForecast(poolForecast);
	}

	emit(effect: SchedulerEffect): void {
		this.#effects.push(effect);
	}

	takeEffects(): readonly SchedulerEffect[] {
		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	beginTerm(fencingToken: number, nowMs: number): void {
		this.term = {
			fencingToken, wonAtMs: nowMs, attemptBase: fencingToken * attemptsPerTerm,
		};
		this.isSettled = false;
		this.earlierHolder = undefined;
		this.takeoverLoggedAtMs = nowMs;
		this.foundEnds = {stored: 0, unstored: 0, unstoredJobIds: new Set()};
		this.newJobsAfterRevision = undefined;
		this.registrationsAfterRevision = undefined;
		this.requestedRevisions.clear();
		this.isSuspended = false;
		this.isReleasePlanned = false;
		this.isPollingEnded = false;
		this.isHandingOver = false;
		this.isSaveScheduled = false;
		this.isLeaseUnconfirmed = false;
		this.#repeatPendingSave();
		this.demand.restart();
	}

	/** Deletes the record of a worker that is gone. Orders to it are counted on from where they were, should the worker register itself again. */
	deleteWorker({entry: {workerId}, restartCount}: WorkerRecord, nowMs: number): void {
		this.workers.delete(workerId);
		this.#deletedWorkers.set(workerId, {restartCount, deletedAtMs: nowMs});
		for (const [otherId, other] of this.#deletedWorkers) {
			if (other.restartCount === 0 && nowMs - other.deletedAtMs > maxCallDelayMs) {
				// It has seen no token but the first, and no order is on its way to it any more.
				this.#deletedWorkers.delete(otherId);
			}
		}
	}

	/** Returns the number of restarts for a new record of the worker, if it had one in this term: one more than then, since it may have started again meanwhile. */
	takeRestartCount(workerId: string): number | undefined {
		const deleted = this.#deletedWorkers.get(workerId);
		this.#deletedWorkers.delete(workerId);
		return deleted && deleted.restartCount + 1;
	}

	/** When the newest list of machines was requested. */
	get machinesListedAtMs(): number | undefined {
		return this.machineList?.sentAtMs;
	}

	/** Returns true if the machines are known from lists that were requested in this term. */
	get areMachinesOfTerm(): boolean {
		return this.term !== undefined && this.machinesKnownSinceMs !== undefined && this.machinesKnownSinceMs >= this.term.wonAtMs;
	}

	queueOf(job: JobRecord | JobSpec): Queue | undefined {
		return this.configuration.queues.get('spec' in job ? job.spec.queue : job.queue);
	}

	/** When the orders of earlier holders are over: none of them starts a task, or extends a lease on a worker, after that. */
	get earlierOrdersOverAtMs(): number {
		return Math.max(this.term!.wonAtMs, this.earlierHolder?.mayOrderUntilMs ?? 0);
	}

	/** Returns the pool that the job's queue uses at present. */
	poolOf(job: JobRecord): string | undefined {
		return this.queueOf(job)?.pool;
	}

	/** Returns the resources that a customer uses over all pools, including runs that are starting or stopping. */
	resourcesInUse(customer: string): Resources {
		return this.#resourcesInUse.get(customer) ?? noResources;
	}

	/** Returns the resources on the worker that runs occupy or that are kept free for relocated tasks. */
	occupied(worker: WorkerRecord): Resources {
		return this.#occupied.get(worker) ?? noResources;
	}

	/** Returns the free capacity of the worker. */
	room(worker: WorkerRecord): Resources {
		return subtractResources(worker.entry.capacity, this.occupied(worker));
	}

	freeMillicores(worker: WorkerRecord): number {
		return worker.entry.capacity.cpuMillicores - this.occupied(worker).cpuMillicores;
	}

	/** Returns true if the worker has free capacity for the resources. It is asked for every worker and waiting step, so it creates no objects. */
	hasRoom(worker: WorkerRecord, needs: Resources): boolean {
		const {capacity} = worker.entry;
		const occupied = this.occupied(worker);
		return needs.cpuMillicores <= capacity.cpuMillicores - occupied.cpuMillicores
			&& needs.memoryMb <= capacity.memoryMb - occupied.memoryMb
			&& needs.accelerators <= capacity.accelerators - occupied.accelerators;
	}

	/** Runs for whose tasks capacity is kept free, and the workers that keep it. */
	get replacements(): ReadonlyMap<TaskRun, WorkerRecord> {
		return this.#replacements;
	}

	/** Keeps capacity free on the worker for the run's task until `releaseCapacity`. */
	keepCapacity(run: TaskRun, worker: WorkerRecord): void {
		this.#replacements.set(run, worker);
		worker.expectedRuns.add(run);
		this.#occupied.set(worker, addResources(this.occupied(worker), run.occupiedResources));
	}

	releaseCapacity(run: TaskRun): void {
		const worker = this.#replacements.get(run);
		if (worker !== undefined) {
			this.#replacements.delete(run);
			worker.expectedRuns.delete(run);
			this.#occupied.set(worker, subtractResources(this.occupied(worker), run.occupiedResources));
		}
	}

	addRun(run: TaskRun): void {
		run.worker.runs.set(run.taskKey, run);
		this.#occupied.set(run.worker, addResources(this.occupied(run.worker), run.occupiedResources));
		this.#resourcesInUse.set(run.customer, addResources(this.resourcesInUse(run.customer), run.limitUsage));
		if (run.task !== undefined) {
			run.task.phase = 'placed';
			run.task.run = run;
			run.task.lastAttempt = Math.max(run.task.lastAttempt, run.attempt);
		}
	}

	/** Removes a run that has definitely ended. Its task becomes waiting again unless it is done. */
	removeRun(run: TaskRun, nowMs: number): void {
		const {worker, task} = run;
		if (worker.runs.get(run.taskKey) !== run) {
			return;
		}

		if (run.mayArrive) {
			for (const [workerId, untilMs] of this.#lateStartsUntilMs) {
				if (nowMs >= untilMs) {
					this.#lateStartsUntilMs.delete(workerId);
				}
			}

			this.#lateStartsUntilMs.set(worker.entry.workerId, Math.max(run.orderedAtMs + maxCallDelayMs, this.#lateStartsUntilMs.get(worker.entry.workerId) ?? 0));
		}

		worker.runs.delete(run.taskKey);
		this.#occupied.set(worker, subtractResources(this.occupied(worker), run.occupiedResources));
		this.#resourcesInUse.set(run.customer, subtractResources(this.resourcesInUse(run.customer), run.limitUsage));
		if (worker.runs.size === 0) {
			worker.idleSinceMs = nowMs;
		}

		if (task?.run === run) {
			task.run = undefined;
			if (task.phase === 'placed') {
				task.phase = 'waiting';
				task.waitingSinceMs = nowMs;
				task.checkpoint = run.checkpoint === '' ? task.checkpoint : run.checkpoint;
			}
		}
	}

	/** Until when starts of this term that were removed without an answer may still be carried out, by worker id. */
	lateStarts(): Iterable<readonly [workerId: string, untilMs: number]> {
		return this.#lateStartsUntilMs;
	}

	/** Discards all runs and per-term worker state before a new term or after the end of one. */
	clearRuns(nowMs: number): void {
		this.trials.clear();
		this.#deletedWorkers.clear();
		this.unresolvedRuns.clear();
		this.endsOfEarlierIncarnations = [];
		for (const run of this.#replacements.keys()) {
			this.releaseCapacity(run);
		}

		for (const worker of this.workers.values()) {
			for (const run of worker.runs.values()) {
				this.removeRun(run, nowMs);
			}

			worker.expiredRuns = [];
			worker.restart = undefined;
			worker.restartCount = 0;
			worker.trial = undefined;
			worker.isFenced = false;
			worker.mayLackEnds = false;
			worker.processedSequence = 0;
			worker.unresolvedEnds = [];
			worker.unacknowledgedEnds = [];
			worker.acknowledgedSequence = 0;
			worker.sentAcknowledgement = 0;
			worker.pendingAcknowledgement = undefined;
			worker.clock = undefined;
			worker.isReserved = false;
			worker.silentSinceMs = undefined;
			worker.unreachedAtMs = undefined;
		}

		this.#lateStartsUntilMs.clear();
	}

	/** The save of an earlier term may have been rejected. Its progress is known to this process only, so it must be stored before run ends are acknowledged again. */
	#repeatPendingSave(): void {
		for (const job of this.pendingSaveJobs.filter(({spec, isOutcomeStored}) => this.jobs.has(spec.jobId) && !isOutcomeStored)) {
			this.dirtyJobs.add(job);
		}

		for (const wave of this.pendingSaveWaves) {
			wave.isDirty = true;
		}

		this.pendingSaveNumber = undefined;
		this.pendingSaveJobs = [];
		this.pendingSaveWaves = [];
	}
}

/** Returns the resources that a task of the step occupies on its worker. Filling tasks occupy no CPU, since they only use idle CPU time. */
export const resourcesOccupiedBy = (step: StepInstance): Resources =>
	step.spec.isFilling ? {...step.spec.needs, cpuMillicores: 0} : step.spec.needs;

/** Returns true if all predecessors of the step are done. */
export const isStepReady = (step: StepInstance): boolean => {
	const steps = step.job.occurrences.get(step.occurrence);
	return step.spec.after.every(index => {
		const earlier = steps?.[index];
		return earlier === undefined || earlier.doneCount === earlier.tasks.length;
	});
};
