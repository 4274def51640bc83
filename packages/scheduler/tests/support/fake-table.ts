/**
A process's path to an in-memory table service, with latency and seeded faults: outages, and writes whose answer is lost. Half of those writes are applied at once, the others some seconds later if their conditions still hold.
*/
import {Buffer} from 'node:buffer';
import {type RandomSource, type VirtualClock} from '@poplarnotch/common';
import {
	type ChangePage, type CommitResult, ConflictError, type PageOptions, RejectedError, type Row, type RowListing, type RowPage, type Transaction, UnavailableError, type WatchableTable, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type MemoryTableService} from '@poplarnotch/standin';
import {type HostClock} from './host-clock.js';

export const normalLatencyMs = 4;
const pollMs = 5;
const lostAnswerMs = 400;
const maxCommitDelayMs = 4000;

/** Time limit of a call, and what a call that waits for changes may take beyond its wait. */
const callTimeoutMs = 1500;
const longPollMarginMs = 1200;

/** The platform's limits: bytes of a row's encoded value, and entries and bytes of one transaction. */
const limits = {rowBytes: 65_536, entries: 100, transactionBytes: 1_000_000};

const encodedBytes = (value: unknown): number => Math.ceil(Buffer.byteLength(JSON.stringify(value)) / 3) * 4;

const checkLimits = ({conditions, writes}: Transaction): void => {
	const sizes = writes.map(write => write.type === 'put' ? encodedBytes(write.value) : 0);
	if (conditions.length + writes.length > limits.entries || Math.max(0, ...sizes) > limits.rowBytes || sizes.reduce((sum, size) => sum + size, 0) > limits.transactionBytes) {
		throw new RejectedError(`refused with status 400: ${writes.map(({key}) => key).join(', ')}`);
	}
};

export type TableFaults = {
	isDown: boolean;
	/** The table answers no call, and connections stay open. */
	isSilent?: boolean;
	/** The table refuses to be read and takes writes, as one whose callers read more often than permitted. */
	areReadsRefused?: boolean;
	/** Share of writes whose answer is lost; they are applied at once or later. */
	lostAnswerRate: number;
	/** Duration of a call. */
	latencyMs: number;
	/** An answer of changes is cut after this many, at the end of a transaction. */
	maxChangesPerAnswer?: number | undefined;
	/** Returns true for keys of rows that the table rejects for their size or form. */
	isRejected?: (key: string) => boolean;
};

export type FakeTableOptions = {
	readonly table: MemoryTableService;
	/** The calling process's clock. */
	readonly clock: HostClock;
	/** The platform's clock, which goes on while the process is frozen or dead. */
	readonly platformClock: VirtualClock;
	readonly random: RandomSource;
	readonly faults: TableFaults;
};

export class FakeTable implements WatchableTable {
	readonly #table: MemoryTableService;
	readonly #clock: HostClock;
	readonly #random: RandomSource;
	readonly #faults: TableFaults;
	readonly #platformClock: VirtualClock;

	constructor({table, clock, platformClock, random, faults}: FakeTableOptions) {
		this.#platformClock = platformClock;
		this.#table = table;
		this.#clock = clock;
		this.#random = random;
		this.#faults = faults;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		await this.#simulateTransit();
		if (this.#faults.isSilent === true) {
			await this.#clock.wait(callTimeoutMs);
			throw new WriteOutcomeUnknownError('no answer');
		}

		checkLimits(transaction);
		if (transaction.writes.some(({key}) => this.#faults.isRejected?.(key) === true)) {
			throw new RejectedError('refused with status 400');
		}

		if (this.#random.next() < this.#faults.lostAnswerRate) {
			await this.#loseAnswer(transaction);
		}

		const result = this.#table.commitNow(transaction);

		await this.#clock.wait(this.#faults.latencyMs / 2);
		return result;
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		await this.#simulateTransit();
		await this.#failIfSilent();
		return this.#return(await this.#table.readRows(keys));
	}

	async readPrefix(prefix: string, options?: PageOptions): Promise<RowPage> {
		await this.#simulateTransit();
		await this.#failIfSilent();
		return this.#return(await this.#table.readPrefix(prefix, options));
	}

	async changesSince(prefix: string, revision: number): Promise<ChangePage> {
		await this.#simulateTransit();
		await this.#failIfSilent();
		return this.#return(await this.#readChanges(prefix, revision));
	}

	async listRows(prefix: string): Promise<RowListing> {
		await this.#simulateTransit();
		await this.#failIfSilent();
		const {rows, revision} = await this.#table.readPrefix(prefix, {limit: 100_000});
		return this.#return({rows, revision, tableClockMs: this.#platformClock.nowMs()});
	}

	async readRevision(): Promise<number> {
		await this.#simulateTransit();
		await this.#failIfSilent();
		return this.#return(this.#table.revision);
	}

	async waitForChanges(prefix: string, revision: number, waitMs: number): Promise<ChangePage> {
		await this.#simulateTransit();
		const untilMs = this.#clock.nowMs() + waitMs;
		for (;;) {
			if (this.#faults.isSilent === true) {
				await this.#clock.wait(untilMs + longPollMarginMs - this.#clock.nowMs());
				throw new UnavailableError('no answer');
			}

			if (this.#faults.areReadsRefused === true) {
				throw new UnavailableError('the store refuses reads');
			}

			const page = await this.#readChanges(prefix, revision);
			if (page.changes.length > 0 || this.#clock.nowMs() >= untilMs) {
				return this.#return(page);
			}

			await this.#clock.wait(pollMs);
			if (this.#faults.isDown) {
				throw new UnavailableError('the store is down');
			}
		}
	}

	/** Like the platform's store, the table does not say whether it has cut an answer. */
	async #readChanges(prefix: string, revision: number): Promise<ChangePage> {
		const page = await this.#table.changesSince(prefix, revision, this.#faults.maxChangesPerAnswer);
		return {...page, hasMore: page.changes.length > 0, tableClockMs: this.#platformClock.nowMs()};
	}

	/** Returns what was read after the time that the answer takes; meanwhile the table may change. */
	async #return<Answer>(answer: Answer): Promise<Answer> {
		await this.#clock.wait(this.#faults.latencyMs / 2);
		return answer;
	}

	/** A lost answer does not tell either that the conditions did not hold. */
	async #loseAnswer(transaction: Transaction): Promise<never> {
		if (this.#random.next() < 0.5) {
			this.#commitIfConditionsHold(transaction);
		} else {
			this.#platformClock.schedule(this.#random.next() * maxCommitDelayMs, () => {
				this.#commitIfConditionsHold(transaction);
			});
		}

		await this.#clock.wait(lostAnswerMs);
		throw new WriteOutcomeUnknownError('the answer to the commit was lost');
	}

	#commitIfConditionsHold(transaction: Transaction): void {
		try {
			this.#table.commitNow(transaction);
		} catch (error) {
			if (!(error instanceof ConflictError)) {
				throw error;
			}
		}
	}

	async #failIfSilent(): Promise<void> {
		if (this.#faults.areReadsRefused === true) {
			throw new UnavailableError('the store refuses reads');
		}

		if (this.#faults.isSilent === true) {
			await this.#clock.wait(callTimeoutMs);
			throw new UnavailableError('no answer');
		}
	}

	async #simulateTransit(): Promise<void> {
		await this.#clock.wait(this.#faults.latencyMs / 2);
		if (this.#faults.isDown) {
			throw new UnavailableError('the store is down');
		}
	}
}
