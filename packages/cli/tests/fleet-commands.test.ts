/**
Tests the commands for keys, waves, hosts and processes with two controllers over loopback sockets.
*/
import path from 'node:path';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {MemberRegistration} from '@poplarnotch/state';
import {OperatorsFixture} from './operators-fixture.js';

const fleetFile = path.resolve(import.meta.dirname, '../../../examples/khongor/fleet.ini');

describe('fleet commands', () => {
	let fixture: OperatorsFixture;

	beforeEach(async () => {
		fixture = new OperatorsFixture();
		await fixture.start();
		expect(await fixture.run('apply', fleetFile, '--reason', 'first settings')).toMatchObject({exitCode: 0});
	});

	afterEach(async () => {
		await fixture.stop();
	});

	test('exits with 4 if no controller responds, and with 5 and the name of the process if a process lags', async () => {
		expect(await fixture.run('status', '--server', 'http://127.0.0.1:1')).toMatchObject({exitCode: 4});
		fixture.platform.hosts.put('entry-9');
		const registration = new MemberRegistration({
			table: fixture.platform.table,
			identity: {
				processId: 'gate-9', role: 'gate', host: 'entry-9', dataCentre: 'dc-1', region: 'region-1', operationsUrl: 'http://127.0.0.1:1', runId: 'run-1',
			},
		});
		await registration.register();
		await vi.waitFor(async () => {
			const {processes} = await fixture.json<{processes: readonly unknown[]}>('status');
			expect(processes).toHaveLength(3);
		}, {timeout: 10_000});
		const lagging = await fixture.run('set', '/teams/altan-shop/share', '5', '--wait-timeout-ms', '0');
		const key = await fixture.run('key', 'issue', 'altan-shop', '--id', 'late', '--wait-timeout-ms', '0');
		await registration.leave();
		expect([key.exitCode, key.result]).toEqual([5, expect.stringContaining('pn_late_')]);
		expect(lagging.exitCode).toBe(5);
		expect(lagging.progress).toContain('not yet in force on: gate-9');
	});

	test('keys are issued once, listed without their secrets, and withdrawn', async () => {
		const issued = await fixture.json<{key: string; keyId: string}>('key', 'issue', 'altan-shop');
		expect(issued.key).toMatch(/^pn_altan-shop-/v);
		const listed = await fixture.run('key', 'list', '--output', 'json');
		expect(JSON.parse(listed.result)).toMatchObject({keys: [{keyId: issued.keyId, team: 'altan-shop', withdrawn: false}]});
		expect(listed.result).not.toContain(issued.key);
		expect(await fixture.run('key', 'withdraw', issued.keyId)).toMatchObject({exitCode: 0});
		expect(await fixture.json('key', 'list', 'altan-shop')).toMatchObject({keys: [{withdrawn: true}]});
		expect(await fixture.run('key', 'withdraw', 'no-such-key')).toMatchObject({exitCode: 1});
		expect(await fixture.run('key', 'issue', 'no-such-team')).toMatchObject({exitCode: 1});
	});

	test('a wave is created, planned and started, and every controller shows the same state of it', async () => {
		expect(await fixture.run('wave', 'create', 'w1', '--pools', 'desk', '--change', 'kernel-2')).toMatchObject({exitCode: 0});
		expect(await fixture.run('wave', 'create', 'w1', '--pools', 'desk', '--change', 'kernel-2')).toMatchObject({exitCode: 1});
		for (const server of fixture.urls) {
			expect(await fixture.json('wave', 'plan', 'w1', '--server', server)).toHaveProperty('batches');
			expect(await fixture.json('wave', 'status', 'w1', '--server', server)).toMatchObject({phase: 'planned'});
		}

		const expectPhase = async (server: string, phase: string): Promise<void> => {
			await vi.waitFor(async () => {
				expect(await fixture.json('wave', 'status', 'w1', '--server', server)).toMatchObject({phase});
			}, {timeout: 10_000});
		};

		for (const [command, phase] of [['start', 'running'], ['pause', 'paused'], ['resume', 'running'], ['abort', 'aborted']] as const) {
			expect(await fixture.run('wave', command, 'w1')).toMatchObject({exitCode: 0});
			for (const server of fixture.urls) {
				await expectPhase(server, phase);
			}
		}

		expect(await fixture.run('wave', 'status', 'no-such-wave')).toMatchObject({exitCode: 1});
	});

	test('hosts are listed, shown and moved through targetPool', async () => {
		const all = await fixture.json<{hosts: readonly unknown[]}>('host');
		expect(all.hosts.length).toBeGreaterThan(10);
		expect(await fixture.json('host', 'list')).toEqual(all);
		expect(await fixture.json('host', 'desk-1')).toMatchObject({hosts: [{name: 'desk-1', pool: 'desk'}]});
		expect(await fixture.json('host', 'move', 'desk-1', 'pairing')).toMatchObject({edits: [{path: '/hosts/desk-1/targetPool', value: 'pairing'}]});
		expect(await fixture.run('host', 'move', 'desk-2', 'desk')).toMatchObject({exitCode: 1});
		expect(await fixture.run('host', 'move', 'desk-2', 'nowhere')).toMatchObject({exitCode: 2});
		const skipped = await fixture.run('set', '/hosts/desk-2/pool', 'pairing');
		expect([skipped.exitCode, skipped.progress]).toEqual([2, expect.stringContaining('targetPool')]);
	});

	test('a dump shows the state of the named process', async () => {
		const {result} = await fixture.run('dump', 'controller-2', '--server', fixture.urls[0]!);
		expect(JSON.parse(result)).toMatchObject({processId: 'controller-2', settings: {revision: 1}, fleet: {revision: 1, waves: {}}});
		expect(await fixture.run('dump', 'no-such-process')).toMatchObject({exitCode: 1});
	});
});
