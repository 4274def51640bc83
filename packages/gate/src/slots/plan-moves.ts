/**
Plans the moves of slots between gates, with few moves: a gate above its allocation gives up slots on the hosts where it holds most, and a gate below its allocation receives slots on the hosts where it holds fewest. Slots are only moved, never created, so the total for each host stays the same.
*/

/** Slots held by each gate on each host. */
export type Holdings = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Slots to move from one gate to another. */
export type SlotMove = {
	readonly from: string;
	readonly to: string;
	readonly host: string;
	readonly count: number;
};

const totalOf = (held: ReadonlyMap<string, number> | undefined): number =>
	[...held?.values() ?? []].reduce((sum, count) => sum + count, 0);

type Surplus = {readonly gate: string; count: number};

const surplusesOf = (holdings: Holdings, allocations: ReadonlyMap<string, number>): readonly Surplus[] =>
	[...allocations].map(([gate, allocation]) => ({gate, count: totalOf(holdings.get(gate)) - allocation}));

/** The host whose slots should move from the source to the target: the one where the difference between their holdings is largest. */
const chooseHost = (source: ReadonlyMap<string, number>, target: ReadonlyMap<string, number>): string | undefined => {
	let best: string | undefined;
	let bestDifference = -Infinity;
	for (const [host, count] of source) {
		const difference = count - (target.get(host) ?? 0);
		if (count > 0 && difference > bestDifference) {
			best = host;
			bestDifference = difference;
		}
	}

	return best;
};

/** The moves that lead from the holdings to the allocations, in a fixed order for equal input. */
export const planMoves = (holdings: Holdings, allocations: ReadonlyMap<string, number>): readonly SlotMove[] => {
	const working = new Map([...allocations.keys()].map(gate => [gate, new Map(holdings.get(gate))]));
	const surpluses = surplusesOf(holdings, allocations);
	const sources = surpluses.filter(surplus => surplus.count > 0);
	const targets = surpluses.filter(surplus => surplus.count < 0);
	const moves = new Map<string, SlotMove>();
	for (const source of sources) {
		while (source.count > 0) {
			const target = targets.toSorted((a, b) => a.count - b.count)[0];
			const sourceHeld = working.get(source.gate)!;
			const host = target === undefined || target.count >= 0 ? undefined : chooseHost(sourceHeld, working.get(target.gate)!);
			if (target === undefined || host === undefined) {
				break;
			}

			const targetHeld = working.get(target.gate)!;
			sourceHeld.set(host, sourceHeld.get(host)! - 1);
			targetHeld.set(host, (targetHeld.get(host) ?? 0) + 1);
			source.count--;
			target.count++;
			const key = `${source.gate} ${target.gate} ${host}`;
			const count = (moves.get(key)?.count ?? 0) + 1;
			moves.set(key, {
				from: source.gate, to: target.gate, host, count,
			});
		}
	}

	return [...moves.values()];
};
