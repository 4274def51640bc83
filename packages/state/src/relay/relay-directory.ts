/**
Tells the processes of one fleet of each other through rows of the table service: `control/peers/{processId}` holds a process's base URL and is rewritten as long as the process lives; `control/secret` holds the secret that their calls show, made by whichever process comes first.
*/
import {randomBytes} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import {
	type CancelTimer, type Clock, type Logger, parseWith, silentLogger, SystemClock, z,
} from '@poplarnotch/common';
import {
	absentVersion, ConflictError, PlatformError, type RowChange, type WatchableTable,
} from '@poplarnotch/platform';

/** Prefix of the rows that this module owns, among others of the same table. */
const peersPrefix = 'control/peers/';
const secretKey = 'control/secret';

/** How often a process shows that it lives. */
const heartbeatEveryMs = 4000;

/** A peer whose row has not changed for this long is left out: two heartbeats may be lost. */
const staleAfterMs = 10_000;

const secretBytes = 24;

const peerSchema = z.object({url: z.string(), beats: z.number(), cpuMillicores: z.number().default(0)});

/** A peer counts as larger from this many times the own processor on, so that machines of one kind do not pass work around. */
const largerFactor = 1.5;
const secretSchema = z.object({secret: z.string()});

type Peer = {
	readonly url: string;
	readonly cpuMillicores: number;
	readonly seenAtMs: number;
};

export type RelayDirectoryOptions = {
	readonly table: WatchableTable;
	readonly processId: string;
	readonly url: string;
	/** Processor that this process may use. */
	readonly cpuMillicores?: number;
	readonly clock?: Clock;
	readonly log?: Logger;
};

export class RelayDirectory {
	readonly #options: RelayDirectoryOptions;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #peers = new Map<string, Peer>();
	#secret: string | undefined;
	#beats = 0;
	#cancelTimer: CancelTimer | undefined;
	#isStopped = false;

	constructor(options: RelayDirectoryOptions) {
		this.#options = options;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	/** The shared secret; `undefined` until it was read or made. */
	get secret(): string | undefined {
		return this.#secret;
	}

	/** Base URLs of the other processes that have shown a sign of life lately. */
	get peerUrls(): readonly string[] {
		const nowMs = this.#clock.nowMs();
		return this.#secret === undefined ? [] : [...this.#peers.values()].filter(({seenAtMs}) => nowMs - seenAtMs < staleAfterMs).map(({url}) => url);
	}

	/** Whether a process with clearly more processor has shown a sign of life, lately and after `sinceMs` on this process's clock. */
	hasLargerPeer(sinceMs = 0): boolean {
		const nowMs = this.#clock.nowMs();
		const wanted = (this.#options.cpuMillicores ?? 0) * largerFactor;
		return wanted > 0 && [...this.#peers.values()].some(({cpuMillicores, seenAtMs}) => cpuMillicores >= wanted && seenAtMs > sinceMs && nowMs - seenAtMs < staleAfterMs);
	}

	start(): void {
		void this.#beat();
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancelTimer?.();
	}

	/** Takes changes of `control/` rows into account; those of others are passed over. */
	apply(changes: readonly RowChange[]): void {
		for (const {key, value} of changes) {
			if (key === secretKey) {
				const parsed = parseWith(secretSchema, value, key);
				this.#secret = E.isRight(parsed) ? parsed.right.secret : this.#secret;
			} else if (key.startsWith(peersPrefix) && key !== `${peersPrefix}${this.#options.processId}`) {
				this.#applyPeer(key, parseWith(peerSchema, value, key));
			}
		}
	}

	#applyPeer(key: string, parsed: E.Either<unknown, z.infer<typeof peerSchema>>): void {
		if (E.isRight(parsed)) {
			this.#peers.set(key, {url: parsed.right.url, cpuMillicores: parsed.right.cpuMillicores, seenAtMs: this.#clock.nowMs()});
		} else {
			this.#peers.delete(key);
		}
	}

	async #beat(): Promise<void> {
		try {
			await this.#write();
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#log.warn({event: 'peer_row_not_written', reason: error.message});
		}

		if (!this.#isStopped) {
			this.#cancelTimer = this.#clock.schedule(heartbeatEveryMs, () => {
				void this.#beat();
			});
		}
	}

	async #write(): Promise<void> {
		const {table, processId, url, cpuMillicores = 0} = this.#options;
		this.#beats++;
		await table.commit({conditions: [], writes: [{type: 'put', key: `${peersPrefix}${processId}`, value: {url, beats: this.#beats, cpuMillicores}}]});
		if (this.#secret === undefined) {
			await this.#makeSecret();
		}
	}

	async #makeSecret(): Promise<void> {
		try {
			await this.#options.table.commit({
				conditions: [{key: secretKey, version: absentVersion}],
				writes: [{type: 'put', key: secretKey, value: {secret: randomBytes(secretBytes).toString('base64url')}}],
			});
		} catch (error) {
			// Another process made it first; its row arrives with the changes.
			if (!(error instanceof ConflictError)) {
				throw error;
			}
		}
	}
}
