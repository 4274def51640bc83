/**
The users' platform as the start-cost benchmark needs it: a store, machines and many workers, each with an address of its own. Workers hold a poll until a run ends, as the platform's do.
*/
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenOn} from '@poplarnotch/common';
import {type Answer, StoredRows} from '../../packages/entry/tests/support/platform-server.js';

type Run = {readonly task: string; readonly attempt: number; readonly endsAtMs: number};

type Body = {readonly task?: string; readonly attempt?: number; readonly ack_cursor?: number; readonly wait_ms?: number};

const capacity = {cpu: 64_000, mem_mb: 131_072};
const waitStepMs = 10;

/** A worker whose tasks all end as done after `runMs`. */
class SlowWorker {
	starts = 0;
	readonly #runMs: number;
	readonly #bornWallMs: number;
	#running: Run[] = [];
	#finished: unknown[][] = [];
	#sequence = 0;

	constructor(runMs: number, bornWallMs: number) {
		this.#runMs = runMs;
		this.#bornWallMs = bornWallMs;
	}

	async answer(path: string, body: Body): Promise<unknown> {
		if (path === '/run-start') {
			this.starts++;
			this.#running.push({task: body.task!, attempt: body.attempt!, endsAtMs: Date.now() + this.#runMs});
			return {clock_ms: Date.now(), born: this.#bornWallMs};
		}

		this.#finished = this.#finished.filter(([sequence]) => Number(sequence) > (body.ack_cursor ?? 0));
		const untilMs = Date.now() + (body.wait_ms ?? 0);
		this.#endRuns();
		while (this.#finished.length === 0 && Date.now() < untilMs) {
			await sleep(waitStepMs);
			this.#endRuns();
		}

		return {
			clock_ms: Date.now(), born: this.#bornWallMs,
			running: this.#running.map(({task, attempt}) => [task, attempt, '', 50, 8000]),
			finished: this.#finished,
		};
	}

	#endRuns(): void {
		const nowMs = Date.now();
		for (const run of this.#running.filter(({endsAtMs}) => endsAtMs <= nowMs)) {
			this.#sequence++;
			this.#finished.push([this.#sequence, run.task, run.attempt, 'done', '']);
		}

		this.#running = this.#running.filter(({endsAtMs}) => endsAtMs > nowMs);
	}
}

export class BenchPlatform {
	readonly rows = new StoredRows();
	readonly #workers: SlowWorker[] = [];
	readonly #machines: unknown[] = [];
	readonly #servers: Server[] = [];
	readonly #bornWallMs = Date.now() - 10_000;

	/** Number of starts that all workers have taken. */
	get starts(): number {
		return this.#workers.reduce((sum, {starts}) => sum + starts, 0);
	}

	/** Serves the store and the machines, and returns the port. */
	async listenStore(): Promise<number> {
		return this.#listen(async (path, query, text) => await this.rows.answer(path, query, text) ?? {status: 200, body: {machines: this.#machines}});
	}

	async addWorkers(count: number, pool: string, runMs: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			const worker = new SlowWorker(runMs, this.#bornWallMs);
			this.#workers.push(worker);
			const port = await this.#listen(async (path, _query, text) => ({status: 200, body: await worker.answer(path, JSON.parse(text) as Body)}));
			const id = `i-${index}`;
			this.rows.put('servers', id, JSON.stringify({
				service: pool, addr: `127.0.0.1:${port}`, zone: 'north', state: 'ready', capacity, labels: ['kind', `r-${Math.floor(index / 8)}`], born: this.#bornWallMs, seq: 1,
			}));
			this.#machines.push({
				machine: `m-${index}`, pool, zone: 'north', state: 'up', capacity, id,
			});
		}
	}

	close(): void {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	async #listen(answer: (path: string, query: URLSearchParams, text: string) => Promise<Answer>): Promise<number> {
		const server = createServer((request, response) => {
			let text = '';
			request.on('data', chunk => {
				text += String(chunk);
			});
			request.on('end', () => {
				const {pathname, searchParams} = new URL(request.url ?? '/', 'http://platform');
				void answer(pathname, searchParams, text).then(answered => {
					send(response, answered);
				});
			});
		});
		server.keepAliveTimeout = 0;
		this.#servers.push(server);
		return listenOn(server, '127.0.0.1', 0);
	}
}

const send = (response: ServerResponse, {status, body}: Answer): void => {
	const text = JSON.stringify(body ?? {});
	response.writeHead(status, {'content-type': 'application/json', 'content-length': String(text.length)});
	response.end(text);
};
