/**
Groups changes of single rows into transactions, so that the few hundred writes a second that the table service accepts carry thousands of changes.

A transaction is applied whole or not at all. Where some rows of a group changed meanwhile, only their changes report a conflict; the others go into the next group. While the table service is down, changes with `failsFast` are refused at once, except for one probe at a time.
*/
import {type CancelTimer, type Clock, type JsonValue} from '@poplarnotch/common';
import {ConflictError, type TableService, UnavailableError} from '@poplarnotch/platform';
import {withTimeout} from './with-timeout.js';
import {WriteRateLimiter} from './write-rate-limiter.js';

/** A change of one row, applied only while the row has the expected version. */
export type RowChangeRequest = {
	readonly key: string;
	readonly expectedVersion: number;
	/** `undefined` deletes the row. */
	readonly value: JsonValue | undefined;
	readonly sizeBytes: number;
	/** Whether to report `unavailable` at once while the table service is down. */
	readonly failsFast: boolean;
};

/** The result of a change. */
export type RowChangeResult
	= | {readonly type: 'applied'; readonly version: number}
		| {readonly type: 'conflict'}
	/** The change was certainly not applied. */
		| {readonly type: 'unavailable'}
	/** The change may have been applied, or may still be. */
		| {readonly type: 'unknown'};

export type BatcherOptions = {
	/** Time for which a change with `failsFast` waits to be grouped with others. */
	readonly lingerMs: number;
	/** The same for changes without `failsFast`. */
	readonly slowLingerMs: number;
	readonly maxGroupSize: number;
	readonly maxGroupBytes: number;
	readonly maxInFlight: number;
	/** Sustained rate of transactions. */
	readonly writesPerSecond: number;
	/** Transactions that may be sent at once after an idle time. */
	readonly writeBurst: number;
	readonly callTimeoutMs: number;
};

type PendingChange = {
	readonly change: RowChangeRequest;
	readonly resolve: (result: RowChangeResult) => void;
};

type Timer = {
	readonly dueMs: number;
	readonly cancel: CancelTimer;
};

/** Time between two probes of a table service that is down. */
const probeIntervalMs = 100;

const toTableWrite = ({key, value}: RowChangeRequest) =>
	value === undefined ? {type: 'delete', key} as const : {type: 'put', key, value} as const;

/** Commits row changes in groups, at a limited rate. */
export class CommitBatcher {
	#pending: PendingChange[] = [];
	#inFlight = 0;
	#timer: Timer | undefined;
	#isDown = false;
	#isStopped = false;
	#lastProbeMs = Number.NEGATIVE_INFINITY;
	#changesCount = 0;
	#transactionsCount = 0;
	readonly #table: TableService;
	readonly #clock: Clock;
	readonly #options: BatcherOptions;
	readonly #rateLimiter: WriteRateLimiter;

	constructor(table: TableService, clock: Clock, options: BatcherOptions) {
		this.#table = table;
		this.#clock = clock;
		this.#options = options;
		this.#rateLimiter = new WriteRateLimiter(options.writesPerSecond, options.writeBurst);
	}

	/** Numbers of changes and transactions sent so far. */
	get counts(): {readonly changes: number; readonly transactions: number} {
		return {changes: this.#changesCount, transactions: this.#transactionsCount};
	}

	/** Whether the last call failed for another reason than a conflict. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Stops sending. The results of pending and later changes never resolve, as after a crash. */
	stop(): void {
		this.#isStopped = true;
		this.#pending = [];
		this.#timer?.cancel();
	}

	/** Queues the change to be committed together with others. Never rejects. */
	async submit(change: RowChangeRequest): Promise<RowChangeResult> {
		if (change.failsFast && this.#isDown && !this.#mayProbe()) {
			return {type: 'unavailable'};
		}

		return new Promise(resolve => {
			if (this.#isStopped) {
				return;
			}

			this.#pending.push({change, resolve});
			if (this.#pending.length >= this.#options.maxGroupSize) {
				this.#sendGroups();
			} else {
				this.#schedule(change.failsFast ? this.#options.lingerMs : this.#options.slowLingerMs);
			}
		});
	}

	#mayProbe(): boolean {
		const nowMs = this.#clock.nowMs();
		if (this.#inFlight > 0 || nowMs - this.#lastProbeMs < probeIntervalMs) {
			return false;
		}

		this.#lastProbeMs = nowMs;
		return true;
	}

