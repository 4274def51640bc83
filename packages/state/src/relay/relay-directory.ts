/**
Discovers the processes of one fleet through rows of the table service. `control/peers/{processId}` holds a process's base URL and is rewritten with each heartbeat; `control/secret` holds the shared secret that authenticates their calls, created by the first process that finds none.
*/
import {randomBytes} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import {
	baseUrlSchema, type CancelTimer, type Clock, type Logger, OddEntryLog, parseWith, portSchema, silentLogger, SystemClock, z,
} from '@poplarnotch/common';
import {
	absentVersion, ConflictError, failureReason, type RowChange, type WatchableTable,
} from '@poplarnotch/platform';
import {type OutagePeer} from '../reachability/outage-evidence.js';
import {type Successor} from '../liveness/types.js';

/** Prefix of the peer rows; the same table holds other rows as well. */
const peersPrefix = 'control/peers/';
const secretKey = 'control/secret';

/** Interval between heartbeats. */
const heartbeatIntervalMs = 4000;

/** Interval at which it is checked whether a heartbeat is due. */
const checkIntervalMs = 250;

/** A peer without a heartbeat for this long is ignored; this tolerates two lost heartbeats. */
const staleAfterMs = 10_000;

const secretBytes = 24;

/** More than any host has. */
const maxCpuMillicores = 10_000_000;

const peerSchema = z.object({
	url: baseUrlSchema, beats: z.number(), cpuMillicores: z.number().nonnegative().max(maxCpuMillicores).default(0), dataCentre: z.string().default(''), datagramPort: portSchema.default(0), isRelaying: z.boolean().default(false),
});

/** A peer counts as larger if it has at least this many times this process's CPU, so that machines of one kind do not pass a lease back and forth. */
const largerPeerFactor = 1.5;
const secretSchema = z.object({secret: z.string().regex(/^[\w\-]{16,200}$/v)});

/** After the first peer rows have been read, those of processes that start at the same time arrive within this time. */
const settlingMs = 2000;

type Peer = {
	readonly url: string;
	readonly cpuMillicores: number;
	readonly dataCentre: string;
	/** Port that receives datagrams; 0 if the process receives none. */
	readonly datagramPort: number;
	/** The process reaches the table service only through others. */
	readonly isRelaying: boolean;
	readonly seenAtMs: number;
};

export type RelayDirectoryOptions = {
	readonly table: WatchableTable;
	readonly processId: string;
	readonly url: string;
	/** CPU that this process may use. */
	readonly cpuMillicores?: number;
	readonly dataCentre?: string;
	/** Port that receives datagrams on the host of `url`. */
	readonly datagramPort?: number | undefined;
	/** Whether this process reaches the table service only through others. Such a process should not hold a lease, whose holder depends on the table service most. */
	readonly isRelaying?: () => boolean;
	readonly clock?: Clock;
	readonly log?: Logger;
};

/** The other processes of the fleet and the shared secret. */
export class RelayDirectory {
	readonly #options: RelayDirectoryOptions;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #peers = new Map<string, Peer>();
	readonly #oddRows: OddEntryLog;
	#secret: string | undefined;
	#firstAppliedAtMs: number | undefined;
	#lastAppliedAtMs = 0;
	#heartbeats = 0;
	/** As last written to the process's row. */
	#wasRelaying = false;
	#nextHeartbeatAtMs = 0;
	#cancelTimer: CancelTimer | undefined;
	#isStopped = false;

	constructor(options: RelayDirectoryOptions) {
		this.#options = options;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
		this.#oddRows = new OddEntryLog(this.#log, 'row_unreadable');
	}

	/** The shared secret; `undefined` until it was read. */
	get secret(): string | undefined {
		return this.#secret;
	}

	/** Base URLs of the other processes whose last heartbeat is recent. */
	get peerUrls(): readonly string[] {
		const nowMs = this.#clock.nowMs();
		return this.#secret === undefined ? [] : [...this.#peers.values()].filter(({seenAtMs}) => nowMs - seenAtMs < staleAfterMs).map(({url}) => url);
	}

