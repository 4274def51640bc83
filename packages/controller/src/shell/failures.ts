/**
Distinguishes expected failures, such as a platform outage, from faults of this program.
*/
import {type Logger, PoplarnotchError} from '@poplarnotch/common';
import {ConflictError} from '@poplarnotch/platform';
import {type HeldLease} from '@poplarnotch/state';

/** Logs a failure of the platform or of a gate; rethrows any other error. */
export const logExpectedFailure = (error: unknown, event: string, logger: Logger): void => {
	if (!(error instanceof PoplarnotchError)) {
		throw error;
	}

	logger.warn({event, code: error.code, reason: error.message});
};

/** Whether a write was rejected because another process now holds the lease. */
export const isFenced = (error: unknown, lease: HeldLease | undefined): boolean =>
	error instanceof ConflictError && error.conflicts.some(({key}) => key === lease?.fence.key);
