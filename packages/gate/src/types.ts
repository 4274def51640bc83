/**
Events and effects of a gate. The reducer makes all decisions about a request between its arrival and its last byte: key, limits, claim, queue, backend server, retry and refusal. The shell transfers the bytes.

Lifecycle of a request: `requestArrived`, then for non-idempotent requests with an idempotency key `claimKey` and `claimResolved`, then the wait in its pool's queue, then for each attempt `startAttempt` followed by `attemptAnswered` and `attemptEnded`, or by `attemptFailed`.
*/
import {
	type FleetSettings, type LogFields, type PresentedKey, type Problem,
} from '@poplarnotch/common';

/** Identifier of a request in the whole fleet; callers receive it as `x-request-id`. */
export type RequestId = string;

/** A request as the shell passes it to the reducer, before any byte of its body is read (for claimed requests, after the whole body is read). */
export type ArrivedRequest = {
	readonly requestId: RequestId;
	readonly queue: string;
	readonly method: string;
	readonly presentedKey: PresentedKey | undefined;
	readonly idempotencyKey: string | undefined;
	/** SHA-256 of method, path and body; only for requests with an idempotency key. */
	readonly fingerprint: string | undefined;
	/** The caller's `Request-Timeout-Ms`, already checked to be a positive number. */
	readonly timeoutMs: number | undefined;
	/** True if the shell keeps the whole body and can send it again. */
	readonly isReplayable: boolean;
};

/** A recorded outcome of a claimed request. */
export type RecordedOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Base64; `undefined` if the body was too large to record. */
	readonly bodyBase64: string | undefined;
};

/** How a claim in the table service was resolved. */
export type ClaimResolution
	/** This request holds the claim and may run. */
	= | {readonly type: 'claimed'}
	/** Another request with the key is running. */
		| {readonly type: 'running'}
	/** The request with this key has run; its outcome is repeated. */
		| {readonly type: 'recorded'; readonly outcome: RecordedOutcome}
	/** The request with this key may have run; its gate crashed or its answer was incomplete. */
		| {readonly type: 'unknown'}
	/** The key was used with another method, path or body. */
		| {readonly type: 'mismatch'}
	/** The table service is unavailable; nothing was claimed. */
		| {readonly type: 'unavailable'};

/** Progress of an attempt when it failed. */
export type AttemptStage
	/** The connection failed; no byte of the request was written. */
	= | 'not-sent'
	/** Bytes were written, but no byte of an answer was forwarded to the caller. */
		| 'sent'
	/** Part of the answer was forwarded. */
		| 'answering';

/** A backend server that a gate may use. */
export type BackendServer = {
	/** Name of the server's host. */
	readonly host: string;
	readonly pool: string;
	readonly address: string;
	/** False if the host is leaving, in maintenance, or missing from the host list. */
	readonly acceptsWork: boolean;
};

/** The slots and team limits that are allocated to this gate. */
export type GateGrants = {
	/** Slots of each backend server that this gate may fill, by host. */
	readonly slotsByHost: ReadonlyMap<string, number>;
	/** This gate's part of each team's upper limit. */
	readonly allotmentByTeam: ReadonlyMap<string, number>;
	/** Weights of the teams at this gate, by pool and team, allocated by demand over all gates. A team that is missing has its share as weight. */
	readonly weightsByPool?: ReadonlyMap<string, ReadonlyMap<string, number>>;
};

/** An attempt ended without a complete answer. */
export type AttemptFailed = {
	readonly type: 'attemptFailed';
	readonly nowMs: number;
	readonly requestId: RequestId;
	readonly attempt: number;
	readonly stage: AttemptStage;
	readonly reason: string;
	readonly random: number;
};

/** All events. `nowMs` is monotonic; `random` is in [0, 1). */
export type GateEvent
	= | {readonly type: 'requestArrived'; readonly nowMs: number; readonly request: ArrivedRequest; readonly random: number}
		| {readonly type: 'callerGone'; readonly nowMs: number; readonly requestId: RequestId; readonly random: number}
		| {readonly type: 'claimResolved'; readonly nowMs: number; readonly requestId: RequestId; readonly resolution: ClaimResolution; readonly random: number}
		| {readonly type: 'attemptAnswered'; readonly nowMs: number; readonly requestId: RequestId; readonly attempt: number; readonly status: number}
		| {readonly type: 'attemptEnded'; readonly nowMs: number; readonly requestId: RequestId; readonly attempt: number; readonly random: number}
		| AttemptFailed
		| {readonly type: 'settingsChanged'; readonly nowMs: number; readonly settings: FleetSettings; readonly random: number}
		| {readonly type: 'serversChanged'; readonly nowMs: number; readonly servers: readonly BackendServer[]; readonly random: number}
		| {readonly type: 'grantsChanged'; readonly nowMs: number; readonly grants: GateGrants; readonly random: number}
	/** Whether this process may still trust its settings: it may not if it has been unable to confirm them for too long. */
		| {readonly type: 'freshnessChanged'; readonly nowMs: number; readonly isFresh: boolean}
		| {readonly type: 'drainStarted'; readonly nowMs: number}
	/** Sent several times a second: handles expired requests, due probes and slots to release. */
		| {readonly type: 'tick'; readonly nowMs: number; readonly random: number};

/** All effects. */
export type GateEffect
	/** Claim the idempotency key in the table service; the result is a `claimResolved` event. */
	= | {readonly type: 'claimKey'; readonly requestId: RequestId; readonly team: string; readonly idempotencyKey: string; readonly fingerprint: string}
	/** Release the claim: the request was refused and did not run. */
		| {readonly type: 'releaseClaim'; readonly requestId: RequestId}
	/** Record that the outcome of the claimed request can no longer be determined. */
		| {readonly type: 'recordUnknown'; readonly requestId: RequestId}
	/** Send the request to a backend server. The shell itself records the outcome of claimed requests when the answer is complete. */
		| {readonly type: 'startAttempt'; readonly requestId: RequestId; readonly attempt: number; readonly host: string; readonly address: string; readonly timeoutMs: number}
	/** Close the attempt's connection; no further event of this attempt is expected. The attempt of a claimed request whose caller is gone is not aborted: its answer is read to the end and recorded. */
		| {readonly type: 'abortAttempt'; readonly requestId: RequestId; readonly attempt: number}
	/** Answer the caller with a problem; no part of an answer was sent before. */
		| {readonly type: 'refuse'; readonly requestId: RequestId; readonly problem: Problem}
	/** Answer the caller with the recorded outcome. */
		| {readonly type: 'replay'; readonly requestId: RequestId; readonly outcome: RecordedOutcome}
	/** Abort the caller's connection: part of an answer was forwarded and the rest is not available. */
		| {readonly type: 'abortResponse'; readonly requestId: RequestId}
		| {readonly type: 'countMetric'; readonly name: string}
		| {readonly type: 'recordDuration'; readonly name: string; readonly durationMs: number}
		| {readonly type: 'log'; readonly level: 'info' | 'warn'; readonly fields: LogFields};
