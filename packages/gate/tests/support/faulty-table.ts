/**
A table service whose reads and writes fail like those of a real one. A read may be refused. A write may be refused, applied with its response lost, applied long after the caller stopped waiting, not applied although its outcome is reported as unknown, or never answered.
*/
import {type Clock, type RandomSource} from '@poplarnotch/common';
import {
	type ChangePage, type CommitResult, type PageOptions, type Row, type RowPage, type TableService, type Transaction, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';

const maxLateWriteDelayMs = 3000;

const neverSettle = (): void => undefined;

/** Forwards calls to another table service, with faults drawn from a random source. */
export class FaultyTable implements TableService {
	/** Probability of a fault in a commit; reads fail half as often. */
	faultProbability = 0;
	/** Whether all commits and reads are refused. */
	isDown = false;
	commits = 0;
	readonly #table: TableService;
	readonly #clock: Clock;
	readonly #random: RandomSource;

	constructor(table: TableService, clock: Clock, random: RandomSource) {
		this.#table = table;
		this.#clock = clock;
		this.#random = random;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		this.commits++;
		if (this.isDown) {
			throw new UnavailableError('down');
		}

		if (this.#random.next() >= this.faultProbability) {
			return this.#table.commit(transaction);
		}

		return this.#commitWithFault(transaction);
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		this.#maybeFail();
		return this.#table.readRows(keys);
	}

	async readPrefix(prefix: string, options?: PageOptions): Promise<RowPage> {
		this.#maybeFail();
		return this.#table.readPrefix(prefix, options);
	}

	async changesSince(prefix: string, revision: number, limit?: number): Promise<ChangePage> {
		return this.#table.changesSince(prefix, revision, limit);
	}

	async #commitWithFault(transaction: Transaction): Promise<CommitResult> {
		const kind = Math.floor(this.#random.next() * 5);
		switch (kind) {
			case 0: {
				throw new UnavailableError('refused');
			}

			case 1: {
				await this.#table.commit(transaction);
				throw new WriteOutcomeUnknownError('applied, answer lost');
			}

			case 2: {
				this.#commitLater(transaction);
				throw new WriteOutcomeUnknownError('applied later');
			}

			case 3: {
				throw new WriteOutcomeUnknownError('not applied');
			}

			default: {
				// The call neither resolves nor rejects: only the caller's own timeout ends it.
				this.#commitLater(transaction);
				return new Promise<never>(neverSettle);
			}
		}
	}

	#commitLater(transaction: Transaction): void {
		this.#clock.schedule(this.#random.next() * maxLateWriteDelayMs, () => {
			this.#table.commit(transaction).catch(() => undefined);
		});
	}

	#maybeFail(): void {
		if (this.isDown || this.#random.next() < this.faultProbability / 2) {
			throw new UnavailableError('refused');
		}
	}
}
