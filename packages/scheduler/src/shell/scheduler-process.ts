/**
Runs the scheduler of one process: watches the state that the platform stores, performs the reducer's effects and dispatches their results as events. `TermKeeper` keeps the lease.
*/
import {
	type CancelTimer, type Clock, type JsonObject, LifecycleManager, type Logger, type MetricsRegistry, OddEntryLog, ReducerRuntime,
} from '@poplarnotch/common';
import {
	failureReason, type RowChange, type TableService, type WatchableTable,
} from '@poplarnotch/platform';
import {
	type FailureDetection, type OutageKnowledge, TableClock, TableReplica,
} from '@poplarnotch/state';
import {admitAll, type AdmissionControl} from '../admission/admission-control.js';
import {endedJobRetentionMs, maxRegistryGapMs} from '../constants.js';
import {type SchedulerEffect, type SchedulerEvent} from '../core/events.js';
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
import {SharedRead} from '../jobs/shared-read.js';
import {
	type RefreshableSource, type WorkerSource, type MachineControl, type OperatorOrders, type PlacementAdvisor, type WaveReporter, type WorkerControl,
} from '../ports.js';
import {type FleetConfiguration} from '../types.js';
import {CopyAgeMonitor} from './copy-age-monitor.js';
import {EffectPerformer} from './effect-performer.js';
import {HolderPacing} from './holder-pacing.js';
import {LoadMonitor} from './load-monitor.js';
import {QueuePublisher} from './queue-publisher.js';
import {SaveAgeMonitor} from './save-age-monitor.js';
import {TermKeeper} from './term-keeper.js';
import {type ObservedTerm, TermMonitor} from './term-monitor.js';
import {WorkerPoller} from './worker-poller.js';
import {controlPrefix, waveChangeFrom} from './wave-rows.js';

/** Interval of ticks without the lease; with it, `HolderPacing` decides. */
const idleTickIntervalMs = 250;

/** How long one watch call waits for changes; this bounds the time until a silent connection is noticed. */
const watchWaitMs = 1500;

/** Delay between two reads of changes: short for the lease holder, which starts arriving jobs, and long for its possible successors, which refresh their replica when a caller queries them. */
const holderPollPauseMs = 20;
const successorPollPauseMs = 400;

/** Delay between two reads of the rows that all processes share. */
const controlPollPauseMs = 1000;

/** A process that stops being a successor goes on following jobs and workers for this long, so that a short change of the ranking costs nothing. */
const followingLingerMs = 10_000;

/** Interval at which machines are listed. */
const machineListIntervalMs = 400;

/** Interval at which ended jobs are removed, and the maximum number removed each time. */
const sweepIntervalMs = 5000;
const maxJobsPerSweep = 20;

