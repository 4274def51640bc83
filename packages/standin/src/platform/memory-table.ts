/**
Implements the table service in memory. Calls take effect immediately and fail only on conditions that do not hold.

Deleted rows leave a tombstone, so that the changes include the deletion.
*/
import {type JsonValue} from '@poplarnotch/common';
import {
	absentVersion, type ChangePage, type CommitResult, ConflictError, type PageOptions, type Row, type RowChange, type RowConflict, type RowPage, type RowWrite, type TableService, type Transaction,
} from '@poplarnotch/platform';

const defaultPageLimit = 1000;

type StoredRow = {
	/** `undefined` if the row was deleted. */
	readonly value: JsonValue | undefined;
	readonly version: number;
};

type LogEntry = {
	readonly key: string;
	readonly revision: number;
};

/** Binary search for the index of the first element for which `isBefore` is false. */
const lowerBound = <Item>(items: readonly Item[], isBefore: (item: Item) => boolean): number => {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (isBefore(items[middle]!)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

/** In-memory `TableService` with rows, revisions and a change log. */
export class MemoryTableService implements TableService {
	#revision = 0;
	readonly #rows = new Map<string, StoredRow>();
	/** Sorted keys of the rows that exist. */
	readonly #keys: string[] = [];
	/** Writes of all rows in order of revision; an entry is stale once its row has been written again. */
	#log: LogEntry[] = [];

	/** Revision of the last commit. */
	get revision(): number {
		return this.#revision;
	}

	/** Applies the transaction synchronously. Throws `ConflictError` if a condition does not hold. */
	commitNow(transaction: Transaction): CommitResult {
		const conflicts = this.#conflictsOf(transaction);
		if (conflicts.length > 0) {
			throw new ConflictError(conflicts);
		}

		this.#revision++;
		for (const write of transaction.writes) {
			this.#apply(write);
		}

		this.#compactLog();
		return {revision: this.#revision};
	}

	/** Returns the row's current value, or `undefined` if the row does not exist. */
	valueOf(key: string): JsonValue | undefined {
		return this.#rows.get(key)?.value;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		return this.commitNow(transaction);
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		return keys.flatMap(key => this.#rowAt(key));
	}

	async readPrefix(prefix: string, options: PageOptions = {}): Promise<RowPage> {
		const {afterKey, limit = defaultPageLimit} = options;
		const start = lowerBound(this.#keys, key => key < prefix || (afterKey !== undefined && key <= afterKey));
		const rows: Row[] = [];
		let index = start;
		for (; index < this.#keys.length && rows.length < limit && this.#keys[index]!.startsWith(prefix); index++) {
			rows.push(...this.#rowAt(this.#keys[index]!));
		}

		const hasMore = this.#keys[index]?.startsWith(prefix) ?? false;
		return {rows, revision: this.#revision, hasMore};
	}

	async changesSince(prefix: string, revision: number, limit = defaultPageLimit): Promise<ChangePage> {
		const changes: RowChange[] = [];
		const start = lowerBound(this.#log, entry => entry.revision <= revision);
		for (let index = start; index < this.#log.length; index++) {
			const entry = this.#log[index]!;
			const last = changes.at(-1);
			// A page ends only between two transactions, so that it contains every change up to its revision.
			if (last !== undefined && changes.length >= limit && last.version !== entry.revision) {
				return {changes, revision: last.version, hasMore: true};
			}

			if (entry.key.startsWith(prefix) && this.#isCurrent(entry)) {
				const {value, version} = this.#rows.get(entry.key)!;
				changes.push({key: entry.key, value, version});
			}
		}

		return {changes, revision: this.#revision, hasMore: false};
	}

	#conflictsOf(transaction: Transaction): readonly RowConflict[] {
		return transaction.conditions
			.map(({key, version}) => ({key, expectedVersion: version, actualVersion: this.#versionOf(key)}))
			.filter(({expectedVersion, actualVersion}) => expectedVersion !== actualVersion);
	}

	#versionOf(key: string): number {
		const row = this.#rows.get(key);
		return row?.value === undefined ? absentVersion : row.version;
	}

	#rowAt(key: string): readonly Row[] {
		const row = this.#rows.get(key);
		return row?.value === undefined ? [] : [{key, value: row.value, version: row.version}];
	}

	#apply(write: RowWrite): void {
		const value = write.type === 'put' ? write.value : undefined;
		const existed = this.#rows.get(write.key)?.value !== undefined;
		if (!existed && value === undefined) {
			return;
		}

		if (existed !== (value !== undefined)) {
			const index = lowerBound(this.#keys, key => key < write.key);
			this.#keys.splice(index, existed ? 1 : 0, ...(existed ? [] : [write.key]));
		}

		this.#rows.set(write.key, {value, version: this.#revision});
		this.#log.push({key: write.key, revision: this.#revision});
	}

	#isCurrent(entry: LogEntry): boolean {
		return this.#rows.get(entry.key)?.version === entry.revision;
	}

	#compactLog(): void {
		if (this.#log.length > 1000 + (2 * this.#rows.size)) {
			this.#log = this.#log.filter(entry => this.#isCurrent(entry));
		}
	}
}
