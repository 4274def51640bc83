/**
Implements the platform as an HTTP/JSON server on the loopback address: table service, object store, host list and workers, with rate limits and injected faults.

Faults are set in-process (`setFaults`) or over HTTP (`POST /faults` with the fields to change). Each call passes these stages in order: cut client, down, rate limit, delay, execution, lost response.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	type Clock, InvalidInputError, type RandomSource, SystemClock, SystemRandom,
} from '@poplarnotch/common';
import {clientNameHeader, ConflictError, UnavailableError} from '@poplarnotch/platform';
import {
	closeServer, listenOnLoopback, readJson, sendJson,
} from '../http.js';
import {
	type BackendFaults, noBackendFaults, noPlatformFaults, type PlatformFaults,
} from './faults.js';
import {MemoryHosts} from './memory-hosts.js';
import {MemoryObjectStore} from './memory-object-store.js';
import {MemoryTableService} from './memory-table.js';
import {MemoryWorkers} from './memory-workers.js';
import {type PlatformRoute, platformRoutes} from './routes.js';
import {TokenBucket} from './token-bucket.js';

export type PlatformStandInOptions = {
	readonly clock?: Clock;
	readonly random?: RandomSource;
	readonly faults?: Partial<PlatformFaults>;
};

/** Counts of the calls that the platform has received. */
export type PlatformCounts = {
	readonly writes: number;
	readonly reads: number;
	readonly refused: number;
	readonly lostAnswers: number;
};

/** HTTP server that stands in for the platform. */
export class PlatformStandIn {
	readonly table = new MemoryTableService();
	readonly objects = new MemoryObjectStore();
	readonly hosts: MemoryHosts;
	readonly workers: MemoryWorkers;
	readonly #random: RandomSource;
	readonly #writeLimit: TokenBucket;
	readonly #readLimit: TokenBucket;
	readonly #backendFaults = new Map<string, BackendFaults>();
	readonly #routes: readonly PlatformRoute[];
	readonly #counts = {
		writes: 0, reads: 0, refused: 0, lostAnswers: 0,
	};

	readonly #server = createServer((request, response) => {
		void this.#handleRequest(request, response);
	});

	#faults: PlatformFaults = noPlatformFaults;

	constructor(options: PlatformStandInOptions = {}) {
		const clock = options.clock ?? new SystemClock();
		this.#random = options.random ?? new SystemRandom();
		this.hosts = new MemoryHosts(clock);
		this.workers = new MemoryWorkers(this.hosts, clock);
		this.#writeLimit = new TokenBucket(noPlatformFaults.writesPerSecond, clock);
		this.#readLimit = new TokenBucket(noPlatformFaults.readsPerSecond, clock);
		this.#routes = platformRoutes(this);
		this.setFaults(options.faults ?? {});
	}

	/** Starts listening and returns the base URL; for port 0 the system chooses one. */
	async start(port = 0): Promise<string> {
		const chosenPort = await listenOnLoopback(this.#server, port);
		return `http://127.0.0.1:${chosenPort}`;
	}

	async close(): Promise<void> {
		await closeServer(this.#server);
	}

	get faults(): PlatformFaults {
		return this.#faults;
	}

	get counts(): PlatformCounts {
		return {...this.#counts};
	}

	/** Changes the given faults and keeps the others. */
	setFaults(changes: Partial<PlatformFaults>): void {
		this.#faults = {...this.#faults, ...changes};
		this.hosts.lagMs = this.#faults.hostListLagMs;
		this.hosts.rebootMs = this.#faults.rebootMs;
		this.workers.setFailingHosts(this.#faults.failingHosts);
		this.#writeLimit.setRate(this.#faults.writesPerSecond);
		this.#readLimit.setRate(this.#faults.readsPerSecond);
	}

	/** Faults of backend servers by host; backend-server stand-ins in other processes poll them. */
	get backendFaults(): ReadonlyMap<string, BackendFaults> {
		return this.#backendFaults;
	}

	/** Changes the given faults of one backend server and keeps the others. */
	setBackendFaults(host: string, changes: Partial<BackendFaults>): void {
		this.#backendFaults.set(host, {...noBackendFaults, ...this.#backendFaults.get(host), ...changes});
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://platform');
		const route = this.#routes.find(candidate => candidate.method === request.method && candidate.pattern.test(url.pathname));
		if (route === undefined) {
			sendJson(response, 404, {error: 'no such call'});
			return;
		}

		try {
			const body = request.method === 'GET' ? undefined : await readJson(request);
			if (route.kind === 'control' || await this.#passesFaults(route, request, response)) {
				await this.#callRoute(route, url, body, response);
			}
		} catch (error) {
			this.#sendError(response, error);
		}
	}

	/** Applies the faults that precede execution. Resolves to false if one of them has already refused the call or closed its connection. */
	async #passesFaults(route: PlatformRoute, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
		if (this.#faults.cutClients.includes(String(request.headers[clientNameHeader]))) {
			response.destroy();
			return false;
		}

		const bucket = route.kind === 'write' ? this.#writeLimit : this.#readLimit;
		if (this.#faults.down || !bucket.tryTake()) {
			this.#counts.refused++;
			sendJson(response, this.#faults.down ? 503 : 429, {error: this.#faults.down ? 'down' : 'too many calls'});
			return false;
		}

		if (this.#faults.delayMs > 0) {
			await sleep(this.#faults.delayMs);
		}

		return true;
	}

	async #callRoute(route: PlatformRoute, url: URL, body: unknown, response: ServerResponse): Promise<void> {
		if (route.kind !== 'control') {
			this.#counts[route.kind === 'write' ? 'writes' : 'reads']++;
		}

		const groups = route.pattern.exec(url.pathname)?.groups ?? {};
		const result = await route.handle({params: groups, query: url.searchParams, body});
		if (route.kind === 'write' && this.#shouldDropResponse()) {
			this.#counts.lostAnswers++;
			response.destroy();
			return;
		}

		if (result === undefined) {
			sendJson(response, 404, {error: 'not there'});
			return;
		}

		sendJson(response, 200, result);
	}

	#shouldDropResponse(): boolean {
		if (this.#faults.loseAnswers > 0) {
			this.#faults = {...this.#faults, loseAnswers: this.#faults.loseAnswers - 1};
			return true;
		}

		return this.#faults.loseAnswerShare > 0 && this.#random.next() < this.#faults.loseAnswerShare;
	}

	#sendError(response: ServerResponse, error: unknown): void {
		if (error instanceof ConflictError) {
			sendJson(response, 409, {conflicts: error.conflicts});
		} else if (error instanceof UnavailableError) {
			sendJson(response, 503, {error: error.message});
		} else if (error instanceof InvalidInputError || error instanceof SyntaxError || error instanceof URIError) {
			sendJson(response, 400, {error: error.message});
		} else {
			sendJson(response, 500, {error: String(error)});
		}
	}
}
