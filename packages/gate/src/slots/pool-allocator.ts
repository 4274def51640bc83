/**
The allocator of a pool: calculates each gate's allocation from the reports of all gates and orders the transfers that lead to it.
*/
import {rebalancePeriodMs, idleReportPeriodMs} from './constants.js';
import {allocatePool, type GateAllocation} from './allocate-pool.js';
import {isAllocatorOf} from './allocator-election.js';
import {type Holdings, planMoves, type SlotMove} from './plan-moves.js';
import {
	type Counts, type PoolReport, type SentOrders, type SlotEffect, type SlotHost, type SlotMessage, type SlotOrder, type SlotState,
} from './types.js';
import {
	idlePeriodMsOf, servingHosts, type SlotStep, withEntry,
} from './state.js';

type Orders = Extract<SlotMessage, {type: 'slotOrders'}>;
type Reports = ReadonlyMap<string, PoolReport>;

/** The reported holdings of each gate on each host, limited so that all gates together hold no more slots of a host than it has. */
const holdingsWithinCapacity = (reports: Reports, hosts: readonly SlotHost[]): Holdings => {
	const holdings = new Map([...reports.keys()].map(gate => [gate, new Map<string, number>()]));
	for (const {host, slots} of hosts) {
		let left = slots;
		for (const [gate, report] of reports) {
			const count = Math.min(report.held[host] ?? 0, left);
			holdings.get(gate)!.set(host, count);
			left -= count;
		}
	}

	return holdings;
};

const totalHeld = (holdings: Holdings): number =>
	[...holdings.values()].flatMap(held => [...held.values()]).reduce((sum, count) => sum + count, 0);

const countsOf = (moves: readonly SlotMove[]): Counts => Object.fromEntries(moves.map(move => [move.to, move.count]));

const ordersOf = (gate: string, hosts: readonly SlotHost[], holdings: Holdings, moves: readonly SlotMove[]): readonly SlotOrder[] =>
	hosts.map(({host}) => {
		const ownMoves = moves.filter(move => move.from === gate && move.host === host);
		const movedAway = ownMoves.reduce((sum, move) => sum + move.count, 0);
		return {host, keep: holdings.get(gate)!.get(host)! - movedAway, to: countsOf(ownMoves)};
	});

/** Rounds weights to two significant digits, so that small changes of demand cause no message. */
const weightsOf = (weights: ReadonlyMap<string, number>): Counts =>
	Object.fromEntries([...weights].map(([team, weight]) => [team, Number(weight.toPrecision(2))]));

const allocateByReports = (state: SlotState, reports: Reports): ReadonlyMap<string, GateAllocation> => allocatePool({
	capacity: totalHeld(holdingsWithinCapacity(reports, servingHosts(state, [...reports.values()][0]!.pool))),
	teams: state.settings.teams,
	demandsByGate: new Map([...reports].map(([gate, report]) => [gate, new Map(Object.entries(report.demands))])),
	drainingGates: new Set([...reports].filter(([, report]) => report.isLeaving).map(([gate]) => gate)),
});

/** The orders for each gate of the pool. */
const ordersForPool = (state: SlotState, pool: string, reports: Reports): ReadonlyMap<string, Orders> => {
	const hosts = servingHosts(state, pool);
	const holdings = holdingsWithinCapacity(reports, hosts);
	const allocations = allocateByReports(state, reports);
	const moves = planMoves(holdings, new Map([...allocations].map(([gate, allocation]) => [gate, allocation.slots])));
	return new Map([...reports.keys()].map(gate => [gate, {
		type: 'slotOrders',
		pool,
		weights: weightsOf(allocations.get(gate)!.weights),
		orders: ordersOf(gate, hosts, holdings, moves).filter(order => Object.keys(order.to).length > 0),
	}]));
};

/** Replaces the orders for one pool by those that the allocator has sent. */
export const acceptOrders = (state: SlotState, orders: Orders): SlotState => {
	const others = [...state.ordersByHost].filter(([host]) => state.hosts.get(host)?.pool !== orders.pool);
	return {
		...state,
		ordersByHost: new Map([...others, ...orders.orders.map(order => [order.host, order] as const)]),
		weightsByPool: withEntry(state.weightsByPool, orders.pool, new Map(Object.entries(orders.weights))),
	};
};

/** Returns true if the orders have changed, or if their next repeat is due. Unchanged orders are repeated rarely, in case they were lost. */
const shouldSend = (sent: SentOrders | undefined, text: string, nowMs: number): boolean =>
	sent?.text !== text || nowMs - sent.atMs >= idlePeriodMsOf(sent);

const recordSentOrders = (state: SlotState, key: string, text: string, nowMs: number): SlotState => {
	const sent = state.sentOrders.get(key);
	const repeats = sent?.text === text ? sent.repeats + 1 : 0;
	return {...state, sentOrders: withEntry(state.sentOrders, key, {atMs: nowMs, text, repeats})};
};

const rebalancePool = (state: SlotState, pool: string, nowMs: number): SlotStep => {
	const sinceRebalanceMs = nowMs - (state.rebalancedAtMs.get(pool) ?? -Infinity);
	const allReports = state.reportsByPool.get(pool);
	const isUnchanged = allReports !== undefined && state.rebalancedReports.get(pool) === allReports;
	if (sinceRebalanceMs < (isUnchanged ? idleReportPeriodMs : rebalancePeriodMs)) {
		return {state, effects: []};
	}

	const reports = new Map([...allReports ?? []].filter(([gate]) => !state.silentGates.has(gate)));
	if (reports.size === 0) {
		return {state, effects: []};
	}

	let next: SlotState = {
		...state,
		rebalancedAtMs: withEntry(state.rebalancedAtMs, pool, nowMs),
		rebalancedReports: withEntry(state.rebalancedReports, pool, allReports!),
	};
	const effects: SlotEffect[] = [];
	for (const [gate, orders] of ordersForPool(state, pool, reports)) {
		const key = `${pool} ${gate}`;
		const text = JSON.stringify(orders);
		if (gate === state.self.gate) {
			next = acceptOrders(next, orders);
		} else if (shouldSend(next.sentOrders.get(key), text, nowMs)) {
			next = recordSentOrders(next, key, text, nowMs);
			effects.push({type: 'sendToGate', to: gate, message: orders});
		}
	}

	return {state: next, effects};
};

/** Rebalances the pools of which this gate is the allocator, once their period has passed. */
export const rebalancePools = (state: SlotState, nowMs: number): SlotStep => {
	let next = state;
	const effects: SlotEffect[] = [];
	for (const pool of state.hostsByPool.keys()) {
		if (isAllocatorOf(state, pool)) {
			const step = rebalancePool(next, pool, nowMs);
			next = step.state;
			effects.push(...step.effects);
		}
	}

	return {state: next, effects};
};
