/**
A small JSON server for the stand-ins, and the clients that keep their connections.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';
import {listenOn, withTimeLimit} from '@poplarnotch/common';
import {Pool} from 'undici';

export type Call = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly headers: IncomingHttpHeaders;
	readonly body: unknown;
};

/** `silence` leaves the call without an answer and its connection open; `reset` breaks the connection off. */
export type Answer = 'silence' | 'reset' | {readonly status: number; readonly body?: unknown};

export type Handle = (call: Call) => Answer | Promise<Answer>;

const keepAliveMs = 60_000;

/** Serves the calls of one address. */
export class JsonServer {
	static async listen(ip: string, port: number, handle: Handle): Promise<JsonServer> {
		const server = createServer((request, response) => {
			// A caller that breaks off in the middle of its request gets no answer.
			respond(request, response, handle).catch(() => {
				response.destroy();
			});
		});
		server.keepAliveTimeout = keepAliveMs;
		return new JsonServer(server, ip, await listenOn(server, ip, port));
	}

	readonly port: number;
	readonly #server: Server;
	readonly #ip: string;

	private constructor(server: Server, ip: string, port: number) {
		this.#server = server;
		this.#ip = ip;
		this.port = port;
	}

	get address(): string {
		return `${this.#ip}:${this.port}`;
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

const respond = async (request: IncomingMessage, response: ServerResponse, handle: Handle): Promise<void> => {
	const url = new URL(request.url ?? '/', 'http://platform');
	const bodyText = await text(request);
	const answer = await handle({
		method: request.method ?? '', path: url.pathname, query: url.searchParams, headers: request.headers, body: bodyText === '' ? undefined : JSON.parse(bodyText),
	});
	if (answer === 'reset') {
		request.socket.resetAndDestroy();
	} else if (answer !== 'silence' && !response.destroyed) {
		const answerText = answer.body === undefined ? '' : JSON.stringify(answer.body);
		response.writeHead(answer.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(answerText)});
		response.end(answerText);
	}
};

/** The answer to a client; status 0 says that none came. */
export type Received = {
	readonly status: number;
	readonly body?: unknown;
};

export type Sent = {
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
};

const maxConnections = 4;
const answerTimeoutMs = 3000;

/** Clients of one address. They go on using a connection until it breaks. */
export class KeepAliveClients {
	readonly #pool: Pool;

	constructor(ip: string, port: number) {
		this.#pool = new Pool(`http://${ip}:${port}`, {connections: maxConnections, pipelining: 1});
	}

	get hasConnection(): boolean {
		return this.#pool.stats.connected > 0;
	}

	async call({method, path, headers = {}, body}: Sent): Promise<Received> {
		try {
			return await withTimeLimit(answerTimeoutMs, async signal => {
				const bodyFields = body === undefined ? {headers} : {headers: {...headers, 'content-type': 'application/json'}, body: JSON.stringify(body)};
				const response = await this.#pool.request({
					method, path, signal, ...bodyFields,
				});
				const bodyText = await response.body.text();
				return {status: response.statusCode, body: bodyText.startsWith('{') ? JSON.parse(bodyText) as unknown : undefined};
			});
		} catch {
			// The connection broke off, or no answer came in time.
			return {status: 0};
		}
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}
