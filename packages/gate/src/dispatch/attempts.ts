/**
Handles the end of an attempt, a caller that disconnects and expired deadlines.
*/
import {isSafeToRetry} from '../retries/retry-safety.js';
import {type HealthChange} from '../routing/server-table.js';
import {poolOf} from '../state.js';
import {type AttemptFailed, type RequestId} from '../types.js';
import {gateDraining} from '../problems.js';
import {minRetryAfterMs} from '../constants.js';
import {
	serverRequirementsOf, dispatchAll, dispatchPool, enqueue, expireWaiting,
} from './dispatch.js';
import {
	refuseWaiting, endWithIncompleteAnswer, untrack, type IncompleteAnswer,
} from './finish.js';
import {isBelowAllotment, releaseSlot, releaseSlotAfterGrace} from './slots.js';
import {type HeldSlot, type RunningAttempt, type TrackedRequest} from './tracked-request.js';
import {count, recordDuration, type EventContext} from './event-context.js';

type RunningRequest = TrackedRequest & {running: RunningAttempt};

const isRunning = (request: TrackedRequest | undefined, attempt: number): request is RunningRequest =>
	request?.running !== undefined && request.attempts === attempt;

/** Returns the request if this attempt of it is running, and undefined for late and repeated events. */
const findRunning = (context: EventContext, requestId: RequestId, attempt: number): RunningRequest | undefined => {
	const request = context.state.requests.get(requestId);
	return isRunning(request, attempt) ? request : undefined;
};

const logHealth = (context: EventContext, change: HealthChange | undefined): void => {
	if (change === undefined) {
		return;
	}

	const {host, pool, state, consecutiveFailures} = change;
	const successRate = Math.round(change.successRate * 100) / 100;
	context.effects.push({
		type: 'log',
		level: state === 'ejected' ? 'warn' : 'info',
		fields: {
			event: `server_${state}`, host, pool, consecutiveFailures, successRate,
		},
	});
	count(context, `gate_servers_${state}_total`);
};

const recordOutcome = (context: EventContext, slot: HeldSlot, isSuccess: boolean): void => {
	logHealth(context, context.state.servers.recordOutcome(slot.host, isSuccess, context.nowMs));
	if (isSuccess) {
		poolOf(context.state, slot.pool).retryBudget.recordSuccess();
	}
};

/** Releases a slot and dispatches. If the team had reached its allotment, its requests in other pools may start now too. */
const releaseAndDispatch = (context: EventContext, slot: HeldSlot): void => {
	const wasBelowAllotment = isBelowAllotment(context.state, slot.team);
	releaseSlot(context, slot);
	if (wasBelowAllotment) {
		dispatchPool(context, slot.pool);
	} else {
		dispatchAll(context);
	}
};

/** Records that the status line and headers of an answer were received. */
export const recordAnswerHead = (context: EventContext, requestId: RequestId, attempt: number, status: number): void => {
	const request = findRunning(context, requestId, attempt);
	if (request !== undefined) {
		request.running.wasAnswered = true;
		request.running.isSuccess = status < 500;
	}
};

/** Ends an attempt whose complete answer was forwarded to the caller. */
export const completeAttempt = (context: EventContext, requestId: RequestId, attempt: number): void => {
	const request = findRunning(context, requestId, attempt);
	if (request === undefined) {
		return;
	}

	const {slot, isSuccess} = request.running;
	recordOutcome(context, slot, isSuccess);
	recordDuration(context, 'gate_run_ms', context.nowMs - slot.acquiredAtMs);
	count(context, isSuccess ? 'gate_answered_total' : 'gate_answered_error_total');
	untrack(context.state, request);
	releaseAndDispatch(context, slot);
};

const clearRunning = (request: TrackedRequest): void => {
	request.running = undefined;
};

const mayRetry = (context: EventContext, request: TrackedRequest, event: AttemptFailed): boolean => {
	const isSafe = isSafeToRetry({
		stage: event.stage,
		attempt: event.attempt,
		wasSentBefore: request.mayHaveBeenSent,
		isIdempotent: request.isIdempotent,
		isReplayable: request.arrived.isReplayable,
	});
	const isInTime = context.nowMs < Math.min(request.deadlineMs, request.runUntilMs);
	return isSafe && isInTime && !request.isCallerGone
		&& context.state.servers.hasUntried(serverRequirementsOf(request))
		&& poolOf(context.state, request.pool).retryBudget.trySpend();
};

/** Handles an attempt that ended without a complete answer: the request is retried or ended. */
export const failAttempt = (context: EventContext, event: AttemptFailed): void => {
	const request = findRunning(context, event.requestId, event.attempt);
	if (request === undefined) {
		return;
	}

	const {slot} = request.running;
	const isNotSent = event.stage === 'not-sent';
	clearRunning(request);
	recordOutcome(context, slot, false);
	count(context, `gate_attempts_failed_${event.stage.replaceAll('-', '_')}_total`);
	const isRetried = mayRetry(context, request, event);
	request.mayHaveBeenSent ||= !isNotSent;
	if (isRetried) {
		count(context, 'gate_retries_total');
		enqueue(context, request);
	} else {
		endWithIncompleteAnswer(context, request, event.stage === 'answering' ? {type: 'partial'} : {type: 'failed', reason: event.reason});
	}

	if (isNotSent) {
		releaseAndDispatch(context, slot);
	} else {
		releaseSlotAfterGrace(context, slot);
		dispatchPool(context, slot.pool);
	}
};

const abort = (context: EventContext, request: RunningRequest): void => {
	context.effects.push({type: 'abortAttempt', requestId: request.requestId, attempt: request.attempts});
	request.mayHaveBeenSent = true;
	releaseSlotAfterGrace(context, request.running.slot);
};

/** Handles a caller that has disconnected. A claimed request runs on, so that its outcome is recorded for when the caller repeats the request. */
export const handleCallerGone = (context: EventContext, requestId: RequestId): void => {
	const request = context.state.requests.get(requestId);
	if (request === undefined || request.isCallerGone || request.phase === 'abandoned') {
		return;
	}

	request.isCallerGone = true;
	if (request.running === undefined) {
		refuseWaiting(context, request, gateDraining(minRetryAfterMs));
	} else if (!request.isClaimed) {
		abort(context, request as RunningRequest);
		endWithIncompleteAnswer(context, request, {type: 'partial'});
	}
};

const expireRunning = (context: EventContext, request: RunningRequest): void => {
	const {wasAnswered, slot} = request.running;
	const incomplete: IncompleteAnswer = wasAnswered ? {type: 'partial'} : {type: 'timeout'};
	abort(context, request);
	recordOutcome(context, slot, false);
	count(context, 'gate_runs_timed_out_total');
	endWithIncompleteAnswer(context, request, incomplete);
};

const expire = (context: EventContext, requestId: RequestId): void => {
	const request = context.state.requests.get(requestId);
	if (request === undefined) {
		return;
	}

	request.timer = undefined;
	if (request.running === undefined) {
		expireWaiting(context, request);
	} else {
		expireRunning(context, request as RunningRequest);
	}
};

/** Handles expired timers, starts probes that are due, and dispatches in all pools. */
export const tick = (context: EventContext): void => {
	for (const due of context.state.timers.removeDue(context.nowMs)) {
		if (due.type === 'request') {
			expire(context, due.requestId);
		} else {
			releaseSlot(context, due.slot);
		}
	}

	for (const change of context.state.servers.startProbes(context.nowMs)) {
		logHealth(context, change);
	}

	dispatchAll(context);
};
