import {type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {
	call, type RunningGate, TestFleet,
} from '../support/test-fleet.js';
import {type RawRequestHandler, type RawBackend, startRawBackend} from '../support/raw-backend.js';

let fleet: TestFleet | undefined;
let backend: RawBackend | undefined;

afterEach(async () => {
	await fleet?.close();
	await backend?.close();
	fleet = undefined;
	backend = undefined;
});

const startWith = async (answer: RawRequestHandler): Promise<RunningGate> => {
	backend = await startRawBackend(answer);
	fleet = await TestFleet.start({
		hosts: 0,
		settings: {
			'/hosts/raw/pool': 'pairing', '/hosts/raw/dataCentre': 'dc-1', '/hosts/raw/rack': 'r1', '/hosts/raw/address': backend.url,
		},
	});
	fleet.platform.hosts.put('raw');
	return fleet.startGate('gate-1');
};

const draw = async (gate: RunningGate, path = 'draw', timeoutMs = 3000) => call(`${gate.url}/q/pairings/${path}`, {
	method: 'POST', headers: {...fleet!.authorization, 'request-timeout-ms': String(timeoutMs)},
});

const incompleteAnswers: Readonly<Record<string, string>> = {
	'a short body': 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf',
	'a short body on a closing connection': 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 100\r\n\r\nhalf',
	'a truncated chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\nhalf',
	'a truncated chunk on a closing connection': 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n40\r\nhalf',
	'chunks without a last one': 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
	'a truncated chunk that contains an end marker': 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n9\r\n0\r\n\r\n',
	'a body that ends with its connection': 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf',
	'a truncated head': 'HTTP/1.1 200 OK\r\ncontent-le',
	'no answer': '',
	'no HTTP': 'hello there\r\n\r\n',
};

const connectionEnds: Readonly<Record<string, (socket: Socket) => void>> = {
	closed(socket) {
		socket.end();
	},
	reset(socket) {
		socket.resetAndDestroy();
	},
};

test.each(Object.keys(incompleteAnswers).flatMap(name => Object.keys(connectionEnds).map(end => [name, end] as const)))('%s (%s) is never forwarded as a complete answer', async (name, end) => {
	const gate = await startWith(socket => {
		socket.write(incompleteAnswers[name]!, () => {
			// The bytes must be sent before the connection ends, or a reset would discard them.
			setTimeout(() => {
				connectionEnds[end]!(socket);
			}, 20);
		});
	});
	const answer = await draw(gate);
	if (answer.connectionError === undefined) {
		expect(answer).toMatchObject({status: 502, problem: {outcome: 'unknown'}});
	}

	expect(backend!.requests.length).toBe(1);
});

test('a late answer never reaches another caller', async () => {
	let late: Socket | undefined;
	const gate = await startWith((socket, text) => {
		const [, path] = text.split(' ');
		if (path === '/slow') {
			late = socket;
			return;
		}

		late?.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate');
		socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${path!.length}\r\n\r\n${path}`);
	});
	expect(await draw(gate, 'slow', 100)).toMatchObject({status: 504, problem: {outcome: 'unknown'}});
	for (let index = 0; index < 20; index++) {
		expect(await draw(gate, `p${index}`)).toMatchObject({text: `/p${index}`});
	}
});

test('bytes after the end of an answer are not used as the next answer', async () => {
	const gate = await startWith((socket, text) => {
		const [, path] = text.split(' ');
		const first = `HTTP/1.1 200 OK\r\ncontent-length: ${path!.length}\r\n\r\n${path}`;
		socket.write(`${first}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra`);
	});
	for (let index = 0; index < 10; index++) {
		const answer = await draw(gate, `p${index}`);
		expect(answer.text, JSON.stringify(answer)).toBe(`/p${index}`);
	}
});
