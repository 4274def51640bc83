/**
Encodes messages as authenticated datagrams: a truncated HMAC-SHA-256 under the fleet's shared secret, followed by the message as JSON. A datagram that was not written with the secret is ignored, since datagrams from any host reach the port.
*/
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import {parseWith} from '@poplarnotch/common';
import {type LivenessMessage, livenessMessageSchema} from './types.js';

/** Length of the truncated HMAC: a guess succeeds once in 2^96 attempts, and each datagram stays small. */
const macBytes = 12;

/** Datagrams above this size are ignored without computing their HMAC. */
const maxDatagramBytes = 300;

const macOf = (secret: string, body: Uint8Array): Uint8Array => createHmac('sha256', secret).update(body).digest().subarray(0, macBytes);

export const encodeDatagram = (secret: string, message: LivenessMessage): Uint8Array => {
	const body = Buffer.from(JSON.stringify(message));
	return Buffer.concat([macOf(secret, body), body]);
};

/** Returns `undefined` for a datagram that has no valid HMAC or no valid message. */
export const decodeDatagram = (secret: string, datagram: Uint8Array): LivenessMessage | undefined => {
	if (datagram.length <= macBytes || datagram.length > maxDatagramBytes) {
		return undefined;
	}

	const body = datagram.subarray(macBytes);
	if (!timingSafeEqual(macOf(secret, body), datagram.subarray(0, macBytes))) {
		return undefined;
	}

	try {
		const parsed = parseWith(livenessMessageSchema, JSON.parse(Buffer.from(body).toString()), 'datagram');
		return E.isRight(parsed) ? parsed.right : undefined;
	} catch (error) {
		if (error instanceof SyntaxError) {
			return undefined;
		}

		throw error;
	}
};
