/**
Tests RPC between processes over loopback sockets.
*/
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {MetricsRegistry, OperationsServer} from '@poplarnotch/common';
import {createRpcRoute, PeerUnreachableError, RpcClient} from '../../src/index.js';

const secret = 'shared-by-all-processes';

describe('RPC', () => {
	let server: OperationsServer;
	let url: string;
	let client: RpcClient;
	let calls: number;

	beforeEach(async () => {
		calls = 0;
		server = new OperationsServer({metrics: new MetricsRegistry(), isReady: () => true, dump: () => ({})}, [createRpcRoute(secret, {
			echo(parameters) {
				calls++;
				return parameters as Record<string, string>;
			},
			fail() {
				throw new RangeError('scripted');
			},
			async hang() {
				return new Promise(() => {
					// Never resolves.
				});
			},
		})]);
		url = `http://127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
		client = new RpcClient({secret, timeoutMs: 10_000});
	});

	afterEach(async () => {
		await client.close();
		await server.close();
	});

	test('returns each of many concurrent calls with the shared secret its own result', async () => {
		const responses = await Promise.all(Array.from({length: 30}, async (_value, index) => client.call(url, 'echo', {index})));
		expect(responses).toEqual(Array.from({length: 30}, (_value, index) => ({index})));
	});

	test('runs no method for a caller with a different secret', async () => {
		const unauthorizedClient = new RpcClient({secret: 'something-else-altogether'});
		await expect(unauthorizedClient.call(url, 'echo', {})).rejects.toBeInstanceOf(PeerUnreachableError);
		await unauthorizedClient.close();
		expect(calls).toBe(0);
	});

	test('a failing, unknown, hanging or oversized call and a closed port fail with the same error class', async () => {
		await expect(client.call(url, 'fail', {})).rejects.toBeInstanceOf(PeerUnreachableError);
		await expect(client.call(url, 'unknown', {})).rejects.toBeInstanceOf(PeerUnreachableError);
		await expect(client.call(url, 'hang', {}, 50)).rejects.toBeInstanceOf(PeerUnreachableError);
		await expect(client.call(url, 'echo', {text: 'x'.repeat(2_000_000)})).rejects.toBeInstanceOf(PeerUnreachableError);
		await expect(client.call('http://127.0.0.1:1', 'echo', {})).rejects.toBeInstanceOf(PeerUnreachableError);
		expect(await client.call(url, 'echo', {still: 'there'})).toEqual({still: 'there'});
	});

	test('a call that reached no process or was refused is told apart from one that may have been performed', async () => {
		const stranger = new RpcClient({secret: 'something-else-altogether'});
		await expect(stranger.call(url, 'echo', {})).rejects.toMatchObject({mayBePerformed: false});
		await stranger.close();
		await expect(client.call('http://127.0.0.1:1', 'echo', {})).rejects.toMatchObject({mayBePerformed: false});
		await expect(client.call(url, 'hang', {}, 50)).rejects.toMatchObject({mayBePerformed: true});
		await expect(client.call(url, 'fail', {})).rejects.toMatchObject({mayBePerformed: true});
	});

	test('the timeout also applies to a call that waits for a free connection', async () => {
		// More calls than a process opens connections to one peer.
		const hanging = Array.from({length: 3}, async () => client.call(url, 'hang', {}, 3000).catch(() => undefined));
		await expect(Promise.race([
			client.call(url, 'echo', {}, 100),
			new Promise(resolve => {
				setTimeout(resolve, 1500, 'still waiting');
			}),
		])).rejects.toBeInstanceOf(PeerUnreachableError);
		await client.close();
		await Promise.all(hanging);
	});
});
