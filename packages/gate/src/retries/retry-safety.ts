/**
Determines which failed attempts may be retried: any attempt of which no byte was sent, and otherwise, once, an idempotent request whose body is still available and of whose answer nothing was forwarded. A request under which two backend servers have failed may be what makes them fail, so it is not sent to a third.
*/
import {maxAttempts} from '../constants.js';
import {type AttemptStage} from '../types.js';

/** Properties of a failed attempt that decide on a retry. */
export type FailedAttempt = {
	readonly stage: AttemptStage;
	readonly attempt: number;
	/** An earlier attempt of the request failed after bytes of it had been sent. */
	readonly wasSentBefore: boolean;
	readonly isIdempotent: boolean;
	readonly isReplayable: boolean;
};

/** Returns true if another attempt would be safe. The caller checks the deadline, the retry budget and whether there is another server. */
export const isSafeToRetry = (failed: FailedAttempt): boolean => {
	if (failed.attempt >= maxAttempts || failed.stage === 'answering') {
		return false;
	}

	return failed.stage === 'not-sent' || (failed.isIdempotent && failed.isReplayable && !failed.wasSentBefore);
};
