import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {headersForServer, headForCaller, recordableHeaders} from '../../src/shell/headers.js';

test('a backend server receives the caller\'s headers without the key, hop-by-hop headers and those that the gate sets', () => {
	const headers = headersForServer([
		'Authorization',
		'Bearer pn_a_b',
		'Connection',
		'X-Hop, keep-alive',
		'X-Hop',
		'1',
		'Keep-Alive',
		'timeout=5',
		'Transfer-Encoding',
		'chunked',
		'Content-Length',
		'3',
		'Host',
		'gate',
		'X-Request-Id',
		'forged',
		'Idempotency-Key',
		'k',
		'X-Kept',
		'one',
		'X-Kept',
		'two',
	], 'X-Hop, keep-alive', 'r1');
	expect(headers).toEqual(['x-request-id', 'r1', 'idempotency-key', 'k', 'x-kept', 'one', 'x-kept', 'two']);
});

const rawOf = (...parts: readonly string[]): readonly Uint8Array[] => parts.map(part => Buffer.from(part, 'latin1'));

test('repeated headers and raw bytes of an answer are preserved, and hop-by-hop headers are removed', () => {
	const {headers, isFramed} = headForCaller(rawOf('Set-Cookie', 'a=1', 'Set-Cookie', 'b=2', 'X-Name', 'Gü', 'Connection', 'x-hop', 'X-Hop', '1', 'X-Request-Id', 'forged', 'Content-Length', '0'), 'r1');
	expect(headers).toEqual({
		'set-cookie': ['a=1', 'b=2'], 'x-name': 'Gü', 'x-request-id': 'r1', 'content-length': '0',
	});
	expect(isFramed).toBe(true);
	expect(recordableHeaders(headers)).toEqual({'x-name': 'Gü', 'content-length': '0'});
});

test('an answer without a length and without chunks is not framed', () => {
	expect(headForCaller(rawOf('Transfer-Encoding', 'gzip'), 'r1').isFramed).toBe(false);
	expect(headForCaller(rawOf('Transfer-Encoding', 'gzip, chunked'), 'r1').isFramed).toBe(true);
});
