/**
Errors of calls between processes.
*/
import {PoplarnotchError} from '@poplarnotch/common';

/** The peer could not be reached, refused the call, or did not respond in time. */
export class PeerUnreachableError extends PoplarnotchError {
	override readonly code = 'peer-unreachable';
}

/** The peer's response does not match the protocol. */
export class PeerProtocolError extends PoplarnotchError {
	override readonly code = 'peer-protocol';
}
