/**
The reducer of a settings replica: applies what the table service and peers report to the copy, and decides whether the copy may be trusted.
*/
import {assertNever, type Step} from '@poplarnotch/common';
import {
	withConfirmation, updateQuorum, freshUntilMs, mergePeerResponse,
} from './freshness.js';
import {applyChanges, replaceTree, propagationEffects} from './copy-updates.js';
import {type ReplicaEffect, type ReplicaEvent, type ReplicaState} from './replica-types.js';
import {loadTreeNow, readLogNow, runSchedule} from './schedule.js';

type ReplicaStep = Step<ReplicaState, ReplicaEffect>;

type EventOf<Type extends ReplicaEvent['type']> = Extract<ReplicaEvent, {readonly type: Type}>;

/** The state of a process that has just started. */
export const initialReplicaState = (selfId: string, startedAtMs: number): ReplicaState => ({
	selfId,
	startedAtMs,
	held: undefined,
	recent: [],
	confirmedAtMs: undefined,
	quorumAtMs: undefined,
	members: undefined,
	peerReports: new Map(),
	pollSentAtMs: undefined,
	lastPollAtMs: undefined,
	isTableReached: true,
	lastPeerQueryAtMs: undefined,
	isLoading: false,
	lastLoadAtMs: undefined,
	isFresh: false,
});

const onTick = (state: ReplicaState, event: EventOf<'tick'>): ReplicaStep =>
	runSchedule(updateQuorum({...state, members: event.members ?? state.members}, event.nowMs), event.nowMs);

const onLogRead = (state: ReplicaState, event: EventOf<'logRead'>): ReplicaStep => {
	const isCurrent = state.pollSentAtMs === event.sentAtMs;
	const withPollEnded = {...state, isTableReached: true, pollSentAtMs: isCurrent ? undefined : state.pollSentAtMs};
	const update = applyChanges(withPollEnded, event.changes);
	const propagation = propagationEffects(update.state, update.applied);
	if (event.hasGap || update.hasGap) {
		const load = loadTreeNow(update.state, event.nowMs);
		return {state: load.state, effects: [...propagation, ...load.effects]};
	}

	if (event.hasMore) {
		const read = readLogNow(update.state, event.nowMs);
		return {state: read.state, effects: [...propagation, ...read.effects]};
	}

	return {state: withConfirmation(update.state, event.sentAtMs), effects: propagation};
};

const onLogReadFailed = (state: ReplicaState, event: EventOf<'logReadFailed'>): ReplicaStep =>
	state.pollSentAtMs === event.sentAtMs
		? runSchedule({...state, pollSentAtMs: undefined, isTableReached: false}, event.nowMs)
		: {state, effects: []};

const onTreeLoaded = (state: ReplicaState, event: EventOf<'treeLoaded'>): ReplicaStep => {
	const replaced = replaceTree({...state, isLoading: false}, event.stored);
	const effects: readonly ReplicaEffect[] = replaced.held === state.held || replaced.held === undefined
		? []
		: [{type: 'settingsAdvanced', stored: replaced.held}];
	return event.source === 'table'
		? {state: {...withConfirmation(replaced, event.sentAtMs), isTableReached: true}, effects}
		: {state: replaced, effects};
};

const onTreeLoadFailed = (state: ReplicaState, event: EventOf<'treeLoadFailed'>): ReplicaStep =>
	runSchedule({...state, isLoading: false, isTableReached: event.source === 'peer' && state.isTableReached}, event.nowMs);

const onPeerAnswered = (state: ReplicaState, event: EventOf<'peerAnswered'>): ReplicaStep => {
	const {answer} = event;
	const update = applyChanges(state, answer.changes);
	const merged = mergePeerResponse(update.state, event.nowMs, event.sentAtMs, answer);
	const propagation = propagationEffects(merged, update.applied);
	const isBehind = merged.held === undefined || merged.held.revision < answer.revision;
	if (!isBehind || merged.isLoading || !answer.hasFloor) {
		return {state: merged, effects: propagation};
	}

	return {
		state: {...merged, isLoading: true},
		effects: [...propagation, {type: 'fetchTree', peerId: answer.processId, sentAtMs: event.nowMs}],
	};
};

const onChangesOffered = (state: ReplicaState, event: EventOf<'changesOffered'>): ReplicaStep => {
	const update = applyChanges(state, event.changes);
	const propagation = propagationEffects(update.state, update.applied);
	if (!update.hasGap || update.state.pollSentAtMs !== undefined) {
		return {state: update.state, effects: propagation};
	}

	const read = readLogNow(update.state, event.nowMs);
	return {state: read.state, effects: [...propagation, ...read.effects]};
};

const reduceEvent = (state: ReplicaState, event: ReplicaEvent): ReplicaStep => {
	switch (event.type) {
		case 'tick': {
			return onTick(state, event);
		}

		case 'logRead': {
			return onLogRead(state, event);
		}

		case 'logReadFailed': {
			return onLogReadFailed(state, event);
		}

		case 'treeLoaded': {
			return onTreeLoaded(state, event);
		}

		case 'treeLoadFailed': {
			return onTreeLoadFailed(state, event);
		}

		case 'peerAnswered': {
			return onPeerAnswered(state, event);
		}

		case 'changesOffered': {
			return onChangesOffered(state, event);
		}
	}

	return assertNever(event);
};

/** Applies one event and returns the new state with its effects. */
export const reduceReplica = (state: ReplicaState, event: ReplicaEvent): ReplicaStep => {
	const step = reduceEvent(state, event);
	const isFresh = event.nowMs <= freshUntilMs(step.state);
	return isFresh === state.isFresh
		? step
		: {
			state: {...step.state, isFresh},
			effects: [...step.effects, {type: 'freshnessChanged', isFresh}],
		};
};
