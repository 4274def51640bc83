/**
Tests which peers processes push to and query.
*/
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {sortMembers, pushTargets, treeParents} from '../../src/peers/peer-selection.js';

const membersArbitrary = fc.uniqueArray(fc.string({minLength: 1, maxLength: 6}), {minLength: 1, maxLength: 80});

describe('peer selection', () => {
	test('a change reaches all from any process within log2(n) hops, over at most log2(n) pushes each', () => {
		fc.assert(fc.property(membersArbitrary, fc.nat(), (names, pick) => {
			const ordered = sortMembers(names);
			const maxHops = Math.ceil(Math.log2(names.length));
			let reached = new Set([names[pick % names.length]!]);
			for (let hop = 0; hop < maxHops; hop++) {
				reached = new Set([...reached].flatMap(id => [id, ...pushTargets(id, ordered)]));
			}

			expect(reached.size).toBe(names.length);
			expect(Math.max(...names.map(name => pushTargets(name, ordered).length))).toBeLessThanOrEqual(maxHops);
		}), {seed: 71, numRuns: 100});
	});

	test('the order is the same for every process, and every path of parents ends at the first process', () => {
		fc.assert(fc.property(membersArbitrary, names => {
			const ordered = sortMembers(names);
			expect(sortMembers(names.toReversed())).toEqual(ordered);
			for (const name of names) {
				let [at, steps] = [name, 0];
				for (let [parent] = treeParents(at, ordered); parent !== undefined; [parent] = treeParents(at, ordered)) {
					at = parent;
					steps++;
				}

				expect(at).toBe(ordered[0]);
				expect(steps).toBeLessThanOrEqual(3);
			}
		}), {seed: 72, numRuns: 50});
	});
});
