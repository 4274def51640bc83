/**
A simulation of the environment of a gate's reducer: callers, claims and backend servers with random behaviour, including late and repeated events. After each event it checks the invariants by its own counts.
*/
import {expect} from 'vitest';
import {
	type ArrivedRequest, type AttemptStage, type BackendServer, type ClaimResolution, type GateEffect, type GateGrants,
} from '../../src/index.js';
import {
	blueKey, GateUnderTest, grantsOf, redKey, requestWith, serversOf, settingsWith,
} from './fixtures.js';

/** One random step: its type, the request it affects, and a random number for the reducer. */
export type Move = {
	readonly type: 'arrive' | 'cancel' | 'resolveClaim' | 'answer' | 'end' | 'fail' | 'settings' | 'servers' | 'grants' | 'freshness' | 'drain' | 'advance' | 'repeat';
	readonly pick: number;
	readonly detail: number;
	readonly random: number;
};

type ModelRequest = {
	readonly arrived: ArrivedRequest;
	readonly team: string;
	readonly isClaimed: boolean;
	readonly isIdempotent: boolean;
	claim: 'none' | 'requested' | 'held' | 'closed';
	attempts: number;
	running: {readonly host: string; wasAnswered: boolean} | undefined;
	mayHaveBeenSent: boolean;
	isCallerGone: boolean;
	outcomes: number;
};

type HeldSlot = {readonly host: string; readonly team: string; untilMs: number};

const graceMs = 1000;
const allServers = serversOf(3);
const stages: readonly AttemptStage[] = ['not-sent', 'sent', 'answering'];
const claimResults: readonly ClaimResolution[] = [
	{type: 'claimed'},
	{type: 'claimed'},
	{type: 'claimed'},
	{type: 'running'},
	{type: 'unknown'},
	{type: 'mismatch'},
	{type: 'unavailable'},
	{type: 'recorded', outcome: {status: 200, headers: {}, bodyBase64: ''}},
];
const requestVariants: ReadonlyArray<Partial<ArrivedRequest>> = [
	{},
	{queue: 'urgent'},
	{queue: 'lists'},
	{presentedKey: blueKey},
	{method: 'POST'},
	{method: 'POST', isReplayable: false},
	{method: 'POST', idempotencyKey: 'k', fingerprint: 'f'},
	{
		method: 'PATCH', idempotencyKey: 'k', fingerprint: 'f', presentedKey: blueKey,
	},
	{timeoutMs: 300},
	{queue: 'open-queue', presentedKey: undefined},
	{queue: 'red-only', presentedKey: blueKey},
	{queue: 'none'},
	{
		queue: 'urgent', method: 'POST', idempotencyKey: 'k', fingerprint: 'f', timeoutMs: 400,
	},
];

const settingsChanges = {'/queues/pairing/maxQueued': 12, '/queues/lists/maxWaitMs': 800, '/queues/pairing/maxRunMs': 1500};

const pickFrom = <Value>(values: readonly Value[], pick: number): Value | undefined =>
	values.length === 0 ? undefined : values[pick % values.length];

export class GateSimulation {
	readonly gate = new GateUnderTest(settingsWith(settingsChanges), allServers, grantsOf(allServers, 2, 5));
	readonly requests = new Map<string, ModelRequest>();
	#heldSlots: HeldSlot[] = [];
	#servers: readonly BackendServer[] = allServers;
	#grants: GateGrants = grantsOf(allServers, 2, 5);
	#isFresh = true;
	/** True until the next tick, which dispatches after the settings have become fresh again. */
	#isAwaitingTick = false;

	/** Applies one step and checks the invariants. */
	apply(move: Move): void {
		this.#execute(move);
		this.#releaseExpiredSlots();
		this.#checkNoNeedlessWait(move.type);
	}

