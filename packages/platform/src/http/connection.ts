/**
The HTTP connection that all platform clients share. It maps failures to the three errors of platform calls. A call that was never sent was certainly not applied; a write without an answer may have been.
*/
import {Agent} from 'undici';
import {
	type JsonValue, parseWith, withTimeLimit, type z,
} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';
import {
	ConflictError, type PlatformError, RejectedError, UnavailableError, WriteOutcomeUnknownError,
} from '../errors.js';
import {conflictBodySchema} from './schemas.js';

/** Default time limit of one call. */
const defaultTimeoutMs = 2000;

/** Default number of connections to the platform. */
const defaultConnections = 16;

/** Header that names the calling process. */
export const clientNameHeader = 'x-client';

/** How to reach the platform. */
export type PlatformConnectionOptions = {
	readonly baseUrl: string;
	/** Name of the calling process, sent with each call. */
	readonly clientName: string;
	readonly timeoutMs?: number;
	readonly connections?: number;
};

/** One call. `isWrite` is true for calls whose effect matters when their answer is lost. */
export type PlatformCall = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly query?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly isWrite: boolean;
};

type Answer = {
	readonly status: number;
	readonly text: string;
};

const notSentCodes = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'ERR_INVALID_URL', 'ERR_SOCKET_BAD_PORT', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_INVALID_ARG',
]);

const codeOf = (error: unknown): string | undefined => {
	const {code, cause} = error as {readonly code?: unknown; readonly cause?: unknown};
	if (typeof code === 'string') {
		return code;
	}

	return cause === undefined ? undefined : codeOf(cause);
};

/** Returns true if the error of an HTTP client shows that no connection was established, so that nothing was sent. */
export const isNotSent = (error: unknown): boolean => notSentCodes.has(codeOf(error) ?? '');

/** Returns the error for a call that failed without an answer. The outcome is unknown only for a write that may have been sent. */
export const classifyMissingAnswer = (description: string, isWrite: boolean, cause: unknown): PlatformError => {
	if (isNotSent(cause)) {
		const code = codeOf(cause);
		return new UnavailableError(`${description}: the platform was not reached (${code})`, {cause});
	}

	return isWrite
		? new WriteOutcomeUnknownError(`${description}: no answer`, {cause})
		: new UnavailableError(`${description}: no answer`, {cause});
};

const describe = (call: PlatformCall): string => `${call.method} ${call.path}`;

const missingAnswerError = (call: PlatformCall, reason: string, cause?: unknown): PlatformError => call.isWrite
	? new WriteOutcomeUnknownError(`${describe(call)}: ${reason}`, {cause})
	: new UnavailableError(`${describe(call)}: ${reason}`, {cause});

const parseText = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

const errorForStatus = (call: PlatformCall, answer: Answer): PlatformError => {
	if (answer.status === 409) {
		const parsed = parseWith(conflictBodySchema, parseText(answer.text), call.path);
		return new ConflictError(E.isRight(parsed) ? parsed.right.conflicts : []);
	}

	if (answer.status === 400) {
		return new RejectedError(`${describe(call)}: refused with status ${answer.status}`);
	}

	// With these statuses, the platform refused the call before it had any effect.
	if (answer.status === 429 || answer.status === 503) {
		return new UnavailableError(`${describe(call)}: refused with status ${answer.status}`);
	}

	return missingAnswerError(call, `status ${answer.status}`);
};

/** A bounded pool of connections to one platform. */
export class PlatformConnection {
	readonly #options: PlatformConnectionOptions;
	readonly #agent: Agent;

	constructor(options: PlatformConnectionOptions) {
		this.#options = options;
		this.#agent = new Agent({connections: options.connections ?? defaultConnections});
	}

	/** Performs a call and parses its answer; returns `undefined` if the platform answers 404. */
	async callOptional<Schema extends z.ZodType>(call: PlatformCall, schema: Schema): Promise<z.infer<Schema> | undefined> {
		const answer = await this.#send(call);
		if (answer.status === 404) {
			return undefined;
		}

		if (answer.status !== 200) {
			throw errorForStatus(call, answer);
		}

		const parsed = parseWith(schema, parseText(answer.text), call.path);
		if (E.isLeft(parsed)) {
			throw missingAnswerError(call, `malformed answer (${parsed.left[0]?.message ?? ''})`);
		}

		return parsed.right;
	}

	/** Performs a call and parses its answer. */
	async call<Schema extends z.ZodType>(call: PlatformCall, schema: Schema): Promise<z.infer<Schema>> {
		const value = await this.callOptional(call, schema);
		if (value === undefined) {
			throw new UnavailableError(`${describe(call)}: status 404`);
		}

		return value;
	}

	/** Closes all connections; calls in progress fail. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #send(call: PlatformCall): Promise<Answer> {
		try {
			return await withTimeLimit(this.#options.timeoutMs ?? defaultTimeoutMs, async signal => {
				const response = await this.#agent.request({
					origin: this.#options.baseUrl,
					method: call.method,
					path: call.path,
					query: call.query,
					headers: {
						[clientNameHeader]: this.#options.clientName,
						...(call.body === undefined ? {} : {'content-type': 'application/json'}),
					},
					body: call.body === undefined ? undefined : JSON.stringify(call.body as JsonValue),
					signal,
				});
				return {status: response.statusCode, text: await response.body.text()};
			});
		} catch (error) {
			throw classifyMissingAnswer(describe(call), call.isWrite, error);
		}
	}
}
