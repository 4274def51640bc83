/**
Errors of calls between processes.
*/
import {PoplarnotchError} from '@poplarnotch/common';

/** The peer could not be reached, refused the call, or did not respond in time. */
export class PeerUnreachableError extends PoplarnotchError {
	override readonly code = 'peer-unreachable';
	/** False if the peer certainly has not performed the call: no connection was established, or it refused the call unread. */
	readonly mayBePerformed: boolean;

	constructor(message: string, {mayBePerformed = true, ...options}: ErrorOptions & {readonly mayBePerformed?: boolean} = {}) {
		super(message, options);
		this.mayBePerformed = mayBePerformed;
	}
}

/** The peer's response does not match the protocol. */
export class PeerProtocolError extends PoplarnotchError {
	override readonly code = 'peer-protocol';
}
