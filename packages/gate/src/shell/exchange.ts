/**
One caller's request that the gate forwards, with its answer. The exchange transfers bytes and reports events; the reducer makes the decisions.
*/
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Problem} from '@poplarnotch/common';
import {type AttemptStage, type RecordedOutcome, type RequestId} from '../types.js';
import {Attempt, type AttemptListener} from './attempt.js';
import {type CallerRequest} from './caller-request.js';
import {OutcomeRecorder} from './outcome-recorder.js';
import {type AnswerHead, headersForServer} from './headers.js';
import {answerWithOutcome, answerWithProblem, bodyTooLarge} from './problems.js';
import {IncompleteBodyError, BodyRelay, bodyTooLargeCode} from './request-body.js';
import {type ServerPools} from './server-pools.js';

/** A request's body: absent, held whole in memory, or streamed to the backend server. */
export type ExchangeBody
	= | {readonly type: 'none'}
		| {readonly type: 'held'; readonly bytes: Uint8Array}
		| {readonly type: 'streamed'; readonly maxBytes: number};

/** Receives the events of an exchange. */
export interface ExchangeListener {
	onAnswered(exchange: Exchange, attempt: number, status: number): void;
	/** The whole answer arrived. If `outcome` is set, the listener records it, and the last chunk of the answer is held back until `endAnswer` is called. */
	onEnded(exchange: Exchange, attempt: number, outcome: RecordedOutcome | undefined): void;
	onFailed(exchange: Exchange, attempt: number, stage: AttemptStage, reason: string): void;
}

export type ExchangeParts = {
	readonly requestId: RequestId;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly head: CallerRequest;
	readonly body: ExchangeBody;
	/** Size of the largest answer body that is recorded; `undefined` if the outcome is not recorded. */
	readonly recordedBodyBytes: number | undefined;
	readonly listener: ExchangeListener;
};

/** Forwards a request to backend servers and the answer to the caller. */
export class Exchange implements AttemptListener {
	readonly requestId: RequestId;
	readonly #parts: ExchangeParts;
	#attempt: Attempt | undefined;
	#attemptNumber = 0;
	#recorder: OutcomeRecorder | undefined;
	#bodyRelay: BodyRelay | undefined;
	#bodyProblem: Problem | undefined;
	#isWaitingForDrain = false;

	constructor(parts: ExchangeParts) {
		this.requestId = parts.requestId;
		this.#parts = parts;
	}

	get hasAttempt(): boolean {
		return this.#attempt !== undefined;
	}

	/** Bytes of the body that are held in memory. */
	get heldBytes(): number {
		const {body} = this.#parts;
		return body.type === 'held' ? body.bytes.length : 0;
	}

	/** Whether the caller's connection was closed before the end of the answer. */
	get isCallerGone(): boolean {
		return this.#parts.response.destroyed;
	}

	belongsTo(request: IncomingMessage): boolean {
		return this.#parts.request === request;
	}

	/** Starts to send the request to a backend server. */
	startAttempt(attemptNumber: number, address: string, pools: ServerPools): void {
		const {head, request} = this.#parts;
		const attempt = new Attempt(this.requestId, head.method, this);
		this.#attempt = attempt;
		this.#attemptNumber = attemptNumber;
		this.#recorder = undefined;
		const body = this.#nextBody();
		const headers = headersForServer(request.rawHeaders, request.headers.connection, this.requestId);
		if (body instanceof BodyRelay && head.contentLength !== undefined) {
			headers.push('content-length', String(head.contentLength));
		}

		try {
			pools.send(address, {
				method: head.method, path: head.path, headers, body,
			}, attempt);
		} catch (error) {
			attempt.onResponseError(undefined as never, error as Error);
		}
	}

	abortAttempt(attemptNumber: number): void {
		if (attemptNumber === this.#attemptNumber) {
			const attempt = this.#attempt;
			this.#attempt = undefined;
			attempt?.abort();
		}
	}

