import {request} from 'undici';
import {afterEach, expect, test} from 'vitest';
import {
	call, type RunningGate, TestFleet, waitFor,
} from '../support/test-fleet.js';

let fleet: TestFleet | undefined;

afterEach(async () => {
	await fleet?.close();
	fleet = undefined;
});

test('a request with the team\'s key reaches a backend server, and the caller receives the complete answer', async () => {
	fleet = await TestFleet.start();
	const gate = await fleet.startGate('gate-1');
	const answer = await request(`${gate.url}/q/pairings/draw?ms=5`, {method: 'POST', headers: {...fleet.authorization, 'x-run-key': 'a'}, body: 'names'});
	expect(answer.statusCode).toBe(200);
	expect(answer.headers['x-request-id']).toMatch(/^gate-1-/v);
	expect(await answer.body.json()).toMatchObject({method: 'POST', path: '/draw?ms=5', body: 'names'});
	expect(fleet.runsOf('a')).toBe(1);
});

const serversOf = async (gate: RunningGate, count: number): Promise<ReadonlySet<unknown>> => {
	const answers = await Promise.all(Array.from({length: count}, async () => call(`${gate.url}/q/pairings/list`, {headers: fleet!.authorization})));
	return new Set(answers.map(({headers}) => headers['x-backend-host']));
};

test.each([
	['the host list', async () => {
		fleet!.platform.hosts.put('h1', 'leaving');
	}],
	['the settings', async () => {
		await fleet!.change({'/hosts/h1/state': 'leaving'});
	}],
])('a backend server that %s shows as leaving receives no new work', async (_name, leave) => {
	fleet = await TestFleet.start();
	const gate = await fleet.startGate('gate-1');
	await waitFor('both serve', async () => {
		const servers = await serversOf(gate, 20);
		return servers.size === 2;
	});
	await leave();
	await waitFor('h1 receives no requests', async () => {
		const servers = await serversOf(gate, 20);
		return servers.size === 1 && servers.has('h2');
	});
	const before = fleet.backends.servers[0]!.record.requests;
	await serversOf(gate, 40);
	expect(fleet.backends.servers[0]!.record.requests).toBe(before);
});

test('a withdrawn key is refused, also on an open connection', async () => {
	fleet = await TestFleet.start();
	const gate = await fleet.startGate('gate-1');
	expect(await call(`${gate.url}/q/pairings/list`, {headers: fleet.authorization})).toMatchObject({status: 200});
	await fleet.change({'/teams/red/keys/red-1/withdrawn': true});
	await waitFor('refusal', async () => {
		const {status, problem} = await call(`${gate.url}/q/pairings/list`, {headers: fleet!.authorization});
		return status === 401 && problem?.outcome === 'not-run';
	});
});
