/**
The claim stores of several gates over one table service, on virtual time.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	MetricsRegistry, SeededRandom, silentLogger, VirtualClock,
} from '@poplarnotch/common';
import {MemoryTableService} from '@poplarnotch/standin';
import {ClaimStore} from '../../src/claims/claim-store.js';
import {type BatcherOptions, CommitBatcher} from '../../src/claims/commit-batcher.js';
import {RowReader} from '../../src/claims/row-reader.js';
import {FaultyTable} from './faulty-table.js';

export const batcherOptions: BatcherOptions = {
	lingerMs: 2, slowLingerMs: 20, maxGroupSize: 100, maxGroupBytes: 262_144, maxInFlight: 2, writesPerSecond: 1000, writeBurst: 100, callTimeoutMs: 300,
};

export type ClaimGate = {
	readonly holder: string;
	readonly store: ClaimStore;
	readonly batcher: CommitBatcher;
};

/** Creates gates with claim stores, and the faulty table service that they share. */
export class ClaimFleet {
	readonly clock = new VirtualClock();
	readonly memory = new MemoryTableService();
	readonly random: SeededRandom;
	readonly table: FaultyTable;
	readonly goneHolders = new Set<string>();
	#gates = 0;

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
		this.table = new FaultyTable(this.memory, this.clock, this.random);
	}

	createGate(): ClaimGate {
		this.#gates++;
		const holder = `gate-${this.#gates}@${this.#gates}`;
		const batcher = new CommitBatcher(this.table, this.clock, batcherOptions);
		const store = new ClaimStore({
			holder: () => holder,
			batcher,
			reader: new RowReader(this.table, this.clock, batcherOptions.callTimeoutMs),
			holders: {isGone: async name => this.goneHolders.has(name)},
			clock: this.clock,
			settleTimeoutMs: 600,
			log: silentLogger,
			metrics: new MetricsRegistry(),
		});
		return {holder, store, batcher};
	}

	/** Advances the virtual clock in small steps, so that promise callbacks and timers alternate. */
	async advanceTime(durationMs: number, stepMs = 10): Promise<void> {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			await nextTurn();
			this.clock.advance(stepMs);
		}

		await nextTurn();
	}
}
