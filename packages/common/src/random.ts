/**
Random number sources. A seeded source makes a run reproducible.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** A source of random numbers. */
export interface RandomSource {
	/** Returns a number in [0, 1). */
	next(): number;
}

/** A source whose sequence is determined by its seed. */
export class SeededRandom implements RandomSource {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	next(): number {
		return uniformFloat64(this.#generator);
	}
}

/** The JavaScript runtime's random source. */
export class SystemRandom implements RandomSource {
	next(): number {
		return Math.random();
	}
}
