/**
The reducer of the slot rebalancing: (state, event) → (state, effects).
*/
import {assertNever, type FleetSettings, type Reducer} from '@poplarnotch/common';
import {
	answerReconciliation, collectCommitment, completeReconciliation, dropInvalidRounds, endCommitment, openReconciliation, resendReconciliation,
} from './reconciliation.js';
import {rebalancePools, acceptOrders} from './pool-allocator.js';
import {storeReport, sendReports} from './demand-reports.js';
import {isRegistered, type SlotStep} from './state.js';
import {
	confirmTransfer, executeOrders, resendTransfers, receiveTransfer,
} from './transfers.js';
import {
	type SlotEffect, type SlotEvent, type SlotHost, type SlotMessage, type SlotPeer, type SlotState, type TickEvent,
} from './types.js';

const noGates: ReadonlySet<string> = new Set();

const isSameSet = (a: ReadonlySet<string>, b: ReadonlySet<string>): boolean => a.size === b.size && [...a].every(name => b.has(name));

/** Clears the records of what was sent and rebalanced when the set of silent gates changes, because a silent gate has missed messages and a gate that responds again may have missed some. Everything is then sent and allocated anew. */
const updateSilentGates = (state: SlotState, silentGates: ReadonlySet<string>): SlotState => isSameSet(state.silentGates, silentGates)
	? state
	: {
		...state, silentGates, sentReports: new Map(), sentOrders: new Map(), rebalancedReports: new Map(),
	};

const tick = (state: SlotState, event: TickEvent): SlotStep => {
	const updated = updateSilentGates(state, event.silentGates ?? noGates);
	const withRunning: SlotState = {...updated, runningByHost: event.runningByHost};
	if (!isRegistered(withRunning)) {
		return {state: withRunning, effects: []};
	}

	const reported = sendReports(withRunning, event);
	const rebalanced = rebalancePools(reported.state, event.nowMs);
	const executed = executeOrders(openReconciliation(rebalanced.state, event.nowMs));
	const completed = completeReconciliation(executed);
	return {
		state: completed.state,
		effects: [
			...reported.effects, ...rebalanced.effects, ...completed.effects, ...resendTransfers(completed.state), ...resendReconciliation(completed.state),
		],
	};
};

