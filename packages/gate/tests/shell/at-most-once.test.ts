import {afterEach, expect, test} from 'vitest';
import {
	call, type CallerAnswer, type RunningGate, TestFleet, type TestFleetOptions, waitFor,
} from '../support/test-fleet.js';

let fleet: TestFleet;

afterEach(async () => {
	await fleet.close();
});

const startFleet = async (options: TestFleetOptions = {}, gates = 1): Promise<readonly RunningGate[]> => {
	fleet = await TestFleet.start(options);
	for (let index = 1; index <= gates; index++) {
		await fleet.startGate(`gate-${index}`);
	}

	await fleet.waitForMembership();
	return fleet.gates;
};

/** Sends a draw with an idempotency key, which also serves as the run key by which the backend servers count runs. */
const draw = async (gate: RunningGate, key: string, {path = 'draw', body = 'names', timeoutMs = 5000} = {}): Promise<CallerAnswer> =>
	call(`${gate.url}/q/pairings/${path}`, {
		method: 'POST',
		headers: {
			...fleet.authorization, 'idempotency-key': key, 'x-run-key': key, 'request-timeout-ms': String(timeoutMs),
		},
		body,
	});

const isAnswered = async (gate: RunningGate, key: string, path = 'draw'): Promise<boolean> => {
	const {status} = await draw(gate, key, {path});
	return status === 200;
};

const waitUntilRunning = async (key: string): Promise<void> => waitFor(`${key} runs`, () => fleet.runsOf(key) > 0);

test('a repeated request is answered with the recorded outcome at every gate', async () => {
	const [first, second] = await startFleet({}, 2);
	const answer = await draw(first!, 'a');
	expect(answer.status).toBe(200);
	const repeats = [await draw(second!, 'a'), await draw(first!, 'a')];
	await waitFor('outcome written', () => (first!.process.dump().claims as {held: number}).held === 0);
	repeats.push(await draw(first!, 'a'), await draw(second!, 'a'));
	for (const repeat of repeats) {
		expect(repeat.status).toBe(200);
		expect(repeat.text).toBe(answer.text);
		expect(repeat.headers['x-backend-host']).toBe(answer.headers['x-backend-host']);
		expect(repeat.headers['x-request-id']).not.toBe(answer.headers['x-request-id']);
	}

	expect(fleet.runsOf('a')).toBe(1);
});

test('the outcome of a complete answer is available at another gate at once, for every answer size', async () => {
	const [first, second] = await startFleet({}, 2);
	const repeats: Array<string | undefined> = [];
	for (const sizeBytes of [0, 1, 300, 32_768, 32_769, 400_000]) {
		const path = `draw?bytes=${sizeBytes}`;
		const answer = await draw(first!, `k${sizeBytes}`, {path});
		expect(answer).toMatchObject({status: 200, connectionError: undefined});
		expect(answer.text.length).toBe(sizeBytes);
		const repeat = await draw(second!, `k${sizeBytes}`, {path});
		repeats.push(repeat.status === 200 && repeat.text === answer.text ? 'same' : repeat.problem?.type);
	}

	expect(repeats).toEqual(['same', 'same', 'same', 'same', 'body-not-recorded', 'body-not-recorded']);
});

test('an answer is complete although the table service became unavailable during the run, and its outcome is recorded later', async () => {
	const [first, second] = await startFleet({}, 2);
	const path = 'draw?ms=200&bytes=300';
	const answering = draw(first!, 'a', {path});
	await waitUntilRunning('a');
	fleet.platform.setFaults({down: true});
	const answer = await answering;
	expect(answer).toMatchObject({status: 200, connectionError: undefined});
	expect(first!.process.dump().claims).toMatchObject({held: 1});
	fleet.platform.setFaults({down: false});
	await waitFor('outcome at the other gate', async () => isAnswered(second!, 'a', path));
	expect(fleet.runsOf('a')).toBe(1);
});

test('a repeat during the run is answered with 409 at every gate, and a different request with the same key with 422', async () => {
	const [first, second] = await startFleet({}, 2);
	const answer = draw(first!, 'a', {path: 'draw?ms=300'});
	await waitUntilRunning('a');
	for (const gate of [first!, second!]) {
		const repeat = await draw(gate, 'a', {path: 'draw?ms=300'});
		expect(repeat).toMatchObject({status: 409, problem: {type: 'request-running', outcome: 'unknown'}});
		expect(await draw(gate, 'a', {body: 'other names'})).toMatchObject({status: 422, problem: {outcome: 'not-run'}});
		expect(await draw(gate, 'a', {path: 'other'})).toMatchObject({status: 422});
	}

	expect(await answer).toMatchObject({status: 200});
	expect(fleet.runsOf('a')).toBe(1);
});

test('lost answers of the table service neither lose nor duplicate a request', async () => {
	const gates = await startFleet({}, 2);
	fleet.platform.setFaults({loseAnswerShare: 0.5});
	const keys = Array.from({length: 40}, (_, index) => `k${index}`);
	const answers = await Promise.all(keys.flatMap(key => gates.map(async gate => draw(gate, key))));
	fleet.platform.setFaults({loseAnswerShare: 0});
	for (const key of keys) {
		expect(fleet.runsOf(key), key).toBeLessThanOrEqual(1);
	}

	for (const [index, answer] of answers.entries()) {
		const runs = fleet.runsOf(keys[Math.floor(index / gates.length)]!);
		expect(answer.connectionError).toBeUndefined();
		expect(runs === 0 ? answer.problem?.outcome : 'ran').not.toBe('unknown');
	}

	const answeredKeys = keys.filter((_key, index) => answers.slice(2 * index, (2 * index) + 2).some(({status}) => status === 200));
	expect(answeredKeys.length).toBeGreaterThan(0);
	for (const key of answeredKeys) {
		await waitFor(`${key} is recorded`, async () => isAnswered(gates[0]!, key));
	}
});