/** Callers accept counts of pending jobs of this age, so one listing of all job rows answers all calls within it. */
const maxCountAgeMs = 2000;

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
	/** Longest lease that workers grant, also to an order that asks for a longer one. */
	readonly maxWorkerLeaseMs?: number | undefined;
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
	readonly #term: TermKeeper;
	readonly #store: JobStore;
	readonly #jobReplica: TableReplica;
	readonly #oddJobRows: OddEntryLog;
	readonly #jobRowsAge: CopyAgeMonitor;
	readonly #saveAge: SaveAgeMonitor;
	readonly #controlReplica: TableReplica;
	readonly #workerPoller: WorkerPoller;
	readonly #pacing = new HolderPacing();
	readonly #load: LoadMonitor;
	readonly #termMonitor: TermMonitor;
	/** When the next tick is planned. */
	#tickDueAtMs = Number.POSITIVE_INFINITY;
	#lastTickAtMs: number | undefined;
	#cancelTick: CancelTimer | undefined;
	#isListing = false;
	#nextListingAtMs = 0;
	#nextSweepAtMs = 0;
	/** When the store was last known to be unavailable for every process. */
	#outageEvidenceAtMs = Number.NEGATIVE_INFINITY;
	/** Until when the process follows jobs and workers. */
	#followsUntilMs = 0;
	#isFollowing = false;
	/** Since when the registrations of workers have been read without a gap. */
	#workersFollowedSinceMs: number | undefined;
	#lastTickWallMs: number | undefined;
	#registryReadAtMs: number | undefined;
	readonly #replicaView: JobView;
	readonly #storedView: JobView;
	readonly #publisher: QueuePublisher;
	#isClosed = false;

	constructor(options: SchedulerProcessOptions) {
		const {table, clock, log} = options;
		this.#options = options;
		this.#lifecycle = new LifecycleManager(clock);
		this.#runtime = new ReducerRuntime(new SchedulerState(createOrderPolicy(options.orderPolicy ?? 'likely-in-time-first'), options.poolForecast, options.maxWorkerLeaseMs), reduceScheduler, effect => {
			this.#performer.perform(effect);
		});
		options.metrics.gauge('forecast_error_percent', () => this.state.demand.errorPercent);
		this.#store = new JobStore({
			table, resolvingTable: options.resolvingTable, clock, log,
		});
		this.#performer = new EffectPerformer({
			...options,
			store: this.#store,
			readRevision: async () => table.readRevision(),
			state: () => this.#runtime.state,
			fence: () => this.#term.fence,
			mayOrder: fencingToken => this.#term.mayOrder(fencingToken),
			abandonTerm: fencingToken => {
				this.#term.abandonTerm(fencingToken);
			},
			dispatch: event => {
				this.#runtime.dispatch(event);
			},
			isClosed: () => this.#isClosed,
		});
		this.#term = new TermKeeper({
			...options,
			state: () => this.state,
			dispatch: event => {
				this.#runtime.dispatch(event);
			},
			refreshCopies: async () => this.#refreshCopies(),
			refreshOrders: async () => options.orders.refresh(),
			onLeaseChanged: () => {
				this.#updateFollowing();
			},
			onTermBegun: () => {
				this.#onTermBegun();
			},
			polls: () => this.#workerPoller,
		});
		const tableClock = new TableClock(clock);
		this.#oddJobRows = new OddEntryLog(log, 'row_unreadable');
		this.#jobReplica = new TableReplica({
			table, prefix: jobsPrefix, waitMs: watchWaitMs, maxConfirmationAgeMs: watchWaitMs, tableClock, clock, log,
			pauseMs: () => this.#runtime.state.term === undefined ? successorPollPauseMs : holderPollPauseMs,
			isActive: () => this.#isFollowing,
			onChanges: changes => {
				this.#applyJobRows(changes);
			},
		});
		this.#jobRowsAge = new CopyAgeMonitor({
			name: 'job_rows', confirmedAtMs: () => this.#jobReplica.confirmedAtMs, clock, log, metrics: options.metrics,
		});
		this.#saveAge = new SaveAgeMonitor({
			unsaved: () => ({
				saveNumber: this.state.term === undefined ? undefined : this.state.pendingSaveNumber, orderedAtMs: this.state.lastSaveAtMs, jobs: this.state.dirtyJobs.size + this.state.pendingSaveJobs.length, fencingToken: this.state.term?.fencingToken,
			}),
			clock, log, metrics: options.metrics,
		});
		this.#publisher = new QueuePublisher({
			table, state: () => this.state, tableClock, jobRowsConfirmedAtMs: () => this.#jobReplica.confirmedAtMs, maxRowBytes: options.maxRowBytes ?? defaultMaxRowBytes, clock, log, metrics: options.metrics,
		});
		this.#controlReplica = new TableReplica({
			table, prefix: controlPrefix, waitMs: watchWaitMs, tableClock, clock, log, pauseMs: () => controlPollPauseMs,
			onChanges: changes => {
				options.onControlRows(changes);
				this.#applyWaveRows(changes);
				this.#publisher.apply(changes);
			},
		});
		this.#workerPoller = new WorkerPoller({
			control: options.workerControl, clock, state: () => this.#runtime.state, pauseMs: () => this.#pacing.pollPauseMs, dispatch: event => {
				this.#runtime.dispatch(event);
			},
		});
		this.#load = new LoadMonitor({
			work: () => ({
				starts: this.state.startCount, polls: this.#workerPoller.pollCount, openJobs: this.state.openJobs.size, pollPauseMs: this.#pacing.pollPauseMs, termBeganAtMs: this.state.term?.wonAtMs,
			}),
			clock, log, metrics: options.metrics,
		});
		this.#termMonitor = new TermMonitor({term: () => this.#observedTerm, clock, log});
		this.#replicaView = new ReplicaJobView({
			state: () => this.#runtime.state,
			refresh: async () => this.#jobReplica.refresh(),
			ageMs: () => clock.nowMs() - (this.#jobReplica.confirmedAtMs ?? Number.NEGATIVE_INFINITY),
			copy: () => this.#jobReplica,
		});
		const pendingRows = new SharedRead({
			async read() {
				const {rows} = await table.listRows(jobsPrefix);
				return countPendingRows(rows.flatMap(row => jobChangeFrom(row) ?? []));
			},
			maxAgeMs: maxCountAgeMs, clock,
		});
		this.#storedView = new StoredJobView({
			readJob: async jobId => this.#store.read(jobId),
			publishedPending: () => this.#publisher.pendingByQueue(),
			readPending: async () => pendingRows.get(),
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

		this.#term.start();
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
		await this.#term.leave();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#cancelTick?.();
		this.#performer.flushLog();
		this.#term.close();
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

	/** Follows jobs and workers while the process holds the lease or is a likely successor. */
	#updateFollowing(): void {
		const nowMs = this.#options.clock.nowMs();
		const {isHolder} = this.#term;
		if (isHolder || this.#options.isSuccessor()) {
			this.#followsUntilMs = nowMs + followingLingerMs;
		}

		const isFollowing = nowMs < this.#followsUntilMs;
		if (isFollowing !== this.#isFollowing) {
			this.#isFollowing = isFollowing;
			this.#options.log.info({
				event: isFollowing ? 'following_started' : 'following_suspended', isHolder, jobs: this.state.jobs.size, revision: this.#jobReplica.revision,
			});
			this.#jobReplica.endPause();
		}

		const standbyMode = isFollowing ? 'standby' : 'suspended';
		const holderMode = this.state.isSettled ? 'scheduling' : 'taking-over';
		this.#options.workers.setMode(isHolder ? holderMode : standbyMode);
	}

	/** A standstill of the process is a gap, also one of its machine, which only the wall clock shows. */
	#updateWorkersFollowed({nowMs, wallMs}: {readonly nowMs: number; readonly wallMs: number}): void {
		const {confirmedAtMs = Number.NEGATIVE_INFINITY} = this.#options.workers;
		const pausedMs = wallMs - (this.#lastTickWallMs ?? wallMs);
		const gapMs = Math.max(nowMs - confirmedAtMs, confirmedAtMs - (this.#registryReadAtMs ?? confirmedAtMs), pausedMs);
		this.#lastTickWallMs = wallMs;
		this.#registryReadAtMs = confirmedAtMs;
		const isFollowed = this.#isFollowing && gapMs <= maxRegistryGapMs;
		this.#workersFollowedSinceMs = isFollowed ? this.#workersFollowedSinceMs ?? nowMs : undefined;
	}

	#now(): {readonly nowMs: number; readonly wallMs: number} {
		return {nowMs: this.#options.clock.nowMs(), wallMs: this.#options.clock.wallTimeMs()};
	}

	/** Brings all copies of stored rows up to date, and logs how far behind each was: a term that begins with a copy that is not whole starts tasks that have ended. */
	async #refreshCopies(): Promise<void> {
		const {orders, workers} = this.#options;
		const [jobs, control, workerRows, orderRows] = await Promise.all([this.#jobReplica.refresh(), this.#controlReplica.refresh(), workers.refresh(), orders.refresh()]);
		for (const [copy, record] of Object.entries({
			jobs, control, workers: workerRows, orders: orderRows,
		})) {
			if (record !== undefined) {
				this.#options.log.info({
					event: 'copy_refreshed', copy, ...record, pages: record.pages.join(' '),
				});
			}
		}
	}

	get #observedTerm(): ObservedTerm | undefined {
		const {
			term, inheritedStarts, unknownStartsUntilMs, openJobs, earlierHolder,
		} = this.state;
		return term && {
			...term, openStarts: inheritedStarts.size, unknownStartsUntilMs, openJobs: openJobs.size, isEarlierHolderLost: earlierHolder !== undefined,
		};
	}

	#scheduleTick(): void {
		const delayMs = this.state.term === undefined ? idleTickIntervalMs : this.#pacing.roundIntervalMs;
		this.#tickDueAtMs = this.#options.clock.nowMs() + delayMs;
		this.#cancelTick = this.#options.clock.schedule(delayMs, () => {
			this.#tick();
			if (!this.#isClosed) {
				this.#scheduleTick();
			}
		});
	}

	#onTermBegun(): void {
		// The longer pause of a successor would delay the first jobs of the term.
		this.#jobReplica.endPause();
		this.#nextListingAtMs = 0;
		this.#cancelTick?.();
		this.#tick();
		this.#scheduleTick();
	}

	#tick(): void {
		const now = this.#now();
		const pausedMs = now.nowMs - (this.#lastTickAtMs ?? now.nowMs);
		const latenessMs = Math.max(0, now.nowMs - this.#tickDueAtMs);
		this.#lastTickAtMs = now.nowMs;
		this.#updateFollowing();
		this.#updateWorkersFollowed(now);
		this.#term.check(now, pausedMs);
		this.#runtime.dispatch({
			type: 'tick', areOrdersOutdated: this.#areOrdersOutdated(now.nowMs), jobRowsConfirmedAtMs: this.#jobReplica.confirmedAtMs, jobRowsRevision: this.#jobReplica.revision, workersFollowedSinceMs: this.#workersFollowedSinceMs, ...now,
		});
		this.#termMonitor.recordRound(latenessMs);
		this.#workerPoller.pollDueWorkers(now.nowMs);
		if (this.state.term === undefined) {
			this.#load.reset();
			this.#pacing.reset();
			return;
		}

		const durationMs = this.#options.clock.nowMs() - now.nowMs;
		this.#load.recordRound(durationMs, latenessMs);
		this.#pacing.recordRound(durationMs, latenessMs);

		this.#jobRowsAge.check();
		this.#saveAge.check();

		if (now.nowMs >= this.#nextListingAtMs && !this.#isListing) {
			void this.#listMachines();
		}

		if (this.#term.yieldToLargerPeer(now)) {
			return;
		}

		const {fence} = this.#term;
		if (fence !== undefined) {
			this.#publisher.publishWhenDue(fence);
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
		const detached = [...this.state.detachedRows.values()].filter(({endsKeys, sinceMs}) => endsKeys.size > 0 && this.#options.clock.nowMs() - sinceMs > endedJobRetentionMs);
		const ended = [...this.state.jobs.values()].filter(job => job.isOutcomeStored && job.endedWallMs !== undefined && wallMs - job.endedWallMs > endedJobRetentionMs);
		try {
			// Ends may be recorded after the rows of their job were removed.
			const detachedKeys = detached.slice(0, maxJobsPerSweep).flatMap(({endsKeys}) => [...endsKeys]);
			const endedKeys = ended.slice(0, maxJobsPerSweep).flatMap(job => [...job.rowKeys, ...job.cancelKeys, ...job.endsKeys, progressKey(job.spec.jobId)]);
			for (const key of [...detachedKeys, ...endedKeys]) {
				await this.#store.remove(key);
			}
		} catch (error) {
			this.#options.log.warn({event: 'sweep_failed', jobs: ended.length, reason: failureReason(this.#options.log, 'sweep ended jobs', error)});
		}
	}
}
