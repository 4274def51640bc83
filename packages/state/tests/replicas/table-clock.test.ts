/**
The bounds of the table service's clock hold whatever the time that answers take.
*/
import {VirtualClock} from '@poplarnotch/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {TableClock} from '../../src/index.js';

/** A call: the pause before it, its time until it is answered, and the time that the answer takes. */
const call = fc.record({pauseMs: fc.nat(5000), waitMs: fc.nat(3000), returnMs: fc.nat(3000)});

test('the clock is between its bounds at any time, and as close as the shortest calls tell', () => {
	fc.assert(fc.property(fc.array(call, {minLength: 1, maxLength: 20}), fc.integer({min: -400_000, max: 400_000}), fc.integer({min: -5, max: 5}), (calls, offsetMs, driftIn10000) => {
		const clock = new VirtualClock();
		// Positive from the start, as the platform's clock is.
		const tableMs = (): number => 1_000_000 + offsetMs + (clock.nowMs() * (1 + (driftIn10000 / 10_000)));
		const tableClock = new TableClock(clock);
		expect(tableClock.latestNowMs).toBeUndefined();
		for (const {pauseMs, waitMs, returnMs} of calls) {
			clock.advance(pauseMs);
			const sentAtMs = clock.nowMs();
			clock.advance(waitMs);
			const reading = Math.floor(tableMs());
			clock.advance(returnMs);
			tableClock.record({tableClockMs: reading, sentAtMs});
			const nowMs = clock.nowMs();
			expect(tableClock.earliestMs(nowMs)).toBeLessThanOrEqual(tableMs());
			expect(tableClock.latestNowMs).toBeGreaterThanOrEqual(tableMs());
			// Also for a time before the reading.
			expect(tableClock.earliestMs(sentAtMs)).toBeLessThanOrEqual(tableMs() - ((nowMs - sentAtMs) * (1 + (driftIn10000 / 10_000))) + 0.001);
			expect(tableClock.latestNowMs! - tableMs()).toBeLessThanOrEqual(waitMs + (0.002 * (waitMs + returnMs)) + 2);
		}
	}), {seed: 52, numRuns: 300});
});

test('an answer without a reading tells nothing', () => {
	const tableClock = new TableClock(new VirtualClock());
	tableClock.record({tableClockMs: undefined, sentAtMs: 0});
	expect(tableClock.earliestMs(0)).toBeUndefined();
});

test.each([['back', -500_000], ['ahead', 500_000]])('after the table service\'s clock was set %s, its new readings count', (_name, byMs) => {
	const clock = new VirtualClock();
	const tableClock = new TableClock(clock);
	tableClock.record({tableClockMs: 600_000, sentAtMs: 0});
	clock.advance(1000);
	tableClock.record({tableClockMs: 601_000 + byMs, sentAtMs: 990});
	expect(tableClock.earliestMs(1000)).toBe(601_000 + byMs);
	expect(tableClock.latestNowMs).toBeCloseTo(601_011 + byMs, 0);
});
