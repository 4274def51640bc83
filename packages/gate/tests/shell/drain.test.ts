import {connect} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {
	call, type CallerAnswer, type RunningGate, TestFleet, waitFor,
} from '../support/test-fleet.js';

let fleet: TestFleet;

afterEach(async () => {
	await fleet.close();
});

const startGate = async (overrides: readonly string[] = []): Promise<RunningGate> => {
	fleet = await TestFleet.start({hosts: 1, settings: {'/pools/pairing/slotsPerServer': 1}});
	return fleet.startGate('gate-1', overrides);
};

const draw = async (gate: RunningGate, key: string, runMs: number): Promise<CallerAnswer> => call(`${gate.url}/q/pairings/draw?ms=${runMs}`, {
	method: 'POST', headers: {...fleet.authorization, 'idempotency-key': key, 'x-run-key': key}, body: 'names',
});

const isReportedReady = async (gate: RunningGate): Promise<boolean> => {
	const {status} = await call(`${gate.operationsUrl}/readyz`);
	return status === 200;
};

const isClosed = async (gate: RunningGate): Promise<boolean> => {
	const {connectionError} = await call(`${gate.url}/q/pairings/list`, {headers: fleet.authorization});
	return connectionError === 'ECONNREFUSED';
};

const countMembers = async (): Promise<number> => {
	const {rows} = await fleet.platform.table.readPrefix('members/');
	return rows.length;
};

test('a drain completes running and waiting requests, records their outcomes, removes the registration and accepts no new connection', async () => {
	// Outcomes wait longer for their batch than anything else that the drain waits for.
	const gate = await startGate(['claims.slowLingerMs=1500']);
	expect(await isReportedReady(gate)).toBe(true);
	const running = draw(gate, 'a', 150);
	await waitFor('a runs', () => fleet.runsOf('a') > 0);
	const waiting = draw(gate, 'b', 20);
	await waitFor('b waits', () => gate.process.dump().exchanges === 2);
	const drained = gate.process.drain();
	expect(await isReportedReady(gate)).toBe(false);
	await waitFor('closed port', async () => isClosed(gate));
	expect(await running).toMatchObject({status: 200, connectionError: undefined});
	expect(await waiting).toMatchObject({status: 200, connectionError: undefined});
	expect(await drained).toEqual({isWhole: true});
	expect(await countMembers()).toBe(0);
	const next = await fleet.startGate('gate-2');
	for (const key of ['a', 'b']) {
		expect(await draw(next, key, key === 'a' ? 150 : 20)).toMatchObject({status: 200});
		expect(fleet.runsOf(key)).toBe(1);
	}
});

test('a connection that is open when the drain starts is served one more request and then closed', async () => {
	const gate = await startGate(['listen.keepAliveTimeoutMs=10000']);
	const {hostname, port} = new URL(gate.url);
	const socket = connect({host: hostname, port: Number(port)});
	let received = '';
	socket.on('data', chunk => {
		received += chunk.toString();
	});
	const send = async (path: string): Promise<string> => {
		received = '';
		socket.write(`GET /q/pairings/${path} HTTP/1.1\r\nHost: gate\r\nAuthorization: ${fleet.authorization.authorization}\r\n\r\n`);
		await waitFor('answer', () => received.includes(`"path":"/${path}"`) && received.endsWith('}'));
		return received.toLowerCase();
	};

	expect(await send('one')).toContain('connection: keep-alive');
	const drained = gate.process.drain();
	await waitFor('closed port', async () => isClosed(gate));
	expect(await send('two')).toContain('connection: close');
	expect(await drained).toEqual({isWhole: true});
});

test('a drain whose requests do not end is ended by its timeout', async () => {
	const gate = await startGate(['drain.timeoutMs=150']);
	await fleet.backends.servers[0]!.setFaults({freeze: true});
	const frozen = draw(gate, 'a', 0);
	await waitFor('a runs', () => fleet.runsOf('a') > 0);
	expect(await gate.process.drain()).toEqual({isWhole: false});
	expect(await frozen).toMatchObject({status: 0});
});

test('outcomes that cannot be written during an outage of the table service are written when it ends, before the gate removes its registration', async () => {
	const gate = await startGate();
	const running = draw(gate, 'a', 60);
	await waitFor('a runs', () => fleet.runsOf('a') > 0);
	fleet.platform.setFaults({down: true});
	expect(await running).toMatchObject({status: 200});
	const drained = gate.process.drain();
	await waitFor('a write was tried', () => (gate.process.dump().claims as {isTableDown: boolean}).isTableDown);
	fleet.platform.setFaults({down: false});
	expect(await drained).toEqual({isWhole: true});
	const next = await fleet.startGate('gate-2');
	expect(await draw(next, 'a', 60)).toMatchObject({status: 200});
	expect(fleet.runsOf('a')).toBe(1);
});
