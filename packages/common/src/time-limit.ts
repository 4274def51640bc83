/**
Bounds the time of a call for its caller. An abort signal alone does not: an HTTP client looks at it only once a request is on a connection, so one that waits for a connection to be made, or for a free one, waits on.
*/

/** A call that was not answered in time; it has the name that abort signals use. */
export class TimeLimitError extends Error {
	override readonly name = 'TimeoutError';

	constructor(timeoutMs: number) {
		super(`no answer within ${timeoutMs} ms`);
	}
}

/** The result of `perform`, or a `TimeLimitError` after `timeoutMs`, when the signal is aborted too. */
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
