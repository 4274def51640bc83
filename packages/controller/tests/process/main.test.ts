/**
Tests the settings check of the binary, run as a process.
*/
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';

const mainFile = path.resolve(import.meta.dirname, '../../src/main.ts');

type Exit = {readonly code: number; readonly output: string};

const run = async (...args: readonly string[]): Promise<Exit> => new Promise(resolve => {
	execFile(process.execPath, ['--import', 'tsx', mainFile, ...args], (error, stdout, stderr) => {
		resolve({code: error === null ? 0 : Number(error.code), output: stdout + stderr});
	});
});

describe('poplarnotch-controller --check', () => {
	let directory = '';
	let good = '';
	let bad = '';

	beforeAll(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'poplarnotch-'));
		good = path.join(directory, 'good.ini');
		bad = path.join(directory, 'bad.ini');
		const lines = ['[process]', 'id = c1', 'host = h1', 'dataCentre = dc-1', '[platform]', 'url = http://127.0.0.1:7000', '[peers]', 'secret = shared-by-all-processes'];
		writeFileSync(good, lines.join('\n'));
		writeFileSync(bad, [...lines, '[listen]', 'operatorsPort = many', 'colour = blue', '[extra]', 'x = 1'].join('\n'));
	});

	afterAll(() => {
		rmSync(directory, {recursive: true});
	});

	test('accepts valid settings', async () => {
		expect(await run('--settings', good, '--check')).toMatchObject({code: 0});
	});

	test('reports all findings with their lines and exits with code 2', async () => {
		const {code, output} = await run('--settings', bad, '--check', '--set', 'log.level=loud', '--set', 'nonsense');
		expect(code).toBe(2);
		for (const part of [`${bad}:10: listen.operatorsPort`, `${bad}:11: unknown key "colour"`, `${bad}:12: unknown section "extra"`, 'log.level', '--set nonsense']) {
			expect(output).toContain(part);
		}
	});
});
