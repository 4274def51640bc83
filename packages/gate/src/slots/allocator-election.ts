/**
Elects the allocator of each pool by rendezvous hashing, so that the work is spread over the gates. A pool changes its allocator only if that gate leaves or becomes silent, or if a gate with a higher hash joins or responds again.
*/
import {type SlotState} from './types.js';

/** Parameters of the 32-bit FNV-1a hash. */
const fnvOffset = 2_166_136_261;
const fnvPrime = 16_777_619;

const hashOf = (text: string): number => {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, fnvPrime); // eslint-disable-line no-bitwise
	}

	// The last characters of the text need a final mix to reach the high bits.
	hash = Math.imul(hash ^ (hash >>> 15), fnvPrime); // eslint-disable-line no-bitwise
	return hash >>> 0; // eslint-disable-line no-bitwise
};

const electAllocator = (state: SlotState, pool: string): string | undefined => {
	let best: string | undefined;
	let bestHash = -1;
	for (const gate of state.members.keys()) {
		if (state.silentGates.has(gate)) {
			continue;
		}

		const hash = hashOf(`${gate} ${pool}`);
		if (hash > bestHash || (hash === bestHash && gate < best!)) {
			best = gate;
			bestHash = hash;
		}
	}

	return best;
};

type CachedAllocators = {
	readonly silentGates: ReadonlySet<string>;
	readonly byPool: Map<string, string | undefined>;
};

/** Cached allocators by set of members: a function of the state, cached because each tick looks up every pool. */
const cachedAllocators = new WeakMap<SlotState['members'], CachedAllocators>();

const allocatorsFor = ({members, silentGates}: SlotState): CachedAllocators => {
	const cached = cachedAllocators.get(members);
	// The reducer keeps the same set object until a gate becomes silent or responds again.
	if (cached?.silentGates === silentGates) {
		return cached;
	}

	const fresh: CachedAllocators = {silentGates, byPool: new Map()};
	cachedAllocators.set(members, fresh);
	return fresh;
};

/** The gate that allocates the pool's slots, chosen among the gates that respond; undefined if no gate responds. */
export const allocatorOf = (state: SlotState, pool: string): string | undefined => {
	const {byPool} = allocatorsFor(state);
	if (!byPool.has(pool)) {
		byPool.set(pool, electAllocator(state, pool));
	}

	return byPool.get(pool);
};

/** Returns true if this gate allocates the pool's slots. */
export const isAllocatorOf = (state: SlotState, pool: string): boolean => allocatorOf(state, pool) === state.self.gate;
