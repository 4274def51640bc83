/**
Writes log lines without ever blocking the process. A synchronous write to a pipe blocks when the pipe's reader has stopped; here writes are asynchronous, and both the buffered bytes and the lines per second are bounded. Lines that follow each other closely can share a write, which costs a busy process several system calls and a wake-up. Dropped lines are counted, and their number is logged once lines are accepted again.
*/
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {type CancelTimer, type Clock} from './clock.js';

/** Limit on bytes buffered for a slow reader: about two seconds of a busy process's lines. */
const maxBufferedBytes = 1_048_576;

/** Twice what the busiest process writes in its busiest second. */
const maxLinesPerSecond = 2000;

const rateWindowMs = 1000;

/** Writes bytes and calls `done` when the write has completed or failed. */
export type WriteBytes = (bytes: Uint8Array, done: (error: unknown) => void) => void;

/** Pause before another write to a full pipe. It is long compared with one turn of the reader and short compared with the second for which the buffered bytes may last. */
const fullPipeRetryMs = 20;

/** Maximum size of one write call. Some collectors of process output keep only the first 8 KiB of a call. */
const maxWriteBytes = 4096;

/** One write call, which may write only part of the bytes. */
type WriteOnce = (bytes: Uint8Array, done: (error: unknown, written: number) => void) => void;

const isPipeFull = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === 'EAGAIN';

/** Writes all bytes, in parts and with as many calls as that takes. Writes to a full pipe are retried after a pause. */
export const writeFully = (writeOnce: WriteOnce): WriteBytes => {
	const writeAll: WriteBytes = (bytes, done) => {
		writeOnce(bytes.subarray(0, maxWriteBytes), (error, written) => {
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
	readonly #groupMs: number;
	#buffered: string[] = [];
	#bufferedBytes = 0;
	#linesInWrite = 0;
	#isWriting = false;
	#cancelTimer: CancelTimer | undefined;
	#flushed: Array<() => void> = [];
	#windowStartedAtMs = 0;
	#linesInWindow = 0;
	#dropped = 0;

	/** A line waits up to `groupMs` for further lines; with 0, each line is written at once if no write is under way. */
	constructor(writeBytes: WriteBytes, clock: Clock, describeDropped: (count: number) => string, groupMs = 0) {
		this.#writeBytes = writeBytes;
		this.#clock = clock;
		this.#describeDropped = describeDropped;
		this.#groupMs = groupMs;
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

		this.#reportDropped();
		this.#linesInWindow++;
		this.#enqueue(line);
		return true;
	}

	/** Writes the buffered lines now, and resolves when they have been written or cannot be. */
	async flush(): Promise<void> {
		this.#reportDropped();
		return new Promise(resolve => {
			this.#flushed.push(resolve);
			this.#writeBuffered();
		});
	}

	#reportDropped(): void {
		if (this.#dropped > 0) {
			const dropped = this.#dropped;
			this.#dropped = 0;
			this.#enqueue(this.#describeDropped(dropped));
		}
	}

	#enqueue(line: string): void {
		this.#buffered.push(line);
		this.#bufferedBytes += Buffer.byteLength(line);
		this.#scheduleWrite();
	}

	#scheduleWrite(): void {
		if (this.#groupMs === 0 || this.#flushed.length > 0) {
			this.#writeBuffered();
		} else if (!this.#isWriting && this.#buffered.length > 0) {
			this.#cancelTimer ??= this.#clock.schedule(this.#groupMs, () => {
				this.#writeBuffered();
			});
		}
	}

	#writeBuffered(): void {
		this.#cancelTimer?.();
		this.#cancelTimer = undefined;
		if (this.#isWriting) {
			return;
		}

		if (this.#buffered.length === 0) {
			this.#resolveFlushed();
			return;
		}

		this.#isWriting = true;
		const bytes = Buffer.from(this.#buffered.join(''));
		this.#linesInWrite = this.#buffered.length;
		this.#buffered = [];
		this.#writeBytes(bytes, error => {
			this.#isWriting = false;
			this.#bufferedBytes -= bytes.length;
			if (error === null || error === undefined) {
				this.#scheduleWrite();
			} else {
				// The output may have no reader any more, so the error cannot be logged either; if it has one, a later line tells how many were lost.
				this.#dropped += this.#linesInWrite + this.#buffered.length;
				this.#buffered = [];
				this.#bufferedBytes = 0;
				this.#resolveFlushed();
			}
		});
	}

	#resolveFlushed(): void {
		const resolvers = this.#flushed;
		this.#flushed = [];
		for (const resolve of resolvers) {
			resolve();
		}
	}
}
