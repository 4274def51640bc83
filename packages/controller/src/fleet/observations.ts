/**
Tracks the observed state of each host. A host counts as lost from the first sign of loss: not listed as live, booted again, a failed probe or a suspicion. It counts as recovered only when it has served after the last sign of loss, so that a late list or a lost response never makes a host look healthier than it is.
*/
import {type Host} from '@poplarnotch/common';
import {type ListedHost} from '@poplarnotch/platform';
import {type FleetEvent, type FleetState, type HostObservation} from './types.js';

type EventOf<Type extends FleetEvent['type']> = Extract<FleetEvent, {readonly type: Type}>;

/** Whether the host is listed as live and has served since the last sign of loss. */
export const hasServedSinceLoss = (observation: HostObservation | undefined): boolean =>
	observation?.servedAtMs !== undefined
	&& observation.listed === 'live'
	&& (observation.lostAtMs === undefined || observation.servedAtMs > observation.lostAtMs);

/** Whether the host counts as serving, by its settings and by its observations. */
export const isServing = (host: Host, observation: HostObservation | undefined): boolean =>
	host.state === 'serving' && hasServedSinceLoss(observation);

/** When the host last recovered from a disruption; 0 if no disruption is known. */
export const lastReturnMs = (host: Host, observation: HostObservation | undefined): number =>
	Math.max(host.maintainedAtMs, observation?.recoveredAtMs ?? 0);

const withObservation = (state: FleetState, host: string, observation: HostObservation): FleetState =>
	({...state, observations: new Map(state.observations).set(host, observation)});

const withLoss = (observation: HostObservation, nowMs: number): HostObservation =>
	({...observation, lostAtMs: nowMs});

const initialObservation = (listed: HostObservation['listed'], bootCount: number): HostObservation => ({
	listed, bootCount, servedAtMs: undefined, lostAtMs: undefined, recoveredAtMs: undefined,
});

const observeListed = (known: HostObservation | undefined, listed: ListedHost, nowMs: number): HostObservation => {
	if (known === undefined) {
		return initialObservation(listed.state, listed.bootCount);
	}

	if (listed.state === 'live' && known.listed === 'live' && listed.bootCount === known.bootCount) {
		return known;
	}

	const seen: HostObservation = {...known, listed: listed.state, bootCount: Math.max(known.bootCount, listed.bootCount)};
	const isLoss = listed.state !== 'live' || listed.bootCount !== known.bootCount;
	return isLoss ? withLoss(seen, nowMs) : seen;
};

/** Applies a host list. Lists that arrive out of order are dropped. */
export const observeListing = (state: FleetState, event: EventOf<'hostsListed'>): FleetState => {
	const listedAtMs = event.nowMs - event.ageMs;
	if (state.listedAtMs !== undefined && listedAtMs < state.listedAtMs) {
		return state;
	}

	const observations = new Map(event.hosts.map((listed): [string, HostObservation] =>
		[listed.host, observeListed(state.observations.get(listed.host), listed, event.nowMs)]));
	for (const [host, known] of state.observations) {
		if (!observations.has(host)) {
			observations.set(host, withLoss({...known, listed: 'gone'}, event.nowMs));
		}
	}

	return {...state, observations, listedAtMs};
};

/** Records a suspicion as a sign of loss. */
export const observeSuspicion = (state: FleetState, event: EventOf<'hostSuspected'>): FleetState => {
	const known = state.observations.get(event.host);
	return known === undefined ? state : withObservation(state, event.host, withLoss(known, event.nowMs));
};

/** Applies the result of a probe. A healthy response proves only that the host served at some time after the request, so it counts from the time of the request. */
export const observeProbe = (state: FleetState, event: EventOf<'probeCompleted'>): FleetState => {
	const known = state.observations.get(event.host);
	if (known === undefined) {
		return state;
	}

	if (!event.isHealthy) {
		return withObservation(state, event.host, withLoss(known, event.nowMs));
	}

	const served: HostObservation = {...known, servedAtMs: Math.max(event.requestedAtMs, known.servedAtMs ?? 0)};
	const hasRecovered = known.lostAtMs !== undefined && !hasServedSinceLoss(known) && hasServedSinceLoss(served);
	return withObservation(state, event.host, hasRecovered ? {...served, recoveredAtMs: event.nowMs} : served);
};

/** Applies the gates' reports on draining hosts, and the list of the gates that may be alive. */
export const observeGateReports = (state: FleetState, event: EventOf<'gatesReported'>): FleetState => {
	const confirmations = new Map(state.gates.confirmations);
	for (const report of event.confirmations) {
		const ofHost = new Map(confirmations.get(report.host)).set(report.processId, report);
		confirmations.set(report.host, ofHost);
	}

	return {...state, gates: {processIds: event.processIds, listedAtMs: event.requestedAtMs, confirmations}};
};

/** Whether every gate that may be alive has confirmed the revision and has no request in flight on the host. */
export const isDrained = (state: FleetState, host: string, revision: number, sinceMs: number): boolean => {
	const {processIds, listedAtMs, confirmations} = state.gates;
	if (processIds === undefined || listedAtMs < sinceMs) {
		return false;
	}

	const ofHost = confirmations.get(host);
	return processIds.every(processId => {
		const confirmation = ofHost?.get(processId);
		return confirmation !== undefined && confirmation.revision >= revision && confirmation.inFlight === 0;
	});
};
