/**
HTTP helpers that both stand-ins use.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {listenOn} from '@poplarnotch/common';

/** Reads a request's body as JSON; an empty body counts as `{}`. Throws `SyntaxError` if the body is not JSON. */
export const readJson = async (request: IncomingMessage): Promise<unknown> => {
	const body = await text(request);
	return body === '' ? {} : JSON.parse(body);
};

/** Sends a response with a JSON body. */
export const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
	const payload = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(payload)});
	response.end(payload);
};

/** Listens on the loopback address and returns the port; for port 0 the system chooses one. */
export const listenOnLoopback = async (server: Server, port: number, address = '127.0.0.1'): Promise<number> =>
	listenOn(server, address, port);

/** Stops listening and closes all connections. */
export const closeServer = async (server: Server): Promise<void> => {
	if (!server.listening) {
		return;
	}

	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
};
