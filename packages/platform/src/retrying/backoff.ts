/**
Pauses between attempts: exponential back-off with full jitter, so that clients do not all call at once when the platform recovers.
*/
import {type Clock, type RandomSource} from '@poplarnotch/common';

/** Bounds of the pauses; `firstMs` bounds the first, `longestMs` all of them. */
export type BackoffOptions = {
	readonly firstMs: number;
	readonly longestMs: number;
};

const minJitterShare = 0.1;

/** Returns the pause after the given failed attempt (counted from 1). */
export const backoffMs = (options: BackoffOptions, attempt: number, random: RandomSource): number => {
	const boundMs = Math.min(options.longestMs, options.firstMs * (2 ** (attempt - 1)));
	return boundMs * Math.max(minJitterShare, random.next());
};

/** Resolves after the pause. */
export const pauseFor = async (clock: Clock, durationMs: number): Promise<void> =>
	new Promise(resolve => {
		clock.schedule(durationMs, resolve);
	});
