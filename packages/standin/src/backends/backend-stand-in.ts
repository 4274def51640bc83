/**
Implements a backend server on the loopback address. It runs requests in slots, counts concurrent runs and records every run by its `x-run-key` header, so that tests can detect requests that ran twice.

Query parameters control how a request is handled: `ms` is its run time, `status` the response status, `bytes` the length of the response body and `chunks` the number of pieces in which the body is written. Without `bytes` the response is JSON with the request's body and key. `GET /_standin/runs` returns all counts and runs; `GET /_standin/total` returns and `POST /_standin/reset` resets the count over all servers of the process.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {text} from 'node:stream/consumers';
import {type Clock, SystemClock} from '@poplarnotch/common';
import {closeServer, listenOnLoopback, sendJson} from '../http.js';
import {type BackendFaults, noBackendFaults} from '../platform/faults.js';
import {RunCounter} from './run-counter.js';

/** Header whose value identifies a run. */
export const runKeyHeader = 'x-run-key';

/** Slots of a backend server whose options name none. */
const defaultSlots = 8;

export type BackendStandInOptions = {
	readonly host: string;
	readonly port?: number;
	readonly slots?: number;
	readonly clock?: Clock;
	/** Counter shared by several servers; without it, the server uses a counter of its own. */
	readonly totalRuns?: RunCounter;
};

/** Request and run counts of a backend server. */
export type BackendRecord = {
	readonly host: string;
	readonly slots: number;
	readonly running: number;
	readonly maxRunning: number;
	/** Requests that started while all slots were occupied. */
	readonly overfilled: number;
	readonly requests: number;
	/** Number of runs by `x-run-key`. */
	readonly runs: Readonly<Record<string, number>>;
};

type RequestBehaviour = {
	readonly runMs: number;
	readonly status: number;
	readonly sizeBytes: number | undefined;
	readonly chunks: number;
};

const numberParameter = (query: URLSearchParams, name: string): number | undefined =>
	query.has(name) ? Number(query.get(name)) : undefined;

const parseBehaviour = (query: URLSearchParams): RequestBehaviour => ({
	runMs: numberParameter(query, 'ms') ?? 0,
	status: numberParameter(query, 'status') ?? 200,
	sizeBytes: numberParameter(query, 'bytes'),
	chunks: Math.max(1, numberParameter(query, 'chunks') ?? 1),
});

/** HTTP server that stands in for one backend server. */
export class BackendStandIn {
	readonly host: string;
	readonly slots: number;
	readonly #clock: Clock;
	readonly #totalRuns: RunCounter;
	#faults: BackendFaults = noBackendFaults;
	#isRebooting = false;
	#server: Server | undefined;
	#portChange: Promise<void> = Promise.resolve();
	#port: number;
	#running = 0;
	#maxRunning = 0;
	#overfilled = 0;
	#requests = 0;
	readonly #runs = new Map<string, number>();

	constructor(options: BackendStandInOptions) {
		this.host = options.host;
		this.slots = options.slots ?? defaultSlots;
		this.#clock = options.clock ?? new SystemClock();
		this.#totalRuns = options.totalRuns ?? new RunCounter();
		this.#port = options.port ?? 0;
	}

	/** Starts listening and returns the base URL, which stays the same across reboots. */
	async start(): Promise<string> {
		await this.#listen();
		return `http://127.0.0.1:${this.#port}`;
	}

	async close(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		if (server !== undefined) {
			await closeServer(server);
		}
	}

