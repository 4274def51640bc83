/* eslint-disable camelcase -- Fields are named by the users' pages. */
/**
Stand-in of the platform's store: rows with versions, transactions, reads and a feed of changes over HTTP. It keeps its whole history.
*/
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenJson} from './http.js';

const answerMs = 4;
const maxRowsPerPage = 500;
const maxPartsPerPage = 1000;
const maxEntriesPerTransaction = 100;
const maxWaitMs = 30_000;
const maxValueLength = 65_536;
const feedCheckMs = 5;
const writableByOthersOnly = new Set(['op', 'servers']);

const nameOf = ({table, part = '', key}) => [table, part, key].join('\n');

export class Store {
	#rows = new Map();
	#ver = 1;
	#servers = [];

	/** Opens one address for one caller. `refusal` returns `'silent'` while its calls get no answer. */
	async listen(ip, refusal = () => undefined) {
		const server = await listenJson(ip, 0, async call => refusal(call) === 'silent' ? 'silence' : this.#answer(call));
		this.#servers.push(server);
		return server.address;
	}

	/** Writes a row of the operator or of a worker. */
	put(table, key, value) {
		this.#apply([{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
	}

	remove(table, key) {
		this.#apply([], [{table, key}]);
	}

	close() {
		for (const server of this.#servers) {
			server.close();
		}
	}

	get #clock() {
		return {ver: this.#ver, now_ms: Math.floor(performance.now())};
	}

	#live(name) {
		const row = this.#rows.get(nameOf(name));
		return row === undefined || row.removed ? undefined : row;
	}

	#apply(upserts, removals) {
		this.#ver++;
		for (const {table, part = '', key, value} of upserts) {
			this.#rows.set(nameOf({table, part, key}), {
				table, part, key, value, ver: this.#ver,
			});
		}

		for (const {table, part = '', key} of removals.filter(name => this.#live(name) !== undefined)) {
			this.#rows.set(nameOf({table, part, key}), {
				table, part, key, value: '', ver: this.#ver, removed: true,
			});
		}
	}

	async #answer({method, path, query, body}) {
		const answer = await this.#perform(`${method} ${path}`, query, body);
		await sleep(answerMs);
		return answer;
	}

	async #perform(call, query, body) {
		switch (call) {
			case 'POST /rows-tx': {
				return this.#transact(body);
			}

			case 'GET /rows-get': {
				const rows = [...this.#rows.values()]
					.filter(row => !row.removed && row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= (query.get('from') ?? '') && (query.get('target') === null || row.key < query.get('target')))
					.toSorted((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
				const limit = Math.min(Number(query.get('limit') ?? maxRowsPerPage), maxRowsPerPage);
				return {status: 200, body: {rows: rows.slice(0, limit), has_more: rows.length > limit, ...this.#clock}};
			}

			case 'GET /rows-parts': {
				const parts = new Set([...this.#rows.values()].filter(row => !row.removed && row.table === query.get('table')).map(({part}) => part));
				return {status: 200, body: {parts: [...parts].filter(part => part > (query.get('after') ?? '')).toSorted().slice(0, maxPartsPerPage), ...this.#clock}};
			}

			case 'GET /rows-feed': {
				return this.#feed(query);
			}

			default: {
				return {status: 404};
			}
		}
	}

	#transact({expect_rev: conditions = [], upserts = [], remove = [], across = false}) {
		const entries = [...conditions, ...upserts, ...remove];
		const hasOnePart = new Set(entries.map(({part = ''}) => part)).size <= 1;
		if (entries.length > maxEntriesPerTransaction || !(across || hasOnePart) || upserts.some(({value}) => value.length > maxValueLength)) {
			return {status: 400};
		}

		if ([...upserts, ...remove].some(({table}) => writableByOthersOnly.has(table))) {
			return {status: 403};
		}

		if (conditions.some(condition => (this.#live(condition)?.ver ?? 0) !== condition.ver)) {
			return {status: 412, body: {rows: conditions.flatMap(condition => this.#live(condition) ?? []), ...this.#clock}};
		}

		this.#apply(upserts, remove);
		return {status: 200, body: this.#clock};
	}

	async #feed(query) {
		const untilMs = performance.now() + Math.min(maxWaitMs, Number(query.get('wait_ms') ?? 0));
		for (;;) {
			const rows = [...this.#rows.values()].filter(row => row.table === query.get('table') && row.ver > Number(query.get('after')));
			if (rows.length > 0 || performance.now() >= untilMs) {
				return {status: 200, body: {rows: rows.toSorted((a, b) => a.ver - b.ver), ...this.#clock}};
			}

			await sleep(feedCheckMs);
		}
	}
}
