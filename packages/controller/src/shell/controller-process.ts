/**
Assembles one controller process: platform clients, the settings replica and store, the operations port with the RPC endpoint, and the operators' interface. The life-cycle manager owns and releases everything that the process opens.
*/
import {
	type Clock, LifecycleManager, type Logger, MetricsRegistry, type OperationsRoute, OperationsServer, type ReleaseFailure,
} from '@poplarnotch/common';
import {
	type HostList, HttpHostList, HttpObjectStore, HttpTableService, HttpWorkers, type ObjectStore, PlatformConnection, type TableService, type Workers,
} from '@poplarnotch/platform';
import {
	createRpcRoute, MemberDirectory, RpcClient, RpcSettingsPeers, BootstrapDirectory, SettingsReplica, TableSettingsStore,
} from '@poplarnotch/state';
import {Authenticator} from '../operators/authenticator.js';
import {InForceReporter} from '../operators/in-force-reporter.js';
import {createHostReview} from '../operators/review-host-edits.js';
import {OperatorsServer} from '../operators/server.js';
import {settingsRoutes} from '../operators/settings-routes.js';
import {statusRoutes} from '../operators/status-routes.js';
import {waveRoutes} from '../operators/wave-routes.js';
import {type ControllerSettings} from '../settings.js';
import {createGateQuery} from './gate-query.js';
import {HttpHostProbe} from './http-host-probe.js';
import {FleetRunner} from './fleet-runner.js';
import {type FleetRunnerOptions} from './fleet-types.js';
import {registerController} from './membership.js';
import {WaveDescriptions, waveMethods} from './wave-descriptions.js';

/** Ports on which a controller listens. */
export type ControllerPorts = {
	readonly operatorsPort: number;
	readonly operationsPort: number;
};

/** Clients of the platform's services. */
type Platform = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly hostList: HostList;
	readonly workers: Workers;
};

/** Runs one controller. */
export class ControllerProcess {
	readonly #settings: ControllerSettings;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #lifecycle: LifecycleManager;
	readonly #metrics = new MetricsRegistry();
	readonly #replacedListeners: Array<() => void> = [];

	constructor(settings: ControllerSettings, clock: Clock, logger: Logger) {
		this.#settings = settings;
		this.#clock = clock;
		this.#logger = logger;
		this.#lifecycle = new LifecycleManager(clock);
	}

	/** Registers a listener that is called when another instance registers under this process id; this one must then stop. */
	onReplaced(listener: () => void): void {
		this.#replacedListeners.push(listener);
	}

	/** Starts the controller; resolves when both ports are open. */
	async start(): Promise<ControllerPorts> {
		const {process: identity, listen, operators, peers: {secret, seeds}} = this.#settings;
		const [clock, logger] = [this.#clock, this.#logger];
		const platform = this.#openPlatform();
		const client = new RpcClient({secret, metrics: this.#metrics});
		this.#lifecycle.own('rpc-client', async () => client.close());
		const registered = this.#openMemberDirectory(platform);
		const directory = this.#openSeededDirectory(registered, client, seeds);
		const peers = new RpcSettingsPeers(directory, client);
		const replica = this.#startReplica(platform, peers);
		const store = new TableSettingsStore({...platform, clock, logger});
		const runner = this.#startRunner(platform, {
			replica, store, queryGates: createGateQuery(client, directory),
		});
		const operationsPort = await this.#openOperations(replica, runner, createRpcRoute(secret, {...replica.rpcMethods(), ...directory.rpcMethods(), ...waveMethods(runner)}));
		registerController({
			identity: {
				processId: identity.id, role: 'controller', host: identity.host, dataCentre: identity.dataCentre, region: identity.region,
				operationsUrl: `http://${listen.host}:${operationsPort}`,
			},
			table: platform.table, runner, clock, logger, lifecycle: this.#lifecycle, onReplaced: () => {
				this.#notifyReplaced();
			},
		});
		const waves = new WaveDescriptions({
			local: runner, processId: identity.id, directory, client,
		});
		const reporter = new InForceReporter({
			processId: identity.id, directory, refreshMembers: async () => registered.refresh(), peers, replica, clock,
		});
		const routes = [...settingsRoutes({store, replica, review: createHostReview(platform.table, logger)}), ...statusRoutes({replica, reporter}), ...waveRoutes(waves)];
		const server = new OperatorsServer(routes, new Authenticator(replica, operators.rootKeyHash), logger);
		const operatorsPort = await server.listen(listen.host, listen.operatorsPort);
		this.#lifecycle.own('operators-interface', async () => server.close());
		logger.info({event: 'controller_started', operatorsPort, operationsPort});
		return {operatorsPort, operationsPort};
	}

