/**
State, events and effects of a settings replica: the copy of the settings that each process holds.

A process may use its copy while it is confirmed. `confirmedAtMs` is a time before which every accepted change is in the copy: when the last read of the table service that returned nothing newer was sent, or the same time reported by a peer. `quorumAtMs` is a time before which every change that a majority of the members held is in the copy; it lets the process continue during an outage of the table service. Peers report both as ages.
*/
import {type SettingsChange} from '../types.js';
import {type TreeAtRevision} from './rows.js';

/** A process's response about the state of its copy. */
export type PeerSettingsResponse = {
	readonly processId: string;
	readonly revision: number;
	/** Whether the copy was confirmed after the process started; before that it may be older than the copy of the previous run. */
	readonly hasFloor: boolean;
	/** Age of `confirmedAtMs` at the time of the response; `undefined` if the copy was never confirmed. */
	readonly confirmedAgeMs: number | undefined;
	readonly quorumAgeMs: number | undefined;
	/** Changes after the requested revision; empty if the peer no longer keeps all of them. */
	readonly changes: readonly SettingsChange[];
};

/** The last response of a member: when it was requested, and its revision. */
export type PeerReport = {
	/** When the request was sent; the response is at least as recent. */
	readonly sentAtMs: number;
	readonly revision: number;
};

/** State of a replica. */
export type ReplicaState = {
	readonly selfId: string;
	readonly startedAtMs: number;
	/** `undefined` until a first tree has arrived. */
	readonly held: TreeAtRevision | undefined;
	/** The latest changes up to `held`, oldest first. */
	readonly recent: readonly SettingsChange[];
	readonly confirmedAtMs: number | undefined;
	readonly quorumAtMs: number | undefined;
	/** Ids of the registered members in the order of `sortMembers`; `undefined` until known. */
	readonly members: readonly string[] | undefined;
	readonly peerReports: ReadonlyMap<string, PeerReport>;
	/** When the pending read of the log was sent. */
	readonly pollSentAtMs: number | undefined;
	readonly lastPollAtMs: number | undefined;
	readonly isTableReached: boolean;
	readonly lastPeerQueryAtMs: number | undefined;
	/** True while a whole tree is being fetched. */
	readonly isLoading: boolean;
	readonly lastLoadAtMs: number | undefined;
	readonly isFresh: boolean;
};

/** All events. */
export type ReplicaEvent
	/** Dispatched several times per second, and before a decision that depends on freshness. */
	= | {readonly type: 'tick'; readonly nowMs: number; readonly members: readonly string[] | undefined}
	/** A read of the log returned. */
		| {readonly type: 'logRead'; readonly nowMs: number; readonly sentAtMs: number; readonly changes: readonly SettingsChange[]; readonly hasGap: boolean; readonly hasMore: boolean}
		| {readonly type: 'logReadFailed'; readonly nowMs: number; readonly sentAtMs: number}
		| {readonly type: 'treeLoaded'; readonly nowMs: number; readonly sentAtMs: number; readonly source: 'table' | 'peer'; readonly stored: TreeAtRevision}
		| {readonly type: 'treeLoadFailed'; readonly nowMs: number; readonly source: 'table' | 'peer'}
		| {readonly type: 'peerAnswered'; readonly nowMs: number; readonly sentAtMs: number; readonly answer: PeerSettingsResponse}
	/** A peer, or this process's own store, sent changes. */
		| {readonly type: 'changesOffered'; readonly nowMs: number; readonly changes: readonly SettingsChange[]};

/** All effects. */
export type ReplicaEffect
	= | {readonly type: 'readLog'; readonly afterRevision: number; readonly sentAtMs: number}
	/** Loads the newest tree from the table service and the object store. */
		| {readonly type: 'loadTree'; readonly sentAtMs: number}
		| {readonly type: 'fetchTree'; readonly peerId: string; readonly sentAtMs: number}
		| {readonly type: 'askPeer'; readonly peerId: string; readonly afterRevision: number; readonly sentAtMs: number}
		| {readonly type: 'pushChanges'; readonly peerId: string; readonly changes: readonly SettingsChange[]}
	/** The copy has a higher revision. */
		| {readonly type: 'settingsAdvanced'; readonly stored: TreeAtRevision}
		| {readonly type: 'freshnessChanged'; readonly isFresh: boolean};
