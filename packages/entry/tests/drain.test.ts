/**
The end of an entry host's process after SIGTERM, with a real process: every request that it has read gets an answer, and it ends by itself within the grace period, also while the store confirms nothing.
*/
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {callersHost, type EntryHost, startEntryHost} from './support/entry-host.js';
import {PlatformServer} from './support/platform-server.js';

const testTimeoutMs = 40_000;
const graceMs = 6000;
const submitIntervalMs = 150;

/** No job is submitted around the time at which the process stops listening: the operating system resets a connection that it has taken and the process has not. */
const quietMs = {from: 2250, until: 3000};

/** Longer than the rest of the grace period, so that requests are under way at its end. */
const deadlineMs = 5000;

/** How a request ended: its status, `refused` if the process took no connection, and `cut` if the connection ended without an answer after the request was sent. */
type Ending = number | 'refused' | 'cut';

let platform: PlatformServer;
let host: EntryHost;
let jobCount: number;

const pause = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Submits a job on a connection of its own. */
const submit = async (): Promise<Ending> => {
	jobCount++;
	const body = JSON.stringify({spec: 'text', phases: [{count: 1, cpu: 100, estimate_ms: 50}]});
	const head = `POST /q/${jobCount.toString(16).padStart(16, '0')} HTTP/1.1\r\nhost: ${callersHost}\r\nconnection: close\r\ndeadline-ms: ${deadlineMs}\r\ncontent-length: ${body.length}\r\n\r\n`;
	return new Promise(resolve => {
		let text = '';
		let isConnected = false;
		const socket = connect(host.callersPort, '127.0.0.1', () => {
			isConnected = true;
			socket.write(head + body);
		});
		socket.setEncoding('utf8');
		socket.on('data', chunk => {
			text += String(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			const status = /^HTTP\/1\.1 (?<status>\d+)/v.exec(text)?.groups?.status;
			resolve(status === undefined ? (isConnected ? 'cut' : 'refused') : Number(status));
		});
	});
};

/** Submits jobs until the process has ended, and returns how they ended. */
const submitUntilEnd = async (latestMs: number): Promise<readonly Ending[]> => {
	const endings: Array<Promise<Ending>> = [];
	for (const startedAtMs = Date.now(); host.isRunning && Date.now() - startedAtMs < latestMs;) {
		const sinceMs = Date.now() - startedAtMs;
		if (sinceMs < quietMs.from || sinceMs > quietMs.until) {
			endings.push(submit());
		}

		await pause(submitIntervalMs);
	}

	const {isRunning} = host;
	await host.kill();
	expect(isRunning).toBe(false);
	return Promise.all(endings);
};

beforeEach(async () => {
	jobCount = 0;
	platform = new PlatformServer();
	const storePort = await platform.listen();
	platform.rows.put('op', 'config', JSON.stringify({
		version: 1,
		routes: [{
			name: 'draws', host: callersHost, prefix: '/q/', service: 'pool', public: true, max_attempts: 3,
		}],
		services: [{name: 'pool'}],
		tenants: [],
	}));
	host = await startEntryHost('edge-1', storePort, storePort);
	await expect.poll(submit, {timeout: 20_000, interval: 100}).toBe(200);
	await expect.poll(() => host.countLines('event=lease_won'), {timeout: 20_000, interval: 100}).toBe(1);
});

afterEach(async () => {
	await host.kill();
	platform.close();
});

test('requests of which the store confirms nothing are answered before the process ends', async () => {
	host.terminate();
	setTimeout(() => {
		platform.silentPaths.add('/rows-tx');
	}, 1500);
	const endings = await submitUntilEnd(graceMs);
	expect(endings).not.toContain('cut');
	expect(endings).toContain(200);
	expect(endings).toContain(504);
	expect(host.exitCode).toBe(0);
}, testTimeoutMs);

test('a process whose lease the store does not release ends within the grace period and answers what it has read', async () => {
	platform.silentPaths.add('/rows-tx');
	host.terminate();
	const endings = await submitUntilEnd(graceMs);
	expect(endings).not.toContain('cut');
	expect(host.exitCode).toBe(0);
}, testTimeoutMs);
