/**
Runs the scheduler of one process: follows what the platform keeps, contends for the lease, performs the reducer's effects and turns their results into events.
*/
import {
	type CancelTimer, type Clock, type JsonObject, LifecycleManager, type Logger, type MetricsRegistry, ReducerRuntime,
} from '@poplarnotch/common';
import {
	PlatformError, type RowChange, type RowCondition, type TableService, type WatchableTable,
} from '@poplarnotch/platform';
import {
	fenceKey, type HeldLease, LeaseContender, TableReplica,
} from '@poplarnotch/state';
import {keepEndedJobsMs, storeRetryMs} from '../constants.js';
import {type SchedulerEffect, type SchedulerEvent} from '../core/events.js';
import {reduceScheduler} from '../core/reducer.js';
import {SchedulerState} from '../core/scheduler-state.js';
import {JobDesk} from '../jobs/job-desk.js';
import {JobStore} from '../jobs/job-store.js';
import {jobChangeFrom, jobsPrefix, progressKey} from '../jobs/rows.js';
import {
	type Followed, type FollowedWorkers, type MachineControl, type OperatorOrders, type PlacementAdvisor, type WaveReporter, type WorkerControl,
} from '../ports.js';
import {type FleetConfiguration} from '../types.js';
import {EffectPerformer} from './effect-performer.js';
import {WorkerLinks} from './worker-links.js';
import {controlPrefix, waveChangeFrom} from './wave-rows.js';

/** Name of the lease whose holder schedules. */
export const schedulerLease = 'scheduler';

/** A holder that does not renew for this long is replaced: two renewals may be lost, and nothing on the workers lapses meanwhile. */
const leaseMs = 3000;

/** How long a free lease is left to larger processes: each of them looks at it once in a third of the lease time. */
const standBackMs = leaseMs / 3;

/** How often a holder looks for a larger process, and how long it holds the lease at least. */
const yieldCheckEveryMs = 2000;

/** Pace of decisions while holding the lease, and otherwise. */
const decideEveryMs = 25;
const idleTickMs = 250;

/** How long one call waits for changes; a connection that has gone silent is noticed soon after. */
const followWaitMs = 1500;

/** Pause between two reads of job changes: short for the holder, which starts what arrives, long for the others, which refresh when they are asked. */
const holderPauseMs = 20;
const othersPauseMs = 400;

/** Pace at which machines are listed. */
const listMachinesEveryMs = 400;

/** The wall clock and the steady clock part by this much only where the machine stood still or its time of day was set. */
const suspensionGapMs = 200;

/** Ended jobs are removed this often. */
const sweepEveryMs = 5000;
const maxSweptJobs = 20;

