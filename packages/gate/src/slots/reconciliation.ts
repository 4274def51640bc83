/**
Reconciliation of slots: allocates the slots that no gate holds, which are those of new hosts and those of gates that were removed. All registered gates must agree on the list of members, and must commit to transfer no slot until the round is over. The gate that opened the round then adds the slots that are missing in the sum of all inventories to its own.

Two rounds never succeed at the same time: a gate that has opened a round commits to no round of a gate with a later name, and withdraws its own round for a gate with an earlier name.
*/
import {removedGateDelayMs, missingSlotsDelayMs} from './constants.js';
import {isAllocatorOf} from './allocator-election.js';
import {
	type ReconciliationRound, type Counts, type PoolReport, type SlotEffect, type SlotHost, type SlotMessage, type SlotPeer, type SlotState,
} from './types.js';
import {
	inventoryOf, addCounts, isRegistered, sendToOthers, type SlotStep, withEntry,
} from './state.js';

const membersOf = (state: SlotState): Counts =>
	Object.fromEntries([...state.members].toSorted(([a], [b]) => a < b ? -1 : 1).map(([gate, {incarnation}]) => [gate, incarnation]));

const isSameMembers = (a: Counts, b: Counts): boolean =>
	Object.keys(a).length === Object.keys(b).length && Object.entries(a).every(([gate, incarnation]) => b[gate] === incarnation);

const roundOverMessages = (state: SlotState, round: number): readonly SlotEffect[] =>
	sendToOthers(state, peer => ({type: 'sendToGate', to: peer.gate, message: {type: 'slotRoundOver', round}}));

/** Returns true if, by the latest reports of all gates, some of the host's slots are held by no gate. */
const isMissingSlots = (reports: Iterable<PoolReport>, {host, slots}: SlotHost): boolean => {
	let held = 0;
	for (const report of reports) {
		held += report.held[host] ?? 0;
	}

	return held < slots;
};

/** Hosts with missing slots, in the pools that this gate allocates. Pools for which a gate has not reported yet are left out. */
const hostsMissingSlots = (state: SlotState): readonly string[] => {
	const missing: string[] = [];
	for (const [pool, hosts] of state.hostsByPool) {
		const reports = state.reportsByPool.get(pool);
		if (reports?.size === state.members.size && isAllocatorOf(state, pool)) {
			missing.push(...hosts.filter(host => isMissingSlots(reports.values(), host)).map(({host}) => host));
		}
	}

	return missing;
};

/** Records which hosts have missing slots, and since when. */
const trackMissingSlots = (state: SlotState, nowMs: number): SlotState => ({
	...state,
	slotsMissingSinceMs: new Map(hostsMissingSlots(state).map(host => [host, state.slotsMissingSinceMs.get(host) ?? nowMs])),
});

/** Time after which the work of a removed gate has certainly stopped on the backend servers. */
const removedGateDelayMsOf = (state: SlotState): number =>
	Math.max(removedGateDelayMs, ...[...state.settings.pools.values()].map(({cancelGraceMs}) => cancelGraceMs));

const mayOpenRound = (state: SlotState, nowMs: number): boolean => isRegistered(state)
	&& state.commitment === undefined
	&& state.outgoing.size === 0
	&& nowMs - state.memberLeftAtMs >= removedGateDelayMsOf(state)
	&& [...state.slotsMissingSinceMs.values()].some(sinceMs => nowMs - sinceMs >= missingSlotsDelayMs);

/** Opens a round if slots have been missing for long enough. */
export const openReconciliation = (state: SlotState, nowMs: number): SlotState => {
	const tracked = trackMissingSlots(state, nowMs);
	if (tracked.openRound !== undefined || !mayOpenRound(tracked, nowMs)) {
		return tracked;
	}

	const round = tracked.lastRound + 1;
	return {...tracked, lastRound: round, openRound: {round, heldByGate: new Map()}};
};

