/**
The reducer that registers a process and sends its heartbeats. Every write, heartbeats included, is conditional on the version of the process's description, so that a replaced process detects this at its next heartbeat.
*/
import * as O from 'fp-ts/lib/Option.js';
import {assertNever, type Step} from '@poplarnotch/common';
import {
	absentVersion, type Row, type RowWrite, type Transaction,
} from '@poplarnotch/platform';
import {type Member} from '../types.js';
import {heartbeatIntervalMs, registrationRetryMs} from './constants.js';
import {
	heartbeatKey, parseMemberRow, memberKey, memberValue, type MemberIdentity,
} from './rows.js';

export type RegistrationState = {
	readonly identity: MemberIdentity;
	readonly phase: 'unregistered' | 'registered' | 'replaced' | 'left';
	/** Defined once the process is registered. */
	readonly incarnation: number | undefined;
	/** Version of the process's description as last known. */
	readonly version: number;
	readonly heartbeats: number;
	/** The next call and when it is due; `dueMs` is `undefined` while the call is pending. */
	readonly nextCall: 'read' | 'write' | 'leave';
	readonly dueMs: number | undefined;
	readonly wantsToLeave: boolean;
};

export type RegistrationEvent
	= | {readonly type: 'tick'; readonly nowMs: number}
		| {readonly type: 'rowRead'; readonly nowMs: number; readonly row: Row | undefined}
		| {readonly type: 'written'; readonly nowMs: number; readonly revision: number}
	/** `mustRead` is true if the row may have changed: after a conflict or an unknown outcome. */
		| {readonly type: 'failed'; readonly nowMs: number; readonly mustRead: boolean}
		| {readonly type: 'leaveRequested'; readonly nowMs: number};

export type RegistrationEffect
	= | {readonly type: 'read'; readonly key: string}
		| {readonly type: 'commit'; readonly transaction: Transaction}
		| {readonly type: 'registered'; readonly member: Member}
		| {readonly type: 'replaced'}
		| {readonly type: 'left'};

type RegistrationStep = Step<RegistrationState, RegistrationEffect>;

/** A process that has not registered yet. */
export const newRegistration = (identity: MemberIdentity): RegistrationState => ({
	identity, phase: 'unregistered', incarnation: undefined, version: absentVersion, heartbeats: 0, nextCall: 'read', dueMs: 0, wantsToLeave: false,
});

const unchanged = (state: RegistrationState): RegistrationStep => ({state, effects: []});

const endRegistration = (state: RegistrationState, phase: 'replaced' | 'left'): RegistrationStep => ({
	state: {...state, phase, dueMs: undefined},
	effects: [{type: phase}],
});

const writesOf = ({identity, phase, nextCall, heartbeats}: RegistrationState): readonly RowWrite[] => {
	const key = memberKey(identity.processId);
	const heartbeat = heartbeatKey(identity.processId);
	if (nextCall === 'leave') {
		return [{type: 'delete', key}, {type: 'delete', key: heartbeat}];
	}

	return phase === 'registered'
		? [{type: 'put', key: heartbeat, value: heartbeats + 1}]
		: [{type: 'put', key, value: memberValue(identity)}];
};

const effectOfCall = (state: RegistrationState): RegistrationEffect => {
	const key = memberKey(state.identity.processId);
	return state.nextCall === 'read'
		? {type: 'read', key}
		: {type: 'commit', transaction: {conditions: [{key, version: state.version}], writes: writesOf(state)}};
};

const tick = (state: RegistrationState, nowMs: number): RegistrationStep => {
	const isDue = state.dueMs !== undefined && nowMs >= state.dueMs;
	return isDue ? {state: {...state, dueMs: undefined}, effects: [effectOfCall(state)]} : unchanged(state);
};

/** Schedules the next write of a process whose row is known to be its own. */
const scheduleNextWrite = (state: RegistrationState, nowMs: number): RegistrationState => state.wantsToLeave
	? {...state, nextCall: 'leave', dueMs: nowMs}
	: {...state, nextCall: 'write', dueMs: nowMs + heartbeatIntervalMs};

const becomeRegistered = (state: RegistrationState, incarnation: number, nowMs: number): RegistrationStep => {
	const {runId: _private, ...identity} = state.identity;
	return {
		state: scheduleNextWrite({...state, phase: 'registered', incarnation}, nowMs),
		effects: [{type: 'registered', member: {...identity, incarnation}}],
	};
};

const handleWritten = (state: RegistrationState, revision: number, nowMs: number): RegistrationStep => {
	if (state.nextCall === 'leave') {
		return endRegistration(state, 'left');
	}

	return state.phase === 'unregistered'
		? becomeRegistered({...state, version: revision}, revision, nowMs)
		: unchanged(scheduleNextWrite({...state, heartbeats: state.heartbeats + 1}, nowMs));
};

const handleRowRead = (state: RegistrationState, row: Row | undefined, nowMs: number): RegistrationStep => {
	const found = row === undefined ? undefined : O.toUndefined(parseMemberRow(row));
	const version = row?.version ?? absentVersion;
	if (found?.runId === state.identity.runId) {
		const next = {...state, version};
		return state.phase === 'unregistered' ? becomeRegistered(next, found.member.incarnation, nowMs) : unchanged(scheduleNextWrite(next, nowMs));
	}

	if (state.phase === 'registered') {
		return endRegistration(state, state.wantsToLeave ? 'left' : 'replaced');
	}

	return state.wantsToLeave
		? endRegistration(state, 'left')
		: unchanged({
			...state, version, nextCall: 'write', dueMs: nowMs,
		});
};

const handleFailure = (state: RegistrationState, mustRead: boolean, nowMs: number): RegistrationStep => unchanged({
	...state,
	nextCall: mustRead ? 'read' : state.nextCall,
	dueMs: nowMs + registrationRetryMs,
});

const handleLeaveRequest = (state: RegistrationState, nowMs: number): RegistrationStep => {
	const leaving = {...state, wantsToLeave: true};
	if (state.phase === 'registered' && state.dueMs !== undefined) {
		return unchanged({...leaving, nextCall: state.nextCall === 'read' ? 'read' : 'leave', dueMs: nowMs});
	}

	return state.phase === 'unregistered' && state.dueMs !== undefined ? endRegistration(leaving, 'left') : unchanged(leaving);
};

/** Applies one event and returns the new state with its effects. */
export const reduceRegistration = (state: RegistrationState, event: RegistrationEvent): RegistrationStep => {
	if (state.phase === 'replaced' || state.phase === 'left') {
		return unchanged(state);
	}

	switch (event.type) {
		case 'tick': {
			return tick(state, event.nowMs);
		}

		case 'rowRead': {
			return handleRowRead(state, event.row, event.nowMs);
		}

		case 'written': {
			return handleWritten(state, event.revision, event.nowMs);
		}

		case 'failed': {
			return handleFailure(state, event.mustRead, event.nowMs);
		}

		case 'leaveRequested': {
			return handleLeaveRequest(state, event.nowMs);
		}

		default: {
			return assertNever(event);
		}
	}
};
