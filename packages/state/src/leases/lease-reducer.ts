/**
Contends for one lease. A contender reads the lease's rows and takes the lease when it is free, or when it has seen no renewal for the whole lease time on its own monotonic clock; no two clocks are ever compared. A holder renews well within the lease time and stops trusting the lease, by its own clock, before anybody may take it over.

The holder's clock only keeps it from useless work. What keeps a holder that was paused from doing harm is the fence: the version of the lease's row, which every write that follows carries as a condition.
*/
import {assertNever, type Step} from '@poplarnotch/common';
import {type RowCondition, type Transaction} from '@poplarnotch/platform';
import {type HeldLease} from '../types.js';
import {leaseRetryMs, renewalsPerLease, safetyShare} from './constants.js';
import {
	acquireTransaction, fenceKey, type LeaseRows, releaseTransaction, renewTransaction,
} from './rows.js';

/** What the contender last saw of a lease that another process holds. */
type Sighting = {
	readonly rows: LeaseRows;
	/** When the first read that showed these rows had been answered. */
	readonly sinceMs: number;
};

type LeaseCall = 'read' | 'acquire' | 'renew' | 'release';

export type LeaseState = {
	readonly name: string;
	/** Identifies the contender and its incarnation. */
	readonly holder: string;
	readonly leaseMs: number;
	/** Starts the names of all runs of this process, of which an earlier one is surely over; empty where that is not certain. */
	readonly formerRunPrefix: string;
	readonly phase: 'contending' | 'held' | 'withdrawn';
	readonly sighting: Sighting | undefined;
	/** Set from the acquisition until the lease is lost. */
	readonly fence: RowCondition | undefined;
	/** Until when the holder trusts the lease; `undefined` before the first renewal that confirmed it. */
	readonly trustedUntilMs: number | undefined;
	readonly renewals: number;
	readonly nextCall: LeaseCall;
	/** `undefined` while a call is under way. */
	readonly dueMs: number | undefined;
	readonly wantsToWithdraw: boolean;
};

export type LeaseEvent
	= | {readonly type: 'tick'; readonly nowMs: number}
	/** `sentAtMs` is when the call was made. */
	/** `standBackMs` is how long the contender leaves a free lease to others that are better suited. */
		| {readonly type: 'rowsRead'; readonly nowMs: number; readonly sentAtMs: number; readonly rows: LeaseRows; readonly standBackMs?: number}
		| {readonly type: 'committed'; readonly nowMs: number; readonly sentAtMs: number; readonly revision: number}
		| {readonly type: 'conflicted'; readonly nowMs: number}
	/** `mayBeApplied` tells that the call may have taken effect. */
		| {readonly type: 'failed'; readonly nowMs: number; readonly mayBeApplied: boolean}
		| {readonly type: 'withdrawRequested'; readonly nowMs: number};

export type LeaseEffect
	= | {readonly type: 'read'; readonly name: string}
		| {readonly type: 'commit'; readonly transaction: Transaction}
		| {readonly type: 'notify'; readonly lease: HeldLease | undefined}
		| {readonly type: 'withdrawn'};

type LeaseStep = Step<LeaseState, LeaseEffect>;

/** A contender that has not read the lease yet. */
export const newContender = (name: string, holder: string, leaseMs: number, formerRunPrefix = ''): LeaseState => ({
	name, holder, leaseMs, formerRunPrefix, phase: 'contending', sighting: undefined, fence: undefined, trustedUntilMs: undefined, renewals: 0, nextCall: 'read', dueMs: 0, wantsToWithdraw: false,
});

const stay = (state: LeaseState): LeaseStep => ({state, effects: []});

const callSoon = (state: LeaseState, nextCall: LeaseCall, dueMs: number): LeaseState => ({...state, nextCall, dueMs});

const pollMs = (state: LeaseState): number => state.leaseMs / renewalsPerLease;

/** The lease where its holder trusts it at this moment. */
export const trustedLease = (state: LeaseState, nowMs: number): HeldLease | undefined => {
	const isTrusted = state.phase === 'held' && state.trustedUntilMs !== undefined && nowMs < state.trustedUntilMs;
	return isTrusted ? {name: state.name, fence: state.fence!} : undefined;
};

const performCall = (state: LeaseState): LeaseEffect => {
	switch (state.nextCall) {
		case 'read': {
			return {type: 'read', name: state.name};
		}

		case 'acquire': {
			return {type: 'commit', transaction: acquireTransaction(state.name, state.holder, state.sighting!.rows)};
		}

		case 'renew': {
			return {type: 'commit', transaction: renewTransaction(state.name, state.fence!, state.renewals + 1)};
		}

		case 'release': {
			return {type: 'commit', transaction: releaseTransaction(state.name, state.fence!)};
		}

		default: {
			return assertNever(state.nextCall);
		}
	}
};

/** Tells the owner when the lease ceased to be trusted. */
const dropUntrusted = (state: LeaseState, nowMs: number): LeaseStep => {
	const hasEnded = state.trustedUntilMs !== undefined && nowMs >= state.trustedUntilMs;
	return hasEnded ? {state: {...state, trustedUntilMs: undefined}, effects: [{type: 'notify', lease: undefined}]} : stay(state);
};

const tick = (state: LeaseState, nowMs: number): LeaseStep => {
	const dropped = dropUntrusted(state, nowMs);
	if (state.dueMs === undefined || nowMs < state.dueMs) {
		return dropped;
	}

	return {state: {...dropped.state, dueMs: undefined}, effects: [...dropped.effects, performCall(state)]};
};

