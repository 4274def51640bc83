/**
Tests a replica with a table service that drops its history and responds late.
*/
import {VirtualClock} from '@poplarnotch/common';
import {
	type ChangePage, HistoryLostError, type RowChange, type RowListing, type WatchableTable,
} from '@poplarnotch/platform';
import {advanceVirtualTime} from '@poplarnotch/standin';
import {expect, test} from 'vitest';
import {TableReplica} from '@poplarnotch/state';

type Script = {
	readonly listRows: () => Promise<RowListing>;
	/** By default, the table names no newer revision than its answers of changes. */
	readonly readRevision?: () => Promise<number>;
	readonly waitForChanges: (revision: number, waitMs: number) => Promise<ChangePage>;
};

const replicaOf = (script: Script): {readonly replica: TableReplica; readonly rows: Map<string, unknown>} => {
	const rows = new Map<string, unknown>();
	const replica = new TableReplica({
		table: {
			listRows: script.listRows,
			readRevision: script.readRevision ?? (async () => 0),
			waitForChanges: async (_prefix: string, revision: number, waitMs: number) => script.waitForChanges(revision, waitMs),
		} as unknown as WatchableTable,
		prefix: 'jobs/', waitMs: 1000, pauseMs: () => 0, clock: new VirtualClock(),
		onChanges(changes: readonly RowChange[]) {
			for (const {key, value} of changes) {
				if (value === undefined) {
					rows.delete(key);
				} else {
					rows.set(key, value);
				}
			}
		},
	});
	return {replica, rows};
};

test('after the history was dropped, all rows are listed and missing rows are removed', async () => {
	let listing: RowListing = {rows: [{key: 'jobs/a', value: 1, version: 1}, {key: 'jobs/b', value: 2, version: 2}], revision: 2};
	const {replica, rows} = replicaOf({
		listRows: async () => listing,
		async waitForChanges() {
			throw new HistoryLostError('dropped');
		},
	});
	await replica.refresh();
	listing = {rows: [{key: 'jobs/b', value: 3, version: 7}], revision: 9};
	await replica.refresh();
	expect([...rows]).toEqual([['jobs/b', 3]]);
	expect(replica.revision).toBe(9);
});

test('a late response does not overwrite newer rows', async () => {
	const pages: ChangePage[] = [
		{changes: [{key: 'jobs/a', value: 'new', version: 5}], revision: 5, hasMore: false},
		{changes: [{key: 'jobs/a', value: 'old', version: 4}], revision: 4, hasMore: false},
	];
	const {replica, rows} = replicaOf({
		listRows: async () => ({rows: [], revision: 3}),
		waitForChanges: async () => pages.shift()!,
	});
	await replica.refresh();
	await replica.refresh();
	await replica.refresh();
	expect([...rows]).toEqual([['jobs/a', 'new']]);
	expect(replica.revision).toBe(5);
});

test('readers join a pending listing, and then see rows that were stored after it began', async () => {
	let listings = 0;
	let finish: ((listing: RowListing) => void) | undefined;
	const {replica, rows} = replicaOf({
		async listRows() {
			listings++;
			return new Promise(resolve => {
				finish = resolve;
			});
		},
		readRevision: async () => 4,
		waitForChanges: async () => ({changes: [{key: 'jobs/b', value: 2, version: 4}], revision: 4, hasMore: false}),
	});
	replica.start();
	const reader = replica.refresh();
	await Promise.resolve();
	expect(listings).toBe(1);
	finish!({rows: [{key: 'jobs/a', value: 1, version: 1}], revision: 3});
	await reader;
	replica.stop();
	expect(listings).toBe(1);
	expect([...rows.keys()]).toEqual(['jobs/a', 'jobs/b']);
});

test('a suspended replica makes no calls, and catches up at once when it is active again', async () => {
	const clock = new VirtualClock();
	const received: unknown[] = [];
	let calls = 0;
	let isActive = false;
	const replica = new TableReplica({
		table: {
			async listRows() {
				calls++;
				return {rows: [{key: 'jobs/a', value: 1, version: 1}], revision: 1};
			},
			async waitForChanges() {
				calls++;
				return {changes: [], revision: 1, hasMore: false};
			},
		} as unknown as WatchableTable,
		prefix: 'jobs/', waitMs: 1000, pauseMs: () => 500, isActive: () => isActive, clock,
		onChanges(changes) {
			received.push(...changes.map(({value}) => value));
		},
	});
	replica.start();
	await advanceVirtualTime(clock, 5000);
	expect(calls).toBe(0);
	isActive = true;
	replica.endPause();
	await advanceVirtualTime(clock, 10);
	expect(received).toEqual([1]);
	isActive = false;
	await advanceVirtualTime(clock, 1000);
	calls = 0;
	await advanceVirtualTime(clock, 5000);
	expect(calls).toBe(0);
	replica.stop();
});

