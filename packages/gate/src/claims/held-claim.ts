/**
A claim that this gate holds or is about to hold, from the first write of its row until its conclusion is written or the claim is released.
*/
import {type RecordedOutcome} from '../types.js';

/** The final state to write for a claim. */
export type ClaimConclusion
	= | {readonly type: 'recorded'; readonly outcome: RecordedOutcome}
		| {readonly type: 'unknown'}
		| {readonly type: 'released'};

/** A claim of this gate. */
export class HeldClaim {
	readonly requestId: string;
	readonly rowKey: string;
	readonly fingerprint: string;
	readonly nonce: string;
	#version: number | undefined;
	#conclusion: ClaimConclusion | undefined;

	constructor(requestId: string, rowKey: string, fingerprint: string, nonce: string) {
		this.requestId = requestId;
		this.rowKey = rowKey;
		this.fingerprint = fingerprint;
		this.nonce = nonce;
	}

	/** Version of the claim's row; `undefined` until the write of the row is confirmed. */
	get version(): number | undefined {
		return this.#version;
	}

	/** The claim's conclusion; `undefined` while its request may still run. */
	get conclusion(): ClaimConclusion | undefined {
		return this.#conclusion;
	}

	/** Stores the version under which the claim's row was written. */
	confirm(version: number): void {
		this.#version = version;
	}

	/** Sets the conclusion unless one is set already. Returns whether it was set. */
	conclude(conclusion: ClaimConclusion): boolean {
		if (this.#conclusion !== undefined) {
			return false;
		}

		this.#conclusion = conclusion;
		return true;
	}
}
