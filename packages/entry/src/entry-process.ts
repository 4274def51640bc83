/**
One process of an entry host on the users' platform: answers callers, and schedules the fleet's work while it holds the lease.
*/
import {
	type Clock, type JsonValue, LifecycleManager, listenOn, type Logger, type MetricsRegistry, type OperationsRoute, OperationsServer,
} from '@poplarnotch/common';
import {
	AdviceHttpClient, createReadinessServer, HttpClient, type HostSettings, JobHttpServer, MachineHttpControl, OperatorRowsWatcher, WaveStatusWriter, TableStore, WorkerRegistryWatcher, WorkerHttpControl,
} from '@poplarnotch/platform-adapter';
import {RetryingTableService} from '@poplarnotch/platform';
import {SchedulerProcess} from '@poplarnotch/scheduler';
import {
	createRpcRoute, RelayDirectory, performRelayed, RelayedTable, relayMethod, RpcClient, rpcPath,
} from '@poplarnotch/state';

/** Connections to the store: long calls that wait for changes hold four of them. */
const storeConnections = 24;

/** Connections to one worker: one for looks, the others for orders. New ones are slow and counted. */
const workerConnections = 3;

/** A process whose view of the operator's orders is older than this sends callers to others: two waiting calls have failed by then. */
const readyMaxAgeMs = 3500;

/** Answers leave this much before the configuration they follow from counts as old. */
const configurationMarginMs = 100;

/** A save that was certainly not applied is made anew with what is known by then. */
const settledRetryMs = 200;

/** A save that may have been applied is settled however long the store is away: a store's outage lasts seconds. */
const settledTimeoutMs = 120_000;

/** Pauses between two attempts at settling. */
const settledBackoff = {firstMs: 30, longestMs: 200};

/** The balancer needs two missed answers, one a second, to stop sending connections. */
const balancerNoticeMs = 2500;

/** Left for closing after the last answer. */
const closeReserveMs = 1000;

