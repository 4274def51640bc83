/**
Everything the scheduler believes, with the sums that decisions need: what runs occupy on each worker and what each customer has running. Only the functions of this folder change it, one event at a time.
*/
import {
	type FleetConfiguration, type JobSpec, type Queue, type Resources,
} from '../types.js';
import {
	type JobRecord, type MachineRecord, type Run, type StepRun, type Task, type WaveRecord, type WorkerRecord,
} from './records.js';
import {DemandMeter} from './demand-meter.js';
import {addResources, noResources, subtractResources} from './resources.js';
import {type SchedulerEffect} from './events.js';
import {ShareMeter} from './shares.js';

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

/** A fence under which the process gives orders. */
export type Term = {
	readonly fencingToken: number;
	readonly wonAtMs: number;
	/** Attempts given out in this term start above this number, which rises from holder to holder. */
	readonly attemptBase: number;
};

/** How far an earlier holder got with a wave. */
export type StoredWave = {
	readonly maintained: readonly string[];
	readonly isCompleted: boolean;
};

/** Attempts that one task can have in one term. */
const attemptsPerTerm = 1000;

export class SchedulerState {
	configuration = emptyConfiguration;
	term: Term | undefined;
	/** Set once every worker that may run something of an earlier holder has answered or its leases are over. */
	isSettled = false;
	readonly jobs = new Map<string, JobRecord>();
	/** Jobs without an outcome. */
	readonly openJobs = new Set<JobRecord>();
	readonly workers = new Map<string, WorkerRecord>();
	readonly machines = new Map<string, MachineRecord>();
	machinesListedAtMs: number | undefined;
	readonly waves = new Map<number, WaveRecord>();
	/** Stored progress of waves, which may be read before the wave's order. */
	readonly storedWaves = new Map<number, StoredWave>();
	/** Nothing is started or ordered away: the lease may have passed to another process. Looks go on, so that what runs is kept. */
	isSuspended = false;
	readonly demand = new DemandMeter();
	readonly shares = new ShareMeter();
	/** Questions to the policy service that have no answer yet. */
	adviceUnderWay = 0;
	saveUnderWay: number | undefined;
	lastSaveAtMs = 0;
	saveCount = 0;
	readonly #inUse = new Map<string, Resources>();
	readonly #occupied = new Map<WorkerRecord, Resources>();
	#effects: SchedulerEffect[] = [];

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
		this.saveUnderWay = undefined;
	}

	queueOf(job: JobRecord | JobSpec): Queue | undefined {
		return this.configuration.queues.get('spec' in job ? job.spec.queue : job.queue);
	}

	/** The pool that runs the job now. */
	poolOf(job: JobRecord): string | undefined {
		return this.queueOf(job)?.pool;
	}

	/** What a customer has running over all pools, including what is about to start or to stop. */
	inUse(customer: string): Resources {
		return this.#inUse.get(customer) ?? noResources;
	}

	occupied(worker: WorkerRecord): Resources {
		return this.#occupied.get(worker) ?? noResources;
	}

	room(worker: WorkerRecord): Resources {
		return subtractResources(worker.entry.capacity, this.occupied(worker));
	}

	addRun(run: Run): void {
		run.worker.runs.set(run.taskKey, run);
		this.#occupied.set(run.worker, addResources(this.occupied(run.worker), run.occupies));
		this.#inUse.set(run.customer, addResources(this.inUse(run.customer), run.counts));
		if (run.task !== undefined) {
			run.task.phase = 'placed';
			run.task.run = run;
			run.task.lastAttempt = run.attempt;
		}
	}

	/** Forgets a run that has surely ended; its task waits again unless it was marked done before. */
	removeRun(run: Run, nowMs: number): void {
		const {worker, task} = run;
		if (worker.runs.get(run.taskKey) !== run) {
			return;
		}

		worker.runs.delete(run.taskKey);
		this.#occupied.set(worker, subtractResources(this.occupied(worker), run.occupies));
		this.#inUse.set(run.customer, subtractResources(this.inUse(run.customer), run.counts));
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

	/** Drops what was believed of runs, for a process that begins to schedule. */
	forgetRuns(nowMs: number): void {
		for (const worker of this.workers.values()) {
			for (const run of worker.runs.values()) {
				this.removeRun(run, nowMs);
			}

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

/** What a task of the step takes of a worker. Filling tasks take the processor time that others leave. */
export const occupiedBy = (step: StepRun): Resources =>
	step.spec.isFilling ? {...step.spec.needs, cpuMillicores: 0} : step.spec.needs;

/** Whether all steps that the step waits for are done. */
export const isStepReady = (step: StepRun): boolean => {
	const steps = step.job.occurrences.get(step.occurrence);
	return step.spec.after.every(index => {
		const earlier = steps?.[index];
		return earlier === undefined || earlier.doneCount === earlier.tasks.length;
	});
};

/** Tasks that may be started once there is room. */
export const waitingTasks = (step: StepRun): readonly Task[] => step.tasks.filter(task => task.phase === 'waiting');
