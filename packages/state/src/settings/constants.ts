/**
Sizes, limits and times of the shared settings.
*/
import {type BackoffOptions} from '@poplarnotch/platform';

/** Number of changes between two snapshots of the tree. */
export const snapshotEveryChanges = 500;

/** Number of changes that stay in the log after a snapshot covers them, for history, rollback and change ids. */
export const keptLogChanges = 10_000;

/** Page size of reads of the log, in rows. */
export const logPageRows = 200;

/** Attempts to commit one change when unrelated changes are committed first. */
export const maxCommitAttempts = 12;

/** Time limit for resolving a commit whose response was lost. */
export const resolveTimeoutMs = 5000;

/** Backoff between attempts, before jitter. */
export const retryBackoff: BackoffOptions = {firstMs: 25, longestMs: 400};

/** Interval between reads of the log. */
export const pollIntervalMs = 750;

/** A read of the log that takes longer counts as failed; a late response is still used. */
export const pollTimeoutMs = 600;

/** Age of the last confirmation at which a process queries peers while it reaches the table service. */
export const queryPeersAfterMs = 900;

/** Age of the last confirmation at which a process queries peers while it does not reach the table service. */
export const queryPeersInOutageAfterMs = 500;

/** Age of the last confirmation at which a process queries all members, so that a majority can confirm its copy. */
export const queryAllPeersAfterMs = 1300;

/** Interval between rounds of peer queries. */
export const peerQueryIntervalMs = 350;

/** Oldest confirmation with which requests with an API key are accepted. Below the 2 s within which a withdrawn key must be rejected. */
export const maxConfirmationAgeMs = 1800;

/** Number of changes that a process keeps in memory to send to peers. */
export const maxRecentChanges = 200;

/** Interval between attempts to load the tree. */
export const loadRetryMs = 500;

/** Time after which a process that lacks a revision held by a majority no longer trusts its copy: `maxConfirmationAgeMs` and a margin. */
export const failClosedAfterMs = 2000;
