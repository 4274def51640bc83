/**
Answers requests that the HTTP parser of Node.js rejected as malformed, oversized or too slow. Open answers on the same connection are sent first, so that none of them is truncated or interleaved.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {type Problem} from '@poplarnotch/common';
import {problemAsHttp} from './problems.js';

type ParserError = Error & {readonly code?: string};

type ClassifiedParserError = {readonly problem: Problem; readonly reasonPhrase: string};

const classifyParserError = (error: ParserError): ClassifiedParserError => {
	switch (error.code ?? '') {
		case 'HPE_HEADER_OVERFLOW': {
			return {
				problem: {
					type: 'headers-too-large', title: 'Headers too large', status: 431, detail: 'The request\'s headers are larger than the gate takes.', outcome: 'not-run',
				},
				reasonPhrase: 'Request Header Fields Too Large',
			};
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return {
				problem: {
					type: 'request-too-slow', title: 'Request too slow', status: 408, detail: 'The request did not arrive in time.', outcome: 'not-run',
				},
				reasonPhrase: 'Request Timeout',
			};
		}

		default: {
			return {
				problem: {
					type: 'bad-request', title: 'Bad request', status: 400, detail: `The request is not valid HTTP/1.1: ${error.message}`, outcome: 'not-run',
				},
				reasonPhrase: 'Bad Request',
			};
		}
	}
};

/** Answers a parser error that concerns the body of an accepted request, and provides request ids. */
export interface ClientErrorHandler {
	onBodyFailed(request: IncomingMessage, problem: Problem): void;
	nextRequestId(): string;
}

type OpenAnswer = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
};

/** Tracks the open answers of each connection and answers parser errors after them. */
export class ClientErrorResponder {
	readonly #openAnswers = new WeakMap<Duplex, OpenAnswer[]>();
	readonly #deferredAnswers = new WeakMap<Duplex, string>();

	/** Tracks an answer until it is closed. */
	track(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const open = this.#openAnswers.get(socket);
		if (open === undefined) {
			this.#openAnswers.set(socket, [{request, response}]);
		} else {
			open.push({request, response});
		}

		response.once('close', () => {
			this.#removeAnswer(socket, response);
		});
	}

	/** Answers a parser error and closes the connection. Returns the problem, or `undefined` if the connection can no longer be written to. */
	answer(error: ParserError, socket: Duplex, handler: ClientErrorHandler): Problem | undefined {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return undefined;
		}

		const {problem, reasonPhrase} = classifyParserError(error);
		const last = this.#openAnswers.get(socket)?.at(-1);
		if (last !== undefined && !last.request.complete) {
			this.#failIncompleteRequest(last, problem, handler);
			return problem;
		}

		const text = problemAsHttp(problem, handler.nextRequestId(), reasonPhrase);
		if (last === undefined) {
			socket.end(text);
		} else {
			this.#deferredAnswers.set(socket, text);
		}

		return problem;
	}

	#failIncompleteRequest({request, response}: OpenAnswer, problem: Problem, handler: ClientErrorHandler): void {
		if (response.headersSent) {
			response.destroy();
			return;
		}

		response.setHeader('connection', 'close');
		handler.onBodyFailed(request, problem);
	}

	#removeAnswer(socket: Duplex, response: ServerResponse): void {
		const remaining = (this.#openAnswers.get(socket) ?? []).filter(open => open.response !== response);
		this.#openAnswers.set(socket, remaining);
		const text = this.#deferredAnswers.get(socket);
		if (remaining.length === 0 && text !== undefined) {
			socket.end(text);
		}
	}
}