test('a row on which the listener fails costs only itself, and the replica goes on', async () => {
	const applied: unknown[] = [];
	const pages: ChangePage[] = [
		{
			changes: [{key: 'jobs/a', value: 1, version: 5}, {key: 'jobs/odd', value: 'odd', version: 6}, {key: 'jobs/b', value: 2, version: 7}], revision: 7, hasMore: false,
		},
		{changes: [{key: 'jobs/c', value: 3, version: 8}], revision: 8, hasMore: false},
	];
	const replica = new TableReplica({
		table: {
			listRows: async () => ({rows: [], revision: 3}),
			readRevision: async () => 3,
			waitForChanges: async () => pages.shift()!,
		} as unknown as WatchableTable,
		prefix: 'jobs/', waitMs: 1000, pauseMs: () => 0, clock: new VirtualClock(),
		onChanges(changes) {
			if (changes.some(({value}) => value === 'odd')) {
				throw new RangeError('odd');
			}

			applied.push(...changes.map(({value}) => value));
		},
	});
	await replica.refresh();
	await replica.refresh();
	await replica.refresh();
	expect(applied).toEqual([1, 2, 3]);
	expect(replica.revision).toBe(8);
});

/** Lets pending promises settle. */
const passTurns = async (): Promise<void> => {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
};

test.each([
	{about: 'first listed', firstRevision: undefined},
	{about: 'listed again after the history was dropped', firstRevision: 3},
])('a row that is rewritten while rows are $about is held by the refreshed copy', async ({firstRevision}) => {
	const rewritten = {key: 'jobs/a', value: 2, version: 11};
	let newestRevision = firstRevision ?? 10;
	let finish: ((listing: RowListing) => void) | undefined;
	const {replica, rows} = replicaOf({
		listRows: async () => newestRevision === firstRevision
			? {rows: [], revision: firstRevision}
			: new Promise(resolve => {
				finish = resolve;
			}),
		readRevision: async () => newestRevision,
		async waitForChanges(revision) {
			if (revision < 10) {
				throw new HistoryLostError('dropped');
			}

			return {changes: [rewritten], revision: 11, hasMore: true};
		},
	});
	if (firstRevision !== undefined) {
		await replica.refresh();
		newestRevision = 10;
	}

	// The row was acknowledged at version 5 before the refresh, and is written again before its part is listed.
	const refreshed = replica.refresh();
	await passTurns();
	newestRevision = 11;
	finish!({rows: [rewritten], revision: 10});
	await refreshed;
	expect([...rows]).toEqual([['jobs/a', 2]]);
	expect(replica.revision).toBe(11);
});

/** A table whose answers hold at most `pageSize` changes. */
const pagedTable = (stored: () => number, pageSize: number): Script => ({
	listRows: async () => ({rows: [], revision: 0}),
	readRevision: async () => stored(),
	async waitForChanges(revision) {
		const last = Math.min(stored(), revision + pageSize);
		const changes = Array.from({length: last - revision}, (_value, index): RowChange => ({key: `jobs/${revision + index + 1}`, value: 1, version: revision + index + 1}));
		return {changes, revision: last, hasMore: last < stored()};
	},
});

test('a reader of a copy that has fallen behind sees what was acknowledged before, although it does not fit into one page', async () => {
	let stored = 0;
	const {replica, rows} = replicaOf(pagedTable(() => stored, 200));
	await replica.refresh();
	stored = 650;
	await replica.refresh();
	expect(rows.has('jobs/650')).toBe(true);
	expect(replica.revision).toBe(650);
});

