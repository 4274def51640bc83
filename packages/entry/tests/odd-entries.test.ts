/**
Odd entries of other writers in every list that entry hosts read, with real processes: on start, while rows are followed, through a peer, and after a takeover.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {callersHost, type EntryHost, startEntryHost} from './support/entry-host.js';
import {PlatformServer} from './support/platform-server.js';

const timeoutMs = 60_000;
const within = {timeout: 20_000, interval: 100};

const deep = '['.repeat(5000) + ']'.repeat(5000);
const tooLarge = '{"capacity":{"cpu":1e400},"born":1e400,"wave":1e400,"count":1e400}';

let platform: PlatformServer;
let hosts: EntryHost[];
let workerPort: number;
let jobCount: number;

/** Writes one odd row into each table, and returns their keys. The rows are new to every process. */
const writeOddRows = (suffix: string): readonly string[] => {
	const worker = {
		service: 'pool', addr: `127.0.0.1:${workerPort}`, zone: 'north', state: 'ready', capacity: {cpu: 8000, mem_mb: 1000}, born: platform.workerBornWallMs,
	};
	const rows: ReadonlyArray<readonly [table: string, key: string, text: string, part?: string]> = [
		['servers', `deep-${suffix}`, deep],
		['servers', `number-${suffix}`, tooLarge],
		['servers', `port-${suffix}`, JSON.stringify({...worker, addr: '127.0.0.1:99999'})],
		['servers', `bytes-${suffix}`, '\u0000\uFFFD{'],
		['op', `wave/deep-${suffix}`, deep],
		['op', `wave/number-${suffix}`, tooLarge],
		['jobs', `deep-${suffix}`, deep, 'p0'],
		['jobs', `number-${suffix}`, tooLarge, 'p0'],
		['control', `peers/deep-${suffix}`, deep, 'peers'],
		['control', `peers/url-${suffix}`, '{"url":"not a url","beats":1,"cpuMillicores":1e300}', 'peers'],
	];
	for (const row of rows) {
		platform.rows.put(...row);
	}

	return rows.map(([table, key, _text, part]) => table === 'jobs' ? `${table}/${part}/${key}` : `${table}/${key}`);
};

beforeEach(async () => {
	jobCount = 0;
	platform = new PlatformServer();
	workerPort = await platform.listen();
	const machinesPort = await platform.listen();
	const capacity = {cpu: 8000, mem_mb: 16_000};
	platform.rows.put('op', 'config', JSON.stringify({
		version: 1,
		routes: [{
			name: 'draws', host: callersHost, prefix: '/q/', service: 'pool', public: true, max_attempts: 3,
		}, {name: 5}],
		services: [{name: 'pool'}],
		tenants: [],
	}));
	platform.rows.put('servers', 'i-1', JSON.stringify({
		service: 'pool', addr: `127.0.0.1:${workerPort}`, zone: 'north', state: 'ready', capacity, labels: ['kind', 'r-1'], born: platform.workerBornWallMs,
	}));
	platform.machines.push({machine: 'm-odd', state: 'odd', capacity: {cpu: -1}}, 'text', {
		machine: 'm-1', pool: 'pool', zone: 'north', state: 'up', capacity, id: 'i-1',
	});
	hosts = [];
	for (const name of ['edge-1', 'edge-2', 'edge-3']) {
		hosts.push(await startEntryHost(name, await platform.listen(), machinesPort));
	}
});

afterEach(async () => {
	await Promise.all(hosts.map(async host => host.kill()));
	platform.close();
});

/** Submits a job through the host and waits until every running host shows it as completed. */
const expectServed = async (host: EntryHost): Promise<void> => {
	jobCount++;
	const path = `/q/${jobCount.toString(16).padStart(16, '0')}`;
	await expect.poll(async () => host.call('POST', path, {spec: 'text', phases: [{count: 2, cpu: 100, estimate_ms: 50}]}).then(({status}) => status, () => 0), within).toBe(200);
	for (const other of hosts.filter(({isRunning}) => isRunning)) {
		await expect.poll(async () => other.call('GET', path).then(({body}) => body, () => undefined), within).toEqual({state: 'completed'});
	}
};

/** Each host becomes a successor within some seconds, and reads all lists then. */
const expectNamedOnce = async (keys: readonly string[]): Promise<void> => {
	const linesOf = (host: EntryHost, key: string): number => host.countLines('event=row_unreadable', `key=${key} `);
	await expect.poll(() => hosts.every(host => keys.every(key => linesOf(host, key) > 0)), within).toBe(true);
	for (const host of hosts) {
		for (const key of keys) {
			expect({host: host.name, key, lines: linesOf(host, key)}).toEqual({host: host.name, key, lines: 1});
		}
	}
};

test('entries of other writers cost only themselves on start, while followed, through a peer and after a takeover', async () => {
	const listed = writeOddRows('listed');
	for (const host of hosts) {
		await expectServed(host);
	}

	const followed = writeOddRows('followed');
	await expectServed(hosts[0]!);
	// Rows of the same keys are written again and again.
	writeOddRows('followed');
	await expectServed(hosts[1]!);

	platform.silentPorts.add(hosts[2]!.storePort);
	const relayed = writeOddRows('relayed');
	await expectServed(hosts[2]!);
	platform.silentPorts.clear();

	const holder = hosts.toSorted((a, b) => b.countLines('event=lease_won') - a.countLines('event=lease_won'))[0]!;
	await holder.kill();
	await expectServed(hosts.find(({isRunning}) => isRunning)!);
	expect(hosts.filter(({isRunning}) => !isRunning)).toEqual([holder]);
	for (const host of hosts) {
		expect(host.output).not.toMatch(/event=(?:unexpected_error|task_failed|row_not_applied)/v);
	}

	hosts = hosts.filter(({isRunning}) => isRunning);
	await expectNamedOnce([...listed, ...followed, ...relayed]);
	const readers = hosts.filter(host => host.countLines('event=machine_unreadable') > 0);
	expect(readers.every(host => host.countLines('event=machine_unreadable', 'key=m-odd') === 1)).toBe(true);
}, timeoutMs);
