/**
Starts HTTP servers.
*/
import {once} from 'node:events';
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';

/** Starts listening and returns the port, which the system chooses if `port` is 0. Fails with Node's error if the port is in use. */
export const listenOn = async (server: Server, host: string, port: number): Promise<number> => {
	server.listen(port, host);
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};
