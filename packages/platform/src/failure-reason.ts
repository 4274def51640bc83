/**
What a loop does with an error of its call. A failed platform call is part of normal operation. Any other error is a fault of this program or of data that it did not expect; such data may lie in shared rows, so a process that ended would meet it again after its restart, and so would the next lease holder.
*/
import {type Logger} from '@poplarnotch/common';
import {PlatformError} from './errors.js';

/** Returns the reason to log for a failed attempt, after which the caller goes on. An error that is no failed platform call is logged with its stack. `task` names what failed. */
export const failureReason = (log: Logger, task: string, error: unknown): string => {
	if (error instanceof PlatformError) {
		return error.message;
	}

	log.error({event: 'task_failed', task, reason: error instanceof Error ? error.stack ?? error.message : String(error)});
	return String(error);
};
