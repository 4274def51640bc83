/**
Process settings with findings and overrides, and the conversion of the settings tree to INI and back.
*/
import * as E from 'fp-ts/lib/Either.js';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	iniFromTree, parseIni, readProcessSettings, treeFromIni, z,
} from '../src/index.js';

const schema = z.strictObject({
	listen: z.strictObject({port: z.number().int().max(65_535), host: z.string().default('here')}),
	log: z.strictObject({level: z.enum(['info', 'warn']).default('info')}),
});

const read = (lines: readonly string[], overrides: ReadonlyArray<readonly [string, string, string]> = []) =>
	readProcessSettings(schema, lines.join('\n'), 'x.ini', overrides.map(([section, key, text]) => ({section, key, text})));

describe('process settings', () => {
	test('defaults and overrides apply', () => {
		expect(read(['[listen]', 'port = 1'], [['listen', 'port', '2'], ['log', 'level', 'warn']]))
			.toEqual(E.right({listen: {port: 2, host: 'here'}, log: {level: 'warn'}}));
	});

	test('a text field whose value looks like a number keeps its text', () => {
		expect(read(['[listen]', 'port = 1', 'host = 007'])).toMatchObject(E.right({listen: {host: '007'}}));
	});

	test('every finding names the line of its key, whatever lines precede it', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom('', '; note', '# note')), fc.array(fc.constantFrom('', '; port = 9')), (before, between) => {
			const lines = [...before, '[listen]', ...between, 'port = many', '[log]', 'level = loud', 'depth = 3'];
			const result = read(lines);
			const places = E.isLeft(result) ? result.left.map(finding => [finding.place, finding.code]) : [];
			const lineOf = (text: string): string => `x.ini:${lines.indexOf(text) + 1}`;
			expect(new Set(places.map(([place]) => place))).toEqual(new Set([lineOf('port = many'), lineOf('level = loud'), lineOf('depth = 3')]));
			expect(places.find(([place]) => place === lineOf('depth = 3'))?.[1]).toBe('unknown-key');
		}), {seed: 61, numRuns: 50});
	});
});

describe('settings tree as INI', () => {
	test('a tree converted to INI and back is unchanged', () => {
		const name = fc.string({unit: fc.constantFrom('a', 'b', 'z', '0', '9', '-', 'e'), minLength: 1, maxLength: 8}).map(text => `n${text}`);
		const entry = fc.oneof(
			fc.tuple(name.map(team => `/teams/${team}/share`), fc.integer({min: 1, max: 99})),
			fc.tuple(name.map(pool => `/pools/${pool}/spare`), fc.boolean()),
			fc.tuple(name.map(queue => `/queues/${queue}/teams`), fc.array(name, {minLength: 1, maxLength: 3})),
			fc.tuple(name.map(host => `/hosts/${host}/rack`), fc.constantFrom('07', '1e3', 'true', 'r1')),
			fc.tuple(name.map(host => `/hosts/${host}/address`), name.map(host => `http://${host}:80/a?b=c;d#e`)),
		);
		fc.assert(fc.property(fc.array(entry), entries => {
			const tree = new Map<string, string | number | boolean | readonly string[]>(entries);
			const back = treeFromIni(parseIni(iniFromTree(tree), 'fleet.ini'));
			expect(Object.fromEntries(back)).toEqual(Object.fromEntries(tree));
		}), {seed: 62, numRuns: 100});
	});
});
