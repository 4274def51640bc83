/**
The nonce rows of one client: `commit-nonces/{client}@{instance}/{number}`. Each commit in progress owns one nonce row; since only that commit writes the row, the condition on the row's version fences off all earlier attempts that used it.
*/
import {type JsonValue} from '@poplarnotch/common';
import {absentVersion, type RowWrite, type Transaction} from '../table-service.js';

/** Limit on concurrent commits of one client; further commits wait. */
const defaultMaxNonceRows = 32;

/** A nonce row, with the version that it had when the outcome of its last commit was resolved. */
export type NonceRow = {
	readonly key: string;
	readonly version: number;
};

/** Key prefix of the nonce rows of all instances of a client. */
export const nonceRowsPrefix = (client: string): string => `commit-nonces/${client}@`;

/** Adds the nonce row's version condition and the nonce to a transaction. */
export const addNonce = (transaction: Transaction, nonceRow: NonceRow, nonce: string): Transaction => ({
	conditions: [...transaction.conditions, {key: nonceRow.key, version: nonceRow.version}],
	writes: [...transaction.writes, nonceWrite(nonceRow, nonce)],
});

const nonceWrite = (nonceRow: NonceRow, nonce: string): RowWrite => ({type: 'put', key: nonceRow.key, value: {nonce}});

/** Returns the transaction that invalidates earlier attempts on a nonce row: once it is applied, their condition on the row's version can no longer hold. */
export const barrierTransaction = (nonceRow: NonceRow, nonce: string): Transaction => ({
	conditions: [{key: nonceRow.key, version: nonceRow.version}],
	writes: [nonceWrite(nonceRow, nonce)],
});

/** Returns the nonce stored in the value of a nonce row. */
export const nonceOf = (value: JsonValue | undefined): string | undefined => {
	const nonce = typeof value === 'object' && value !== null && 'nonce' in value ? value.nonce : undefined;
	return typeof nonce === 'string' ? nonce : undefined;
};

/** Allocates nonce rows to commits, the most recently used row first, so that few rows are in use. */
export class NonceRowPool {
	readonly #prefix: string;
	readonly #maxRows: number;
	readonly #free: NonceRow[] = [];
	readonly #waiting: Array<(nonceRow: NonceRow) => void> = [];
	#created = 0;
	#inUse = 0;

	constructor(client: string, instance: string, maxRows = defaultMaxNonceRows) {
		this.#prefix = `${nonceRowsPrefix(client)}${instance}/`;
		this.#maxRows = maxRows;
	}

	/** Returns true for the nonce rows of this instance. */
	owns(key: string): boolean {
		return key.startsWith(this.#prefix);
	}

	async acquire(): Promise<NonceRow> {
		if (this.#inUse >= this.#maxRows) {
			return new Promise(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#inUse++;
		return this.#takeFreeOrNew();
	}

	/** Returns a nonce row to the pool once the outcome of its last commit is known. */
	release(nonceRow: NonceRow): void {
		this.#free.push(nonceRow);
		this.#releaseOne();
	}

	/** Frees the place of a nonce row that cannot be reused because its present or future content is unknown. */
	discard(): void {
		this.#releaseOne();
	}

	#takeFreeOrNew(): NonceRow {
		return this.#free.pop() ?? {key: `${this.#prefix}${this.#created++}`, version: absentVersion};
	}

	#releaseOne(): void {
		const resolve = this.#waiting.shift();
		if (resolve === undefined) {
			this.#inUse--;
		} else {
			resolve(this.#takeFreeOrNew());
		}
	}
}
