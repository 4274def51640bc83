/**
Settings of a small fleet, requests and a gate under test, for tests of the reducer.
*/
import {
	compileFleetSettings, hashSecret, type FleetSettings, type JsonValue,
} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';
import {
	type ArrivedRequest, type BackendServer, createGateState, type GateEffect, type GateEvent, type GateGrants, type GateState, reduceGate,
} from '../../src/index.js';

export const redKey = {keyId: 'red-1', secretHash: hashSecret('red-secret')};
export const blueKey = {keyId: 'blue-1', secretHash: hashSecret('blue-secret')};

const baseTree: Readonly<Record<string, JsonValue>> = {
	'/teams/red/share': 3,
	'/teams/red/upperLimit': 100,
	'/teams/red/keys/red-1/hash': redKey.secretHash,
	'/teams/blue/share': 1,
	'/teams/blue/upperLimit': 100,
	'/teams/blue/keys/blue-1/hash': blueKey.secretHash,
	'/queues/pairing/pool': 'draws',
	'/queues/urgent/pool': 'draws',
	'/queues/urgent/urgent': true,
	'/queues/lists/pool': 'lists',
	'/queues/red-only/pool': 'draws',
	'/queues/red-only/teams': ['red'],
	'/queues/open-queue/pool': 'lists',
	'/queues/open-queue/open': true,
	'/queues/open-queue/owner': 'blue',
	'/pools/draws/slotsPerServer': 2,
	'/pools/lists/slotsPerServer': 2,
};

/** The settings of the small fleet, with changes. */
export const settingsWith = (changes: Readonly<Record<string, JsonValue>> = {}): FleetSettings => {
	const compiled = compileFleetSettings(new Map(Object.entries({...baseTree, ...changes})), 1);
	if (E.isLeft(compiled)) {
		throw new TypeError(JSON.stringify(compiled.left));
	}

	return compiled.right;
};

/** Servers `draws-1`, `draws-2`, … and the same for the pool `lists`. */
export const serversOf = (count: number): readonly BackendServer[] => ['draws', 'lists'].flatMap(pool =>
	Array.from({length: count}, (_, index) => ({
		host: `${pool}-${index + 1}`, pool, address: `http://127.0.0.1:${9000 + index}`, acceptsWork: true,
	})));

/** Grants the same number of slots on each server and the same allotment to each team. */
export const grantsOf = (servers: readonly BackendServer[], slots: number, allotment: number): GateGrants => ({
	slotsByHost: new Map(servers.map(server => [server.host, slots])),
	allotmentByTeam: new Map([['red', allotment], ['blue', allotment]]),
});

let lastId = 0;

/** A GET request of team red to the queue `pairing`, with changes. */
export const requestWith = (changes: Partial<ArrivedRequest> = {}): ArrivedRequest => ({
	requestId: `r${++lastId}`,
	queue: 'pairing',
	method: 'GET',
	presentedKey: redKey,
	idempotencyKey: undefined,
	fingerprint: undefined,
	timeoutMs: undefined,
	isReplayable: true,
	...changes,
});

/** An event without its time and its random number. */
type EventInput<Event> = Event extends GateEvent ? Omit<Event, 'nowMs' | 'random'> : never;

/** A gate under test: keeps the time, sends events to the reducer and returns their effects. */
export class GateUnderTest {
	state: GateState;
	nowMs = 0;

	constructor(settings: FleetSettings = settingsWith(), servers = serversOf(2), grants = grantsOf(servers, 2, 100)) {
		this.state = createGateState(settings);
		this.send({type: 'serversChanged', servers});
		this.send({type: 'grantsChanged', grants});
	}

	/** Sends one event; returns its effects except metrics and logs. */
	send(event: EventInput<GateEvent>, random = 0.5): readonly GateEffect[] {
		const step = reduceGate(this.state, {...event, nowMs: this.nowMs, random} as GateEvent);
		this.state = step.state;
		return step.effects.filter(effect => !['countMetric', 'recordDuration', 'log'].includes(effect.type));
	}

	/** Sends the arrival of a request. */
	arrive(request: ArrivedRequest, random?: number): readonly GateEffect[] {
		return this.send({type: 'requestArrived', request}, random);
	}

	/** Advances the time and sends a tick. */
	advanceMs(byMs: number): readonly GateEffect[] {
		this.nowMs += byMs;
		return this.send({type: 'tick'});
	}
}

/** The problem of a refusal among the effects. */
export const problemIn = (effects: readonly GateEffect[]) =>
	effects.flatMap(effect => effect.type === 'refuse' ? [effect.problem] : [])[0];

/** The started attempts among the effects. */
export const startsIn = (effects: readonly GateEffect[]) =>
	effects.flatMap(effect => effect.type === 'startAttempt' ? [effect] : []);

/** Types of the effects, in order. */
export const typesOf = (effects: readonly GateEffect[]): readonly string[] => effects.map(effect => effect.type);
