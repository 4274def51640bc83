/**
Transfers slots from gate to gate. The sender stops counting a slot as its own before the message leaves, and the recipient counts it when the message arrives, so no slot is ever counted twice. There is one transfer at a time to each gate, and it is repeated until it is confirmed.
*/
import {
	type Counts, type SlotEffect, type SlotMessage, type SlotOrder, type SlotPeer, type SlotState,
} from './types.js';
import {
	addCounts, freeSlotsOn, isFrozen, isRegistered, type SlotStep, withEntry, withoutEntry,
} from './state.js';

type Transfer = {readonly to: string; readonly host: string; readonly count: number};

/** The transfers that are possible now for one order. */
const transfersOf = (state: SlotState, order: SlotOrder): readonly Transfer[] => {
	let available = Math.min(freeSlotsOn(state, order.host), (state.held.get(order.host) ?? 0) - order.keep);
	const transfers: Transfer[] = [];
	for (const [to, wanted] of Object.entries(order.to)) {
		const count = Math.min(wanted, available);
		if (count > 0 && !state.outgoing.has(to) && state.members.has(to) && !state.silentGates.has(to)) {
			transfers.push({to, host: order.host, count});
			available -= count;
		}
	}

	return transfers;
};

const withoutTransferred = (order: SlotOrder, transfers: readonly Transfer[]): SlotOrder => {
	const to = {...order.to};
	for (const transfer of transfers) {
		to[transfer.to] = to[transfer.to]! - transfer.count;
	}

	return {...order, to};
};

const groupByRecipient = (transfers: readonly Transfer[]): ReadonlyMap<string, Counts> => {
	const byRecipient = new Map<string, Counts>();
	for (const transfer of transfers) {
		byRecipient.set(transfer.to, {...byRecipient.get(transfer.to), [transfer.host]: transfer.count});
	}

	return byRecipient;
};

const startTransfer = (state: SlotState, to: string, slots: Counts): SlotState => {
	const sequence = (state.sentSequences.get(to) ?? 0) + 1;
	return {
		...state,
		held: addCounts(state.held, slots, -1),
		outgoing: withEntry(state.outgoing, to, {sequence, slots}),
		sentSequences: withEntry(state.sentSequences, to, sequence),
	};
};

/** Starts transfers of the free slots that the orders name. */
export const executeOrders = (state: SlotState): SlotState => {
	if (isFrozen(state) || state.ordersByHost.size === 0) {
		return state;
	}

	const allTransfers: Transfer[] = [];
	const ordersByHost = new Map(state.ordersByHost);
	for (const order of state.ordersByHost.values()) {
		const transfers = transfersOf(state, order);
		allTransfers.push(...transfers);
		ordersByHost.set(order.host, withoutTransferred(order, transfers));
	}

	if (allTransfers.length === 0) {
		return state;
	}

	let next: SlotState = {...state, ordersByHost};
	for (const [to, slots] of groupByRecipient(allTransfers)) {
		next = startTransfer(next, to, slots);
	}

	return next;
};

/** Sends again the transfers that are not confirmed yet. */
export const resendTransfers = (state: SlotState): readonly SlotEffect[] => [...state.outgoing].map(([to, {sequence, slots}]) => ({
	type: 'sendToGate', to, message: {type: 'slotGive', sequence, slots},
}));

/** Receives slots from another gate. A transfer that arrives again is only confirmed again. */
export const receiveTransfer = (state: SlotState, from: SlotPeer, message: Extract<SlotMessage, {type: 'slotGive'}>): SlotStep => {
	const key = `${from.gate}@${from.incarnation}`;
	const lastSequence = state.receivedSequences.get(key) ?? 0;
	const confirmation: SlotEffect = {type: 'sendToGate', to: from.gate, message: {type: 'slotTaken', sequence: message.sequence}};
	if (message.sequence <= lastSequence) {
		return {state, effects: [confirmation]};
	}

	if (isFrozen(state) || !isRegistered(state)) {
		return {state, effects: []};
	}

	const next = {
		...state,
		held: addCounts(state.held, message.slots, 1),
		receivedSequences: withEntry(state.receivedSequences, key, message.sequence),
	};
	return {state: next, effects: [confirmation]};
};

/** Closes a transfer that the recipient has confirmed. */
export const confirmTransfer = (state: SlotState, from: SlotPeer, sequence: number): SlotState =>
	state.outgoing.get(from.gate)?.sequence === sequence
		? {...state, outgoing: withoutEntry(state.outgoing, from.gate)}
		: state;
