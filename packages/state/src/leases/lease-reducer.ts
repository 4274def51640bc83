/**
The reducer of one contender for one lease. A contender reads the lease's rows and acquires the lease when it is free, or when it has seen no renewal for the whole lease time on its own monotonic clock; no two clocks are ever compared. A holder renews well within the lease time and stops trusting the lease, by its own clock, before any other process may take it over.

The holder's clock only saves it useless work. A holder that was paused is kept from harmful writes by the fence: the version of the lease's row, which every write under the lease carries as a condition.
*/
import {assertNever, type JsonValue, type Step} from '@poplarnotch/common';
import {type RowCondition, type Transaction} from '@poplarnotch/platform';
import {type HeldLease, type ReplacedHolder, type UnconfirmedLease} from '../types.js';
import {
	leaseRetryMs, readGapShare, renewalRetryMs, renewalsPerLease, safetyMarginShare,
} from './constants.js';
import {
	acquireTransaction, fenceKey, type LeaseRows, releaseTransaction, renewTransaction,
} from './rows.js';

/** The rows of a lease that another process holds, as last read. */
type ObservedRows = {
	readonly rows: LeaseRows;
	/** When the response to the first read that returned these rows arrived. */
	readonly sinceMs: number;
	/** When the response to the last read arrived, and the interval to the next one. */
	readonly lastReadAtMs: number;
	readonly readIntervalMs: number;
};

type LeaseCall = 'read' | 'acquire' | 'renew' | 'release';

export type LeaseState = {
	readonly name: string;
	/** Identifies the contender and its incarnation. */
	readonly holder: string;
	readonly leaseMs: number;
	/** Prefix of the holder names of all runs of this process; empty unless an earlier run is certain to have ended. */
	readonly previousRunPrefix: string;
	readonly phase: 'contending' | 'held' | 'withdrawn';
	readonly observed: ObservedRows | undefined;
	/** Defined from the acquisition until the lease is lost. */
	readonly fence: RowCondition | undefined;
	/** Until when the holder trusts the lease; `undefined` until a commit has confirmed it. */
	readonly trustedUntilMs: number | undefined;
	/** When the last confirmed acquisition or renewal was sent; `undefined` while the lease is not held. */
	readonly confirmedAtMs: number | undefined;
	readonly renewals: number;
	readonly nextCall: LeaseCall;
	/** When the next call is due; `undefined` while a call is pending. */
	readonly dueMs: number | undefined;
	readonly wantsToWithdraw: boolean;
	/** Token of a holder that its peers believe to be lost; its lease is acquired without waiting. */
	readonly suspectedToken: number | undefined;
	/** The holder that the last attempt to acquire the lease replaces on suspicion. */
	readonly replaced: ReplacedHolder | undefined;
	/** Until when a holder that was replaced on suspicion before that one may trust its lease. */
	readonly earlierTrustedUntilMs: number | undefined;
	/** What the last holder left as it released the lease. */
	readonly received: JsonValue | undefined;
	/** What this holder leaves to the next one when it releases the lease. */
	readonly handover: JsonValue | undefined;
};

export type LeaseEvent
	= | {readonly type: 'tick'; readonly nowMs: number}
	/** `sentAtMs` is when the call was made; `acquireDelayMs` is how long the contender leaves a free lease to better suited processes, and `readIntervalMs` the time until it reads a held lease again. */
		| {readonly type: 'rowsRead'; readonly nowMs: number; readonly sentAtMs: number; readonly rows: LeaseRows; readonly acquireDelayMs?: number; readonly readIntervalMs?: number | undefined}
		| {readonly type: 'committed'; readonly nowMs: number; readonly sentAtMs: number; readonly revision: number}
		| {readonly type: 'conflicted'; readonly nowMs: number}
		| {readonly type: 'failed'; readonly nowMs: number}
		| {readonly type: 'withdrawRequested'; readonly nowMs: number; readonly handover?: JsonValue | undefined}
	/** The holder with the token is believed to be lost, or has released the lease. */
		| {readonly type: 'holderSuspected'; readonly nowMs: number; readonly fencingToken: number}
	/** The suspected holder was heard again. */
		| {readonly type: 'holderCleared'; readonly fencingToken: number};

export type LeaseEffect
	= | {readonly type: 'read'; readonly name: string}
		| {readonly type: 'commit'; readonly transaction: Transaction}
		| {readonly type: 'notify'; readonly lease: HeldLease | undefined}
		| {readonly type: 'withdrawn'};

