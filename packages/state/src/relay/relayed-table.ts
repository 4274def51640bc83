/**
A table service that is reached through another process while this one cannot reach it.

The platform may turn away, or be cut off from, some hosts and serve the others. A process that notices this sends its calls through a peer until its own path answers again, so its callers and its leases do not suffer. A call that failed on the way there is not repeated here: whether it was applied is the caller's question, as with any table service.
*/
import {
	type Clock, type JsonValue, type Logger, type RandomSource, silentLogger, SystemClock, SystemRandom,
} from '@poplarnotch/common';
import {
	type ChangePage, type CommitResult, ConflictError, HistoryLostError, type PageOptions, PlatformError, type Row, type RowListing, type RowPage, type Transaction, UnavailableError, type WatchableTable, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {PeerUnreachableError} from '../peers/errors.js';
import {
	type RelayAnswer, relayAnswerSchema, type RelayedCall, relayMethod,
} from './messages.js';

/** Calls a method of another process. */
export type CallPeer = (baseUrl: string, method: string, parameters: JsonValue, timeoutMs: number) => Promise<unknown>;

export type RelayedTableOptions = {
	readonly own: WatchableTable;
	/** Base URLs of the other processes. */
	readonly peers: () => readonly string[];
	readonly callPeer: CallPeer;
	readonly random?: RandomSource;
	readonly clock?: Clock;
	readonly log?: Logger;
};

/** While the own path is down, one call in this time tries it again. */
const probeEveryMs = 400;

/** A peer that fails is passed over for this long. */
const peerPauseMs = 1500;

/** Peers that one call tries. */
const maxPeersPerCall = 2;

/** Where the peers that were asked do not reach the table service either, it is down for all, and only the own path is tried for this long. */
const outagePauseMs = 500;

/** A small row for finding out whether the own path answers again; it need not exist. */
const probeKey = 'control/probe';

const relayTimeoutMs = 1100;

/** Pause of a relayed wait for changes that found none: peers are asked for what is there, not to wait. */
const relayedPollMs = 120;

type Perform<Result> = (table: WatchableTable) => Promise<Result>;

export class RelayedTable implements WatchableTable {
	readonly #options: RelayedTableOptions;
	readonly #random: RandomSource;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #avoidedUntilMs = new Map<string, number>();
	#isOwnPathDown = false;
	#nextProbeAtMs = 0;
	#relayNotBeforeMs = 0;
	#lastPeer: string | undefined;

	constructor(options: RelayedTableOptions) {
		this.#options = options;
		this.#random = options.random ?? new SystemRandom();
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		return this.#perform(async table => table.commit(transaction), {type: 'commit', transaction});
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		return this.#perform(async table => table.readRows(keys), {type: 'readRows', keys});
	}

	async readPrefix(prefix: string, options: PageOptions = {}): Promise<RowPage> {
		return this.#perform(async table => table.readPrefix(prefix, options), {type: 'readPrefix', prefix, options});
	}

	async changesSince(prefix: string, revision: number): Promise<ChangePage> {
		return this.#perform(async table => table.changesSince(prefix, revision), {type: 'changesSince', prefix, revision});
	}

	async listRows(prefix: string): Promise<RowListing> {
		return this.#perform(async table => table.listRows(prefix), {type: 'listRows', prefix});
	}

	async waitForChanges(prefix: string, revision: number, waitMs: number): Promise<ChangePage> {
		const wasDown = this.#isOwnPathDown;
		const page = await this.#perform(
			async table => wasDown ? table.changesSince(prefix, revision) : table.waitForChanges(prefix, revision, waitMs),
			{type: 'changesSince', prefix, revision},
		);
		if (wasDown && waitMs > 0 && page.changes.length === 0) {
			await new Promise<void>(resolve => {
				this.#clock.schedule(Math.min(waitMs, relayedPollMs), resolve);
			});
		}

		return page;
	}

	async #perform<Result>(perform: Perform<Result>, call: RelayedCall): Promise<Result> {
		const nowMs = this.#clock.nowMs();
		if (!this.#isOwnPathDown) {
			return this.#performOwn(perform);
		}

		if (nowMs >= this.#nextProbeAtMs) {
			this.#nextProbeAtMs = nowMs + probeEveryMs;
			void this.#probe();
		}

		if (nowMs < this.#relayNotBeforeMs) {
			throw new UnavailableError('the table service is reached neither from here nor by peers');
		}

		return await this.#relay(call) as Result;
	}

	async #performOwn<Result>(perform: Perform<Result>): Promise<Result> {
		try {
			return await perform(this.#options.own);
		} catch (error) {
			if (error instanceof UnavailableError || error instanceof WriteOutcomeUnknownError) {
				this.#setOwnPathDown(true, error.message);
			}

			throw error;
		}
	}

	/** Reads on the own path only to learn whether it answers again. */
	async #probe(): Promise<void> {
		try {
			await this.#options.own.readRows([probeKey]);
			this.#setOwnPathDown(false);
		} catch (error) {
			// Still down, as the log says already.
			if (!(error instanceof PlatformError)) {
				throw error;
			}
		}
	}

	#setOwnPathDown(isDown: boolean, reason?: string): void {
		if (this.#isOwnPathDown !== isDown) {
			this.#isOwnPathDown = isDown;
			this.#nextProbeAtMs = this.#clock.nowMs() + probeEveryMs;
			this.#log.info({event: isDown ? 'store_path_lost' : 'store_path_regained', reason, peers: this.#options.peers().length});
		}
	}

	async #relay(call: RelayedCall): Promise<unknown> {
		let failure: PlatformError = new UnavailableError('the table service is not reached, and no peer is known');
		for (const peer of this.#choosePeers()) {
			try {
				const answer = relayAnswerSchema.parse(await this.#options.callPeer(peer, relayMethod, call, relayTimeoutMs));
				this.#lastPeer = peer;
				return resultOf(answer);
			} catch (error) {
				if (error instanceof ConflictError || error instanceof HistoryLostError) {
					throw error;
				}

				this.#avoid(peer);
				failure = failureOf(call, error);
				if (failure.mayBeApplied) {
					throw failure;
				}
			}
		}

		this.#relayNotBeforeMs = this.#clock.nowMs() + outagePauseMs;
		throw failure;
	}

	#avoid(peer: string): void {
		this.#avoidedUntilMs.set(peer, this.#clock.nowMs() + peerPauseMs);
		this.#lastPeer = undefined;
	}

	/** The peer that served last comes first, then others by lot, so that hosts that lose their path together do not all burden the same peer. Peers that failed lately are left out. */
	#choosePeers(): readonly string[] {
		const nowMs = this.#clock.nowMs();
		return this.#options.peers()
			.filter(peer => (this.#avoidedUntilMs.get(peer) ?? 0) <= nowMs)
			.map(peer => ({peer, lot: peer === this.#lastPeer ? -1 : this.#random.next()}))
			.toSorted((a, b) => a.lot - b.lot)
			.slice(0, maxPeersPerCall)
			.map(({peer}) => peer);
	}
}

const resultOf = (answer: RelayAnswer): unknown => {
	switch (answer.type) {
		case 'result': {
			return answer.result;
		}

		case 'conflict': {
			throw new ConflictError(answer.conflicts);
		}

		case 'history-lost': {
			throw new HistoryLostError(answer.message);
		}

		case 'unknown-outcome': {
			throw new WriteOutcomeUnknownError(answer.message);
		}

		case 'unavailable': {
			throw new UnavailableError(answer.message);
		}
	}
};

/** A commit that was sent to a peer and not answered may have been applied. */
const failureOf = (call: RelayedCall, error: unknown): PlatformError => {
	if (error instanceof PlatformError) {
		return error;
	}

	const message = `${call.type} through a peer: ${String(error)}`;
	return call.type === 'commit' || !(error instanceof PeerUnreachableError)
		? new WriteOutcomeUnknownError(message, {cause: error})
		: new UnavailableError(message, {cause: error});
};
