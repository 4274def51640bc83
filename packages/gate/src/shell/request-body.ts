/**
Bodies of callers' requests. Small bodies and those of claimed requests are held whole in memory, so that they can be hashed and sent again. All others are streamed with the backpressure of the backend server.
*/
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {PoplarnotchError} from '@poplarnotch/common';

/** The caller closed the connection before the end of the body. */
export class IncompleteBodyError extends PoplarnotchError {
	override readonly code = 'body-cut';
}

export const bodyTooLargeCode = 'body-too-large';

/** The body is larger than its queue allows. */
export class BodyTooLargeError extends PoplarnotchError {
	override readonly code = bodyTooLargeCode;
}

/** Receives the result of `readWholeBody` with the context that was passed to it. Exactly one of the two methods is called. */
export type BodyReceiver<Context> = {
	onComplete(context: Context, bytes: Uint8Array): void;
	onFailed(context: Context, error: IncompleteBodyError | BodyTooLargeError): void;
};

/** Collects the chunks of a body. Its handlers are methods, which cost less for each request than closures. */
class BodyCollector<Context> {
	readonly #request: IncomingMessage;
	readonly #maxBytes: number;
	readonly #receiver: BodyReceiver<Context>;
	readonly #context: Context;
	readonly #chunks: Uint8Array[] = [];
	#sizeBytes = 0;
	#isOver = false;

	constructor(request: IncomingMessage, maxBytes: number, receiver: BodyReceiver<Context>, context: Context) {
		this.#request = request;
		this.#maxBytes = maxBytes;
		this.#receiver = receiver;
		this.#context = context;
	}

	addChunk(chunk: Uint8Array): void {
		this.#sizeBytes += chunk.length;
		if (this.#isOver) {
			return;
		}

		if (this.#sizeBytes > this.#maxBytes) {
			this.#isOver = true;
			this.#receiver.onFailed(this.#context, new BodyTooLargeError(`The body has more than ${this.#maxBytes} bytes`));
		} else {
			this.#chunks.push(chunk);
		}
	}

	end(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#receiver.onComplete(this.#context, this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks));
		}
	}

	failIncomplete(): void {
		// Creating an error is expensive, and every request emits `close`, also a completed one.
		if (!this.#isOver) {
			this.#isOver = true;
			this.#receiver.onFailed(this.#context, new IncompleteBodyError('The caller closed the connection before the end of the body'));
		}
	}

	start(): void {
		this.#request
			.on('data', (chunk: Uint8Array) => {
				this.addChunk(chunk);
			})
			.on('end', () => {
				this.end();
			})
			.on('close', () => {
				this.failIncomplete();
			})
			.on('error', () => {
				this.failIncomplete();
			});
	}
}

/** Reads a whole body into memory. Bytes beyond `maxBytes` are read and discarded. */
export const readWholeBody = <Context>(request: IncomingMessage, maxBytes: number, receiver: BodyReceiver<Context>, context: Context): void => {
	new BodyCollector(request, maxBytes, receiver, context).start();
};

/**
Streams a body to the backend server. Destroying the relay does not close the caller's connection, so that the caller can still be answered. The relay destroys itself if the caller closes the connection or the body grows too large.
*/
export class BodyRelay extends Readable {
	#hasStarted = false;
	#sizeBytes = 0;
	readonly #request: IncomingMessage;
	readonly #maxBytes: number;

	constructor(request: IncomingMessage, maxBytes: number) {
		super();
		this.#request = request;
		this.#maxBytes = maxBytes;
	}

	/** Whether any of the body was read; it can then not be sent again. */
	get hasStarted(): boolean {
		return this.#hasStarted;
	}

	override _read(): void {
		if (!this.#hasStarted) {
			this.#start();
		}

		this.#request.resume();
	}

	override _destroy(error: Error | null, callback: (error?: Error | null) => void): void { // eslint-disable-line @typescript-eslint/no-restricted-types
		if (this.#hasStarted) {
			this.#request.off('data', this.#onData);
			this.#request.off('end', this.#onEnd);
			this.#request.off('close', this.#onClose);
			this.#request.resume();
		}

		callback(error);
	}

	#start(): void {
		this.#hasStarted = true;
		this.#request.on('data', this.#onData);
		this.#request.once('end', this.#onEnd);
		this.#request.once('close', this.#onClose);
	}

	readonly #onData = (chunk: Uint8Array): void => {
		this.#sizeBytes += chunk.length;
		if (this.#sizeBytes > this.#maxBytes) {
			this.destroy(new BodyTooLargeError(`The body has more than ${this.#maxBytes} bytes`));
			return;
		}

		if (!this.push(chunk)) {
			this.#request.pause();
		}
	};

	readonly #onEnd = (): void => {
		this.push(null);
	};

	readonly #onClose = (): void => {
		if (!this.#request.readableEnded) {
			this.destroy(new IncompleteBodyError('The caller closed the connection before the end of the body'));
		}
	};
}
