/**
Client of the table service over HTTP/JSON. It neither retries calls nor resolves lost answers; `RetryingTableService` does both.
*/
import {
	type ChangePage, type CommitResult, type PageOptions, type Row, type RowPage, type TableService, type Transaction,
} from '../table-service.js';
import {type PlatformConnection} from './connection.js';
import {
	changePageSchema, commitResultSchema, rowPageSchema, rowsSchema,
} from './schemas.js';

const pageQuery = (options: PageOptions): Record<string, string> => ({
	...(options.afterKey === undefined ? {} : {afterKey: options.afterKey}),
	...(options.limit === undefined ? {} : {limit: String(options.limit)}),
});

/** `TableService` over HTTP. */
export class HttpTableService implements TableService {
	readonly #connection: PlatformConnection;

	constructor(connection: PlatformConnection) {
		this.#connection = connection;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		return this.#connection.call({
			method: 'POST', path: '/table/commit', body: transaction, isWrite: true,
		}, commitResultSchema);
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		const answer = await this.#connection.call({
			method: 'POST', path: '/table/rows', body: {keys}, isWrite: false,
		}, rowsSchema);
		return answer.rows;
	}

	async readPrefix(prefix: string, options: PageOptions = {}): Promise<RowPage> {
		return this.#connection.call({
			method: 'GET', path: '/table/prefix', query: {prefix, ...pageQuery(options)}, isWrite: false,
		}, rowPageSchema);
	}

	async changesSince(prefix: string, revision: number, limit?: number): Promise<ChangePage> {
		const query = {prefix, since: String(revision), ...pageQuery({limit})};
		return this.#connection.call({
			method: 'GET', path: '/table/changes', query, isWrite: false,
		}, changePageSchema);
	}
}
