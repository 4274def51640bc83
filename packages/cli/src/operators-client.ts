/**
Client of the operators' interface. It tries the given controllers in turn until one responds. Each change carries an id, so a change that is sent again to another controller is applied only once.
*/
import * as E from 'fp-ts/lib/Either.js';
import {request} from 'undici';
import {type JsonObject, parseWith, type z} from '@poplarnotch/common';
import {type ProblemResponse, problemResponseSchema} from './api-types.js';
import {
	ChangeConflictError, type CommandError, ControllerUnreachableError, FindingsError, RequestRefusedError,
} from './errors.js';

/** Time within which a controller must send the headers, and the body, of its response. */
const responseTimeoutMs = 10_000;

const tooManyRequests = 429;
const firstServerError = 500;

/** A request to the operators' interface. */
export type OperatorsRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: JsonObject;
};

type RawResponse = {
	readonly status: number;
	readonly body: unknown;
};

const mayRetryOnNextServer = (status: number): boolean => status >= firstServerError || status === tooManyRequests;

const describeConflictingChange = (problem: ProblemResponse): string => problem.otherChange === undefined
	? ''
	: ` Revision ${problem.otherChange.revision} by ${problem.otherChange.author}: ${problem.otherChange.reason}`;

const toError = (response: RawResponse): CommandError => {
	const parsed = parseWith(problemResponseSchema, response.body, 'answer');
	if (E.isLeft(parsed)) {
		return new RequestRefusedError(`the controller answered with status ${response.status}`);
	}

	const problem = parsed.right;
	if (problem.findings !== undefined && problem.findings.length > 0) {
		return new FindingsError(problem.findings);
	}

	return response.status === 409
		? new ChangeConflictError(`${problem.detail}${describeConflictingChange(problem)}`)
		: new RequestRefusedError(`${problem.title}: ${problem.detail}`);
};

/** Sends requests to controllers with an operator's key. */
export class OperatorsClient {
	readonly #servers: readonly string[];
	readonly #key: string;

	constructor(servers: readonly string[], key: string) {
		this.#servers = servers;
		this.#key = key;
	}

	/** Sends the request and parses its response; rejects with a `CommandError`. */
	async call<Schema extends z.ZodType>(schema: Schema, call: OperatorsRequest): Promise<z.infer<Schema>> {
		const response = await this.#callFirstAvailable(call);
		if (response.status >= 300) {
			throw toError(response);
		}

		const parsed = parseWith(schema, response.body, call.path);
		if (E.isLeft(parsed)) {
			throw new FindingsError(parsed.left);
		}

		return parsed.right;
	}

	async #callFirstAvailable(call: OperatorsRequest): Promise<RawResponse> {
		const failures: string[] = [];
		for (const server of this.#servers) {
			try {
				const response = await this.#callServer(server, call);
				if (!mayRetryOnNextServer(response.status)) {
					return response;
				}

				failures.push(`${server}: ${toError(response).message}`);
			} catch (error) {
				failures.push(`${server}: ${error instanceof Error ? error.message : String(error)}`);
			}
		}

		throw new ControllerUnreachableError(`no controller answered: ${failures.join('; ')}`);
	}

	async #callServer(server: string, call: OperatorsRequest): Promise<RawResponse> {
		const response = await request(new URL(call.path, server), {
			method: call.method,
			headers: {
				authorization: `Bearer ${this.#key}`,
				...(call.body === undefined ? {} : {'content-type': 'application/json'}),
			},
			...(call.body === undefined ? {} : {body: JSON.stringify(call.body)}),
			headersTimeout: responseTimeoutMs,
			bodyTimeout: responseTimeoutMs,
		});
		return {status: response.statusCode, body: await response.body.json()};
	}
}
