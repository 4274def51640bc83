/**
Decides whether the holder of the scheduler's lease goes on scheduling although it could not renew the lease in time: during an outage of the table service for every process, no other process can have acquired it.

Another process may acquire the lease a whole lease time after the last renewal at the earliest. Evidence of a full outage moves that time forward, since a contender's wait starts again after a failed read. The evidence must not be interrupted for longer than that: evidence gathered after a gap does not show whether another process acquired the lease in the gap. After such a gap only the table service can confirm the lease.
*/
import {
	type Clock, type Logger, type MetricsRegistry,
} from '@poplarnotch/common';
import {type OutageKnowledge, type UnconfirmedLease} from '@poplarnotch/state';

/** A contender may have seen the last answer that counts for its wait this long before it reported that its calls fail: the longest interval between two reads, with the permitted excess. */
const maxReadGapMs = 2000;

export type LeaseContinuationOptions = {
	/** `undefined` if scheduling during an outage is switched off. */
	readonly outage: OutageKnowledge | undefined;
	readonly leaseMs: number;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class LeaseContinuation {
	readonly #options: LeaseContinuationOptions;
	#fencingToken: number | undefined;
	/** No other process can have acquired the lease until then. */
	#exclusiveUntilMs = Number.NEGATIVE_INFINITY;
	/** Renewals that were sent before the process was suspended do not count. */
	#invalidUntilMs = Number.NEGATIVE_INFINITY;
	#continuesSinceMs: number | undefined;

	constructor(options: LeaseContinuationOptions) {
		this.#options = options;
	}

	/** Returns true if the holder may go on at this moment with a lease that it has ceased to trust. Must be called on each round, since each call extends the continuation. */
	mayContinue(lease: UnconfirmedLease | undefined): boolean {
		const {outage, leaseMs, clock} = this.#options;
		if (outage === undefined || lease === undefined) {
			this.#end('lease-lost');
			return false;
		}

		if (lease.fence.version !== this.#fencingToken) {
			this.#fencingToken = lease.fence.version;
			this.#exclusiveUntilMs = Number.NEGATIVE_INFINITY;
		}

		const nowMs = clock.nowMs();
		if (lease.confirmedAtMs > this.#invalidUntilMs) {
			this.#exclusiveUntilMs = Math.max(this.#exclusiveUntilMs, lease.confirmedAtMs + leaseMs);
		}

		const evidenceAtMs = nowMs < this.#exclusiveUntilMs ? outage.evidenceAtMs() : undefined;
		if (evidenceAtMs === undefined) {
			this.#end('no-evidence');
			return false;
		}

		this.#exclusiveUntilMs = Math.max(this.#exclusiveUntilMs, evidenceAtMs + leaseMs - maxReadGapMs);
		if (this.#continuesSinceMs === undefined) {
			this.#continuesSinceMs = nowMs;
			this.#options.log.warn({
				event: 'store_outage_confirmed', fencingToken: this.#fencingToken, unconfirmedMs: Math.round(nowMs - lease.confirmedAtMs), peers: outage.peerCount,
			});
		}

		return true;
	}

	/** Records that a round was run without a confirmed lease. */
	countRound(): void {
		this.#options.metrics.increment('outage_rounds');
	}

	/** Records that the lease is confirmed again. */
	confirm(): void {
		this.#end('renewed');
	}

	/** Ends the continuation for good, for use when the process was suspended: what happened meanwhile is unknown. Only a confirmed renewal permits another. */
	invalidate(): void {
		this.#end('process-suspended');
		this.#exclusiveUntilMs = Number.NEGATIVE_INFINITY;
		this.#invalidUntilMs = this.#options.clock.nowMs();
	}

	#end(reason: string): void {
		if (this.#continuesSinceMs !== undefined) {
			this.#options.log.warn({
				event: 'store_outage_ended', reason, durationMs: Math.round(this.#options.clock.nowMs() - this.#continuesSinceMs), peers: this.#options.outage?.peerCount ?? 0,
			});
			this.#continuesSinceMs = undefined;
		}
	}
}
