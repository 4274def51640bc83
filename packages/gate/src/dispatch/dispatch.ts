/**
Starts waiting requests while their pool has a free granted slot and their team is below its allotment.
*/
import {maxSkippedRequests} from '../constants.js';
import {timedOut, waitTooLong} from '../problems.js';
import {type Candidate} from '../routing/server-policy.js';
import {type ServerRequirements} from '../routing/server-table.js';
import {retryAfterMsOf} from '../admission/retry-after.js';
import {
	type GateState, type PoolState, poolOf, weightOf,
} from '../state.js';
import {
	clearTimer, countQueued, refuseWaiting, removeFromQueue,
} from './finish.js';
import {isBelowAllotment, acquireSlot} from './slots.js';
import {type TrackedRequest} from './tracked-request.js';
import {count, recordDuration, type EventContext} from './event-context.js';

/** Time at which the request's current phase ends. */
const dueMsOf = (request: TrackedRequest): number => {
	const phaseEndMs = request.attempts === 0 ? request.waitUntilMs : request.runUntilMs;
	return Math.min(phaseEndMs, request.deadlineMs);
};

/** Sets the timer of the request's current phase, in place of the previous one. */
export const restartTimer = (state: GateState, request: TrackedRequest): void => {
	clearTimer(state, request);
	request.timer = state.timers.set(dueMsOf(request), {type: 'request', requestId: request.requestId});
};

/** Queues the request until a slot is free: at the back of its team's queue, or at the front before a retry. */
export const enqueue = (context: EventContext, request: TrackedRequest): void => {
	const {state, nowMs} = context;
	const {queue} = poolOf(state, request.pool);
	queue.setWeight(request.team, weightOf(state, request.pool, request.team), nowMs);
	const push = request.attempts === 0 ? 'pushBack' : 'pushFront';
	request.phase = 'waiting';
	request.waiting = queue[push](request.team, request.isUrgent, request, nowMs);
	countQueued(state, request.queue, 1);
	restartTimer(state, request);
};

/** Requirements of the request on its backend server. */
export const serverRequirementsOf = (request: TrackedRequest): ServerRequirements => ({
	pool: request.pool,
	triedHosts: request.triedHosts,
	mayProbe: request.isIdempotent && request.arrived.isReplayable,
});

/** Refuses a request whose maximum waiting time has passed. */
export const expireWaiting = (context: EventContext, request: TrackedRequest): void => {
	const isCallersTimeout = request.deadlineMs <= context.nowMs || request.mayHaveBeenSent;
	refuseWaiting(context, request, isCallersTimeout
		? timedOut(request.mayHaveBeenSent ? 'unknown' : 'not-run')
		: waitTooLong(request.queue, retryAfterMsOf(context.state, request.pool)));
};

const start = (context: EventContext, request: TrackedRequest, server: Candidate): void => {
	const {state, nowMs} = context;
	removeFromQueue(state, request);
	if (request.attempts === 0) {
		const maxRunMs = state.settings.queues.get(request.queue)?.maxRunMs ?? 0;
		request.runUntilMs = nowMs + maxRunMs;
		recordDuration(context, request.isUrgent ? 'gate_wait_urgent_ms' : 'gate_wait_ms', nowMs - request.arrivedAtMs);
	}

	request.phase = 'running';
	request.attempts++;
	request.triedHosts = [...request.triedHosts, server.host];
	request.running = {
		slot: acquireSlot(context, server.host, request.pool, request.team), wasAnswered: false, isSuccess: false,
	};
	restartTimer(state, request);
	count(context, 'gate_attempts_total');
	context.effects.push({
		type: 'startAttempt',
		requestId: request.requestId,
		attempt: request.attempts,
		host: server.host,
		address: server.address,
		timeoutMs: dueMsOf(request) - nowMs,
	});
};

const chooseServer = (state: GateState, request: TrackedRequest): Candidate | undefined =>
	state.serverPolicy.choose(state.servers.candidates(serverRequirementsOf(request)), () => state.random.next());

/** Starts the request, or refuses it if its time has passed. Returns false if no server that it may use has a free slot. */
const tryStart = (context: EventContext, request: TrackedRequest): boolean => {
	if (dueMsOf(request) <= context.nowMs) {
		expireWaiting(context, request);
		return true;
	}

	const server = chooseServer(context.state, request);
	if (server === undefined) {
		return false;
	}

	start(context, request, server);
	return true;
};

/** Puts skipped requests back to their positions. A request for which there is no server is removed from the queue during the search, so that it does not block others. */
const requeue = (context: EventContext, pool: PoolState, skipped: readonly TrackedRequest[]): void => {
	for (const request of skipped.toReversed()) {
		request.waiting = pool.queue.pushFront(request.team, request.isUrgent, request, context.nowMs);
	}
};

/** Starts the waiting requests of the pool that can be started. */
export const dispatchPool = (context: EventContext, poolName: string): void => {
	const {state, nowMs} = context;
	const pool = state.pools.get(poolName);
	if (pool === undefined || !state.isFresh) {
		return;
	}

	const skipped: TrackedRequest[] = [];
	while (pool.queue.waiting > 0 && skipped.length < maxSkippedRequests && state.servers.freeSlots(poolName) > 0) {
		const request = pool.queue.peekNext(team => isBelowAllotment(state, team), nowMs);
		if (request === undefined) {
			break;
		}

		if (!tryStart(context, request)) {
			pool.queue.remove(request.waiting!);
			skipped.push(request);
		}
	}

	requeue(context, pool, skipped);
};

/** Starts the waiting requests of all pools that can be started. */
export const dispatchAll = (context: EventContext): void => {
	for (const poolName of context.state.pools.keys()) {
		dispatchPool(context, poolName);
	}
};
