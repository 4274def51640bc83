/**
Admission of arriving requests: checks the gate, the queue, the key and the limits, and returns the tracked request or its refusal.
*/
import * as E from 'fp-ts/lib/Either.js';
import {pipe} from 'fp-ts/lib/function.js';
import {type Problem, type Queue} from '@poplarnotch/common';
import {maxRetryAfterMs, minRetryAfterMs} from '../constants.js';
import {type TrackedRequest} from '../dispatch/tracked-request.js';
import {
	gateDraining, keyRequired, queueFull, queueUnknown, settingsStale, teamLimitZero,
} from '../problems.js';
import {type GateState} from '../state.js';
import {type ArrivedRequest} from '../types.js';
import {teamFromKey} from './check-key.js';
import {isIdempotentIn} from './idempotency.js';
import {retryAfterMsOf} from './retry-after.js';

const queuedIn = (state: GateState, queue: string): number => state.queuedByQueue.get(queue) ?? 0;

const findQueue = (state: GateState, name: string): E.Either<Problem, Queue> => {
	const queue = state.settings.queues.get(name);
	return queue === undefined ? E.left(queueUnknown(name)) : E.right(queue);
};

const checkGate = (state: GateState): E.Either<Problem, GateState> => {
	if (state.isDraining) {
		return E.left(gateDraining(minRetryAfterMs));
	}

	return state.isFresh ? E.right(state) : E.left(settingsStale(maxRetryAfterMs));
};

const checkLimit = (state: GateState, team: string): E.Either<Problem, string> =>
	(state.settings.teams.get(team)?.upperLimit ?? 0) === 0 ? E.left(teamLimitZero(team)) : E.right(team);

const checkQueueLimit = (state: GateState, name: string, queue: Queue): E.Either<Problem, Queue> =>
	queuedIn(state, name) >= queue.maxQueued
		? E.left(queueFull(name, retryAfterMsOf(state, queue.pool)))
		: E.right(queue);

const createTrackedRequest = (arrived: ArrivedRequest, queue: Queue, team: string, nowMs: number): TrackedRequest => {
	const isIdempotent = isIdempotentIn(queue, arrived.method);
	return {
		requestId: arrived.requestId,
		arrived,
		team,
		queue: arrived.queue,
		pool: queue.pool,
		isUrgent: queue.urgent,
		isIdempotent,
		isClaimed: !isIdempotent && arrived.idempotencyKey !== undefined,
		arrivedAtMs: nowMs,
		deadlineMs: nowMs + (arrived.timeoutMs ?? Infinity),
		waitUntilMs: nowMs + queue.maxWaitMs,
		phase: 'waiting',
		attempts: 0,
		triedHosts: [],
		mayHaveBeenSent: false,
		isCallerGone: false,
		runUntilMs: Infinity,
		waiting: undefined,
		running: undefined,
		timer: undefined,
	};
};

/** Returns the new tracked request, or its refusal. Nothing is changed. The checks are written out step by step, because chained steps cost every request several microseconds. */
export const admit = (state: GateState, arrived: ArrivedRequest, nowMs: number): E.Either<Problem, TrackedRequest> => {
	const gate = checkGate(state);
	if (E.isLeft(gate)) {
		return gate;
	}

	const queue = findQueue(state, arrived.queue);
	if (E.isLeft(queue)) {
		return queue;
	}

	const team = teamFromKey(state.settings, arrived.queue, queue.right, arrived.presentedKey);
	if (E.isLeft(team)) {
		return team;
	}

	const limit = checkLimit(state, team.right);
	if (E.isLeft(limit)) {
		return limit;
	}

	const underLimit = checkQueueLimit(state, arrived.queue, queue.right);
	return E.isLeft(underLimit) ? underLimit : E.right(createTrackedRequest(arrived, queue.right, team.right, nowMs));
};

/** Checks a waiting request again after a change of settings; returns its refusal if it is no longer allowed. */
export const recheckWaiting = (state: GateState, request: TrackedRequest): E.Either<Problem, TrackedRequest> => pipe(
	findQueue(state, request.queue),
	E.chain(queue => pipe(
		recheckTeam(state, request, queue),
		E.chain(team => checkLimit(state, team)),
	)),
	E.map(() => request),
);

/** Refuses a request without a key also if its queue has changed its owner, because the request was counted for another team. */
const recheckTeam = (state: GateState, request: TrackedRequest, queue: Queue): E.Either<Problem, string> => {
	const {presentedKey} = request.arrived;
	if (presentedKey === undefined) {
		return queue.open && queue.owner === request.team ? E.right(request.team) : E.left(keyRequired(request.queue));
	}

	return teamFromKey(state.settings, request.queue, queue, presentedKey);
};
