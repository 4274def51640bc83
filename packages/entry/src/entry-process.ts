/**
The process of an entry host on the users' platform: answers callers, and schedules the fleet's work while it holds the lease.
*/
import {
	buildId, type Clock, type JsonValue, LifecycleManager, listenOn, type Logger, type MetricsRegistry, type OperationsRoute, OperationsServer, SystemRandom,
} from '@poplarnotch/common';
import {
	AdviceHttpClient, createReadinessServer, HttpClient, type HostSettings, JobHttpServer, MachineHttpControl, OperatorRowsWatcher, WaveStatusWriter, TableStore, WorkerRegistryWatcher, WorkerHttpControl,
} from '@poplarnotch/platform-adapter';
import {RetryingTableService} from '@poplarnotch/platform';
import {
	admitAll, DrainTimeAdmission, type OrderPolicyName, type PoolForecastName, SchedulerProcess,
} from '@poplarnotch/scheduler';
import {
	createRpcRoute, OutageEvidence, OutageProber, ReachabilityMeter, probeKey, reachabilityMethods, RelayDirectory, RelayedTable, relayMethod, RpcClient, rpcPath,
} from '@poplarnotch/state';
import {UdpTransport} from './udp-transport.js';

/** Maximum number of connections to the store; long calls that wait for changes occupy four of them. */
const storeConnections = 24;

/** Maximum number of connections to one worker: one for polls, the others for orders. Opening a connection is slow, and connections are counted. */
const workerConnections = 3;

/** Number of processes that are ready to take over the scheduler's lease at any time: enough that one is left when a data centre and single hosts fail. */
const successorCount = 4;

/** A process whose view of the operators' orders is older than this reports itself as not ready, so that callers go to other processes: two long-polling calls have failed by then. */
const maxReadyAgeMs = 3500;

/** Calls are refused this long before the configuration reaches its maximum age, so that answers under way stay within it. */
const configurationMarginMs = 100;

/** A holder starts nothing once its copy of the operators' rows lacks this much to the time after which an evacuation must hold, so that starts under way stay within it. */
const evacuationMarginMs = 500;

/** A commit that was definitely not applied is retried only for this long. After that the scheduler commits the save again if it still holds the lease. */
const resolveRetryMs = 200;

/** A save that may have been applied is resolved even through a long unavailability of the store, whose outages last seconds. */
const resolveTimeoutMs = 120_000;

/** Delays between two attempts to resolve a save. */
const resolveBackoff = {firstMs: 30, longestMs: 200};

/** Jobs are refused at once after this time without an answer of the store: a single failed call is retried over another path meanwhile. */
const storeAwayAfterMs = 200;

/** A process that has reached the store only through peers for this long is no successor. Probes find a path that was lost for a moment within 200 ms. */
const relayingAfterMs = 400;

/** The load balancer stops sending connections after two missed health checks, made once a second. */
const balancerDetectionMs = 2500;

/** Time reserved for closing after the last answer. */
const closeReserveMs = 1000;

/** Time in which the answers that remain at the end are written, and the interval at which it is checked whether they are. */
const lastAnswersMs = 200;
const drainCheckMs = 50;

type PeerCall = readonly [baseUrl: string, method: string, parameters: JsonValue, timeoutMs: number];

