import {describe, expect, it} from 'vitest';
import fc from 'fast-check';
import {
	applyEdits, compileFleetSettings, type JsonValue, SettingsCompiler, type SettingsEdit, type SettingsTree,
} from '../../src/index.js';

const hash = 'a'.repeat(64);

/** Paths of a few entities, with valid and invalid values, so that generated edits often affect the same entity. */
const pathValues: ReadonlyArray<readonly [string, readonly JsonValue[]]> = [
	['/fleet/moveWeight', [2, -1]],
	['/teams/red/share', [1, 2, 0]],
	['/teams/red/upperLimit', [5, 'many']],
	['/teams/blue/share', [3]],
	['/teams/blue/upperLimit', [0, 7]],
	['/teams/red/keys/k1/hash', [hash, 'short']],
	['/teams/blue/keys/k1/hash', [hash]],
	['/teams/red/keys/k1/withdrawn', [true]],
	['/pools/desk/spare', [true, false]],
	['/queues/pairing/pool', ['desk']],
	['/queues/pairing/teams', [['red'], ['red', 'blue']]],
	['/teams/red/colour', ['red']],
	['/nowhere/at/all', [1]],
];

const editArbitrary: fc.Arbitrary<SettingsEdit> = fc.constantFrom(...pathValues).chain(([path, values]) => fc.record({
	path: fc.constant(path),
	value: fc.constantFrom(undefined, ...values),
}));

describe('SettingsCompiler', () => {
	it('compiles successive trees to the same result as compiling each from scratch', () => {
		fc.assert(fc.property(fc.array(fc.array(editArbitrary, {maxLength: 5}), {maxLength: 12}), batches => {
			const compiler = new SettingsCompiler();
			let tree: SettingsTree = new Map();
			let revision = 0;
			for (const edits of batches) {
				const candidate = applyEdits(tree, edits);
				const alone = compileFleetSettings(candidate, revision + 1);
				const successive = compiler.compile(candidate, revision + 1);
				expect(successive._tag).toBe(alone._tag);
				if (alone._tag === 'Right') {
					expect(successive).toEqual(alone);
					tree = candidate;
					revision++;
				}
			}
		}), {seed: 2, numRuns: 400});
	});

	it('shares the records of kinds that a change does not touch', () => {
		const compiler = new SettingsCompiler();
		const tree: SettingsTree = new Map<string, JsonValue>([['/pools/desk/spare', true], ['/teams/red/share', 1], ['/teams/red/upperLimit', 2]]);
		const first = compiler.compile(tree, 1);
		const second = compiler.compile(applyEdits(tree, [{path: '/teams/red/share', value: 2}]), 2);
		expect(first._tag === 'Right' && second._tag === 'Right' && first.right.pools === second.right.pools).toBe(true);
	});

	it('reports all findings of a tree together, each with its path', () => {
		const tree: SettingsTree = new Map<string, JsonValue>([
			['/teams/red/share', 0], ['/teams/red/upperLimit', 2], ['/pools/desk/slots', 3], ['/somewhere', 1],
		]);
		const compiled = compileFleetSettings(tree, 1);
		const places = compiled._tag === 'Left' ? compiled.left.map(finding => finding.place) : [];
		expect(places.toSorted()).toEqual(['/pools/desk/slots', '/somewhere', '/teams/red/share']);
	});
});
