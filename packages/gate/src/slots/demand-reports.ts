/**
Reports this gate's demand to the allocator of each pool: at once when demand first fills the gate's slots, within a fifth of a second when demand changes, and rarely when nothing changes.
*/
import {minReportedChange, reportPeriodMs} from './constants.js';
import {allocatorOf} from './allocator-election.js';
import {
	type Counts, type PoolDemands, type PoolReport, type SentReport, type SlotEffect, type SlotState, type TickEvent,
} from './types.js';
import {idlePeriodMsOf, type SlotStep, withEntry} from './state.js';

const totalOf = (counts: Counts): number => Object.values(counts).reduce((sum, count) => sum + count, 0);

/** The number of further requests that each team may start at this gate. */
const headroomByTeam = (demands: PoolDemands, allotmentByTeam: ReadonlyMap<string, number>): ReadonlyMap<string, number> => {
	const headroom = new Map(allotmentByTeam);
	for (const loads of demands.values()) {
		for (const [team, {running}] of loads) {
			headroom.set(team, (headroom.get(team) ?? 0) - running);
		}
	}

	return headroom;
};

/** Requests that are running or could run if there were free slots. */
const demandsOf = (demands: PoolDemands, pool: string, headroom: ReadonlyMap<string, number>): Counts =>
	Object.fromEntries([...demands.get(pool) ?? []].map(([team, {running, waiting}]) =>
		[team, running + Math.min(waiting, Math.max(headroom.get(team) ?? 0, 0))]));

const heldIn = (state: SlotState, pool: string): Counts => {
	const held: Record<string, number> = {};
	for (const {host} of state.hostsByPool.get(pool) ?? []) {
		const count = state.held.get(host) ?? 0;
		if (count > 0) {
			held[host] = count;
		}
	}

	return held;
};

const isChanged = (before: Counts, after: Counts): boolean =>
	[...new Set([...Object.keys(before), ...Object.keys(after)])].some(name => {
		const from = before[name] ?? 0;
		const to = after[name] ?? 0;
		return Math.abs(to - from) > minReportedChange * Math.max(from, to);
	});

/** Returns true if the demand fills the slots. Until it does, its changes are irrelevant to other gates. */
const isShortOfSlots = (report: PoolReport): boolean => {
	const demand = totalOf(report.demands);
	return demand > 0 && demand >= totalOf(report.held);
};

const isDue = (sent: SentReport | undefined, allocator: string, report: PoolReport, nowMs: number): boolean => {
	if (sent?.to !== allocator) {
		return true;
	}

	const isShort = isShortOfSlots(report);
	const hasDemandChanged = (isShort || isShortOfSlots(sent.report)) && isChanged(sent.report.demands, report.demands);
	const isFirstShort = isShort && !isShortOfSlots(sent.report);
	return isFirstShort || nowMs - sent.atMs >= (hasDemandChanged || isChanged(sent.report.held, report.held) ? reportPeriodMs : idlePeriodMsOf(sent));
};

/** Stores a gate's report on a pool; only the pool's allocator keeps reports. */
export const storeReport = (state: SlotState, from: string, report: PoolReport): SlotState => {
	const ofPool = state.reportsByPool.get(report.pool) ?? new Map<string, PoolReport>();
	return {...state, reportsByPool: withEntry(state.reportsByPool, report.pool, withEntry(ofPool, from, report))};
};

const hasLoad = (demands: PoolDemands, pool: string): boolean =>
	[...demands.get(pool)?.values() ?? []].some(({running, waiting}) => running + waiting > 0);

/** Returns true if a new report would equal the last one: no slot has moved and no team has demand. */
const isUnchanged = (state: SlotState, sent: SentReport | undefined, allocator: string): boolean => sent?.to === allocator
	&& sent.heldOnAll === state.held
	&& sent.report.isLeaving === state.isDraining
	&& totalOf(sent.report.demands) === 0;

const isRepeat = (sent: SentReport | undefined, to: string, report: PoolReport): boolean =>
	sent?.to === to && JSON.stringify(sent.report) === JSON.stringify(report);

const recordSentReport = (state: SlotState, to: string, report: PoolReport, nowMs: number): SlotState => {
	const sent = state.sentReports.get(report.pool);
	return {
		...state,
		sentReports: withEntry(state.sentReports, report.pool, {
			atMs: nowMs, report, to, heldOnAll: state.held, repeats: isRepeat(sent, to, report) ? sent!.repeats + 1 : 0,
		}),
	};
};

/** Sends the reports that are due, one message to each allocator. */
export const sendReports = (state: SlotState, {demands, allotmentByTeam, nowMs}: TickEvent): SlotStep => {
	const headroom = headroomByTeam(demands, allotmentByTeam);
	let next = state;
	const byAllocator = new Map<string, PoolReport[]>();
	for (const pool of state.hostsByPool.keys()) {
		const allocator = allocatorOf(state, pool);
		const sent = state.sentReports.get(pool);
		const isIdle = allocator !== undefined && isUnchanged(state, sent, allocator) && !hasLoad(demands, pool);
		if (allocator === undefined || (isIdle && nowMs - sent!.atMs < idlePeriodMsOf(sent!))) {
			continue;
		}

		const report: PoolReport = {
			pool, demands: demandsOf(demands, pool, headroom), held: heldIn(state, pool), isLeaving: state.isDraining,
		};
		if (allocator === state.self.gate) {
			next = recordSentReport(storeReport(next, allocator, report), allocator, report, nowMs);
		} else if (isDue(sent, allocator, report, nowMs)) {
			byAllocator.set(allocator, [...byAllocator.get(allocator) ?? [], report]);
			next = recordSentReport(next, allocator, report, nowMs);
		}
	}

	const effects = [...byAllocator].map(([to, pools]): SlotEffect => ({type: 'sendToGate', to, message: {type: 'slotReport', pools}}));
	return {state: next, effects};
};
