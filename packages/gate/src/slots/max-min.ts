/**
Weighted max-min division: no claimant gets more than its demand, and what one claimant leaves is divided between the others in proportion to their weights.
*/

/** One competitor for the capacity. */
export type Claimant = {
	readonly name: string;
	readonly weight: number;
	readonly demand: number;
};

/** The allocation of each claimant. The allocations sum up to the capacity or to the total demand, whichever is smaller. */
export const divideMaxMin = (claimants: readonly Claimant[], capacity: number): ReadonlyMap<string, number> => {
	const allocations = new Map<string, number>();
	// Claimants in the order in which they are satisfied when the water level per weight rises.
	const ascending = claimants.toSorted((a, b) => (a.demand / a.weight) - (b.demand / b.weight));
	let remaining = capacity;
	let remainingWeight = ascending.reduce((sum, claimant) => sum + claimant.weight, 0);
	for (const {name, weight, demand} of ascending) {
		const allocation = Math.min(demand, remaining * weight / remainingWeight);
		allocations.set(name, allocation);
		remaining -= allocation;
		remainingWeight -= weight;
	}

	return allocations;
};

/** Rounds allocations down or up so that they sum up to `total`. The largest remainders are rounded up, ties in the order of the names. */
export const roundAllocations = (allocations: ReadonlyMap<string, number>, total: number): ReadonlyMap<string, number> => {
	const rounded = new Map([...allocations].map(([name, allocation]) => [name, Math.floor(allocation)]));
	let missing = total - [...rounded.values()].reduce((sum, allocation) => sum + allocation, 0);
	const byRemainder = [...allocations].toSorted(([nameA, a], [nameB, b]) => ((b % 1) - (a % 1)) || (nameA < nameB ? -1 : 1));
	for (const [name] of byRemainder) {
		if (missing <= 0) {
			break;
		}

		rounded.set(name, rounded.get(name)! + 1);
		missing--;
	}

	return rounded;
};