	/** Releases everything in reverse order of its start; returns the releases that failed. */
	async stop(): Promise<readonly ReleaseFailure[]> {
		const failures = await this.#lifecycle.releaseAll();
		this.#logger.info({event: 'controller_stopped', failures: failures.length});
		return failures;
	}

	#notifyReplaced(): void {
		for (const listener of this.#replacedListeners) {
			listener();
		}
	}

	#openPlatform(): Platform {
		const {platform, process: identity} = this.#settings;
		const connection = new PlatformConnection({baseUrl: platform.url, clientName: identity.id});
		this.#lifecycle.own('platform', async () => connection.close());
		return {
			table: new HttpTableService(connection),
			objects: new HttpObjectStore(connection),
			hostList: new HttpHostList(connection),
			workers: new HttpWorkers(connection),
		};
	}

	#openMemberDirectory({table, hostList}: Platform): MemberDirectory {
		const registered = new MemberDirectory({
			table, hostList, clock: this.#clock, log: this.#logger,
		});
		registered.start();
		this.#lifecycle.own('members', () => {
			registered.close();
		});
		return registered;
	}

	#openSeededDirectory(registered: MemberDirectory, client: RpcClient, seeds: readonly string[]): BootstrapDirectory {
		const directory = new BootstrapDirectory({
			directory: registered, seeds, client, clock: this.#clock,
		});
		directory.start();
		this.#lifecycle.own('member-directory', () => {
			directory.close();
		});
		return directory;
	}

	#startRunner(platform: Platform, options: Pick<FleetRunnerOptions, 'replica' | 'store' | 'queryGates'>): FleetRunner {
		const runner = new FleetRunner({
			...platform, ...options, processId: this.#settings.process.id, probe: new HttpHostProbe(), clock: this.#clock, logger: this.#logger,
		});
		runner.start();
		this.#lifecycle.own('fleet-runner', () => {
			runner.stop();
		});
		return runner;
	}

	#startReplica({table, objects}: Platform, peers: RpcSettingsPeers): SettingsReplica {
		const replica = new SettingsReplica({
			table, objects, peers, processId: this.#settings.process.id, clock: this.#clock, logger: this.#logger, metrics: this.#metrics,
		});
		replica.start();
		this.#lifecycle.own('settings-replica', () => {
			replica.stop();
		});
		return replica;
	}

	async #openOperations(replica: SettingsReplica, runner: FleetRunner, rpcRoute: OperationsRoute): Promise<number> {
		const {listen} = this.#settings;
		const operations = new OperationsServer({
			metrics: this.#metrics,
			isReady: () => replica.isReady,
			dump: () => ({
				processId: this.#settings.process.id, role: 'controller', settings: replica.dump(), fleet: runner.dump(),
			}),
		}, [rpcRoute]);
		this.#lifecycle.own('operations-port', async () => operations.close());
		this.#metrics.gauge('settings_revision', () => replica.revision);
		this.#metrics.gauge('settings_fresh', () => Number(replica.isFresh));
		return operations.listen(listen.host, listen.operationsPort);
	}
}
