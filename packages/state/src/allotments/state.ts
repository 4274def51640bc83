/**
State, events and effects of a gate's allotments.
*/
import {type RowChange, type Transaction} from '@poplarnotch/platform';
import {type MembersView} from '../membership/types.js';
import {emptyAllotment, type Allotment} from './rows.js';

/** The highest demand in the current window and in the previous one. */
export type DemandPeak = {
	readonly startMs: number;
	readonly current: number;
	readonly previous: number;
};

const noPeak: DemandPeak = {startMs: 0, current: 0, previous: 0};

/** A commit whose outcome is pending. */
export type PendingCommit = {
	readonly type: 'own' | 'reclaim';
	/** False if only the requested capacity or the version of this gate's row changes. */
	readonly writesSum: boolean;
	/** The sum over all holders after the commit. */
	readonly held: number;
	readonly amount: number;
	readonly wanted: number;
	/** The holder whose allotment the commit writes: the reclaimed one, or this gate. */
	readonly holder: string;
};

/** What a gate knows about one team's limit and allotments. */
export type TeamState = {
	readonly team: string;
	readonly limit: number;
	/** The sum of the allotments of all holders, and the version of its row. */
	readonly held: number;
	readonly heldVersion: number;
	/** This gate's row as last committed, or as read if another version was found. */
	readonly own: Allotment;
	/** Other gates' rows, by holder. */
	readonly others: ReadonlyMap<string, Allotment>;
	readonly running: number;
	readonly waiting: number;
	/** The number of requests that the gate may run at once; never above `own.amount`. */
	readonly usable: number;
	/** When `usable` was last lowered. */
	readonly loweredAtMs: number;
	/** The last amount that listeners were notified of. */
	readonly notifiedAmount: number;
	readonly pending: PendingCommit | undefined;
	/** True while an earlier commit of this gate's row may still be applied; `usable` must not rise until a later commit supersedes it. */
	readonly hasUnconfirmedCommit: boolean;
	readonly retryAtMs: number;
	/** True until the rows have been read again; no commit starts before that. */
	readonly needsRead: boolean;
	/** Peak demand over `uncontendedWindowMs` and over `contendedWindowMs`. */
	readonly uncontendedPeak: DemandPeak;
	readonly contendedPeak: DemandPeak;
	/** Since when the demand has exceeded the allotment; `undefined` if it does not. */
	readonly shortSinceMs: number | undefined;
	/** Since when the allotment has covered the demand; `undefined` if it does not. */
	readonly coveredSinceMs: number | undefined;
	/** When this gate's allotment last grew, and when it last shrank. */
	readonly increasedAtMs: number;
	readonly decreasedAtMs: number;
};

export type AllotmentState = {
	readonly holder: string;
	readonly teams: ReadonlyMap<string, TeamState>;
	/** When each gone holder was first found gone. */
	readonly goneSinceMs: ReadonlyMap<string, number>;
	/** Holders that are suspected or gone: the capacity that they request does not count. */
	readonly silentHolders: ReadonlySet<string>;
	readonly members: MembersView | undefined;
	readonly longestWorkMs: number;
	/** Work started under the previous settings may run for this long; this value applies until `previousLongestWorkUntilMs`. */
	readonly previousLongestWorkMs: number;
	readonly previousLongestWorkUntilMs: number;
	readonly hasRead: boolean;
	/** When the rows were last read. */
	readonly readAtMs: number;
	readonly isStopping: boolean;
	/** True once another process has reclaimed this gate's allotment, which shows that the gate was replaced. */
	readonly isEvicted: boolean;
	/** Since when it is unknown whether the allotments were reclaimed during a stall; `undefined` if that is known. */
	readonly unverifiedSinceMs: number | undefined;
	readonly lastEventMs: number | undefined;
};

export type AllotmentEvent
	= | {readonly type: 'demandChanged'; readonly nowMs: number; readonly team: string; readonly running: number; readonly waiting: number}
		| {readonly type: 'limitsChanged'; readonly nowMs: number; readonly limits: ReadonlyMap<string, number>; readonly longestWorkMs: number}
	/** `sentAtMs` is when the changes were requested. */
		| {readonly type: 'rowsChanged'; readonly nowMs: number; readonly sentAtMs: number; readonly changes: readonly RowChange[]}
		| {readonly type: 'membersChanged'; readonly nowMs: number; readonly view: MembersView}
		| {readonly type: 'committed'; readonly nowMs: number; readonly team: string; readonly revision: number}
		| {readonly type: 'commitFailed'; readonly nowMs: number; readonly team: string; readonly failure: 'conflict' | 'unavailable' | 'unknown'; readonly random: number}
		| {readonly type: 'tick'; readonly nowMs: number; readonly random: number}
		| {readonly type: 'releaseRequested'; readonly nowMs: number};

export type AllotmentEffect
	= | {readonly type: 'commit'; readonly team: string; readonly transaction: Transaction}
		| {readonly type: 'notify'; readonly team: string; readonly amount: number}
	/** Reads the changes of the rows now. */
		| {readonly type: 'readRows'}
		| {readonly type: 'evicted'}
		| {readonly type: 'reclaimed'; readonly team: string; readonly holder: string; readonly amount: number};

/** The state before the rows were read. */
export const newAllotments = (holder: string): AllotmentState => ({
	holder,
	teams: new Map(),
	goneSinceMs: new Map(),
	silentHolders: new Set(),
	members: undefined,
	longestWorkMs: Number.POSITIVE_INFINITY,
	previousLongestWorkMs: 0,
	previousLongestWorkUntilMs: 0,
	hasRead: false,
	readAtMs: Number.NEGATIVE_INFINITY,
	isStopping: false,
	isEvicted: false,
	unverifiedSinceMs: undefined,
	lastEventMs: undefined,
});

export const newTeam = (team: string): TeamState => ({
	team,
	limit: 0,
	held: 0,
	heldVersion: 0,
	own: emptyAllotment,
	others: new Map(),
	running: 0,
	waiting: 0,
	usable: 0,
	loweredAtMs: 0,
	notifiedAmount: 0,
	pending: undefined,
	hasUnconfirmedCommit: false,
	retryAtMs: 0,
	needsRead: false,
	uncontendedPeak: noPeak,
	contendedPeak: noPeak,
	shortSinceMs: undefined,
	coveredSinceMs: undefined,
	increasedAtMs: Number.NEGATIVE_INFINITY,
	decreasedAtMs: Number.NEGATIVE_INFINITY,
});
