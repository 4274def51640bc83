/**
Computes the median of a list of figures.
*/

/** Returns the median; for an even number of values, the larger of the two middle values. */
export const median = (values: readonly number[]): number =>
	values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
