/**
Several settings replicas that communicate over real sockets: each has its own platform connection, RPC client and operations port, and they share a stand-in of the platform.
*/
import {
	type JsonValue, LifecycleManager, MetricsRegistry, OperationsServer, SystemClock,
} from '@poplarnotch/common';
import {HttpObjectStore, HttpTableService, PlatformConnection} from '@poplarnotch/platform';
import {PlatformStandIn} from '@poplarnotch/standin';
import {
	createRpcRoute, type Member, PeerUnreachableError, RpcClient, RpcSettingsPeers, type SettingsChange, type SettingsPeers, SettingsReplica, TableSettingsStore,
} from '../../src/index.js';

const secret = 'shared-by-all-processes';

/** One process of the fleet. */
export type FleetProcess = {
	readonly id: string;
	readonly replica: SettingsReplica;
	readonly store: TableSettingsStore;
};

/** The fleet with its platform. */
export class SocketFleet {
	readonly clock = new SystemClock();
	readonly platform = new PlatformStandIn();
	readonly processes: FleetProcess[] = [];
	/** Ids of processes that cannot reach any peer and cannot be reached by any. */
	readonly cutFromPeers = new Set<string>();
	platformUrl = '';
	readonly #members: Member[] = [];
	readonly #lifecycle = new LifecycleManager(this.clock);
	#changes = 0;

	/** Starts the platform and the processes; resolves when all processes are ready. */
	async start(size: number): Promise<void> {
		this.platformUrl = await this.platform.start();
		this.#lifecycle.own('platform', async () => this.platform.close());
		for (let index = 0; index < size; index++) {
			this.processes.push(await this.#startProcess(`p${index}`));
		}

		await this.waitUntil(() => this.processes.every(({replica}) => replica.isReady));
	}

	async stop(): Promise<void> {
		await this.#lifecycle.releaseAll();
	}

	/** Commits a change at one process, which then pushes it to its peers. */
	async commit(index: number, path: string, value: JsonValue): Promise<SettingsChange> {
		const {store, replica} = this.processes[index]!;
		this.#changes++;
		const change = await store.commitChange({
			changeId: `change-${this.#changes}`, author: 'op', reason: 'test', edits: [{path, value}], expectedRevision: undefined, fences: [],
		});
		replica.offerChanges([change]);
		return change;
	}

	/** Waits for a condition. */
	async waitUntil(isMet: () => boolean): Promise<void> {
		while (!isMet()) {
			await this.pause(5);
		}
	}

	async pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.schedule(durationMs, resolve);
		});
	}

	async #startProcess(id: string): Promise<FleetProcess> {
		const {clock} = this;
		const connection = new PlatformConnection({baseUrl: this.platformUrl, clientName: id});
		const platform = {table: new HttpTableService(connection), objects: new HttpObjectStore(connection)};
		const client = new RpcClient({secret});
		const peers = this.#withPeerCuts(id, new RpcSettingsPeers({members: () => this.#members}, client));
		const replica = new SettingsReplica({
			...platform, peers, processId: id, clock,
		});
		const operations = new OperationsServer({
			metrics: new MetricsRegistry(), isReady: () => replica.isReady, dump: () => replica.dump(),
		}, [createRpcRoute(secret, replica.rpcMethods())]);
		const port = await operations.listen('127.0.0.1', 0);
		this.#members.push({
			processId: id, incarnation: 1, role: 'gate', host: id, dataCentre: 'dc-1', region: 'region-1', operationsUrl: `http://127.0.0.1:${port}`,
		});
		replica.start();
		this.#lifecycle.own(id, async () => {
			replica.stop();
			await operations.close();
			await client.close();
			await connection.close();
		});
		return {id, replica, store: new TableSettingsStore({...platform, clock})};
	}

	#withPeerCuts(id: string, inner: SettingsPeers): SettingsPeers {
		const check = (peerId: string): void => {
			if (this.cutFromPeers.has(id) || this.cutFromPeers.has(peerId)) {
				throw new PeerUnreachableError('cut');
			}
		};

		return {
			memberIds: () => inner.memberIds(),
			async queryState(peerId, afterRevision) {
				check(peerId);
				return inner.queryState(peerId, afterRevision);
			},
			async push(peerId, changes) {
				check(peerId);
				return inner.push(peerId, changes);
			},
			async fetchTree(peerId) {
				check(peerId);
				return inner.fetchTree(peerId);
			},
		};
	}
}