test('while the table service is unavailable, requests with an idempotency key are refused as not run, and others are served', async () => {
	const [gate] = await startFleet();
	// The gate keeps the part of the team's upper limit that it held before the outage.
	expect(await call(`${gate!.url}/q/pairings/list`, {headers: fleet.authorization})).toMatchObject({status: 200});
	fleet.platform.setFaults({down: true});
	const refusals = await Promise.all(['a', 'b', 'c'].map(async key => draw(gate!, key)));
	for (const refusal of refusals) {
		expect(refusal).toMatchObject({status: 503, problem: {type: 'claims-unavailable', outcome: 'not-run'}});
		expect(refusal.problem?.retryAfterMs).toBeGreaterThan(0);
	}

	expect(await call(`${gate!.url}/q/pairings/list`, {headers: fleet.authorization})).toMatchObject({status: 200});
	expect(['a', 'b', 'c'].map(key => fleet.runsOf(key))).toEqual([0, 0, 0]);
	fleet.platform.setFaults({down: false});
	await waitFor('requests with a key are served again', async () => isAnswered(gate!, 'a'));
	expect(fleet.runsOf('a')).toBe(1);
});

test('the outcome of a claim whose gate crashed is unknown, and the request is never run again', async () => {
	const [first, second] = await startFleet({}, 2);
	const aborted = draw(first!, 'a', {path: 'draw?ms=400'});
	await waitUntilRunning('a');
	await first!.process.kill();
	expect(await aborted).toMatchObject({status: 0});
	expect(await draw(second!, 'a', {path: 'draw?ms=400'})).toMatchObject({status: 409, problem: {type: 'request-running'}});
	await fleet.startGate('gate-1');
	for (const gate of fleet.gates.slice(1)) {
		expect(await draw(gate, 'a', {path: 'draw?ms=400'})).toMatchObject({status: 409, problem: {type: 'outcome-unknown', outcome: 'unknown'}});
	}

	expect(fleet.runsOf('a')).toBe(1);
});

test('a caller that closes its connection receives the outcome when it repeats the request', async () => {
	const [gate] = await startFleet();
	const controller = new AbortController();
	const aborted = fetch(`${gate!.url}/q/pairings/draw?ms=100`, {
		method: 'POST', headers: {...fleet.authorization, 'idempotency-key': 'a', 'x-run-key': 'a'}, body: 'names', signal: controller.signal,
	}).catch(() => undefined);
	await waitUntilRunning('a');
	controller.abort();
	await aborted;
	await waitFor('outcome', async () => isAnswered(gate!, 'a', 'draw?ms=100'));
	expect(fleet.runsOf('a')).toBe(1);
});

test.each(['resetBeforeAnswer', 'resetMidAnswer', 'shortAnswer', 'freeze'] as const)('a request that met %s is not retried, and its outcome stays unknown', async fault => {
	const [gate] = await startFleet();
	for (const server of fleet.backends.servers) {
		await server.setFaults({[fault]: true});
	}

	const keyed = await draw(gate!, 'a', {timeoutMs: 200});
	const unkeyed = await call(`${gate!.url}/q/pairings/draw`, {
		method: 'POST', headers: {...fleet.authorization, 'x-run-key': 'b', 'request-timeout-ms': '200'}, body: 'names',
	});
	for (const answer of [keyed, unkeyed]) {
		expect(answer.connectionError !== undefined || answer.problem?.outcome === 'unknown', JSON.stringify(answer)).toBe(true);
	}

	for (const server of fleet.backends.servers) {
		await server.setFaults({[fault]: false});
	}

	expect(await draw(gate!, 'a')).toMatchObject({status: 409, problem: {outcome: 'unknown'}});
	expect([fleet.runsOf('a'), fleet.runsOf('b')]).toEqual([1, 1]);
});

test('a request is reported as not run only if no backend server accepted a connection', async () => {
	const [gate] = await startFleet();
	const [firstServer, secondServer] = fleet.backends.servers;
	await firstServer!.setFaults({refuseConnections: true});
	const answers = await Promise.all(['a', 'b', 'c', 'd'].map(async key => draw(gate!, key)));
	expect(answers.map(({status}) => status)).toEqual([200, 200, 200, 200]);
	await secondServer!.setFaults({refuseConnections: true});
	expect(await draw(gate!, 'e')).toMatchObject({status: 503, problem: {outcome: 'not-run'}});
	await firstServer!.setFaults({refuseConnections: false});
	await secondServer!.setFaults({refuseConnections: false});
	expect(fleet.runsOf('e')).toBe(0);
	await waitFor('e runs', async () => isAnswered(gate!, 'e'));
	expect(['a', 'b', 'c', 'd', 'e'].map(key => fleet.runsOf(key))).toEqual([1, 1, 1, 1, 1]);
});

test('a repeat of a request whose answer is too large to record is answered with the outcome "ran"', async () => {
	const [gate] = await startFleet();
	const answer = await draw(gate!, 'a', {path: 'draw?bytes=100000'});
	expect(answer.text.length).toBe(100_000);
	expect(await draw(gate!, 'a', {path: 'draw?bytes=100000'})).toMatchObject({status: 410, problem: {type: 'body-not-recorded', outcome: 'ran'}});
	expect(fleet.runsOf('a')).toBe(1);
});