export type EntryProcessOptions = {
	readonly settings: HostSettings;
	readonly metricsPort: number;
	readonly admission?: 'on' | 'off' | undefined;
	readonly orderPolicy?: OrderPolicyName | undefined;
	/** Whether the lease holder goes on scheduling while no process reaches the store. */
	readonly outageScheduling: boolean;
	/** Silence after which the lease holder is suspected; 0 leaves the decision to the expiry of its lease. */
	readonly failureDetectionMs: number;
	/** How the demand of pools is forecast. */
	readonly poolForecast: PoolForecastName;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class EntryProcess {
	readonly #options: EntryProcessOptions;
	readonly #lifecycle: LifecycleManager;
	readonly #scheduler: SchedulerProcess;
	readonly #jobServer: JobHttpServer;
	readonly #table: RelayedTable;
	readonly #relayDirectory: RelayDirectory;
	readonly #meter: ReachabilityMeter;
	readonly #outageProber: OutageProber;
	readonly #udpTransport: UdpTransport | undefined;
	#rpcClient: RpcClient | undefined;
	#cachedRelayRoute: OperationsRoute | undefined;
	#isDraining = false;
	#stopped: Promise<void> | undefined;

	constructor(options: EntryProcessOptions) {
		const {settings, clock, log, metrics, failureDetectionMs} = options;
		this.#options = options;
		this.#lifecycle = new LifecycleManager(clock);
		const storeClient = this.#closeOnStop(new HttpClient({connections: storeConnections}));
		const workerClient = this.#closeOnStop(new HttpClient({connections: workerConnections}));
		const meter = new ReachabilityMeter(clock);
		this.#meter = meter;
		const callPeer = async (...call: PeerCall): Promise<unknown> => this.#callPeer(...call);
		const table = new RelayedTable({
			direct: new TableStore({client: storeClient, url: settings.tableServiceUrl}), peers: () => this.#relayDirectory.peerUrls, callPeer, meter, clock, log,
			onDirectPathRegained: () => {
				this.#scheduler.readNow();
			},
		});
		this.#table = table;
		this.#relayDirectory = new RelayDirectory({
			table, processId: settings.host, url: `http://${settings.peersAddress.ip}:${settings.peersAddress.port}`, cpuMillicores: settings.cpuMillicores, dataCentre: settings.dataCentre, datagramPort: settings.datagramAddress?.port, isRelaying: () => (table.relayedForMs ?? 0) >= relayingAfterMs, clock, log,
		});
		const lastKnownPeers = () => this.#relayDirectory.lastKnownPeers;
		const evidence = new OutageEvidence({meter, peers: lastKnownPeers, clock});
		this.#outageProber = new OutageProber({
			evidence, meter, peers: lastKnownPeers, callPeer, isActive: () => options.outageScheduling && this.#scheduler.state.term !== undefined, clock,
			probe: async () => table.readRows([probeKey]),
			onPathSilent(unansweredMs) {
				table.abandonDirectPath(unansweredMs);
			},
		});
		this.#udpTransport = failureDetectionMs === 0 || settings.datagramAddress === undefined
			? undefined
			: new UdpTransport({
				address: settings.datagramAddress, addressOf: processId => this.#relayDirectory.datagramAddressOf(processId), log,
			});
		// With a bound of less than twice the margin, half of it is left for the copy's age.
		const maxOrdersAgeMs = Math.max(settings.evacuateMs - evacuationMarginMs, settings.evacuateMs / 2);
		const resolvingTable = new RetryingTableService(table, {
			client: settings.host, retryTimeoutMs: resolveRetryMs, settleTimeoutMs: resolveTimeoutMs, backoff: resolveBackoff, clock, metrics,
		});
		this.#scheduler = new SchedulerProcess({
			processId: settings.host,
			table,
			resolvingTable,
			admission: options.admission === 'off' ? admitAll : new DrainTimeAdmission(new SystemRandom()),
			orderPolicy: options.orderPolicy,
			orders: new OperatorRowsWatcher({
				table, clock, log, convergeMs: Math.min(settings.configurationConvergeMs, maxOrdersAgeMs),
			}),
			workers: new WorkerRegistryWatcher({table, clock, log}),
			workerControl: new WorkerHttpControl(workerClient),
			machineControl: new MachineHttpControl({client: storeClient, url: settings.machinesUrl, log}),
			advisor: new AdviceHttpClient({client: storeClient, url: settings.adviceUrl, log}),
			waveReporter: new WaveStatusWriter(resolvingTable),
			maxConfigurationAgeMs: settings.configurationConvergeMs - configurationMarginMs,
			maxOrdersAgeMs,
			maxRowBytes: settings.maxRowBytes,
			maxWorkerLeaseMs: settings.maxWorkerLeaseMs,
			hasLargerPeer: sinceMs => this.#relayDirectory.hasLargerPeer(sinceMs),
			relayedForMs: () => table.relayedForMs,
			isSuccessor: () => this.#relayDirectory.isAmongLargest(successorCount),
			isStoreAway: () => this.#storeOutageMs >= storeAwayAfterMs,
			outage: options.outageScheduling ? evidence : undefined,
			hasOutageEvidence: () => options.outageScheduling && evidence.hasOutageEvidence(),
			failureDetection: this.#udpTransport === undefined
				? undefined
				: {
					transport: this.#udpTransport, secret: () => this.#relayDirectory.secret, successors: () => this.#relayDirectory.largest(successorCount), detectionMs: failureDetectionMs,
				},
			onConfigured: ({limits}) => {
				this.#jobServer.setLimits(limits);
			},
			onControlRows: changes => {
				this.#relayDirectory.apply(changes);
			},
			clock,
			log,
			metrics,
			poolForecast: options.poolForecast,
		});
		this.#jobServer = new JobHttpServer({
			jobService: this.#scheduler.jobService, clock, log, metrics, isLeaving: () => !this.isReady, storeOutageMs: () => this.#storeOutageMs,
		});
	}

	get isReady(): boolean {
		return !this.#isDraining && this.#scheduler.isReady(maxReadyAgeMs);
	}

	/** Time for which no call to the store has been answered; 0 while the store answers. */
	get #storeOutageMs(): number {
		const {failingSinceMs} = this.#meter;
		return failingSinceMs === undefined ? 0 : this.#options.clock.nowMs() - failingSinceMs;
	}

	async start(): Promise<void> {
		const {settings, metrics, log, metricsPort} = this.#options;
		this.#scheduler.start();
		this.#relayDirectory.start();
		this.#outageProber.start();
		this.#lifecycle.own('outage queries', () => {
			this.#outageProber.stop();
		});
		this.#lifecycle.own('scheduler', async () => this.#scheduler.close());
		await this.#udpTransport?.listen();
		this.#lifecycle.own('datagram socket', () => {
			this.#udpTransport?.close();
		});
		this.#lifecycle.own('peer directory', () => {
			this.#relayDirectory.stop();
		});
		const readiness = createReadinessServer(() => this.isReady);
		const source = {metrics, isReady: () => this.isReady, dump: () => this.#scheduler.dump()};
		const operationsServer = new OperationsServer(source);
		const peersServer = new OperationsServer(source, [this.#relayRoute()]);
		await listenOn(readiness, settings.readinessAddress.ip, settings.readinessAddress.port);
		await listenOn(this.#jobServer.server, settings.callersAddress.ip, settings.callersAddress.port);
		await operationsServer.listen(settings.callersAddress.ip, metricsPort);
		await peersServer.listen(settings.peersAddress.ip, settings.peersAddress.port);
		this.#lifecycle.own('peers port', async () => peersServer.close());
		this.#lifecycle.own('operations port', async () => operationsServer.close());
		this.#lifecycle.own('readiness port', () => {
			readiness.close();
			readiness.closeAllConnections();
		});
		this.#lifecycle.own('callers port', () => {
			this.#jobServer.server.close();
			this.#jobServer.server.closeAllConnections();
		});
		log.info({
			event: 'process_started', build: buildId, host: settings.host, dataCentre: settings.dataCentre,
		});
	}

	/** Releases the lease, finishes the requests received so far and closes. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#drainAndClose();
		return this.#stopped;
	}

	async #drainAndClose(): Promise<void> {
		const {settings, clock, log} = this.#options;
		const startedAtMs = clock.nowMs();
		this.#isDraining = true;
		log.info({event: 'process_stopping', inFlight: this.#jobServer.inFlight});
		const latestMs = startedAtMs + settings.stopGraceMs - closeReserveMs;
		let hasLeft = false;
		// Not awaited: a release that the store does not confirm is repeated without end, and the lease then expires.
		void this.#scheduler.leave().then(() => {
			hasLeft = true;
		}, (error: unknown) => {
			log.error({event: 'task_failed', task: 'release the lease', reason: error instanceof Error ? error.stack : String(error)});
		});
		await this.#waitUntil(() => false, Math.min(startedAtMs + balancerDetectionMs, latestMs));
		this.#jobServer.stopListening();
		await this.#waitUntil(() => hasLeft && this.#jobServer.inFlight === 0, latestMs);
		this.#jobServer.answerWaiting();
		await this.#waitUntil(() => this.#jobServer.inFlight === 0, latestMs + lastAnswersMs);
		if (!hasLeft) {
			log.warn({event: 'lease_not_released', reason: 'the store did not confirm the release in time'});
		}

		const failures = await this.#lifecycle.releaseAll();
		log.info({
			event: 'process_stopped', build: buildId, inFlight: this.#jobServer.inFlight, failures: failures.length, durationMs: Math.round(clock.nowMs() - startedAtMs),
		});
	}

	/** Waits until the condition holds, at most until `latestMs`. */
	async #waitUntil(holds: () => boolean, latestMs: number): Promise<void> {
		const {clock} = this.#options;
		while (!holds() && clock.nowMs() < latestMs) {
			await new Promise<void>(resolve => {
				clock.schedule(Math.min(drainCheckMs, latestMs - clock.nowMs()), resolve);
			});
		}
	}

	/** Returns the route for relayed calls. Peers authenticate with the shared secret, which this process may learn only after it has started to listen. */
	#relayRoute(): OperationsRoute {
		return {
			method: 'POST',
			path: rpcPath,
			handle: (request, response) => {
				const {secret} = this.#relayDirectory;
				if (secret === undefined) {
					response.writeHead(503).end();
					return;
				}

				this.#cachedRelayRoute ??= createRpcRoute(secret, {
					[relayMethod]: async parameters => this.#table.performForPeer(parameters), ...reachabilityMethods(this.#meter),
				});
				this.#cachedRelayRoute.handle(request, response);
			},
		};
	}

	async #callPeer(...call: PeerCall): Promise<unknown> {
		this.#rpcClient ??= this.#closeOnStop(new RpcClient({secret: this.#relayDirectory.secret ?? '', metrics: this.#options.metrics}));
		return this.#rpcClient.call(...call);
	}

	#closeOnStop<Client extends {close(): Promise<void>}>(client: Client): Client {
		this.#lifecycle.own('connections', async () => client.close());
		return client;
	}
}
