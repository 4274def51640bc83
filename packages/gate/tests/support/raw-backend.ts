/**
A backend server that answers with given bytes, so that tests can truncate an answer at any byte.
*/
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';

/** Called with each request once its header section has arrived. */
export type RawRequestHandler = (socket: Socket, requestText: string) => void;

export type RawBackend = {
	readonly url: string;
	/** Texts of the requests received so far. */
	readonly requests: readonly string[];
	close(): Promise<void>;
};

/** Starts a backend server. Requests must not have a body: a request counts as complete at the end of its headers. */
export const startRawBackend = async (answer: RawRequestHandler): Promise<RawBackend> => {
	const sockets = new Set<Socket>();
	const requests: string[] = [];
	const server = createServer(socket => {
		let text = '';
		sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			if (text.includes('\r\n\r\n')) {
				requests.push(text);
				answer(socket, text);
				text = '';
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		requests,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
};
