/**
Chooses spare hosts to transfer to pools whose budgets forbid draining some of their hosts even if all others serve. It transfers only as many as make every waiting host drainable, because a transfer costs two moves and takes capacity from the spare pool.
*/
import {type FleetSettings} from '@poplarnotch/common';
import {type BudgetTracker, rackOf} from '../budgets/budget-tracker.js';

/** A spare host that is transferred to another pool. */
export type HostTransfer = {
	readonly host: string;
	readonly pool: string;
};

/** Input of the choice. Each chosen transfer is counted in both budget trackers. */
export type TransferChoiceInput = {
	readonly settings: FleetSettings;
	/** The budgets as they are now; they limit which hosts may be transferred. */
	readonly budgets: BudgetTracker;
	/** The budgets when all taken hosts have returned; they determine how many hosts the pools need. */
	readonly projectedBudgets: BudgetTracker;
	/** Serving hosts that wait for maintenance, by pool. */
	readonly waiting: ReadonlyMap<string, readonly string[]>;
	/** Hosts that may be transferred. */
	readonly transferable: readonly string[];
};

/** One host for each rack; hosts of the same pool and rack are equivalent for the budgets. */
const onePerRack = (settings: FleetSettings, names: readonly string[]): readonly string[] =>
	[...new Map(names.map(name => [rackOf(settings.hosts.get(name)!), name])).values()];

const shortageOf = (budgets: BudgetTracker, names: readonly string[]): number => {
	let shortage = 0;
	for (const name of names) {
		shortage += Math.max(0, -budgets.slackWithout(name));
	}

	return shortage;
};

const shortageAfterTransfer = (input: TransferChoiceInput, candidate: string, pool: string, names: readonly string[]): number => {
	input.projectedBudgets.addHostToPool(candidate, pool);
	const shortage = shortageOf(input.projectedBudgets, names);
	input.projectedBudgets.removeHostFromPool(candidate, pool);
	return shortage;
};

/** The host that reduces the pool's shortage most; `undefined` if none reduces it. */
const findBestHost = (input: TransferChoiceInput, pool: string, names: readonly string[], transferred: ReadonlySet<string>): string | undefined => {
	let best: string | undefined;
	let bestShortage = shortageOf(input.projectedBudgets, names);
	const candidates = onePerRack(input.settings, input.transferable.filter(name => !transferred.has(name)));
	for (const name of candidates) {
		const shortage = input.budgets.canRemoveHost(name) ? shortageAfterTransfer(input, name, pool, names) : Number.POSITIVE_INFINITY;
		if (shortage < bestShortage) {
			best = name;
			bestShortage = shortage;
		}
	}

	return best;
};

/** Chooses the transfers that the pools need, starting with the pool that has the smallest shortage. */
export const chooseTransfers = (input: TransferChoiceInput): readonly HostTransfer[] => {
	const transferred = new Set<string>();
	const transfers: HostTransfer[] = [];
	const shortPools = [...input.waiting]
		.map(([pool, names]) => ({pool, names: onePerRack(input.settings, names)}))
		.map(waiting => ({...waiting, shortage: shortageOf(input.projectedBudgets, waiting.names)}))
		.filter(({shortage}) => shortage > 0)
		.toSorted((a, b) => a.shortage - b.shortage || (a.pool < b.pool ? -1 : 1));
	for (const {pool, names} of shortPools) {
		for (let best = findBestHost(input, pool, names, transferred); best !== undefined; best = findBestHost(input, pool, names, transferred)) {
			transferred.add(best);
			transfers.push({host: best, pool});
			input.budgets.removeHost(best);
			input.projectedBudgets.removeHost(best);
			input.projectedBudgets.addHostToPool(best, pool);
		}
	}

	return transfers;
};
