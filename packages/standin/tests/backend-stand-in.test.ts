import {request} from 'undici';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	type BackendFaults, BackendPool, PlatformStandIn, runKeyHeader,
} from '@poplarnotch/standin';

let platform: PlatformStandIn;
let platformUrl: string;
let pool: BackendPool;
let url: string;

beforeEach(async () => {
	platform = new PlatformStandIn();
	platform.hosts.put('host-1');
	platformUrl = await platform.start();
	pool = new BackendPool([{host: 'host-1', port: 0, slots: 2}, {host: 'host-2', port: 0}], platformUrl);
	const urls = await pool.start();
	url = urls.get('host-1')!;
});

afterEach(async () => {
	await pool.close();
	await platform.close();
});

const run = async (query: string, runKey: string): Promise<string> => {
	const response = await request(`${url}/work?${query}`, {method: 'POST', headers: {[runKeyHeader]: runKey}, body: 'hello'});
	return response.body.text();
};

const setFaults = async (faults: Partial<BackendFaults>): Promise<void> => {
	const response = await request(`${platformUrl}/backends/host-1/faults`, {method: 'POST', body: JSON.stringify(faults)});
	expect(response.statusCode).toBe(200);
	await response.body.dump();
	await pool.servers[0]!.setFaults(faults);
};

test('runs are counted by run key, and runs that exceed the slots are counted as overfilled', async () => {
	const answers = await Promise.all(['a', 'a', 'b'].map(async key => run('ms=50', key)));
	expect(JSON.parse(answers[2]!)).toMatchObject({host: 'host-1', runKey: 'b', body: 'hello'});
	const response = await request(`${url}/_standin/runs`);
	expect(await response.body.json()).toMatchObject({
		runs: {a: 2, b: 1}, maxRunning: 3, overfilled: 1, running: 0,
	});
	expect(await run('bytes=100000&chunks=7', 'c')).toHaveLength(100_000);
});

test.for(['resetBeforeAnswer', 'resetMidAnswer', 'shortAnswer', 'refuseConnections'] as const)('%s aborts the response', async fault => {
	await setFaults({[fault]: true});
	await expect(run('bytes=1000', 'a')).rejects.toThrow();
	await setFaults({[fault]: false});
	expect(await run('bytes=1000', 'b')).toHaveLength(1000);
	expect(pool.records[0]!.runs).toEqual(fault === 'refuseConnections' ? {b: 1} : {a: 1, b: 1});
});

test('a frozen server runs requests without responding, and a failing server responds without running them', async () => {
	await setFaults({freeze: true});
	const frozen = request(`${url}/work`, {signal: AbortSignal.timeout(100), headers: {[runKeyHeader]: 'a'}});
	await expect(frozen).rejects.toThrow();
	await setFaults({freeze: false, failFast: true});
	const failed = await request(`${url}/work`, {headers: {[runKeyHeader]: 'b'}});
	expect(failed.statusCode).toBe(500);
	await failed.body.dump();
	expect(pool.records[0]!.runs).toEqual({a: 1});
});

test('a rebooting host refuses connections until the reboot has ended', async () => {
	platform.setFaults({rebootMs: 300});
	await platform.workers.reboot('host-1', 'wave-1', 'kernel');
	await expect.poll(async () => {
		try {
			return await run('', 'a');
		} catch {
			return 'refused';
		}
	}).toBe('refused');
	await expect.poll(() => platform.hosts.bootCountOf('host-1')).toBe(2);
	await expect.poll(async () => {
		try {
			return await run('bytes=2', 'a');
		} catch {
			return 'refused';
		}
	}).toBe('xx');
});
