/**
Writes log lines without ever blocking the process. A synchronous write to a pipe blocks when the pipe's reader has stopped; here writes are asynchronous, and both the buffered bytes and the lines per second are bounded. Dropped lines are counted, and their number is logged once lines are accepted again.
*/
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {type Clock} from './clock.js';

/** Limit on bytes buffered for a slow reader: about two seconds of a busy process's lines. */
const maxBufferedBytes = 1_048_576;

/** Twice what the busiest process writes in its busiest second. */
const maxLinesPerSecond = 2000;

const rateWindowMs = 1000;

/** Writes bytes and calls `done` when the write has completed or failed. */
export type WriteBytes = (bytes: Uint8Array, done: (error: unknown) => void) => void;

/** Pause before another write to a full pipe. It is long compared with one turn of the reader and short compared with the second for which the buffered bytes may last. */
const fullPipeRetryMs = 20;

/** One write call, which may write only part of the bytes. */
type WriteOnce = (bytes: Uint8Array, done: (error: unknown, written: number) => void) => void;

const isPipeFull = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === 'EAGAIN';

/** Writes all bytes, with as many calls as that takes. Writes to a full pipe are retried after a pause. */
export const writeFully = (writeOnce: WriteOnce): WriteBytes => {
	const writeAll: WriteBytes = (bytes, done) => {
		writeOnce(bytes, (error, written) => {
			if (isPipeFull(error)) {
				setTimeout(writeAll, fullPipeRetryMs, bytes, done).unref();
			} else if ((error ?? undefined) === undefined && written < bytes.length) {
				writeAll(bytes.subarray(written), done);
			} else {
				done(error);
			}
		});
	};

	return writeAll;
};

/** Writes to a file descriptor asynchronously. */
export const writeToDescriptor = (descriptor: number): WriteBytes => writeFully((bytes, done) => {
	write(descriptor, bytes, done);
});

/** Buffers lines up to the limits and writes them one batch at a time. */
export class BoundedOutput {
	readonly #writeBytes: WriteBytes;
	readonly #clock: Clock;
	readonly #describeDropped: (count: number) => string;
	#buffered: Uint8Array[] = [];
	#bufferedBytes = 0;
	#isWriting = false;
	#windowStartedAtMs = 0;
	#linesInWindow = 0;
	#dropped = 0;

	constructor(writeBytes: WriteBytes, clock: Clock, describeDropped: (count: number) => string) {
		this.#writeBytes = writeBytes;
		this.#clock = clock;
		this.#describeDropped = describeDropped;
	}

	/** Number of dropped lines that have not been logged yet. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Accepts or drops one line; returns at once whether it was accepted. */
	write(line: string): boolean {
		const nowMs = this.#clock.nowMs();
		if (nowMs - this.#windowStartedAtMs >= rateWindowMs) {
			this.#windowStartedAtMs = nowMs;
			this.#linesInWindow = 0;
		}

		if (this.#linesInWindow >= maxLinesPerSecond || this.#bufferedBytes >= maxBufferedBytes) {
			this.#dropped++;
			return false;
		}

		if (this.#dropped > 0) {
			this.#enqueue(this.#describeDropped(this.#dropped));
			this.#dropped = 0;
		}

		this.#linesInWindow++;
		this.#enqueue(line);
		return true;
	}

	#enqueue(line: string): void {
		const bytes = Buffer.from(line);
		this.#buffered.push(bytes);
		this.#bufferedBytes += bytes.length;
		this.#flush();
	}

	#flush(): void {
		if (this.#isWriting || this.#buffered.length === 0) {
			return;
		}

		this.#isWriting = true;
		const bytes = Buffer.concat(this.#buffered);
		this.#buffered = [];
		this.#writeBytes(bytes, error => {
			this.#isWriting = false;
			this.#bufferedBytes -= bytes.length;
			if (error === null || error === undefined) {
				this.#flush();
			} else {
				// The output has no reader any more, so the error cannot be logged either.
				this.#buffered = [];
				this.#bufferedBytes = 0;
			}
		});
	}
}
