/**
Limits the duration of a call to the platform. A call that takes longer may still be applied, so its outcome counts as unknown.
*/
import {type Clock} from '@poplarnotch/common';
import {WriteOutcomeUnknownError} from '@poplarnotch/platform';

/** Rejects with `WriteOutcomeUnknownError` if the call takes longer than `timeoutMs`. */
export const withTimeout = async <Value>(clock: Clock, timeoutMs: number, call: Promise<Value>): Promise<Value> => new Promise((resolve, reject) => {
	const cancel = clock.schedule(timeoutMs, () => {
		reject(new WriteOutcomeUnknownError(`The table service did not answer within ${timeoutMs} ms`));
	});
	call.then(
		value => {
			cancel();
			resolve(value);
		},
		(error: unknown) => {
			cancel();
			reject(error instanceof Error ? error : new WriteOutcomeUnknownError(String(error)));
		},
	);
});
