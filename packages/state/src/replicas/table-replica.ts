/**
Keeps a local copy of all rows under one prefix by following the table's changes.

One call waits at the table for the next change; after each answer the replica pauses for `pauseMs`, so that changes in quick succession arrive together. `refresh` asks at once, for readers that must see every change that was acknowledged before they asked. Where the table has dropped its history, all rows are listed again.
*/
import {
	type CancelTimer, type Clock, type Logger, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {
	HistoryLostError, PlatformError, type RowChange, type WatchableTable,
} from '@poplarnotch/platform';

/** Pause after a call that failed: a few tries within the second in which an outage should be noticed as over. */
const retryPauseMs = 150;

export type TableReplicaOptions = {
	readonly table: WatchableTable;
	readonly prefix: string;
	/** How long one call waits for a change; bounds how late a silent connection is noticed. */
	readonly waitMs: number;
	/** Pause between two calls. */
	readonly pauseMs: () => number;
	/** Called with each batch of changes, in order; `undefined` values are deletions. */
	readonly onChanges: (changes: readonly RowChange[]) => void;
	readonly clock?: Clock;
	readonly log?: Logger;
};

/** Follows the rows under one prefix. */
export class TableReplica {
	readonly #options: TableReplicaOptions;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #versions = new Map<string, number>();
	#revision: number | undefined;
	#confirmedAtMs: number | undefined;
	#isStopped = false;
	#isReachable = true;
	#refreshing: Promise<void> | undefined;
	#nextRefresh: Promise<void> | undefined;
	#listing: Promise<void> | undefined;
	#wake: (() => void) | undefined;

	constructor(options: TableReplicaOptions) {
		this.#options = options;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	/** When the newest answered call was sent; everything acknowledged before that is contained. `undefined` before the first listing. */
	get confirmedAtMs(): number | undefined {
		return this.#confirmedAtMs;
	}

	/** Every change up to this revision is contained. */
	get revision(): number | undefined {
		return this.#revision;
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	/** Resolves once every change that was acknowledged before this call is contained; fails with `UnavailableError`. */
	async refresh(): Promise<void> {
		if (this.#refreshing === undefined) {
			this.#refreshing = this.#readChanges(0).finally(() => {
				this.#refreshing = undefined;
			});
			return this.#refreshing;
		}

		// A call under way may have been answered before this reader asked; all who wait now share the next one.
		this.#nextRefresh ??= this.#refreshAfter(this.#refreshing);
		return this.#nextRefresh;
	}

	/** Ends the present pause, where its length has changed. */
	hasten(): void {
		this.#wake?.();
	}

	async #refreshAfter(current: Promise<void>): Promise<void> {
		await Promise.allSettled([current]);
		this.#nextRefresh = undefined;
		return this.refresh();
	}

	async #follow(): Promise<void> {
		while (!this.#isStopped) {
			const isRead = await this.#tryRead();
			await this.#pause(isRead ? this.#options.pauseMs() : retryPauseMs);
		}
	}

	async #tryRead(): Promise<boolean> {
		try {
			await this.#readChanges(this.#options.waitMs);
			this.#noteReachable(true);
			return true;
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#noteReachable(false, error);
			return false;
		}
	}

	#noteReachable(isReachable: boolean, error?: PlatformError): void {
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			const event = isReachable ? 'replica_regained' : 'replica_lost';
			this.#log.info({
				event, prefix: this.#options.prefix, revision: this.#revision, reason: error?.message,
			});
		}
	}

	async #readChanges(waitMs: number): Promise<void> {
		if (this.#revision === undefined) {
			const isJoining = this.#listing !== undefined;
			await this.#listOnce();
			if (!isJoining) {
				return;
			}
		}

		const sentAtMs = this.#clock.nowMs();
		try {
			const page = await this.#options.table.waitForChanges(this.#options.prefix, this.#revision!, waitMs);
			this.#apply(page.changes, page.revision, sentAtMs);
		} catch (error) {
			if (!(error instanceof HistoryLostError)) {
				throw error;
			}

			this.#log.info({event: 'replica_relisted', prefix: this.#options.prefix, revision: this.#revision});
			await this.#listOnce();
		}
	}

	/** Listing all rows is the most expensive call there is: whoever needs it joins the one that is under way. */
	async #listOnce(): Promise<void> {
		this.#listing ??= this.#listAll().finally(() => {
			this.#listing = undefined;
		});
		return this.#listing;
	}

	async #listAll(): Promise<void> {
		const sentAtMs = this.#clock.nowMs();
		const {rows, revision} = await this.#options.table.listRows(this.#options.prefix);
		const listed = new Set(rows.map(row => row.key));
		const gone = [...this.#versions]
			.filter(([key, version]) => !listed.has(key) && version <= revision)
			.map(([key]): RowChange => ({key, value: undefined, version: revision}));
		const changed = rows.filter(row => row.version > (this.#versions.get(row.key) ?? 0));
		this.#deliver([...gone, ...changed]);
		this.#confirm(revision, sentAtMs);
	}

	/** Answers of two calls may arrive in either order; changes up to the known revision were applied already. */
	#apply(changes: readonly RowChange[], revision: number, sentAtMs: number): void {
		this.#deliver(changes.filter(change => change.version > (this.#revision ?? 0) && change.version > (this.#versions.get(change.key) ?? 0)));
		this.#confirm(revision, sentAtMs);
	}

	#confirm(revision: number, sentAtMs: number): void {
		this.#revision = Math.max(this.#revision ?? 0, revision);
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? sentAtMs, sentAtMs);
	}

	#deliver(changes: readonly RowChange[]): void {
		for (const {key, value, version} of changes) {
			if (value === undefined) {
				this.#versions.delete(key);
			} else {
				this.#versions.set(key, version);
			}
		}

		if (changes.length > 0) {
			this.#options.onChanges(changes);
		}
	}

	async #pause(durationMs: number): Promise<void> {
		if (durationMs <= 0 || this.#isStopped) {
			return;
		}

		let cancel: CancelTimer | undefined;
		await new Promise<void>(resolve => {
			this.#wake = resolve;
			cancel = this.#clock.schedule(durationMs, resolve);
		});
		cancel?.();
		this.#wake = undefined;
	}
}

