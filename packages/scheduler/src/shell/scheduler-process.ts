/**
Runs the scheduler of one process: watches the state that the platform stores, contends for the lease, performs the reducer's effects and dispatches their results as events.
*/
import {
	type CancelTimer, type Clock, type JsonObject, LifecycleManager, type LogFields, type Logger, type MetricsRegistry, OddEntryLog, ReducerRuntime,
} from '@poplarnotch/common';
import {
	failureReason, type RowChange, type RowCondition, type TableService, type WatchableTable,
} from '@poplarnotch/platform';
import {
	type FailureDetection, fenceKey, type HeldLease, LeaseContender, LivenessMonitor, type OutageKnowledge, TableReplica,
} from '@poplarnotch/state';
import {admitAll, type AdmissionControl} from '../admission/admission-control.js';
import {endedJobRetentionMs, storeRetryDelayMs} from '../constants.js';
import {type EarlierHolder, type SchedulerEffect, type SchedulerEvent} from '../core/events.js';
import {describeEvacuations} from '../core/evacuation.js';
import {createOrderPolicy, type OrderPolicyName} from '../core/order/order-policies.js';
import {reduceScheduler} from '../core/reducer.js';
import {type PoolForecastName} from '../core/pools/demand-forecast.js';
import {SchedulerState} from '../core/scheduler-state.js';
import {JobService} from '../jobs/job-service.js';
import {JobStore} from '../jobs/job-store.js';
import {
	countPendingRows, type JobView, ReplicaJobView, StoredJobView,
} from '../jobs/job-view.js';
import {jobChangeFrom, jobsPrefix, progressKey} from '../jobs/rows.js';
import {
	type RefreshableSource, type WorkerSource, type MachineControl, type OperatorOrders, type PlacementAdvisor, type WaveReporter, type WorkerControl,
} from '../ports.js';
import {type FleetConfiguration} from '../types.js';
import {CopyAgeMonitor} from './copy-age-monitor.js';
import {EffectPerformer} from './effect-performer.js';
import {LeaseContinuation} from './lease-continuation.js';
import {QueuePublisher} from './queue-publisher.js';
import {WorkerPoller} from './worker-poller.js';
import {controlPrefix, waveChangeFrom} from './wave-rows.js';

/** Name of the lease whose holder schedules the fleet. */
export const schedulerLease = 'scheduler';

/** A holder that does not renew the lease for this long is replaced. Two renewals may be lost, and no lease on the workers lapses meanwhile. */
const leaseMs = 3000;

/** A holder that was replaced on suspicion stops trusting its lease this long after its last renewal at the latest. */
const leaseTrustMs = 2400;

/** A holder whose ticks pause for this long may have been replaced on suspicion meanwhile. Less than the silence after which a holder is suspected, less an interval of heartbeats. */
const pauseThresholdMs = 400;

/** How long a small process waits before it acquires a free lease, so that a larger one can acquire it first: each process checks the lease once in a third of the lease time. */
const smallHostDelayMs = leaseMs / 3;

/** How often a lease holder checks for a larger process, and the minimum time for which it holds the lease before it yields to one. */
const yieldCheckIntervalMs = 2000;

/** A holder that has reached the store only through peers for this long hands the lease over. Probes find a path that was lost for a moment within 200 ms. */
const maxRelayedMs = 400;
const relayedReason = 'the store is reached only through peers';

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

/** Interval at which machines are listed. */
const machineListIntervalMs = 400;

/** The wall clock and the monotonic clock diverge by more than this only if the machine was suspended or its time of day was set. */
const suspensionThresholdMs = 200;

/** Interval at which ended jobs are removed, and the maximum number removed each time. */
const sweepIntervalMs = 5000;
const maxJobsPerSweep = 20;

/** The platform takes 64 KB for a row, as base64. */
const defaultMaxRowBytes = 48_000;