type LeaseStep = Step<LeaseState, LeaseEffect>;

/** A contender that has not read the lease yet. */
export const newContender = (name: string, holder: string, leaseMs: number, previousRunPrefix = ''): LeaseState => ({
	name, holder, leaseMs, previousRunPrefix, phase: 'contending', observed: undefined, fence: undefined, trustedUntilMs: undefined, confirmedAtMs: undefined, renewals: 0, nextCall: 'read', dueMs: 0, wantsToWithdraw: false, suspectedToken: undefined, replaced: undefined, earlierTrustedUntilMs: undefined, received: undefined, handover: undefined,
});

const unchanged = (state: LeaseState): LeaseStep => ({state, effects: []});

const scheduleCall = (state: LeaseState, nextCall: LeaseCall, dueMs: number): LeaseState => ({...state, nextCall, dueMs});

const intervalMs = (state: LeaseState): number => state.leaseMs / renewalsPerLease;

/** How long a holder trusts its lease after it has sent a renewal. */
const trustMs = (state: LeaseState): number => state.leaseMs * (1 - safetyMarginShare);

/** The lease if this contender holds it and trusts it at this moment. */
export const trustedLease = (state: LeaseState, nowMs: number): HeldLease | undefined => {
	const isTrusted = state.phase === 'held' && state.trustedUntilMs !== undefined && nowMs < state.trustedUntilMs;
	return isTrusted ? leaseOf(state) : undefined;
};

/** The lease if this contender has held it and has not learned that another process acquired it, with the time of the last confirmation. Whether another process may hold it now, the caller must find out. */
export const unconfirmedLease = (state: LeaseState): UnconfirmedLease | undefined =>
	state.phase === 'held' && state.confirmedAtMs !== undefined && !state.wantsToWithdraw
		? {...leaseOf(state), confirmedAtMs: state.confirmedAtMs}
		: undefined;

const leaseOf = ({
	name, fence, replaced, earlierTrustedUntilMs, received,
}: LeaseState): HeldLease => ({
	name, fence: fence!, replaced, earlierTrustedUntilMs, handover: received,
});

/** For how much longer earlier holders may trust their leases. */
const overlapMs = ({replaced, earlierTrustedUntilMs}: LeaseState, nowMs: number): number => Math.max(0, ...[replaced?.trustedUntilMs, earlierTrustedUntilMs].map(untilMs => Math.ceil((untilMs ?? nowMs) - nowMs)));

const effectOfCall = (state: LeaseState, nowMs: number): LeaseEffect => {
	switch (state.nextCall) {
		case 'read': {
			return {type: 'read', name: state.name};
		}

		case 'acquire': {
			return {type: 'commit', transaction: acquireTransaction(state.name, state.holder, state.observed!.rows, overlapMs(state, nowMs))};
		}

		case 'renew': {
			return {type: 'commit', transaction: renewTransaction(state.name, state.fence!, state.renewals + 1)};
		}

		case 'release': {
			return {type: 'commit', transaction: releaseTransaction(state.name, state.fence!, {overlapMs: overlapMs(state, nowMs), handover: state.handover})};
		}

		default: {
			return assertNever(state.nextCall);
		}
	}
};

/** Notifies the listener once the lease is no longer trusted. */
const expireTrust = (state: LeaseState, nowMs: number): LeaseStep => {
	const hasEnded = state.trustedUntilMs !== undefined && nowMs >= state.trustedUntilMs;
	return hasEnded ? {state: {...state, trustedUntilMs: undefined}, effects: [{type: 'notify', lease: undefined}]} : unchanged(state);
};

const tick = (state: LeaseState, nowMs: number): LeaseStep => {
	const expired = expireTrust(state, nowMs);
	if (state.dueMs === undefined || nowMs < state.dueMs) {
		return expired;
	}

	return {state: {...expired.state, dueMs: undefined}, effects: [...expired.effects, effectOfCall(state, nowMs)]};
};

const endContention = (state: LeaseState): LeaseStep => ({
	state: {...state, phase: 'withdrawn', dueMs: undefined},
	effects: [{type: 'withdrawn'}],
});

