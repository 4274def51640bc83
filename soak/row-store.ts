/**
The rows of the stand-in of the users' store, their versions, and the history of their changes.
*/
import {Buffer} from 'node:buffer';
import {WakeUp} from './wake-up.js';

export type RowName = {
	readonly table: string;
	readonly part?: string | undefined;
	readonly key: string;
};

export type Row = {
	readonly table: string;
	readonly part: string;
	readonly key: string;
	/** In base64. */
	readonly value: string;
	readonly ver: number;
	readonly removed?: true;
};

const nameOf = ({table, part = '', key}: RowName): string => [table, part, key].join('\n');

const compareKeys = (a: Row, b: Row): number => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

export class RowStore {
	readonly changed = new WakeUp();
	/** The newest version of each row, of removed ones too. */
	readonly #rows = new Map<string, Row>();
	/** The rows that exist, by table and part. */
	readonly #parts = new Map<string, Map<string, Map<string, Row>>>();
	readonly #history = new Map<string, Row[]>();
	#ver = 1;
	#discardedVer = 0;

	get ver(): number {
		return this.#ver;
	}

	live(name: RowName): Row | undefined {
		const row = this.#rows.get(nameOf(name));
		return row === undefined || row.removed ? undefined : row;
	}

	/** The value of a row of the operator or of a worker, or one that a daemon has written for the operator. */
	read(table: string, key: string): unknown {
		const row = this.live({table, key});
		return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString());
	}

	/** Writes a row of the operator or of a worker. */
	put(table: string, key: string, value: unknown): void {
		this.apply([{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
	}

	apply(upserts: ReadonlyArray<RowName & {readonly value: string}>, removals: readonly RowName[]): void {
		this.#ver++;
		for (const {table, part = '', key, value} of upserts) {
			this.#change({
				table, part, key, value, ver: this.#ver,
			});
		}

		for (const {table, part = '', key} of removals.filter(name => this.live(name) !== undefined)) {
			this.#change({
				table, part, key, value: '', ver: this.#ver, removed: true,
			});
		}

		this.changed.notify();
	}

	/** The rows of one part, in the order of their keys. */
	range(table: string, part: string, from: string, end: string | undefined): readonly Row[] {
		return [...this.#parts.get(table)?.get(part)?.values() ?? []]
			.filter(({key}) => key >= from && (end === undefined || key < end))
			.toSorted(compareKeys);
	}

	parts(table: string): readonly string[] {
		return [...this.#parts.get(table) ?? []].filter(([, rows]) => rows.size > 0).map(([part]) => part).toSorted();
	}

	/** The rows of a table that changed after the version, in order; `undefined` if the history no longer reaches back so far. */
	changesAfter(table: string, ver: number): readonly Row[] | undefined {
		if (ver < this.#discardedVer) {
			return undefined;
		}

		const history = this.#history.get(table) ?? [];
		const first = history.findLastIndex(row => row.ver <= ver) + 1;
		return history.slice(first).filter(row => this.#rows.get(nameOf(row)) === row);
	}

	/** Forgets the history up to the version. */
	discardHistory(ver: number): void {
		this.#discardedVer = Math.max(this.#discardedVer, ver);
		for (const [table, history] of this.#history) {
			this.#history.set(table, history.filter(row => row.ver > ver));
		}
	}

	#change(row: Row): void {
		const {table, part, key} = row;
		this.#rows.set(nameOf(row), row);
		const parts = this.#parts.get(table) ?? new Map<string, Map<string, Row>>();
		this.#parts.set(table, parts);
		const rows = parts.get(part) ?? new Map<string, Row>();
		parts.set(part, rows);
		if (row.removed) {
			rows.delete(key);
		} else {
			rows.set(key, row);
		}

		const history = this.#history.get(table) ?? [];
		this.#history.set(table, history);
		history.push(row);
	}
}
