/**
Probes backend servers over HTTP.
*/
import {request} from 'undici';
import {type HostProbe} from './fleet-types.js';

const probeTimeoutMs = 2000;

/** Treats any response with a status below 500 as serving. */
export class HttpHostProbe implements HostProbe {
	async probe(address: string): Promise<boolean> {
		try {
			const response = await request(address, {headersTimeout: probeTimeoutMs, bodyTimeout: probeTimeoutMs, signal: AbortSignal.timeout(probeTimeoutMs)});
			await response.body.dump();
			return response.statusCode < 500;
		} catch {
			// Whether the connection was refused, was reset or timed out: the server did not serve.
			return false;
		}
	}
}
