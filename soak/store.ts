/**
Stand-in of the users' store. Each daemon reaches it at an address of its own, so that single daemons can be turned away.

An answer may end anywhere that the users' page allows: at any number of rows or bytes, after a whole transaction, with any version below that of the next row. Such an answer cannot be told from a whole one by its size.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type RandomSource, SystemClock, z} from '@poplarnotch/common';
import {TokenBucket} from '@poplarnotch/standin';
import {type Answer, type Call, JsonServer} from './http.js';
import {type Row, RowStore} from './row-store.js';
import {historyRetentionMs, storeRates} from './settings.js';

const maxRowsPerPage = 500;
const maxPartsPerPage = 1000;
const maxBytesPerPage = 1_000_000;
const maxEntriesPerTransaction = 100;
const maxValueLength = 65_536 * 4 / 3;
const maxWaitMs = 30_000;
const answerMs = 4;

/** The daemons' leases. The version of a row is the fencing token of the holder that it names. */
const leaseTable = 'leases';
const operatorTables = new Set(['op', 'servers']);

/** Share of the answers that are cut by bytes as well, where the rows are drawn. */
const cutByBytesShare = 0.25;
const minBytesPerPage = 300;

/** Versions of the store are sampled this often, to discard what is older than the retention. */
const retentionSampleMs = 1000;
const defaultLateMs = {min: 100, max: 1500} as const;

const nameSchema = z.object({table: z.string(), part: z.string().optional(), key: z.string()});
const transactionSchema = z.object({
	expect_rev: z.array(nameSchema.extend({ver: z.number()})).default([]),
	upserts: z.array(nameSchema.extend({value: z.string()})).default([]),
	remove: z.array(nameSchema).default([]),
	across: z.boolean().default(false),
});
type Transaction = z.infer<typeof transactionSchema>;

/** How the store treats one daemon: `silent` gives no answer and does nothing, `lost` does what is asked and gives no answer, `unavailable` answers 503, `reset` breaks connections off. */
export type Refusal = 'silent' | 'lost' | 'unavailable' | 'reset';

export class Store {
	/** Daemons that are treated in another way than the others. */
	readonly refusals = new Map<string, Refusal>();
	readonly rows = new RowStore();
	/** Time that is added to each answer. */
	slowMs = 0;
	/** Share of the transactions that are carried out late and without an answer. */
	lateShare = 0;
	/** How late that is. */
	lateMs: {readonly min: number; readonly max: number} = defaultLateMs;
	/** Called when a daemon has written a row of a lease. */
	onLeaseWritten: ((daemon: string, ver: number) => void) | undefined;
	readonly #random: RandomSource;
	readonly #feedCut: number;
	readonly #servers: JsonServer[] = [];
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #holders = new Map<number, string>();
	readonly #writes = new TokenBucket(storeRates.writesPerSecond, new SystemClock());
	readonly #reads = new TokenBucket(storeRates.readsPerSecond, new SystemClock());
	#cutAnswers = 0;
	#isClosed = false;

