/**
The gate's reducer: (state, event) → (state, effects). It only passes each event to the module that handles it.
*/
import * as E from 'fp-ts/lib/Either.js';
import {assertNever, type FleetSettings, type Reducer} from '@poplarnotch/common';
import {admit} from './admission/admit.js';
import {handleClaimResolution} from './admission/claim-resolution.js';
import {refuseDisallowedRequests} from './admission/recheck-waiting.js';
import {
	recordAnswerHead, completeAttempt, failAttempt, handleCallerGone, tick,
} from './dispatch/attempts.js';
import {dispatchAll, dispatchPool} from './dispatch/dispatch.js';
import {count, refuse, type EventContext} from './dispatch/event-context.js';
import {startAdmitted} from './admission/start-admitted.js';
import {type GateState, weightOf} from './state.js';
import {
	type ArrivedRequest, type GateEffect, type GateEvent, type GateGrants,
} from './types.js';

const handleArrival = (context: EventContext, arrived: ArrivedRequest): void => {
	const {state, nowMs} = context;
	if (state.requests.has(arrived.requestId)) {
		return;
	}

	count(context, 'gate_arrived_total');
	const admitted = admit(state, arrived, nowMs);
	if (E.isLeft(admitted)) {
		refuse(context, arrived.requestId, admitted.left);
		return;
	}

	startAdmitted(context, admitted.right);
	dispatchPool(context, admitted.right.pool);
};

const setWeights = (context: EventContext): void => {
	for (const [poolName, pool] of context.state.pools) {
		for (const team of context.state.settings.teams.keys()) {
			pool.queue.setWeight(team, weightOf(context.state, poolName, team), context.nowMs);
		}
	}
};

const changeSettings = (context: EventContext, settings: FleetSettings): void => {
	context.state.settings = settings;
	setWeights(context);
	refuseDisallowedRequests(context);
	dispatchAll(context);
};

const changeGrants = (context: EventContext, grants: GateGrants): void => {
	context.state.grants = grants;
	context.state.servers.setSlots(grants.slotsByHost);
	setWeights(context);
	dispatchAll(context);
};

const handle = (context: EventContext, event: GateEvent): void => {
	switch (event.type) {
		case 'requestArrived': {
			handleArrival(context, event.request);
			return;
		}

		case 'callerGone': {
			handleCallerGone(context, event.requestId);
			return;
		}

		case 'claimResolved': {
			handleClaimResolution(context, event.requestId, event.resolution);
			return;
		}

		case 'attemptAnswered': {
			recordAnswerHead(context, event.requestId, event.attempt, event.status);
			return;
		}

		case 'attemptEnded': {
			completeAttempt(context, event.requestId, event.attempt);
			return;
		}

		case 'attemptFailed': {
			failAttempt(context, event);
			return;
		}

		case 'settingsChanged': {
			changeSettings(context, event.settings);
			return;
		}

		case 'serversChanged': {
			context.state.servers.setServers(event.servers);
			dispatchAll(context);
			return;
		}

		case 'grantsChanged': {
			changeGrants(context, event.grants);
			return;
		}

		case 'freshnessChanged': {
			context.state.isFresh = event.isFresh;
			return;
		}

		case 'drainStarted': {
			context.state.isDraining = true;
			return;
		}

		case 'tick': {
			tick(context);
			return;
		}

		default: {
			assertNever(event);
		}
	}
};

/** Reduces one event. The state is changed in place and owned by the reducer. */
export const reduceGate: Reducer<GateState, GateEvent, GateEffect> = (state, event) => {
	const effects: GateEffect[] = [];
	if ('random' in event) {
		state.random.seed(event.random);
	}

	handle({state, nowMs: event.nowMs, effects}, event);
	return {state, effects};
};