	/** Ends all requests; afterwards no request and no slot may be left. */
	finish(): void {
		this.#isFresh = true;
		this.#send({type: 'freshnessChanged', isFresh: true});
		for (const [requestId, request] of this.requests) {
			if (request.claim === 'requested') {
				this.#resolveClaim(requestId, request, {type: 'claimed'}, 0.5);
			}
		}

		for (let round = 0; round < 40; round++) {
			this.#advance(2000);
		}

		for (const [requestId, request] of this.requests) {
			expect(request.outcomes, `outcomes of ${requestId}`).toBe(1);
			expect(['none', 'closed'], `claim of ${requestId}`).toContain(request.claim);
		}

		const {state} = this.gate;
		expect([state.requests.size, state.queuedByQueue.size, state.runningByTeam.size]).toEqual([0, 0, 0]);
	}

	#execute({type, pick, detail, random}: Move): void {
		const running = this.#requestsMatching(request => request.running !== undefined);
		switch (type) {
			case 'arrive': {
				this.#arrive(pickFrom(requestVariants, detail)!, random);
				break;
			}

			case 'cancel': {
				this.#disconnectCaller(pickFrom(this.#requestsMatching(request => request.outcomes === 0), pick), random);
				break;
			}

			case 'resolveClaim': {
				const requested = pickFrom(this.#requestsMatching(request => request.claim === 'requested'), pick);
				if (requested !== undefined) {
					this.#resolveClaim(...requested, pickFrom(claimResults, detail)!, random);
				}

				break;
			}

			case 'answer': {
				this.#answerAttempt(pickFrom(running, pick), detail % 4 === 0 ? 500 : 200);
				break;
			}

			case 'end': {
				this.#completeAttempt(pickFrom(running, pick), random);
				break;
			}

			case 'fail': {
				this.#failAttempt(pickFrom(running, pick), pickFrom(stages, detail)!, random);
				break;
			}

			case 'settings': {
				this.#changeSettings(detail);
				break;
			}

			case 'servers': {
				this.#servers = allServers.filter((_, index) => (detail + index) % 5 !== 0)
					.map((server, index) => ({...server, acceptsWork: (detail + index) % 4 !== 0}));
				this.#send({type: 'serversChanged', servers: this.#servers}, random);
				break;
			}

			case 'grants': {
				this.#grants = grantsOf(allServers, detail % 4, pick % 8);
				this.#send({type: 'grantsChanged', grants: this.#grants}, random);
				break;
			}

			case 'freshness': {
				this.#isFresh = detail % 3 !== 0;
				this.#isAwaitingTick = true;
				this.#send({type: 'freshnessChanged', isFresh: this.#isFresh});
				break;
			}

			case 'drain': {
				if (detail === 0) {
					this.#send({type: 'drainStarted'});
				}

				break;
			}

			case 'advance': {
				this.#advance(detail * 10);
				break;
			}

			case 'repeat': {
				this.#sendLateEvents(pickFrom(this.#requestsMatching(request => request.outcomes > 0 && request.claim !== 'requested' && request.running === undefined), pick));
				this.#sendEventsOfEarlierAttempts();
				break;
			}
		}
	}

