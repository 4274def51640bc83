/**
Applies changed settings to waiting requests: a request whose key was withdrawn, or whose queue or team was removed, is refused before it runs.
*/
import * as E from 'fp-ts/lib/Either.js';
import {refuseWaiting} from '../dispatch/finish.js';
import {type TrackedRequest} from '../dispatch/tracked-request.js';
import {type EventContext} from '../dispatch/event-context.js';
import {recheckWaiting} from './admit.js';

/** Returns true if the request is claiming or waiting and has certainly not been sent to a backend server. A request that was sent may have run, so it can no longer be refused as not run. */
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
