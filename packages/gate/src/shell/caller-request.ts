/**
Parses and validates the head of a caller's request: target queue, path, timeout and idempotency key. An invalid head is refused before any of the body is read.
*/
import {type IncomingMessage} from 'node:http';
import {type Problem} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';
import {
	badIdempotencyKey, badTimeout, hostMissing, pathUnknown,
} from './problems.js';

/** A validated request head. */
export type CallerRequest = {
	readonly queue: string;
	readonly method: string;
	/** Path and query for the backend server. */
	readonly path: string;
	readonly idempotencyKey: string | undefined;
	readonly timeoutMs: number | undefined;
	/** `undefined` if the body is chunked. */
	readonly contentLength: number | undefined;
};

const queuePathPrefix = '/q/';
const timeoutPattern = /^[1-9]\d{0,9}$/v;
const idempotencyKeyPattern = /^[\u0021-\u007E]{1,255}$/v;

const headerOf = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(', ') : value;
};

type Target = {readonly queue: string; readonly path: string};

const targetOf = (url: string): Target | undefined => {
	if (!url.startsWith(queuePathPrefix)) {
		return undefined;
	}

	const queryStart = url.indexOf('?');
	const pathEnd = queryStart === -1 ? url.length : queryStart;
	const slash = url.indexOf('/', queuePathPrefix.length);
	const queueEnd = slash === -1 || slash > pathEnd ? pathEnd : slash;
	const queue = url.slice(queuePathPrefix.length, queueEnd);
	const rest = url.slice(queueEnd);
	return queue === '' ? undefined : {queue, path: rest.startsWith('/') ? rest : `/${rest}`};
};

const contentLengthOf = (request: IncomingMessage): number | undefined =>
	request.headers['transfer-encoding'] === undefined ? Number(request.headers['content-length'] ?? 0) : undefined;

/** Validates the head of a request. Returns the problem if it is invalid. */
export const readCallerRequest = (request: IncomingMessage, maxTimeoutMs: number): E.Either<Problem, CallerRequest> => {
	if (request.headers.host === undefined && request.httpVersion === '1.1') {
		return E.left(hostMissing());
	}

	const target = targetOf(request.url ?? '/');
	if (target === undefined) {
		return E.left(pathUnknown());
	}

	const timeoutText = headerOf(request, 'request-timeout-ms');
	if (timeoutText !== undefined && !timeoutPattern.test(timeoutText)) {
		return E.left(badTimeout());
	}

	const idempotencyKey = headerOf(request, 'idempotency-key');
	if (idempotencyKey !== undefined && !idempotencyKeyPattern.test(idempotencyKey)) {
		return E.left(badIdempotencyKey());
	}

	return E.right({
		queue: target.queue,
		path: target.path,
		method: request.method ?? 'GET',
		idempotencyKey,
		timeoutMs: timeoutText === undefined ? undefined : Math.min(Number(timeoutText), maxTimeoutMs),
		contentLength: contentLengthOf(request),
	});
};
