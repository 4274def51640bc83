/**
Reviews changes against a row that others change in the meantime, with lost responses and late transactions.
*/
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {SeededRandom} from '@poplarnotch/common';
import {PlatformError} from '@poplarnotch/platform';
import {logPrefix} from '../../src/settings/rows.js';
import {TableSettingsStore} from '../../src/settings/store.js';
import {type ChangeReview} from '../../src/types.js';
import {FaultInjectingPlatform, noFaults, ImmediateClock} from './fault-injecting-platform.js';

const rowKey = 'waves/w1';
const steps = ['draining', 'rebooting'];

/** A host that a wave drains, reboots and releases; after each review the wave may take its next step before the commit. */
class HostInWave {
	/** Revision of each step, and whether changes must be refused from then on. */
	readonly history: Array<{readonly revision: number; readonly isHeld: boolean}> = [];
	/** Changes that a review accepted while no wave had the host; these have no basis row. */
	readonly unguarded = new Set<string>();
	readonly #platform: FaultInjectingPlatform;
	readonly #random: SeededRandom;
	#step = 0;

	constructor(platform: FaultInjectingPlatform, seed: number) {
		this.#platform = platform;
		this.#random = new SeededRandom(seed);
	}

	reviewOf(changeId: string): ChangeReview {
		return async () => {
			const [row] = await this.#platform.table.readRows([rowKey]);
			if (this.#random.next() < 0.5) {
				await this.#advance();
			}

			if (row === undefined) {
				this.unguarded.add(changeId);
				return {findings: [], basis: []};
			}

			const findings = row.value === 'rebooting' ? [{place: rowKey, code: 'host-in-wave', message: 'held'}] : [];
			return {findings, basis: [{key: rowKey, version: row.version}]};
		};
	}

	isHeldAt(revision: number): boolean {
		return this.history.findLast(entry => entry.revision <= revision)?.isHeld ?? false;
	}

	async #advance(): Promise<void> {
		const value = steps[this.#step % (steps.length + 1)];
		this.#step++;
		const write = value === undefined ? {type: 'delete', key: rowKey} as const : {type: 'put', key: rowKey, value} as const;
		const {revision} = await this.#platform.inner.commit({conditions: [], writes: [write]});
		this.history.push({revision, isHeld: value === 'rebooting'});
	}
}

describe('reviewed changes', () => {
	test('are never accepted on an outdated review, and are never applied after an error that says "not applied"', async () => {
		const seen = {accepted: 0, refused: 0};
		await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(0, 0.3), fc.constantFrom(0, 0.4), async (seed, lostResponse, delayedApply) => {
			const platform = new FaultInjectingPlatform(seed, {...noFaults, lostResponse, delayedApply});
			const host = new HostInWave(platform, seed + 1);
			const store = new TableSettingsStore({
				table: platform.table, objects: platform.objects, clock: new ImmediateClock(), random: new SeededRandom(seed + 2),
			});
			for (let index = 0; index < 8; index++) {
				const changeId = `c-${index}`;
				const request = {
					changeId, author: 'op', reason: 'test', expectedRevision: undefined, fences: [], review: host.reviewOf(changeId),
					edits: [{path: '/teams/red/share', value: index + 1}, {path: '/teams/red/upperLimit', value: 5}],
				};
				const failure: unknown = await store.commitChange(request).then(() => undefined, (error: unknown) => error);
				await platform.applyDelayedCommits();
				const isApplied = platform.accepted.some(change => change.changeId === changeId);
				const mayBeApplied = failure === undefined || (failure instanceof PlatformError && failure.mayBeApplied);
				expect(isApplied && !mayBeApplied).toBe(false);
				seen.accepted += Number(failure === undefined);
				seen.refused += Number(failure !== undefined);
			}

			const log = await platform.inner.readPrefix(logPrefix);
			const guarded = log.rows.filter(row => !host.unguarded.has((row.value as {changeId: string}).changeId));
			expect(guarded.filter(row => host.isHeldAt(row.version))).toEqual([]);
		}), {seed: 43, numRuns: 200});
		expect(Math.min(seen.accepted, seen.refused)).toBeGreaterThan(100);
	});
});
