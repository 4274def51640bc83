/**
Applies changed settings to waiting requests: a request whose key was withdrawn, or whose queue or team was removed, is refused before it runs.
*/
import * as E from 'fp-ts/lib/Either.js';
import {refuseWaiting} from '../dispatch/finish.js';
import {type TrackedRequest} from '../dispatch/tracked-request.js';
import {type EventContext} from '../dispatch/event-context.js';
import {recheckWaiting} from './admit.js';

/** Returns true if no attempt of the request may have been sent. Otherwise it may have run and cannot be refused as not run any more. */
const isUndispatched = (request: TrackedRequest): boolean =>
	request.phase === 'claiming' || (request.phase === 'waiting' && !request.mayHaveBeenSent);

/** Refuses waiting requests that the changed settings no longer allow. */
export const refuseDisallowedRequests = (context: EventContext): void => {
	for (const request of context.state.requests.values()) {
		if (isUndispatched(request)) {
			const checked = recheckWaiting(context.state, request);
			if (E.isLeft(checked)) {
				refuseWaiting(context, request, checked.left);
			}
		}
	}
};
