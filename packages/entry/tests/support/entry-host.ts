/**
Runs `poplarnotch-entry` as a process of its own.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {listenOn} from '@poplarnotch/common';

/** Returns consecutive ports that are free at this moment. */
const freePorts = async (count: number): Promise<number> => {
	for (;;) {
		const servers = [createServer()];
		const first = await listenOn(servers[0]!, '127.0.0.1', 0);
		try {
			for (let index = 1; index < count; index++) {
				const server = createServer();
				await listenOn(server, '127.0.0.1', first + index);
				servers.push(server);
			}
		} catch {
			continue;
		} finally {
			await Promise.all(servers.map(async server => {
				server.close();
				await once(server, 'close');
			}));
		}

		return first;
	}
};

const portsPerHost = 5;

/** Host name under which callers reach the queues. */
export const callersHost = 'draws.example';

export class EntryHost {
	readonly name: string;
	readonly storePort: number;
	readonly callersPort: number;
	readonly #folder: string;
	readonly #process: ChildProcess;
	#output = '';

	constructor(name: string, {storePort, folder, callersPort, child}: {
		readonly storePort: number;
		readonly folder: string;
		readonly callersPort: number;
		readonly child: ChildProcess;
	}) {
		this.name = name;
		this.storePort = storePort;
		this.#folder = folder;
		this.#process = child;
		this.callersPort = callersPort;
		for (const stream of [child.stdout, child.stderr]) {
			stream?.on('data', chunk => {
				this.#output += String(chunk);
			});
		}
	}

	get exitCode(): number | undefined {
		return this.#process.exitCode ?? undefined;
	}

	get isRunning(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
	}

	get output(): string {
		return this.#output;
	}

	/** Number of log lines with all of the texts. */
	countLines(...texts: readonly string[]): number {
		return this.#output.split('\n').filter(line => texts.every(text => line.includes(text))).length;
	}

	async call(method: 'GET' | 'POST', callPath: string, body?: unknown): Promise<{readonly status: number; readonly body: unknown}> {
		const response = await request(`http://127.0.0.1:${this.callersPort}${callPath}`, {
			method, body: body === undefined ? null : JSON.stringify(body), headers: {'content-type': 'application/json', host: callersHost},
		});
		const text = await response.body.text();
		return {status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) as unknown};
	}

	/** Requests the end of the process, without waiting for it. */
	terminate(): void {
		this.#process.kill('SIGTERM');
	}

	async kill(): Promise<void> {
		if (this.isRunning) {
			this.#process.kill('SIGKILL');
			await once(this.#process, 'exit');
		}

		await rm(this.#folder, {recursive: true, force: true});
	}
}

/** Settings of an entry host on this machine with consecutive ports from `firstPort` on. */
export const entrySettings = (name: string, firstPort: number, storePort: number, machinesPort: number): string => [
	`node=${name}`,
	'zone=north',
	'ip=127.0.0.1',
	`port_range=${firstPort + 2},${firstPort + 3}`,
	`listen_addrs.front=127.0.0.1:${firstPort}`,
	`listen_addrs.ready=127.0.0.1:${firstPort + 1}`,
	`platform.addr=127.0.0.1:${storePort}`,
	`cloud_api.addr=127.0.0.1:${machinesPort}`,
].join('\n');

const maxStartAttempts = 5;
const startCheckMs = 20;

/** Starts a process that reaches the store and the machines at the given ports. Another process may take its ports before it listens; it is then started with others. */
export const startEntryHost = async (name: string, storePort: number, machinesPort: number): Promise<EntryHost> => {
	for (let attempt = 1; ; attempt++) {
		const host = await spawnEntryHost(name, storePort, machinesPort);
		while (host.isRunning && host.countLines('event=process_started') === 0 && host.countLines('EADDRINUSE') === 0) {
			await sleep(startCheckMs);
		}

		if (host.countLines('EADDRINUSE') === 0 || attempt === maxStartAttempts) {
			return host;
		}

		await host.kill();
	}
};

const spawnEntryHost = async (name: string, storePort: number, machinesPort: number): Promise<EntryHost> => {
	const first = await freePorts(portsPerHost);
	const folder = await mkdtemp(path.join(os.tmpdir(), 'entry-host-'));
	const settingsFile = path.join(folder, 'boot.conf');
	await writeFile(settingsFile, entrySettings(name, first, storePort, machinesPort));
	const parameters = ['--import', 'tsx', 'packages/entry/src/main.ts', '--metricsPort', String(first + 4)];
	const child = spawn(process.execPath, parameters, {env: {...process.env, POPLARNOTCH_CONFIG: settingsFile}});
	return new EntryHost(name, {
		storePort, folder, callersPort: first, child,
	});
};
