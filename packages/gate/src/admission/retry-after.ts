/**
The delay after which a refused caller should retry.
*/
import {maxRetryAfterMs, minRetryAfterMs} from '../constants.js';
import {type GateState, poolOf} from '../state.js';

/** Estimated time until the pool's queue is empty, within bounds. */
export const retryAfterMsOf = (state: GateState, pool: string): number => {
	const {queue} = poolOf(state, pool);
	const slots = Math.max(state.servers.grantedSlots(pool), 1);
	const drainTimeMs = Math.round(queue.waiting * queue.meanRunMs / slots);
	return Math.min(Math.max(drainTimeMs, minRetryAfterMs), maxRetryAfterMs);
};
