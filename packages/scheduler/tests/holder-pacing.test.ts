/**
A holder that lacks processor time must not spend it on polling each worker for every single run end, and one with time to spare must not add a delay to any.
*/
import {expect, test} from 'vitest';
import {maxPollPauseMs, pollPauseMs} from '../src/constants.js';
import {HolderPacing, roundIntervalMs} from '../src/shell/holder-pacing.js';

const paceAfter = (rounds: number, durationMs: number, latenessMs: number, pacing = new HolderPacing()): HolderPacing => {
	for (let round = 0; round < rounds; round++) {
		pacing.recordRound(durationMs, latenessMs);
	}

	return pacing;
};

test('polls follow each other as closely as ever while rounds begin in time', () => {
	const {pollPauseMs: pauseMs, roundIntervalMs: intervalMs} = paceAfter(100, 2, 2);
	expect([pauseMs, intervalMs]).toEqual([pollPauseMs, roundIntervalMs]);
});

test('late rounds space polls apart within half a second, up to a bound, and in proportion', () => {
	const slightlyLate = paceAfter(20, 2, 6).pollPauseMs;
	const late = paceAfter(20, 2, 10).pollPauseMs;
	expect(slightlyLate).toBeGreaterThan(pollPauseMs);
	expect(late).toBeGreaterThan(slightlyLate);
	expect(paceAfter(100, 2, 1000).pollPauseMs).toBe(maxPollPauseMs);
});

test('polls are as frequent as before within two seconds of the end of the load', () => {
	expect(paceAfter(80, 2, 0, paceAfter(100, 2, 20)).pollPauseMs).toBe(pollPauseMs);
});

test('one freeze of the whole process is not taken for load', () => {
	expect(paceAfter(1, 2, 3000).pollPauseMs).toBeLessThan(pollPauseMs + 30);
});

test('long rounds leave three quarters of the time to answers, up to a bound', () => {
	expect(paceAfter(200, 12, 0).roundIntervalMs).toBeCloseTo(36, 0);
	expect(paceAfter(200, 500, 0).roundIntervalMs).toBe(60);
});
