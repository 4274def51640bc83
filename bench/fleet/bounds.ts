/**
Computes lower bounds and baselines for maintenance waves. The bounds consider only budgets, drain times and reboot times, so no planner can do better.
*/
import {type FleetSettings, type Host} from '@poplarnotch/common';
import {BudgetTracker, type HostObservation} from '@poplarnotch/controller';
import {drainMs, rebootMs} from './simulate-wave.js';

const hostMs = drainMs + rebootMs;

/** Returns observations in which all hosts are serving. */
export const allServing = (settings: FleetSettings): ReadonlyMap<string, HostObservation> =>
	new Map([...settings.hosts.keys()].map(host => [host, {
		listed: 'live', bootCount: 1, servedAtMs: 0, lostAtMs: undefined, recoveredAtMs: undefined,
	}]));

const createTracker = (settings: FleetSettings): BudgetTracker => new BudgetTracker({
	settings, observations: allServing(settings), nowMs: 0, taken: new Set(),
});

const hostsOf = (settings: FleetSettings, pool: string): ReadonlyArray<readonly [string, Host]> =>
	[...settings.hosts].filter(([, host]) => host.pool === pool);

/** Returns the least number of hosts that a pool must borrow. Each borrowed host adds at most one host to the pool's slack. */
const borrowedHostsNeeded = (settings: FleetSettings, pool: string): number => {
	const tracker = createTracker(settings);
	return Math.max(0, ...hostsOf(settings, pool).map(([name]) => -tracker.slackWithout(name)));
};

/**
Returns the maximum number of hosts of a pool that may be out of service at one time. The budget subtracts the largest failure domain from the hosts that stay in service, and with k domains the largest one contains at least one k-th of them. The minimum number of staying hosts therefore follows from the required number alone, capped by the size of each domain.
*/
const maxHostsOut = (settings: FleetSettings, pool: string, borrowedHosts: number): number => {
	let allowedOut = hostsOf(settings, pool).length;
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
			const staying = [...sizes.values()].reduce((sum, size) => sum + Math.min(size, cap), 0) + borrowedHosts;
			if (staying - cap >= required) {
				out = Math.max(out, total - Math.max(required + cap - borrowedHosts, 0));
				break;
			}
		}

		allowedOut = Math.min(allowedOut, out);
	}

	return Math.max(1, allowedOut);
};

/** Returns the lower bounds of a wave over all pools except the spare one. */
export const boundsOf = (settings: FleetSettings): Readonly<Record<'rolloutMs' | 'bufferHosts' | 'moves', number>> => {
	const pools = settings.waves.get('w1')!.pools.map(pool => {
		const borrowedHosts = borrowedHostsNeeded(settings, pool);
		const rounds = Math.ceil(hostsOf(settings, pool).length / maxHostsOut(settings, pool, borrowedHosts));
		return {borrowedHosts, rolloutMs: (rounds * hostMs) + (borrowedHosts > 0 ? drainMs : 0)};
	});
	const rolloutMs = Math.max(...pools.map(pool => pool.rolloutMs));
	const bufferHosts = Math.max(...pools.map(({borrowedHosts}) => borrowedHosts));
	const borrowedHostsTotal = pools.reduce((sum, {borrowedHosts}) => sum + borrowedHosts, 0);
	return {rolloutMs, bufferHosts, moves: borrowedHostsTotal + bufferHosts};
};

/** Cost of a baseline plan. */
export type Baseline = {
	readonly rolloutMs: number;
	/** Number of hosts that must be borrowed to keep all budgets. */
	readonly bufferHosts: number;
	/** Number of batches that would violate a budget without borrowed hosts. */
	readonly budgetBreaks: number;
	readonly moves: number;
};

const baselineCost = (settings: FleetSettings, batches: ReadonlyArray<readonly string[]>): Baseline => {
	let bufferHosts = 0;
	let budgetBreaks = 0;
	let moves = 0;
	for (const batch of batches) {
		const tracker = createTracker(settings);
		for (const name of batch) {
			tracker.removeHost(name);
		}

		const shortBy = tracker.broken().reduce((sum, shortfall) => sum + shortfall.shortBy, 0);
		bufferHosts = Math.max(bufferHosts, shortBy);
		budgetBreaks += shortBy > 0 ? 1 : 0;
		moves += 2 * shortBy;
	}

	return {
		rolloutMs: batches.length * hostMs, bufferHosts, budgetBreaks, moves,
	};
};

const hostsOfWave = (settings: FleetSettings): ReadonlyArray<readonly [string, Host]> =>
	settings.waves.get('w1')!.pools.flatMap(pool => hostsOf(settings, pool));

const batchFraction = 0.1;

/** Baseline with batches of a tenth of the wave's hosts, in the order of the settings. */
export const fixedBatches = (settings: FleetSettings): Baseline => {
	const names = hostsOfWave(settings).map(([name]) => name);
	const size = Math.max(1, Math.floor(names.length * batchFraction));
	const batches = Array.from({length: Math.ceil(names.length / size)}, (_unused, index) => names.slice(index * size, (index + 1) * size));
	return baselineCost(settings, batches);
};

/** Baseline that takes one rack after another. */
export const rackByRack = (settings: FleetSettings): Baseline => {
	const racks = new Map<string, string[]>();
	for (const [name, host] of hostsOfWave(settings)) {
		const rack = `${host.dataCentre} ${host.rack}`;
		racks.set(rack, [...racks.get(rack) ?? [], name]);
	}

	return baselineCost(settings, [...racks.values()]);
};