/** Sends the request again to gates that have not committed yet, or repeats the commitment that this gate has made. */
export const resendReconciliation = (state: SlotState): readonly SlotEffect[] => {
	const {openRound, commitment} = state;
	if (openRound !== undefined) {
		const members = membersOf(state);
		return sendToOthers(state, peer => openRound.heldByGate.has(peer.gate)
			? undefined
			: {
				type: 'sendToGate', to: peer.gate, message: {
					type: 'slotCensus', round: openRound.round, revision: state.settings.revision, members,
				},
			});
	}

	return commitment === undefined ? [] : [commitmentTo(state, commitment.to, commitment.round)];
};

const commitmentTo = (state: SlotState, to: SlotPeer, round: number): SlotEffect => ({
	type: 'sendToGate',
	to: to.gate,
	message: {
		type: 'slotPromise', round, incarnation: to.incarnation, held: inventoryOf(state),
	},
});

/** Commits to transfer no slot, if this gate agrees on the settings' revision and the members, and unless its own round or another commitment has precedence. */
export const answerReconciliation = (state: SlotState, from: SlotPeer, message: Extract<SlotMessage, {type: 'slotCensus'}>): SlotStep => {
	const isOwnRoundFirst = state.openRound !== undefined && state.self.gate < from.gate;
	const isCommittedElsewhere = state.commitment !== undefined
		&& (state.commitment.to.gate !== from.gate || state.commitment.round > message.round);
	const isAgreed = message.revision === state.settings.revision && isSameMembers(membersOf(state), message.members);
	if (isOwnRoundFirst || isCommittedElsewhere || !isAgreed) {
		return {state, effects: []};
	}

	const withdrawn = state.openRound === undefined ? [] : roundOverMessages(state, state.openRound.round);
	const next: SlotState = {...state, openRound: undefined, commitment: {to: from, round: message.round}};
	return {state: next, effects: [...withdrawn, commitmentTo(next, from, message.round)]};
};

/** Records a commitment. One for a round that is not open is answered with the end of the round, so that its sender is released. */
export const collectCommitment = (state: SlotState, from: SlotPeer, message: Extract<SlotMessage, {type: 'slotPromise'}>): SlotStep => {
	const {openRound} = state;
	const isOpen = openRound?.round === message.round && state.self.incarnation === message.incarnation;
	if (openRound === undefined || !isOpen) {
		return {
			state,
			effects: [{type: 'sendToGate', to: from.gate, message: {type: 'slotRoundOver', round: message.round}}],
		};
	}

	const heldByGate = withEntry(openRound.heldByGate, from.gate, message.held);
	return {state: {...state, openRound: {...openRound, heldByGate}}, effects: []};
};

/** Ends this gate's commitment to a round that is over. */
export const endCommitment = (state: SlotState, from: SlotPeer, round: number): SlotState =>
	state.commitment?.to.gate === from.gate && state.commitment.round === round
		? {...state, commitment: undefined}
		: state;

const missingSlots = (state: SlotState, round: ReconciliationRound): Counts => {
	const inventories = [inventoryOf(state), ...round.heldByGate.values()];
	const missing: Record<string, number> = {};
	for (const {host, slots} of state.hosts.values()) {
		const count = slots - inventories.reduce((sum, inventory) => sum + (inventory[host] ?? 0), 0);
		if (count > 0) {
			missing[host] = count;
		}
	}

	return missing;
};

/** Completes the round once all gates have committed: this gate adds the missing slots to its own. */
export const completeReconciliation = (state: SlotState): SlotStep => {
	const {openRound} = state;
	const isComplete = openRound !== undefined && isRegistered(state)
		&& [...state.members.keys()].every(gate => gate === state.self.gate || openRound.heldByGate.has(gate));
	if (!isComplete) {
		return {state, effects: []};
	}

	const held = addCounts(state.held, missingSlots(state, openRound), 1);
	// Slots in transfer can only be received between two rounds, so the delay before the next round starts anew.
	const next: SlotState = {
		...state, openRound: undefined, held, slotsMissingSinceMs: new Map(),
	};
	return {state: next, effects: roundOverMessages(next, openRound.round)};
};

/** Drops the round and the commitment that a change of members has made invalid. */
export const dropInvalidRounds = (state: SlotState): SlotState => {
	const {commitment} = state;
	const isInvalid = commitment !== undefined && state.members.get(commitment.to.gate)?.incarnation !== commitment.to.incarnation;
	return {...state, openRound: undefined, commitment: isInvalid ? undefined : commitment};
};
