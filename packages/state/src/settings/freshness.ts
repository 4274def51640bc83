/**
Decides whether a process may trust its copy of the settings, and merges the state that peers report about their copies.

A majority suffices when no process can confirm its copy against the table service, because a change is reported in force only when a majority of the members hold it. A process that got responses from a majority, none with a higher revision than its own, therefore holds every change that was in force when it sent the queries.
*/
import {maxConfirmationAgeMs} from './constants.js';
import {
	type PeerSettingsResponse, type ReplicaState, type PeerReport,
} from './replica-types.js';

const laterOf = (a: number | undefined, b: number | undefined): number | undefined => {
	if (a === undefined || b === undefined) {
		return a ?? b;
	}

	return Math.max(a, b);
};

/** The time up to which the copy is known to be complete, confirmed by the table service or by a quorum. */
export const trustedAtMs = (state: ReplicaState): number | undefined =>
	laterOf(state.confirmedAtMs, state.quorumAtMs);

/** Whether the copy was confirmed after the process started, so that it cannot be older than the copy of its previous run. Sent to peers as `hasFloor`. */
export const isConfirmedSinceStart = (state: ReplicaState): boolean => {
	const trustedMs = trustedAtMs(state);
	return state.held !== undefined && trustedMs !== undefined && trustedMs >= state.startedAtMs;
};

/** The time after which the copy may no longer be trusted. */
export const freshUntilMs = (state: ReplicaState): number => {
	const trustedMs = trustedAtMs(state);
	return trustedMs === undefined || !isConfirmedSinceStart(state) ? Number.NEGATIVE_INFINITY : trustedMs + maxConfirmationAgeMs;
};

/** Records a confirmation against the table service. */
export const withConfirmation = (state: ReplicaState, atMs: number): ReplicaState => ({
	...state,
	confirmedAtMs: laterOf(state.confirmedAtMs, atMs),
});

const isMajority = (count: number, members: readonly string[]): boolean => count * 2 > members.length;

/** The latest time as of which a majority of the members had no higher revision than the copy; this process counts once its copy was confirmed after its start. */
const quorumConfirmedAtMs = (state: ReplicaState, nowMs: number): number | undefined => {
	const {held, members} = state;
	if (held === undefined || members === undefined) {
		return undefined;
	}

	const times: number[] = isConfirmedSinceStart(state) && members.includes(state.selfId) ? [nowMs] : [];
	for (const member of members) {
		const report = state.peerReports.get(member);
		if (report !== undefined && member !== state.selfId && report.revision <= held.revision) {
			times.push(report.sentAtMs);
		}
	}

	const newestFirst = times.toSorted((a, b) => b - a);
	return newestFirst.find((_time, index) => isMajority(index + 1, members));
};

/** Recomputes the time of the latest quorum from the peers' reports. */
export const updateQuorum = (state: ReplicaState, nowMs: number): ReplicaState => ({
	...state,
	quorumAtMs: laterOf(state.quorumAtMs, quorumConfirmedAtMs(state, nowMs)),
});

/** Merges a peer's response, whose changes must have been applied before. */
export const mergePeerResponse = (state: ReplicaState, nowMs: number, sentAtMs: number, response: PeerSettingsResponse): ReplicaState => {
	if (!response.hasFloor || state.held === undefined) {
		return state;
	}

	const report: PeerReport = {sentAtMs, revision: response.revision};
	const reported = {...state, peerReports: new Map(state.peerReports).set(response.processId, report)};
	if (state.held.revision < response.revision) {
		return reported;
	}

	const confirmed: ReplicaState = {
		...reported,
		confirmedAtMs: laterOf(reported.confirmedAtMs, response.confirmedAgeMs === undefined ? undefined : sentAtMs - response.confirmedAgeMs),
		quorumAtMs: laterOf(reported.quorumAtMs, response.quorumAgeMs === undefined ? undefined : sentAtMs - response.quorumAgeMs),
	};
	return updateQuorum(confirmed, nowMs);
};
