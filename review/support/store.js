/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
Stand-in of the platform's metadata store: tables of rows with transactions, reads, and a feed of changes. Each daemon reaches it at an address of its own, so that a case can cut off single daemons.
*/
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {serve, silence} from './http.js';

const maxRowsPerPage = 500;
const maxEntriesPerTransaction = 100;
const answerMs = 4;
const operatorTables = new Set(['op', 'servers']);

const nameOf = ({table, part = '', key}) => [table, part, key].join('\n');

const compareKeys = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

export class Store {
	/** Returns the time in ms after which a transaction is carried out without an answer, or `undefined` if it is answered. */
	lateMsOf = () => undefined;
	/** Names of the daemons that get no answer. */
	cutOff = new Set();
	#rows = new Map();
	#ver = 1;
	#rowBytes;
	#servers = [];
	#waiting = new Set();

	constructor({rowBytes = 65_536} = {}) {
		this.#rowBytes = rowBytes;
	}

	/** Opens an address for one daemon. */
	async listen(ip, daemon) {
		const server = await serve(ip, 0, async call => this.cutOff.has(daemon) ? silence : this.#answerLater(call, daemon));
		this.#servers.push(server);
		return server.address;
	}

	close() {
		for (const server of this.#servers) {
			server.close();
		}
	}

	/** Writes a row of the operator or of a worker; the acknowledgement is the return. */
	put(table, key, value) {
		this.#apply([{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
	}

	remove(table, key) {
		this.#apply([], [{table, key}]);
	}

	/** Returns the decoded value of a row, or `undefined`. */
	get(table, key, part = '') {
		const row = this.#live({table, part, key});
		return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString());
	}

	/** Returns the version of a row, 0 if there is none. */
	versionOf(table, key, part = '') {
		return this.#live({table, part, key})?.ver ?? 0;
	}

	async #answerLater(call, daemon) {
		const lateMs = call.path === '/rows-tx' ? this.lateMsOf(call.body) : undefined;
		if (lateMs !== undefined) {
			setTimeout(() => {
				this.#transact(call.body);
			}, lateMs);
			return silence;
		}

		const answer = await this.#answer(call);
		await new Promise(resolve => {
			setTimeout(resolve, answerMs);
		});
		return this.cutOff.has(daemon) ? silence : answer;
	}

	async #answer({method, path, query, body}) {
		switch (`${method} ${path}`) {
			case 'POST /rows-tx': {
				return this.#transact(body);
			}

			case 'GET /rows-get': {
				return this.#read(query);
			}

			case 'GET /rows-parts': {
				const after = query.get('after') ?? '';
				const parts = new Set([...this.#rows.values()].filter(row => row.table === query.get('table') && !row.removed).map(({part}) => part));
				return {status: 200, body: {parts: [...parts].filter(part => part > after).toSorted().slice(0, 1000), ...this.#clock}};
			}

			case 'GET /rows-feed': {
				return this.#feed(query);
			}

			default: {
				return {status: 404};
			}
		}
	}

	get #clock() {
		return {ver: this.#ver, now_ms: Math.floor(performance.now())};
	}

	#transact({expect_rev: conditions = [], upserts = [], remove = [], across = false}) {
		const entries = [...conditions, ...upserts, ...remove];
		const isOneRow = new Set(entries.map(({part = ''}) => part)).size <= 1;
		const fits = upserts.every(({value}) => value.length <= this.#rowBytes);
		if (entries.length > maxEntriesPerTransaction || !(isOneRow || across) || !fits) {
			return {status: 400};
		}

		if ([...upserts, ...remove].some(({table}) => operatorTables.has(table))) {
			return {status: 403};
		}

		if (conditions.some(condition => (this.#live(condition)?.ver ?? 0) !== condition.ver)) {
			return {status: 412, body: {rows: conditions.flatMap(condition => this.#live(condition) ?? []), ...this.#clock}};
		}

		this.#apply(upserts, remove);
		return {status: 200, body: this.#clock};
	}

	#apply(upserts, remove) {
		this.#ver++;
		for (const {table, part = '', key, value} of upserts) {
			this.#rows.set(nameOf({table, part, key}), {
				table, part, key, value, ver: this.#ver,
			});
		}

		for (const {table, part = '', key} of remove) {
			if (this.#live({table, part, key}) !== undefined) {
				this.#rows.set(nameOf({table, part, key}), {
					table, part, key, value: '', ver: this.#ver, removed: true,
				});
			}
		}

		for (const wake of this.#waiting) {
			wake();
		}
	}

	#read(query) {
		const limit = Math.min(maxRowsPerPage, Number(query.get('limit') ?? maxRowsPerPage));
		const from = query.get('from') ?? '';
		const target = query.get('target');
		const rows = [...this.#rows.values()]
			.filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && !row.removed && row.key >= from && (target === null || row.key < target))
			.toSorted(compareKeys);
		return {status: 200, body: {rows: rows.slice(0, limit), has_more: rows.length > limit, ...this.#clock}};
	}

	async #feed(query) {
		const changes = () => [...this.#rows.values()]
			.filter(row => row.table === query.get('table') && row.ver > Number(query.get('after')))
			.toSorted((a, b) => a.ver - b.ver);
		const untilMs = Date.now() + Number(query.get('wait_ms') ?? 0);
		let rows = changes();
		while (rows.length === 0 && Date.now() < untilMs) {
			await this.#nextChange(untilMs - Date.now());
			rows = changes();
		}

		// A page ends after 500 rows and the rest of a transaction; its version is then that of its last row.
		const page = rows.length <= maxRowsPerPage ? rows : rows.filter(({ver}) => ver <= rows[maxRowsPerPage - 1].ver);
		return {status: 200, body: {rows: page, ...this.#clock, ...(page.length < rows.length ? {ver: page.at(-1).ver} : {})}};
	}

	async #nextChange(waitMs) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.#waiting.add(wake);
		});
	}

	#live(name) {
		const row = this.#rows.get(nameOf(name));
		return row === undefined || row.removed ? undefined : row;
	}
}
