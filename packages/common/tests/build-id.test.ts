/**
The name of the build in the log, with and without a repository.
*/
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import {
	cp, mkdtemp, readFile, rm, symlink,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {buildId} from '../src/index.js';

const root = path.resolve(import.meta.dirname, '../../..');
let folder: string;

beforeEach(async () => {
	folder = await mkdtemp(path.join(os.tmpdir(), 'build-id-'));
});

afterEach(async () => {
	await rm(folder, {recursive: true});
});

const buildIn = async (cwd: string): Promise<string> => {
	execFileSync(process.execPath, ['scripts/build.js', '--out', path.join(folder, 'out'), 'poplarnotch-entry'], {cwd});
	return readFile(path.join(folder, 'out', 'poplarnotch-entry.mjs'), 'utf8');
};

test('sources that run as they are name no build', () => {
	expect(buildId).toBe('unbuilt');
});

test('a bundle names the commit that it is of, if there is one', async () => {
	const bundle = await buildIn(root);
	const commit = existsSync(path.join(root, '.git')) ? execFileSync('git', ['rev-parse', '--short=12', 'HEAD'], {cwd: root, encoding: 'utf8'}).trim() : undefined;
	expect(bundle).toMatch(commit === undefined ? /"src-[\da-f]{12}"/v : new RegExp(`"${commit}(?:-dirty)?"`, 'v'));
	expect(bundle).not.toContain('unbuilt');
});

test('without a repository, a bundle names a hash of the sources', async () => {
	const copy = path.join(folder, 'copy');
	const names = ['packages', 'scripts', 'package.json', 'package-lock.json', 'tsconfig.json'];
	await Promise.all(names.map(async name => cp(path.join(root, name), path.join(copy, name), {recursive: true, filter: source => path.basename(source) !== 'node_modules'})));

	await symlink(path.join(root, 'node_modules'), path.join(copy, 'node_modules'));
	const bundle = await buildIn(copy);
	expect(bundle).toMatch(/"src-[\da-f]{12}"/v);
});
