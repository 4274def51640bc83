/**
Tests the operators' interface of two controllers over loopback sockets.
*/
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {issueKey} from '@poplarnotch/common';
import {type PlatformStandIn} from '@poplarnotch/standin';
import {
	type RunningController, startController, startPlatform,
} from './controller-fixture.js';

const teamEdits = (team: string, share = 1) => [
	{path: `/teams/${team}/share`, value: share},
	{path: `/teams/${team}/upperLimit`, value: 10},
];

describe('operators\' interface', () => {
	let platform: PlatformStandIn;
	let platformUrl: string;
	let controllers: readonly RunningController[];

	beforeEach(async () => {
		const started = await startPlatform();
		({platform, platformUrl} = started);
		platform.hosts.put('controller-1-host');
		platform.hosts.put('controller-2-host');
		controllers = [await startController(platformUrl, 'controller-1'), await startController(platformUrl, 'controller-2')];
		await vi.waitFor(async () => {
			for (const controller of controllers) {
				const {body} = await controller.call('GET', '/v1/status');
				expect(body.processes).toHaveLength(2);
			}
		}, {timeout: 10_000});
	});

	afterEach(async () => {
		for (const controller of controllers) {
			expect(await controller.process.stop()).toEqual([]);
		}

		await platform.close();
	});

	test('a change is accepted, listed, in force on both controllers and rolled back', async () => {
		const [first, second] = controllers as [RunningController, RunningController];
		const accepted = await first.call('POST', '/v1/changes', {changeId: 'c-1', reason: 'new shop', edits: teamEdits('red')});
		expect(accepted).toMatchObject({status: 200, body: {change: {revision: 1, author: 'root', reason: 'new shop'}}});
		expect(await first.call('POST', '/v1/changes', {changeId: 'c-1', reason: 'new shop', edits: teamEdits('red')})).toEqual(accepted);
		await vi.waitFor(async () => {
			expect(await second.call('GET', '/v1/in-force?revision=1')).toMatchObject({body: {isInForce: true}});
		});
		expect(await second.call('GET', '/v1/settings?prefix=/teams/red')).toMatchObject({body: {revision: 1, settings: {'/teams/red/share': 1}}});
		await second.call('POST', '/v1/changes', {changeId: 'c-2', edits: [{path: '/teams/red/share', value: 5}]});
		const back = await second.call('POST', '/v1/rollback', {changeId: 'c-3', toRevision: 1});
		expect(back).toMatchObject({status: 200, body: {change: {revision: 3, edits: [{path: '/teams/red/share', value: 1}]}}});
		expect(await first.call('GET', '/v1/changes?after=1')).toMatchObject({body: {changes: [{revision: 2}, {revision: 3}]}});
	});

	test('all findings are returned together, and a conflict names the other change', async () => {
		const [first, second] = controllers as [RunningController, RunningController];
		const rejected = await first.call('POST', '/v1/changes', {
			changeId: 'bad', edits: [{path: '/teams/red/share', value: -1}, {path: '/queues/q/pool', value: 'nowhere'}],
		});
		expect(rejected.status).toBe(422);
		expect((rejected.body.findings as unknown[]).length).toBeGreaterThanOrEqual(2);
		const responses = await Promise.all([
			first.call('POST', '/v1/changes', {changeId: 'a', edits: teamEdits('red', 1), expectedRevision: 0}),
			second.call('POST', '/v1/changes', {changeId: 'b', edits: teamEdits('red', 2), expectedRevision: 0}),
		]);
		const winner = responses.find(response => response.status === 200);
		const loser = responses.find(response => response.status === 409);
		expect(loser?.body.otherChange).toMatchObject({changeId: (winner?.body.change as {changeId: string}).changeId});
	});

	test('only operators\' keys are accepted, and a withdrawn key is rejected', async () => {
		const [first] = controllers as [RunningController];
		const key = issueKey('nergui');
		const forged = issueKey('root');
		const read = async (keyText: string) => first.call('GET', '/v1/settings', undefined, keyText);
		expect(await read(forged.text)).toMatchObject({status: 401});
		expect(await read(key.text)).toMatchObject({status: 401});
		await first.call('POST', '/v1/changes', {changeId: 'op', edits: [{path: '/operators/nergui/keyHash', value: key.secretHash}]});
		expect(await read(key.text)).toMatchObject({status: 200});
		await first.call('POST', '/v1/changes', {changeId: 'op-2', edits: [{path: '/operators/nergui/withdrawn', value: true}]});
		expect(await read(key.text)).toMatchObject({status: 401});
	});

	test('a change whose commit response was lost is confirmed, and in an outage the outcome is not-run', async () => {
		const [first] = controllers as [RunningController];
		platform.setFaults({loseAnswers: 1});
		expect(await first.call('POST', '/v1/changes', {changeId: 'lost', edits: teamEdits('red')})).toMatchObject({status: 200, body: {change: {revision: 1}}});
		platform.setFaults({down: true});
		expect(await first.call('POST', '/v1/changes', {changeId: 'down', edits: teamEdits('blue')})).toMatchObject({status: 503, body: {outcome: 'not-run'}});
		platform.setFaults({down: false});
	});

	test('a controller that starts in an outage learns the settings from peers', async () => {
		const [first] = controllers as [RunningController];
		await first.call('POST', '/v1/changes', {changeId: 'c-1', edits: teamEdits('red')});
		platform.setFaults({down: true});
		const late = await startController(platformUrl, 'controller-3', `http://127.0.0.1:1,${first.operationsUrl}`);
		await vi.waitFor(async () => {
			expect(await late.call('GET', '/v1/settings')).toMatchObject({status: 200, body: {revision: 1}});
		}, {timeout: 10_000});
		platform.setFaults({down: false});
		platform.hosts.put('controller-3-host');
		expect(await late.process.stop()).toEqual([]);
	});
});
