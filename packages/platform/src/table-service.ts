/**
The platform's table service: rows under string keys, changed by conditional transactions over several rows. Each committed transaction has a revision; a row's version is the revision of the transaction that wrote it last.
*/
import {type JsonValue} from '@poplarnotch/common';

/** A row as stored. */
export type Row = {
	readonly key: string;
	readonly value: JsonValue;
	/** Revision of the last write; always positive. */
	readonly version: number;
};

/** Version that stands for "the row is absent" in conditions. */
export const absentVersion = 0;

/** What must hold for a transaction to be applied. */
export type RowCondition = {
	readonly key: string;
	readonly version: number;
};

/** A write to one row. */
export type RowWrite
	= | {readonly type: 'put'; readonly key: string; readonly value: JsonValue}
		| {readonly type: 'delete'; readonly key: string};

/** A transaction is applied atomically: all writes or none. */
export type Transaction = {
	readonly conditions: readonly RowCondition[];
	readonly writes: readonly RowWrite[];
};

/** Result of a committed transaction. */
export type CommitResult = {
	readonly revision: number;
};

/** One page of the rows under a prefix, ordered by key. */
export type RowPage = {
	readonly rows: readonly Row[];
	/** Revision at which the page was read. */
	readonly revision: number;
	/** True if more rows follow the last one. */
	readonly hasMore: boolean;
};

/** The latest state of a row that changed since a revision. */
export type RowChange = {
	readonly key: string;
	/** `undefined` if the row was deleted. */
	readonly value: JsonValue | undefined;
	readonly version: number;
};

/** Changes ordered by version; each changed row appears once, with its latest state. */
export type ChangePage = {
	readonly changes: readonly RowChange[];
	/** The page holds every change from the requested revision up to this one, from which to request the next changes. */
	readonly revision: number;
	/** False only if the table service has said that there was no further change when it answered. */
	readonly hasMore: boolean;
	/** The table service's steady clock when it answered, in ms; left out by services that do not tell. */
	readonly tableClockMs?: number | undefined;
};

/** Where a page starts and how many rows it holds at most. */
export type PageOptions = {
	/** The page contains only keys after this one. */
	readonly afterKey?: string;
	readonly limit?: number;
};

/**
Access to the table service. Reads fail with `UnavailableError`; `commit` fails with `ConflictError`, `UnavailableError` or `WriteOutcomeUnknownError`, or with `RejectedError` if the platform does not take the transaction for its size or form.
*/
export interface TableService {
	commit(transaction: Transaction): Promise<CommitResult>;
	/** Returns the rows in the order of the keys; absent rows are left out. */
	readRows(keys: readonly string[]): Promise<readonly Row[]>;
	readPrefix(prefix: string, options?: PageOptions): Promise<RowPage>;
	changesSince(prefix: string, revision: number, limit?: number): Promise<ChangePage>;
}
