/**
Error responses as `application/problem+json` (RFC 9457), with the outcome of the request.
*/

/** Whether the request was executed. It is `not-run` only if no byte of the request can have reached a backend server's application. */
export type RequestOutcome = 'not-run' | 'unknown' | 'ran';

/** Body of an error response to callers and operators. */
export type Problem = {
	/** Stable machine-readable name, such as `queue-unknown`. */
	readonly type: string;
	readonly title: string;
	/** HTTP status. */
	readonly status: number;
	readonly detail: string;
	readonly outcome: RequestOutcome;
	/** Time after which a retry is useful. */
	readonly retryAfterMs?: number;
};

export const problemContentType = 'application/problem+json';
