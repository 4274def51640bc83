/**
Lower bounds and baselines for waves. The bounds leave out everything but budgets and drain and reboot times, so no planner can beat them.
*/
import {type FleetSettings, type Host} from '@poplarnotch/common';
import {BudgetTracker, type HostObservation} from '@poplarnotch/controller';
import {drainMs, rebootMs} from './simulate-wave.js';

const hostMs = drainMs + rebootMs;

/** All hosts as seen serving. */
export const allServing = (settings: FleetSettings): ReadonlyMap<string, HostObservation> =>
	new Map([...settings.hosts.keys()].map(host => [host, {
		listed: 'live', bootCount: 1, servedAtMs: 0, lostAtMs: undefined, recoveredAtMs: undefined,
	}]));

const openLedger = (settings: FleetSettings): BudgetTracker => new BudgetTracker({
	settings, observations: allServing(settings), nowMs: 0, taken: new Set(),
});

const hostsOf = (settings: FleetSettings, pool: string): ReadonlyArray<readonly [string, Host]> =>
	[...settings.hosts].filter(([, host]) => host.pool === pool);

/** Guests that a pool needs at least: each adds at most one host to its slack. */
const guestsNeeded = (settings: FleetSettings, pool: string): number => {
	const ledger = openLedger(settings);
	return Math.max(0, ...hostsOf(settings, pool).map(([name]) => -ledger.slackWithout(name)));
};

/**
Most hosts of a pool that may be out at one time. Of the hosts that stay, the budget takes away the largest domain, and with k domains the largest is at least a k-th of them; so the fewest that may stay follow from the required number alone, capped by what each domain has.
*/
const mostOut = (settings: FleetSettings, pool: string, guests: number): number => {
	let fewest = hostsOf(settings, pool).length;
	for (const budget of settings.budgets.values()) {
		if (budget.pool !== pool) {
			continue;
		}

		const sizes = new Map<string, number>();
		for (const [, host] of hostsOf(settings, pool)) {
			const domain = budget.domain === 'rack' ? `${host.dataCentre} ${host.rack}` : host.dataCentre;
			sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
		}

		const total = hostsOf(settings, pool).length;
		const required = Math.ceil((budget.minServingShare * total) - 1e-9);
		let out = 0;
		for (let cap = 0; cap <= total; cap++) {
			const stay = [...sizes.values()].reduce((sum, size) => sum + Math.min(size, cap), 0) + guests;
			if (stay - cap >= required) {
				out = Math.max(out, total - Math.max(required + cap - guests, 0));
				break;
			}
		}

		fewest = Math.min(fewest, out);
	}

	return Math.max(1, fewest);
};

/** The bounds of a wave over all pools but the spare one. */
export const boundsOf = (settings: FleetSettings): Readonly<Record<'rolloutMs' | 'bufferHosts' | 'moves', number>> => {
	const pools = settings.waves.get('w1')!.pools.map(pool => {
		const guests = guestsNeeded(settings, pool);
		const rounds = Math.ceil(hostsOf(settings, pool).length / mostOut(settings, pool, guests));
		return {guests, rolloutMs: (rounds * hostMs) + (guests > 0 ? drainMs : 0)};
	});
	const rolloutMs = Math.max(...pools.map(pool => pool.rolloutMs));
	const bufferHosts = Math.max(...pools.map(({guests}) => guests));
	const guestsTotal = pools.reduce((sum, {guests}) => sum + guests, 0);
	return {rolloutMs, bufferHosts, moves: guestsTotal + bufferHosts};
};

/** What a baseline would cost. */
export type Baseline = {
	readonly rolloutMs: number;
	/** Hosts that would have to be lent to keep all budgets. */
	readonly bufferHosts: number;
	/** Batches that would break a budget without loans. */
	readonly budgetBreaks: number;
	readonly moves: number;
};

const costOf = (settings: FleetSettings, batches: ReadonlyArray<readonly string[]>): Baseline => {
	let bufferHosts = 0;
	let budgetBreaks = 0;
	let moves = 0;
	for (const batch of batches) {
		const ledger = openLedger(settings);
		for (const name of batch) {
			ledger.removeHost(name);
		}

		const shortBy = ledger.broken().reduce((sum, shortfall) => sum + shortfall.shortBy, 0);
		bufferHosts = Math.max(bufferHosts, shortBy);
		budgetBreaks += shortBy > 0 ? 1 : 0;
		moves += 2 * shortBy;
	}

	return {
		rolloutMs: batches.length * hostMs, bufferHosts, budgetBreaks, moves,
	};
};

const coveredBy = (settings: FleetSettings): ReadonlyArray<readonly [string, Host]> =>
	settings.waves.get('w1')!.pools.flatMap(pool => hostsOf(settings, pool));

const share = 0.1;

/** Batches of a tenth of the fleet, in order of the hosts' names. */
export const fixedBatches = (settings: FleetSettings): Baseline => {
	const names = coveredBy(settings).map(([name]) => name);
	const size = Math.max(1, Math.floor(names.length * share));
	const batches = Array.from({length: Math.ceil(names.length / size)}, (_unused, index) => names.slice(index * size, (index + 1) * size));
	return costOf(settings, batches);
};

/** One rack after the other. */
export const rackByRack = (settings: FleetSettings): Baseline => {
	const racks = new Map<string, string[]>();
	for (const [name, host] of coveredBy(settings)) {
		const rack = `${host.dataCentre} ${host.rack}`;
		racks.set(rack, [...racks.get(rack) ?? [], name]);
	}

	return costOf(settings, [...racks.values()]);
};
