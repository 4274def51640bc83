/**
Calls that are not answered in time.
*/
import {expect, test} from 'vitest';
import {TimeLimitError, withTimeLimit} from '@poplarnotch/common';

test('a call that heeds no signal ends with its time limit, and the signal is aborted', async () => {
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

test('an answer or a failure in time is passed on', async () => {
	expect(await withTimeLimit(1000, async () => 'answer')).toBe('answer');
	await expect(withTimeLimit(1000, async () => {
		throw new RangeError('scripted');
	})).rejects.toBeInstanceOf(RangeError);
});
