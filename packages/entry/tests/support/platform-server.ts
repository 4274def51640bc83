/**
A stand-in of the users' platform for the processes of entry hosts: the store, the machines and one worker over HTTP. The store has one address for each process, which can be made to answer nothing.
*/
import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {listenOn} from '@poplarnotch/common';

type StoredRow = {
	readonly table: string;
	readonly part: string;
	readonly key: string;
	readonly value: string;
	readonly ver: number;
	readonly removed?: boolean;
};

type RowName = Pick<StoredRow, 'table' | 'part' | 'key'>;

export type Answer = {readonly status: number; readonly body?: unknown};

const nameOf = ({table, part, key}: RowName): string => [table, part, key].join('\n');

const feedPollMs = 10;

/** Rows as the platform's store keeps them. */
export class StoredRows {
	readonly #rows = new Map<string, StoredRow>();
	#ver = 1;

	put(table: string, key: string, text: string, part = ''): void {
		this.#ver++;
		const row = {table, part, key};
		this.#rows.set(nameOf(row), {...row, value: Buffer.from(text).toString('base64'), ver: this.#ver});
	}

	transact({expect_rev: conditions = [], upserts = [], remove = []}: {
		readonly expect_rev?: ReadonlyArray<RowName & {readonly ver: number}>;
		readonly upserts?: ReadonlyArray<RowName & {readonly value: string}>;
		readonly remove?: readonly RowName[];
	}): Answer {
		const current = conditions.map(condition => this.#live(condition) ?? {...condition, value: '', ver: 0});
		if (conditions.some(({ver}, index) => current[index]!.ver !== ver)) {
			return {status: 412, body: {rows: current}};
		}

		this.#ver++;
		for (const row of upserts) {
			this.#rows.set(nameOf(row), {...row, ver: this.#ver});
		}

		for (const row of remove) {
			this.#rows.set(nameOf(row), {
				...row, value: '', ver: this.#ver, removed: true,
			});
		}

		return {status: 200, body: {ver: this.#ver}};
	}

	get(query: URLSearchParams): Answer {
		const from = query.get('from') ?? '';
		const rows = this.#matching(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && row.removed !== true);
		return {status: 200, body: {rows: rows.toSorted((a, b) => a.key < b.key ? -1 : 1).slice(0, Number(query.get('limit') ?? 500)), ver: this.#ver}};
	}

	parts(query: URLSearchParams): Answer {
		return {status: 200, body: {parts: [...new Set(this.#matching(({table}) => table === query.get('table')).map(({part}) => part))].filter(part => part > (query.get('after') ?? ''))}};
	}

	/** Answers as soon as there are changes, or when the wait is over. */
	async feed(query: URLSearchParams): Promise<Answer> {
		const untilMs = Date.now() + Number(query.get('wait_ms') ?? 0);
		for (;;) {
			const rows = this.#matching(row => row.table === query.get('table') && row.ver > Number(query.get('after')));
			if (rows.length > 0 || Date.now() >= untilMs) {
				return {status: 200, body: {rows: rows.toSorted((a, b) => a.ver - b.ver), ver: this.#ver}};
			}

			await new Promise(resolve => {
				setTimeout(resolve, feedPollMs);
			});
		}
	}

	/** Answers a call of the store; `undefined` if the path is none of the store's. */
	async answer(path: string, query: URLSearchParams, text: string): Promise<Answer | undefined> {
		switch (path) {
			case '/rows-tx': {
				return this.transact(JSON.parse(text) as Parameters<StoredRows['transact']>[0]);
			}

			case '/rows-get': {
				return this.get(query);
			}

			case '/rows-parts': {
				return this.parts(query);
			}

			case '/rows-feed': {
				return this.feed(query);
			}

			default: {
				return undefined;
			}
		}
	}

	#live(name: RowName): StoredRow | undefined {
		const row = this.#rows.get(nameOf(name));
		return row?.removed === true ? undefined : row;
	}

	#matching(isWanted: (row: StoredRow) => boolean): readonly StoredRow[] {
		return [...this.#rows.values()].filter(row => isWanted(row));
	}
}

type Run = {readonly task: string; readonly attempt: number; readonly endsAtMs: number};

const runMs = 50;

/** A worker whose tasks all end as done. */
class TestWorker {
	readonly bornWallMs = Date.now() - 1000;
	readonly #running: Run[] = [];
	readonly #finished: unknown[][] = [];

	answer(path: string, body: {readonly task?: string; readonly attempt?: number; readonly ack_cursor?: number}): Answer {
		if (path === '/run-start') {
			this.#running.push({task: body.task!, attempt: body.attempt!, endsAtMs: Date.now() + runMs});
		}

		for (const run of this.#running.filter(({endsAtMs}) => endsAtMs <= Date.now())) {
			this.#running.splice(this.#running.indexOf(run), 1);
			this.#finished.push([this.#finished.length + 1, run.task, run.attempt, 'done', '']);
		}

		return {
			status: 200, body: {
				clock_ms: Date.now(), born: this.bornWallMs,
				running: this.#running.map(({task, attempt}) => [task, attempt, '', 50]),
				finished: this.#finished.filter(([sequence]) => Number(sequence) > (body.ack_cursor ?? 0)),
			},
		};
	}
}

export class PlatformServer {
	readonly rows = new StoredRows();
	readonly machines: unknown[] = [];
	/** Ports of the store that answer nothing. */
	readonly silentPorts = new Set<number>();
	/** Paths on which calls are answered nowhere. */
	readonly silentPaths = new Set<string>();
	readonly #worker = new TestWorker();
	readonly #servers: Server[] = [];

	get workerBornWallMs(): number {
		return this.#worker.bornWallMs;
	}

	/** Opens one more address and returns its port. */
	async listen(): Promise<number> {
		const server = createServer((request, response) => {
			let text = '';
			request.on('data', chunk => {
				text += String(chunk);
			});
			request.on('end', () => {
				void this.#respond(port, new URL(request.url ?? '/', 'http://platform'), text, response);
			});
		});
		this.#servers.push(server);
		const port = await listenOn(server, '127.0.0.1', 0);
		return port;
	}

	close(): void {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	async #respond(port: number, {pathname, searchParams}: URL, text: string, response: ServerResponse): Promise<void> {
		const answer = this.silentPorts.has(port) || this.silentPaths.has(pathname) ? undefined : await this.#answer(pathname, searchParams, text);
		if (answer !== undefined && !this.silentPorts.has(port)) {
			response.writeHead(answer.status, {'content-type': 'application/json'});
			response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
		}
	}

	async #answer(path: string, query: URLSearchParams, text: string): Promise<Answer> {
		const stored = await this.rows.answer(path, query, text);
		if (stored !== undefined) {
			return stored;
		}

		switch (path) {
			case '/machines': {
				return {status: 200, body: {machines: this.machines}};
			}

			default: {
				return this.#worker.answer(path, JSON.parse(text) as Parameters<TestWorker['answer']>[1]);
			}
		}
	}
}
