/**
The state of the slot rebalancing at one gate, with the queries and helpers that its modules share.
*/
import {emptyFleetSettings} from '@poplarnotch/common';
import {idleReportPeriodMs, maxIdlePeriodMs} from './constants.js';
import {
	type Counts, type SentReport, type SlotEffect, type SlotHost, type SlotPeer, type SlotState,
} from './types.js';

/** Result of an event handler. */
export type SlotStep = {
	readonly state: SlotState;
	readonly effects: readonly SlotEffect[];
};

/** The state of a gate that has just been registered: it holds no slot. */
export const createSlotState = (self: SlotPeer): SlotState => ({
	self,
	settings: emptyFleetSettings,
	hosts: new Map(),
	hostsByPool: new Map(),
	members: new Map(),
	membersRevision: 0,
	memberLeftAtMs: -Infinity,
	held: new Map(),
	runningByHost: new Map(),
	silentGates: new Set(),
	outgoing: new Map(),
	sentSequences: new Map(),
	receivedSequences: new Map(),
	ordersByHost: new Map(),
	weightsByPool: new Map(),
	reportsByPool: new Map(),
	sentReports: new Map(),
	rebalancedReports: new Map(),
	sentOrders: new Map(),
	rebalancedAtMs: new Map(),
	slotsMissingSinceMs: new Map(),
	openRound: undefined,
	lastRound: 0,
	commitment: undefined,
	isDraining: false,
});

/** The map with one entry replaced. */
export const withEntry = <Value>(map: ReadonlyMap<string, Value>, key: string, value: Value): ReadonlyMap<string, Value> =>
	new Map(map).set(key, value);

/** The map without one entry. */
export const withoutEntry = <Value>(map: ReadonlyMap<string, Value>, key: string): ReadonlyMap<string, Value> => {
	const next = new Map(map);
	next.delete(key);
	return next;
};

/** Adds counts to a map of counts. */
export const addCounts = (map: ReadonlyMap<string, number>, counts: Counts, sign: 1 | -1): ReadonlyMap<string, number> => {
	const next = new Map(map);
	for (const [name, count] of Object.entries(counts)) {
		next.set(name, (next.get(name) ?? 0) + (sign * count));
	}

	return next;
};

/** Returns true if this gate is registered, by the latest list of members. */
export const isRegistered = (state: SlotState): boolean =>
	state.members.get(state.self.gate)?.incarnation === state.self.incarnation;

/** Returns true if no slot may be transferred: this gate has committed to a reconciliation round, or has opened one itself. */
export const isFrozen = (state: SlotState): boolean => state.commitment !== undefined || state.openRound !== undefined;

/** Slots on the host that are held and not in use. */
export const freeSlotsOn = (state: SlotState, host: string): number =>
	Math.max((state.held.get(host) ?? 0) - (state.runningByHost.get(host) ?? 0), 0);

/** Hosts of the pool whose state is `serving`. */
export const servingHosts = (state: SlotState, pool: string): readonly SlotHost[] =>
	(state.hostsByPool.get(pool) ?? []).filter(host => state.settings.hosts.get(host.host)?.state === 'serving');

/** All slots that this gate holds, uses or is transferring, by host. */
export const inventoryOf = (state: SlotState): Counts => {
	let inventory: ReadonlyMap<string, number> = new Map([...state.held, ...state.runningByHost].map(([host]) =>
		[host, Math.max(state.held.get(host) ?? 0, state.runningByHost.get(host) ?? 0)]));
	for (const transfer of state.outgoing.values()) {
		inventory = addCounts(inventory, transfer.slots, 1);
	}

	return Object.fromEntries(inventory);
};

/** Sends a message to all other members. */
export const sendToOthers = (state: SlotState, message: (peer: SlotPeer) => SlotEffect | undefined): readonly SlotEffect[] =>
	[...state.members.values()]
		.filter(peer => peer.gate !== state.self.gate)
		.flatMap(peer => message(peer) ?? []);

/** Time after which an unchanged message is sent again: soon at first, in case it was lost, then with increasing intervals. */
export const idlePeriodMsOf = ({repeats}: Pick<SentReport, 'repeats'>): number =>
	Math.min(idleReportPeriodMs * (2 ** repeats), maxIdlePeriodMs);
