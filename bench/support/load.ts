/**
Generates a closed-loop load over raw sockets. The generator uses so little processor time that the server under load is the bottleneck.
*/
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {build, type Histogram} from 'hdr-histogram-js';

export type LoadOptions = {
	readonly url: string;
	readonly head: readonly string[];
	readonly body: string;
	readonly connections: number;
	readonly durationMs: number;
};

/** Measurements of a load. */
export type LoadResult = {
	readonly answers: number;
	readonly failures: number;
	readonly perSecond: number;
	/** Latencies in microseconds. */
	readonly latencies: Histogram;
};

const lengthPattern = /content-length: (?<length>\d+)/iv;
const microsecondsPerMs = 1000;

/** Returns the size of the first response in the text, or `undefined` if the response is not complete. */
const completeResponseSize = (text: string): number | undefined => {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const size = headEnd + 4 + Number(lengthPattern.exec(text)?.groups?.length ?? 0);
	return text.length >= size ? size : undefined;
};

/** Sends requests on each connection, each after the response to the previous one. */
export const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
	const {hostname, port} = new URL(options.url);
	const bytes = [...options.head, `Host: ${hostname}`, `Content-Length: ${options.body.length}`, '', options.body].join('\r\n');
	const latencies = build({numberOfSignificantValueDigits: 3});
	let answers = 0;
	let failures = 0;
	const startedMs = performance.now();
	const untilMs = startedMs + options.durationMs;
	const runConnection = async (socket: Socket): Promise<void> => new Promise(resolve => {
		let text = '';
		let sentMs = 0;
		const send = (): void => {
			sentMs = performance.now();
			socket.write(bytes);
		};

		socket.setNoDelay(true);
		socket.on('connect', send);
		socket.on('close', resolve);
		socket.on('error', () => {
			failures++;
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			if (completeResponseSize(text) === undefined) {
				return;
			}

			answers++;
			failures += text.startsWith('HTTP/1.1 200') ? 0 : 1;
			text = '';
			const nowMs = performance.now();
			latencies.recordValue(Math.round((nowMs - sentMs) * microsecondsPerMs));
			if (nowMs < untilMs) {
				send();
			} else {
				socket.destroy();
			}
		});
	});

	await Promise.all(Array.from({length: options.connections}, async () => runConnection(connect({host: hostname, port: Number(port)}))));
	const perSecond = answers / ((performance.now() - startedMs) / microsecondsPerMs);
	return {
		answers, failures, perSecond, latencies,
	};
};
