import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {afterEach, expect, test} from 'vitest';
import {call, TestFleet, waitFor} from '../support/test-fleet.js';

const mainFile = path.resolve(import.meta.dirname, '../../src/main.ts');
const directory = mkdtempSync(path.join(tmpdir(), 'poplarnotch-gate-'));
const settingsFile = path.join(directory, 'gate.ini');

let child: ChildProcess | undefined;
let fleet: TestFleet | undefined;

afterEach(async () => {
	child?.kill('SIGKILL');
	await fleet?.close();
	fleet = undefined;
	rmSync(settingsFile, {force: true});
});

const startMain = (settings: string, ...options: readonly string[]): ChildProcess => {
	writeFileSync(settingsFile, settings);
	child = spawn(process.execPath, ['--import', 'tsx', mainFile, '--settings', settingsFile, ...options], {stdio: 'pipe'});
	return child;
};

test('invalid settings end the process with status 2 and a report of every finding with its line', async () => {
	const main = startMain('[process]\nid = gate-1\n[listen]\nport = many\ncolour = red\n', '--set', 'drain.timeoutMs=-1', '--check');
	const [findings] = await Promise.all([text(main.stderr!), once(main, 'exit')]);
	expect(main.exitCode).toBe(2);
	for (const part of ['gate.ini:4: listen.port', 'gate.ini:5: unknown key "colour"', 'process.dataCentre', 'drain.timeoutMs', 'platform.url']) {
		expect(findings).toContain(part);
	}
});

test('the process serves requests, drains on SIGTERM without aborting one, and ends with status 0', async () => {
	fleet = await TestFleet.start({hosts: 1});
	const main = startMain(`[process]
id = gate-1
host = entry-1
dataCentre = dc-1
[listen]
port = 0
operationsPort = 0
keepAliveTimeoutMs = 200
[platform]
url = ${fleet.platformUrl}
[peers]
secret = test-secret
`, '--set', 'drain.lameDuckMs=0');
	let log = '';
	main.stderr!.on('data', chunk => {
		log += String(chunk);
	});
	const exited = once(main, 'exit');
	await waitFor('start', () => log.includes('event=gate_started'));
	const port = /event=gate_started.* port=(?<port>\d+)/v.exec(log)!.groups!.port!;
	const url = `http://127.0.0.1:${port}/q/pairings`;
	await waitFor('settings', async () => {
		const {status} = await call(`${url}/list`, {headers: fleet!.authorization});
		return status === 200;
	});
	const running = call(`${url}/draw?ms=300`, {method: 'POST', headers: {...fleet.authorization, 'idempotency-key': 'a', 'x-run-key': 'a'}});
	await waitFor('a runs', () => fleet!.runsOf('a') > 0);
	main.kill('SIGTERM');
	expect(await running).toMatchObject({status: 200, connectionError: undefined});
	await exited;
	expect(main.exitCode).toBe(0);
});
