/**
Keeps a local copy of all rows under one prefix by following the table's changes.

One long-polling call waits for the next change; after each response the replica pauses for `pauseMs`, so that changes in quick succession arrive in one batch. If the table service has dropped its history, all rows are listed again.

An answer may hold only the first of many changes, and the table service need not say so. What it does say is that the answer holds all changes up to its revision. So the copy is confirmed, that is, known to hold all that was acknowledged before some moment, in two ways: by an answer without changes, or by reaching the revision that the table service named as the newest one after that moment. A listing does not confirm it: it leaves out rows that change while it is read. `refresh` reads until one of them holds. While changes are followed, the replica is refreshed only if no answer has confirmed it for `maxConfirmationAgeMs`, since every call has a price.
*/
import {
	type CancelTimer, type Clock, type Logger, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {
	type ChangePage, failureReason, HistoryLostError, type RowChange, UnavailableError, type WatchableTable,
} from '@poplarnotch/platform';
import {type TableClock} from './table-clock.js';

/** Pause after a failed call: it allows several attempts within the second in which the end of an outage should be detected. */
const retryPauseMs = 150;

export type TableReplicaOptions = {
	readonly table: WatchableTable;
	readonly prefix: string;
	/** How long one call waits for a change; limits how late a dead connection is detected. */
	readonly waitMs: number;
	/** Pause between two calls. */
	readonly pauseMs: () => number;
	/** If changes come faster than a call waits, the replica is refreshed at this age of its confirmation. A table that cuts its answers is caught up with at the same time. */
	readonly maxConfirmationAgeMs?: number;
	/** While it returns false, changes are not followed, and only `refresh` brings the replica up to date. */
	readonly isActive?: () => boolean;
	/** Called with each batch of changes, in order; `undefined` values are deletions. */
	readonly onChanges: (changes: readonly RowChange[]) => void;
	/** Records the readings of the table service's clock that answers carry. */
	readonly tableClock?: TableClock;
	readonly clock?: Clock;
	readonly log?: Logger;
};

/** How long a call waits for changes that the table service owes, once it has answered twice without them. */
const behindWaitMs = 50;

/** Number of such answers after which the copy is used as it is. */
const maxEmptyAnswers = 40;

/** The default of `maxConfirmationAgeMs`, as a multiple of the time that a call waits. */
const defaultConfirmationAgeFactor = 2;

/** Maximum number of pages that the record of a refresh names. */
const maxRecordedPages = 20;

/** What a refresh has read, for diagnosis. */
export type RefreshRecord = {
	/** Age of the replica's confirmation before the refresh, and its revision. */
	readonly confirmedAgoMs: number | undefined;
	readonly fromRevision: number | undefined;
	/** Revision that the replica has reached, and the newest one that the table service named meanwhile. */
	readonly revision: number;
	readonly newestRevision: number;
	/** The answers that were read, as `changes@revision`. */
	readonly pages: readonly string[];
};

/** What a read has brought: all changes that there were, some of them, or a listing, which leaves out what changes meanwhile. */
type ReadOutcome = 'whole' | 'cut' | 'listed';

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
	/** The replica lacks rows that the newest listing left out, in any state, until it has reached this revision. */
	#wholeFromRevision = 0;
	#confirmedAtMs: number | undefined;
	#lastPageSize = 0;
	/** The newest answer held all changes that there were. */
	#isWhole = false;
	#isStopped = false;
	#isReachable = true;
	#currentRefresh: Promise<RefreshRecord> | undefined;
	#nextRefresh: Promise<RefreshRecord> | undefined;
	#currentListing: Promise<void> | undefined;
	#endCurrentPause: (() => void) | undefined;

	constructor(options: TableReplicaOptions) {
		this.#options = options;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	/** The replica contains everything that was acknowledged before this time. `undefined` before the first listing. */
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
	async refresh(): Promise<RefreshRecord> {
		if (this.#currentRefresh === undefined) {
			this.#currentRefresh = this.#readUntilConfirmed().finally(() => {
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
			void this.#tryRead(async () => this.#readUntilConfirmed());
		}
	}

	async #refreshAfter(current: Promise<RefreshRecord>): Promise<RefreshRecord> {
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

			const isRead = await this.#tryRead(async () => this.#readNext());
			await this.#pause(isRead ? this.#options.pauseMs() : retryPauseMs);
		}
	}

	/** Reads the next changes. After a failure, or if it has not been confirmed for too long, the replica is confirmed before it waits for changes again. */
	async #readNext(): Promise<unknown> {
		const {waitMs, maxConfirmationAgeMs = defaultConfirmationAgeFactor * waitMs} = this.#options;
		const isConfirmed = this.#isWhole || (this.#confirmedAtMs !== undefined && this.#clock.nowMs() - this.#confirmedAtMs < maxConfirmationAgeMs);
		return this.#isReachable && isConfirmed ? this.#readPage(waitMs) : this.#readUntilConfirmed();
	}

	async #tryRead(read: () => Promise<unknown>): Promise<boolean> {
		try {
			await read();
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

	/** Reads until the replica contains everything that was acknowledged before this call. */
	async #readUntilConfirmed(): Promise<RefreshRecord> {
		const sentAtMs = this.#clock.nowMs();
		const pages: string[] = [];
		const fromRevision = this.#revision;
		const confirmedAgoMs = this.#confirmedAtMs === undefined ? undefined : Math.round(sentAtMs - this.#confirmedAtMs);
		let newestRevision = Number.POSITIVE_INFINITY;
		let outcome: ReadOutcome = 'listed';
		if (fromRevision === undefined) {
			await this.#listOnce();
		} else {
			[newestRevision, outcome] = await Promise.all([this.#options.table.readRevision(), this.#readPage(0, pages)]);
		}

		for (let emptyAnswers = 0; ;) {
			if (outcome === 'listed') {
				newestRevision = await this.#options.table.readRevision();
			}

			if (this.#revision! >= Math.max(newestRevision, this.#wholeFromRevision)) {
				break;
			}

			// An answer without changes that ends before the newest revision says only that the table service has not told of them yet.
			emptyAnswers += outcome === 'whole' ? 1 : 0;
			if (emptyAnswers > maxEmptyAnswers) {
				this.#log.warn({
					event: 'changes_not_told', prefix: this.#options.prefix, revision: this.#revision, newestRevision,
				});
				break;
			}

			outcome = await this.#readPage(emptyAnswers > 1 ? behindWaitMs : 0, pages);
		}

		this.#isWhole = true;
		this.#confirm(this.#revision!, sentAtMs);
		return {
			confirmedAgoMs, fromRevision, revision: this.#revision!, newestRevision, pages,
		};
	}

	/** Reads the next changes, or lists all rows if the changes are no longer kept. */
	async #readPage(waitMs: number, record: string[] = []): Promise<ReadOutcome> {
		const sentAtMs = this.#clock.nowMs();
		const afterRevision = this.#revision!;
		try {
			const page = await this.#options.table.waitForChanges(this.#options.prefix, afterRevision, waitMs);
			this.#options.tableClock?.record({tableClockMs: page.tableClockMs, sentAtMs});
			if (page.hasMore && page.revision <= afterRevision) {
				throw new UnavailableError(`the changes after revision ${afterRevision} end at revision ${page.revision}`);
			}

			this.#apply(page, sentAtMs);
			if (record.length < maxRecordedPages) {
				record.push(`${page.changes.length}@${page.revision}`);
			}

			return page.hasMore ? 'cut' : 'whole';
		} catch (error) {
			if (!(error instanceof HistoryLostError)) {
				throw error;
			}

			this.#log.info({event: 'replica_relisted', prefix: this.#options.prefix, revision: this.#revision});
			await this.#listOnce();
			return 'listed';
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
	Rows are listed one part after the other. Those that changed since the listing's revision are left to the changes that are read after it: the rows of one job stand in several parts, of which only the later ones would have been read after the change. So a listing alone does not confirm the replica.
	*/
	async #listAll(): Promise<void> {
		this.#removedVersions.clear();
		const sentAtMs = this.#clock.nowMs();
		const {rows, revision, tableClockMs} = await this.#options.table.listRows(this.#options.prefix);
		this.#options.tableClock?.record({tableClockMs, sentAtMs});
		const listed = new Set(rows.map(row => row.key));
		const gone = [...this.#versions]
			.filter(([key, version]) => !listed.has(key) && version <= revision)
			.map(([key]): RowChange => ({key, value: undefined, version: revision}));
		const changed = rows.filter(({key, version}) => version <= revision
			&& version > Math.max(this.#versions.get(key) ?? 0, this.#removedVersions.get(key) ?? 0));
		// The state of such a row at the listing's revision is not among the changes since then, only the later one is.
		const later = rows.map(({version}) => version).filter(version => version > revision);
		this.#log.info({
			event: 'replica_listed', prefix: this.#options.prefix, rows: rows.length, changed: changed.length, gone: gone.length, leftToChanges: later.length, revision, durationMs: Math.round(this.#clock.nowMs() - sentAtMs),
		});
		this.#deliver([...gone, ...changed]);
		this.#isWhole = false;
		this.#revision = Math.max(this.#revision ?? 0, revision);
		this.#wholeFromRevision = Math.max(0, ...later);
	}

	/** Responses of two calls may arrive in either order, so changes that were already applied are skipped. */
	#apply({changes, revision, hasMore}: ChangePage, sentAtMs: number): void {
		this.#lastPageSize = changes.length;
		this.#isWhole = !hasMore;
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

