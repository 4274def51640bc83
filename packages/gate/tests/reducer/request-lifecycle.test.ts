/**
The lifecycle of single requests: the paths from arrival to the final outcome.
*/
import {describe, expect, it} from 'vitest';
import {describeGateState, runningOnHost, teamDemands} from '../../src/index.js';
import {
	GateUnderTest, grantsOf, problemIn, redKey, requestWith, serversOf, settingsWith, startsIn, typesOf,
} from './fixtures.js';

describe('a request without an idempotency key', () => {
	it('starts at once, and releases its slot when its answer is complete', () => {
		const gate = new GateUnderTest();
		const request = requestWith();
		const [start] = startsIn(gate.arrive(request));
		expect(start).toMatchObject({requestId: request.requestId, attempt: 1, timeoutMs: 60_000});
		expect(runningOnHost(gate.state, start!.host)).toBe(1);
		gate.send({
			type: 'attemptAnswered', requestId: request.requestId, attempt: 1, status: 200,
		});
		expect(gate.send({type: 'attemptEnded', requestId: request.requestId, attempt: 1})).toEqual([]);
		expect(runningOnHost(gate.state, start!.host)).toBe(0);
		expect(teamDemands(gate.state).size).toBe(0);
	});

	it('keeps its slot for the cancel grace period after its caller disconnected', () => {
		const gate = new GateUnderTest();
		const request = requestWith();
		const [start] = startsIn(gate.arrive(request));
		expect(typesOf(gate.send({type: 'callerGone', requestId: request.requestId}))).toEqual(['abortAttempt']);
		gate.advanceMs(900);
		expect(runningOnHost(gate.state, start!.host)).toBe(1);
		gate.advanceMs(200);
		expect(runningOnHost(gate.state, start!.host)).toBe(0);
	});

	it('is refused as not run when no slot becomes free in time', () => {
		const servers = serversOf(1);
		const gate = new GateUnderTest(settingsWith({'/queues/pairing/maxWaitMs': 500}), servers, grantsOf(servers, 0, 9));
		gate.arrive(requestWith());
		expect(problemIn(gate.advanceMs(600))).toMatchObject({status: 503, type: 'wait-too-long', outcome: 'not-run'});
	});

	it('answers 504 with an unknown outcome when its run takes too long', () => {
		const gate = new GateUnderTest();
		gate.arrive(requestWith({timeoutMs: 300}));
		const effects = gate.advanceMs(400);
		expect(typesOf(effects)).toEqual(['abortAttempt', 'refuse']);
		expect(problemIn(effects)).toMatchObject({status: 504, outcome: 'unknown'});
	});

	it('is retried on another backend server when nothing was sent, whatever its method', () => {
		const gate = new GateUnderTest();
		const request = requestWith({method: 'POST', isReplayable: false});
		const [first] = startsIn(gate.arrive(request));
		const [second] = startsIn(gate.send({
			type: 'attemptFailed', requestId: request.requestId, attempt: 1, stage: 'not-sent', reason: 'refused',
		}));
		expect(second!.host).not.toBe(first!.host);
	});

	it('is not sent to a third backend server after two have failed under it', () => {
		const gate = new GateUnderTest(undefined, serversOf(4));
		const request = requestWith({method: 'GET'});
		gate.arrive(request);
		const failedUnder = (attempt: number) => gate.send({
			type: 'attemptFailed', requestId: request.requestId, attempt, stage: 'sent', reason: 'reset',
		});
		expect(startsIn(failedUnder(1))).toHaveLength(1);
		const effects = failedUnder(2);
		expect(startsIn(effects)).toEqual([]);
		expect(problemIn(effects)).toMatchObject({status: 502, outcome: 'unknown'});
	});

	it('is never sent twice when it is not idempotent', () => {
		const gate = new GateUnderTest();
		const request = requestWith({method: 'POST'});
		gate.arrive(request);
		const effects = gate.send({
			type: 'attemptFailed', requestId: request.requestId, attempt: 1, stage: 'sent', reason: 'reset',
		});
		expect(typesOf(effects)).toEqual(['refuse']);
		expect(problemIn(effects)).toMatchObject({status: 502, outcome: 'unknown'});
	});
});

describe('a request with an idempotency key', () => {
	const keyed = () => requestWith({method: 'POST', idempotencyKey: 'k', fingerprint: 'f'});

	it('is claimed before it starts', () => {
		const gate = new GateUnderTest();
		const request = keyed();
		expect(typesOf(gate.arrive(request))).toEqual(['claimKey']);
		const effects = gate.send({type: 'claimResolved', requestId: request.requestId, resolution: {type: 'claimed'}});
		expect(typesOf(effects)).toEqual(['startAttempt']);
	});

	it('releases its claim when the claim is resolved after the refusal', () => {
		const gate = new GateUnderTest();
		const request = requestWith({...keyed(), timeoutMs: 100});
		gate.arrive(request);
		expect(problemIn(gate.advanceMs(200))).toMatchObject({status: 504, outcome: 'not-run'});
		const effects = gate.send({type: 'claimResolved', requestId: request.requestId, resolution: {type: 'claimed'}});
		expect(typesOf(effects)).toEqual(['releaseClaim']);
	});

	it('runs on after its caller disconnected, so that its outcome is recorded', () => {
		const gate = new GateUnderTest();
		const request = keyed();
		gate.arrive(request);
		gate.send({type: 'claimResolved', requestId: request.requestId, resolution: {type: 'claimed'}});
		expect(gate.send({type: 'callerGone', requestId: request.requestId})).toEqual([]);
		const effects = gate.send({
			type: 'attemptFailed', requestId: request.requestId, attempt: 1, stage: 'sent', reason: 'reset',
		});
		expect(typesOf(effects)).toEqual(['recordUnknown']);
	});

	it.each([
		[{type: 'running'}, 409, 'unknown'],
		[{type: 'unknown'}, 409, 'unknown'],
		[{type: 'mismatch'}, 422, 'not-run'],
		[{type: 'unavailable'}, 503, 'not-run'],
	] as const)('is refused when its claim is resolved as %j', (resolution, status, outcome) => {
		const gate = new GateUnderTest();
		const request = keyed();
		gate.arrive(request);
		const effects = gate.send({type: 'claimResolved', requestId: request.requestId, resolution});
		expect(typesOf(effects)).toEqual(['refuse']);
		expect(problemIn(effects)).toMatchObject({status, outcome});
	});
});

describe('the dump', () => {
	it('shows no key and no idempotency key', () => {
		const gate = new GateUnderTest();
		gate.arrive(requestWith({method: 'POST', idempotencyKey: 'the-idempotency-key', fingerprint: 'f'}));
		const text = JSON.stringify(describeGateState(gate.state));
		expect(text).not.toContain('the-idempotency-key');
		expect(text).not.toContain(redKey.secretHash);
	});
});
