/**
One controller: platform clients, the settings replica and store, the operations port with the RPC endpoint, and the operators' interface. Everything it opens is owned by the life-cycle manager.
*/
import {
	type Clock, LifecycleManager, type Logger, MetricsRegistry, type OperationsRoute, OperationsServer, type ReleaseFailure,
} from '@poplarnotch/common';
import {
	type HostList, HttpHostList, HttpObjectStore, HttpTableService, HttpWorkers, type ObjectStore, PlatformConnection, type TableService, type Workers,
} from '@poplarnotch/platform';
import {
	createRpcRoute, MemberDirectory, RpcClient, RpcSettingsPeers, SeededDirectory, SettingsReplica, TableSettingsStore,
} from '@poplarnotch/state';
import {Authenticator} from '../operators/authenticator.js';
import {FleetSurvey} from '../operators/fleet-survey.js';
import {createHostReview} from '../operators/review-host-edits.js';
import {OperatorsServer} from '../operators/server.js';
import {settingsRoutes} from '../operators/settings-routes.js';
import {statusRoutes} from '../operators/status-routes.js';
import {waveRoutes} from '../operators/wave-routes.js';
import {type ControllerSettings} from '../settings.js';
import {createAskGates} from './ask-gates.js';
import {HttpHostProbe} from './fleet-http-probe.js';
import {FleetRunner} from './fleet-runner.js';
import {type FleetRunnerOptions} from './fleet-types.js';
import {joinFleet} from './membership.js';
import {SharedWaves, waveMethods} from './shared-waves.js';

/** Ports on which a controller listens. */
export type ControllerPorts = {
	readonly operatorsPort: number;
	readonly operationsPort: number;
};

/** The platform's services. */
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

	/** Calls back where another run of this process has taken its place; this one must stop. */
	onReplaced(listener: () => void): void {
		this.#replacedListeners.push(listener);
	}

	/** Starts everything; resolves when both ports are open. */
	async start(): Promise<ControllerPorts> {
		const {process: identity, listen, operators, peers: {secret, seeds}} = this.#settings;
		const [clock, logger] = [this.#clock, this.#logger];
		const platform = this.#openPlatform();
		const client = new RpcClient({secret, metrics: this.#metrics});
		this.#lifecycle.own('rpc-client', async () => client.close());
		const registered = this.#openMembers(platform);
		const directory = this.#openDirectory(registered, client, seeds);
		const peers = new RpcSettingsPeers(directory, client);
		const replica = this.#startReplica(platform, peers);
		const store = new TableSettingsStore({...platform, clock, logger});
		const runner = this.#startRunner(platform, {
			replica, store, askGates: createAskGates(client, directory),
		});
		const operationsPort = await this.#openOperations(replica, runner, createRpcRoute(secret, {...replica.rpcMethods(), ...directory.rpcMethods(), ...waveMethods(runner)}));
		joinFleet({
			identity: {
				processId: identity.id, role: 'controller', host: identity.host, dataCentre: identity.dataCentre, region: identity.region,
				operationsUrl: `http://${listen.host}:${operationsPort}`,
			},
			table: platform.table, runner, clock, logger, lifecycle: this.#lifecycle, onReplaced: () => {
				this.#tellReplaced();
			},
		});
		const waves = new SharedWaves({
			own: runner, processId: identity.id, directory, client,
		});
		const survey = new FleetSurvey({
			processId: identity.id, directory, refreshMembers: async () => registered.refresh(), peers, replica, clock,
		});
		const routes = [...settingsRoutes({store, replica, review: createHostReview(platform.table, logger)}), ...statusRoutes({replica, survey}), ...waveRoutes(waves)];
		const server = new OperatorsServer(routes, new Authenticator(replica, operators.rootKeyHash), logger);
		const operatorsPort = await server.listen(listen.host, listen.operatorsPort);
		this.#lifecycle.own('operators-interface', async () => server.close());
		logger.info({event: 'controller_started', operatorsPort, operationsPort});
		return {operatorsPort, operationsPort};
	}

	/** Stops everything in reverse order. */
	async stop(): Promise<readonly ReleaseFailure[]> {
		const failures = await this.#lifecycle.releaseAll();
		this.#logger.info({event: 'controller_stopped', failures: failures.length});
		return failures;
	}

	#tellReplaced(): void {
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

	#openMembers({table, hostList}: Platform): MemberDirectory {
		const registered = new MemberDirectory({
			table, hostList, clock: this.#clock, log: this.#logger,
		});
		registered.start();
		this.#lifecycle.own('members', () => {
			registered.close();
		});
		return registered;
	}

	#openDirectory(registered: MemberDirectory, client: RpcClient, seeds: readonly string[]): SeededDirectory {
		const directory = new SeededDirectory({
			directory: registered, seeds, client, clock: this.#clock,
		});
		directory.start();
		this.#lifecycle.own('member-directory', () => {
			directory.close();
		});
		return directory;
	}

	#startRunner(platform: Platform, parts: Pick<FleetRunnerOptions, 'replica' | 'store' | 'askGates'>): FleetRunner {
		const runner = new FleetRunner({
			...platform, ...parts, processId: this.#settings.process.id, probe: new HttpHostProbe(), clock: this.#clock, logger: this.#logger,
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
