import {VirtualClock} from '@poplarnotch/common';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	ConflictError, HttpHostList, HttpObjectStore, HttpTableService, HttpWorkers, PlatformConnection, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {PlatformStandIn} from '@poplarnotch/standin';

let platform: PlatformStandIn;
let baseUrl: string;
let connection: PlatformConnection;
let table: HttpTableService;

beforeEach(async () => {
	platform = new PlatformStandIn();
	baseUrl = await platform.start();
	connection = new PlatformConnection({baseUrl, clientName: 'gate-1', timeoutMs: 500});
	table = new HttpTableService(connection);
});

afterEach(async () => {
	await connection.close();
	await platform.close();
});

const put = (key: string, value: string) => ({conditions: [], writes: [{type: 'put', key, value} as const]});

test('rows are written, read, paged and deleted, and their changes are listed in order', async () => {
	await table.commit({
		conditions: [{key: 'a/1', version: 0}],
		writes: [{type: 'put', key: 'a/1', value: {n: 1}}, {type: 'put', key: 'a/2', value: 'two'}, {type: 'put', key: 'b', value: null}],
	});
	const {revision} = await table.commit({conditions: [{key: 'a/1', version: 1}], writes: [{type: 'delete', key: 'a/1'}]});
	expect(await table.readRows(['a/2', 'a/1'])).toEqual([{key: 'a/2', value: 'two', version: 1}]);
	expect(await table.readPrefix('a/')).toEqual({rows: [{key: 'a/2', value: 'two', version: 1}], revision, hasMore: false});
	expect(await table.readPrefix('', {afterKey: 'a/1', limit: 1})).toMatchObject({rows: [{key: 'a/2'}], hasMore: true});
	const page = await table.changesSince('a/', 0, 1);
	expect(page).toMatchObject({changes: [{key: 'a/2', version: 1}], revision: 1, hasMore: true});
	const rest = await table.changesSince('a/', page.revision);
	expect(rest).toMatchObject({changes: [{key: 'a/1', version: 2}], revision, hasMore: false});
	expect(rest.changes[0]!.value).toBeUndefined();
});

test('a transaction whose condition does not hold is not applied, and its conflict names the row', async () => {
	await table.commit(put('a', 'first'));
	const late = table.commit({conditions: [{key: 'a', version: 0}], writes: [{type: 'put', key: 'b', value: 'late'}]});
	await expect(late).rejects.toThrow(ConflictError);
	await expect(late).rejects.toMatchObject({conflicts: [{key: 'a', expectedVersion: 0, actualVersion: 1}]});
	expect(platform.table.valueOf('b')).toBeUndefined();
});

test('the error of a failed write shows whether the write may have been applied', async () => {
	platform.setFaults({down: true});
	await expect(table.commit(put('a', 'down'))).rejects.toThrow(UnavailableError);
	platform.setFaults({down: false, loseAnswers: 1});
	await expect(table.commit(put('a', 'lost'))).rejects.toThrow(WriteOutcomeUnknownError);
	expect(platform.table.valueOf('a')).toBe('lost');
	platform.setFaults({delayMs: 2000});
	await expect(table.commit(put('a', 'slow'))).rejects.toThrow(WriteOutcomeUnknownError);
	await expect(table.readRows(['a'])).rejects.toThrow(UnavailableError);
	platform.setFaults({delayMs: 0, cutClients: ['gate-1']});
	await expect(table.readRows(['a'])).rejects.toThrow(UnavailableError);
	await platform.close();
	await expect(table.commit(put('a', 'closed'))).rejects.toThrow(UnavailableError);
});

test('calls above the rate limit are refused and not applied', async () => {
	platform.setFaults({writesPerSecond: 5});
	// Twenty connections at once may take longer than the time limit of the other tests on a busy machine.
	const patient = new PlatformConnection({baseUrl, clientName: 'gate-2', timeoutMs: 10_000});
	const patientTable = new HttpTableService(patient);
	const results = await Promise.allSettled(Array.from({length: 20}, async (_, index) => patientTable.commit(put(`k${index}`, 'x'))));
	await patient.close();
	const refused = results.filter(result => result.status === 'rejected');
	expect(refused.length).toBeGreaterThan(0);
	expect(refused.every(result => result.reason instanceof UnavailableError)).toBe(true);
	expect(platform.counts.writes).toBe(20 - refused.length);
});

test('objects, hosts and workers are available over HTTP', async () => {
	const objects = new HttpObjectStore(connection);
	expect(await objects.get('settings/snapshot/1')).toBeUndefined();
	const etag = await objects.put('settings/snapshot/1', 'text', 'absent');
	expect(await objects.get('settings/snapshot/1')).toEqual({text: 'text', etag});
	await expect(objects.put('settings/snapshot/1', 'other', 'absent')).rejects.toThrow(ConflictError);

	platform.hosts.put('host-1');
	platform.hosts.put('host-2', 'leaving');
	const hostList = new HttpHostList(connection);
	expect(await hostList.list()).toMatchObject({hosts: [{host: 'host-1', state: 'live', bootCount: 1}, {host: 'host-2', state: 'leaving'}]});

	const workers = new HttpWorkers(connection);
	const resources = {cores: 2, memoryMb: 100, accelerators: 0};
	await workers.startTask('host-1', {
		taskId: 't1', resources, leaseMs: 60_000, payload: {},
	});
	await workers.throttleTask('host-1', 't1');
	expect(await workers.report(['host-1'])).toMatchObject([{host: 'host-1', tasks: [{taskId: 't1', state: 'throttled', used: resources}]}]);
});

test('a reboot removes the host from the list once per reboot id and increments its boot count', async () => {
	platform.hosts.put('host-1');
	platform.setFaults({rebootMs: 20});
	const workers = new HttpWorkers(connection);
	await workers.reboot('host-1', 'wave-1', 'kernel');
	expect(platform.hosts.current).toEqual([]);
	await workers.reboot('host-1', 'wave-1', 'kernel');
	await expect.poll(() => platform.hosts.current).toEqual([{host: 'host-1', state: 'live', bootCount: 2}]);
	await workers.reboot('host-1', 'wave-1', 'kernel');
	expect(platform.hosts.bootCountOf('host-1')).toBe(2);
});

test('the host list lags by the configured time', async () => {
	platform.hosts.put('host-1');
	platform.setFaults({hostListLagMs: 600});
	const before = await new HttpHostList(connection).list();
	expect(before.ageMs).toBe(600);
	platform.hosts.remove('host-1');
	platform.setFaults({hostListLagMs: 0});
	expect(await new HttpHostList(connection).list()).toEqual({hosts: [], ageMs: 0});
});

test('the age of the host list is exact at any clock time', async () => {
	const clock = new VirtualClock();
	// At this clock time, a sum of the time and the age would be rounded.
	clock.advance(424.829_320_554);
	platform.setFaults({hostListLagMs: 600});
	const {ageMs} = await new HttpHostList(connection, clock).list();
	expect(ageMs).toBe(600);
});
