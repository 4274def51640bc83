/**
Tests the settings store with lost responses, late transactions, outages and concurrent operators.
*/
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {applyEdits, SeededRandom, type SettingsTree} from '@poplarnotch/common';
import {ConflictError, PlatformError} from '@poplarnotch/platform';
import {
	RevisionNotKeptError, SettingsBusyError, SettingsConflictError, SettingsRejectedError, SettingsUnreadableError,
} from '../../src/settings/errors.js';
import {headFromJson, headKey, logPrefix} from '../../src/settings/rows.js';
import {TableSettingsStore} from '../../src/settings/store.js';
import {touchSameSubtree} from '../../src/settings/subtrees.js';
import {SettingsTreeReader} from '../../src/settings/tree-reader.js';
import {type ChangeRequest, type SettingsChange} from '../../src/types.js';
import {
	FaultInjectingPlatform, noFaults, rowOf, ImmediateClock,
} from './fault-injecting-platform.js';

const storeOn = (platform: FaultInjectingPlatform, seed = 1, snapshotEveryChanges = 500, keptLogChanges = 10_000) => new TableSettingsStore({
	table: platform.table, objects: platform.objects, clock: new ImmediateClock(), random: new SeededRandom(seed), snapshotEveryChanges, keptLogChanges,
});

const teamChange = (changeId: string, team: string, share: number, expectedRevision?: number): ChangeRequest => ({
	changeId,
	author: 'op',
	reason: 'test',
	edits: [{path: `/teams/${team}/share`, value: share}, {path: `/teams/${team}/upperLimit`, value: 5}],
	expectedRevision,
	fences: [],
});

const treeOf = (changes: readonly SettingsChange[]): SettingsTree => {
	let tree: SettingsTree = new Map();
	for (const change of changes) {
		tree = applyEdits(tree, change.edits);
	}

	return tree;
};

type Outcome = {readonly request: ChangeRequest; readonly result: SettingsChange | Error};

const attempt = async (store: TableSettingsStore, request: ChangeRequest): Promise<Outcome> => {
	try {
		return {request, result: await store.commitChange(request)};
	} catch (error) {
		return {request, result: error as Error};
	}
};

const mayBeApplied = (result: SettingsChange | Error): boolean =>
	!(result instanceof Error) || (result instanceof PlatformError && result.mayBeApplied);

const changeArbitrary = fc.record({
	store: fc.nat({max: 2}),
	id: fc.nat({max: 12}),
	team: fc.constantFrom('red', 'blue', 'green'),
	share: fc.integer({min: 1, max: 9}),
});

const faultsArbitrary = fc.record({
	unavailable: fc.constantFrom(0, 0.05, 0.3),
	lostResponse: fc.constantFrom(0, 0.3),
	delayedApply: fc.constantFrom(0, 0.2),
	missingObject: fc.constantFrom(0, 0.5),
});

/** `SettingsUnreadableError` occurs when all snapshots are missing at once; `RevisionNotKeptError` occurs when the log keeps fewer changes than were accepted during one race. */
const expectedErrors = [PlatformError, SettingsBusyError, SettingsUnreadableError, RevisionNotKeptError];

const checkOutcome = ({request, result}: Outcome, accepted: readonly SettingsChange[]): void => {
	const stored = accepted.find(change => change.changeId === request.changeId);
	if (!(result instanceof Error)) {
		expect(result).toEqual(stored);
	} else if (result instanceof SettingsConflictError) {
		expect(accepted.find(change => change.revision === result.other.revision)).toEqual(result.other);
		expect(touchSameSubtree(result.other.edits, request.edits)).toBe(true);
	} else {
		expect(expectedErrors.some(expected => result instanceof expected)).toBe(true);
	}
};