	refuse(problem: Problem): void {
		const {response} = this.#parts;
		if (response.headersSent) {
			this.abortResponse();
		} else if (this.#bodyProblem === undefined) {
			answerWithProblem(response, problem, this.requestId);
		} else {
			answerWithProblem(response, {...this.#bodyProblem, outcome: problem.outcome}, this.requestId);
		}
	}

	replay(outcome: RecordedOutcome): void {
		answerWithOutcome(this.#parts.response, outcome, this.requestId);
	}

	/** Closes the caller's connection, so that the caller cannot take an incomplete answer for a complete one. */
	abortResponse(): void {
		this.#parts.response.destroy();
	}

	/** Reports that the rest of the body cannot be read: the current attempt fails, and the caller is answered with this problem. */
	failBody(problem: Problem): void {
		this.#bodyProblem = problem;
		this.#bodyRelay?.destroy(new IncompleteBodyError(problem.detail));
	}

	/** Makes the server close the connection after this answer. */
	closeAfterAnswer(): void {
		if (!this.#parts.response.headersSent) {
			this.#parts.response.setHeader('connection', 'close');
		}
	}

	onHead(status: number, head: AnswerHead): void {
		const {response, listener, recordedBodyBytes} = this.#parts;
		this.#recorder = recordedBodyBytes === undefined ? undefined : new OutcomeRecorder(status, head, recordedBodyBytes);
		listener.onAnswered(this, this.#attemptNumber, status);
		if (!response.destroyed) {
			response.writeHead(status, head.headers);
		}
	}

	onData(chunk: Uint8Array): boolean {
		const recorder = this.#recorder;
		return this.#forward(recorder === undefined ? chunk : recorder.swapHeldBackChunk(chunk));
	}

	onEnded(): void {
		this.#attempt = undefined;
		const outcome = this.#recorder?.outcome();
		if (outcome === undefined) {
			this.#parts.response.end();
		}

		this.#parts.listener.onEnded(this, this.#attemptNumber, outcome);
	}

	/** Sends the chunk that was held back while the outcome was recorded, and ends the answer. */
	endAnswer(): void {
		this.#parts.response.end(this.#recorder?.heldBackChunk);
	}

	onFailed(stage: AttemptStage, reason: string): void {
		this.#attempt = undefined;
		const {body} = this.#parts;
		if (reason === bodyTooLargeCode && body.type === 'streamed') {
			this.#bodyProblem ??= bodyTooLarge(body.maxBytes);
		}

		this.#parts.listener.onFailed(this, this.#attemptNumber, stage, reason);
	}

	#nextBody(): Uint8Array | BodyRelay | undefined {
		const {body, request} = this.#parts;
		if (body.type === 'none') {
			return undefined;
		}

		if (body.type === 'held') {
			return body.bytes;
		}

		if (this.#bodyRelay === undefined || !this.#bodyRelay.hasStarted) {
			this.#bodyRelay = new BodyRelay(request, body.maxBytes);
		}

		return this.#bodyRelay;
	}

	/** Writes a chunk to the caller. Returns false if the caller reads more slowly than the answer arrives. */
	#forward(chunk: Uint8Array | undefined): boolean {
		const {response} = this.#parts;
		if (chunk === undefined || response.destroyed || response.write(chunk)) {
			return true;
		}

		this.#resumeOnDrain();
		return false;
	}

	/** Resumes the attempt when the buffered bytes have been sent to the caller, or when the connection is closed. */
	#resumeOnDrain(): void {
		if (this.#isWaitingForDrain) {
			return;
		}

		this.#isWaitingForDrain = true;
		const {response} = this.#parts;
		const resume = (): void => {
			this.#isWaitingForDrain = false;
			response.off('drain', resume);
			response.off('close', resume);
			this.#attempt?.resume();
		};

		response.once('drain', resume);
		response.once('close', resume);
	}
}
