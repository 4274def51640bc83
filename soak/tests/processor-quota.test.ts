/**
The quota gives a process its share of each period: what is left over lapses, and what was used beyond it is owed, up to one share.
*/
import {expect, it} from 'vitest';
import {refill, usedMsOf} from '../processor-quota.js';

it('gives the whole share at the start of a period, whatever was left over', () => {
	expect(refill(0, 40, 1)).toBe(40);
	expect(refill(25, 40, 1)).toBe(40);
	expect(refill(25, 40, 3)).toBe(40);
});

it('takes what was used beyond the share from the periods that follow', () => {
	expect(refill(-15, 40, 1)).toBe(25);
	expect(refill(-30, 40, 2)).toBe(40);
	expect(refill(-40, 40, 1)).toBe(0);
});

it('takes no more than one share, so that a process is stopped for no longer than a period and what is left of the one before', () => {
	expect(refill(-90, 40, 1)).toBe(0);
	expect(refill(-90, 40, 2)).toBe(40);
});

it('reads the time that a thread has run', () => {
	expect(usedMsOf('26465731 3373129 100\n')).toBeCloseTo(26.465_731);
});
