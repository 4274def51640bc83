/**
Tests the settings commands with two controllers over loopback sockets.
*/
import path from 'node:path';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {ResponseDroppingProxy, OperatorsFixture} from './operators-fixture.js';

const fleetFile = path.resolve(import.meta.dirname, '../../../examples/khongor/fleet.ini');

type History = {readonly changes: ReadonlyArray<{readonly revision: number; readonly reason: string}>};

describe('settings commands', () => {
	let fixture: OperatorsFixture;

	beforeEach(async () => {
		fixture = new OperatorsFixture();
		await fixture.start();
		expect(await fixture.run('apply', fleetFile, '--reason', 'first settings')).toMatchObject({exitCode: 0});
	});

	afterEach(async () => {
		await fixture.stop();
	});

	test('applying exported settings changes nothing', async () => {
		expect(await fixture.run('check', fleetFile, '--server', 'http://127.0.0.1:1')).toMatchObject({exitCode: 0});
		await fixture.run('key', 'issue', 'altan-shop', '--id', 'altan-1');
		await fixture.run('wave', 'create', 'w1', '--pools', 'pairing,desk', '--change', '2026');
		const exported = await fixture.run('export');
		fixture.files.set('exported.ini', exported.result);
		const again = await fixture.run('apply', 'exported.ini', '--prune');
		expect(again).toMatchObject({exitCode: 0, result: '', progress: 'revision 3 has these settings already'});
		expect(await fixture.run('export')).toEqual(exported);
	});

	test('settings are shown, changed and removed, and a dry run changes nothing', async () => {
		const share = '/teams/altan-shop/share';
		expect(await fixture.run('set', share, '7', '--dry-run')).toMatchObject({exitCode: 0, progress: 'dry run: nothing was changed'});
		expect(await fixture.json('get', share)).toMatchObject({value: 4});
		expect(await fixture.run('set', share, '7')).toMatchObject({
			exitCode: 0, progress: expect.stringMatching(/^accepted as revision 2\n[^]*revision 2 is in force on 2 processes$/v) as string,
		});
		expect(await fixture.json('rollback', '1', '--dry-run')).toEqual({edits: [{path: share, value: 4}]});
		expect(await fixture.json('get', share, '--server', fixture.urls[1]!)).toEqual({revision: 2, path: share, value: 7});
		expect(await fixture.run('unset', '/pools/desk/spare')).toMatchObject({exitCode: 0});
		expect(await fixture.run('get', '/pools/desk/spare')).toMatchObject({exitCode: 1});
		expect(await fixture.run('set', '/queues/pairing/teams', 'altan-shop,nobody')).toMatchObject({exitCode: 2});
		expect(await fixture.run('set', share)).toMatchObject({exitCode: 2});
		expect(await fixture.run('get', share, '--key', 'pn_root_wrong')).toMatchObject({exitCode: 1});
	});

	test('all findings in a file are reported together, with their lines', async () => {
		fixture.files.set('bad.ini', ['[/teams/red]', 'share = -1', 'colour = blue', '', '[/queues/q]', 'pool = nowhere'].join('\n'));
		for (const command of ['check', 'apply']) {
			const {exitCode, progress, result} = await fixture.run(command, 'bad.ini');
			expect([exitCode, result]).toEqual([2, '']);
			for (const place of ['bad.ini:1: ', 'bad.ini:2: ', 'bad.ini:3: ']) {
				expect(progress.replaceAll(/ \/\S+: /gv, ': ')).toContain(place);
			}
		}

		expect(await fixture.run('check', 'no-such-file.ini')).toMatchObject({exitCode: 2});
	});

	test('a conflict exits with 3 and names the other change', async () => {
		const proxy = new ResponseDroppingProxy(fixture.urls[0]!, async () => fixture.run('set', '/teams/altan-shop/share', '9', '--reason', 'draw night'));
		const server = await proxy.listen();

		const late = await fixture.run('set', '/teams/altan-shop/share', '5', '--server', server);
		await proxy.close();
		expect(late.exitCode).toBe(3);
		expect(late.progress).toMatch(/revision 2.*root.*draw night/isv);
		expect(await fixture.json('get', '/teams/altan-shop/share')).toMatchObject({value: 9});
	});

	test('a change whose response from the first controller is lost is sent to the second one and applied once', async () => {
		const proxy = new ResponseDroppingProxy(fixture.urls[0]!);
		const server = `${await proxy.listen()},${fixture.urls[1]!}`;
		proxy.dropsNextResponse = true;
		const sent = await fixture.run('set', '/teams/altan-shop/share', '6', '--server', server, '--reason', 'sent twice');
		proxy.dropsNextResponse = true;
		const back = await fixture.run('rollback', '1', '--server', server, '--reason', 'back');
		await proxy.close();
		expect([sent.exitCode, back.exitCode]).toEqual([0, 0]);
		const {changes} = await fixture.json<History>('history', '--after', '1');
		expect(changes.map(({revision, reason}) => [revision, reason])).toEqual([[2, 'sent twice'], [3, 'back']]);
		expect(await fixture.json('get', '/teams/altan-shop/share')).toMatchObject({value: 4});
	});
});
