/**
Tests the plan of a wave as every controller returns it over loopback sockets.
*/
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {type JsonObject} from '@poplarnotch/common';
import {BackendPool, type PlatformStandIn} from '@poplarnotch/standin';
import {type RunningController, startController, startPlatform} from './controller-fixture.js';

const hostNames = ['spin-1', 'spin-2', 'spin-3'];

let platform: PlatformStandIn;
let backends: BackendPool;
let controllers: readonly RunningController[];

beforeEach(async () => {
	const started = await startPlatform();
	platform = started.platform;
	for (const host of [...hostNames, 'c1-host', 'c2-host']) {
		platform.hosts.put(host);
	}

	backends = new BackendPool(hostNames.map(host => ({host, port: 0})));
	controllers = [await startController(started.platformUrl, 'c1'), await startController(started.platformUrl, 'c2')];
});

afterEach(async () => {
	await Promise.all(controllers.map(async controller => controller.process.stop()));
	await backends.close();
	await platform.close();
});

const edit = (path: string, value: string | readonly string[]): JsonObject => ({path, value});

const defineWave = async (addresses: ReadonlyMap<string, string>): Promise<void> => {
	const hostEdits = [...addresses].flatMap(([host, address]) => [
		edit(`/hosts/${host}/pool`, 'spins'),
		edit(`/hosts/${host}/dataCentre`, 'dc-1'),
		edit(`/hosts/${host}/rack`, host),
		edit(`/hosts/${host}/address`, address),
	]);
	const edits = [
		{path: '/pools/spins/slotsPerServer', value: 8},
		...hostEdits,
		edit('/waves/w1/pools', ['spins']),
		edit('/waves/w1/change', 'kernel-2'),
	];
	await vi.waitFor(async () => {
		const response = await controllers[0]!.call('POST', '/v1/changes', {changeId: 'define', reason: 'test', edits});
		expect(response.status).toBe(200);
	}, {timeout: 10_000});
};

test('every controller returns the plan of the controller that holds the lease', async () => {
	await defineWave(await backends.start());
	await vi.waitFor(async () => {
		const plans = await Promise.all(controllers.map(async controller => controller.call('GET', '/v1/waves/w1/plan')));
		const planned = plans.map(plan => (plan.body.batches as ReadonlyArray<readonly string[]>).flat().toSorted());
		expect(planned).toEqual([hostNames, hostNames]);
	}, {timeout: 15_000, interval: 100});
});
