/**
Forwards headers between callers and backend servers. Hop-by-hop headers apply to one connection and are not forwarded (RFC 9110, section 7.6.1); neither is the caller's key.
*/
import {Buffer} from 'node:buffer';

/** Headers that are never forwarded, in either direction. */
const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Headers of callers that the gate consumes or sets itself. They are not forwarded. */
const consumedFromCaller = new Set([
	...hopByHop, 'authorization', 'content-length', 'expect', 'host', 'request-timeout-ms', 'x-request-id',
]);

const connectionHeaderNames = (connectionHeader: string): readonly string[] =>
	connectionHeader.toLowerCase().split(',').map(name => name.trim()).filter(name => name !== 'close' && name !== 'keep-alive' && name !== '');

const noNames: readonly string[] = [];

/** Headers for the backend server, as alternating names and values. */
export const headersForServer = (rawHeaders: readonly string[], connectionHeader: string | undefined, requestId: string): string[] => {
	const connectionHeaders = connectionHeader === undefined ? noNames : connectionHeaderNames(connectionHeader);
	const forwarded = ['x-request-id', requestId];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!consumedFromCaller.has(name) && !connectionHeaders.includes(name)) {
			forwarded.push(name, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
};

/** Headers of an answer, by lower-case name; a name that occurs more than once has a list. */
export type AnswerHeaders = Record<string, string | string[]>;

/** The head of an answer as the gate forwards it. */
export type AnswerHead = {
	readonly headers: AnswerHeaders;
	/** Whether the end of the answer can be distinguished from a lost connection: the answer has a length or is chunked. */
	readonly isFramed: boolean;
};

/** Alternating names and values, as the HTTP client library provides them. */
export type RawHeaders = ReadonlyArray<Uint8Array | string>;

const textOf = (part: Uint8Array | string): string => {
	if (typeof part === 'string') {
		return part;
	}

	const bytes = part instanceof Buffer ? part : Buffer.from(part.buffer, part.byteOffset, part.length);
	return bytes.toString('latin1');
};

const appendHeader = (headers: AnswerHeaders, name: string, value: string): void => {
	const present = headers[name];
	if (present === undefined) {
		headers[name] = value;
	} else if (Array.isArray(present)) {
		present.push(value);
	} else {
		headers[name] = [present, value];
	}
};

/** Converts the raw headers of a backend server's answer for the caller. Values stay byte for byte as they were received. */
export const headForCaller = (rawHeaders: RawHeaders, requestId: string): AnswerHead => {
	const headers: AnswerHeaders = {};
	let isFramed = false;
	let connectionHeaders = noNames;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = textOf(rawHeaders[index]!).toLowerCase();
		const value = textOf(rawHeaders[index + 1]!);
		isFramed ||= name === 'content-length' || (name === 'transfer-encoding' && value.toLowerCase().includes('chunked'));
		if (name === 'connection') {
			connectionHeaders = connectionHeaderNames(value);
		} else if (!hopByHop.has(name)) {
			appendHeader(headers, name, value);
		}
	}

	for (const name of connectionHeaders) {
		delete headers[name]; // eslint-disable-line @typescript-eslint/no-dynamic-delete
	}

	headers['x-request-id'] = requestId;
	return {headers, isFramed};
};

/** Headers as they are recorded with a claim's outcome. */
export const recordableHeaders = (headers: AnswerHeaders): Record<string, string> => Object.fromEntries(Object.entries(headers)
	.filter(([name]) => name !== 'x-request-id' && name !== 'set-cookie')
	.map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]));
