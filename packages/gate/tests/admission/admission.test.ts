/**
Refusals on arrival, and refusals of waiting requests that changed settings no longer allow.
*/
import {hashSecret} from '@poplarnotch/common';
import {describe, expect, it} from 'vitest';
import {type ArrivedRequest} from '../../src/index.js';
import {
	blueKey, GateUnderTest, grantsOf, problemIn, requestWith, serversOf, settingsWith, startsIn, typesOf,
} from '../reducer/fixtures.js';

const noSlots = grantsOf(serversOf(1), 0, 9);

describe('a request is refused as not run', () => {
	const refused: ReadonlyArray<[string, number, Partial<ArrivedRequest>]> = [
		['queue-unknown', 404, {queue: 'nowhere'}],
		['key-required', 401, {presentedKey: undefined}],
		['key-refused', 401, {presentedKey: {keyId: 'red-1', secretHash: hashSecret('guess')}}],
		['key-refused', 401, {presentedKey: {keyId: 'nobody', secretHash: hashSecret('guess')}}],
		['key-refused', 401, {presentedKey: {keyId: 'nobody', secretHash: '0'.repeat(64)}}],
		['key-refused', 401, {queue: 'open-queue', presentedKey: {keyId: 'red-1', secretHash: hashSecret('guess')}}],
		['team-refused', 403, {queue: 'red-only', presentedKey: blueKey}],
	];

	it.each(refused)('with %s and status %i', (type, status, changes) => {
		const effects = new GateUnderTest().arrive(requestWith(changes));
		expect(typesOf(effects)).toEqual(['refuse']);
		expect(problemIn(effects)).toMatchObject({type, status, outcome: 'not-run'});
	});

	it('while the settings are stale or the gate is draining', () => {
		const gate = new GateUnderTest();
		gate.send({type: 'freshnessChanged', isFresh: false});
		expect(problemIn(gate.arrive(requestWith()))).toMatchObject({status: 503, type: 'settings-stale', outcome: 'not-run'});
		gate.send({type: 'freshnessChanged', isFresh: true});
		gate.send({type: 'drainStarted'});
		expect(problemIn(gate.arrive(requestWith()))).toMatchObject({status: 503, type: 'gate-draining', outcome: 'not-run'});
	});

	it('when its queue is full, with a delay for the next attempt', () => {
		const gate = new GateUnderTest(settingsWith({'/queues/pairing/maxQueued': 2}), serversOf(1), noSlots);
		gate.arrive(requestWith());
		gate.arrive(requestWith({method: 'POST', idempotencyKey: 'k', fingerprint: 'f'}));
		const problem = problemIn(gate.arrive(requestWith()));
		expect(problem).toMatchObject({status: 429, type: 'queue-full', outcome: 'not-run'});
		expect(problem!.retryAfterMs).toBeGreaterThan(0);
	});

	it('when its team has a limit of 0', () => {
		const gate = new GateUnderTest(settingsWith({'/teams/red/upperLimit': 0}));
		expect(problemIn(gate.arrive(requestWith()))).toMatchObject({status: 403, type: 'team-limit-zero', outcome: 'not-run'});
	});
});

describe('a request without a key in an open queue', () => {
	it('counts for the owner of the queue', () => {
		const gate = new GateUnderTest();
		expect(startsIn(gate.arrive(requestWith({queue: 'open-queue', presentedKey: undefined})))).toHaveLength(1);
		expect(gate.state.runningByTeam.get('blue')).toBe(1);
	});
});

describe('a withdrawn key', () => {
	const withdrawn = settingsWith({'/teams/red/keys/red-1/withdrawn': true});

	it('refuses its waiting request', () => {
		const gate = new GateUnderTest(settingsWith(), serversOf(1), noSlots);
		gate.arrive(requestWith());
		const effects = gate.send({type: 'settingsChanged', settings: withdrawn});
		expect(problemIn(effects)).toMatchObject({status: 401, type: 'key-refused', outcome: 'not-run'});
		expect(startsIn(gate.send({type: 'grantsChanged', grants: grantsOf(serversOf(1), 2, 9)}))).toEqual([]);
	});

	it('refuses its request whose claim is in progress, and the claim is released', () => {
		const gate = new GateUnderTest();
		const request = requestWith({method: 'POST', idempotencyKey: 'k', fingerprint: 'f'});
		gate.arrive(request);
		expect(problemIn(gate.send({type: 'settingsChanged', settings: withdrawn}))).toMatchObject({status: 401, outcome: 'not-run'});
		const effects = gate.send({type: 'claimResolved', requestId: request.requestId, resolution: {type: 'claimed'}});
		expect(typesOf(effects)).toEqual(['releaseClaim']);
	});

	it('lets its running request finish', () => {
		const gate = new GateUnderTest();
		gate.arrive(requestWith());
		expect(gate.send({type: 'settingsChanged', settings: withdrawn})).toEqual([]);
	});
});