const receive = (state: SlotState, from: SlotPeer, message: SlotMessage): SlotStep => {
	switch (message.type) {
		case 'slotReport': {
			return {state: message.pools.reduce((next, report) => storeReport(next, from.gate, report), state), effects: []};
		}

		case 'slotOrders': {
			return {state: acceptOrders(state, message), effects: []};
		}

		case 'slotGive': {
			return receiveTransfer(state, from, message);
		}

		case 'slotTaken': {
			return {state: confirmTransfer(state, from, message.sequence), effects: []};
		}

		case 'slotCensus': {
			return answerReconciliation(state, from, message);
		}

		case 'slotPromise': {
			const collected = collectCommitment(state, from, message);
			const completed = completeReconciliation(collected.state);
			return {state: completed.state, effects: [...collected.effects, ...completed.effects]};
		}

		case 'slotRoundOver': {
			return {state: endCommitment(state, from, message.round), effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
};

/** Handles messages only between registered gates. A message of an earlier incarnation is dropped, because its slots may have been allocated anew. */
const receiveFromMember = (state: SlotState, from: SlotPeer, message: SlotMessage): SlotStep =>
	state.members.get(from.gate)?.incarnation === from.incarnation && isRegistered(state)
		? receive(state, from, message)
		: {state, effects: []};

const isStillMember = (members: ReadonlyMap<string, SlotPeer>, peer: SlotPeer): boolean =>
	members.get(peer.gate)?.incarnation === peer.incarnation;

const changeMembers = (state: SlotState, event: Extract<SlotEvent, {type: 'slotMembers'}>): SlotState => {
	if (event.revision < state.membersRevision) {
		return state;
	}

	const members = new Map(event.members.map(member => [member.gate, member]));
	if (members.size === state.members.size && event.members.every(member => isStillMember(state.members, member))) {
		return {...state, membersRevision: event.revision};
	}

	const left = [...state.members.values()].filter(member => !isStillMember(members, member));
	const stays = (gate: string): boolean => left.every(member => member.gate !== gate);
	const reportsByPool = new Map([...state.reportsByPool].map(([pool, reports]) =>
		[pool, new Map([...reports].filter(([gate]) => stays(gate)))]));
	const next = dropInvalidRounds({
		...state,
		members,
		membersRevision: event.revision,
		memberLeftAtMs: left.length > 0 ? event.nowMs : state.memberLeftAtMs,
		outgoing: new Map([...state.outgoing].filter(([gate]) => stays(gate))),
		sentSequences: new Map([...state.sentSequences].filter(([gate]) => stays(gate))),
		receivedSequences: new Map([...state.receivedSequences].filter(([key]) => left.every(member => `${member.gate}@${member.incarnation}` !== key))),
		sentReports: new Map(),
		rebalancedReports: new Map(),
		sentOrders: new Map(),
		reportsByPool,
	});
	// If the other gates have removed this gate, it has no slots any more.
	return left.some(member => member.gate === state.self.gate) ? {...next, held: new Map(), outgoing: new Map()} : next;
};

const hostsOf = (settings: FleetSettings): ReadonlyMap<string, SlotHost> =>
	new Map([...settings.hosts].map(([host, {pool}]) =>
		[host, {host, pool, slots: settings.pools.get(pool)?.slotsPerServer ?? 0}]));

const groupHostsByPool = (hosts: ReadonlyMap<string, SlotHost>): ReadonlyMap<string, readonly SlotHost[]> => {
	const hostsByPool = new Map<string, SlotHost[]>();
	for (const host of hosts.values()) {
		const ofPool = hostsByPool.get(host.pool) ?? [];
		ofPool.push(host);
		hostsByPool.set(host.pool, ofPool);
	}

	return hostsByPool;
};

/** If a host has fewer slots than before, each gate gives up its proportion, rounded in favour of the host; reconciliation allocates the rest anew. */
const heldAfterResize = (count: number, before: SlotHost | undefined, after: SlotHost): number =>
	before === undefined || after.slots >= before.slots ? count : Math.floor(count * after.slots / before.slots);

const changeSettings = (state: SlotState, settings: FleetSettings): SlotState => {
	const hosts = hostsOf(settings);
	const held = [...state.held]
		.filter(([host]) => hosts.has(host))
		.map(([host, count]): [string, number] => [host, heldAfterResize(count, state.hosts.get(host), hosts.get(host)!)]);
	return {
		...state,
		settings,
		hosts,
		hostsByPool: groupHostsByPool(hosts),
		held: new Map(held),
		ordersByHost: new Map([...state.ordersByHost].filter(([host]) => hosts.get(host)?.pool === state.hosts.get(host)?.pool)),
	};
};

const handle = (state: SlotState, event: SlotEvent): SlotStep => {
	switch (event.type) {
		case 'slotTick': {
			return tick(state, event);
		}

		case 'slotMessage': {
			return receiveFromMember(state, event.from, event.message);
		}

		case 'slotMembers': {
			return {state: changeMembers(state, event), effects: []};
		}

		case 'slotSettings': {
			return {state: changeSettings(state, event.settings), effects: []};
		}

		case 'slotDrain': {
			return {state: {...state, isDraining: true}, effects: []};
		}

		default: {
			return assertNever(event);
		}
	}
};

/** Slots that the gate may fill. Slots that it has orders to transfer are not filled any more. */
const grantedOn = (state: SlotState, host: string, held: number): number => {
	const order = state.ordersByHost.get(host);
	if (order === undefined) {
		return held;
	}

	const toTransfer = Object.values(order.to).reduce((sum, count) => sum + count, 0);
	return Math.max(Math.min(held, Math.max(order.keep, held - toTransfer)), 0);
};

const grantsOf = (state: SlotState): ReadonlyMap<string, number> =>
	new Map([...state.held].filter(([, held]) => held > 0).map(([host, held]) => [host, grantedOn(state, host, held)]));

const isSameCounts = (a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean =>
	a.size === b.size && [...a].every(([name, count]) => b.get(name) === count);

/** Reduces one event. Changed grants are the first effect, so that the gate stops filling a slot before it is transferred. */
export const reduceSlots: Reducer<SlotState, SlotEvent, SlotEffect> = (state, event) => {
	const {state: next, effects} = handle(state, event);
	const isSameInput = state.held === next.held && state.ordersByHost === next.ordersByHost && state.weightsByPool === next.weightsByPool;
	if (isSameInput) {
		return {state: next, effects};
	}

	const slotsByHost = grantsOf(next);
	if (state.weightsByPool === next.weightsByPool && isSameCounts(grantsOf(state), slotsByHost)) {
		return {state: next, effects};
	}

	return {state: next, effects: [{type: 'setGrants', slotsByHost, weightsByPool: next.weightsByPool}, ...effects]};
};
