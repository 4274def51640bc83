/**
Ends requests. Each request leaves the state through this module, with at most one answer to its caller.
*/
import {assertNever, type Problem} from '@poplarnotch/common';
import {badGateway, noServer, timedOut} from '../problems.js';
import {minRetryAfterMs} from '../constants.js';
import {type GateState, poolOf} from '../state.js';
import {type TrackedRequest} from './tracked-request.js';
import {count, refuse, type EventContext} from './event-context.js';

/** Adds to or subtracts from the number of requests in a queue. */
export const countQueued = (state: GateState, queue: string, by: 1 | -1): void => {
	const queued = (state.queuedByQueue.get(queue) ?? 0) + by;
	if (queued > 0) {
		state.queuedByQueue.set(queue, queued);
	} else {
		state.queuedByQueue.delete(queue);
	}
};

/** Removes the request from its pool's queue. */
export const removeFromQueue = (state: GateState, request: TrackedRequest): void => {
	if (request.waiting !== undefined) {
		poolOf(state, request.pool).queue.remove(request.waiting);
		request.waiting = undefined;
		countQueued(state, request.queue, -1);
	}
};

/** Clears the timer of the request's current phase. */
export const clearTimer = (state: GateState, request: TrackedRequest): void => {
	if (request.timer !== undefined) {
		state.timers.clear(request.timer);
		request.timer = undefined;
	}
};

/** Removes the request from the state, from its queue and from the timers. */
export const untrack = (state: GateState, request: TrackedRequest): void => {
	clearTimer(state, request);
	removeFromQueue(state, request);
	state.requests.delete(request.requestId);
};

const refuseCaller = (context: EventContext, request: TrackedRequest, problem: Problem): void => {
	if (request.isCallerGone) {
		count(context, 'gate_callers_gone_total');
	} else {
		refuse(context, request.requestId, problem);
	}
};

/** Releases the claim of a request that did not run. If the request may have run, its outcome is recorded as unknown. */
const closeClaim = (context: EventContext, request: TrackedRequest): void => {
	if (!request.isClaimed) {
		return;
	}

	const {requestId} = request;
	if (!request.mayHaveBeenSent) {
		context.effects.push({type: 'releaseClaim', requestId});
		return;
	}

	context.effects.push({type: 'recordUnknown', requestId}, {
		type: 'log',
		level: 'warn',
		fields: {
			event: 'outcome_unknown', requestId, team: request.team, queue: request.queue,
		},
	});
};

/** Refuses a request that is waiting for a slot or for its claim. A claim in progress is released once it is resolved. */
export const refuseWaiting = (context: EventContext, request: TrackedRequest, problem: Problem): void => {
	refuseCaller(context, request, problem);
	if (request.phase === 'claiming') {
		request.phase = 'abandoned';
		clearTimer(context.state, request);
		countQueued(context.state, request.queue, -1);
		return;
	}

	closeClaim(context, request);
	untrack(context.state, request);
};

/** Why an attempt brought no complete answer, and what its caller receives. */
export type IncompleteAnswer
	= | {readonly type: 'failed'; readonly reason: string}
		| {readonly type: 'timeout'}
	/** Part of the answer was already forwarded. */
		| {readonly type: 'partial'};

const problemOf = (request: TrackedRequest, incomplete: Exclude<IncompleteAnswer, {type: 'partial'}>): Problem => {
	const outcome = request.mayHaveBeenSent ? 'unknown' : 'not-run';
	switch (incomplete.type) {
		case 'failed': {
			return request.mayHaveBeenSent ? badGateway(incomplete.reason) : noServer(request.pool, outcome, minRetryAfterMs);
		}

		case 'timeout': {
			return timedOut(outcome);
		}

		default: {
			return assertNever(incomplete);
		}
	}
};

/** Ends a request whose last attempt has ended without a complete answer. The calling function releases the slot. */
export const endWithIncompleteAnswer = (context: EventContext, request: TrackedRequest, incomplete: IncompleteAnswer): void => {
	if (incomplete.type !== 'partial') {
		refuseCaller(context, request, problemOf(request, incomplete));
	} else if (!request.isCallerGone) {
		context.effects.push({type: 'abortResponse', requestId: request.requestId});
		count(context, 'gate_answers_broken_off_total');
	}

	closeClaim(context, request);
	untrack(context.state, request);
};
