/**
One process's path to a table service in memory, with latency and faults drawn from a seed: outages, and writes whose answer is lost, of which half are applied seconds later if their conditions still hold.
*/
import {type RandomSource, type VirtualClock} from '@poplarnotch/common';
import {
	type ChangePage, type CommitResult, ConflictError, type Row, type RowListing, type RowPage, type Transaction, UnavailableError, type WatchableTable, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type MemoryTableService} from '@poplarnotch/standin';
import {type HostClock} from './host-clock.js';

export const calmLatencyMs = 4;
const pollMs = 5;
const lostAnswerMs = 400;
const maxLatenessMs = 4000;

export type TableFaults = {
	isDown: boolean;
	/** Share of writes that are applied and not answered. */
	lostShare: number;
	/** Time that a call takes. */
	latencyMs: number;
};

export type FakeTableOptions = {
	readonly table: MemoryTableService;
	/** The calling process's clock. */
	readonly clock: HostClock;
	/** The platform's clock. */
	readonly world: VirtualClock;
	readonly random: RandomSource;
	readonly faults: TableFaults;
};

export class FakeTable implements WatchableTable {
	readonly #table: MemoryTableService;
	readonly #clock: HostClock;
	readonly #random: RandomSource;
	readonly #faults: TableFaults;
	readonly #world: VirtualClock;

	constructor({table, clock, world, random, faults}: FakeTableOptions) {
		this.#world = world;
		this.#table = table;
		this.#clock = clock;
		this.#random = random;
		this.#faults = faults;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		await this.#reach();
		if (this.#random.next() < this.#faults.lostShare) {
			await this.#lose(transaction);
		}

		const result = this.#table.commitNow(transaction);

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

	async #lose(transaction: Transaction): Promise<never> {
		if (this.#random.next() < 0.5) {
			this.#table.commitNow(transaction);
		} else {
			this.#world.schedule(this.#random.next() * maxLatenessMs, () => {
				try {
					this.#table.commitNow(transaction);
				} catch (error) {
					if (!(error instanceof ConflictError)) {
						throw error;
					}
				}
			});
		}

		await this.#clock.wait(lostAnswerMs);
		throw new WriteOutcomeUnknownError('the answer is lost');
	}

	async #reach(): Promise<void> {
		await this.#clock.wait(this.#faults.latencyMs / 2);
		if (this.#faults.isDown) {
			throw new UnavailableError('the store is down');
		}
	}
}
