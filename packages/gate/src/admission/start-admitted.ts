/**
The first step of an admitted request: claiming its idempotency key, or waiting for a slot.
*/
import {countQueued} from '../dispatch/finish.js';
import {enqueue, restartTimer} from '../dispatch/dispatch.js';
import {type TrackedRequest} from '../dispatch/tracked-request.js';
import {type EventContext} from '../dispatch/event-context.js';

/** Adds the request to the state and starts its claim or its wait. */
export const startAdmitted = (context: EventContext, request: TrackedRequest): void => {
	const {state} = context;
	state.requests.set(request.requestId, request);
	if (!request.isClaimed) {
		enqueue(context, request);
		return;
	}

	request.phase = 'claiming';
	countQueued(state, request.queue, 1);
	restartTimer(state, request);
	context.effects.push({
		type: 'claimKey',
		requestId: request.requestId,
		team: request.team,
		idempotencyKey: request.arrived.idempotencyKey ?? '',
		fingerprint: request.arrived.fingerprint ?? '',
	});
};