export type SchedulerProcessOptions = {
	readonly processId: string;
	readonly table: WatchableTable;
	/** The same table, which resolves commits with lost answers. */
	readonly resolvingTable: TableService;
	readonly orders: RefreshableSource<OperatorOrders>;
	readonly workers: WorkerSource;
	readonly workerControl: WorkerControl;
	readonly machineControl: MachineControl;
	readonly advisor: PlacementAdvisor;
	readonly waveReporter: WaveReporter;
	/** Configuration older than this is not used to answer calls, since operators' changes must be in force within that time of being acknowledged. */
	readonly maxConfigurationAgeMs: number;
	/** A holder whose copy of the operators' rows is older than this starts nothing, since a data centre may have been ordered to be evacuated meanwhile. */
	readonly maxOrdersAgeMs: number;
	/** Returns true if the store is unavailable for every process, in which case no operator can have written an order. */
	readonly hasOutageEvidence?: () => boolean;
	/** Returns true if a process with clearly more CPU capacity has sent a heartbeat after `sinceMs`; that process should schedule instead of this one. */
	readonly hasLargerPeer: (sinceMs?: number) => boolean;
	/** For how long the store has been reached only through peers; `undefined` while it is reached directly, or not at all. */
	readonly relayedForMs?: () => number | undefined;
	/** Returns true if this process should be ready to take over the lease at any time. */
	readonly isSuccessor: () => boolean;
	/** Tells whether no process reaches the store; `undefined` if the holder should not schedule in that case. */
	readonly outage?: OutageKnowledge | undefined;
	/** Returns true while the store is known to answer no call of this process; jobs are then refused at once. */
	readonly isStoreAway?: () => boolean;
	/** How the loss of the holder is detected; without it, the expiry of the lease decides. */
	readonly failureDetection?: FailureDetection | undefined;
	/** Called with each configuration that comes into force. */
	readonly onConfigured: (configuration: FleetConfiguration) => void;
	/** Called with changes to the rows, other than job rows, that the processes share. */
	readonly onControlRows: (changes: readonly RowChange[]) => void;
	/** Decides whether a new job is refused because its pool is overloaded; by default, none is. */
	readonly admission?: AdmissionControl | undefined;
	/** The order in which waiting steps are offered capacity; default `likely-in-time-first`. */
	readonly orderPolicy?: OrderPolicyName | undefined;
	/** Maximum size of the JSON text of a row. */
	readonly maxRowBytes?: number | undefined;
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
	readonly #continuation: LeaseContinuation;
	readonly #store: JobStore;
	readonly #jobReplica: TableReplica;
	readonly #oddJobRows: OddEntryLog;
	readonly #jobRowsAge: CopyAgeMonitor;
	readonly #controlReplica: TableReplica;
	readonly #workerPoller: WorkerPoller;
	readonly #liveness: LivenessMonitor | undefined;
	#fence: RowCondition | undefined;
	#lastTickAtMs: number | undefined;
	#cancelTick: CancelTimer | undefined;
	#isListing = false;
	#nextListingAtMs = 0;
	#nextSweepAtMs = 0;
	#nextYieldCheckAtMs = 0;
	/** When the store was last known to be unavailable for every process. */
	#outageEvidenceAtMs = Number.NEGATIVE_INFINITY;
	/** Until when the process follows jobs and workers. */
	#followsUntilMs = 0;
	#isFollowing = false;
	readonly #replicaView: JobView;
	readonly #storedView: JobView;
	readonly #publisher: QueuePublisher;
	/** The process is stopping and must not acquire the lease again. */
	#isLeaving = false;
	#isClosed = false;
	/** Token of a holder whose replacement this process has left to others once. */
	#leftToOthersToken: number | undefined;
	/** A read that confirms whether the fence is still valid is in flight. */
	#isConfirmingFence = false;
	/** Difference between the wall clock and the monotonic clock at the last tick. */
	#wallOffsetMs: number | undefined;

	constructor(options: SchedulerProcessOptions) {
		const {table, clock, log, processId} = options;
		this.#options = options;
		this.#lifecycle = new LifecycleManager(clock);
		this.#runtime = new ReducerRuntime(new SchedulerState(createOrderPolicy(options.orderPolicy ?? 'likely-in-time-first'), options.poolForecast), reduceScheduler, effect => {
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
		const incarnation = clock.wallTimeMs();
		this.#leases = new LeaseContender({
			table, holder: `${processId}@${incarnation}`, previousRunPrefix: `${processId}@`, leaseMs, acquireDelayMs: () => this.#acquireDelayMs(), readIntervalMs: () => options.isSuccessor() ? undefined : outsiderCheckIntervalMs, clock, log,
		});
		this.#continuation = new LeaseContinuation({
			outage: options.outage, leaseMs, clock, log, metrics: options.metrics,
		});
		this.#liveness = options.failureDetection === undefined ? undefined : this.#createLivenessMonitor(options.failureDetection, incarnation);
		this.#oddJobRows = new OddEntryLog(log, 'row_unreadable');
		this.#jobReplica = new TableReplica({
			table, prefix: jobsPrefix, waitMs: watchWaitMs, clock, log,
			pauseMs: () => this.#runtime.state.term === undefined ? successorPollPauseMs : holderPollPauseMs,
			isActive: () => this.#isFollowing,
			onChanges: changes => {
				this.#applyJobRows(changes);
			},
		});
		this.#jobRowsAge = new CopyAgeMonitor({
			name: 'job_rows', confirmedAtMs: () => this.#jobReplica.confirmedAtMs, clock, log, metrics: options.metrics,
		});
		this.#publisher = new QueuePublisher({
			table, state: () => this.state, maxRowBytes: options.maxRowBytes ?? defaultMaxRowBytes, clock, log, metrics: options.metrics,
		});
		this.#controlReplica = new TableReplica({
			table, prefix: controlPrefix, waitMs: watchWaitMs, clock, log, pauseMs: () => controlPollPauseMs,
			onChanges: changes => {
				options.onControlRows(changes);
				this.#applyWaveRows(changes);
				this.#publisher.apply(changes);
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
			publishedPending: () => this.#publisher.pendingByQueue,
			async readPending() {
				const {rows} = await table.listRows(jobsPrefix);
				return countPendingRows(rows.flatMap(row => jobChangeFrom(row) ?? []));
			},
		});
		this.jobService = new JobService({
			state: () => this.#runtime.state, store: this.#store, admission: options.admission ?? admitAll,
			loadOf: queue => this.#publisher.loadOf(queue),
			view: () => this.#isFollowing && this.#jobReplica.confirmedAtMs !== undefined ? this.#replicaView : this.#storedView,
			configurationAgeMs: () => clock.nowMs() - (options.orders.confirmedAtMs ?? Number.NEGATIVE_INFINITY), maxConfigurationAgeMs: options.maxConfigurationAgeMs, isStoreAway: options.isStoreAway, clock, log,
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

	/** Returns true if it is known at this moment that no process reaches the store, so that no other process holds the lease and no operator can have written an order. */
	hasOutageEvidence(): boolean {
		return this.#options.outage?.hasOutageEvidence() ?? false;
	}

	start(): void {
		const {orders, workers} = this.#options;
		orders.start(({configuration, waves, evacuatedDataCentres}) => {
			// Evacuations come first: a wave that arrives with one already takes it into account.
			this.#runtime.dispatch({type: 'evacuationsOrdered', dataCentres: evacuatedDataCentres, ...this.#now()});
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
		this.#liveness?.start();
		this.#scheduleTick();
	}

	/** Brings all copies of stored rows up to date at once, for use when the store is within reach again. */
	readNow(): void {
		const {orders, workers} = this.#options;
		for (const source of [orders, workers, this.#controlReplica, this.#jobReplica]) {
			source.readNow();
		}
	}

	/** Releases the lease permanently, so that another process takes over at once, and goes on answering callers. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#releaseLease();
		// A process that leaves is no successor, and others need not wait for it.
		this.#liveness?.close();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#cancelTick?.();
		this.#liveness?.close();
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
			durations: state.durations.summary(),
			loads: this.#publisher.dump(),
			openJobs: [...state.openJobs].map(job => ({
				jobId: job.spec.jobId, queue: job.spec.queue, ageMs: Math.round(this.#options.clock.nowMs() - job.firstSeenAtMs), hasBegun: job.hasBegun,
			})),
			workers: [...state.workers.values()].map(worker => ({
				workerId: worker.entry.workerId, pool: worker.entry.pool, isListed: worker.isListed, isFenced: worker.isFenced, isReserved: worker.isReserved, runs: worker.runs.size, acknowledged: worker.acknowledgedSequence,
			})),
			trials: [...state.trials].map(({tasks, workers, isStarted}) => ({
				taskKeys: tasks.map(({key}) => key), workerIds: workers.map(({entry}) => entry.workerId), isStarted,
			})),
			evacuations: describeEvacuations(state, this.#options.clock.nowMs()),
			waves: [...state.waves.values()].map(wave => ({
				waveId: wave.order.waveId, state: wave.state, maintained: wave.maintained.size, machines: wave.order.machineIds.length,
			})),
		};
	}

	#createLivenessMonitor(detection: FailureDetection, incarnation: number): LivenessMonitor {
		const {processId, clock, log, metrics} = this.#options;
		return new LivenessMonitor({
			...detection,
			processId,
			incarnation,
			heldToken: () => this.#heldToken(),
			onHolderSuspected: token => {
				this.#suspectHolder(token);
			},
			onHolderCleared: token => {
				this.#leases.clearHolder(schedulerLease, token);
			},
			onSuperseded: token => {
				this.#suspendTerm({event: 'term_suspended', supersededBy: token});
			},
			onEarlierHolderHeard: isGone => {
				this.#applyEarlierHolder(isGone);
			},
			clock,
			log,
			metrics,
		});
	}

	/** A process that reaches the store only through peers leaves the first attempt to replace a holder to others. */
	#suspectHolder(token: number): void {
		if (this.#options.relayedForMs?.() !== undefined && this.#leftToOthersToken !== token) {
			this.#leftToOthersToken = token;
			return;
		}

		this.#leases.suspectHolder(schedulerLease, token);
	}

	/** The token for which this process sends heartbeats: it holds the lease, or goes on scheduling since no other process can hold it. */
	#heldToken(): number | undefined {
		const {term, isSuspended} = this.state;
		return this.#leases.heldLease(schedulerLease)?.fence.version ?? (isSuspended ? undefined : term?.fencingToken);
	}

	/** The earlier holder has released the lease or announced that it does, or a later run of its process was heard. */
	#isPredecessorGone({isPredecessorGone, replacedToken}: HeldLease): boolean {
		return isPredecessorGone === true || (replacedToken !== undefined && this.#liveness?.isHolderGone(replacedToken) === true);
	}

	/** The replaced holder may still be alive unless it is known to be gone. */
	#earlierHolderOf(lease: HeldLease): EarlierHolder | undefined {
		const {replacedToken} = lease;
		if (replacedToken === undefined || this.#isPredecessorGone(lease)) {
			return undefined;
		}

		const {nowMs} = this.#now();
		return {
			// The earlier holder cannot renew its lease any more.
			mayStartUntilMs: nowMs + leaseTrustMs,
			mayOrderMachinesUntilMs: (this.#liveness?.holderHeardAtMs(replacedToken) ?? nowMs) + leaseMs,
		};
	}

	#applyEarlierHolder(isGone: boolean): void {
		const {earlierHolder} = this.state;
		if (earlierHolder !== undefined) {
			const now = this.#now();
			this.#runtime.dispatch({type: 'earlierHolderChanged', earlierHolder: isGone ? undefined : {...earlierHolder, mayOrderMachinesUntilMs: now.nowMs + leaseMs}, ...now});
		}
	}

	/** How long the process leaves a free lease to others: to larger hosts, to successors, which know the jobs and workers, and to processes that reach the store themselves. */
	#acquireDelayMs(): number {
		const relayingDelayMs = this.#options.relayedForMs?.() === undefined ? 0 : leaseMs;
		return (this.#options.hasLargerPeer() ? smallHostDelayMs : 0) + (this.#options.isSuccessor() ? 0 : outsiderDelayMs) + relayingDelayMs;
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

	#contend(): void {
		this.#leases.contend(schedulerLease, lease => {
			this.#onLeaseChanged(lease);
		});
	}

	/** Successors are told first: the store may be slow to answer this process, and the fence of the next holder rejects whatever is still under way. */
	async #releaseLease(): Promise<void> {
		const token = this.#fence?.version ?? this.state.term?.fencingToken;
		this.#fence = undefined;
		this.#runtime.dispatch({type: 'leaseLost', ...this.#now()});
		if (token !== undefined) {
			this.#liveness?.announceRelease(token);
		}

		await this.#leases.withdrawAll();
	}

	/** Returns true if a successor that reaches the store itself should hold the lease instead. */
	#isReachedOnlyThroughPeers(): boolean {
		const {processId, relayedForMs, failureDetection} = this.#options;
		const hasOtherSuccessor = failureDetection?.successors().some(successor => successor.processId !== processId) === true;
		return hasOtherSuccessor && (relayedForMs?.() ?? 0) >= maxRelayedMs;
	}

	/**
	Returns why another process should hold the lease. A small host may hold it because it started first or replaced a larger one, but scheduling a large fleet takes more CPU than it has. A holder that reaches the store only through peers sees new jobs late, and every write takes longer.
	*/
	#reasonToYield({nowMs}: {readonly nowMs: number}): string | undefined {
		if (this.#isReachedOnlyThroughPeers()) {
			return relayedReason;
		}

		if (nowMs < this.#nextYieldCheckAtMs) {
			return undefined;
		}

		this.#nextYieldCheckAtMs = nowMs + yieldCheckIntervalMs;
		const {term, isSuspended, isLeaseUnconfirmed} = this.state;
		const mayYield = term !== undefined && !isSuspended && !isLeaseUnconfirmed && nowMs - term.wonAtMs >= yieldCheckIntervalMs;
		return mayYield && this.#options.hasLargerPeer(term.wonAtMs) ? 'a larger process is running' : undefined;
	}

	async #yieldLease(reason: string): Promise<void> {
		this.#options.log.info({event: 'lease_yielded', reason});
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
		const pausedMs = now.nowMs - (this.#lastTickAtMs ?? now.nowMs);
		this.#lastTickAtMs = now.nowMs;
		this.#updateFollowing();
		if (this.#liveness !== undefined && pausedMs > pauseThresholdMs) {
			this.#suspendTerm({event: 'term_suspended', pausedMs: Math.round(pausedMs)});
		}

		this.#suspendIfLeaseUncertain(now);
		this.#runtime.dispatch({type: 'tick', areOrdersOutdated: this.#areOrdersOutdated(now.nowMs), ...now});
		this.#workerPoller.pollDueWorkers();
		if (this.state.term === undefined) {
			return;
		}

		this.#jobRowsAge.check();

		if (now.nowMs >= this.#nextListingAtMs && !this.#isListing) {
			void this.#listMachines();
		}

		const reasonToYield = this.#reasonToYield(now);
		if (reasonToYield !== undefined) {
			void this.#yieldLease(reasonToYield);
			return;
		}

		if (this.#fence !== undefined) {
			this.#publisher.publishWhenDue(this.#fence);
		}

		if (now.nowMs >= this.#nextSweepAtMs) {
			this.#nextSweepAtMs = now.nowMs + sweepIntervalMs;
			void this.#sweepEndedJobs(now.wallMs);
		}
	}

	/** Returns true if operators may have written orders too long ago that this process does not know. A time with evidence of a full outage counts as a confirmation, since nothing could be written until then. */
	#areOrdersOutdated(nowMs: number): boolean {
		const {orders, maxOrdersAgeMs, hasOutageEvidence} = this.#options;
		if (hasOutageEvidence?.() === true) {
			this.#outageEvidenceAtMs = nowMs;
		}

		const areOutdated = nowMs - Math.max(orders.confirmedAtMs ?? Number.NEGATIVE_INFINITY, this.#outageEvidenceAtMs) > maxOrdersAgeMs;
		if (areOutdated !== this.state.areOrdersOutdated && this.state.term !== undefined) {
			this.#options.log.warn({event: areOutdated ? 'starts_withheld' : 'starts_resumed', reason: 'age of the operators\' rows', confirmedAgoMs: orders.confirmedAtMs === undefined ? undefined : Math.round(nowMs - orders.confirmedAtMs)});
		}

		return areOutdated;
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

		const hasClockJumped = Math.abs(gapMs) > suspensionThresholdMs;
		if (hasClockJumped) {
			this.#continuation.invalidate();
		}

		const lease = this.#leases.heldLease(schedulerLease) ?? this.#continueLease(term.fencingToken);
		if (isSuspended && !hasClockJumped && !this.#isConfirmingFence && lease?.fence.version === term.fencingToken) {
			this.#runtime.dispatch({type: 'leaseWon', fencingToken: term.fencingToken, ...this.#now()});
			this.#markUnconfirmed();
		} else if (!isSuspended && (hasClockJumped || lease === undefined)) {
			this.#options.log.warn({event: 'term_suspended', fencingToken: term.fencingToken, gapMs: Math.round(gapMs)});
			this.#fence = lease?.fence;
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
			if (hasClockJumped && !this.#isConfirmingFence) {
				void this.#confirmFence(term.fencingToken);
			}
		}
	}

	/** Gives no orders until a read from the store has confirmed that no other process holds the lease. */
	#suspendTerm(fields: LogFields): void {
		const {term, isSuspended} = this.state;
		if (term === undefined || this.#isConfirmingFence) {
			return;
		}

		this.#options.log.warn({...fields, fencingToken: term.fencingToken});
		if (!isSuspended) {
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
		}

		void this.#confirmFence(term.fencingToken);
	}

	async #confirmFence(fencingToken: number): Promise<void> {
		this.#isConfirmingFence = true;
		let isKnown = false;
		while (!isKnown && this.state.term?.fencingToken === fencingToken) {
			try {
				// The age of the operators' rows does not show the time for which the machine was suspended.
				const [[row]] = await Promise.all([this.#options.table.readRows([fenceKey(schedulerLease)]), this.#options.orders.refresh()]);
				this.#runtime.dispatch(row?.version === fencingToken ? {type: 'leaseWon', fencingToken, ...this.#now()} : {type: 'leaseLost', ...this.#now()});
				isKnown = true;
			} catch (error) {
				this.#options.log.warn({event: 'fence_not_confirmed', reason: failureReason(this.#options.log, 'confirm fence', error)});
				await this.#pause(storeRetryDelayMs);
			}
		}

		this.#isConfirmingFence = false;
	}

	/** Returns the lease that could not be renewed in time if no other process can have acquired it. */
	#continueLease(fencingToken: number): HeldLease | undefined {
		const lease = this.#leases.unconfirmedLease(schedulerLease);
		if (this.#isConfirmingFence || lease?.fence.version !== fencingToken || !this.#continuation.mayContinue(lease)) {
			return undefined;
		}

		this.#fence = lease.fence;
		this.#continuation.countRound();
		this.#markUnconfirmed();
		return lease;
	}

	/** Stops machine orders while the lease is not confirmed: another holder's orders may follow within a lease time. */
	#markUnconfirmed(): void {
		if (!this.state.isLeaseUnconfirmed && this.#leases.heldLease(schedulerLease) === undefined) {
			this.#runtime.dispatch({type: 'leaseUnconfirmed', ...this.#now()});
		}
	}

	#onLeaseChanged(lease: HeldLease | undefined): void {
		if (lease === undefined && this.state.term !== undefined && !this.state.isSuspended && this.#continueLease(this.state.term.fencingToken) !== undefined) {
			return;
		}

		this.#fence = lease?.fence;
		this.#liveness?.wake();
		this.#options.metrics.increment('early_takeovers', lease?.replacedToken === undefined ? 0 : 1);
		this.#updateFollowing();
		if (lease === undefined) {
			this.#runtime.dispatch({type: 'leaseSuspended', ...this.#now()});
			return;
		}

		void this.#beginTerm(lease);
	}

	/** Begins the term once the replicas hold everything that the earlier lease holder stored, since orders rely on it, and all operators' rows, since an evacuation may have been ordered of which only the earlier holder knew. */
	async #beginTerm(lease: HeldLease): Promise<void> {
		const {fence} = lease;
		while (this.#fence?.version === fence.version) {
			try {
				await Promise.all([this.#jobReplica.refresh(), this.#controlReplica.refresh(), this.#options.workers.refresh(), this.#options.orders.refresh()]);
				this.#continuation.confirm();
				this.#runtime.dispatch({
					type: 'leaseWon', fencingToken: fence.version, isPredecessorGone: this.#isPredecessorGone(lease), earlierHolder: this.#earlierHolderOf(lease), ...this.#now(),
				});
				// The longer pause of a successor would delay the first jobs of the term.
				this.#jobReplica.endPause();
				this.#nextListingAtMs = 0;
				this.#cancelTick?.();
				this.#tick();
				this.#scheduleTick();
				return;
			} catch (error) {
				this.#options.log.warn({event: 'takeover_waits', reason: failureReason(this.#options.log, 'take over', error)});
				if (this.#isReachedOnlyThroughPeers()) {
					void this.#yieldLease(relayedReason);
					return;
				}

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
		for (const {change: {key, value, version}, job} of read) {
			if (job === undefined && value !== undefined) {
				this.#oddJobRows.report(key, {version});
			} else {
				this.#oddJobRows.clear(key);
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
			const listing = await this.#options.machineControl.list();
			this.#runtime.dispatch({
				type: 'machinesListed', ...listing, sentAtMs, ...this.#now(),
			});
		} catch (error) {
			this.#options.log.warn({event: 'machines_not_listed', reason: failureReason(this.#options.log, 'list machines', error)});
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
			this.#options.log.warn({event: 'sweep_failed', jobs: ended.length, reason: failureReason(this.#options.log, 'sweep ended jobs', error)});
		}
	}
}
