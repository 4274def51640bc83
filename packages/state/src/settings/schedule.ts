/**
Schedules when a replica reads the log, loads the tree and queries peers. It reads the log at a fixed interval. It queries peers only when its confirmation is old: first its parents in the tree over all members, then every member.
*/
import {treeParents} from '../peers/peer-selection.js';
import {
	peerQueryIntervalMs, queryAllPeersAfterMs, queryPeersAfterMs, queryPeersInOutageAfterMs, loadRetryMs, pollIntervalMs, pollTimeoutMs,
} from './constants.js';
import {trustedAtMs} from './freshness.js';
import {type ReplicaEffect, type ReplicaState} from './replica-types.js';

type ReplicaStep = {
	readonly state: ReplicaState;
	readonly effects: readonly ReplicaEffect[];
};

const isDue = (lastMs: number | undefined, intervalMs: number, nowMs: number): boolean =>
	lastMs === undefined || nowMs - lastMs >= intervalMs;

/** Reads the log now. */
export const readLogNow = (state: ReplicaState, nowMs: number): ReplicaStep => state.held === undefined
	? {state, effects: []}
	: {
		state: {...state, pollSentAtMs: nowMs, lastPollAtMs: nowMs},
		effects: [{type: 'readLog', afterRevision: state.held.revision, sentAtMs: nowMs}],
	};

/** Loads the whole tree now, unless a load is pending. */
export const loadTreeNow = (state: ReplicaState, nowMs: number): ReplicaStep => state.isLoading
	? {state, effects: []}
	: {
		state: {...state, isLoading: true, lastLoadAtMs: nowMs},
		effects: [{type: 'loadTree', sentAtMs: nowMs}],
	};

const expirePoll = (state: ReplicaState, nowMs: number): ReplicaState =>
	state.pollSentAtMs !== undefined && nowMs - state.pollSentAtMs >= pollTimeoutMs
		? {...state, pollSentAtMs: undefined, isTableReached: false}
		: state;

const readWhenDue = (state: ReplicaState, nowMs: number): ReplicaStep => {
	if (state.held === undefined) {
		return isDue(state.lastLoadAtMs, loadRetryMs, nowMs) ? loadTreeNow(state, nowMs) : {state, effects: []};
	}

	return state.pollSentAtMs === undefined && isDue(state.lastPollAtMs, pollIntervalMs, nowMs)
		? readLogNow(state, nowMs)
		: {state, effects: []};
};

const peersToQuery = (state: ReplicaState, ageMs: number): readonly string[] => {
	const members = state.members ?? [];
	const others = members.filter(id => id !== state.selfId);
	const parents = treeParents(state.selfId, members);
	return ageMs >= queryAllPeersAfterMs || parents.length === 0 ? others : parents;
};

const queryPeersWhenDue = (state: ReplicaState, nowMs: number): ReplicaStep => {
	const ageMs = nowMs - (trustedAtMs(state) ?? Number.NEGATIVE_INFINITY);
	const isOld = ageMs >= (state.isTableReached ? queryPeersAfterMs : queryPeersInOutageAfterMs);
	if (!isOld || !isDue(state.lastPeerQueryAtMs, peerQueryIntervalMs, nowMs)) {
		return {state, effects: []};
	}

	const afterRevision = state.held?.revision ?? 0;
	return {
		state: {...state, lastPeerQueryAtMs: nowMs},
		effects: peersToQuery(state, ageMs).map((peerId): ReplicaEffect => ({
			type: 'askPeer', peerId, afterRevision, sentAtMs: nowMs,
		})),
	};
};

/** Performs whatever is due at this time. */
export const runSchedule = (state: ReplicaState, nowMs: number): ReplicaStep => {
	const read = readWhenDue(expirePoll(state, nowMs), nowMs);
	const query = queryPeersWhenDue(read.state, nowMs);
	return {state: query.state, effects: [...read.effects, ...query.effects]};
};
