/**
Tests operators' edits of hosts on which planned work depends. Another process holds the lease, so that the responses of the controllers cannot depend on it and no wave advances during a test.
*/
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {type JsonObject} from '@poplarnotch/common';
import {type PlatformStandIn} from '@poplarnotch/standin';
import {LeaseContender} from '@poplarnotch/state';
import {type WaveProgress} from '../../src/fleet/types.js';
import {
	type CallResponse, type RunningController, startController, startPlatform,
} from './controller-fixture.js';

const fleetEdits = [
	{path: '/pools/desk/slotsPerServer', value: 8},
	{path: '/pools/draws/slotsPerServer', value: 8},
	...['h1', 'h2', 'h3'].flatMap(host => [
		{path: `/hosts/${host}/pool`, value: 'desk'},
		{path: `/hosts/${host}/dataCentre`, value: 'dc-1'},
		{path: `/hosts/${host}/rack`, value: 'r-1'},
		{path: `/hosts/${host}/address`, value: 'http://127.0.0.1:1'},
	]),
	{path: '/waves/w1/pools', value: ['desk']},
	{path: '/waves/w1/change', value: 'kernel-2'},
	{path: '/waves/w1/state', value: 'running'},
];

/** A wave that reboots h1 and drains h2. */
const progressAt = (nowMs: number): WaveProgress => ({
	wave: 'w1',
	phase: 'running',
	startedAtMs: nowMs,
	hosts: {
		h1: {step: 'rebooting', startedAtMs: nowMs, sinceMs: nowMs},
		h2: {step: 'draining', startedAtMs: nowMs, sinceMs: nowMs},
	},
	done: {},
	failed: {},
	skipped: {},
	postponed: {},
	hostMsTotal: 0,
	failures: 0,
});

const codesOf = ({body}: CallResponse): readonly string[] => (body.findings as ReadonlyArray<{code: string}>).map(({code}) => code);

describe('edits of hosts', () => {
	let platform: PlatformStandIn;
	let otherHolder: LeaseContender;
	let controllers: readonly RunningController[];

	beforeEach(async () => {
		const started = await startPlatform();
		({platform} = started);
		otherHolder = new LeaseContender({table: platform.table, holder: 'elsewhere@1'});
		await new Promise<void>(resolve => {
			otherHolder.contend('fleet', lease => {
				if (lease !== undefined) {
					resolve();
				}
			});
		});
		controllers = [await startController(started.platformUrl, 'controller-1'), await startController(started.platformUrl, 'controller-2')];
		const waveRow = {type: 'put', key: 'waves/w1', value: progressAt(Date.now()) as unknown as JsonObject} as const;
		await platform.table.commit({conditions: [], writes: [waveRow]});
	});

	afterEach(async () => {
		for (const controller of controllers) {
			expect(await controller.process.stop()).toEqual([]);
		}

		await otherHolder.withdrawAll();
		await platform.close();
	});

	const change = async (controller: RunningController, changeId: string, path: string, value: string): Promise<CallResponse> =>
		controller.call('POST', '/v1/changes', {changeId, edits: [{path, value}]});

	test('are rejected by every controller if they skip the drain or change a host that is rebooting', async () => {
		const [first] = controllers as [RunningController];
		expect(await first.call('POST', '/v1/changes', {changeId: 'load', edits: fleetEdits})).toMatchObject({status: 200});
		for (const [index, controller] of controllers.entries()) {
			for (const query of ['', '?dryRun=true']) {
				const refused = await controller.call('POST', `/v1/changes${query}`, {
					changeId: `refused-${index}`,
					edits: [{path: '/hosts/h1/state', value: 'serving'}, {path: '/hosts/h2/rack', value: 'r-2'}, {path: '/hosts/h3/pool', value: 'draws'}],
				});
				expect([refused.status, codesOf(refused)]).toEqual([422, ['host-in-wave', 'pool-needs-drain']]);
			}
		}

		expect(await change(first, 'target', '/hosts/h3/targetPool', 'draws')).toMatchObject({status: 200});
		expect(await change(first, 'give-back', '/hosts/h2/state', 'serving')).toMatchObject({status: 200});
	});

	test('are checked against the newest settings by a controller whose replica does not have them yet', async () => {
		const [first, second] = controllers as [RunningController, RunningController];
		await first.call('POST', '/v1/changes', {changeId: 'load', edits: fleetEdits});
		expect(await change(second, 'at-once', '/hosts/h3/pool', 'draws')).toMatchObject({status: 422});
	});

	test('of a rollback are checked too, and a repeated change gets the same response again', async () => {
		const [first, second] = controllers as [RunningController, RunningController];
		await first.call('POST', '/v1/changes', {changeId: 'load', edits: fleetEdits.filter(({path}) => !path.startsWith('/waves/'))});
		await platform.table.commit({conditions: [], writes: [{type: 'delete', key: 'waves/w1'}]});
		const accepted = await change(first, 'drain', '/hosts/h1/state', 'maintenance');
		expect(accepted.status).toBe(200);
		await platform.table.commit({conditions: [], writes: [{type: 'put', key: 'waves/w1', value: progressAt(Date.now()) as unknown as JsonObject}]});
		await vi.waitFor(async () => {
			expect(await change(second, 'drain', '/hosts/h1/state', 'maintenance')).toEqual(accepted);
		});
		const back = await second.call('POST', '/v1/rollback', {changeId: 'back', toRevision: 1});
		expect([back.status, codesOf(back)]).toEqual([422, ['host-in-wave']]);
	});
});
