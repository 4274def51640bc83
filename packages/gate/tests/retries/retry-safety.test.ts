/**
Which failed attempts may be retried.
*/
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {isSafeToRetry} from '../../src/retries/retry-safety.js';

const attempt = fc.record({
	stage: fc.constantFrom('not-sent' as const, 'sent' as const, 'answering' as const),
	attempt: fc.integer({min: 1, max: 5}),
	wasSentBefore: fc.boolean(),
	isIdempotent: fc.boolean(),
	isReplayable: fc.boolean(),
});

describe('a failed attempt', () => {
	it('is retried only if that cannot run the request twice or mix two answers', () => {
		fc.assert(fc.property(attempt, failed => {
			if (isSafeToRetry(failed)) {
				expect(failed.stage).not.toBe('answering');
				expect(failed.stage === 'not-sent' || failed.isIdempotent).toBe(true);
				expect(failed.stage === 'not-sent' || failed.isReplayable).toBe(true);
				expect(failed.stage === 'sent' && failed.wasSentBefore).toBe(false);
			}
		}), {seed: 5001, numRuns: 200});
	});

	it('is retried if nothing was sent, whatever the method', () => {
		expect(isSafeToRetry({
			stage: 'not-sent', attempt: 1, wasSentBefore: true, isIdempotent: false, isReplayable: false,
		})).toBe(true);
	});
});
