/**
Makes a table service safe to use over a network: calls that were not applied are retried with jittered back-off, and the outcome of commits with lost answers is resolved by reading back. A caller gets `WriteOutcomeUnknownError` only if the outcome is still unknown when the time limit has passed, or if another process changed the nonce row.
*/
import {randomUUID} from 'node:crypto';
import {
	assertNever, type Clock, MetricsRegistry, type RandomSource, SystemClock, SystemRandom,
} from '@poplarnotch/common';
import {
	ConflictError, PlatformError, RejectedError, UnavailableError, WriteOutcomeUnknownError,
} from '../errors.js';
import {
	type ChangePage, type CommitResult, type PageOptions, type Row, type RowPage, type TableService, type Transaction,
} from '../table-service.js';
import {backoffMs, type BackoffOptions, pauseFor} from './backoff.js';
import {
	barrierTransaction, nonceOf, type NonceRow, NonceRowPool, addNonce,
} from './nonce-rows.js';
import {
	afterBarrier, afterSend, afterNonceRowRead, afterTimeLimit, type CommitOutcome, newResolution, type ResolvedCommit, type CommitResolution, type NonceRowFinding,
} from './commit-resolution.js';

/** Time limits and dependencies. */
export type RetryingTableServiceOptions = {
	/** Name of the process; part of the keys of its nonce rows. */
	readonly client: string;
	/** Identifies the incarnation of the process; must never be reused. */
	readonly instance?: string;
	/** Time for which calls that were not applied are retried. */
	readonly retryTimeoutMs?: number;
	/** Time limit for resolving the outcome of commits with lost answers. */
	readonly settleTimeoutMs?: number;
	readonly backoff?: BackoffOptions;
	/** Limit on concurrent commits; further commits wait. */
	readonly maxCommits?: number;
	readonly clock?: Clock;
	readonly random?: RandomSource;
	readonly metrics?: MetricsRegistry;
};

const defaultRetryTimeoutMs = 5000;
const defaultResolveTimeoutMs = 10_000;
const defaultBackoff: BackoffOptions = {firstMs: 50, longestMs: 1000};

const outcomeOf = (error: unknown, nonceRow: NonceRow): CommitOutcome => {
	if (error instanceof ConflictError) {
		return {type: 'conflict', error, isNonceRowChanged: error.conflicts.some(conflict => conflict.key === nonceRow.key)};
	}

	if (error instanceof RejectedError) {
		return {type: 'rejected', error};
	}

	if (error instanceof PlatformError) {
		return {type: error.mayBeApplied ? 'unknown' : 'unavailable', error};
	}

	throw error;
};

/** The error to throw for a commit that was certainly not applied, or whose outcome could not be resolved. */
const errorOf = (result: Exclude<ResolvedCommit, {readonly type: 'applied'}>): PlatformError => {
	switch (result.type) {
		case 'conflict':
		case 'rejected': {
			return result.error;
		}

		case 'unavailable': {
			return new UnavailableError(`not applied within the time limit: ${result.error.message}`, {cause: result.error});
		}

		case 'unknown': {
			return new WriteOutcomeUnknownError(`outcome not resolved within the time limit: ${result.error.message}`, {cause: result.error});
		}

		default: {
			return assertNever(result);
		}
	}
};

/** Adds retries and the resolution of unknown commit outcomes to a `TableService`. */
export class RetryingTableService implements TableService {
	readonly #table: TableService;
	readonly #nonceRows: NonceRowPool;
	readonly #instance: string;
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #metrics: MetricsRegistry;
	readonly #retryTimeoutMs: number;
	readonly #resolveTimeoutMs: number;
	readonly #backoff: BackoffOptions;
	#commits = 0;

	constructor(table: TableService, options: RetryingTableServiceOptions) {
		this.#table = table;
		this.#instance = options.instance ?? randomUUID();
		this.#nonceRows = new NonceRowPool(options.client, this.#instance, options.maxCommits);
		this.#clock = options.clock ?? new SystemClock();
		this.#random = options.random ?? new SystemRandom();
		this.#metrics = options.metrics ?? new MetricsRegistry();
		this.#retryTimeoutMs = options.retryTimeoutMs ?? defaultRetryTimeoutMs;
		this.#resolveTimeoutMs = options.settleTimeoutMs ?? defaultResolveTimeoutMs;
		this.#backoff = options.backoff ?? defaultBackoff;
	}

