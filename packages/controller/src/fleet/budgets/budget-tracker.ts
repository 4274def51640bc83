/**
Tracks how many hosts each availability budget allows to take out of service. A budget requires that enough hosts of its pool still serve when its largest failure domains fail in addition. The tracker counts planned losses one by one, so that a plan in total never exceeds a budget.

A budget's share refers to the hosts whose home pool it is: a borrowed host counts as serving in the pool that it serves, and in the total of its home pool.
*/
import {type Budget, type FleetSettings, type Host} from '@poplarnotch/common';
import {isServing, lastReturnMs} from '../observations.js';
import {type HostObservation} from '../types.js';

/** A budget that forbids an action, and the number of hosts that are missing. */
export type Shortfall = {
	readonly budget: string;
	readonly pool: string;
	readonly shortBy: number;
};

/** The state from which a budget tracker is built. */
export type BudgetTrackerInput = {
	readonly settings: FleetSettings;
	readonly observations: ReadonlyMap<string, HostObservation>;
	readonly nowMs: number;
	/** Hosts that planned work has taken. They do not count as serving, even if their settings and observations still say so. */
	readonly taken: ReadonlySet<string>;
	/** Hosts that count as serving although they do not serve yet; used for projections. */
	readonly returning?: ReadonlySet<string>;
};

type BudgetCount = {
	readonly name: string;
	readonly budget: Budget;
	readonly required: number;
	readonly servingByDomain: Map<string, number>;
	/** Names of the hosts that count as serving. */
	readonly counted: Set<string>;
	/** Cached largest domain; `undefined` if it must be computed again. */
	largest: LargestDomain | undefined;
};

/** Number of serving hosts in the largest domain, and how many domains have that size. */
type LargestDomain = {
	readonly size: number;
	readonly ties: number;
};

/** The failure domain of a host, of the kind that the budget counts. */
const domainOf = (host: Host, budget: Budget): string =>
	budget.domain === 'rack' ? rackOf(host) : host.dataCentre;

/** The rack of a host, with its data centre, because racks of different data centres may share a name. */
export const rackOf = (host: Host): string => `${host.dataCentre}/${host.rack}`;

/** The home pool of a host. */
export const homePoolOf = (host: Host): string => host.homePool ?? host.pool;

const sumOfLargest = (counts: Iterable<number>, length: number): number =>
	[...counts].toSorted((a, b) => b - a).slice(0, length).reduce((sum, size) => sum + size, 0);

const findLargestDomain = (count: BudgetCount): LargestDomain => {
	let size = 0;
	let ties = 0;
	for (const candidate of count.servingByDomain.values()) {
		if (candidate > size) {
			size = candidate;
			ties = 1;
		} else if (candidate === size) {
			ties++;
		}
	}

	return {size, ties};
};

const largestDomainOf = (count: BudgetCount): LargestDomain => {
	count.largest ??= findLargestDomain(count);
	return count.largest;
};

/** Number of serving hosts that would be lost with the largest domains, as many domains as the budget has to survive. */
const domainLossOf = (count: BudgetCount): number => count.budget.domainLosses === 1
	? largestDomainOf(count).size
	: sumOfLargest(count.servingByDomain.values(), count.budget.domainLosses);

const slackOf = (count: BudgetCount): number => count.counted.size - domainLossOf(count) - count.required;

const addServing = (count: BudgetCount, name: string, host: Host): void => {
	if (!count.counted.has(name)) {
		const domain = domainOf(host, count.budget);
		count.counted.add(name);
		count.largest = undefined;
		count.servingByDomain.set(domain, (count.servingByDomain.get(domain) ?? 0) + 1);
	}
};

const removeServing = (count: BudgetCount, name: string, host: Host): void => {
	if (count.counted.delete(name)) {
		const domain = domainOf(host, count.budget);
		count.largest = undefined;
		count.servingByDomain.set(domain, count.servingByDomain.get(domain)! - 1);
	}
};

const countByHomePool = (settings: FleetSettings): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const host of settings.hosts.values()) {
		counts.set(homePoolOf(host), (counts.get(homePoolOf(host)) ?? 0) + 1);
	}

	return counts;
};

const createBudgetCount = (name: string, budget: Budget, homeHosts: number): BudgetCount => ({
	name,
	budget,
	// The subtraction prevents a floating-point error from raising the result by one host.
	required: Math.max(budget.minServing, Math.ceil((budget.minServingShare * homeHosts) - 1e-9)),
	servingByDomain: new Map(),
	counted: new Set(),
	largest: undefined,
});