test('a copy of a busy table is followed with one call for each change, and confirmed by few others', async () => {
	const clock = new VirtualClock();
	const calls = {waiting: 0, immediate: 0, revision: 0};
	let revision = 0;
	const maxAgeMs = 2000;
	const replica = new TableReplica({
		table: {
			listRows: async () => ({rows: [], revision}),
			async readRevision() {
				calls.revision++;
				return revision;
			},
			async waitForChanges(_prefix: string, afterRevision: number, waitMs: number) {
				calls[waitMs === 0 ? 'immediate' : 'waiting']++;
				if (waitMs > 0) {
					await new Promise<void>(resolve => {
						clock.schedule(50, resolve);
					});
					revision++;
				}

				const changes = revision > afterRevision ? [{key: 'jobs/a', value: revision, version: revision}] : [];
				return {changes, revision, hasMore: changes.length > 0};
			},
		} as unknown as WatchableTable,
		prefix: 'jobs/', waitMs: 1000, maxConfirmationAgeMs: maxAgeMs, pauseMs: () => 0, onChanges: () => undefined, clock,
	});
	replica.start();
	const ages: number[] = [];
	for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 10) {
		await advanceVirtualTime(clock, 10);
		ages.push(clock.nowMs() - (replica.confirmedAtMs ?? clock.nowMs()));
	}

	replica.stop();
	expect(calls.waiting).toBeGreaterThan(350);
	expect(calls.immediate).toBeLessThanOrEqual(10);
	expect(calls.revision).toBeLessThanOrEqual(10);
	expect(Math.max(...ages)).toBeLessThanOrEqual(maxAgeMs + 100);
});

test('a reader that joins a listing after the history was dropped sees rows that were stored after it began', async () => {
	let finish: ((listing: RowListing) => void) | undefined;
	let isDropped = false;
	const {replica, rows} = replicaOf({
		async listRows() {
			return isDropped
				? new Promise(resolve => {
					finish = resolve;
				})
				: {rows: [], revision: 1};
		},
		readRevision: async () => isDropped ? 4 : 1,
		async waitForChanges(revision) {
			if (isDropped && revision < 3) {
				throw new HistoryLostError('dropped');
			}

			return {changes: [{key: 'jobs/b', value: 2, version: 4}], revision: 4, hasMore: false};
		},
	});
	await replica.refresh();
	isDropped = true;
	replica.readNow();
	await passTurns();
	const reader = replica.refresh();
	await passTurns();
	finish!({rows: [{key: 'jobs/a', value: 1, version: 1}], revision: 3});
	await reader;
	expect([...rows.keys()]).toEqual(['jobs/a', 'jobs/b']);
});

test('a row that was removed while rows are listed does not come back with the listing', async () => {
	let finish: ((listing: RowListing) => void) | undefined;
	let isDropped = false;
	const pages: ChangePage[] = [{changes: [{key: 'jobs/a', value: undefined, version: 9}], revision: 9, hasMore: false}];
	const {replica, rows} = replicaOf({
		async listRows() {
			return isDropped
				? new Promise(resolve => {
					finish = resolve;
				})
				: {rows: [{key: 'jobs/a', value: 1, version: 1}], revision: 1};
		},
		async waitForChanges(_revision, waitMs) {
			if (waitMs === 0) {
				throw new HistoryLostError('dropped');
			}

			await passTurns();
			return pages.shift() ?? {changes: [], revision: 9, hasMore: false};
		},
	});
	await replica.refresh();
	isDropped = true;
	const reader = replica.refresh();
	await passTurns();
	// A waiting call is answered meanwhile.
	replica.start();
	await passTurns();
	await passTurns();
	expect([...rows.keys()]).toEqual([]);
	finish!({rows: [{key: 'jobs/a', value: 1, version: 1}], revision: 5});
	await reader;
	replica.stop();
	expect([...rows.keys()]).toEqual([]);
});

test('an answer without changes does not confirm a copy that is behind the newest revision', async () => {
	let calls = 0;
	const {replica, rows} = replicaOf({
		listRows: async () => ({rows: [], revision: 3}),
		readRevision: async () => calls === 0 ? 3 : 5,
		async waitForChanges(revision) {
			calls++;
			const isTold = calls > 4;
			return {changes: isTold ? [{key: 'jobs/a', value: 'done', version: 5}] : [], revision: isTold ? 5 : revision, hasMore: isTold};
		},
	});
	await replica.refresh();
	calls = 1;
	await replica.refresh();
	expect([...rows]).toEqual([['jobs/a', 'done']]);
});