	/** An answer of changes is cut after `feedCut` rows; 0 draws the number for each answer. */
	constructor(random: RandomSource, feedCut: number) {
		this.#random = random;
		this.#feedCut = feedCut;
		const samples: number[] = [];
		this.#timers.push(setInterval(() => {
			samples.push(this.rows.ver);
			if (samples.length > historyRetentionMs / retentionSampleMs) {
				this.rows.discardHistory(samples.shift()!);
			}
		}, retentionSampleMs));
	}

	/** Answers of changes that were not whole. */
	get cutAnswers(): number {
		return this.#cutAnswers;
	}

	/** Opens an address for one daemon. */
	async listen(ip: string, daemon: string): Promise<string> {
		const server = await JsonServer.listen(ip, 0, async call => this.#answer(daemon, call));
		this.#servers.push(server);
		return server.address;
	}

	/** The daemon whose lease has this fencing token. */
	holderOf(fence: number): string | undefined {
		return this.#holders.get(fence);
	}

	/** Multiplies the rates of calls that are accepted. */
	limitRates(factor: number): void {
		this.#writes.setRate(storeRates.writesPerSecond * factor);
		this.#reads.setRate(storeRates.readsPerSecond * factor);
	}

	close(): void {
		this.#isClosed = true;
		this.rows.changed.notify();
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const server of this.#servers) {
			server.close();
		}
	}

	async #answer(daemon: string, call: Call): Promise<Answer> {
		const refusal = this.refusals.get(daemon);
		if (refusal === 'silent') {
			return 'silence';
		}

		if (refusal === 'unavailable' || refusal === 'reset') {
			await sleep(answerMs);
			return refusal === 'reset' ? 'reset' : {status: 503};
		}

		const isWrite = call.path === '/rows-tx';
		if (!(isWrite ? this.#writes : this.#reads).tryTake()) {
			return {status: 429};
		}

		if (isWrite && this.#random.next() < this.lateShare) {
			const {min, max} = this.lateMs;
			setTimeout(() => {
				this.#transact(daemon, call.body);
			}, min + (this.#random.next() * (max - min)));
			return 'silence';
		}

		const answer = await this.#perform(daemon, call);
		await sleep(answerMs + this.slowMs);
		const laterRefusal = this.refusals.get(daemon);
		return laterRefusal === 'silent' || laterRefusal === 'lost' ? 'silence' : answer;
	}

	async #perform(daemon: string, {method, path, query, body}: Call): Promise<Answer> {
		switch (`${method} ${path}`) {
			case 'POST /rows-tx': {
				return this.#transact(daemon, body);
			}

			case 'GET /rows-get': {
				return this.#read(query);
			}

			case 'GET /rows-parts': {
				const after = query.get('after') ?? '';
				const parts = this.rows.parts(query.get('table') ?? '').filter(part => part > after);
				return {status: 200, body: {parts: parts.slice(0, maxPartsPerPage), ...this.#clock}};
			}

			case 'GET /rows-feed': {
				return this.#feed(query);
			}

			default: {
				return {status: 404};
			}
		}
	}

	get #clock(): {readonly ver: number; readonly now_ms: number} {
		return {ver: this.rows.ver, now_ms: Math.floor(performance.now())};
	}

	#transact(daemon: string, body: unknown): Answer {
		const parsed = transactionSchema.safeParse(body);
		if (!parsed.success || !this.#isAllowed(parsed.data)) {
			return {status: 400};
		}

		const {expect_rev: conditions, upserts, remove} = parsed.data;
		if ([...upserts, ...remove].some(({table}) => operatorTables.has(table))) {
			return {status: 403};
		}

		if (conditions.some(condition => (this.rows.live(condition)?.ver ?? 0) !== condition.ver)) {
			return {status: 412, body: {rows: conditions.flatMap(condition => this.rows.live(condition) ?? []), ...this.#clock}};
		}

		this.rows.apply(upserts, remove);
		if (upserts.some(({table}) => table === leaseTable)) {
			this.#holders.set(this.rows.ver, daemon);
			this.onLeaseWritten?.(daemon, this.rows.ver);
		}

		return {status: 200, body: this.#clock};
	}

	#isAllowed({expect_rev: conditions, upserts, remove, across}: Transaction): boolean {
		const entries = [...conditions, ...upserts, ...remove];
		const hasOnePart = new Set(entries.map(({part = ''}) => part)).size <= 1;
		return entries.length <= maxEntriesPerTransaction && (across || hasOnePart) && upserts.every(({value}) => value.length <= maxValueLength);
	}

	#read(query: URLSearchParams): Answer {
		const rows = this.rows.range(query.get('table') ?? '', query.get('part') ?? '', query.get('from') ?? '', query.get('target') ?? undefined);
		const limit = Math.min(Number(query.get('limit') ?? maxRowsPerPage), this.#drawBetween(1, maxRowsPerPage));
		return {status: 200, body: {rows: rows.slice(0, limit), has_more: rows.length > limit, ...this.#clock}};
	}

	async #feed(query: URLSearchParams): Promise<Answer> {
		const table = query.get('table') ?? '';
		const after = Number(query.get('after'));
		const untilMs = performance.now() + Math.min(maxWaitMs, Number(query.get('wait_ms') ?? 0));
		let rows = this.rows.changesAfter(table, after);
		while (rows?.length === 0 && performance.now() < untilMs && !this.#isClosed) {
			await this.rows.changed.wait(untilMs - performance.now());
			rows = this.rows.changesAfter(table, after);
		}

		return rows === undefined ? {status: 410} : {status: 200, body: {...this.#clock, ...this.#cut(rows)}};
	}

	/** Cuts an answer of changes after a whole transaction. A whole answer keeps the newest version. */
	#cut(rows: readonly Row[]): {readonly rows: readonly Row[]; readonly ver?: number} {
		const maxRows = this.#feedCut === 0 ? this.#drawBetween(1, maxRowsPerPage) : this.#feedCut;
		const maxBytes = this.#feedCut === 0 && this.#random.next() < cutByBytesShare ? this.#drawBetween(minBytesPerPage, maxBytesPerPage) : maxBytesPerPage;
		let bytes = 0;
		const end = rows.findIndex((row, index) => {
			const isFull = index >= maxRows || bytes >= maxBytes;
			bytes += row.value.length;
			return isFull && row.ver !== rows[index - 1]?.ver;
		});
		const next = rows[end];
		const last = rows[end - 1];
		if (next === undefined || last === undefined) {
			return {rows};
		}

		this.#cutAnswers++;
		const ver = this.#random.next() < 0.5 ? last.ver : last.ver + Math.floor(this.#random.next() * (next.ver - last.ver));
		return {rows: rows.slice(0, end), ver};
	}

	/** Draws a whole number whose logarithm is evenly distributed, so that small ones are frequent. */
	#drawBetween(min: number, max: number): number {
		return Math.floor(min * (((max + 1) / min) ** this.#random.next()));
	}
}
