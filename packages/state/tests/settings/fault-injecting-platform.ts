/**
An in-memory platform that injects faults at given rates: calls that are not applied, lost responses, transactions that are applied late, missing snapshots. It records every accepted change.
*/
import {type Clock, SeededRandom} from '@poplarnotch/common';
import {
	type CommitResult, ConflictError, type ObjectCondition, type ObjectStore, type PageOptions, type Row, type RowPage, type StoredObject,
	type TableService, type Transaction, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {MemoryObjectStore, MemoryTableService} from '@poplarnotch/standin';
import {logPrefix, changeFromJson} from '../../src/settings/rows.js';
import {type SettingsChange} from '../../src/types.js';

/** Share of calls that each fault affects. */
export type FaultRates = {
	readonly unavailable: number;
	readonly lostResponse: number;
	readonly delayedApply: number;
	readonly missingObject: number;
};

export const noFaults: FaultRates = {
	unavailable: 0, lostResponse: 0, delayedApply: 0, missingObject: 0,
};

/** A clock that skips every delay: a scheduled callback runs in the next turn of the event loop. */
export class ImmediateClock implements Clock {
	#nowMs = 0;

	nowMs(): number {
		return this.#nowMs;
	}

	wallTimeMs(): number {
		return this.#nowMs;
	}

	schedule(delayMs: number, callback: () => void): () => void {
		const handle = setImmediate(() => {
			this.#nowMs += delayMs;
			callback();
		});
		return () => {
			clearImmediate(handle);
		};
	}
}

/** The table service and the object store with injected faults. */
export class FaultInjectingPlatform {
	readonly inner = new MemoryTableService();
	readonly innerObjects = new MemoryObjectStore();
	/** Accepted changes in the order of acceptance. */
	readonly accepted: SettingsChange[] = [];
	faults: FaultRates;
	reads = 0;
	readonly #random: SeededRandom;
	readonly #delayedCommits: Transaction[] = [];

	constructor(seed: number, faults: FaultRates = noFaults) {
		this.#random = new SeededRandom(seed);
		this.faults = faults;
	}

	get table(): TableService {
		return {
			commit: async transaction => this.#commit(transaction),
			readRows: async keys => this.#read(async () => this.inner.readRows(keys)),
			readPrefix: async (prefix: string, options?: PageOptions): Promise<RowPage> => this.#read(async () => this.inner.readPrefix(prefix, options)),
			changesSince: async (prefix, revision, limit) => this.#read(async () => this.inner.changesSince(prefix, revision, limit)),
		};
	}

	get objects(): ObjectStore {
		return {
			get: async (key: string): Promise<StoredObject | undefined> => this.#read(async () => this.#shouldFail('missingObject') ? undefined : this.innerObjects.get(key)),
			put: async (key: string, text: string, condition: ObjectCondition): Promise<string> => {
				this.#injectUnavailable();
				const etag = await this.innerObjects.put(key, text, condition);
				this.#injectLostResponse();
				return etag;
			},
		};
	}

	/** Applies the delayed transactions whose conditions still hold. */
	async applyDelayedCommits(): Promise<void> {
		for (const transaction of this.#delayedCommits.splice(0)) {
			try {
				await this.#apply(transaction);
			} catch (error) {
				if (!(error instanceof ConflictError)) {
					throw error;
				}
			}
		}
	}

	#shouldFail(fault: keyof FaultRates): boolean {
		return this.#random.next() < this.faults[fault];
	}

	#injectUnavailable(): void {
		if (this.#shouldFail('unavailable')) {
			throw new UnavailableError('scripted');
		}
	}

	#injectLostResponse(): void {
		if (this.#shouldFail('lostResponse')) {
			throw new WriteOutcomeUnknownError('scripted');
		}
	}

	async #read<Value>(read: () => Promise<Value>): Promise<Value> {
		this.reads++;
		this.#injectUnavailable();
		if (this.#shouldFail('delayedApply')) {
			await this.applyDelayedCommits();
		}

		return read();
	}

	async #commit(transaction: Transaction): Promise<CommitResult> {
		this.#injectUnavailable();
		if (this.#shouldFail('delayedApply')) {
			this.#delayedCommits.push(transaction);
			throw new WriteOutcomeUnknownError('scripted');
		}

		const result = await this.#apply(transaction);
		this.#injectLostResponse();
		return result;
	}

	async #apply(transaction: Transaction): Promise<CommitResult> {
		const result = await this.inner.commit(transaction);
		for (const write of transaction.writes) {
			if (write.type === 'put' && write.key.startsWith(logPrefix)) {
				this.accepted.push(changeFromJson(structuredClone(write.value)));
			}
		}

		return result;
	}
}

/** The row under a key. */
export const rowOf = async (platform: FaultInjectingPlatform, key: string): Promise<Row | undefined> => {
	const [row] = await platform.inner.readRows([key]);
	return row;
};
