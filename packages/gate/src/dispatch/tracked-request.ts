/**
A request between its arrival and its final outcome. The record is mutable and owned by the reducer alone.
*/
import {type ArrivedRequest, type RequestId} from '../types.js';
import {type TimerHandle} from './timer-wheel.js';
import {type QueuePosition} from './fair-queue.js';

/** Phase of a request. An `abandoned` request has its final outcome and only waits until its claim is resolved. */
export type RequestPhase = 'claiming' | 'waiting' | 'running' | 'abandoned';

/** What an expired timer refers to: a request whose current phase has ended, or a slot to release. */
export type Timer
	= | {readonly type: 'request'; readonly requestId: RequestId}
	/** The grace period in which a backend server stops aborted work has ended. */
		| {readonly type: 'slot'; readonly slot: HeldSlot};

/** A slot acquired on a backend server. It is released for the same host, pool and team for which it was acquired, even if the settings have changed since. */
export type HeldSlot = {
	readonly host: string;
	readonly pool: string;
	readonly team: string;
	readonly acquiredAtMs: number;
	readonly graceMs: number;
};

/** The running attempt of a request. */
export type RunningAttempt = {
	readonly slot: HeldSlot;
	wasAnswered: boolean;
	isSuccess: boolean;
};

export type TrackedRequest = {
	readonly requestId: RequestId;
	readonly arrived: ArrivedRequest;
	readonly team: string;
	readonly queue: string;
	readonly pool: string;
	readonly isUrgent: boolean;
	readonly isIdempotent: boolean;
	readonly isClaimed: boolean;
	readonly arrivedAtMs: number;
	/** Time at which the caller's timeout ends. */
	readonly deadlineMs: number;
	/** Time at which the queue's maximum waiting time ends. */
	readonly waitUntilMs: number;
	phase: RequestPhase;
	attempts: number;
	triedHosts: readonly string[];
	/** True if a byte of an earlier attempt may have reached a backend server. */
	mayHaveBeenSent: boolean;
	isCallerGone: boolean;
	/** Time at which the queue's maximum run time ends, counted from the first dispatch. */
	runUntilMs: number;
	waiting: QueuePosition<TrackedRequest> | undefined;
	running: RunningAttempt | undefined;
	timer: TimerHandle<Timer> | undefined;
};