	#requestsMatching(filter: (request: ModelRequest) => boolean): ReadonlyArray<[string, ModelRequest]> {
		return [...this.requests].filter(([, request]) => filter(request));
	}

	#send(event: Parameters<GateUnderTest['send']>[0], random?: number): readonly GateEffect[] {
		const effects = this.gate.send(event, random);
		for (const effect of effects) {
			this.#handleEffect(effect);
		}

		return effects;
	}

	#arrive(changes: Partial<ArrivedRequest>, random: number): void {
		const arrived = requestWith({presentedKey: redKey, ...changes});
		const isIdempotent = arrived.method === 'GET';
		this.requests.set(arrived.requestId, {
			arrived,
			team: arrived.presentedKey === redKey ? 'red' : 'blue',
			isIdempotent,
			isClaimed: !isIdempotent && arrived.idempotencyKey !== undefined,
			claim: 'none',
			attempts: 0,
			running: undefined,
			mayHaveBeenSent: false,
			isCallerGone: false,
			outcomes: 0,
		});
		this.#send({type: 'requestArrived', request: arrived}, random);
	}

	#disconnectCaller(entry: [string, ModelRequest] | undefined, random: number): void {
		if (entry !== undefined) {
			const [requestId, request] = entry;
			request.isCallerGone = true;
			request.outcomes++;
			this.#send({type: 'callerGone', requestId}, random);
		}
	}

	#resolveClaim(requestId: string, request: ModelRequest, resolution: ClaimResolution, random: number): void {
		request.claim = resolution.type === 'claimed' ? 'held' : 'closed';
		this.#send({type: 'claimResolved', requestId, resolution}, random);
	}

	#answerAttempt(entry: [string, ModelRequest] | undefined, status: number): void {
		if (entry !== undefined) {
			const [requestId, request] = entry;
			request.running!.wasAnswered = true;
			this.#send({
				type: 'attemptAnswered', requestId, attempt: request.attempts, status,
			});
		}
	}

	#completeAttempt(entry: [string, ModelRequest] | undefined, random: number): void {
		if (entry !== undefined) {
			const [requestId, request] = entry;
			this.#answerAttempt(entry, 200);
			request.outcomes += request.isCallerGone ? 0 : 1;
			request.claim = request.isClaimed ? 'closed' : 'none';
			this.#release(request, this.gate.nowMs);
			this.#send({type: 'attemptEnded', requestId, attempt: request.attempts}, random);
		}
	}

	#failAttempt(entry: [string, ModelRequest] | undefined, drawn: AttemptStage, random: number): void {
		if (entry !== undefined) {
			const [requestId, request] = entry;
			const stage = request.running!.wasAnswered ? 'answering' : drawn;
			request.mayHaveBeenSent ||= stage !== 'not-sent';
			this.#release(request, this.gate.nowMs + (stage === 'not-sent' ? 0 : graceMs));
			this.#send({
				type: 'attemptFailed', requestId, attempt: request.attempts, stage, reason: 'test',
			}, random);
		}
	}

	#changeSettings(detail: number): void {
		const changes = {
			...settingsChanges,
			'/teams/red/keys/red-1/withdrawn': detail % 5 === 0,
			'/teams/blue/upperLimit': detail % 7 === 0 ? 0 : 100,
			'/teams/blue/share': 1 + (detail % 3),
		};
		this.#send({type: 'settingsChanged', settings: settingsWith(changes)});
	}

	#advance(byMs: number): void {
		this.gate.nowMs += byMs;
		this.#releaseExpiredSlots();
		this.#isAwaitingTick = false;
		this.#send({type: 'tick'});
	}

	/** Sends events of earlier attempts while a later one is running, and checks that they have no effect. */
	#sendEventsOfEarlierAttempts(): void {
		for (const [requestId, request] of this.#requestsMatching(candidate => candidate.running !== undefined && candidate.attempts > 1)) {
			const late = [
				this.#send({type: 'attemptEnded', requestId, attempt: 1}),
				this.#send({
					type: 'attemptFailed', requestId, attempt: 1, stage: 'sent', reason: 'late',
				}),
			];
			expect(late.flat(), `events of the first attempt of ${requestId}, now at ${request.attempts}`).toEqual([]);
		}
	}

	/** Sends events of a request that has ended, and checks that they have no effect. */
	#sendLateEvents(entry: [string, ModelRequest] | undefined): void {
		if (entry === undefined) {
			return;
		}

		const [requestId, request] = entry;
		const attempt = Math.max(request.attempts, 1);
		const late = [
			this.#send({type: 'callerGone', requestId}),
			this.#send({type: 'claimResolved', requestId, resolution: {type: 'claimed'}}),
			this.#send({
				type: 'attemptAnswered', requestId, attempt, status: 200,
			}),
			this.#send({type: 'attemptEnded', requestId, attempt}),
			this.#send({
				type: 'attemptFailed', requestId, attempt, stage: 'not-sent', reason: 'late',
			}),
		];
		expect(late.flat(), `late events of ${requestId}`).toEqual([]);
	}

	#handleEffect(effect: GateEffect): void {
		if (!('requestId' in effect)) {
			return;
		}

		const request = this.requests.get(effect.requestId)!;
		switch (effect.type) {
			case 'claimKey': {
				expect(request.isClaimed && request.claim === 'none').toBe(true);
				request.claim = 'requested';
				break;
			}

			case 'releaseClaim': {
				expect(request.claim).toBe('held');
				expect(request.mayHaveBeenSent, 'a released claim was never sent').toBe(false);
				request.claim = 'closed';
				break;
			}

			case 'recordUnknown': {
				expect(request.claim).toBe('held');
				request.claim = 'closed';
				break;
			}

			case 'startAttempt': {
				this.#recordStart(request, effect);
				break;
			}

			case 'abortAttempt': {
				expect(effect.attempt).toBe(request.attempts);
				request.mayHaveBeenSent = true;
				this.#release(request, this.gate.nowMs + graceMs);
				break;
			}

			case 'refuse':
			case 'replay':
			case 'abortResponse': {
				expect(request.isCallerGone, 'no answer to a caller that is gone').toBe(false);
				request.outcomes++;
				expect(request.outcomes, 'one final outcome').toBe(1);
				if (effect.type === 'refuse' && effect.problem.outcome === 'not-run') {
					expect(request.mayHaveBeenSent, 'not-run is true').toBe(false);
				}

				break;
			}
		}
	}

	#recordStart(request: ModelRequest, effect: Extract<GateEffect, {type: 'startAttempt'}>): void {
		const {host} = effect;
		expect(this.#isFresh, 'no dispatch on stale settings').toBe(true);
		expect(request.running).toBeUndefined();
		expect(request.outcomes, 'no start after the end').toBe(0);
		expect(request.isClaimed ? request.claim : 'held').toBe('held');
		expect(request.isIdempotent || !request.mayHaveBeenSent, 'at most one attempt that may be sent').toBe(true);
		expect(this.#servers.find(server => server.host === host)?.acceptsWork).toBe(true);
		expect(effect.timeoutMs).toBeGreaterThan(0);
		request.attempts++;
		expect(effect.attempt).toBe(request.attempts);
		request.running = {host, wasAnswered: false};
		this.#heldSlots.push({host, team: request.team, untilMs: Infinity});
		expect(this.#countHeld(held => held.host === host)).toBeLessThanOrEqual(this.#grants.slotsByHost.get(host) ?? 0);
		expect(this.#countHeld(held => held.team === request.team)).toBeLessThanOrEqual(this.#grants.allotmentByTeam.get(request.team) ?? 0);
	}

	#countHeld(filter: (held: HeldSlot) => boolean): number {
		return this.#heldSlots.filter(filter).length;
	}

	#release(request: ModelRequest, untilMs: number): void {
		const held = this.#heldSlots.find(entry => entry.host === request.running!.host && entry.team === request.team && entry.untilMs === Infinity)!;
		held.untilMs = untilMs;
		request.running = undefined;
		this.#releaseExpiredSlots();
	}

	#releaseExpiredSlots(): void {
		this.#heldSlots = this.#heldSlots.filter(held => held.untilMs > this.gate.nowMs);
	}

	/** Checks, after a tick and after the end of a request, that no request waits while a healthy server has a free granted slot and the team is below its allotment. */
	#checkNoNeedlessWait(moveType: Move['type']): void {
		if (!['advance', 'end'].includes(moveType) || this.#isAwaitingTick || !this.#isFresh) {
			return;
		}

		const {state} = this.gate;
		for (const request of state.requests.values()) {
			const isFirstWait = request.phase === 'waiting' && request.attempts === 0;
			const isBelowAllotment = (state.runningByTeam.get(request.team) ?? 0) < (this.#grants.allotmentByTeam.get(request.team) ?? 0);
			if (isFirstWait && isBelowAllotment) {
				const free = state.servers.describe().filter(server => server.pool === request.pool && server.acceptsWork
					&& server.health === 'healthy' && server.running < server.granted);
				expect(free, `${request.requestId} waits while slots are free`).toEqual([]);
			}
		}
	}
}
