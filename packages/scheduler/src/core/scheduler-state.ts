/**
State of the scheduler, with the totals that decisions need: resources occupied on each worker and used by each customer. Only the functions of this folder change it, one event at a time.
*/
import {
	type FleetConfiguration, type JobSpec, type Queue, type Resources,
} from '../types.js';
import {
	type JobRecord, type MachineRecord, type TaskRun, type StepInstance, type Trial, type WaveRecord, type WorkerRecord,
} from './records.js';
import {createDemandForecast, type DemandForecast, type PoolForecastName} from './pools/demand-forecast.js';
import {addResources, noResources, subtractResources} from './resources.js';
import {type SchedulerEffect} from './events.js';
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
	configuration = emptyConfiguration;
	term: LeaseTerm | undefined;
	/** The takeover is settled: every worker that may run tasks of an earlier lease holder has reported, or its leases have expired. */
	isSettled = false;
	readonly jobs = new Map<string, JobRecord>();
	/** Jobs that have not ended. */
	readonly openJobs = new Set<JobRecord>();
	/** Jobs with progress that is not stored yet. */
	readonly dirtyJobs = new Set<JobRecord>();
	readonly workers = new Map<string, WorkerRecord>();
	readonly machines = new Map<string, MachineRecord>();
	machinesListedAtMs: number | undefined;
	readonly waves = new Map<number, WaveRecord>();
	/** Stored progress of waves, which may be read before the wave's order arrives. */
	readonly storedWaves = new Map<number, StoredWave>();
	/** The lease may have passed to another process, so no task is started, and no machine is moved or sent to maintenance. Polling goes on, so that running tasks keep their leases. */
	isSuspended = false;
	readonly demand: DemandForecast;
	readonly shares = new ShareMeter();
	/** Number of advice requests in flight. */
	pendingAdviceRequests = 0;
	pendingSaveNumber: number | undefined;
	lastSaveAtMs = 0;
	saveCount = 0;
	/** Number of the last stored save. */
	storedSaveNumber = 0;
	/** Trials of this term that have not ended. */
	readonly trials = new Set<Trial>();
	/** Number of machine orders that this round may still send. */
	machineOrdersLeft = Number.POSITIVE_INFINITY;
	readonly #resourcesInUse = new Map<string, Resources>();
	readonly #occupied = new Map<WorkerRecord, Resources>();
	#effects: SchedulerEffect[] = [];

	constructor(poolForecast: PoolForecastName = 'recent-arrivals') {
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
		this.term = {fencingToken, wonAtMs: nowMs, attemptBase: fencingToken * attemptsPerTerm};
		this.isSettled = false;
		this.isSuspended = false;
		this.pendingSaveNumber = undefined;
		this.demand.restart();
	}

	queueOf(job: JobRecord | JobSpec): Queue | undefined {
		return this.configuration.queues.get('spec' in job ? job.spec.queue : job.queue);
	}

	/** Returns the pool that the job's queue uses at present. */
	poolOf(job: JobRecord): string | undefined {
		return this.queueOf(job)?.pool;
	}

	/** Returns the resources that a customer uses over all pools, including runs that are starting or stopping. */
	resourcesInUse(customer: string): Resources {
		return this.#resourcesInUse.get(customer) ?? noResources;
	}

	/** Returns the resources that runs occupy on the worker. */
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

	addRun(run: TaskRun): void {
		run.worker.runs.set(run.taskKey, run);
		this.#occupied.set(run.worker, addResources(this.occupied(run.worker), run.occupiedResources));
		this.#resourcesInUse.set(run.customer, addResources(this.resourcesInUse(run.customer), run.limitUsage));
		if (run.task !== undefined) {
			run.task.phase = 'placed';
			run.task.run = run;
			run.task.lastAttempt = run.attempt;
		}
	}

	/** Removes a run that has definitely ended. Its task becomes waiting again unless it is done. */
	removeRun(run: TaskRun, nowMs: number): void {
		const {worker, task} = run;
		if (worker.runs.get(run.taskKey) !== run) {
			return;
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

	/** Discards all runs and per-term worker state before a new term or after the end of one. */
	clearRuns(nowMs: number): void {
		this.trials.clear();
		for (const worker of this.workers.values()) {
			for (const run of worker.runs.values()) {
				this.removeRun(run, nowMs);
			}

			worker.expiredRuns = [];
			worker.trial = undefined;
			worker.isFenced = false;
			worker.processedSequence = 0;
			worker.acknowledgedSequence = 0;
			worker.sentAcknowledgement = 0;
			worker.pendingAcknowledgement = undefined;
			worker.clock = undefined;
			worker.isReserved = false;
			worker.silentSinceMs = undefined;
		}
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
