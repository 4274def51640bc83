/**
Collects an answer that is recorded as the outcome of its claim. The last chunk is held back from the caller until the outcome is recorded, so that a caller that has received the whole answer finds its outcome at every gate. A head without a body needs no such delay: it is sent when the answer ends.
*/
import {Buffer} from 'node:buffer';
import {type RecordedOutcome} from '../types.js';
import {type AnswerHead, recordableHeaders} from './headers.js';

/** Collects an answer's body up to the size that is recorded, and holds back its last chunk. */
export class OutcomeRecorder {
	readonly #status: number;
	readonly #head: AnswerHead;
	readonly #maxBodyBytes: number;
	#chunks: Uint8Array[] | undefined = [];
	#sizeBytes = 0;
	#heldBackChunk: Uint8Array | undefined;

	constructor(status: number, head: AnswerHead, maxBytes: number) {
		this.#status = status;
		this.#head = head;
		this.#maxBodyBytes = maxBytes;
	}

	/** The latest chunk, which has not been sent to the caller yet. */
	get heldBackChunk(): Uint8Array | undefined {
		return this.#heldBackChunk;
	}

	/** Adds a chunk and holds it back. Returns the previous chunk, which may now be sent to the caller. */
	swapHeldBackChunk(chunk: Uint8Array): Uint8Array | undefined {
		this.#sizeBytes += chunk.length;
		if (this.#sizeBytes > this.#maxBodyBytes) {
			this.#chunks = undefined;
		}

		this.#chunks?.push(chunk);
		const previous = this.#heldBackChunk;
		this.#heldBackChunk = chunk;
		return previous;
	}

	/** The answer as it is recorded, without its body if that is too large. */
	outcome(): RecordedOutcome {
		return {
			status: this.#status,
			headers: recordableHeaders(this.#head.headers),
			bodyBase64: this.#chunks === undefined ? undefined : Buffer.concat(this.#chunks).toString('base64'),
		};
	}
}
