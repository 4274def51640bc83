/**
Random interleavings of all events: in any order of events the gate keeps its limits, its refusals are true, and a request that is not idempotent is sent at most once.
*/
import fc from 'fast-check';
import {describe, it} from 'vitest';
import {GateSimulation, type Move} from './gate-simulation.js';

const moveArbitrary: fc.Arbitrary<Move> = fc.record({
	type: fc.oneof(
		{weight: 8, arbitrary: fc.constant('arrive' as const)},
		{weight: 4, arbitrary: fc.constantFrom('resolveClaim' as const, 'end' as const)},
		{weight: 3, arbitrary: fc.constantFrom('answer' as const, 'fail' as const, 'advance' as const)},
		{weight: 2, arbitrary: fc.constantFrom('cancel' as const, 'repeat' as const)},
		{weight: 1, arbitrary: fc.constantFrom('settings' as const, 'servers' as const, 'grants' as const, 'freshness' as const, 'drain' as const)},
	),
	pick: fc.nat(1000),
	detail: fc.nat(60),
	random: fc.double({min: 0, max: 0.999, noNaN: true}),
});

describe('the reducer under random interleavings', () => {
	it('keeps all limits and gives every request exactly one correct outcome', () => {
		fc.assert(fc.property(fc.array(moveArbitrary, {minLength: 20, maxLength: 250, size: 'max'}), moves => {
			const simulation = new GateSimulation();
			for (const move of moves) {
				simulation.apply(move);
			}

			simulation.finish();
		}), {seed: 20_261, numRuns: 300});
	});
});
