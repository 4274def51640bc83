/**
Provides the members from the table service and, until that has been read, from a seed peer, so that a process that starts while the table service is down finds the other processes through the addresses in its configuration.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	type CancelTimer, type Clock, parseWith, PoplarnotchError, z,
} from '@poplarnotch/common';
import {type PeerDirectory} from '../settings/peer-messages.js';
import {type Member} from '../types.js';
import {type RpcClient} from './rpc-client.js';
import {type RpcMethods} from './rpc-server.js';

const membersMethod = 'peers.members';

const retryMs = 500;

const membersSchema = z.array(z.object({
	processId: z.string(),
	incarnation: z.number(),
	role: z.enum(['gate', 'controller']),
	host: z.string(),
	dataCentre: z.string(),
	region: z.string(),
	operationsUrl: z.string(),
}));

/** Options of a bootstrap directory. */
export type BootstrapDirectoryOptions = {
	/** The members as read from the table service. */
	readonly directory: PeerDirectory;
	/** Base URLs of operations ports, which are queried in turn. */
	readonly seeds: readonly string[];
	readonly client: RpcClient;
	readonly clock: Clock;
};

/** A directory of members that falls back to seed peers. */
export class BootstrapDirectory implements PeerDirectory {
	readonly #options: BootstrapDirectoryOptions;
	#fetched: readonly Member[] | undefined;
	#attempts = 0;
	#cancelRetry: CancelTimer | undefined;
	#isClosed = false;

	constructor(options: BootstrapDirectoryOptions) {
		this.#options = options;
	}

	members(): readonly Member[] | undefined {
		return this.#options.directory.members() ?? this.#fetched;
	}

	/** Queries the seeds until the members are known. */
	start(): void {
		void this.#fetchFromSeed();
	}

	close(): void {
		this.#isClosed = true;
		this.#cancelRetry?.();
	}

	/** The RPC method that returns the members known to this process. */
	rpcMethods(): RpcMethods {
		return {
			[membersMethod]: () => this.members() ?? [],
		};
	}

	async #fetchFromSeed(): Promise<void> {
		const {seeds} = this.#options;
		const seed = seeds[this.#attempts % seeds.length];
		if (this.#isClosed || seed === undefined || this.members() !== undefined) {
			return;
		}

		this.#attempts++;
		try {
			const parsed = parseWith(membersSchema, await this.#options.client.call(seed, membersMethod, {}), seed);
			this.#fetched = E.isRight(parsed) && parsed.right.length > 0 ? parsed.right : undefined;
		} catch (error) {
			// An unreachable seed is skipped: the next attempt queries the next seed.
			if (!(error instanceof PoplarnotchError)) {
				throw error;
			}
		}

		this.#cancelRetry = this.#options.clock.schedule(retryMs, () => {
			void this.#fetchFromSeed();
		});
	}
}
