/**
Writes log lines without ever holding up the process. A pipe whose reader has stopped would block a plain write; here writes run beside the event loop, what waits is bounded, and so is the number of lines a second. Lines that are left out are counted, and the count is logged once there is room again.
*/
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {type Clock} from './clock.js';

/** Bytes that may wait for a slow reader: about two seconds of a busy process's lines. */
const maxWaitingBytes = 1_048_576;

/** Lines a second: twice what the busiest process writes in its busiest second. */
const maxLinesPerSecond = 2000;

const secondMs = 1000;

/** Writes bytes and calls back when that is done or has failed. */
export type WriteBytes = (bytes: Uint8Array, done: (error: unknown) => void) => void;

/** Pause before a full pipe is tried again: long against a reader's turn, short against the second that the waiting bytes may last. */
const fullPipeRetryMs = 20;

/** One write call; it may write a part only. */
type WriteOnce = (bytes: Uint8Array, done: (error: unknown, written: number) => void) => void;

const isPipeFull = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === 'EAGAIN';

/** Writes all bytes, however many calls that takes. A pipe that is full for the moment is tried again. */
export const writeWhole = (writeOnce: WriteOnce): WriteBytes => {
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

/** Writes to a file descriptor beside the event loop. */
export const writeToDescriptor = (descriptor: number): WriteBytes => writeWhole((bytes, done) => {
	write(descriptor, bytes, done);
});

export class BoundedOutput {
	readonly #writeBytes: WriteBytes;
	readonly #clock: Clock;
	readonly #describeDropped: (count: number) => string;
	#waiting: Uint8Array[] = [];
	#waitingBytes = 0;
	#isWriting = false;
	#secondStartedAtMs = 0;
	#linesThisSecond = 0;
	#dropped = 0;

	constructor(writeBytes: WriteBytes, clock: Clock, describeDropped: (count: number) => string) {
		this.#writeBytes = writeBytes;
		this.#clock = clock;
		this.#describeDropped = describeDropped;
	}

	/** Lines that were left out and not reported yet. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Takes one line, or leaves it out. Returns at once. */
	write(line: string): boolean {
		const nowMs = this.#clock.nowMs();
		if (nowMs - this.#secondStartedAtMs >= secondMs) {
			this.#secondStartedAtMs = nowMs;
			this.#linesThisSecond = 0;
		}

		if (this.#linesThisSecond >= maxLinesPerSecond || this.#waitingBytes >= maxWaitingBytes) {
			this.#dropped++;
			return false;
		}

		if (this.#dropped > 0) {
			this.#enqueue(this.#describeDropped(this.#dropped));
			this.#dropped = 0;
		}

		this.#linesThisSecond++;
		this.#enqueue(line);
		return true;
	}

	#enqueue(line: string): void {
		const bytes = Buffer.from(line);
		this.#waiting.push(bytes);
		this.#waitingBytes += bytes.length;
		this.#writeNext();
	}

	#writeNext(): void {
		if (this.#isWriting || this.#waiting.length === 0) {
			return;
		}

		this.#isWriting = true;
		const bytes = Buffer.concat(this.#waiting);
		this.#waiting = [];
		this.#writeBytes(bytes, error => {
			this.#isWriting = false;
			this.#waitingBytes -= bytes.length;
			if (error === null || error === undefined) {
				this.#writeNext();
			} else {
				// Nobody reads any more; there is nowhere to report that.
				this.#waiting = [];
				this.#waitingBytes = 0;
			}
		});
	}
}
