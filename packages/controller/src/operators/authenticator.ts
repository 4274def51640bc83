/**
Identifies the operator whose key a request carries. Hashes are compared in constant time, also for unknown operators, so that response times do not reveal which operators exist.
*/
import {
	type FleetSettings, hashSecret, isSameHash, keyFromAuthorization,
} from '@poplarnotch/common';

/** Name of the operator whose key hash is in the process settings, so that its key is accepted before the fleet settings define any operator. */
export const rootOperator = 'root';

/** Hash to compare with if the operator is unknown, so that the comparison takes the same time. */
const unknownOperatorHash = hashSecret('');

/** The settings that the authenticator reads. */
export type OperatorKeySource = {
	readonly current: FleetSettings;
	/** False if the settings may be so old that a withdrawn key still looks valid. */
	readonly isFresh: boolean;
};

/** Verifies operators' keys. */
export class Authenticator {
	readonly #source: OperatorKeySource;
	readonly #rootKeyHash: string | undefined;

	constructor(source: OperatorKeySource, rootKeyHash: string | undefined) {
		this.#source = source;
		this.#rootKeyHash = rootKeyHash;
	}

	/** Returns the operator's name; `undefined` if the key is not accepted. */
	operatorOf(authorization: string | undefined): string | undefined {
		const key = keyFromAuthorization(authorization);
		if (key === undefined) {
			return undefined;
		}

		const isRoot = key.keyId === rootOperator;
		const operator = this.#source.current.operators.get(key.keyId);
		const expectedHash = isRoot ? this.#rootKeyHash : operator?.keyHash;
		const isSame = isSameHash(key.secretHash, expectedHash ?? unknownOperatorHash);
		const isUsable = isRoot || (operator !== undefined && !operator.withdrawn && this.#source.isFresh);
		return isSame && isUsable && expectedHash !== undefined ? key.keyId : undefined;
	}
}