/** Handles that another process holds the lease now. */
const loseLease = (state: LeaseState, nowMs: number): LeaseStep => {
	const wasTrusted = state.trustedUntilMs !== undefined;
	const contending = scheduleCall({
		...state, phase: 'contending', fence: undefined, trustedUntilMs: undefined, confirmedAtMs: undefined, observed: undefined, received: undefined,
	}, 'read', nowMs);
	const effects: readonly LeaseEffect[] = wasTrusted ? [{type: 'notify', lease: undefined}] : [];
	if (!state.wantsToWithdraw) {
		return {state: contending, effects};
	}

	const ended = endContention(contending);
	return {state: ended.state, effects: [...effects, ...ended.effects]};
};

/** Returns for how long after the rows were first read a holder may trust its lease that was replaced on suspicion before the present one. Renewals are an interval apart, but for the first one. */
const remainingOverlapMs = (state: LeaseState, {overlapMs: writtenMs = 0, renewals = 0}: LeaseRows): number =>
	Math.max(0, writtenMs - (Math.max(0, renewals - 1) * intervalMs(state)));

/** Adopts a lease whose row names this contender: an acquisition of unknown outcome was applied. A renewal confirms it. What the last holder had left is not in the row any more. */
const adoptLease = (state: LeaseState, rows: LeaseRows, nowMs: number): LeaseState => scheduleCall({
	...state, phase: 'held', fence: {key: fenceKey(state.name), version: rows.fenceVersion}, trustedUntilMs: undefined, confirmedAtMs: undefined, renewals: 0, received: undefined,
}, state.wantsToWithdraw ? 'release' : 'renew', nowMs);

const areSameRows = (a: LeaseRows, b: LeaseRows): boolean =>
	a.fenceVersion === b.fenceVersion && a.renewalVersion === b.renewalVersion;

const handleRowsRead = (state: LeaseState, {
	rows, sentAtMs, nowMs, acquireDelayMs = 0, readIntervalMs = intervalMs(state),
}: Extract<LeaseEvent, {readonly type: 'rowsRead'}>): LeaseStep => {
	if (rows.holder === state.holder) {
		return unchanged(adoptLease(state, rows, nowMs));
	}

	if (state.phase === 'held') {
		return loseLease(state, nowMs);
	}

	if (state.wantsToWithdraw) {
		return endContention(state);
	}

	const {observed} = state;
	// An outage between two reads keeps the holder from renewing, so the wait starts again.
	const isContinuous = observed !== undefined && areSameRows(observed.rows, rows) && nowMs - observed.lastReadAtMs <= observed.readIntervalMs + (state.leaseMs * readGapShare);
	const sinceMs = isContinuous ? observed.sinceMs : nowMs;
	const isHeldByPreviousRun = state.previousRunPrefix !== '' && rows.holder?.startsWith(state.previousRunPrefix) === true;
	const withObserved: LeaseState = {
		...state,
		observed: {
			rows, sinceMs, lastReadAtMs: nowMs, readIntervalMs,
		},
		earlierTrustedUntilMs: sinceMs + remainingOverlapMs(state, rows),
		suspectedToken: undefined,
	};
	if (state.suspectedToken !== undefined && (rows.holder === undefined || rows.fenceVersion === state.suspectedToken)) {
		// The lease is acquired only if the holder's last renewal is one that was sent before these rows were first read.
		const replaced = rows.holder === undefined || isHeldByPreviousRun ? undefined : {token: rows.fenceVersion, trustedUntilMs: sinceMs + trustMs(state)};
		const acquiring: LeaseState = {
			...withObserved, nextCall: 'acquire', dueMs: undefined, replaced,
		};
		return {state: acquiring, effects: [effectOfCall(acquiring, nowMs)]};
	}

	// The read must have been sent a whole lease time after the same rows were first seen.
	const mayAcquire = rows.holder === undefined || isHeldByPreviousRun || sentAtMs - sinceMs >= state.leaseMs;
	return unchanged(mayAcquire ? scheduleCall({...withObserved, replaced: undefined}, 'acquire', nowMs + (isHeldByPreviousRun ? 0 : acquireDelayMs)) : scheduleCall(withObserved, 'read', nowMs + readIntervalMs));
};

