/**
Handles the resolution of a request's claim. Only the resolution `claimed` allows the request to run.
*/
import {assertNever, type Problem} from '@poplarnotch/common';
import {maxRetryAfterMs, minRetryAfterMs} from '../constants.js';
import {dispatchPool, enqueue} from '../dispatch/dispatch.js';
import {countQueued, untrack} from '../dispatch/finish.js';
import {type TrackedRequest} from '../dispatch/tracked-request.js';
import {count, refuse, type EventContext} from '../dispatch/event-context.js';
import {
	claimMismatch, claimRunning, claimUnavailable, claimUnknown,
} from '../problems.js';
import {type ClaimResolution, type RequestId} from '../types.js';

type RefusingResolution = Exclude<ClaimResolution, {type: 'claimed'} | {type: 'recorded'}>;

const problemOf = (resolution: RefusingResolution): Problem => {
	switch (resolution.type) {
		case 'running': {
			return claimRunning(minRetryAfterMs);
		}

		case 'unknown': {
			return claimUnknown();
		}

		case 'mismatch': {
			return claimMismatch();
		}

		case 'unavailable': {
			return claimUnavailable(maxRetryAfterMs);
		}

		default: {
			return assertNever(resolution);
		}
	}
};

/** Handles the claim of a request that was refused while its claim was in progress. */
const resolveAbandoned = (context: EventContext, request: TrackedRequest, resolution: ClaimResolution): void => {
	if (resolution.type === 'claimed') {
		context.effects.push({type: 'releaseClaim', requestId: request.requestId});
	}

	untrack(context.state, request);
};

const answerFromClaim = (context: EventContext, request: TrackedRequest, resolution: Exclude<ClaimResolution, {type: 'claimed'}>): void => {
	const {requestId} = request;
	untrack(context.state, request);
	if (resolution.type === 'recorded') {
		context.effects.push({type: 'replay', requestId, outcome: resolution.outcome});
		count(context, 'gate_replayed_total');
	} else {
		refuse(context, requestId, problemOf(resolution));
	}
};

/** Handles the resolution of a claim; late and repeated ones have no effect. */
export const handleClaimResolution = (context: EventContext, requestId: RequestId, resolution: ClaimResolution): void => {
	const request = context.state.requests.get(requestId);
	if (request?.phase === 'abandoned') {
		resolveAbandoned(context, request, resolution);
	} else if (request?.phase === 'claiming') {
		countQueued(context.state, request.queue, -1);
		if (resolution.type === 'claimed') {
			enqueue(context, request);
			dispatchPool(context, request.pool);
		} else {
			answerFromClaim(context, request, resolution);
		}
	}
};
