/**
Reads of a replica that overlap, over a table that answers its calls in any order, fails some of them, cuts its answers and drops its history. Guards against a row that is lost for good, one that comes back, and a copy that counts as whole without being so (TWICE).
*/
import {expect, test} from 'vitest';
import {type Clock, SeededRandom, VirtualClock} from '@poplarnotch/common';
import {
	type ChangePage, HistoryLostError, type Row, type RowChange, type RowListing, UnavailableError, type WatchableTable,
} from '@poplarnotch/platform';
import {advanceVirtualTime} from '@poplarnotch/standin';
import {TableReplica} from '@poplarnotch/state';

const prefix = 'jobs/';
const parts = ['a', 'b', 'c', 'd'];
const keysPerPart = 3;
const stepMs = 5;

type Snapshot = {readonly atMs: number; readonly version: number; readonly versions: ReadonlyMap<string, number>};

class BusyTable {
	readonly snapshots: Snapshot[] = [];
	readonly deletedVersions = new Map<string, number>();
	isFailing = true;
	readonly #clock: Clock;
	readonly #random: SeededRandom;
	readonly #rows = new Map<string, Row>();
	#log: RowChange[] = [];
	#version = 0;
	#keptFrom = 0;
	readonly #maxChanges: number;

	constructor(clock: Clock, random: SeededRandom, maxChanges: number) {
		this.#clock = clock;
		this.#random = random;
		this.#maxChanges = maxChanges;
		this.write();
	}

