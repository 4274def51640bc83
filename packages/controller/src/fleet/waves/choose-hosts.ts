/**
Chooses the hosts that a wave takes next, under all budgets at once. Within a pool it drains the racks with the most serving hosts first: as long as a rack remains the largest failure domain, draining a host in it does not reduce a budget's slack. It takes hosts from the pools in a round-robin order, starting with the pool that needs the most rounds, so that no pool is left to the end.
*/
import {type FleetSettings} from '@poplarnotch/common';
import {type BudgetTracker, rackOf} from '../budgets/budget-tracker.js';

/** Waiting hosts of one pool, by rack. */
type PoolQueue = {
	readonly pool: string;
	readonly racks: Map<string, string[]>;
	waiting: number;
};

const queuesOf = (settings: FleetSettings, candidates: readonly string[]): readonly PoolQueue[] => {
	const queues = new Map<string, PoolQueue>();
	for (const name of candidates) {
		const host = settings.hosts.get(name)!;
		const queue = queues.get(host.pool) ?? {pool: host.pool, racks: new Map<string, string[]>(), waiting: 0};
		const rack = queue.racks.get(rackOf(host)) ?? [];
		rack.push(name);
		queue.racks.set(rackOf(host), rack);
		queue.waiting++;
		queues.set(host.pool, queue);
	}

	return [...queues.values()];
};

type RackCandidate = {
	readonly rack: string;
	readonly slack: number;
	readonly waiting: number;
};

const isBetter = (candidate: RackCandidate, best: RackCandidate | undefined): boolean => {
	if (best === undefined) {
		return true;
	}

	return candidate.slack > best.slack || (candidate.slack === best.slack && candidate.waiting > best.waiting);
};

/** Takes the next host of a pool; `undefined` if the budgets forbid each of them. */
const takeNextHost = (queue: PoolQueue, budgets: BudgetTracker): string | undefined => {
	let best: RackCandidate | undefined;
	for (const [rack, hosts] of queue.racks) {
		const candidate = {rack, slack: budgets.slackWithout(hosts.at(-1)!), waiting: hosts.length};
		if (candidate.slack >= 0 && isBetter(candidate, best)) {
			best = candidate;
		}
	}

	if (best === undefined) {
		return undefined;
	}

	const hosts = queue.racks.get(best.rack)!;
	const host = hosts.pop()!;
	if (hosts.length === 0) {
		queue.racks.delete(best.rack);
	}

	queue.waiting--;
	budgets.removeHost(host);
	return host;
};

/** Number of rounds that the pool needs if each round takes as many hosts as the first one can. */
const roundsLeft = (queue: PoolQueue, budgets: BudgetTracker): number => {
	const trial = {...queue, racks: new Map([...queue.racks].map(([rack, hosts]) => [rack, [...hosts]]))};
	const taken: string[] = [];
	for (let host = takeNextHost(trial, budgets); host !== undefined; host = takeNextHost(trial, budgets)) {
		taken.push(host);
	}

	for (const host of taken) {
		budgets.addHostToPool(host, queue.pool);
	}

	return Math.ceil(queue.waiting / Math.max(1, taken.length));
};

const byRoundsLeft = (queues: readonly PoolQueue[], budgets: BudgetTracker): readonly PoolQueue[] => queues
	.map(queue => ({queue, rounds: roundsLeft(queue, budgets)}))
	.toSorted((a, b) => b.rounds - a.rounds || b.queue.waiting - a.queue.waiting || (a.queue.pool < b.queue.pool ? -1 : 1))
	.map(({queue}) => queue);

/** Chooses up to `limit` of the candidates, which must all be serving, and counts them as lost in `budgets`. */
export const chooseHosts = (settings: FleetSettings, budgets: BudgetTracker, candidates: readonly string[], limit: number): readonly string[] => {
	const chosen: string[] = [];
	let queues = byRoundsLeft(queuesOf(settings, candidates), budgets);
	while (chosen.length < limit && queues.length > 0) {
		const nonEmpty: PoolQueue[] = [];
		for (const queue of queues) {
			const host = chosen.length < limit ? takeNextHost(queue, budgets) : undefined;
			if (host !== undefined) {
				chosen.push(host);
				nonEmpty.push(queue);
			}
		}

		queues = nonEmpty.filter(queue => queue.waiting > 0);
	}

	return chosen;
};
