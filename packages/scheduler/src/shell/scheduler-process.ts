/**
Runs the scheduler of one process: watches the state that the platform stores, contends for the lease, performs the reducer's effects and dispatches their results as events.
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
import {endedJobRetentionMs, storeRetryDelayMs} from '../constants.js';
import {type SchedulerEffect, type SchedulerEvent} from '../core/events.js';
import {reduceScheduler} from '../core/reducer.js';
import {type PoolForecastName} from '../core/pools/demand-forecast.js';
import {SchedulerState} from '../core/scheduler-state.js';
import {JobService} from '../jobs/job-service.js';
import {JobStore} from '../jobs/job-store.js';
import {
	countPendingJobs, countPendingRows, type JobView, ReplicaJobView, StoredJobView,
} from '../jobs/job-view.js';
import {jobChangeFrom, jobsPrefix, progressKey} from '../jobs/rows.js';
import {
	type StateSource, type WorkerSource, type MachineControl, type OperatorOrders, type PlacementAdvisor, type WaveReporter, type WorkerControl,
} from '../ports.js';
import {type FleetConfiguration} from '../types.js';
import {EffectPerformer} from './effect-performer.js';
import {pendingFrom, pendingWrite} from './pending-rows.js';
import {WorkerPoller} from './worker-poller.js';
import {controlPrefix, waveChangeFrom} from './wave-rows.js';

/** Name of the lease whose holder schedules the fleet. */
export const schedulerLease = 'scheduler';

/** A holder that does not renew the lease for this long is replaced. Two renewals may be lost, and no lease on the workers lapses meanwhile. */
const leaseMs = 3000;

/** How long a small process waits before it acquires a free lease, so that a larger one can acquire it first: each process checks the lease once in a third of the lease time. */
const smallHostDelayMs = leaseMs / 3;

/** How often a lease holder checks for a larger process, and the minimum time for which it holds the lease before it yields to one. */
const yieldCheckIntervalMs = 2000;

/** Interval of ticks with the lease, on which decisions are made, and without it. */
const decisionIntervalMs = 25;
const idleTickIntervalMs = 250;

/** How long one watch call waits for changes; this bounds the time until a silent connection is noticed. */
const watchWaitMs = 1500;

/** Delay between two reads of changes: short for the lease holder, which starts arriving jobs, and long for its possible successors, which refresh their replica when a caller queries them. */
const holderPollPauseMs = 20;
const successorPollPauseMs = 400;

/** Delay between two reads of the rows that all processes share. */
const controlPollPauseMs = 1000;

/** A process that is no successor waits this long before it acquires a free lease, and checks the lease less often: successors know the jobs and workers already. */
const outsiderDelayMs = 500;
const outsiderCheckIntervalMs = leaseMs / 2;

/** A process that stops being a successor goes on following jobs and workers for this long, so that a short change of the ranking costs nothing. */
const followingLingerMs = 10_000;

/** Interval at which the lease holder publishes the counts of pending jobs, and the age up to which they are used. */
const pendingIntervalMs = 1000;
const maxPendingAgeMs = 3000;

/** Interval at which machines are listed. */
const machineListIntervalMs = 400;

/** The wall clock and the monotonic clock diverge by more than this only if the machine was suspended or its time of day was set. */
const suspensionThresholdMs = 200;

/** Interval at which ended jobs are removed, and the maximum number removed each time. */
const sweepIntervalMs = 5000;
const maxJobsPerSweep = 20;

export type SchedulerProcessOptions = {
	readonly processId: string;
	readonly table: WatchableTable;
	/** The same table, which resolves commits with lost answers. */
	readonly resolvingTable: TableService;
	readonly orders: StateSource<OperatorOrders>;
	readonly workers: WorkerSource;
	readonly workerControl: WorkerControl;
	readonly machineControl: MachineControl;
	readonly advisor: PlacementAdvisor;
	readonly waveReporter: WaveReporter;
	/** Configuration older than this is not used to answer calls, since operators' changes must be in force within that time of being acknowledged. */
	readonly maxConfigurationAgeMs: number;
	/** Returns true if a process with clearly more CPU capacity has sent a heartbeat after `sinceMs`; that process should schedule instead of this one. */
	readonly hasLargerPeer: (sinceMs?: number) => boolean;
	/** Returns true if this process should be ready to take over the lease at any time. */
	readonly isSuccessor: () => boolean;
	/** Called with each configuration that comes into force. */
	readonly onConfigured: (configuration: FleetConfiguration) => void;
	/** Called with changes to the rows, other than job rows, that the processes share. */
	readonly onControlRows: (changes: readonly RowChange[]) => void;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
	/** How the demand of pools is forecast; `recent-arrivals` if left out. */
	readonly poolForecast?: PoolForecastName;
};

