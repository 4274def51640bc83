/**
Advances a virtual clock for code that awaits promises between its timers.
*/
import {type VirtualClock} from '@poplarnotch/common';

const defaultStepMs = 10;

/** Microtask turns that run between two steps of the clock; more than the longest chain of awaits in any test. */
const microtaskTurnsPerStep = 20;

/** Moves the clock forward in small steps and runs pending promise callbacks after each step. */
export const advanceVirtualTime = async (clock: VirtualClock, byMs: number, stepMs = defaultStepMs): Promise<void> => {
	for (let passedMs = 0; passedMs < byMs; passedMs += stepMs) {
		clock.advance(Math.min(stepMs, byMs - passedMs));
		for (let turn = 0; turn < microtaskTurnsPerStep; turn++) {
			await Promise.resolve();
		}
	}
};
