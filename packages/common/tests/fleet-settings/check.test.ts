/**
Validation of the relations in a settings tree: all findings are returned together, each with its path.
*/
import * as E from 'fp-ts/lib/Either.js';
import {describe, expect, test} from 'vitest';
import {
	checkFleetSettings, compileFleetSettings, type JsonValue, type SettingsTree,
} from '../../src/index.js';

const host = (name: string, pool: string): ReadonlyArray<readonly [string, JsonValue]> => [
	[`/hosts/${name}/pool`, pool], [`/hosts/${name}/dataCentre`, 'dc-1'], [`/hosts/${name}/rack`, 'r1'], [`/hosts/${name}/address`, `http://${name}:80`],
];

const findingsOf = (entries: ReadonlyArray<readonly [string, JsonValue]>): ReadonlyArray<readonly [string, string]> => {
	const tree: SettingsTree = new Map(entries);
	const compiled = compileFleetSettings(tree, 1);
	const checked = E.isLeft(compiled) ? compiled : checkFleetSettings(compiled.right);
	return E.isLeft(checked) ? checked.left.map(finding => [finding.place, finding.code]) : [];
};

describe('checkFleetSettings', () => {
	test('reports all invalid relations together', () => {
		expect(findingsOf([
			['/pools/p/minHosts', 0],
			...host('h1', 'p'),
			...host('h2', 'nowhere'),
			['/budgets/b/pool', 'p'],
			['/budgets/b/minServing', 2],
			['/queues/q/pool', 'missing'],
			['/queues/q/open', true],
			['/teams/red/keys/k/hash', 'a'.repeat(64)],
		])).toEqual(expect.arrayContaining([
			['/hosts/h2/pool', 'unknown-reference'],
			['/budgets/b/minServing', 'budget-above-pool'],
			['/queues/q/pool', 'unknown-reference'],
			['/queues/q/owner', 'owner-required'],
			['/teams/red/keys/k', 'unknown-reference'],
		]));
	});

	test('a budget is valid before its pool has hosts, and may require all hosts of the pool to serve', () => {
		const budget: ReadonlyArray<readonly [string, JsonValue]> = [['/pools/p/minHosts', 0], ['/budgets/b/pool', 'p'], ['/budgets/b/minServing', 1]];
		expect(findingsOf(budget)).toEqual([]);
		expect(findingsOf([...budget, ...host('h1', 'p')])).toEqual([]);
	});
});