const handleCommitted = (state: LeaseState, revision: number, sentAtMs: number, nowMs: number): LeaseStep => {
	if (state.nextCall === 'release') {
		return endContention({...state, fence: undefined});
	}

	const fence = state.nextCall === 'acquire' ? {key: fenceKey(state.name), version: revision} : state.fence!;
	const held: LeaseState = {
		...state,
		phase: 'held',
		suspectedToken: undefined,
		fence,
		renewals: state.nextCall === 'acquire' ? 0 : state.renewals + 1,
		// The rows that the acquisition was conditional on.
		received: state.nextCall === 'acquire' ? state.observed?.rows.handover : state.received,
		trustedUntilMs: sentAtMs + trustMs(state),
		confirmedAtMs: sentAtMs,
	};
	if (state.wantsToWithdraw) {
		const releasing: LeaseState = {
			...held, trustedUntilMs: undefined, nextCall: 'release', dueMs: undefined,
		};
		return {state: releasing, effects: [effectOfCall(releasing, nowMs)]};
	}

	const wasUntrusted = state.trustedUntilMs === undefined;
	return {
		state: scheduleCall(held, 'renew', nowMs + intervalMs(state)),
		effects: wasUntrusted ? [{type: 'notify', lease: leaseOf(held)}] : [],
	};
};

const handleConflict = (state: LeaseState, nowMs: number): LeaseStep =>
	state.phase === 'held' ? loseLease(state, nowMs) : unchanged(scheduleCall({...state, observed: undefined}, 'read', nowMs));

const handleFailure = (state: LeaseState, nowMs: number): LeaseStep => {
	const expired = expireTrust(state, nowMs);
	if (state.phase === 'contending') {
		// During an outage the holder cannot renew either, so the wait starts again, and a live holder renews before any acquisition.
		return {state: scheduleCall({...expired.state, observed: undefined}, 'read', nowMs + Math.min(leaseRetryMs, intervalMs(state))), effects: expired.effects};
	}

	// Renewals and releases may be repeated.
	return {state: scheduleCall(expired.state, state.nextCall, nowMs + Math.min(renewalRetryMs, intervalMs(state))), effects: expired.effects};
};

/** What the holder leaves is about the time in which it has held this lease, so it is dropped if the contender does not hold it. */
const handleWithdrawRequest = (state: LeaseState, handover: JsonValue | undefined, nowMs: number): LeaseStep => {
	const effects: readonly LeaseEffect[] = state.trustedUntilMs === undefined ? [] : [{type: 'notify', lease: undefined}];
	const withdrawing: LeaseState = {
		...state, wantsToWithdraw: true, trustedUntilMs: undefined, handover: state.phase === 'held' ? handover ?? state.handover : undefined,
	};
	if (state.dueMs === undefined) {
		return {state: withdrawing, effects};
	}

	if (state.phase === 'held') {
		return {state: scheduleCall(withdrawing, 'release', nowMs), effects};
	}

	const ended = endContention(withdrawing);
	return {state: ended.state, effects: [...effects, ...ended.effects]};
};

/** Reads the lease at once, so that it can be acquired without waiting for its end. A pending call is awaited. */
const handleSuspicion = (state: LeaseState, suspectedToken: number, nowMs: number): LeaseStep => {
	if (state.phase !== 'contending' || state.wantsToWithdraw) {
		return unchanged(state);
	}

	const suspecting: LeaseState = {...state, suspectedToken};
	if (state.dueMs === undefined) {
		return unchanged(suspecting);
	}

	const reading: LeaseState = {...suspecting, nextCall: 'read', dueMs: undefined};
	return {state: reading, effects: [effectOfCall(reading, nowMs)]};
};

/** Applies one event and returns the new state with its effects. */
export const reduceLease = (state: LeaseState, event: LeaseEvent): LeaseStep => {
	if (state.phase === 'withdrawn') {
		return unchanged(state);
	}

	switch (event.type) {
		case 'tick': {
			return tick(state, event.nowMs);
		}

		case 'rowsRead': {
			return handleRowsRead(state, event);
		}

		case 'committed': {
			return handleCommitted(state, event.revision, event.sentAtMs, event.nowMs);
		}

		case 'conflicted': {
			return handleConflict(state, event.nowMs);
		}

		case 'failed': {
			return handleFailure(state, event.nowMs);
		}

		case 'withdrawRequested': {
			return handleWithdrawRequest(state, event.handover, event.nowMs);
		}

		case 'holderSuspected': {
			return handleSuspicion(state, event.fencingToken, event.nowMs);
		}

		case 'holderCleared': {
			return unchanged(state.suspectedToken === event.fencingToken ? {...state, suspectedToken: undefined} : state);
		}

		default: {
			return assertNever(event);
		}
	}
};