const end = (state: LeaseState): LeaseStep => ({
	state: {...state, phase: 'withdrawn', dueMs: undefined},
	effects: [{type: 'withdrawn'}],
});

/** The lease is another's now. */
const lose = (state: LeaseState, nowMs: number): LeaseStep => {
	const wasTrusted = state.trustedUntilMs !== undefined;
	const contending = callSoon({
		...state, phase: 'contending', fence: undefined, trustedUntilMs: undefined, sighting: undefined,
	}, 'read', nowMs);
	const effects: readonly LeaseEffect[] = wasTrusted ? [{type: 'notify', lease: undefined}] : [];
	if (!state.wantsToWithdraw) {
		return {state: contending, effects};
	}

	const ended = end(contending);
	return {state: ended.state, effects: [...effects, ...ended.effects]};
};

/** The lease's row names this contender: an acquisition whose outcome was unknown. A renewal confirms it. */
const adopt = (state: LeaseState, rows: LeaseRows, nowMs: number): LeaseState => callSoon({
	...state, phase: 'held', fence: {key: fenceKey(state.name), version: rows.fenceVersion}, trustedUntilMs: undefined,
}, state.wantsToWithdraw ? 'release' : 'renew', nowMs);

const isSame = (a: LeaseRows, b: LeaseRows): boolean =>
	a.fenceVersion === b.fenceVersion && a.renewalVersion === b.renewalVersion;

const rowsRead = (state: LeaseState, {rows, sentAtMs, nowMs, standBackMs = 0}: Extract<LeaseEvent, {readonly type: 'rowsRead'}>): LeaseStep => {
	if (rows.holder === state.holder) {
		return stay(adopt(state, rows, nowMs));
	}

	if (state.phase === 'held') {
		return lose(state, nowMs);
	}

	if (state.wantsToWithdraw) {
		return end(state);
	}

	const sinceMs = state.sighting !== undefined && isSame(state.sighting.rows, rows) ? state.sighting.sinceMs : nowMs;
	const sighted: LeaseState = {...state, sighting: {rows, sinceMs}};
	// The read must have been sent a whole lease time after the same rows had been seen.
	const isFormerRun = state.formerRunPrefix !== '' && rows.holder?.startsWith(state.formerRunPrefix) === true;
	const isFree = rows.holder === undefined || isFormerRun || sentAtMs - sinceMs >= state.leaseMs;
	return stay(isFree ? callSoon(sighted, 'acquire', nowMs + (isFormerRun ? 0 : standBackMs)) : callSoon(sighted, 'read', nowMs + pollMs(state)));
};

const committed = (state: LeaseState, revision: number, sentAtMs: number, nowMs: number): LeaseStep => {
	if (state.nextCall === 'release') {
		return end({...state, fence: undefined});
	}

	const fence = state.nextCall === 'acquire' ? {key: fenceKey(state.name), version: revision} : state.fence!;
	const held: LeaseState = {
		...state,
		phase: 'held',
		fence,
		renewals: state.nextCall === 'acquire' ? 0 : state.renewals + 1,
		trustedUntilMs: sentAtMs + (state.leaseMs * (1 - safetyShare)),
	};
	if (state.wantsToWithdraw) {
		return stay(callSoon({...held, trustedUntilMs: undefined}, 'release', nowMs));
	}

	const isNews = state.trustedUntilMs === undefined;
	return {
		state: callSoon(held, 'renew', nowMs + pollMs(state)),
		effects: isNews ? [{type: 'notify', lease: {name: state.name, fence}}] : [],
	};
};

const conflicted = (state: LeaseState, nowMs: number): LeaseStep =>
	state.phase === 'held' ? lose(state, nowMs) : stay(callSoon({...state, sighting: undefined}, 'read', nowMs));

const failed = (state: LeaseState, mayBeApplied: boolean, nowMs: number): LeaseStep => {
	const dropped = dropUntrusted(state, nowMs);
	// Renewals and releases may be repeated; an acquisition must be read back first.
	const nextCall = mayBeApplied && state.nextCall === 'acquire' ? 'read' : state.nextCall;
	const retryMs = Math.min(leaseRetryMs, pollMs(state));
	return {state: callSoon(dropped.state, nextCall, nowMs + retryMs), effects: dropped.effects};
};

const withdrawRequested = (state: LeaseState, nowMs: number): LeaseStep => {
	const effects: readonly LeaseEffect[] = state.trustedUntilMs === undefined ? [] : [{type: 'notify', lease: undefined}];
	const leaving: LeaseState = {...state, wantsToWithdraw: true, trustedUntilMs: undefined};
	if (state.dueMs === undefined) {
		return {state: leaving, effects};
	}

	if (state.phase === 'held') {
		return {state: callSoon(leaving, 'release', nowMs), effects};
	}

	const ended = end(leaving);
	return {state: ended.state, effects: [...effects, ...ended.effects]};
};

/** Decides on one event of one lease. */
export const reduceLease = (state: LeaseState, event: LeaseEvent): LeaseStep => {
	if (state.phase === 'withdrawn') {
		return stay(state);
	}

	switch (event.type) {
		case 'tick': {
			return tick(state, event.nowMs);
		}

		case 'rowsRead': {
			return rowsRead(state, event);
		}

		case 'committed': {
			return committed(state, event.revision, event.sentAtMs, event.nowMs);
		}

		case 'conflicted': {
			return conflicted(state, event.nowMs);
		}

		case 'failed': {
			return failed(state, event.mayBeApplied, event.nowMs);
		}

		case 'withdrawRequested': {
			return withdrawRequested(state, event.nowMs);
		}

		default: {
			return assertNever(event);
		}
	}
};
