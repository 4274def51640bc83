/**
The reducer of the member directory: derives the members and their status from their rows and the host list.

Heartbeats are measured by this process's own clock: what counts is when it saw a row change, not a time in the row. While the rows cannot be read, no member becomes suspected. A host counts as gone only by a listing that is newer than the moment when the member was first seen, so that the lag of the list cannot make a new member appear gone.
*/
import * as O from 'fp-ts/lib/Option.js';
import {assertNever, type Step} from '@poplarnotch/common';
import {type HostListing, type RowChange} from '@poplarnotch/platform';
import {type Member} from '../types.js';
import {forgetGoneAfterMs, suspectAfterMs} from './constants.js';
import {processIdOfHeartbeat, parseMemberRow, membersPrefix} from './rows.js';
import {type KnownMember, type MembersView, type MemberStatus} from './types.js';

/** A member with what this process has observed of it. */
type MemberEntry = {
	readonly member: Member;
	/** When this incarnation was first seen. */
	readonly firstSeenAtMs: number;
	/** When one of its rows was last seen to change, by this process's clock. */
	readonly lastChangedAtMs: number;
	/** The host's boot count in the first listing newer than `firstSeenAtMs`. */
	readonly bootCount: number | undefined;
	/** Whether the host is missing in the newest listing or has rebooted since `bootCount` was read. */
	readonly isHostGone: boolean;
	readonly status: MemberStatus;
	/** When the status last changed. */
	readonly statusChangedAtMs: number;
	/** True while the deletion of its rows is pending or done. */
	readonly isForgetting: boolean;
};

export type DirectoryState = {
	/** Revision up to which the rows were read; `undefined` before the first read. */
	readonly revision: number | undefined;
	readonly entries: ReadonlyMap<string, MemberEntry>;
	readonly unreadable: ReadonlySet<string>;
	/** When the rows were last read. */
	readonly readAtMs: number;
	/** The time, on this process's clock, as of which the newest host listing is valid. */
	readonly hostListAsOfMs: number;
};

export type DirectoryEvent
	= | {readonly type: 'rowsChanged'; readonly nowMs: number; readonly changes: readonly RowChange[]; readonly revision: number}
	/** `sentAtMs` is when the listing was requested. */
		| {readonly type: 'listed'; readonly nowMs: number; readonly sentAtMs: number; readonly listing: HostListing}
		| {readonly type: 'tick'; readonly nowMs: number}
		| {readonly type: 'forgetFailed'; readonly processId: string};

export type DirectoryEffect
	= | {readonly type: 'notify'; readonly view: MembersView}
	/** Deletes the rows of a member that has long been gone, if that incarnation is still registered. */
		| {readonly type: 'forget'; readonly processId: string; readonly incarnation: number};

type DirectoryStep = Step<DirectoryState, DirectoryEffect>;

/** The state before the first read. */
export const emptyDirectory: DirectoryState = {
	revision: undefined, entries: new Map(), unreadable: new Set(), readAtMs: 0, hostListAsOfMs: Number.NEGATIVE_INFINITY,
};

const knownMember = (entry: MemberEntry): KnownMember => ({...entry.member, status: entry.status});

/** The view for other parts of the process; `undefined` before the first read. */
export const viewOf = (state: DirectoryState): MembersView | undefined => state.revision === undefined
	? undefined
	: {revision: state.revision, members: [...state.entries.values()].map(knownMember), unreadable: [...state.unreadable]};

const registeredEntry = (known: MemberEntry | undefined, member: Member, nowMs: number): MemberEntry => {
	if (known?.member.incarnation === member.incarnation) {
		return known;
	}

	return {
		member, firstSeenAtMs: nowMs, lastChangedAtMs: nowMs, bootCount: undefined, isHostGone: false, status: 'live', statusChangedAtMs: nowMs, isForgetting: false,
	};
};

/** Whether so much time has passed without reads that missing heartbeats prove nothing. */
const isAfterReadGap = (state: DirectoryState, nowMs: number): boolean =>
	nowMs - state.readAtMs >= suspectAfterMs / 2;

const resetLastChanges = (entries: ReadonlyMap<string, MemberEntry>, nowMs: number): ReadonlyMap<string, MemberEntry> =>
	new Map([...entries].map(([processId, entry]) => [processId, {...entry, lastChangedAtMs: nowMs}]));

type Rows = {
	readonly entries: Map<string, MemberEntry>;
	readonly unreadable: Set<string>;
};

const recordHeartbeat = ({entries}: Rows, processId: string, change: RowChange, nowMs: number): void => {
	const entry = entries.get(processId);
	if (entry !== undefined && change.value !== undefined) {
		entries.set(processId, {...entry, lastChangedAtMs: nowMs});
	}
};

