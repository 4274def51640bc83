/**
Merges what two lease holders have stored, in any order.
*/

export const unionOf = (a: readonly number[], b: readonly number[]): readonly number[] => [...new Set([...a, ...b])];

/** Merges two tables of records; a record that stands in both is merged by the given function. */
export const mergeByKey = <Value>(
	a: Readonly<Record<string, Value>>,
	b: Readonly<Record<string, Value>>,
	merge: (a: Value, b: Value) => Value,
): Readonly<Record<string, Value>> => {
	const merged = {...a};
	for (const [key, value] of Object.entries(b)) {
		const known = merged[key];
		merged[key] = known === undefined ? value : merge(known, value);
	}

	return merged;
};
