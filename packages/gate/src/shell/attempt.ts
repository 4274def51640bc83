/**
One attempt to run a request at a backend server. The attempt tracks its stage, because only an attempt of which no byte was written may be reported as `not-sent`.

An answer counts as complete only if its end can be distinguished from a lost connection: answers that have no length and are not chunked are treated as incomplete. The connection of an aborted attempt is closed, so that a late answer cannot reach another request.
*/
import {type Dispatcher} from 'undici';
import {PoplarnotchError} from '@poplarnotch/common';
import {type AttemptStage} from '../types.js';
import {type AnswerHead, headForCaller, type RawHeaders} from './headers.js';

/** The gate aborted the attempt. */
export class AttemptAbortedError extends PoplarnotchError {
	override readonly code = 'attempt-aborted';
}

/** The end of the answer cannot be distinguished from a lost connection. */
export class UnframedAnswerError extends PoplarnotchError {
	override readonly code = 'unframed-answer';
}

/** The client library was about to send the request a second time. */
export class SentTwiceError extends PoplarnotchError {
	override readonly code = 'sent-twice';
}

/** Receives the events of an attempt. `onFailed` or `onEnded` is the last event. */
export interface AttemptListener {
	onHead(status: number, head: AnswerHead): void;
	/** Returns false if the attempt must pause until it is resumed. */
	onData(chunk: Uint8Array): boolean;
	onEnded(): void;
	onFailed(stage: AttemptStage, reason: string): void;
}

const isBodiless = (method: string, status: number): boolean =>
	method === 'HEAD' || status === 204 || status === 304;

const reasonOf = (error: Error): string => (error as NodeJS.ErrnoException).code ?? error.name;

/** Handles the events of one request at a backend server. */
export class Attempt implements Dispatcher.DispatchHandler {
	readonly #requestId: string;
	readonly #method: string;
	readonly #listener: AttemptListener;
	#controller: Dispatcher.DispatchController | undefined;
	#stage: AttemptStage = 'not-sent';
	#isOver = false;

	constructor(requestId: string, method: string, listener: AttemptListener) {
		this.#requestId = requestId;
		this.#method = method;
		this.#listener = listener;
	}

	/** Closes the attempt's connection; the listener receives no further event. */
	abort(): void {
		this.#isOver = true;
		this.#controller?.abort(new AttemptAbortedError('The gate aborted the attempt'));
	}

	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isOver) {
			controller.abort(new AttemptAbortedError('The gate aborted the attempt'));
			return;
		}

		if (this.#controller !== undefined) {
			controller.abort(new SentTwiceError('The request was already sent'));
			this.#fail(new SentTwiceError('The request was already sent'));
			return;
		}

		this.#controller = controller;
		this.#stage = 'sent';
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
		if (this.#isOver || status < 200) {
			return;
		}

		const head = headForCaller(controller.rawHeaders as RawHeaders, this.#requestId);
		if (!head.isFramed && !isBodiless(this.#method, status)) {
			const error = new UnframedAnswerError('The answer has neither a length nor chunks');
			this.#fail(error);
			controller.abort(error);
			return;
		}

		this.#stage = 'answering';
		this.#listener.onHead(status, head);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#isOver && !this.#listener.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#listener.onEnded();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#fail(error);
	}

	#fail(error: Error): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#listener.onFailed(this.#stage, reasonOf(error));
		}
	}
}