export class SchedulerProcess {
	readonly jobService: JobService;
	readonly #options: SchedulerProcessOptions;
	readonly #runtime: ReducerRuntime<SchedulerState, SchedulerEvent, SchedulerEffect>;
	readonly #performer: EffectPerformer;
	readonly #lifecycle: LifecycleManager;
	readonly #leases: LeaseContender;
	readonly #store: JobStore;
	readonly #jobReplica: TableReplica;
	readonly #controlReplica: TableReplica;
	readonly #workerPoller: WorkerPoller;
	#fence: RowCondition | undefined;
	#cancelTick: CancelTimer | undefined;
	#isListing = false;
	#nextListingAtMs = 0;
	#nextSweepAtMs = 0;
	#nextYieldCheckAtMs = 0;
	#nextPendingAtMs = 0;
	/** Until when the process follows jobs and workers. */
	#followsUntilMs = 0;
	#isFollowing = false;
	readonly #replicaView: JobView;
	readonly #storedView: JobView;
	#pending: {readonly jobsByQueue: ReadonlyMap<string, number>; readonly readAtMs: number} | undefined;
	/** The process is stopping and must not acquire the lease again. */
	#isLeaving = false;
	#isClosed = false;
	/** A read that confirms whether the fence is still valid is in flight. */
	#isConfirmingFence = false;
	/** Difference between the wall clock and the monotonic clock at the last tick. */
	#wallOffsetMs: number | undefined;