	get record(): BackendRecord {
		return {
			host: this.host,
			slots: this.slots,
			running: this.#running,
			maxRunning: this.#maxRunning,
			overfilled: this.#overfilled,
			requests: this.#requests,
			runs: Object.fromEntries(this.#runs),
		};
	}

	/** Changes the given faults and keeps the others. */
	async setFaults(changes: Partial<BackendFaults>): Promise<void> {
		this.#faults = {...this.#faults, ...changes};
		await this.#updatePort();
	}

	/** Starts or ends a reboot. A rebooting server refuses connections and aborts its running requests. */
	async setRebooting(isRebooting: boolean): Promise<void> {
		this.#isRebooting = isRebooting;
		await this.#updatePort();
	}

	/** Opens or closes the port as faults and reboots require. Changes run one at a time, since a port cannot be opened while it is being closed. */
	async #updatePort(): Promise<void> {
		this.#portChange = this.#portChange.then(async () => {
			const isOpen = this.#server !== undefined;
			const shouldBeOpen = !this.#faults.refuseConnections && !this.#isRebooting;
			if (isOpen && !shouldBeOpen) {
				await this.close();
			} else if (!isOpen && shouldBeOpen) {
				await this.#listen();
			}
		});
		return this.#portChange;
	}

	async #listen(): Promise<void> {
		const server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
		this.#server = server;
		this.#port = await listenOnLoopback(server, this.#port);
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://backend');
		if (url.pathname.startsWith('/_standin/')) {
			this.#handleControlRequest(url.pathname, response);
			return;
		}

		this.#requests++;
		if (this.#faults.failFast) {
			request.resume();
			sendJson(response, 500, {error: 'this server fails everything'});
			return;
		}

		const endRun = this.#beginRun(request);
		try {
			await this.#run(request, response, parseBehaviour(url.searchParams), endRun);
		} catch {
			// The client has closed the connection, so no response can be sent.
			response.destroy();
		} finally {
			endRun();
		}
	}

	#handleControlRequest(path: string, response: ServerResponse): void {
		if (path === '/_standin/reset') {
			this.#totalRuns.reset();
		}

		sendJson(response, 200, path === '/_standin/runs' ? this.record : this.#totalRuns.count);
	}

	/** Counts the run and returns a function that ends it; further calls of that function have no effect. */
	#beginRun(request: IncomingMessage): () => void {
		if (this.#running >= this.slots) {
			this.#overfilled++;
		}

		this.#running++;
		this.#totalRuns.begin();
		this.#maxRunning = Math.max(this.#maxRunning, this.#running);
		const runKey = request.headers[runKeyHeader];
		if (typeof runKey === 'string') {
			this.#runs.set(runKey, (this.#runs.get(runKey) ?? 0) + 1);
		}

		let isEnded = false;
		return () => {
			if (!isEnded) {
				isEnded = true;
				this.#running--;
				this.#totalRuns.end();
			}
		};
	}

	async #run(request: IncomingMessage, response: ServerResponse, behaviour: RequestBehaviour, endRun: () => void): Promise<void> {
		const body = await text(request);
		await this.#waitRunTime(behaviour.runMs, response);
		if (this.#faults.freeze) {
			await this.#waitUntilClosed(response);
			return;
		}

		if (this.#faults.resetBeforeAnswer) {
			response.destroy();
			return;
		}

		const responseBody = behaviour.sizeBytes === undefined
			? Buffer.from(JSON.stringify({
				host: this.host, method: request.method, path: request.url, runKey: request.headers[runKeyHeader], body,
			}))
			: Buffer.alloc(behaviour.sizeBytes, 'x');
		await this.#writeResponse(response, behaviour, responseBody, endRun);
	}

	async #writeResponse(response: ServerResponse, behaviour: RequestBehaviour, body: Uint8Array, endRun: () => void): Promise<void> {
		response.writeHead(behaviour.status, {
			'content-type': behaviour.sizeBytes === undefined ? 'application/json' : 'application/octet-stream',
			'content-length': body.length,
			'x-backend-host': this.host,
		});
		const isTruncated = this.#faults.resetMidAnswer || this.#faults.shortAnswer;
		const sentBody = isTruncated ? body.subarray(0, Math.floor(body.length / 2)) : body;
		const chunkBytes = Math.max(1, Math.ceil(sentBody.length / behaviour.chunks));
		for (let start = 0; start < sentBody.length; start += chunkBytes) {
			const isLast = start + chunkBytes >= sentBody.length;
			if (isLast) {
				// The client may continue as soon as it has the last byte, before this server ends the response; the run must have ended by then.
				endRun();
			}

			response.write(sentBody.subarray(start, start + chunkBytes));
			await nextTurn();
		}

		if (this.#faults.resetMidAnswer) {
			response.socket?.resetAndDestroy();
		} else if (this.#faults.shortAnswer) {
			response.socket?.end();
		} else {
			response.end();
		}
	}

	/** Resolves after the run time or when the connection closes, whichever comes first. */
	async #waitRunTime(runMs: number, response: ServerResponse): Promise<void> {
		if (runMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const cancel = this.#clock.schedule(runMs, resolve);
			response.once('close', () => {
				cancel();
				resolve();
			});
		});
	}

	async #waitUntilClosed(response: ServerResponse): Promise<void> {
		if (response.closed) {
			return;
		}

		await new Promise<void>(resolve => {
			response.once('close', () => {
				resolve();
			});
		});
	}
}
