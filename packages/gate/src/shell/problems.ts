/**
Problems with which the shell itself answers: before the reducer receives a request, or in place of an answer that cannot be forwarded.
*/
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Problem, problemContentType} from '@poplarnotch/common';
import {type RecordedOutcome} from '../types.js';

type ProblemKind = {readonly type: string; readonly title: string; readonly status: number};

const notRun = (kind: ProblemKind, detail: string): Problem => ({...kind, detail, outcome: 'not-run'});

export const pathUnknown = (): Problem =>
	notRun({type: 'path-unknown', title: 'No such path', status: 404}, 'Requests go to /q/{queue}/{path}.');

export const hostMissing = (): Problem =>
	notRun({type: 'bad-request', title: 'Bad request', status: 400}, 'The request has no Host header.');

export const badTimeout = (): Problem =>
	notRun({type: 'bad-timeout', title: 'Bad Request-Timeout-Ms', status: 400}, 'Request-Timeout-Ms must be a whole number of milliseconds above 0.');

export const badIdempotencyKey = (): Problem =>
	notRun({type: 'bad-idempotency-key', title: 'Bad Idempotency-Key', status: 400}, 'Idempotency-Key must be 1 to 255 visible ASCII characters, sent once.');

export const bodyTooLarge = (maxBodyBytes: number): Problem =>
	notRun({type: 'body-too-large', title: 'Body too large', status: 413}, `The queue takes bodies of up to ${maxBodyBytes} bytes.`);

export const heldBodiesFull = (retryAfterMs: number): Problem => ({
	...notRun({type: 'gate-busy', title: 'Gate busy', status: 503}, 'The gate holds as many request bodies as it may.'),
	retryAfterMs,
});

/** The answer to a repeated request whose recorded outcome has no body. */
export const bodyNotRecorded = (status: number): Problem => ({
	type: 'body-not-recorded',
	title: 'Ran, answer not kept',
	status: 410,
	detail: `The request ran and was answered with status ${status}; the body was too large to be recorded.`,
	outcome: 'ran',
});

type ProblemHeaders = Readonly<Record<string, string | number>>;

const millisecondsPerSecond = 1000;

const headersOf = (problem: Problem, requestId: string, sizeBytes: number): ProblemHeaders => ({
	'content-type': problemContentType,
	'content-length': sizeBytes,
	'x-request-id': requestId,
	...(problem.retryAfterMs === undefined ? {} : {'retry-after': Math.ceil(problem.retryAfterMs / millisecondsPerSecond)}),
});

/** Answers with a problem. */
export const answerWithProblem = (response: ServerResponse, problem: Problem, requestId: string): void => {
	const body = JSON.stringify({...problem, requestId});
	response.writeHead(problem.status, headersOf(problem, requestId, Buffer.byteLength(body)) as Record<string, string | number>);
	response.end(body);
};

/** A complete HTTP answer as text, for connections on which Node.js could not parse a request. */
export const problemAsHttp = (problem: Problem, requestId: string, reasonPhrase: string): string => {
	const body = JSON.stringify({...problem, requestId});
	const headers = {...headersOf(problem, requestId, Buffer.byteLength(body)), connection: 'close'};
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
	return [`HTTP/1.1 ${problem.status} ${reasonPhrase}`, ...lines, '', body].join('\r\n');
};

/** Answers with a recorded outcome. */
export const answerWithOutcome = (response: ServerResponse, outcome: RecordedOutcome, requestId: string): void => {
	if (outcome.bodyBase64 === undefined) {
		answerWithProblem(response, bodyNotRecorded(outcome.status), requestId);
		return;
	}

	const body = Buffer.from(outcome.bodyBase64, 'base64');
	response.writeHead(outcome.status, {...outcome.headers, 'x-request-id': requestId});
	response.end(body);
};
