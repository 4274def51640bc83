import {connect} from 'node:net';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {
	call, type CallerAnswer, type RunningGate, TestFleet,
} from '../support/test-fleet.js';

let fleet: TestFleet;
let gate: RunningGate;

beforeAll(async () => {
	fleet = await TestFleet.start({queue: {maxBodyBytes: 1000}});
	gate = await fleet.startGate('gate-1', ['limits.headersTimeoutMs=300', 'limits.requestTimeoutMs=300', 'limits.maxHeaderBytes=8192']);
});

afterAll(async () => {
	await fleet.close();
});

const send = async (path: string, headers: Readonly<Record<string, string>> = {}, body?: string): Promise<CallerAnswer> =>
	call(`${gate.url}${path}`, {method: 'POST', headers: {...fleet.authorization, 'x-run-key': 'bad', ...headers}, body});

/** Sends raw bytes and returns everything received until the connection is closed. */
const sendRaw = async (text: string, {end = true} = {}): Promise<string> => new Promise(resolve => {
	const {hostname, port} = new URL(gate.url);
	const socket = connect({host: hostname, port: Number(port)});
	let answer = '';
	socket.on('data', chunk => {
		answer += chunk.toString();
	});
	socket.on('error', () => {
		resolve(answer);
	});
	socket.on('close', () => {
		resolve(answer);
	});
	if (end) {
		socket.end(text);
	} else {
		socket.write(text);
	}
});

const head = (...lines: readonly string[]): string => [...lines, 'Host: gate', `Authorization: ${fleet.authorization.authorization}`, 'X-Run-Key: bad', '', ''].join('\r\n');

const malformedKeyHeaders = {authorization: 'Bearer nonsense'};

test.each([
	['an unknown queue', 404, 'queue-unknown', async () => send('/q/nowhere/draw')],
	['another path', 404, 'path-unknown', async () => send('/draw')],
	['a missing key', 401, 'key-required', async () => send('/q/pairings/draw', malformedKeyHeaders)],
	['a wrong key', 401, 'key-refused', async () => send('/q/pairings/draw', {authorization: `Bearer ${fleet.key.text}x`})],
	['a malformed timeout', 400, 'bad-timeout', async () => send('/q/pairings/draw', {'request-timeout-ms': '1s'})],
	['a timeout of 0', 400, 'bad-timeout', async () => send('/q/pairings/draw', {'request-timeout-ms': '0'})],
	['a long idempotency key', 400, 'bad-idempotency-key', async () => send('/q/pairings/draw', {'idempotency-key': 'k'.repeat(256)})],
	['an idempotency key with a space', 400, 'bad-idempotency-key', async () => send('/q/pairings/draw', {'idempotency-key': 'a b'})],
	['a large body', 413, 'body-too-large', async () => send('/q/pairings/draw', {}, 'x'.repeat(1001))],
	['a large keyed body', 413, 'body-too-large', async () => send('/q/pairings/draw', {'idempotency-key': 'a'}, 'x'.repeat(1001))],
] as const)('%s is answered with status %i and a problem that says "not run"', async (_name, status, type, sendBad) => {
	const answer = await sendBad();
	expect(answer).toMatchObject({status, problem: {type, outcome: 'not-run', status}});
	expect(answer.headers['x-request-id']).toMatch(/^gate-1-/v);
	expect(fleet.runsOf('bad')).toBe(0);
});

test.each([
	['large headers', 431, 'headers-too-large', () => head('GET /q/pairings/draw HTTP/1.1', `X-Large: ${'x'.repeat(10_000)}`)],
	['two lengths', 400, 'bad-request', () => head('POST /q/pairings/draw HTTP/1.1', 'Content-Length: 3', 'Content-Length: 5')],
	['a length and chunks', 400, 'bad-request', () => head('POST /q/pairings/draw HTTP/1.1', 'Content-Length: 3', 'Transfer-Encoding: chunked')],
	['no HTTP', 400, 'bad-request', () => 'hello\r\n\r\n'],
	['a bad chunk', 400, 'bad-request', () => `${head('POST /q/pairings/draw HTTP/1.1', 'Idempotency-Key: a', 'Transfer-Encoding: chunked')}zz\r\n`],
	['no host', 400, 'bad-request', () => 'GET /q/pairings/draw HTTP/1.1\r\n\r\n'],
] as ReadonlyArray<readonly [string, number, string, () => string]>)('input with %s: status %i and a problem, and the connection is closed', async (_name, status, type, bytes) => {
	const answer = await sendRaw(bytes());
	expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
	expect(answer).toContain(`"type":"${type}"`);
	expect(answer).toContain('"outcome":"not-run"');
	expect(answer.toLowerCase()).toContain('x-request-id: gate-1-');
	expect(fleet.runsOf('bad')).toBe(0);
});

test('a caller that sends its headers or its body too slowly is answered with 408', async () => {
	const slowHead = sendRaw('GET /q/pairings/draw HTTP/1.1\r\nHost: gate\r\nX-Slow: ', {end: false});
	const slowBody = sendRaw(`${head('POST /q/pairings/draw HTTP/1.1', 'Content-Length: 10', 'Idempotency-Key: slow')}abc`, {end: false});
	for (const answer of await Promise.all([slowHead, slowBody])) {
		expect(answer).toMatch(/^HTTP\/1.1 408 /v);
	}

	expect(fleet.runsOf('bad')).toBe(0);
});

test('a chunked body that exceeds its limit while it is streamed is answered with 413 and an unknown outcome', async () => {
	const chunks = `${(800).toString(16)}\r\n${'x'.repeat(800)}\r\n`.repeat(3);
	const answer = await sendRaw(`${head('POST /q/pairings/draw HTTP/1.1', 'Transfer-Encoding: chunked', 'Connection: close')}${chunks}0\r\n\r\n`, {end: false});
	expect(answer).toMatch(/^HTTP\/1.1 413 /v);
	expect(answer).toContain('"outcome":"unknown"');
});

test('pipelined requests are answered in order, and a malformed request after them truncates no answer', async () => {
	const get = (path: string): string => head(`GET /q/pairings/${path} HTTP/1.1`);
	const answer = await sendRaw(`${get('one?ms=60')}${get('two')}nonsense\r\n\r\n`, {end: false});
	expect(answer.indexOf('"path":"/one?ms=60"')).toBeGreaterThan(0);
	expect(answer.indexOf('"path":"/two"')).toBeGreaterThan(answer.indexOf('"path":"/one?ms=60"'));
	expect(answer.indexOf('"type":"bad-request"')).toBeGreaterThan(answer.indexOf('"path":"/two"'));
});

test('the gate still serves requests after all invalid input', async () => {
	expect(await send('/q/pairings/draw', {'x-run-key': 'good'})).toMatchObject({status: 200});
	expect(fleet.runsOf('good')).toBe(1);
});
