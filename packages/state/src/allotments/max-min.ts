/**
Max-min fair sharing of a limit.
*/

/** The largest integer level for which the demands, each capped at the level, fit into the total; infinite if all demands fit. */
export const maxMinLevel = (total: number, demands: readonly number[]): number => {
	let remaining = Math.max(0, total);
	const ordered = demands.toSorted((a, b) => a - b);
	for (const [index, demand] of ordered.entries()) {
		const sharers = ordered.length - index;
		if (demand * sharers > remaining) {
			return Math.floor(remaining / sharers);
		}

		remaining -= demand;
	}

	return Number.POSITIVE_INFINITY;
};