	async commit(transaction: Transaction): Promise<CommitResult> {
		const nonce = `${this.#instance}.${++this.#commits}`;
		const startedAtMs = this.#clock.nowMs();
		let nonceRow = await this.#nonceRows.acquire();
		let resolution = newResolution;
		let lastError: PlatformError = new UnavailableError('not sent');
		for (let attempt = 0; ; attempt++) {
			const {step} = resolution;
			if (step.type === 'done') {
				return this.#finish(nonceRow, step.result);
			}

			if (resolution.isRetry) {
				await pauseFor(this.#clock, backoffMs(this.#backoff, attempt, this.#random));
			}

			if (this.#isTimedOut(startedAtMs, resolution)) {
				return this.#finish(nonceRow, afterTimeLimit(resolution, lastError));
			}

			switch (step.type) {
				case 'send': {
					const outcome = await this.#tryCommit(addNonce(transaction, nonceRow, nonce), nonceRow);
					lastError = outcome.type === 'applied' ? lastError : outcome.error;
					resolution = afterSend(resolution, outcome);
					this.#countOutcome(outcome);
					break;
				}

				case 'readNonceRow': {
					resolution = afterNonceRowRead(resolution, await this.#readNonceRow(nonceRow, nonce));
					break;
				}

				case 'sendBarrier': {
					resolution = afterBarrier(resolution, await this.#tryCommit(barrierTransaction(nonceRow, barrierOf(nonce)), nonceRow));
					break;
				}

				case 'useOtherNonceRow': {
					this.#nonceRows.discard();
					nonceRow = await this.#nonceRows.acquire();
					resolution = newResolution;
					break;
				}

				default: {
					assertNever(step);
				}
			}
		}
	}

	async readRows(keys: readonly string[]): Promise<readonly Row[]> {
		return this.#retryRead(async () => this.#table.readRows(keys));
	}

	async readPrefix(prefix: string, options?: PageOptions): Promise<RowPage> {
		return this.#retryRead(async () => this.#table.readPrefix(prefix, options));
	}

	async changesSince(prefix: string, revision: number, limit?: number): Promise<ChangePage> {
		return this.#retryRead(async () => this.#table.changesSince(prefix, revision, limit));
	}

	/** Returns true for the nonce rows of this instance. */
	ownsNonceRow(key: string): boolean {
		return this.#nonceRows.owns(key);
	}

	#isTimedOut(startedAtMs: number, resolution: CommitResolution): boolean {
		const limitMs = resolution.lostAnswer === undefined ? this.#retryTimeoutMs : this.#resolveTimeoutMs;
		return this.#clock.nowMs() - startedAtMs >= limitMs;
	}

	async #tryCommit(transaction: Transaction, nonceRow: NonceRow): Promise<CommitOutcome> {
		try {
			const {revision} = await this.#table.commit(transaction);
			return {type: 'applied', revision};
		} catch (error) {
			return outcomeOf(error, nonceRow);
		}
	}

	async #readNonceRow(nonceRow: NonceRow, nonce: string): Promise<NonceRowFinding> {
		try {
			const [row] = await this.#table.readRows([nonceRow.key]);
			const found = nonceOf(row?.value);
			if (row !== undefined && found === nonce) {
				return {type: 'ours', revision: row.version};
			}

			if (row !== undefined && found === barrierOf(nonce)) {
				return {type: 'barrier', revision: row.version};
			}

			return {type: (row?.version ?? 0) === nonceRow.version ? 'unchanged' : 'foreign'};
		} catch (error) {
			if (error instanceof PlatformError) {
				return {type: 'unavailable', error};
			}

			throw error;
		}
	}

	#finish(nonceRow: NonceRow, result: ResolvedCommit): CommitResult {
		this.#metrics.increment(`table_commits_${result.type}_total`);
		switch (result.type) {
			case 'applied': {
				this.#nonceRows.release({key: nonceRow.key, version: result.revision});
				return {revision: result.revision};
			}

			case 'conflict':
			case 'rejected': {
				this.#nonceRows.release({key: nonceRow.key, version: result.nonceRowRevision ?? nonceRow.version});
				throw errorOf(result);
			}

			case 'unavailable': {
				this.#nonceRows.release(nonceRow);
				throw errorOf(result);
			}

			case 'unknown': {
				this.#nonceRows.discard();
				throw errorOf(result);
			}

			default: {
				return assertNever(result);
			}
		}
	}

	#countOutcome(outcome: CommitOutcome): void {
		if (outcome.type === 'unknown') {
			this.#metrics.increment('table_commit_answers_lost_total');
		} else if (outcome.type === 'unavailable') {
			this.#metrics.increment('table_commit_retries_total');
		}
	}

	async #retryRead<Result>(read: () => Promise<Result>): Promise<Result> {
		const startedAtMs = this.#clock.nowMs();
		for (let attempt = 1; ; attempt++) {
			try {
				return await read();
			} catch (error) {
				const isTimedOut = this.#clock.nowMs() - startedAtMs >= this.#retryTimeoutMs;
				if (!(error instanceof UnavailableError) || isTimedOut) {
					throw error;
				}
			}

			await pauseFor(this.#clock, backoffMs(this.#backoff, attempt, this.#random));
		}
	}
}

const barrierOf = (nonce: string): string => `${nonce}.barrier`;
