/**
Commitments to a reconciliation round: what a gate reports, and that it transfers and receives no slot until the round is over.
*/
import {compileFleetSettings, type FleetSettings} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';
import {describe, expect, it} from 'vitest';
import {
	createSlotState, reduceSlots, type SlotEffect, type SlotEvent, type SlotMessage,
} from '../../src/index.js';

const settings: FleetSettings = E.getOrElse<unknown, FleetSettings>(findings => {
	throw new TypeError(JSON.stringify(findings));
})(compileFleetSettings(new Map(Object.entries({
	'/pools/draws/slotsPerServer': 8,
	'/hosts/h1/pool': 'draws',
	'/hosts/h1/dataCentre': 'dc1',
	'/hosts/h1/rack': 'r1',
	'/hosts/h1/address': 'http://127.0.0.1:9000',
})), 1));

const other = {gate: 'g1', incarnation: 1};
const self = {gate: 'g2', incarnation: 2};
const reconciliation: SlotMessage = {
	type: 'slotCensus', round: 1, revision: 1, members: {g1: 1, g2: 2},
};
const roundOver: SlotMessage = {type: 'slotRoundOver', round: 1};
const transfer: SlotMessage = {type: 'slotGive', sequence: 1, slots: {h1: 4}};
const order: SlotMessage = {
	type: 'slotOrders', pool: 'draws', weights: {}, orders: [{host: 'h1', keep: 1, to: {g1: 3}}],
};

/** Creates gate g2, which has g1 as its only peer. */
const createGate = () => {
	let state = createSlotState(self);
	const reduce = (event: SlotEvent): readonly SlotEffect[] => {
		const step = reduceSlots(state, event);
		state = step.state;
		return step.effects;
	};

	reduce({type: 'slotSettings', nowMs: 0, settings});
	reduce({
		type: 'slotMembers', nowMs: 0, revision: 2, members: [other, self],
	});
	const sentIn = (effects: readonly SlotEffect[]) => effects.flatMap(effect => effect.type === 'sendToGate' ? [effect.message] : []);
	return {
		receive: (message: SlotMessage) => sentIn(reduce({
			type: 'slotMessage', nowMs: 0, from: other, message,
		})),
		transfersAtTick: () => sentIn(reduce({
			type: 'slotTick', nowMs: 0, demands: new Map(), allotmentByTeam: new Map(), runningByHost: new Map(),
		})).filter(message => message.type === 'slotGive'),
		held: () => state.held.get('h1') ?? 0,
	};
};

describe('a gate that has committed to a reconciliation round', () => {
	it('receives no slot until the round is over', () => {
		const gate = createGate();
		expect(gate.receive(reconciliation)).toMatchObject([{type: 'slotPromise', held: {}}]);
		expect(gate.receive(transfer)).toEqual([]);
		expect(gate.held()).toBe(0);
		gate.receive(roundOver);
		expect(gate.receive(transfer)).toMatchObject([{type: 'slotTaken'}]);
		expect(gate.held()).toBe(4);
	});

	it('transfers no slot until the round is over', () => {
		const gate = createGate();
		gate.receive(transfer);
		gate.receive(reconciliation);
		gate.receive(order);
		expect(gate.transfersAtTick()).toEqual([]);
		gate.receive(roundOver);
		expect(gate.transfersAtTick()).toMatchObject([{slots: {h1: 3}}]);
	});
});

describe('a commitment', () => {
	it('counts slots that are in transfer to another gate', () => {
		const gate = createGate();
		gate.receive(transfer);
		gate.receive(order);
		gate.transfersAtTick();
		expect(gate.held()).toBe(1);
		expect(gate.receive(reconciliation)).toMatchObject([{type: 'slotPromise', held: {h1: 4}}]);
	});

	it('is not made if the gates differ on the members or on the revision of the settings', () => {
		const gate = createGate();
		expect(gate.receive({...reconciliation, members: {g1: 1}})).toEqual([]);
		expect(gate.receive({...reconciliation, revision: 2})).toEqual([]);
	});
});
