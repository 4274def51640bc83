/**
Calls methods of other processes: JSON-RPC 2.0 over persistent HTTP connections. Each call has a timeout. Calls and the bytes of their bodies are counted, so that the traffic between processes can be compared with its budget.
*/
import {Buffer} from 'node:buffer';
import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {Agent, request as httpRequest} from 'undici';
import {type JsonValue, type MetricsRegistry, withTimeLimit} from '@poplarnotch/common';
import {isNotSent} from '@poplarnotch/platform';
import {PeerUnreachableError} from './errors.js';
import {rpcPath} from './rpc-server.js';

/** Options of an RPC client. */
export type RpcClientOptions = {
	readonly secret: string;
	readonly timeoutMs?: number;
	readonly metrics?: MetricsRegistry;
};

/** Timeout of a call by default. */
const defaultTimeoutMs = 500;

/** Maximum number of connections to one process; further calls wait. */
const connectionsPerPeer = 2;

const keepAliveTimeoutMs = 30_000;

/** A peer that has not accepted a connection by then is down or cut off. undici's timer for this is coarse and may take up to a second, which is still shorter than the limits of calls with an effect, so that these are known not to have been sent. */
const connectTimeoutMs = 400;

/** Calls methods of processes by the base URL of their operations port. */
export class RpcClient {
	readonly #agent = new Agent({connections: connectionsPerPeer, keepAliveTimeout: keepAliveTimeoutMs, connect: {timeout: connectTimeoutMs}});
	readonly #secret: string;
	readonly #timeoutMs: number;
	readonly #metrics: MetricsRegistry | undefined;

	constructor(options: RpcClientOptions) {
		this.#secret = options.secret;
		this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
		this.#metrics = options.metrics;
	}

	/** Returns the method's result. Fails with `PeerUnreachableError`. */
	async call(baseUrl: string, method: string, parameters: JsonValue, timeoutMs = this.#timeoutMs): Promise<unknown> {
		// The JSON-RPC client passes on only the message of an error.
		let failure: unknown;
		const client: JSONRPCClient = new JSONRPCClient(async payload => {
			try {
				client.receive(await withTimeLimit(timeoutMs, async signal => this.#post(baseUrl, JSON.stringify(payload), signal)));
			} catch (error) {
				failure = error;
				throw error;
			}
		});
		try {
			return await client.request(method, parameters) as unknown;
		} catch (error) {
			const isUnperformed = failure !== undefined && (isNotSent(failure) || (failure instanceof PeerUnreachableError && !failure.mayBePerformed));
			throw new PeerUnreachableError(`${method} at ${baseUrl} failed: ${String(error)}`, {
				cause: failure ?? error, mayBePerformed: !isUnperformed,
			});
		}
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #post(baseUrl: string, body: string, signal: AbortSignal): Promise<JSONRPCResponse> {
		const response = await httpRequest(new URL(rpcPath, baseUrl), {
			method: 'POST',
			dispatcher: this.#agent,
			headers: {authorization: `Bearer ${this.#secret}`, 'content-type': 'application/json'},
			body,
			signal,
		});
		const text = await response.body.text();
		this.#metrics?.increment('peer_rpc_calls_total');
		this.#metrics?.increment('peer_rpc_body_bytes_total', Buffer.byteLength(body) + Buffer.byteLength(text));
		if (response.statusCode !== 200) {
			// The endpoint refuses calls with a status before it runs a method.
			throw new PeerUnreachableError(`Status ${response.statusCode} from ${baseUrl}`, {mayBePerformed: false});
		}

		return JSON.parse(text) as JSONRPCResponse;
	}
}
