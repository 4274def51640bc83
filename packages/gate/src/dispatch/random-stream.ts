/**
Pseudorandom numbers within one event. Each event carries one random number and further numbers are derived from it, so that the reducer stays deterministic.
*/

/** Parameters of a linear congruential generator modulo 2^32. */
const multiplier = 1_664_525;
const increment = 1_013_904_223;
const modulus = 4_294_967_296;

/** A sequence of numbers in [0, 1) that is seeded anew by each event. */
export class RandomStream {
	#state = 0;

	/** Seeds the sequence with the event's number. */
	seed(random: number): void {
		this.#state = Math.floor(random * modulus);
	}

	/** The next number in [0, 1). */
	next(): number {
		const value = this.#state / modulus;
		this.#state = (Math.imul(this.#state, multiplier) + increment) % modulus;
		if (this.#state < 0) {
			this.#state += modulus;
		}

		return value;
	}
}
