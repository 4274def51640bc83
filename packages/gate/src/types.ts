/**
State, events and effects of a gate. The reducer decides everything about a request between its arrival and its last byte: key, limits, claim, queue, backend server, retry and refusal. The shell moves bytes.

Life of a request: `requestArrived`, then for keyed non-idempotent requests `claimKey` and `claimSettled`, then the wait in its pool's queue, then for each attempt `startAttempt` followed by `attemptAnswered` and `attemptEnded`, or by `attemptFailed`.
*/
import {
	type FleetSettings, type LogFields, type PresentedKey, type Problem,
} from '@poplarnotch/common';

/** Identifies a request over the whole fleet; callers see it as `x-request-id`. */
export type RequestId = string;

/** A request as the shell presents it, before any byte of its body is read (or, for claimed requests, after the whole body is). */
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
	/** True where the shell holds the whole body and can send it again. */
	readonly isReplayable: boolean;
};

/** A recorded outcome of a claimed request. */
export type RecordedOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Base64; `undefined` where the body was too large to record. */
	readonly bodyBase64: string | undefined;
};

/** How a claim in the table service was settled. */
export type ClaimResolution
	/** This request holds the claim and may run. */
	= | {readonly type: 'claimed'}
	/** Another request with the key is running. */
		| {readonly type: 'running'}
	/** The key's request ran; its outcome is repeated. */
		| {readonly type: 'recorded'; readonly outcome: RecordedOutcome}
	/** The key's request may have run; its gate died or its answer was cut. */
		| {readonly type: 'unknown'}
	/** The key was used with another method, path or body. */
		| {readonly type: 'mismatch'}
	/** The table service is down; nothing was claimed. */
		| {readonly type: 'unavailable'};

/** How far a failed attempt had come. */
export type AttemptStage
	/** No byte of the request was written: connecting failed. */
	= | 'not-sent'
	/** Bytes were written, no byte of an answer was passed on to the caller. */
		| 'sent'
	/** Part of the answer was passed on. */
		| 'answering';

/** A backend server that a gate may use. */
export type BackendServer = {
	/** The name of its host. */
	readonly host: string;
	readonly pool: string;
	readonly address: string;
	/** False where the host is leaving, in maintenance, or gone from the host list. */
	readonly acceptsWork: boolean;
};

/** This gate's part of what all gates share. */
export type GateGrants = {
	/** Slots of each backend server that this gate may fill, by host. */
	readonly slotsByHost: ReadonlyMap<string, number>;
	/** Part of each team's upper limit that this gate holds. */
	readonly allotmentByTeam: ReadonlyMap<string, number>;
	/** Weights of the teams at this gate, by pool and team, as dealt out over all gates; a team that is not named has its share as weight. */
	readonly weightsByPool?: ReadonlyMap<string, ReadonlyMap<string, number>>;
};

/** An attempt ended without a whole answer. */
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
		| {readonly type: 'claimSettled'; readonly nowMs: number; readonly requestId: RequestId; readonly resolution: ClaimResolution; readonly random: number}
		| {readonly type: 'attemptAnswered'; readonly nowMs: number; readonly requestId: RequestId; readonly attempt: number; readonly status: number}
		| {readonly type: 'attemptEnded'; readonly nowMs: number; readonly requestId: RequestId; readonly attempt: number; readonly random: number}
		| AttemptFailed
		| {readonly type: 'settingsChanged'; readonly nowMs: number; readonly settings: FleetSettings; readonly random: number}
		| {readonly type: 'serversChanged'; readonly nowMs: number; readonly servers: readonly BackendServer[]; readonly random: number}
		| {readonly type: 'grantsChanged'; readonly nowMs: number; readonly grants: GateGrants; readonly random: number}
	/** Whether this process may still trust its settings (see the freshness rule in docs/DESIGN.md). */
		| {readonly type: 'freshnessChanged'; readonly nowMs: number; readonly isFresh: boolean}
		| {readonly type: 'drainStarted'; readonly nowMs: number}
	/** Comes several times a second: expiry of waiting and running requests, probes, releases. */
		| {readonly type: 'tick'; readonly nowMs: number; readonly random: number};

/** All effects. */
export type GateEffect
	/** Claim the idempotency key in the table service; answered by `claimSettled`. */
	= | {readonly type: 'claimKey'; readonly requestId: RequestId; readonly team: string; readonly idempotencyKey: string; readonly fingerprint: string}
	/** Give the claim back: the request was refused and did not run. */
		| {readonly type: 'releaseClaim'; readonly requestId: RequestId}
	/** The claimed request's outcome can no longer be learned. */
		| {readonly type: 'recordUnknown'; readonly requestId: RequestId}
	/** Send the request to a backend server. The shell records the outcome of claimed requests itself when the answer is whole. */
		| {readonly type: 'startAttempt'; readonly requestId: RequestId; readonly attempt: number; readonly host: string; readonly address: string; readonly timeoutMs: number}
	/** Close the attempt's connection; no further event of this attempt is expected. A claimed request whose caller is gone is not aborted: its answer is read to the end and recorded. */
		| {readonly type: 'abortAttempt'; readonly requestId: RequestId; readonly attempt: number}
	/** Answer the caller with a problem; nothing was answered before. */
		| {readonly type: 'refuse'; readonly requestId: RequestId; readonly problem: Problem}
	/** Answer the caller with the recorded outcome. */
		| {readonly type: 'replay'; readonly requestId: RequestId; readonly outcome: RecordedOutcome}
	/** Break off the caller's connection: part of an answer was passed on and the rest will not come. */
		| {readonly type: 'breakOff'; readonly requestId: RequestId}
		| {readonly type: 'countMetric'; readonly name: string}
		| {readonly type: 'recordDuration'; readonly name: string; readonly durationMs: number}
		| {readonly type: 'log'; readonly level: 'info' | 'warn'; readonly fields: LogFields};
