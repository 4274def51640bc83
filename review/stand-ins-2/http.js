/**
A JSON server and a JSON client on loopback addresses.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	Agent, createServer, request as sendRequest,
} from 'node:http';

const keepAliveMs = 60_000;

const readText = async stream => {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

const respond = async (request, response, handle) => {
	const url = new URL(request.url, 'http://stand-in');
	const text = await readText(request);
	const answer = await handle({
		method: request.method, path: url.pathname, query: url.searchParams, headers: request.headers, body: text === '' ? undefined : JSON.parse(text),
	});
	if (answer !== 'silence') {
		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
	}
};

/** Serves one address; port 0 takes a free one. A call that is answered with `'silence'` stays open without an answer. */
export const listenJson = async (ip, port, handle) => {
	const server = createServer((request, response) => {
		respond(request, response, handle).catch(() => {
			response.destroy();
		});
	});
	server.keepAliveTimeout = keepAliveMs;
	server.listen(port, ip);
	await once(server, 'listening');
	const {port: actualPort} = server.address();
	return {
		address: `${ip}:${actualPort}`,
		port: actualPort,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

export const createAgent = () => new Agent({keepAlive: true, maxSockets: 8});

/** Calls an address; resolves to status 0 if no answer comes in time. */
export const callJson = async (agent, {ip, port, method, path, headers = {}, body, timeoutMs = 3000}) => new Promise(resolve => {
	const text = body === undefined ? '' : JSON.stringify(body);
	const request = sendRequest({
		agent, host: ip, port, method, path, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers},
	});
	const timer = setTimeout(() => {
		request.destroy();
	}, timeoutMs);
	const finish = answer => {
		clearTimeout(timer);
		resolve(answer);
	};

	request.on('error', () => {
		finish({status: 0, body: undefined});
	});
	request.on('response', async response => {
		try {
			const answer = await readText(response);
			finish({status: response.statusCode, body: answer === '' ? undefined : JSON.parse(answer)});
		} catch {
			finish({status: 0, body: undefined});
		}
	});
	request.end(text);
});
