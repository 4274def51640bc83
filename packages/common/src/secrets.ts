/**
API keys that callers and operators present. A key has the form `pn_{keyId}_{secret}`; only a SHA-256 hash of the secret is ever stored. A fast hash is sufficient, because the secret is 32 random bytes and cannot be guessed like a password.
*/
import {Buffer} from 'node:buffer';
import {hash, randomBytes, timingSafeEqual} from 'node:crypto';

/** A key that a caller presented, with its secret already hashed. */
export type PresentedKey = {
	readonly keyId: string;
	readonly secretHash: string;
};

/** A new key. `text` is shown to its owner once; `secretHash` is stored. */
export type IssuedKey = {
	readonly keyId: string;
	readonly text: string;
	readonly secretHash: string;
};

const secretBytes = 32;

const keyPattern = /^pn_(?<keyId>[a-z\d\-]{1,63})_(?<secret>[\w\-]{16,128})$/v;

/** Returns the hash that is stored in place of the secret. */
export const hashSecret = (secret: string): string => hash('sha256', secret, 'hex');

/** Generates a new key. */
export const issueKey = (keyId: string): IssuedKey => {
	const secret = randomBytes(secretBytes).toString('base64url');
	return {keyId, text: `pn_${keyId}_${secret}`, secretHash: hashSecret(secret)};
};

/** Parses a presented key; returns `undefined` if the text does not have the form of a key. */
export const parseKey = (text: string): PresentedKey | undefined => {
	const groups = keyPattern.exec(text)?.groups;
	return groups === undefined ? undefined : {keyId: groups.keyId!, secretHash: hashSecret(groups.secret!)};
};

/** Compares two hashes in constant time. */
export const isSameHash = (a: string, b: string): boolean => {
	const left = Buffer.from(a);
	const right = Buffer.from(b);
	return left.length === right.length && timingSafeEqual(left, right);
};

const bearerPattern = /^Bearer (?<key>\S+)$/iv;

/** Returns the key in an `Authorization` header, or `undefined` if there is none. */
export const keyFromAuthorization = (header: string | undefined): PresentedKey | undefined => {
	const key = header === undefined ? undefined : bearerPattern.exec(header)?.groups?.key;
	return key === undefined ? undefined : parseKey(key);
};
