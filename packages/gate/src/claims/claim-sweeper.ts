/**
Deletes claims that are older than the retention time, one page at a time. Each sweeper reads one page per interval and starts after a random delay, so that the sweepers of several gates rarely process the same page at the same time.

The age of a claim counts from its last write. A running claim is deleted only if its holder is gone; a running claim of a live holder is kept however old it is.
*/
import {
	type CancelTimer, type Clock, type Logger, type MetricsRegistry, parseWith, type RandomSource,
} from '@poplarnotch/common';
import {type Row, type TableService} from '@poplarnotch/platform';
import * as E from 'fp-ts/lib/Either.js';
import {type CommitBatcher} from './commit-batcher.js';
import {claimRowSchema, claimsPrefix} from './types.js';

export type ClaimSweeperParts = {
	readonly table: TableService;
	readonly batcher: CommitBatcher;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
	readonly settings: {
		readonly retentionMs: number;
		readonly sweepIntervalMs: number;
		readonly sweepPageSize: number;
	};
	isGone(holder: string): Promise<boolean>;
};

const deleteSizeBytes = 150;

/** Scans all claims page by page, and starts over after the last page. */
export class ClaimSweeper {
	readonly #parts: ClaimSweeperParts;
	#afterKey: string | undefined;
	#cancel: CancelTimer | undefined;
	#isStopped = false;

	constructor(parts: ClaimSweeperParts) {
		this.#parts = parts;
	}

	start(): void {
		const {random, settings} = this.#parts;
		this.#schedule(random.next() * settings.sweepIntervalMs);
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancel?.();
	}

	/** Reads one page and deletes the expired claims on it. Returns the number of claims deleted. */
	async sweepPage(): Promise<number> {
		const {table, settings, metrics} = this.#parts;
		const page = await table.readPrefix(claimsPrefix, {
			limit: settings.sweepPageSize,
			...(this.#afterKey === undefined ? {} : {afterKey: this.#afterKey}),
		});
		this.#afterKey = page.hasMore ? page.rows.at(-1)?.key : undefined;
		const deleted = await Promise.all(page.rows.map(async row => this.#deleteIfExpired(row)));
		const count = deleted.filter(Boolean).length;
		metrics.increment('claims_swept_total', count);
		return count;
	}

	#schedule(delayMs: number): void {
		if (!this.#isStopped) {
			this.#cancel = this.#parts.clock.schedule(delayMs, () => {
				void this.#sweepAndReschedule();
			});
		}
	}

	async #sweepAndReschedule(): Promise<void> {
		try {
			await this.sweepPage();
		} catch (error) {
			this.#parts.log.debug({event: 'claim_sweep_failed', reason: (error as Error).message});
		}

		this.#schedule(this.#parts.settings.sweepIntervalMs);
	}

	async #deleteIfExpired(row: Row): Promise<boolean> {
		const {batcher} = this.#parts;
		if (!(await this.#isExpired(row))) {
			return false;
		}

		const result = await batcher.submit({
			key: row.key, expectedVersion: row.version, value: undefined, sizeBytes: deleteSizeBytes, failsFast: true,
		});
		return result.type === 'applied';
	}

	async #isExpired(row: Row): Promise<boolean> {
		const {clock, settings, isGone} = this.#parts;
		const parsed = parseWith(claimRowSchema, row.value, row.key);
		if (E.isLeft(parsed) || clock.wallTimeMs() - parsed.right.writtenAtMs <= settings.retentionMs) {
			return false;
		}

		return parsed.right.state !== 'running' || isGone(parsed.right.holder);
	}
}