describe('settings store', () => {
	test('under any faults, revisions form one sequence, each change id is applied once, and every result is correct', async () => {
		await fc.assert(fc.asyncProperty(
			fc.nat(),
			fc.boolean(),
			faultsArbitrary,
			fc.array(fc.array(changeArbitrary, {minLength: 1, maxLength: 5}), {minLength: 1, maxLength: 6}),
			async (seed, areIdsRepeated, faults, rounds) => {
				const platform = new FaultInjectingPlatform(seed, faults);
				// Ids are kept as long as the log, so the log is trimmed here only if no id is repeated.
				const stores = [1, 2, 3].map(index => storeOn(platform, seed + index, 3, areIdsRepeated ? 100 : 4));
				for (const [number, round] of rounds.entries()) {
					const before = platform.accepted.length;
					const outcomes = await Promise.all(round.map(async (change, index) => {
						const changeId = areIdsRepeated ? `id-${change.id}` : `id-${number}-${index}`;
						return attempt(stores[change.store]!, teamChange(changeId, change.team, change.share));
					}));
					for (const outcome of outcomes) {
						checkOutcome(outcome, platform.accepted);
					}

					// A change whose error says "not applied" must not be applied by late transactions.
					await platform.applyDelayedCommits();
					const applied = new Set(platform.accepted.slice(before).map(change => change.changeId));
					const open = new Set(outcomes.filter(({result}) => mayBeApplied(result)).map(({request}) => request.changeId));
					expect([...applied].filter(changeId => !open.has(changeId))).toEqual([]);
				}

				expect(platform.accepted.map(change => change.revision)).toEqual(platform.accepted.map((_change, index) => index + 1));
				platform.faults = {...noFaults, missingObject: 0};
				const newest = await new SettingsTreeReader(platform.table, platform.objects).readNewestTree();
				expect(newest.revision).toBe(platform.accepted.length);
				expect(newest.tree).toEqual(treeOf(platform.accepted));
			},
		), {seed: 41, numRuns: 150});
	});

	test('a change id that is still kept is applied once', async () => {
		await fc.assert(fc.asyncProperty(fc.nat(), faultsArbitrary, async (seed, faults) => {
			const platform = new FaultInjectingPlatform(seed, faults);
			const store = storeOn(platform, seed);
			const requests = Array.from({length: 6}, () => teamChange('same', 'red', 3));
			await Promise.all(requests.map(async request => attempt(store, request)));
			await platform.applyDelayedCommits();
			platform.faults = noFaults;
			const result = await store.commitChange(requests[0]!);
			expect(platform.accepted).toEqual([result]);
		}), {seed: 42, numRuns: 60});
	});

	test('changes of different subtrees both succeed; on the same subtree the later one fails with the earlier one as its conflict', async () => {
		const platform = new FaultInjectingPlatform(1);
		const stores = Array.from({length: 6}, (_value, index) => storeOn(platform, index));
		const unrelated = await Promise.all(stores.map(async (store, index) => attempt(store, teamChange(`u-${index}`, `team-${index}`, 1))));
		expect(unrelated.filter(({result}) => result instanceof Error)).toEqual([]);
		const racing = await Promise.all(stores.map(async (store, index) => attempt(store, teamChange(`r-${index}`, 'red', index + 1))));
		const winners = racing.filter(({result}) => !(result instanceof Error));
		expect(winners).toHaveLength(1);
		for (const {result} of racing) {
			if (result instanceof Error) {
				expect(result).toBeInstanceOf(SettingsConflictError);
				expect((result as SettingsConflictError).other).toEqual(winners[0]!.result);
			}
		}
	});

	test('a change with a fence that no longer holds is refused', async () => {
		const platform = new FaultInjectingPlatform(1);
		const {revision} = await platform.inner.commit({conditions: [], writes: [{type: 'put', key: 'leases/x', value: {term: 1}}]});
		await platform.inner.commit({conditions: [], writes: [{type: 'put', key: 'leases/x', value: {term: 2}}]});
		const request = {...teamChange('fenced', 'red', 1), fences: [{key: 'leases/x', version: revision}]};
		await expect(storeOn(platform).commitChange(request)).rejects.toBeInstanceOf(ConflictError);
		expect(platform.accepted).toEqual([]);
	});

	test('all findings are returned together and nothing is written', async () => {
		const platform = new FaultInjectingPlatform(1);
		const edits = [{path: '/teams/red/share', value: -1}, {path: '/nonsense', value: 1}, {path: '/hosts/h/pool', value: 'p'}];
		const error: unknown = await storeOn(platform).commitChange({...teamChange('bad', 'red', 1), edits}).catch((error: unknown) => error);
		expect(error).toBeInstanceOf(SettingsRejectedError);
		expect(new Set((error as SettingsRejectedError).findings.map(finding => finding.place))).toEqual(new Set([
			'/nonsense', '/teams/red/share', '/teams/red/upperLimit', '/hosts/h/dataCentre', '/hosts/h/rack', '/hosts/h/address',
		]));
		expect(platform.accepted).toEqual([]);
	});

	test('a new process reads a long history with few reads; the log is trimmed and a missing snapshot costs no data', async () => {
		const platform = new FaultInjectingPlatform(1);
		const store = storeOn(platform, 1, 50, 100);
		for (let index = 0; index < 420; index++) {
			await store.commitChange(teamChange(`c-${index}`, `team-${index % 40}`, (index % 9) + 1));
		}

		const head = headFromJson((await rowOf(platform, headKey))!.value);
		expect(head).toMatchObject({revision: 420, snapshotRevision: 400, trimmedRevision: 300});
		const log = await platform.inner.readPrefix(logPrefix);
		expect(log.rows).toHaveLength(120);
		platform.reads = 0;
		const reader = new SettingsTreeReader(platform.table, platform.objects);
		const newest = await reader.readNewestTree();
		expect(newest.tree).toEqual(treeOf(platform.accepted));
		expect(platform.reads).toBeLessThanOrEqual(3);
		const older = new SettingsTreeReader(platform.table, {
			...platform.objects, get: async key => key.endsWith('/400') ? undefined : platform.innerObjects.get(key),
		});
		expect(await older.readNewestTree()).toEqual(newest);
	});

	test('a rollback is a new revision with the earlier tree', async () => {
		const platform = new FaultInjectingPlatform(1);
		const store = storeOn(platform, 1, 5, 10);
		for (let index = 0; index < 33; index++) {
			await store.commitChange(teamChange(`c-${index}`, `team-${index % 4}`, index + 1));
		}

		const request = {
			changeId: 'back', author: 'op', reason: 'undo', expectedRevision: undefined, fences: [],
		};
		const change = await store.rollback({...request, toRevision: 27});
		expect(change.revision).toBe(34);
		const {tree} = await new SettingsTreeReader(platform.table, platform.objects).readNewestTree();
		expect(Object.fromEntries(tree)).toEqual(Object.fromEntries(treeOf(platform.accepted.slice(0, 27))));
		await expect(store.rollback({...request, changeId: 'too-far', toRevision: 3})).rejects.toBeInstanceOf(RevisionNotKeptError);
		expect(await store.history(31, 2)).toEqual(platform.accepted.slice(31, 33));
	});
});
