/**
Writes snapshots of the tree to the object store and trims the log behind them. Snapshots are taken at fixed revisions, so two controllers that write one at the same time write the same text. The log always reaches back to the oldest snapshot that the head lists, so that a missing snapshot costs reads but no data.
*/
import {
	type Logger, PoplarnotchError, silentLogger,
} from '@poplarnotch/common';
import {
	ConflictError, type ObjectStore, type TableService, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {keptLogChanges, logPageRows, snapshotEveryChanges} from './constants.js';
import {
	changeIdKey, headKey, logKey, type SettingsHead, snapshotKey, treeToJson,
} from './rows.js';
import {type HeadRow, SettingsTreeReader} from './tree-reader.js';

/** Options for writing snapshots and trimming the log. */
export type SnapshotOptions = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly logger?: Logger;
	readonly snapshotEveryChanges?: number;
	readonly keptLogChanges?: number;
};

const maxHeadAttempts = 5;

/** Writes a snapshot when enough changes have been accepted since the last one. */
export class SnapshotWriter {
	readonly #table: TableService;
	readonly #objects: ObjectStore;
	readonly #reader: SettingsTreeReader;
	readonly #logger: Logger;
	readonly #everyChanges: number;
	readonly #keptChanges: number;

	constructor(options: SnapshotOptions) {
		this.#table = options.table;
		this.#objects = options.objects;
		this.#reader = new SettingsTreeReader(options.table, options.objects);
		this.#logger = options.logger ?? silentLogger;
		this.#everyChanges = options.snapshotEveryChanges ?? snapshotEveryChanges;
		this.#keptChanges = options.keptLogChanges ?? keptLogChanges;
	}

	/** Writes the snapshot that is due, if any. Failures are logged, and the next accepted change triggers another attempt. */
	async writeWhenDue(): Promise<void> {
		try {
			const {head} = await this.#reader.readHead();
			const dueRevision = head.revision - (head.revision % this.#everyChanges);
			if (dueRevision > head.snapshotRevision) {
				await this.#write(dueRevision);
			}
		} catch (error) {
			// An accepted change must not be reported as failed because a snapshot could not be read or written.
			if (!(error instanceof PoplarnotchError)) {
				throw error;
			}

			this.#logger.warn({event: 'settings_snapshot_failed', code: error.code, reason: error.message});
		}
	}

	async #write(revision: number): Promise<void> {
		const text = JSON.stringify(treeToJson(await this.#reader.readTreeAt(revision)));
		if (!await this.#putSnapshot(revision, text)) {
			return;
		}

		const head = await this.#recordInHead(revision);
		if (head !== undefined) {
			this.#logger.info({event: 'settings_snapshot_written', revision, sizeBytes: text.length});
			await this.#trimLog(head);
		}
	}

	/** Stores the snapshot; returns false if the object store does not hold it afterwards. */
	async #putSnapshot(revision: number, text: string): Promise<boolean> {
		const key = snapshotKey(revision);
		try {
			await this.#objects.put(key, text, 'absent');
			return true;
		} catch (error) {
			if (!(error instanceof ConflictError || error instanceof WriteOutcomeUnknownError)) {
				throw error;
			}
		}

		const stored = await this.#objects.get(key);
		if (stored !== undefined && stored.text !== text) {
			this.#logger.warn({event: 'settings_snapshot_replaced', revision});
			await this.#objects.put(key, text, {etag: stored.etag});
			return true;
		}

		return stored !== undefined;
	}

	/** Records the snapshot in the head; returns `undefined` if another controller has recorded it or a later one, or if every attempt conflicted. */
	async #recordInHead(revision: number): Promise<SettingsHead | undefined> {
		for (let attempt = 0; attempt < maxHeadAttempts; attempt++) {
			const row = await this.#reader.readHead();
			if (row.head.snapshotRevision >= revision) {
				return undefined;
			}

			const next = this.#withSnapshot(row, revision);
			try {
				await this.#table.commit({
					conditions: [{key: headKey, version: row.version}],
					writes: [{type: 'put', key: headKey, value: next}],
				});
				return next;
			} catch (error) {
				if (!(error instanceof ConflictError)) {
					throw error;
				}
			}
		}

		return undefined;
	}

	/** The head with the new snapshot. The log must reach back to the snapshot before the new one, in case the new one goes missing. */
	#withSnapshot({head}: HeadRow, revision: number): SettingsHead {
		const trimmedRevision = Math.min(Math.max(head.trimmedRevision, revision - this.#keptChanges), head.snapshotRevision);
		return {
			revision: head.revision,
			snapshotRevision: revision,
			earlierSnapshotRevisions: [head.snapshotRevision, ...head.earlierSnapshotRevisions]
				.filter(earlier => earlier >= trimmedRevision && earlier > 0),
			trimmedRevision,
		};
	}

	/** Deletes log rows that the head declares trimmed, with their change ids. Rows left behind by a controller that stopped in between are deleted with the next snapshot. */
	async #trimLog(head: SettingsHead): Promise<void> {
		for (;;) {
			const page = await this.#reader.readOldestLogPage(logPageRows);
			const trimmed = page.filter(change => change.revision <= head.trimmedRevision);
			if (trimmed.length === 0) {
				return;
			}

			await this.#table.commit({
				conditions: [],
				writes: trimmed.flatMap(change => [
					{type: 'delete' as const, key: logKey(change.revision)},
					{type: 'delete' as const, key: changeIdKey(change.changeId)},
				]),
			});
		}
	}
}
