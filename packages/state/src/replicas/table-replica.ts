/**
Keeps a local copy of all rows under one prefix by following the table's changes.

One long-polling call waits for the next change; after each response the replica pauses for `pauseMs`, so that changes in quick succession arrive in one batch. An answer may hold only the first of many changes: the copy counts as confirmed once an answer has held all of them. `refresh` reads without waiting, for readers that must see every change that was acknowledged before their call. If the table service has dropped its history, all rows are listed again.
*/
import {
	type CancelTimer, type Clock, type Logger, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {
	type ChangePage, failureReason, HistoryLostError, type RowChange, type WatchableTable,
} from '@poplarnotch/platform';

/** Pause after a failed call: it allows several attempts within the second in which the end of an outage should be detected. */
const retryPauseMs = 150;

export type TableReplicaOptions = {
	readonly table: WatchableTable;
	readonly prefix: string;
	/** How long one call waits for a change; limits how late a dead connection is detected. */
	readonly waitMs: number;
	/** Pause between two calls. */
	readonly pauseMs: () => number;
	/** While it returns false, changes are not followed, and only `refresh` brings the replica up to date. */
	readonly isActive?: () => boolean;
	/** Called with each batch of changes, in order; `undefined` values are deletions. */
	readonly onChanges: (changes: readonly RowChange[]) => void;
	readonly clock?: Clock;
	readonly log?: Logger;
};

/** How often a suspended replica checks whether it is active again; `endPause` makes it check at once. */
const suspendedCheckMs = 1000;

/** Follows the rows under one prefix. */
export class TableReplica {
	readonly #options: TableReplicaOptions;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #versions = new Map<string, number>();
	/** Versions of the rows that were removed since the last listing began, which may still hold them. */
	readonly #removedVersions = new Map<string, number>();
	#revision: number | undefined;
	#confirmedAtMs: number | undefined;
	#lastPageSize = 0;
	#isStopped = false;
	#isReachable = true;
	#currentRefresh: Promise<void> | undefined;
	#nextRefresh: Promise<void> | undefined;
	#currentListing: Promise<void> | undefined;
	#endCurrentPause: (() => void) | undefined;

	constructor(options: TableReplicaOptions) {
		this.#options = options;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	/** When the newest successful call was sent; the replica contains everything that was acknowledged before. `undefined` before the first listing. */
	get confirmedAtMs(): number | undefined {
		return this.#confirmedAtMs;
	}

	/** The replica contains every change up to this revision. */
	get revision(): number | undefined {
		return this.#revision;
	}

	/** Number of changes in the newest answer, for diagnosis. */
	get lastPageSize(): number {
		return this.#lastPageSize;
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#isStopped = true;
		this.#endCurrentPause?.();
	}

	/** Resolves once the replica contains every change that was acknowledged before this call; fails with `UnavailableError`. */
	async refresh(): Promise<void> {
		if (this.#currentRefresh === undefined) {
			this.#currentRefresh = this.#readChanges(0).finally(() => {
				this.#currentRefresh = undefined;
			});
			return this.#currentRefresh;
		}

		// The table service may have processed the pending call before this reader's call, so waiting readers share the next one.
		this.#nextRefresh ??= this.#refreshAfter(this.#currentRefresh);
		return this.#nextRefresh;
	}

	/** Ends the current pause early, for use when the pause length has changed. */
	endPause(): void {
		this.#endCurrentPause?.();
	}

	/** Reads the changes at once, without waiting for further ones, for use when the path to the table works again: a pending call may have lost its connection, and one that waits for changes confirms the replica only when it is answered. */
	readNow(): void {
		if (!this.#isStopped && this.#options.isActive?.() !== false) {
			this.endPause();
			void this.#tryRead(0);
		}
	}

	async #refreshAfter(current: Promise<void>): Promise<void> {
		await Promise.allSettled([current]);
		this.#nextRefresh = undefined;
		return this.refresh();
	}

	async #follow(): Promise<void> {
		while (!this.#isStopped) {
			if (this.#options.isActive?.() === false) {
				await this.#pause(suspendedCheckMs);
				continue;
			}

			// After a failure, the replica is confirmed before it waits for changes again.
			const isRead = await this.#tryRead(this.#isReachable ? this.#options.waitMs : 0);
			await this.#pause(isRead ? this.#options.pauseMs() : retryPauseMs);
		}
	}

	async #tryRead(waitMs: number): Promise<boolean> {
		try {
			await this.#readChanges(waitMs);
			this.#setReachable(true);
			return true;
		} catch (error) {
			this.#setReachable(false, failureReason(this.#log, `read ${this.#options.prefix}`, error));
			return false;
		}
	}

	#setReachable(isReachable: boolean, reason?: string): void {
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			const event = isReachable ? 'replica_regained' : 'replica_lost';
			this.#log.info({
				event, prefix: this.#options.prefix, revision: this.#revision, reason,
			});
		}
	}

	/** Reads all changes. Waits for the first one for `waitMs` if there is none. */
	async #readChanges(waitMs: number): Promise<void> {
		if (this.#revision === undefined) {
			const isJoining = this.#currentListing !== undefined;
			await this.#listOnce();
			if (!isJoining) {
				return;
			}
		}

		for (let hasMore = await this.#readPage(waitMs); hasMore && !this.#isStopped;) {
			hasMore = await this.#readPage(0);
		}
	}

	/** Returns true if there may be further changes that the replica does not contain although they were acknowledged before. */
	async #readPage(waitMs: number): Promise<boolean> {
		const sentAtMs = this.#clock.nowMs();
		try {
			const page = await this.#options.table.waitForChanges(this.#options.prefix, this.#revision!, waitMs);
			this.#apply(page, sentAtMs);
			return page.hasMore;
		} catch (error) {
			if (!(error instanceof HistoryLostError)) {
				throw error;
			}

			this.#log.info({event: 'replica_relisted', prefix: this.#options.prefix, revision: this.#revision});
			// A listing that is under way may have read some rows before they were changed.
			const isJoining = this.#currentListing !== undefined;
			await this.#listOnce();
			return isJoining;
		}
	}

	/** Lists all rows, or joins a pending listing, because this is the most expensive call. */
	async #listOnce(): Promise<void> {
		this.#currentListing ??= this.#listAll().finally(() => {
			this.#currentListing = undefined;
		});
		return this.#currentListing;
	}

	/**
	Rows are listed one part after the other. Those that changed since the listing's revision are left to the changes that are read after it: the rows of one job stand in several parts, of which only the later ones would have been read after the change.
	*/
	async #listAll(): Promise<void> {
		const sentAtMs = this.#clock.nowMs();
		this.#removedVersions.clear();
		const {rows, revision} = await this.#options.table.listRows(this.#options.prefix);
		const listed = new Set(rows.map(row => row.key));
		const gone = [...this.#versions]
			.filter(([key, version]) => !listed.has(key) && version <= revision)
			.map(([key]): RowChange => ({key, value: undefined, version: revision}));
		const changed = rows.filter(({key, version}) => version <= revision
			&& version > Math.max(this.#versions.get(key) ?? 0, this.#removedVersions.get(key) ?? 0));
		this.#deliver([...gone, ...changed]);
		this.#confirm(revision, sentAtMs);
	}

	/** Responses of two calls may arrive in either order, so changes that were already applied are skipped. */
	#apply({changes, revision, hasMore}: ChangePage, sentAtMs: number): void {
		this.#lastPageSize = changes.length;
		this.#deliver(changes.filter(change => change.version > (this.#revision ?? 0) && change.version > (this.#versions.get(change.key) ?? 0)));
		if (hasMore) {
			this.#revision = Math.max(this.#revision ?? 0, revision);
		} else {
			this.#confirm(revision, sentAtMs);
		}
	}

	#confirm(revision: number, sentAtMs: number): void {
		this.#revision = Math.max(this.#revision ?? 0, revision);
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? sentAtMs, sentAtMs);
	}

	#deliver(changes: readonly RowChange[]): void {
		for (const {key, value, version} of changes) {
			if (value === undefined) {
				this.#versions.delete(key);
				if (this.#currentListing !== undefined) {
					this.#removedVersions.set(key, version);
				}
			} else {
				this.#versions.set(key, version);
			}
		}

		if (changes.length > 0) {
			this.#passOn(changes);
		}
	}

	/** A change that the listener cannot handle costs only itself: the others of its batch are passed on one by one. */
	#passOn(changes: readonly RowChange[]): void {
		try {
			this.#options.onChanges(changes);
		} catch (error) {
			const reason = failureReason(this.#log, `apply ${this.#options.prefix}`, error);
			if (changes.length === 1) {
				this.#log.error({
					event: 'row_not_applied', key: changes[0]!.key, version: changes[0]!.version, reason,
				});
				return;
			}

			for (const change of changes) {
				this.#passOn([change]);
			}
		}
	}

	async #pause(durationMs: number): Promise<void> {
		if (durationMs <= 0 || this.#isStopped) {
			return;
		}

		let cancel: CancelTimer | undefined;
		await new Promise<void>(resolve => {
			this.#endCurrentPause = resolve;
			cancel = this.#clock.schedule(durationMs, resolve);
		});
		cancel?.();
		this.#endCurrentPause = undefined;
	}
}