/** Counts planned losses against all budgets at once. Mutable; each decision creates its own. */
export class BudgetTracker {
	readonly #countsByPool = new Map<string, BudgetCount[]>();
	readonly #settings: FleetSettings;

	constructor(input: BudgetTrackerInput) {
		this.#settings = input.settings;
		const homeHostCounts = countByHomePool(input.settings);
		for (const [name, budget] of input.settings.budgets) {
			const countsOfPool = this.#countsByPool.get(budget.pool) ?? [];
			countsOfPool.push(createBudgetCount(name, budget, homeHostCounts.get(budget.pool) ?? 0));
			this.#countsByPool.set(budget.pool, countsOfPool);
		}

		this.#countServing(input);
	}

	/** Smallest slack over the pool's budgets, in hosts; negative if a budget is already broken. */
	slack(pool: string): number {
		return this.#minOver(pool, slackOf);
	}

	/** Smallest slack over the budgets of the host's pool if the host stopped serving. */
	slackWithout(name: string): number {
		return this.#minOver(this.#hostOf(name).pool, count => this.#slackWithout(count, name));
	}

	/** Whether the budgets allow planned work to take the host out of service. */
	canRemoveHost(name: string): boolean {
		return this.slackWithout(name) >= 0;
	}

	/** Counts the host as lost in its pool. */
	removeHost(name: string): void {
		this.removeHostFromPool(name, this.#hostOf(name).pool);
	}

	/** Counts the host as lost in a pool to which `addHostToPool` added it. */
	removeHostFromPool(name: string, pool: string): void {
		const host = this.#hostOf(name);
		for (const count of this.#countsOf(pool)) {
			removeServing(count, name, host);
		}
	}

	/** Counts the host as serving in a pool, which may differ from its own. */
	addHostToPool(name: string, pool: string): void {
		const host = this.#hostOf(name);
		for (const count of this.#countsOf(pool)) {
			addServing(count, name, host);
		}
	}

	/** The budgets that forbid taking the host out of service. */
	shortfalls(name: string): readonly Shortfall[] {
		const {pool} = this.#hostOf(name);
		return this.#countsOf(pool).flatMap(count => {
			const slack = this.#slackWithout(count, name);
			return slack < 0 ? [{budget: count.name, pool, shortBy: -slack}] : [];
		});
	}

	/** All budgets that are currently broken. */
	broken(): readonly Shortfall[] {
		return [...this.#countsByPool.values()].flat()
			.filter(count => slackOf(count) < 0)
			.map(count => ({budget: count.name, pool: count.budget.pool, shortBy: -slackOf(count)}));
	}

	#countServing({settings, observations, nowMs, taken, returning}: BudgetTrackerInput): void {
		for (const [name, host] of settings.hosts) {
			if (returning?.has(name) === true) {
				this.addHostToPool(name, host.pool);
				continue;
			}

			const observation = observations.get(name);
			if (taken.has(name) || !isServing(host, observation)) {
				continue;
			}

			const returnedAtMs = lastReturnMs(host, observation);
			// A host that has just returned counts as serving only after the budget's window has passed.
			for (const count of this.#countsOf(host.pool)) {
				const {windowMs} = count.budget;
				if (windowMs === 0 || nowMs - returnedAtMs >= windowMs) {
					addServing(count, name, host);
				}
			}
		}
	}

	#slackWithout(count: BudgetCount, name: string): number {
		if (!count.counted.has(name)) {
			return slackOf(count);
		}

		const host = this.#hostOf(name);
		if (count.budget.domainLosses === 1) {
			const {size, ties} = largestDomainOf(count);
			const isInLargest = count.servingByDomain.get(domainOf(host, count.budget)) === size;
			// If the host's domain is the only largest one, the largest size drops by one without the host: no other domain is larger than that.
			return count.counted.size - 1 - (isInLargest && ties === 1 ? size - 1 : size) - count.required;
		}

		removeServing(count, name, host);
		const slack = slackOf(count);
		addServing(count, name, host);
		return slack;
	}

	#minOver(pool: string, measure: (count: BudgetCount) => number): number {
		let smallest = Number.POSITIVE_INFINITY;
		for (const count of this.#countsOf(pool)) {
			smallest = Math.min(smallest, measure(count));
		}

		return smallest;
	}

	#countsOf(pool: string): readonly BudgetCount[] {
		return this.#countsByPool.get(pool) ?? [];
	}

	#hostOf(name: string): Host {
		return this.#settings.hosts.get(name)!;
	}
}
