/**
Runs the components of the overhead benchmark on worker threads: backend servers, a minimal proxy, and a gate.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import {type Dispatcher, Pool} from 'undici';
import {startGateWith} from '../../packages/gate/tests/support/test-fleet.js';

/** Component that a worker thread runs. */
export type OverheadRole
	= | {readonly type: 'backends'; readonly count: number; readonly answerBytes: number}
		| {readonly type: 'forwarder'; readonly backends: readonly string[]; readonly connections: number}
		| {readonly type: 'gate'; readonly settings: readonly string[]};

const listen = async (server: Server): Promise<string> => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startBackends = async (count: number, answerBytes: number): Promise<readonly string[]> => {
	const answer = Buffer.alloc(answerBytes, 'x');
	const urls: string[] = [];
	for (let index = 0; index < count; index++) {
		urls.push(await listen(createServer((request, response) => {
			request.resume();
			request.on('end', () => {
				response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': answer.length});
				response.end(answer);
			});
		})));
	}

	return urls;
};

/** Starts a minimal proxy that forwards headers and bodies to the backend servers in round-robin order. */
const startForwarder = async (backends: readonly string[], connections: number): Promise<readonly string[]> => {
	const pools = backends.map(url => new Pool(url, {connections, pipelining: 1}));
	let nextPool = 0;
	const url = await listen(createServer((request, response) => {
		nextPool = (nextPool + 1) % pools.length;
		const {host: _host, connection: _connection, ...headers} = request.headers;
		const hasBody = headers['content-length'] !== undefined && headers['content-length'] !== '0';
		pools[nextPool]!.dispatch({
			method: request.method as Dispatcher.HttpMethod, path: request.url!, headers, body: hasBody ? request : undefined,
		}, {
			onRequestStart: () => undefined,
			onResponseStart(_controller, status, answerHeaders) {
				const {connection: _hop, 'keep-alive': _keepAlive, ...passedOn} = answerHeaders;
				response.writeHead(status, passedOn);
			},
			onResponseData(controller, chunk) {
				if (!response.write(chunk)) {
					controller.pause();
					response.once('drain', () => {
						controller.resume();
					});
				}
			},
			onResponseEnd() {
				response.end();
			},
			onResponseError() {
				response.destroy();
			},
		});
	}));
	return [url];
};

const start = async (role: OverheadRole): Promise<readonly string[]> => {
	switch (role.type) {
		case 'backends': {
			return startBackends(role.count, role.answerBytes);
		}

		case 'forwarder': {
			return startForwarder(role.backends, role.connections);
		}

		case 'gate': {
			const gate = await startGateWith(role.settings);
			return [gate.url];
		}
	}
};

parentPort?.postMessage(await start(workerData as OverheadRole));
