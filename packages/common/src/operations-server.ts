/**
HTTP server for the operations port of a process. It serves `GET /livez`, `/readyz`, `/metrics` and `/dump`, and routes that the process adds, such as its RPC endpoint.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import {type JsonObject} from './json.js';
import {listenOn} from './listen.js';
import {type MetricsRegistry} from './metrics.js';

/** Data of the process that the operations port serves. */
export type OperationsSource = {
	readonly metrics: MetricsRegistry;
	/** Returns true if the process can accept work. */
	isReady(): boolean;
	/** Returns the whole state of the process, without secrets. */
	dump(): JsonObject;
};

/** Handles the requests of an added route. */
export type OperationsHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A route that a process adds. */
export type OperationsRoute = {
	readonly method: string;
	readonly path: string;
	readonly handle: OperationsHandler;
};

const sendResponse = (response: ServerResponse, status: number, contentType: string, body: string): void => {
	response.writeHead(status, {'content-type': contentType, 'content-length': Buffer.byteLength(body)});
	response.end(body);
};

const standardRoutes = (source: OperationsSource): readonly OperationsRoute[] => [
	{
		method: 'GET',
		path: '/livez',
		handle(_request, response) {
			sendResponse(response, 200, 'text/plain', 'ok\n');
		},
	},
	{
		method: 'GET',
		path: '/readyz',
		handle(_request, response) {
			const isReady = source.isReady();
			sendResponse(response, isReady ? 200 : 503, 'text/plain', isReady ? 'ready\n' : 'not ready\n');
		},
	},
	{
		method: 'GET',
		path: '/metrics',
		handle(_request, response) {
			sendResponse(response, 200, 'text/plain; version=0.0.4', source.metrics.render());
		},
	},
	{
		method: 'GET',
		path: '/dump',
		handle(_request, response) {
			sendResponse(response, 200, 'application/json', `${JSON.stringify(source.dump(), undefined, '\t')}\n`);
		},
	},
];

/** Serves the operations port of one process. */
export class OperationsServer {
	readonly #server: Server;

	constructor(source: OperationsSource, routes: readonly OperationsRoute[] = []) {
		const allRoutes = [...standardRoutes(source), ...routes];
		this.#server = createServer((request, response) => {
			const path = (request.url ?? '/').split('?', 1)[0]!;
			const route = allRoutes.find(candidate => candidate.method === request.method && candidate.path === path);
			if (route === undefined) {
				sendResponse(response, 404, 'text/plain', 'no such page\n');
				return;
			}

			route.handle(request, response);
		});
	}

	/** Starts listening and returns the port, which the system chooses if `port` is 0. */
	async listen(host: string, port: number): Promise<number> {
		return listenOn(this.#server, host, port);
	}

	/** Stops at once and closes open connections. */
	async close(): Promise<void> {
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeAllConnections();
		await closed;
	}
}
