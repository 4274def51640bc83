/**
Types of what processes share through the table service: settings changes, members, leases.
*/
import {
	type Finding, type JsonValue, type SettingsEdit, type SettingsTree,
} from '@poplarnotch/common';
import {type RowCondition} from '@poplarnotch/platform';

/** An accepted change to the settings tree. */
export type SettingsChange = {
	readonly revision: number;
	/** Chosen by the author; a change that is sent again with the same id is applied once. */
	readonly changeId: string;
	readonly author: string;
	readonly reason: string;
	readonly acceptedAtMs: number;
	readonly edits: readonly SettingsEdit[];
};

/** The result of a review of a change. */
export type ReviewOutcome = {
	readonly findings: readonly Finding[];
	/** Rows that the review has read; if one of them changes before the commit, the change is reviewed again. */
	readonly basis: readonly RowCondition[];
};

/** Checks edits beyond the schema and the references, against the tree that they would change. */
export type ChangeReview = (tree: SettingsTree, edits: readonly SettingsEdit[]) => Promise<ReviewOutcome>;

/** A change as requested by its author. */
export type ChangeRequest = {
	readonly changeId: string;
	readonly author: string;
	readonly reason: string;
	readonly edits: readonly SettingsEdit[];
	/** The revision that the author saw; the change conflicts with later changes of the subtrees that it touches. With `undefined` it is based on the newest revision. */
	readonly expectedRevision: number | undefined;
	/** Further rows that must be unchanged, such as the fence of a lease. */
	readonly fences: readonly RowCondition[];
	/** Reviews the change in addition to the tree's own check; without it, only the tree's own check applies. */
	readonly review?: ChangeReview;
};

/** Roles of processes. */
export type ProcessRole = 'gate' | 'controller';

/** A process as registered in the table service under `members/{processId}`. */
export type Member = {
	/** Stable name of the process, from its settings. */
	readonly processId: string;
	/** Revision of the registration; a restarted process has a higher one. */
	readonly incarnation: number;
	readonly role: ProcessRole;
	readonly host: string;
	readonly dataCentre: string;
	readonly region: string;
	/** Base URL of the operations port, which also serves the RPC endpoint `POST /rpc`. */
	readonly operationsUrl: string;
};

/** A lease held by this process. The holder adds `fence` as a condition to every write under the lease. */
export type HeldLease = {
	readonly name: string;
	readonly fence: RowCondition;
	/** The earlier holder if it was replaced on suspicion. Any other has stopped to act on the lease. */
	readonly replaced?: ReplacedHolder | undefined;
	/** Until when a holder that was replaced on suspicion before that one may trust its lease, on this process's clock. */
	readonly earlierTrustedUntilMs?: number | undefined;
	/** What the last holder left to the next one as it released the lease; `undefined` if it left nothing, or did not release the lease. */
	readonly handover?: JsonValue | undefined;
};

/** A holder that was replaced on suspicion, so that it may still act on its lease for a while. */
export type ReplacedHolder = {
	readonly token: number;
	/** Until when it trusts its lease at the latest, on this process's clock. */
	readonly trustedUntilMs: number;
};

/** A lease that may have passed to another process. */
export type UnconfirmedLease = HeldLease & {
	/** When the last confirmed acquisition or renewal was sent. */
	readonly confirmedAtMs: number;
};