	/** The processes whose heartbeat was recent when changes were last read; `undefined` before the peers are known. During an outage of the table service no heartbeat arrives, so the list stays the same. */
	get lastKnownPeers(): readonly OutagePeer[] | undefined {
		if (this.#secret === undefined || this.#firstAppliedAtMs === undefined || this.#lastAppliedAtMs - this.#firstAppliedAtMs < settlingMs) {
			return undefined;
		}

		return [...this.#peers.values()].filter(({seenAtMs}) => this.#lastAppliedAtMs - seenAtMs < staleAfterMs);
	}

	/** Whether a process with considerably more CPU had a recent heartbeat, after `sinceMs` on this process's clock. */
	hasLargerPeer(sinceMs = 0): boolean {
		const nowMs = this.#clock.nowMs();
		const minCpuMillicores = (this.#options.cpuMillicores ?? 0) * largerPeerFactor;
		return minCpuMillicores > 0 && [...this.#peers.values()].some(({cpuMillicores, seenAtMs, isRelaying}) => !isRelaying && cpuMillicores >= minCpuMillicores && seenAtMs > sinceMs && nowMs - seenAtMs < staleAfterMs);
	}

	/** Whether this process is among the `count` with the most CPU that reach the table service themselves; processes with equal CPU are ranked by their id. False until the peers are known. */
	isAmongLargest(count: number): boolean {
		const nowMs = this.#clock.nowMs();
		if (this.#firstAppliedAtMs === undefined || nowMs - this.#firstAppliedAtMs < settlingMs || this.#isRelaying) {
			return false;
		}

		const {processId, cpuMillicores: ownMillicores = 0} = this.#options;
		const ownKey = `${peersPrefix}${processId}`;
		let betterCount = 0;
		for (const [key, {cpuMillicores, seenAtMs, isRelaying}] of this.#peers) {
			const isBetter = !isRelaying && (cpuMillicores > ownMillicores || (cpuMillicores === ownMillicores && key < ownKey));
			betterCount += isBetter && nowMs - seenAtMs < staleAfterMs ? 1 : 0;
		}

		return betterCount < count;
	}

	/** The `count` processes with the most CPU, which may include this one, without those that reach the table service only through others; none until the peers are known. */
	largest(count: number): readonly Successor[] {
		const nowMs = this.#clock.nowMs();
		if (this.#firstAppliedAtMs === undefined || nowMs - this.#firstAppliedAtMs < settlingMs) {
			return [];
		}

		const {processId, cpuMillicores = 0} = this.#options;
		const recent = [...this.#peers].filter(([, {seenAtMs, isRelaying}]) => !isRelaying && nowMs - seenAtMs < staleAfterMs)
			.map(([key, peer]) => ({processId: key.slice(peersPrefix.length), cpuMillicores: peer.cpuMillicores}));
		return [...recent, ...(this.#isRelaying ? [] : [{processId, cpuMillicores}])]
			.toSorted((a, b) => b.cpuMillicores - a.cpuMillicores || (a.processId < b.processId ? -1 : 1))
			.slice(0, count);
	}

	/** Where the process receives datagrams; `undefined` if it is unknown or receives none. */
	datagramAddressOf(processId: string): {readonly ip: string; readonly port: number} | undefined {
		const peer = this.#peers.get(`${peersPrefix}${processId}`);
		return peer === undefined || peer.datagramPort === 0 ? undefined : {ip: new URL(peer.url).hostname, port: peer.datagramPort};
	}

	start(): void {
		void this.#sendHeartbeatWhenDue();
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancelTimer?.();
	}

	/** Applies changes of the secret and of peer rows; ignores other rows. */
	apply(changes: readonly RowChange[]): void {
		this.#lastAppliedAtMs = this.#clock.nowMs();
		this.#firstAppliedAtMs ??= this.#lastAppliedAtMs;
		for (const change of changes) {
			const {key, value} = change;
			if (key === secretKey) {
				const parsed = parseWith(secretSchema, value, key);
				this.#secret = E.isRight(parsed) ? parsed.right.secret : this.#secret;
				this.#logOddRow(change, E.isRight(parsed));
			} else if (key.startsWith(peersPrefix) && key !== `${peersPrefix}${this.#options.processId}`) {
				const parsed = parseWith(peerSchema, value, key);
				this.#applyPeer(key, parsed);
				this.#logOddRow(change, E.isRight(parsed));
			}
		}
	}

	#logOddRow({key, value, version}: RowChange, isReadable: boolean): void {
		if (isReadable || value === undefined) {
			this.#oddRows.clear(key);
		} else {
			this.#oddRows.report(key, {version});
		}
	}

	#applyPeer(key: string, parsed: E.Either<unknown, z.infer<typeof peerSchema>>): void {
		if (E.isRight(parsed)) {
			const {url, cpuMillicores, dataCentre, datagramPort, isRelaying} = parsed.right;
			this.#peers.set(key, {
				url, cpuMillicores, dataCentre, datagramPort, isRelaying, seenAtMs: this.#clock.nowMs(),
			});
		} else {
			this.#peers.delete(key);
		}
	}

	get #isRelaying(): boolean {
		return this.#options.isRelaying?.() ?? false;
	}

	/** Others learn at once that this process reaches the table service in another way. */
	async #sendHeartbeatWhenDue(): Promise<void> {
		if (this.#clock.nowMs() >= this.#nextHeartbeatAtMs || this.#isRelaying !== this.#wasRelaying) {
			this.#nextHeartbeatAtMs = this.#clock.nowMs() + heartbeatIntervalMs;
			this.#wasRelaying = this.#isRelaying;
			await this.#sendHeartbeat();
		}

		if (!this.#isStopped) {
			this.#cancelTimer = this.#clock.schedule(checkIntervalMs, () => {
				void this.#sendHeartbeatWhenDue();
			});
		}
	}

	async #sendHeartbeat(): Promise<void> {
		try {
			await this.#writePeerRow();
		} catch (error) {
			this.#log.warn({event: 'peer_row_not_written', reason: failureReason(this.#log, 'write peer row', error)});
		}
	}

	async #writePeerRow(): Promise<void> {
		const {table, processId, url, cpuMillicores = 0, dataCentre = '', datagramPort} = this.#options;
		this.#heartbeats++;
		const value = {
			url, beats: this.#heartbeats, cpuMillicores, dataCentre, isRelaying: this.#wasRelaying, ...(datagramPort === undefined ? {} : {datagramPort}),
		};
		await table.commit({conditions: [], writes: [{type: 'put', key: `${peersPrefix}${processId}`, value}]});
		if (this.#secret === undefined) {
			await this.#createSecret();
		}
	}

	async #createSecret(): Promise<void> {
		try {
			await this.#options.table.commit({
				conditions: [{key: secretKey, version: absentVersion}],
				writes: [{type: 'put', key: secretKey, value: {secret: randomBytes(secretBytes).toString('base64url')}}],
			});
		} catch (error) {
			// Another process created it first; its row arrives with the changes.
			if (!(error instanceof ConflictError)) {
				throw error;
			}
		}
	}
}
