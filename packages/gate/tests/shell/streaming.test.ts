import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {type RunningGate, TestFleet, waitFor} from '../support/test-fleet.js';

const sizeBytes = 64 * 1024 * 1024;
const chunk = Buffer.alloc(64 * 1024, 'x');

let fleet: TestFleet | undefined;
let backend: Server | undefined;
let caller: Socket | undefined;

afterEach(async () => {
	caller?.destroy();
	await fleet?.close();
	backend?.closeAllConnections();
	backend?.close();
	fleet = undefined;
});

const startWith = async (server: Server): Promise<RunningGate> => {
	backend = server;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	fleet = await TestFleet.start({
		hosts: 0,
		settings: {
			'/hosts/raw/pool': 'pairing', '/hosts/raw/dataCentre': 'dc-1', '/hosts/raw/rack': 'r1',
			'/hosts/raw/address': `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
			'/queues/pairings/maxBodyBytes': sizeBytes,
		},
	});
	fleet.platform.hosts.put('raw');
	return fleet.startGate('gate-1');
};

/** Writes all chunks with the backpressure of the target. Returns a function that returns the number of bytes written so far. */
const writeAll = (target: NodeJS.WritableStream, end: () => void): (() => number) => {
	let writtenBytes = 0;
	const write = (): void => {
		while (writtenBytes < sizeBytes) {
			writtenBytes += chunk.length;
			if (!target.write(chunk)) {
				target.once('drain', write);
				return;
			}
		}

		end();
	};

	write();
	return () => writtenBytes;
};

/** Waits until the count has stayed the same for 41 consecutive checks. */
const waitUntilStalled = async (count: () => number): Promise<void> => {
	let last = -1;
	let unchanged = 0;
	await waitFor('stall', () => {
		unchanged = count() === last ? unchanged + 1 : 0;
		last = count();
		return unchanged > 40;
	});
};

const connectTo = (gate: RunningGate, head: readonly string[]): Socket => {
	const {hostname, port} = new URL(gate.url);
	const socket = connect({host: hostname, port: Number(port)});
	socket.write([...head, 'Host: gate', `Authorization: ${fleet!.authorization.authorization}`, '', ''].join('\r\n'));
	caller = socket;
	return socket;
};

test('a caller that does not read pauses its backend server, and receives every byte when it reads again', async () => {
	let writtenBytes = (): number => 0;
	const gate = await startWith(createServer((_request, response) => {
		response.writeHead(200, {'content-length': sizeBytes});
		writtenBytes = writeAll(response, () => {
			response.end();
		});
	}));
	const socket = connectTo(gate, ['GET /q/pairings/big HTTP/1.1', 'Connection: close']);
	socket.pause();
	await waitFor('start', () => writtenBytes() > 0);
	await waitUntilStalled(writtenBytes);
	expect(writtenBytes()).toBeLessThan(sizeBytes / 2);
	let receivedBytes = 0;
	socket.on('data', part => {
		receivedBytes += part.length;
	});
	socket.resume();
	await once(socket, 'end');
	expect(receivedBytes).toBeGreaterThanOrEqual(sizeBytes);
	expect(receivedBytes).toBeLessThan(sizeBytes + 1000);
});

test('a backend server that does not read pauses its caller, and receives every byte when it reads again', async () => {
	let receivedBytes = 0;
	let startReading = (): void => undefined;
	const gate = await startWith(createServer((request, response) => {
		request.pause();
		startReading = () => {
			request.on('data', (part: Uint8Array) => {
				receivedBytes += part.length;
			});
			request.on('end', () => {
				response.end('done');
			});
			request.resume();
		};
	}));
	const socket = connectTo(gate, ['POST /q/pairings/big HTTP/1.1', 'Connection: close', `Content-Length: ${sizeBytes}`]);
	const writtenBytes = writeAll(socket, () => undefined);
	await waitFor('start', () => writtenBytes() > chunk.length);
	await waitUntilStalled(writtenBytes);
	expect(writtenBytes()).toBeLessThan(sizeBytes / 2);
	startReading();
	let answer = '';
	socket.on('data', part => {
		answer += part.toString();
	});
	await once(socket, 'end');
	expect(receivedBytes).toBe(sizeBytes);
	expect(answer).toMatch(/^HTTP\/1.1 200/v);
});