const recordMember = ({entries, unreadable}: Rows, processId: string, change: RowChange, nowMs: number): void => {
	const row = O.toUndefined(parseMemberRow(change));
	unreadable.delete(processId);
	if (row === undefined) {
		entries.delete(processId);
		if (change.value !== undefined) {
			unreadable.add(processId);
		}
	} else {
		entries.set(processId, registeredEntry(entries.get(processId), row.member, nowMs));
	}
};

const withChanges = (state: DirectoryState, changes: readonly RowChange[], revision: number, nowMs: number): DirectoryState => {
	const entries = new Map(isAfterReadGap(state, nowMs) ? resetLastChanges(state.entries, nowMs) : state.entries);
	const unreadable = new Set(state.unreadable);
	for (const change of changes) {
		const heartbeatProcessId = O.toUndefined(processIdOfHeartbeat(change.key));
		if (heartbeatProcessId === undefined) {
			recordMember({entries, unreadable}, change.key.slice(membersPrefix.length), change, nowMs);
		} else {
			recordHeartbeat({entries, unreadable}, heartbeatProcessId, change, nowMs);
		}
	}

	return {
		...state, entries, unreadable, revision, readAtMs: nowMs,
	};
};

const listedEntry = (entry: MemberEntry, listing: HostListing, asOfMs: number): MemberEntry => {
	if (asOfMs < entry.firstSeenAtMs) {
		return entry;
	}

	const listed = listing.hosts.find(host => host.host === entry.member.host);
	const bootCount = entry.bootCount ?? listed?.bootCount;
	const wasRebooted = listed !== undefined && bootCount !== undefined && listed.bootCount > bootCount;
	return {...entry, bootCount, isHostGone: listed === undefined || wasRebooted};
};

const withListing = (state: DirectoryState, listing: HostListing, asOfMs: number): DirectoryState => {
	if (asOfMs < state.hostListAsOfMs) {
		return state;
	}

	const entries = new Map([...state.entries].map(([processId, entry]) => [processId, listedEntry(entry, listing, asOfMs)]));
	return {...state, entries, hostListAsOfMs: asOfMs};
};

const statusAt = (entry: MemberEntry, readAtMs: number): MemberStatus => {
	if (entry.isHostGone) {
		return 'gone';
	}

	return readAtMs - entry.lastChangedAtMs >= suspectAfterMs ? 'suspected' : 'live';
};

const withStatuses = (state: DirectoryState, nowMs: number): DirectoryState => {
	const entries = new Map([...state.entries].map(([processId, entry]) => {
		const status = statusAt(entry, state.readAtMs);
		return [processId, status === entry.status ? entry : {...entry, status, statusChangedAtMs: nowMs}];
	}));
	return {...state, entries};
};

const forgetLongGone = (state: DirectoryState, nowMs: number): DirectoryStep => {
	const longGone = [...state.entries.values()].filter(entry =>
		entry.status === 'gone' && !entry.isForgetting && nowMs - entry.statusChangedAtMs >= forgetGoneAfterMs);
	const entries = new Map(state.entries);
	for (const entry of longGone) {
		entries.set(entry.member.processId, {...entry, isForgetting: true});
	}

	return {
		state: {...state, entries},
		effects: longGone.map(entry => ({type: 'forget', processId: entry.member.processId, incarnation: entry.member.incarnation})),
	};
};

const summaryOf = (state: DirectoryState): string => JSON.stringify([
	state.revision === undefined,
	[...state.unreadable],
	...[...state.entries.values()].map(entry => [entry.member, entry.status]),
]);

const forgetFailed = (state: DirectoryState, processId: string): DirectoryState => {
	const entry = state.entries.get(processId);
	return entry === undefined
		? state
		: {...state, entries: new Map(state.entries).set(processId, {...entry, isForgetting: false})};
};

const applyEvent = (state: DirectoryState, event: Exclude<DirectoryEvent, {readonly type: 'forgetFailed'}>): DirectoryState => {
	switch (event.type) {
		case 'rowsChanged': {
			return withChanges(state, event.changes, event.revision, event.nowMs);
		}

		case 'listed': {
			return withListing(state, event.listing, event.sentAtMs - event.listing.ageMs);
		}

		case 'tick': {
			return state;
		}

		default: {
			return assertNever(event);
		}
	}
};

/** Applies one event and returns the new state with its effects. */
export const reduceDirectory = (state: DirectoryState, event: DirectoryEvent): DirectoryStep => {
	if (event.type === 'forgetFailed') {
		return {state: forgetFailed(state, event.processId), effects: []};
	}

	const step = forgetLongGone(withStatuses(applyEvent(state, event), event.nowMs), event.nowMs);
	const view = viewOf(step.state);
	const hasViewChanged = view !== undefined && summaryOf(step.state) !== summaryOf(state);
	return hasViewChanged ? {...step, effects: [...step.effects, {type: 'notify', view}]} : step;
};
