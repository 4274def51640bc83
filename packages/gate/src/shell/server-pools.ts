/**
Connections to backend servers: one pool for each address, limited to this gate's part of the connections that a backend server accepts.
*/
import {type Dispatcher, Pool} from 'undici';

export type ServerPoolOptions = {
	readonly connectTimeoutMs: number;
	readonly keepAliveTimeoutMs: number;
};

type BoundedPool = {
	readonly pool: Pool;
	readonly maxConnections: number;
};

/** The connection pools of one gate. */
export class ServerPools {
	readonly #pools = new Map<string, BoundedPool>();
	#limits: ReadonlyMap<string, number> = new Map();
	readonly #options: ServerPoolOptions;

	constructor(options: ServerPoolOptions) {
		this.#options = options;
	}

	/** Sets the maximum number of connections of each address. A pool whose limit changes, or whose address has none any more, is closed once its requests have ended. */
	limit(limits: ReadonlyMap<string, number>): void {
		this.#limits = limits;
		for (const [address, {pool, maxConnections}] of this.#pools) {
			if (limits.get(address) !== maxConnections) {
				this.#pools.delete(address);
				void pool.close();
			}
		}
	}

	/** Sends one request. The handler receives its events, including connection failures. */
	send(address: string, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.#poolOf(address).dispatch(options, handler);
	}

	/** Closes all connections at once. */
	async destroy(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async ({pool}) => pool.destroy()));
	}

	#poolOf(address: string): Pool {
		const known = this.#pools.get(address);
		if (known !== undefined) {
			return known.pool;
		}

		const maxConnections = this.#limits.get(address) ?? 1;
		const pool = new Pool(address, {
			connections: maxConnections,
			pipelining: 1,
			keepAliveTimeout: this.#options.keepAliveTimeoutMs,
			// The reducer limits waiting and running time; timers of the client would duplicate that.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: {timeout: this.#options.connectTimeoutMs},
		});
		this.#pools.set(address, {pool, maxConnections});
		return pool;
	}
}
