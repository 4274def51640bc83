/**
Groups reads of single rows, so that claims that are resolved at the same time read their rows in one call.
*/
import {type Clock} from '@poplarnotch/common';
import {type Row, type TableService} from '@poplarnotch/platform';
import {withTimeout} from './with-timeout.js';

type PendingRead = {
	readonly key: string;
	readonly resolve: (row: Row | undefined) => void;
	readonly reject: (error: unknown) => void;
};

/** Reads all rows requested in the same microtask turn in one call. */
export class RowReader {
	#pending: PendingRead[] = [];
	readonly #table: TableService;
	readonly #clock: Clock;
	readonly #callTimeoutMs: number;

	constructor(table: TableService, clock: Clock, callTimeoutMs: number) {
		this.#table = table;
		this.#clock = clock;
		this.#callTimeoutMs = callTimeoutMs;
	}

	/** Returns the row, or `undefined` if it is absent. Rejects if the table service cannot be read. */
	async read(key: string): Promise<Row | undefined> {
		return new Promise((resolve, reject) => {
			this.#pending.push({key, resolve, reject});
			if (this.#pending.length === 1) {
				queueMicrotask(() => {
					void this.#readPending();
				});
			}
		});
	}

	async #readPending(): Promise<void> {
		const group = this.#pending;
		this.#pending = [];
		try {
			const keys = [...new Set(group.map(entry => entry.key))];
			const rows = await withTimeout(this.#clock, this.#callTimeoutMs, this.#table.readRows(keys));
			const rowsByKey = new Map(rows.map(row => [row.key, row]));
			for (const entry of group) {
				entry.resolve(rowsByKey.get(entry.key));
			}
		} catch (error) {
			for (const entry of group) {
				entry.reject(error);
			}
		}
	}
}
