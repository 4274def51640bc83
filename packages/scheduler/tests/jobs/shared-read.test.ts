/**
Many callers cost the store one read.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {SharedRead} from '../../src/jobs/shared-read.js';

const maxAgeMs = 2000;

/** A read that takes some time; it fails if `isFailing` says so. */
const sharedReadOf = ({durationMs, isFailing = () => false}: {readonly durationMs: number; readonly isFailing?: () => boolean}) => {
	const clock = new VirtualClock();
	const sentAtMs: number[] = [];
	const shared = new SharedRead({
		async read() {
			sentAtMs.push(clock.nowMs());
			const number = sentAtMs.length;
			await new Promise<void>(resolve => {
				clock.schedule(durationMs, resolve);
			});
			if (isFailing()) {
				throw new Error('the store is away');
			}

			return number;
		},
		maxAgeMs, clock,
	});
	/** Asks every 100 ms and resolves to the answers; 0 stands for a failure. */
	const ask = async (forMs: number): Promise<readonly number[]> => {
		const answers: Array<Promise<number>> = [];
		for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 100) {
			answers.push(shared.get().catch(() => 0));
			clock.advance(100);
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}

		clock.advance(durationMs);
		return Promise.all(answers);
	};

	return {sentAtMs, ask};
};

test.each([0, 300, 1500])('a read that takes %i ms is shared by the calls within 2 s of its sending', async durationMs => {
	const {sentAtMs, ask} = sharedReadOf({durationMs});
	const answers = await ask(4000);
	expect(sentAtMs).toEqual([0, 2000]);
	expect(answers).toEqual([...Array.from({length: 20}, () => 1), ...Array.from({length: 20}, () => 2)]);
});

test('a read that is not answered is not waited for by callers that come 2 s later', async () => {
	const {sentAtMs, ask} = sharedReadOf({durationMs: 5000});
	await ask(4100);
	expect(sentAtMs).toEqual([0, 2000, 4000]);
});

test('a failed read is repeated by later callers, but not at once', async () => {
	let isFailing = true;
	const {sentAtMs, ask} = sharedReadOf({durationMs: 0, isFailing: () => isFailing});
	expect(await ask(500)).toEqual([0, 0, 0, 0, 0]);
	expect(sentAtMs).toEqual([0, 300]);
	isFailing = false;
	expect(await ask(500)).toEqual([0, 3, 3, 3, 3]);
});
