/**
The HTTP/1.1 server for callers. It limits the size of headers, the time for sending a request and the time for which a connection may be idle, and can stop without aborting a request.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import {Server as NetServer} from 'node:net';
import {type Duplex} from 'node:stream';
import {listenOn, type Problem} from '@poplarnotch/common';
import {ClientErrorResponder} from './client-errors.js';

export type CallerServerOptions = {
	readonly maxHeaderBytes: number;
	readonly headersTimeoutMs: number;
	readonly requestTimeoutMs: number;
	readonly keepAliveTimeoutMs: number;
};

/** Handles callers' requests and their errors. */
export interface CallerHandler {
	onRequest(request: IncomingMessage, response: ServerResponse): void;
	/** The rest of a request's body cannot be read, and no byte of an answer has been sent yet. */
	onBodyFailed(request: IncomingMessage, problem: Problem): void;
	/** A request that could not be parsed was answered with this status. */
	onParseError(status: number, code: string | undefined): void;
	nextRequestId(): string;
}

/** Time between two checks for connections that exceed their timeouts. */
const connectionCheckIntervalMs = 1000;

/** Listens for callers' connections. */
export class CallerServer {
	readonly #server: Server;
	readonly #handler: CallerHandler;
	readonly #clientErrors = new ClientErrorResponder();
	#isClosing = false;

	constructor(options: CallerServerOptions, handler: CallerHandler) {
		this.#handler = handler;
		this.#server = createServer({
			maxHeaderSize: options.maxHeaderBytes,
			headersTimeout: options.headersTimeoutMs,
			requestTimeout: options.requestTimeoutMs,
			keepAliveTimeout: options.keepAliveTimeoutMs,
			// `readCallerRequest` answers requests without a Host header with a problem.
			requireHostHeader: false,
			connectionsCheckingInterval: Math.min(connectionCheckIntervalMs, options.headersTimeoutMs),
		}, (request, response) => {
			this.#onRequest(request, response);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
			this.#onClientError(error, socket);
		});
	}

	/** Starts listening; returns the port. */
	async listen(host: string, port: number): Promise<number> {
		return listenOn(this.#server, host, port);
	}

	/** Makes the server close each connection after its next answer. */
	startClosingConnections(): void {
		this.#isClosing = true;
	}

	/**
	Accepts no new connection; resolves when all connections have ended. Idle connections end at their keep-alive timeout: closing them sooner could abort a request that is being sent.
	*/
	async stop(): Promise<void> {
		this.startClosingConnections();
		const closed = once(this.#server, 'close');
		// The HTTP server's own `close` would also close idle connections.
		NetServer.prototype.close.call(this.#server);
		await closed;
	}

	/** Closes the port and all connections at once. */
	destroy(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#onRequest(request: IncomingMessage, response: ServerResponse): void {
		this.#clientErrors.track(request, response);
		if (this.#isClosing) {
			response.setHeader('connection', 'close');
		}

		this.#handler.onRequest(request, response);
	}

	#onClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
		const problem = this.#clientErrors.answer(error, socket, this.#handler);
		if (problem !== undefined) {
			this.#handler.onParseError(problem.status, error.code);
		}
	}
}