export type EntryProcessOptions = {
	readonly settings: HostSettings;
	readonly metricsPort: number;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class EntryProcess {
	readonly #options: EntryProcessOptions;
	readonly #lifecycle: LifecycleManager;
	readonly #scheduler: SchedulerProcess;
	readonly #front: JobHttpServer;
	readonly #ownTable: TableStore;
	readonly #peers: RelayDirectory;
	#rpcClient: RpcClient | undefined;
	#route: OperationsRoute | undefined;
	#isDraining = false;
	#stopped: Promise<void> | undefined;

	constructor(options: EntryProcessOptions) {
		const {settings, clock, log, metrics} = options;
		this.#options = options;
		this.#lifecycle = new LifecycleManager(clock);
		const storeClient = this.#own(new HttpClient({connections: storeConnections}));
		const workerClient = this.#own(new HttpClient({connections: workerConnections}));
		this.#ownTable = new TableStore({client: storeClient, url: settings.tableServiceUrl});
		const table = new RelayedTable({
			own: this.#ownTable, peers: () => this.#peers.peerUrls, callPeer: async (...call) => this.#callPeer(...call), clock, log,
		});
		this.#peers = new RelayDirectory({
			table, processId: settings.host, url: `http://${settings.peersAddress.ip}:${settings.peersAddress.port}`, cpuMillicores: settings.cpuMillicores, clock, log,
		});
		const settledTable = new RetryingTableService(table, {
			client: settings.host, retryTimeoutMs: settledRetryMs, settleTimeoutMs: settledTimeoutMs, backoff: settledBackoff, clock, metrics,
		});
		this.#scheduler = new SchedulerProcess({
			processId: settings.host,
			table,
			settledTable,
			orders: new OperatorRowsWatcher({table, log, convergeMs: settings.configurationConvergeMs}),
			workers: new WorkerRegistryWatcher({table, log}),
			workerControl: new WorkerHttpControl(workerClient),
			machineControl: new MachineHttpControl({client: storeClient, url: settings.machinesUrl}),
			advisor: new AdviceHttpClient({client: storeClient, url: settings.adviceUrl, log}),
			waveReporter: new WaveStatusWriter(settledTable),
			maxConfigurationAgeMs: settings.configurationConvergeMs - configurationMarginMs,
			hasLargerPeer: sinceMs => this.#peers.hasLargerPeer(sinceMs),
			onConfigured: ({limits}) => {
				this.#front.setLimits(limits);
			},
			onControlRows: changes => {
				this.#peers.apply(changes);
			},
			clock,
			log,
			metrics,
		});
		this.#front = new JobHttpServer({
			jobService: this.#scheduler.desk, clock, log, metrics, isLeaving: () => !this.isReady,
		});
	}

	get isReady(): boolean {
		return !this.#isDraining && this.#scheduler.isReady(readyMaxAgeMs);
	}

	async start(): Promise<void> {
		const {settings, metrics, log, metricsPort} = this.#options;
		this.#scheduler.start();
		this.#peers.start();
		this.#lifecycle.own('scheduler', async () => this.#scheduler.close());
		this.#lifecycle.own('peer directory', () => {
			this.#peers.stop();
		});
		const readiness = createReadinessServer(() => this.isReady);
		const source = {metrics, isReady: () => this.isReady, dump: () => this.#scheduler.dump()};
		const operations = new OperationsServer(source);
		const peers = new OperationsServer(source, [this.#relayRoute()]);
		await listenOn(readiness, settings.readinessAddress.ip, settings.readinessAddress.port);
		await listenOn(this.#front.server, settings.callersAddress.ip, settings.callersAddress.port);
		await operations.listen(settings.callersAddress.ip, metricsPort);
		await peers.listen(settings.peersAddress.ip, settings.peersAddress.port);
		this.#lifecycle.own('peers port', async () => peers.close());
		this.#lifecycle.own('operations port', async () => operations.close());
		this.#lifecycle.own('readiness port', () => {
			readiness.close();
			readiness.closeAllConnections();
		});
		this.#lifecycle.own('callers port', () => {
			this.#front.server.close();
			this.#front.server.closeAllConnections();
		});
		log.info({event: 'process_started', host: settings.host, dataCentre: settings.dataCentre});
	}

	/** Hands the lease over, finishes what callers have sent and closes. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#drainAndClose();
		return this.#stopped;
	}

	async #drainAndClose(): Promise<void> {
		const {settings, clock, log} = this.#options;
		const startedAtMs = clock.nowMs();
		this.#isDraining = true;
		log.info({event: 'process_stopping', inFlight: this.#front.inFlight});
		await this.#scheduler.leave();
		const latestMs = startedAtMs + settings.stopGraceMs - closeReserveMs;
		while (clock.nowMs() < latestMs && (this.#front.inFlight > 0 || clock.nowMs() < startedAtMs + balancerNoticeMs)) {
			await new Promise<void>(resolve => {
				clock.schedule(50, resolve);
			});
		}

		const failures = await this.#lifecycle.releaseAll();
		log.info({
			event: 'process_stopped', inFlight: this.#front.inFlight, failures: failures.length, durationMs: Math.round(clock.nowMs() - startedAtMs),
		});
	}

	/** Peers show the secret, which this process may learn after it has started to listen. */
	#relayRoute(): OperationsRoute {
		return {
			method: 'POST',
			path: rpcPath,
			handle: (request, response) => {
				const {secret} = this.#peers;
				if (secret === undefined) {
					response.writeHead(503).end();
					return;
				}

				this.#route ??= createRpcRoute(secret, {[relayMethod]: async parameters => performRelayed(this.#ownTable, parameters)});
				this.#route.handle(request, response);
			},
		};
	}

	async #callPeer(...call: readonly [baseUrl: string, method: string, parameters: JsonValue, timeoutMs: number]): Promise<unknown> {
		this.#rpcClient ??= this.#own(new RpcClient({secret: this.#peers.secret ?? '', metrics: this.#options.metrics}));
		return this.#rpcClient.call(...call);
	}

	#own<Client extends {close(): Promise<void>}>(client: Client): Client {
		this.#lifecycle.own('connections', async () => client.close());
		return client;
	}
}
