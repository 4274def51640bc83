/**
One process's path to a table service in memory, with latency and faults drawn from a seed: calls that are refused, writes whose answer is lost, outages.
*/
import {type RandomSource} from '@poplarnotch/common';
import {
	type ChangePage, type CommitResult, type Row, type RowListing, type RowPage, type Transaction, UnavailableError, type WatchableTable, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type MemoryTableService} from '@poplarnotch/standin';
import {type HostClock} from './host-clock.js';

export const calmLatencyMs = 4;
const pollMs = 5;
const lostAnswerMs = 400;

export type TableFaults = {
	isDown: boolean;
	/** Share of writes that are applied and not answered. */
	lostShare: number;
	/** Time that a call takes. */
	latencyMs: number;
};

export class FakeTable implements WatchableTable {
	readonly #table: MemoryTableService;
	readonly #clock: HostClock;
	readonly #random: RandomSource;
	readonly #faults: TableFaults;

	constructor(table: MemoryTableService, clock: HostClock, random: RandomSource, faults: TableFaults) {
		this.#table = table;
		this.#clock = clock;
		this.#random = random;
		this.#faults = faults;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		await this.#reach();
		const isLost = this.#random.next() < this.#faults.lostShare;
		const result = this.#table.commitNow(transaction);
		if (isLost) {
			await this.#clock.wait(lostAnswerMs);
			throw new WriteOutcomeUnknownError('the answer is lost');
		}

		await this.#clock.wait(this.#faults.latencyMs / 2);
		return result;
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		await this.#reach();
		return this.#table.readRows(keys);
	}

	async readPrefix(prefix: string): Promise<RowPage> {
		await this.#reach();
		return this.#table.readPrefix(prefix);
	}

	async changesSince(prefix: string, revision: number): Promise<ChangePage> {
		await this.#reach();
		return this.#table.changesSince(prefix, revision);
	}

	async listRows(prefix: string): Promise<RowListing> {
		await this.#reach();
		const {rows, revision} = await this.#table.readPrefix(prefix, {limit: 100_000});
		return {rows, revision};
	}

	async waitForChanges(prefix: string, revision: number, waitMs: number): Promise<ChangePage> {
		await this.#reach();
		const untilMs = this.#clock.nowMs() + waitMs;
		for (;;) {
			const page = await this.#table.changesSince(prefix, revision);
			if (page.changes.length > 0 || this.#clock.nowMs() >= untilMs) {
				return page;
			}

			await this.#clock.wait(pollMs);
			if (this.#faults.isDown) {
				throw new UnavailableError('the store is down');
			}
		}
	}

	async #reach(): Promise<void> {
		await this.#clock.wait(this.#faults.latencyMs / 2);
		if (this.#faults.isDown) {
			throw new UnavailableError('the store is down');
		}
	}
}