export type SchedulerProcessOptions = {
	readonly processId: string;
	readonly table: WatchableTable;
	/** The same table, with lost answers of commits settled. */
	readonly settledTable: TableService;
	readonly orders: Followed<OperatorOrders>;
	readonly workers: FollowedWorkers;
	readonly workerControl: WorkerControl;
	readonly machineControl: MachineControl;
	readonly advisor: PlacementAdvisor;
	readonly waveReporter: WaveReporter;
	/** Operators' changes must be in force this long after they were acknowledged. */
	readonly maxConfigurationAgeMs: number;
	/** Whether a process with clearly more processor lives, by a sign of life after `sinceMs`: it should schedule in place of this one. */
	readonly hasLargerPeer: (sinceMs?: number) => boolean;
	/** Receives each configuration that comes into force. */
	readonly onConfigured: (configuration: FleetConfiguration) => void;
	/** Receives changes of the rows that processes share besides jobs. */
	readonly onControlRows: (changes: readonly RowChange[]) => void;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class SchedulerProcess {
	readonly desk: JobDesk;
	readonly #options: SchedulerProcessOptions;
	readonly #runtime: ReducerRuntime<SchedulerState, SchedulerEvent, SchedulerEffect>;
	readonly #performer: EffectPerformer;
	readonly #lifecycle: LifecycleManager;
	readonly #leases: LeaseContender;
	readonly #store: JobStore;
	readonly #jobs: TableReplica;
	readonly #control: TableReplica;
	readonly #links: WorkerLinks;
	#fence: RowCondition | undefined;
	#cancelTick: CancelTimer | undefined;
	#isListing = false;
	#nextListingAtMs = 0;
	#nextSweepAtMs = 0;
	#nextYieldCheckAtMs = 0;
	/** The process stops, and must not take the lease again. */
	#isLeaving = false;
	#isClosed = false;
	/** The store is being asked whether the fence still holds. */
	#isConfirming = false;
	/** Difference of the wall clock to the steady one at the last tick. */
	#wallOffsetMs: number | undefined;

	constructor(options: SchedulerProcessOptions) {
		const {table, clock, log, processId} = options;
		this.#options = options;
		this.#lifecycle = new LifecycleManager(clock);
		this.#runtime = new ReducerRuntime(new SchedulerState(), reduceScheduler, effect => {
			this.#performer.perform(effect);
		});
		this.#store = new JobStore({
			processId, table, settledTable: options.settledTable, clock, log,
		});
		this.#performer = new EffectPerformer({
			...options,
			store: this.#store,
			state: () => this.#runtime.state,
			fence: () => this.#fence,
			dropFence: () => {
				this.#fence = undefined;
			},
			dispatch: event => {
				this.#runtime.dispatch(event);
			},
			isClosed: () => this.#isClosed,
		});
		this.#leases = new LeaseContender({
			table, holder: `${processId}@${clock.wallTimeMs()}`, formerRunPrefix: `${processId}@`, leaseMs, standBackMs: () => options.hasLargerPeer() ? standBackMs : 0, clock, log,
		});
		this.#jobs = new TableReplica({
			table, prefix: jobsPrefix, waitMs: followWaitMs, clock, log,
			pauseMs: () => this.#runtime.state.term === undefined ? othersPauseMs : holderPauseMs,
			onChanges: changes => {
				this.#applyJobRows(changes);
			},
		});
		this.#control = new TableReplica({
			table, prefix: controlPrefix, waitMs: followWaitMs, clock, log, pauseMs: () => othersPauseMs,
			onChanges: changes => {
				options.onControlRows(changes);
				this.#applyWaveRows(changes);
			},
		});
		this.#links = new WorkerLinks({
			control: options.workerControl, clock, state: () => this.#runtime.state, dispatch: event => {
				this.#runtime.dispatch(event);
			},
		});
		this.desk = new JobDesk({
			state: () => this.#runtime.state, store: this.#store, refresh: async () => this.#jobs.refresh(), ageMs: () => clock.nowMs() - (this.#jobs.confirmedAtMs ?? Number.NEGATIVE_INFINITY),
			configurationAgeMs: () => clock.nowMs() - (options.orders.confirmedAtMs ?? Number.NEGATIVE_INFINITY), maxConfigurationAgeMs: options.maxConfigurationAgeMs, clock, log,
		});
	}

	get state(): SchedulerState {
		return this.#runtime.state;
	}

	/** A configuration and all jobs are known, and the table service answered lately. */
	isReady(maxAgeMs: number): boolean {
		const {confirmedAtMs} = this.#options.orders;
		return this.state.configuration.version > 0
			&& this.#jobs.confirmedAtMs !== undefined
			&& confirmedAtMs !== undefined
			&& this.#options.clock.nowMs() - confirmedAtMs <= maxAgeMs;
	}

	start(): void {
		const {orders, workers} = this.#options;
		orders.start(({configuration, waves}) => {
			if (configuration !== undefined && configuration.version !== this.state.configuration.version) {
				this.#options.log.info({
					event: 'configuration_in_force', version: configuration.version, replaces: this.state.configuration.version, queues: configuration.queues.size,
				});
				this.#runtime.dispatch({type: 'configured', configuration, ...this.#now()});
				this.#options.onConfigured(configuration);
			}

			this.#runtime.dispatch({type: 'wavesOrdered', waves, ...this.#now()});
		});
		workers.start(entries => {
			this.#runtime.dispatch({type: 'workersListed', workers: entries, ...this.#now()});
		});
		this.#jobs.start();
		this.#control.start();
		for (const [name, followed] of Object.entries({
			orders, workers, jobs: this.#jobs, control: this.#control,
		})) {
			this.#lifecycle.own(name, () => {
				followed.stop();
			});
		}

		this.#contend();
		this.#keepTicking();
	}

	/** Gives up the lease for good, so that another process takes over at once, and goes on answering callers. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#handOver();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#cancelTick?.();
		this.#leases.close();
		await this.#lifecycle.releaseAll();
	}

	/** What the process believes, without payloads and keys. */
	dump(): JsonObject {
		const {state} = this;
		return {
			configuration: state.configuration.version,
			fencingToken: state.term?.fencingToken ?? 0,
			isSettled: state.isSettled,
			openJobs: [...state.openJobs].map(job => ({
				jobId: job.spec.jobId, queue: job.spec.queue, ageMs: Math.round(this.#options.clock.nowMs() - job.seenAtMs), hasBegun: job.hasBegun,
			})),
			workers: [...state.workers.values()].map(worker => ({
				workerId: worker.entry.workerId, pool: worker.entry.pool, isListed: worker.isListed, isFenced: worker.isFenced, isReserved: worker.isReserved, runs: worker.runs.size, acknowledged: worker.acknowledgedSequence,
			})),
			waves: [...state.waves.values()].map(wave => ({
				waveId: wave.order.waveId, state: wave.state, maintained: wave.maintained.size, machines: wave.order.machineIds.length,
			})),
		};
	}

	#contend(): void {
		this.#leases.contend(schedulerLease, lease => {
			this.#leaseChanged(lease);
		});
	}

	async #handOver(): Promise<void> {
		this.#fence = undefined;
		this.#options.workers.followClosely(false);
		this.#runtime.dispatch({type: 'leaseLost', ...this.#now()});
		await this.#leases.withdrawAll();
	}

	/** A small host that came first, or stood in for a larger one, gives the lease back: deciding for a large fleet takes more processor than it has. */
	async #yieldToLarger(): Promise<void> {
		this.#options.log.info({event: 'lease_yielded', reason: 'a larger process lives'});
		await this.#handOver();
		if (!this.#isClosed && !this.#isLeaving) {
			this.#contend();
		}
	}

	#now(): {readonly nowMs: number; readonly wallMs: number} {
		return {nowMs: this.#options.clock.nowMs(), wallMs: this.#options.clock.wallTimeMs()};
	}

	#keepTicking(): void {
		const delayMs = this.state.term === undefined ? idleTickMs : decideEveryMs;
		this.#cancelTick = this.#options.clock.schedule(delayMs, () => {
			this.#tick();
			if (!this.#isClosed) {
				this.#keepTicking();
			}
		});
	}

	#tick(): void {
		const now = this.#now();
		this.#suspendWhereUnsure(now);
		this.#runtime.dispatch({type: 'tick', ...now});
		this.#links.lookAround();
		if (this.state.term === undefined) {
			return;
		}

		if (now.nowMs >= this.#nextListingAtMs && !this.#isListing) {
			void this.#listMachines();
		}

		if (now.nowMs >= this.#nextYieldCheckAtMs) {
			this.#nextYieldCheckAtMs = now.nowMs + yieldCheckEveryMs;
			if (!this.state.isSuspended && now.nowMs - this.state.term.wonAtMs >= yieldCheckEveryMs && this.#options.hasLargerPeer(this.state.term.wonAtMs)) {
				void this.#yieldToLarger();
				return;
			}
		}

		if (now.nowMs >= this.#nextSweepAtMs) {
			this.#nextSweepAtMs = now.nowMs + sweepEveryMs;
			void this.#sweepEndedJobs(now.wallMs);
		}
	}

	/**
	A suspended machine's steady clock stands still, so after a suspension the lease looks as fresh as before; only the wall clock shows the gap. Nothing is ordered until the store has confirmed the fence.
	*/
	#suspendWhereUnsure({nowMs, wallMs}: {readonly nowMs: number; readonly wallMs: number}): void {
		const gapMs = wallMs - nowMs - (this.#wallOffsetMs ?? (wallMs - nowMs));
		this.#wallOffsetMs = wallMs - nowMs;
		const {term, isSuspended} = this.state;
		if (term === undefined) {
			return;
		}

		const lease = this.#leases.heldLease(schedulerLease);
		const wasStopped = Math.abs(gapMs) > suspensionGapMs;
		if (isSuspended && !wasStopped && !this.#isConfirming && lease?.fence.version === term.fencingToken) {
			this.#runtime.dispatch({type: 'leaseWon', fencingToken: term.fencingToken, ...this.#now()});
		} else if (!isSuspended && (wasStopped || lease === undefined)) {
			this.#options.log.warn({event: 'term_suspended', fencingToken: term.fencingToken, gapMs: Math.round(gapMs)});
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
			if (wasStopped && !this.#isConfirming) {
				void this.#confirmFence(term.fencingToken);
			}
		}
	}

	async #confirmFence(fencingToken: number): Promise<void> {
		this.#isConfirming = true;
		let isKnown = false;
		while (!isKnown && this.state.term?.fencingToken === fencingToken) {
			try {
				const [row] = await this.#options.table.readRows([fenceKey(schedulerLease)]);
				this.#runtime.dispatch(row?.version === fencingToken ? {type: 'leaseWon', fencingToken, ...this.#now()} : {type: 'leaseLost', ...this.#now()});
				isKnown = true;
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}

				this.#options.log.warn({event: 'fence_not_confirmed', reason: error.message});
				await this.#pause(storeRetryMs);
			}
		}

		this.#isConfirming = false;
	}

	#leaseChanged(lease: HeldLease | undefined): void {
		this.#fence = lease?.fence;
		this.#options.workers.followClosely(lease !== undefined);
		if (lease === undefined) {
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
			return;
		}

		void this.#beginTerm(lease);
	}

	/** Orders are given only on a replica that holds everything the earlier holder stored. */
	async #beginTerm({fence}: HeldLease): Promise<void> {
		while (this.#fence?.version === fence.version) {
			try {
				await Promise.all([this.#jobs.refresh(), this.#control.refresh()]);
				this.#runtime.dispatch({type: 'leaseWon', fencingToken: fence.version, ...this.#now()});
				return;
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}

				this.#options.log.warn({event: 'takeover_waits', reason: error.message});
				await this.#pause(storeRetryMs);
			}
		}
	}

	async #pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}

	#applyJobRows(changes: readonly RowChange[]): void {
		const read = changes.map(change => ({change, job: jobChangeFrom(change)}));
		for (const {change, job} of read) {
			if (job === undefined && change.value !== undefined) {
				this.#options.log.warn({event: 'row_unreadable', key: change.key, version: change.version});
			}
		}

		this.#runtime.dispatch({type: 'jobsChanged', changes: read.flatMap(({job}) => job ?? []), ...this.#now()});
	}

	#applyWaveRows(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const progress = waveChangeFrom(change);
			if (progress !== undefined) {
				this.#runtime.dispatch({type: 'waveProgressed', ...progress, ...this.#now()});
			}
		}
	}

	async #listMachines(): Promise<void> {
		this.#isListing = true;
		const sentAtMs = this.#options.clock.nowMs();
		try {
			const machines = await this.#options.machineControl.list();
			this.#runtime.dispatch({
				type: 'machinesListed', machines, sentAtMs, ...this.#now(),
			});
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#options.log.warn({event: 'machines_not_listed', reason: error.message});
		}

		this.#isListing = false;
		this.#nextListingAtMs = this.#options.clock.nowMs() + listMachinesEveryMs;
	}

	async #sweepEndedJobs(wallMs: number): Promise<void> {
		const ended = [...this.state.jobs.values()].filter(job => job.isOutcomeStored && job.endedWallMs !== undefined && wallMs - job.endedWallMs > keepEndedJobsMs);
		try {
			for (const job of ended.slice(0, maxSweptJobs)) {
				for (const key of [...job.rowKeys, progressKey(job.spec.jobId)]) {
					await this.#store.remove(key);
				}
			}
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#options.log.warn({event: 'sweep_failed', jobs: ended.length, reason: error.message});
		}
	}
}
