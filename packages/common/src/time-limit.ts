/**
Limits how long a caller waits for a call. An abort signal alone is not enough: an HTTP client checks it only once the request has been assigned to a connection, so a request that waits for a new or a free connection would keep waiting.
*/

/** A call was not answered in time. The error's name is the one that abort signals use for timeouts. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeoutError';

	constructor(timeoutMs: number) {
		super(`no answer within ${timeoutMs} ms`);
	}
}

/** Returns the result of `perform`. After `timeoutMs`, aborts the signal and fails with a `TimeLimitError`, whether or not `perform` reacts to the signal. */
export const withTimeLimit = async <Result>(timeoutMs: number, perform: (signal: AbortSignal) => Promise<Result>): Promise<Result> => {
	const controller = new AbortController();
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<never>((_resolve, reject) => {
		timer = setTimeout(() => {
			const error = new TimeLimitError(timeoutMs);
			reject(error);
			controller.abort(error);
		}, timeoutMs);
	});
	try {
		return await Promise.race([perform(controller.signal), limit]);
	} finally {
		clearTimeout(timer);
	}
};
