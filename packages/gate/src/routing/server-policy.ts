/**
Selection of a backend server among those of a pool that can accept one more request.
*/

/** A backend server that can accept a request. */
export type Candidate = {
	readonly host: string;
	readonly address: string;
	/** Requests of this gate that hold a slot on the server. */
	readonly running: number;
	/** Free slots on the server that this gate may fill. */
	readonly freeSlots: number;
};

/** Chooses one of several candidates; `random` returns numbers in [0, 1). */
export interface ServerPolicy {
	readonly name: string;
	choose(candidates: readonly Candidate[], random: () => number): Candidate | undefined;
}

/** The candidate with fewer running requests. On a tie the first one is taken, so that a server under probe is chosen as often as any other. */
const lessLoaded = (a: Candidate, b: Candidate): Candidate => b.running < a.running ? b : a;

/** Chooses the less loaded of two candidates drawn at random. This prevents all gates from choosing the same server at the same time. */
export class TwoChoicesPolicy implements ServerPolicy {
	get name(): string {
		return 'two-choices';
	}

	choose(candidates: readonly Candidate[], random: () => number): Candidate | undefined {
		if (candidates.length < 2) {
			return candidates[0];
		}

		const first = Math.floor(random() * candidates.length);
		const offset = 1 + Math.floor(random() * (candidates.length - 1));
		return lessLoaded(candidates[first]!, candidates[(first + offset) % candidates.length]!);
	}
}
