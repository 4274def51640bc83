/**
Time limits of calls, also for calls that ignore their abort signal.
*/
import {expect, test} from 'vitest';
import {TimeLimitError, withTimeLimit} from '@poplarnotch/common';

test('a call that ignores its abort signal fails at its time limit, and the signal is aborted', async () => {
	let seen: AbortSignal | undefined;
	const call = withTimeLimit(20, async signal => {
		seen = signal;
		return new Promise<string>(() => {
			// Never answers.
		});
	});
	await expect(call).rejects.toBeInstanceOf(TimeLimitError);
	expect(seen!.aborted).toBe(true);
});

test('a result or an error within the time limit is returned to the caller', async () => {
	expect(await withTimeLimit(1000, async () => 'answer')).toBe('answer');
	await expect(withTimeLimit(1000, async () => {
		throw new RangeError('scripted');
	})).rejects.toBeInstanceOf(RangeError);
});
