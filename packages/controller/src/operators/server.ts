/**
HTTP server of the operators' interface: authentication, routing, JSON bodies and problem responses.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {listenOn, type Logger, problemContentType} from '@poplarnotch/common';
import {type Authenticator} from './authenticator.js';
import {
	responseForError, badRequest, bodyTooLarge, internalFault, unauthenticated, unknownRoute,
} from './problems.js';
import {type OperatorsResponse, type OperatorsRoute} from './types.js';

/** Maximum size of a request body. */
const maxBodyBytes = 8_388_608;

type Body
	= | {readonly type: 'json'; readonly value: unknown}
		| {readonly type: 'refused'; readonly response: OperatorsResponse};

const parseJson = (text: string): Body => {
	try {
		return {type: 'json', value: text === '' ? undefined : JSON.parse(text) as unknown};
	} catch {
		return {type: 'refused', response: badRequest([{place: 'body', code: 'not-json', message: 'the body is not JSON'}])};
	}
};

const readBody = async (request: IncomingMessage): Promise<Body> => {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxBodyBytes) {
			return {type: 'refused', response: bodyTooLarge()};
		}

		chunks.push(chunk);
	}

	return parseJson(Buffer.concat(chunks).toString());
};

const send = (httpResponse: ServerResponse, response: OperatorsResponse): void => {
	const isOk = response.type === 'ok';
	const text = JSON.stringify(isOk ? response.body : response.problem);
	httpResponse.writeHead(isOk ? 200 : response.problem.status, {
		'content-type': isOk ? 'application/json' : problemContentType,
		'content-length': Buffer.byteLength(text),
	});
	httpResponse.end(text);
};

/** Serves the operators' interface. */
export class OperatorsServer {
	readonly #server: Server;
	readonly #routes: readonly OperatorsRoute[];
	readonly #authenticator: Authenticator;
	readonly #logger: Logger;

	constructor(routes: readonly OperatorsRoute[], authenticator: Authenticator, logger: Logger) {
		this.#routes = routes;
		this.#authenticator = authenticator;
		this.#logger = logger;
		this.#server = createServer((request, response) => {
			void this.#serve(request, response);
		});
	}

	/** Starts listening; returns the port, which the system chooses if `port` is 0. */
	async listen(host: string, port: number): Promise<number> {
		return listenOn(this.#server, host, port);
	}

	/** Stops accepting connections and waits for pending requests. */
	async close(): Promise<void> {
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeIdleConnections();
		await closed;
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			send(response, await this.#respond(request));
		} catch (error) {
			const errorResponse = responseForError(error);
			if (errorResponse === undefined) {
				this.#logger.error({event: 'operators_call_failed', reason: String(error)});
			}

			send(response, errorResponse ?? internalFault(error));
		}
	}

	async #respond(request: IncomingMessage): Promise<OperatorsResponse> {
		const operator = this.#authenticator.operatorOf(request.headers.authorization);
		if (operator === undefined) {
			return unauthenticated();
		}

		const url = new URL(request.url ?? '/', 'http://controller');
		const route = this.#routes.find(candidate => candidate.method === request.method && candidate.pattern.test(url.pathname));
		if (route === undefined) {
			return unknownRoute();
		}

		const body = await readBody(request);
		return body.type === 'refused'
			? body.response
			: route.handle({
				operator,
				parameters: route.pattern.exec(url.pathname)?.groups ?? {},
				query: url.searchParams,
				body: body.value,
			});
	}
}
