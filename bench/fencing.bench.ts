/**
Measures how many stale writes of paused lease holders a fence prevents. Real lease contenders run in virtual time against an in-memory table service; holders check their lease, are paused at random, and write. A write is stale if another process held the lease in the table service when the write was applied.

`npm run bench -- fencing [hours]`
*/
import {SeededRandom, VirtualClock} from '@poplarnotch/common';
import {
	ConflictError, pauseFor, type RowCondition, type TableService, type Transaction,
} from '@poplarnotch/platform';
import {advanceVirtualTime, MemoryTableService, PausableProcess} from '@poplarnotch/standin';
import {type HeldLease, LeaseContender} from '@poplarnotch/state';

/** Conditions by which a holder protects its writes: none besides the lease check, the version of the row, or the lease's fence. */
type WriteGuard = 'leaseCheckOnly' | 'rowVersion' | 'fence';

type Figures = {
	readonly writes: number;
	readonly staleWrites: number;
	readonly refusedWrites: number;
	readonly holderChanges: number;
};

const leaseName = 'wave-bench';
const leaseRow = `leases/${leaseName}`;
const progressRow = `waves/${leaseName}`;
const processCount = 4;
const leaseMs = 5000;
const workIntervalMs = 500;
/** Time between a holder's lease check and its write. */
const decisionMs = 100;
const pauseCheckMs = 1000;
const pauseChance = 0.05;
const longestPauseMs = 20_000;
const longestCallMs = 40;
const stepMs = 10;
const defaultHours = 1;
const msPerHour = 3_600_000;

const holderOf = (index: number): string => `controller-${index}@1`;

/** In-memory table that delays calls and counts writes to the progress row, separately those whose writer no longer held the lease. */
class InstrumentedTable implements TableService {
	writes = 0;
	staleWrites = 0;
	readonly inner = new MemoryTableService();
	readonly #clock: VirtualClock;
	readonly #random: SeededRandom;

	constructor(clock: VirtualClock, random: SeededRandom) {
		this.#clock = clock;
		this.#random = random;
	}

	async commit(transaction: Transaction) {
		await this.#delay();
		const result = this.inner.commitNow(transaction);
		for (const write of transaction.writes) {
			if (write.type === 'put' && write.key === progressRow) {
				this.#countWrite(write.value as {readonly by: string});
			}
		}

		await this.#delay();
		return result;
	}

	async readRows(keys: readonly string[]) {
		await this.#delay();
		return this.inner.readRows(keys);
	}

	async readPrefix(prefix: string) {
		await this.#delay();
		return this.inner.readPrefix(prefix);
	}

	async changesSince(prefix: string, revision: number) {
		await this.#delay();
		return this.inner.changesSince(prefix, revision);
	}

	#countWrite({by}: {readonly by: string}): void {
		const lease = this.inner.valueOf(leaseRow) as {readonly holder: string} | undefined;
		this.writes++;
		if (lease?.holder !== by) {
			this.staleWrites++;
		}
	}

	async #delay(): Promise<void> {
		const delayMs = 1 + (this.#random.next() * longestCallMs);
		await new Promise<void>(resolve => {
			this.#clock.schedule(delayMs, resolve);
		});
	}
}

const conditionsOf = (guard: WriteGuard, lease: HeldLease, version: number): readonly RowCondition[] => {
	switch (guard) {
		case 'leaseCheckOnly': {
			return [];
		}

		case 'rowVersion': {
			return [{key: progressRow, version}];
		}

		case 'fence': {
			return [lease.fence];
		}
	}
};

const measure = async (guard: WriteGuard, durationMs: number): Promise<Figures> => {
	const clock = new VirtualClock();
	const random = new SeededRandom(23);
	const table = new InstrumentedTable(clock, random);
	const figures = {refusedWrites: 0, holderChanges: 0};

	/** Checks the lease, reads, decides and writes, like any lease holder. The process may be paused between any two of these steps. */
	const work = async (process: PausableProcess, contender: LeaseContender, by: string): Promise<void> => {
		const lease = contender.heldLease(leaseName);
		if (lease === undefined) {
			return;
		}

		await pauseFor(process, decisionMs);
		const pausableTable = process.wrapTable(table);
		const [row] = await pausableTable.readRows([progressRow]);
		const step = Number((row?.value as {readonly step?: number} | undefined)?.step ?? 0) + 1;
		try {
			await pausableTable.commit({
				conditions: conditionsOf(guard, lease, row?.version ?? 0),
				writes: [{type: 'put', key: progressRow, value: {step, by}}],
			});
		} catch (error) {
			if (!(error instanceof ConflictError)) {
				throw error;
			}

			figures.refusedWrites++;
		}
	};

	for (let index = 0; index < processCount; index++) {
		const process = new PausableProcess(clock);
		const contender = new LeaseContender({
			table: process.wrapTable(table), holder: holderOf(index), leaseMs, clock: process,
		});
		contender.contend(leaseName, lease => {
			figures.holderChanges += lease === undefined ? 0 : 1;
		});
		const workRepeatedly = (): void => {
			void work(process, contender, holderOf(index));
			process.schedule(workIntervalMs, workRepeatedly);
		};

		const pauseAtRandom = (): void => {
			if (!process.isPaused && random.next() < pauseChance) {
				process.pause(random.next() * longestPauseMs);
			}

			clock.schedule(pauseCheckMs * (0.5 + random.next()), pauseAtRandom);
		};

		workRepeatedly();
		pauseAtRandom();
	}

	await advanceVirtualTime(clock, durationMs, stepMs);
	return {writes: table.writes, staleWrites: table.staleWrites, ...figures};
};

/** Measures each guard over the same duration. */
export const run = async (options: readonly string[]): Promise<Record<string, unknown>> => {
	const hours = Number(options[0] ?? defaultHours);
	const leaseCheckOnly = await measure('leaseCheckOnly', hours * msPerHour);
	const rowVersion = await measure('rowVersion', hours * msPerHour);
	const fence = await measure('fence', hours * msPerHour);
	return {
		virtualHours: hours,
		processes: processCount,
		leaseMs,
		longestPauseMs,
		leaseCheckOnly,
		rowVersion,
		fence,
		staleWritesFenced: fence.staleWrites,
		staleWritesFencedTarget: 0,
	};
};