	#schedule(delayMs: number): void {
		const dueMs = this.#clock.nowMs() + delayMs;
		if (this.#timer !== undefined && this.#timer.dueMs <= dueMs) {
			return;
		}

		this.#timer?.cancel();
		const cancel = this.#clock.schedule(delayMs, () => {
			this.#timer = undefined;
			this.#sendGroups();
		});
		this.#timer = {dueMs, cancel};
	}

	#sendGroups(): void {
		while (this.#pending.length > 0 && this.#inFlight < this.#options.maxInFlight) {
			const waitMs = this.#rateLimiter.take(this.#clock.nowMs());
			if (waitMs > 0) {
				this.#schedule(waitMs);
				return;
			}

			void this.#send(this.#takeGroup());
		}
	}

	/** Removes the oldest pending changes that fit into a group, at most one for each row. */
	#takeGroup(): readonly PendingChange[] {
		const {maxGroupSize, maxGroupBytes} = this.#options;
		const group: PendingChange[] = [];
		const deferred: PendingChange[] = [];
		const keys = new Set<string>();
		let sizeBytes = 0;
		for (const entry of this.#pending) {
			const fits = group.length === 0
				|| (group.length < maxGroupSize && sizeBytes + entry.change.sizeBytes <= maxGroupBytes);
			if (!fits || keys.has(entry.change.key)) {
				deferred.push(entry);
				continue;
			}

			keys.add(entry.change.key);
			sizeBytes += entry.change.sizeBytes;
			group.push(entry);
		}

		this.#pending = deferred;
		return group;
	}

	async #send(group: readonly PendingChange[]): Promise<void> {
		this.#inFlight++;
		this.#transactionsCount++;
		this.#changesCount += group.length;
		try {
			const {revision} = await withTimeout(this.#clock, this.#options.callTimeoutMs, this.#table.commit({
				conditions: group.map(({change}) => ({key: change.key, version: change.expectedVersion})),
				writes: group.map(({change}) => toTableWrite(change)),
			}));
			this.#isDown = false;
			for (const entry of group) {
				entry.resolve({type: 'applied', version: revision});
			}
		} catch (error) {
			this.#resolveFailed(group, error);
		} finally {
			this.#inFlight--;
			this.#sendGroups();
		}
	}

	#resolveFailed(group: readonly PendingChange[], error: unknown): void {
		if (error instanceof ConflictError) {
			this.#isDown = false;
			this.#resolveConflicts(group, new Set(error.conflicts.map(conflict => conflict.key)));
			return;
		}

		this.#isDown = true;
		this.#lastProbeMs = this.#clock.nowMs();
		const type = error instanceof UnavailableError ? 'unavailable' : 'unknown';
		for (const entry of group) {
			entry.resolve({type});
		}

		this.#refuseFailFast();
	}

	#resolveConflicts(group: readonly PendingChange[], conflicting: ReadonlySet<string>): void {
		const namesGroupRow = group.some(entry => conflicting.has(entry.change.key));
		const unaffected: PendingChange[] = [];
		for (const entry of group) {
			// If the conflict names none of the group's rows, every change reports a conflict, so that its row is read back.
			if (!namesGroupRow || conflicting.has(entry.change.key)) {
				entry.resolve({type: 'conflict'});
			} else {
				unaffected.push(entry);
			}
		}

		this.#pending = [...unaffected, ...this.#pending];
	}

	#refuseFailFast(): void {
		const refused = this.#pending.filter(entry => entry.change.failsFast);
		this.#pending = this.#pending.filter(entry => !entry.change.failsFast);
		for (const entry of refused) {
			entry.resolve({type: 'unavailable'});
		}
	}
}
