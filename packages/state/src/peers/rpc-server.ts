/**
The RPC endpoint of a process: JSON-RPC 2.0 in `POST /rpc` on the operations port. Callers send the fleet's shared secret as a bearer token; other requests are refused with 401 before the body is read.
*/
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {JSONRPCServer, type JSONRPCParams} from 'json-rpc-2.0';
import {
	hashSecret, isSameHash, type JsonValue, type OperationsRoute,
} from '@poplarnotch/common';

/** Handles one method. The parameters come from another process and must be validated. */
export type RpcMethod = (parameters: unknown) => JsonValue | Promise<JsonValue>;

/** Methods by name. */
export type RpcMethods = Readonly<Record<string, RpcMethod>>;

/** Path of the RPC endpoint. */
export const rpcPath = '/rpc';

/** Maximum size of a request body. */
const maxRequestBytes = 1_048_576;

const isAuthorized = (request: IncomingMessage, secretHash: string): boolean => {
	const presented = request.headers.authorization ?? '';
	return isSameHash(hashSecret(presented), secretHash);
};

const respond = (response: ServerResponse, status: number, body: string): void => {
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
};

/** Reads the request's body; `undefined` if it is too large. */
const readBody = async (request: IncomingMessage): Promise<string | undefined> => {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxRequestBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const serve = async (server: JSONRPCServer, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const body = await readBody(request);
	if (body === undefined) {
		respond(response, 413, '');
		return;
	}

	const result = await server.receiveJSON(body);
	respond(response, 200, JSON.stringify(result ?? {}));
};

/** The route to add to the operations server. */
export const createRpcRoute = (secret: string, methods: RpcMethods): OperationsRoute => {
	const secretHash = hashSecret(`Bearer ${secret}`);
	const server = new JSONRPCServer({errorListener: () => undefined});
	for (const [name, method] of Object.entries(methods)) {
		server.addMethod(name, async (parameters: JSONRPCParams | undefined) => method(parameters));
	}

	return {
		method: 'POST',
		path: rpcPath,
		handle(request, response) {
			if (!isAuthorized(request, secretHash)) {
				respond(response, 401, '');
				return;
			}

			// If the caller disconnects in the middle of its request, there is no one to respond to.
			serve(server, request, response).catch(() => {
				response.destroy();
			});
		},
	};
};
