/**
Wraps an in-memory table service and gives its calls scripted outcomes: applied and answered, refused, applied with the response lost, or delayed past the caller's timeout, so that the call takes effect after calls that were made later.
*/
import {type VirtualClock} from '@poplarnotch/common';
import {
	type ChangePage, type CommitResult, ConflictError, type Row, type RowPage, type TableService, type Transaction, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {MemoryTableService} from './memory-table.js';

/** Outcome of one call. */
export type CallOutcome
	= | {readonly type: 'answered'; readonly delayMs: number}
		| {readonly type: 'refused'; readonly delayMs: number}
		| {readonly type: 'answerLost'; readonly delayMs: number}
		| {readonly type: 'late'; readonly delayMs: number};

const callTimeoutMs = 100;

/** Prefix of row keys whose writes are tracked, so that a test can count how often a transaction was applied. */
export const trackedRowPrefix = 'marks/';

/** Table service with scripted outcomes. They are used in order; every further call is answered after 1 ms. */
export class UnreliableTable implements TableService {
	readonly inner = new MemoryTableService();
	/** Revisions at which each tracked row was written. */
	readonly appliedRevisions = new Map<string, number[]>();
	readonly #clock: VirtualClock;
	readonly #outcomes: CallOutcome[];

	constructor(clock: VirtualClock, outcomes: readonly CallOutcome[]) {
		this.#clock = clock;
		this.#outcomes = [...outcomes];
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		const outcome = this.#nextOutcome();
		switch (outcome.type) {
			case 'answered': {
				await this.#delay(outcome.delayMs);
				return this.#apply(transaction);
			}

			case 'refused': {
				await this.#delay(outcome.delayMs);
				throw new UnavailableError('refused');
			}

			case 'answerLost': {
				await this.#delay(outcome.delayMs);
				this.#applyIgnoringConflict(transaction);
				throw new WriteOutcomeUnknownError('answer lost');
			}

			case 'late': {
				this.#clock.schedule(callTimeoutMs + outcome.delayMs, () => {
					this.#applyIgnoringConflict(transaction);
				});
				await this.#delay(callTimeoutMs);
				throw new WriteOutcomeUnknownError('timed out');
			}
		}
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		await this.#simulateRead();
		return this.inner.readRows(keys);
	}

	async readPrefix(prefix: string): Promise<RowPage> {
		await this.#simulateRead();
		return this.inner.readPrefix(prefix);
	}

	async changesSince(prefix: string, revision: number): Promise<ChangePage> {
		await this.#simulateRead();
		return this.inner.changesSince(prefix, revision);
	}

	async #simulateRead(): Promise<void> {
		const outcome = this.#nextOutcome();
		await this.#delay(outcome.delayMs);
		if (outcome.type !== 'answered') {
			throw new UnavailableError('read failed');
		}
	}

	#nextOutcome(): CallOutcome {
		return this.#outcomes.shift() ?? {type: 'answered', delayMs: 1};
	}

	#apply(transaction: Transaction): CommitResult {
		const result = this.inner.commitNow(transaction);
		for (const {key} of transaction.writes.filter(write => write.key.startsWith(trackedRowPrefix))) {
			this.appliedRevisions.set(key, [...this.appliedRevisions.get(key) ?? [], result.revision]);
		}

		return result;
	}

	#applyIgnoringConflict(transaction: Transaction): void {
		try {
			this.#apply(transaction);
		} catch (error) {
			if (!(error instanceof ConflictError)) {
				throw error;
			}
		}
	}

	async #delay(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#clock.schedule(delayMs, resolve);
		});
	}
}