	draw(count: number): number {
		return Math.floor(this.#random.next() * count);
	}

	/** Writes or deletes some rows in one transaction. */
	write(): void {
		this.#version++;
		const keys = new Set(Array.from({length: 1 + this.draw(3)}, () => `${prefix}${parts[this.draw(parts.length)]!}/${this.draw(keysPerPart)}`));
		for (const key of keys) {
			const value = this.#rows.has(key) && this.#random.next() < 0.4 ? undefined : this.#version;
			if (value === undefined) {
				this.#rows.delete(key);
				this.deletedVersions.set(key, this.#version);
			} else {
				this.#rows.set(key, {key, value, version: this.#version});
			}

			this.#log.push({key, value, version: this.#version});
		}

		this.snapshots.push({atMs: this.#clock.nowMs(), version: this.#version, versions: new Map([...this.#rows].map(([key, {version}]) => [key, version]))});
	}

	dropHistory(): void {
		this.#keptFrom = this.#version;
		this.#log = [];
	}

	async listRows(): Promise<RowListing> {
		const revision = await this.readRevision();
		const rows: Row[] = [];
		for (const part of parts) {
			await this.#transit();
			rows.push(...[...this.#rows.values()].filter(({key}) => key.startsWith(`${prefix}${part}/`)));
			await this.#transit();
		}

		return {rows, revision};
	}

	async readRevision(): Promise<number> {
		await this.#transit();
		const version = this.#version;
		await this.#transit();
		return version;
	}

	async waitForChanges(_prefix: string, revision: number, waitMs: number): Promise<ChangePage> {
		await this.#transit();
		const untilMs = this.#clock.nowMs() + waitMs;
		for (;;) {
			if (revision < this.#keptFrom) {
				throw new HistoryLostError('dropped');
			}

			const page = this.#changesAfter(revision);
			if (page.changes.length > 0 || this.#clock.nowMs() >= untilMs) {
				await this.#transit();
				return page;
			}

			await this.#wait(10);
		}
	}

	/** A cut answer ends with a whole transaction, and its revision is that transaction's. */
	#changesAfter(revision: number): ChangePage {
		const found = this.#log.filter(({version}) => version > revision);
		const lastVersion = found[this.#maxChanges - 1]?.version;
		const isCut = lastVersion !== undefined && found.at(-1)!.version > lastVersion;
		const changes = isCut ? found.filter(({version}) => version <= lastVersion) : found;
		return {changes, revision: isCut ? lastVersion : this.#version, hasMore: changes.length > 0};
	}

	async #transit(): Promise<void> {
		await this.#wait(this.draw(10) === 0 ? this.draw(400) : this.draw(40));
		if (this.isFailing && this.draw(60) === 0) {
			throw new UnavailableError('no answer');
		}
	}

	async #wait(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#clock.schedule(durationMs, resolve);
		});
	}
}

/** Returns the keys of which the copy lacks something that was acknowledged before the given time, or holds something that was gone by then. */
const lackingKeys = (copy: ReadonlyMap<string, number>, table: BusyTable, beforeMs: number): readonly string[] => {
	const snapshot = table.snapshots.findLast(({atMs}) => atMs < beforeMs);
	if (snapshot === undefined) {
		return [];
	}

	const lost = [...snapshot.versions].filter(([key, version]) => (copy.get(key) ?? 0) < version && !(copy.get(key) === undefined && (table.deletedVersions.get(key) ?? 0) > version));
	const stale = [...copy].filter(([key, version]) => !snapshot.versions.has(key) && version <= snapshot.version);
	return [...lost, ...stale].map(([key]) => key);
};

const runOnce = async (seed: number): Promise<void> => {
	const random = new SeededRandom(seed);
	const clock = new VirtualClock();
	const table = new BusyTable(clock, random, 1 + (seed % 10));
	const copy = new Map<string, number>();
	const newest = new Map<string, number>();
	let isActive = true;
	let failures = 0;
	let isDelivering = false;
	const replica = new TableReplica({
		table: table as unknown as WatchableTable, prefix, waitMs: 300, pauseMs: () => 20, isActive: () => isActive, clock,
		onChanges(changes) {
			for (const {key, value, version} of changes) {
				// A row that is older than one that was passed on before.
				expect(version, `seed ${seed}: ${key}`).toBeGreaterThanOrEqual(newest.get(key) ?? 0);
				newest.set(key, version);
				if (value === undefined) {
					copy.delete(key);
				} else {
					copy.set(key, version);
				}
			}

			// The listener fails on whole batches now and then, but not on single rows.
			isDelivering = !isDelivering;
			if (changes.length > 1 && isDelivering) {
				failures++;
				throw new TypeError('a batch');
			}
		},
	});
	replica.start();
	const readers: Array<Promise<void>> = [];
	let refreshes = 0;
	const refresh = async (): Promise<void> => {
		const sentAtMs = clock.nowMs();
		try {
			await replica.refresh();
			refreshes++;
			expect(lackingKeys(copy, table, sentAtMs), `seed ${seed}: refresh at ${sentAtMs}`).toEqual([]);
		} catch (error) {
			if (!(error instanceof UnavailableError)) {
				throw error;
			}
		}
	};

	for (let elapsedMs = 0; elapsedMs < 8000; elapsedMs += stepMs) {
		const writesAtOnce = table.draw(40) === 0 ? 10 : 1;
		for (let count = 0; count < writesAtOnce && table.draw(3) === 0; count++) {
			table.write();
		}

		if (table.draw(100) === 0) {
			table.dropHistory();
		}

		if (table.draw(15) === 0) {
			readers.push(refresh());
		}

		if (table.draw(40) === 0) {
			replica.readNow();
		}

		if (table.draw(150) === 0) {
			isActive = !isActive;
			replica.endPause();
		}

		await advanceVirtualTime(clock, stepMs, stepMs);
		if (replica.confirmedAtMs !== undefined) {
			expect(lackingKeys(copy, table, replica.confirmedAtMs), `seed ${seed}: confirmed at ${replica.confirmedAtMs}`).toEqual([]);
		}
	}

	isActive = true;
	table.isFailing = false;
	await advanceVirtualTime(clock, 4000, stepMs);
	await Promise.all(readers);
	await Promise.all([refresh(), advanceVirtualTime(clock, 4000, stepMs)]);
	replica.stop();
	expect(Object.fromEntries(copy), `seed ${seed}`).toEqual(Object.fromEntries(table.snapshots.at(-1)!.versions));
	expect(refreshes).toBeGreaterThan(10);
	expect(failures).toBeGreaterThan(0);
};

test.each(Array.from({length: 20}, (_value, index) => index + 1))('a copy holds all that was acknowledged before its confirmation, and nothing older than it had: seed %i', runOnce, 30_000);