	constructor(options: SchedulerProcessOptions) {
		const {table, clock, log, processId} = options;
		this.#options = options;
		this.#lifecycle = new LifecycleManager(clock);
		this.#runtime = new ReducerRuntime(new SchedulerState(options.poolForecast), reduceScheduler, effect => {
			this.#performer.perform(effect);
		});
		options.metrics.gauge('forecast_error_percent', () => this.state.demand.errorPercent);
		this.#store = new JobStore({
			table, resolvingTable: options.resolvingTable, clock, log,
		});
		this.#performer = new EffectPerformer({
			...options,
			store: this.#store,
			state: () => this.#runtime.state,
			fence: () => this.#fence,
			clearFence: () => {
				this.#fence = undefined;
			},
			dispatch: event => {
				this.#runtime.dispatch(event);
			},
			isClosed: () => this.#isClosed,
		});
		this.#leases = new LeaseContender({
			table, holder: `${processId}@${clock.wallTimeMs()}`, previousRunPrefix: `${processId}@`, leaseMs, acquireDelayMs: () => this.#acquireDelayMs(), readIntervalMs: () => options.isSuccessor() ? undefined : outsiderCheckIntervalMs, clock, log,
		});
		this.#jobReplica = new TableReplica({
			table, prefix: jobsPrefix, waitMs: watchWaitMs, clock, log,
			pauseMs: () => this.#runtime.state.term === undefined ? successorPollPauseMs : holderPollPauseMs,
			isActive: () => this.#isFollowing,
			onChanges: changes => {
				this.#applyJobRows(changes);
			},
		});
		this.#controlReplica = new TableReplica({
			table, prefix: controlPrefix, waitMs: watchWaitMs, clock, log, pauseMs: () => controlPollPauseMs,
			onChanges: changes => {
				options.onControlRows(changes);
				this.#applyWaveRows(changes);
				this.#applyPendingRow(changes);
			},
		});
		this.#workerPoller = new WorkerPoller({
			control: options.workerControl, clock, state: () => this.#runtime.state, dispatch: event => {
				this.#runtime.dispatch(event);
			},
		});
		this.#replicaView = new ReplicaJobView({
			state: () => this.#runtime.state,
			refresh: async () => this.#jobReplica.refresh(),
			ageMs: () => clock.nowMs() - (this.#jobReplica.confirmedAtMs ?? Number.NEGATIVE_INFINITY),
		});
		this.#storedView = new StoredJobView({
			readJob: async jobId => this.#store.read(jobId),
			publishedPending: () => this.#pending !== undefined && clock.nowMs() - this.#pending.readAtMs <= maxPendingAgeMs ? this.#pending.jobsByQueue : undefined,
			async readPending() {
				const {rows} = await table.listRows(jobsPrefix);
				return countPendingRows(rows.flatMap(row => jobChangeFrom(row) ?? []));
			},
		});
		this.jobService = new JobService({
			state: () => this.#runtime.state, store: this.#store,
			view: () => this.#isFollowing && this.#jobReplica.confirmedAtMs !== undefined ? this.#replicaView : this.#storedView,
			configurationAgeMs: () => clock.nowMs() - (options.orders.confirmedAtMs ?? Number.NEGATIVE_INFINITY), maxConfigurationAgeMs: options.maxConfigurationAgeMs, clock, log,
		});
	}

	get state(): SchedulerState {
		return this.#runtime.state;
	}

	/** Returns true if a configuration has been read and the table service answered within `maxAgeMs`. */
	isReady(maxAgeMs: number): boolean {
		const {confirmedAtMs} = this.#options.orders;
		return this.state.configuration.version > 0
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
		this.#jobReplica.start();
		this.#controlReplica.start();
		for (const [name, source] of Object.entries({
			orders, workers, jobs: this.#jobReplica, control: this.#controlReplica,
		})) {
			this.#lifecycle.own(name, () => {
				source.stop();
			});
		}

		this.#contend();
		this.#scheduleTick();
	}

	/** Releases the lease permanently, so that another process takes over at once, and goes on answering callers. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#releaseLease();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#cancelTick?.();
		this.#leases.close();
		await this.#lifecycle.releaseAll();
	}

	/** Returns the process's state for diagnosis, without payloads and keys. */
	dump(): JsonObject {
		const {state} = this;
		return {
			configuration: state.configuration.version,
			fencingToken: state.term?.fencingToken ?? 0,
			isSettled: state.isSettled,
			openJobs: [...state.openJobs].map(job => ({
				jobId: job.spec.jobId, queue: job.spec.queue, ageMs: Math.round(this.#options.clock.nowMs() - job.firstSeenAtMs), hasBegun: job.hasBegun,
			})),
			workers: [...state.workers.values()].map(worker => ({
				workerId: worker.entry.workerId, pool: worker.entry.pool, isListed: worker.isListed, isFenced: worker.isFenced, isReserved: worker.isReserved, runs: worker.runs.size, acknowledged: worker.acknowledgedSequence,
			})),
			trials: [...state.trials].map(({tasks, workers, isStarted}) => ({
				taskKeys: tasks.map(({key}) => key), workerIds: workers.map(({entry}) => entry.workerId), isStarted,
			})),
			waves: [...state.waves.values()].map(wave => ({
				waveId: wave.order.waveId, state: wave.state, maintained: wave.maintained.size, machines: wave.order.machineIds.length,
			})),
		};
	}

	/** How long the process leaves a free lease to others: to larger hosts, and to successors, which know the jobs and workers. */
	#acquireDelayMs(): number {
		return (this.#options.hasLargerPeer() ? smallHostDelayMs : 0) + (this.#options.isSuccessor() ? 0 : outsiderDelayMs);
	}

	/** Follows jobs and workers while the process holds the lease or is a likely successor. */
	#updateFollowing(): void {
		const nowMs = this.#options.clock.nowMs();
		const isHolder = this.#fence !== undefined || this.state.term !== undefined;
		if (isHolder || this.#options.isSuccessor()) {
			this.#followsUntilMs = nowMs + followingLingerMs;
		}

		const isFollowing = nowMs < this.#followsUntilMs;
		if (isFollowing !== this.#isFollowing) {
			this.#isFollowing = isFollowing;
			this.#options.log.info({event: isFollowing ? 'following_started' : 'following_suspended', isHolder, jobs: this.state.jobs.size});
			this.#jobReplica.endPause();
		}

		const standbyMode = isFollowing ? 'standby' : 'suspended';
		this.#options.workers.setMode(isHolder ? 'scheduling' : standbyMode);
	}

	/** The fence keeps a holder that was paused from overwriting the counts of its successor. */
	async #publishPending(fence: RowCondition): Promise<void> {
		try {
			await this.#options.table.commit({conditions: [fence], writes: [pendingWrite(countPendingJobs(this.state))]});
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#options.log.warn({event: 'pending_not_published', reason: error.message});
		}
	}

	#applyPendingRow(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const jobsByQueue = pendingFrom(change);
			if (jobsByQueue !== undefined) {
				this.#pending = {jobsByQueue, readAtMs: this.#options.clock.nowMs()};
			}
		}
	}

	#contend(): void {
		this.#leases.contend(schedulerLease, lease => {
			this.#onLeaseChanged(lease);
		});
	}

	async #releaseLease(): Promise<void> {
		this.#fence = undefined;
		this.#runtime.dispatch({type: 'leaseLost', ...this.#now()});
		await this.#leases.withdrawAll();
	}

	/** Releases the lease to a larger process. A small host may hold it because it started first or replaced a larger one, but scheduling a large fleet takes more CPU than it has. */
	async #yieldToLargerPeer(): Promise<void> {
		this.#options.log.info({event: 'lease_yielded', reason: 'a larger process is running'});
		await this.#releaseLease();
		if (!this.#isClosed && !this.#isLeaving) {
			this.#contend();
		}
	}

	#now(): {readonly nowMs: number; readonly wallMs: number} {
		return {nowMs: this.#options.clock.nowMs(), wallMs: this.#options.clock.wallTimeMs()};
	}

	#scheduleTick(): void {
		const delayMs = this.state.term === undefined ? idleTickIntervalMs : decisionIntervalMs;
		this.#cancelTick = this.#options.clock.schedule(delayMs, () => {
			this.#tick();
			if (!this.#isClosed) {
				this.#scheduleTick();
			}
		});
	}

	#tick(): void {
		const now = this.#now();
		this.#updateFollowing();
		this.#suspendIfLeaseUncertain(now);
		this.#runtime.dispatch({type: 'tick', ...now});
		this.#workerPoller.pollDueWorkers();
		if (this.state.term === undefined) {
			return;
		}

		if (now.nowMs >= this.#nextListingAtMs && !this.#isListing) {
			void this.#listMachines();
		}

		if (now.nowMs >= this.#nextYieldCheckAtMs) {
			this.#nextYieldCheckAtMs = now.nowMs + yieldCheckIntervalMs;
			if (!this.state.isSuspended && now.nowMs - this.state.term.wonAtMs >= yieldCheckIntervalMs && this.#options.hasLargerPeer(this.state.term.wonAtMs)) {
				void this.#yieldToLargerPeer();
				return;
			}
		}

		if (now.nowMs >= this.#nextPendingAtMs && this.#fence !== undefined) {
			this.#nextPendingAtMs = now.nowMs + pendingIntervalMs;
			void this.#publishPending(this.#fence);
		}

		if (now.nowMs >= this.#nextSweepAtMs) {
			this.#nextSweepAtMs = now.nowMs + sweepIntervalMs;
			void this.#sweepEndedJobs(now.wallMs);
		}
	}

	/**
	A suspended machine's monotonic clock stops, so after a suspension the lease still seems to be valid; only the wall clock shows the gap. Nothing is ordered until a read from the store has confirmed the fence.
	*/
	#suspendIfLeaseUncertain({nowMs, wallMs}: {readonly nowMs: number; readonly wallMs: number}): void {
		const gapMs = wallMs - nowMs - (this.#wallOffsetMs ?? (wallMs - nowMs));
		this.#wallOffsetMs = wallMs - nowMs;
		const {term, isSuspended} = this.state;
		if (term === undefined) {
			return;
		}

		const lease = this.#leases.heldLease(schedulerLease);
		const hasClockJumped = Math.abs(gapMs) > suspensionThresholdMs;
		if (isSuspended && !hasClockJumped && !this.#isConfirmingFence && lease?.fence.version === term.fencingToken) {
			this.#runtime.dispatch({type: 'leaseWon', fencingToken: term.fencingToken, ...this.#now()});
		} else if (!isSuspended && (hasClockJumped || lease === undefined)) {
			this.#options.log.warn({event: 'term_suspended', fencingToken: term.fencingToken, gapMs: Math.round(gapMs)});
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
			if (hasClockJumped && !this.#isConfirmingFence) {
				void this.#confirmFence(term.fencingToken);
			}
		}
	}

	async #confirmFence(fencingToken: number): Promise<void> {
		this.#isConfirmingFence = true;
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
				await this.#pause(storeRetryDelayMs);
			}
		}

		this.#isConfirmingFence = false;
	}

	#onLeaseChanged(lease: HeldLease | undefined): void {
		this.#fence = lease?.fence;
		this.#updateFollowing();
		if (lease === undefined) {
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
			return;
		}

		void this.#beginTerm(lease);
	}

	/** Begins the term once the replica holds everything that the earlier lease holder stored, since orders rely on it. */
	async #beginTerm({fence}: HeldLease): Promise<void> {
		while (this.#fence?.version === fence.version) {
			try {
				await Promise.all([this.#jobReplica.refresh(), this.#controlReplica.refresh(), this.#options.workers.refresh()]);
				this.#runtime.dispatch({type: 'leaseWon', fencingToken: fence.version, ...this.#now()});
				return;
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}

				this.#options.log.warn({event: 'takeover_waits', reason: error.message});
				await this.#pause(storeRetryDelayMs);
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
		this.#nextListingAtMs = this.#options.clock.nowMs() + machineListIntervalMs;
	}

	async #sweepEndedJobs(wallMs: number): Promise<void> {
		const ended = [...this.state.jobs.values()].filter(job => job.isOutcomeStored && job.endedWallMs !== undefined && wallMs - job.endedWallMs > endedJobRetentionMs);
		try {
			for (const job of ended.slice(0, maxJobsPerSweep)) {
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
