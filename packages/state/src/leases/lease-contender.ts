/**
Contends for leases on behalf of one process: runs a reducer for each lease and performs its calls.
*/
import {
	assertNever, type CancelTimer, type Clock, type JsonValue, type Logger, ReducerRuntime, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {ConflictError, failureReason, type TableService} from '@poplarnotch/platform';
import {Deferred} from '../deferred.js';
import {type HeldLease, type UnconfirmedLease} from '../types.js';
import {defaultLeaseMs} from './constants.js';
import {
	type LeaseEffect, type LeaseEvent, type LeaseState, newContender, reduceLease, trustedLease, unconfirmedLease,
} from './lease-reducer.js';
import {fenceKey, leaseRowsFrom, renewalKey} from './rows.js';
import {type LeaseListener, type Leases} from './types.js';

export type LeaseContenderOptions = {
	readonly table: TableService;
	/** Identifies the process and its incarnation, such as `gate-1@1207`; must never be used by another incarnation. */
	readonly holder: string;
	readonly leaseMs?: number;
	/** Prefix of the holder names of this process's earlier runs. Only for processes of which no two can run at once: a lease that an earlier run left behind is acquired without waiting. */
	readonly previousRunPrefix?: string;
	/** How long this process waits before it acquires a free lease, so that better suited processes come first. */
	readonly acquireDelayMs?: () => number;
	/** Time between two reads of a lease that another process holds; `undefined` for the interval of renewals. */
	readonly readIntervalMs?: () => number | undefined;
	readonly clock?: Clock;
	readonly log?: Logger;
};

const tickMs = 100;

/** The process's contention for one lease. */
type Contention = {
	readonly runtime: ReducerRuntime<LeaseState, LeaseEvent, LeaseEffect>;
	readonly listener: LeaseListener;
	readonly withdrawn: Deferred<undefined>;
};

/** The leases of this process. */
export class LeaseContender implements Leases {
	readonly #table: TableService;
	readonly #holder: string;
	readonly #leaseMs: number;
	readonly #previousRunPrefix: string;
	readonly #acquireDelayMs: () => number;
	readonly #readIntervalMs: () => number | undefined;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #contentions = new Map<string, Contention>();
	#cancelTick: CancelTimer | undefined;

	constructor(options: LeaseContenderOptions) {
		this.#table = options.table;
		this.#holder = options.holder;
		this.#leaseMs = options.leaseMs ?? defaultLeaseMs;
		this.#previousRunPrefix = options.previousRunPrefix ?? '';
		this.#acquireDelayMs = options.acquireDelayMs ?? (() => 0);
		this.#readIntervalMs = options.readIntervalMs ?? (() => undefined);
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	contend(name: string, listener: LeaseListener): void {
		if (this.#contentions.has(name)) {
			return;
		}

		const runtime = new ReducerRuntime(newContender(name, this.#holder, this.#leaseMs, this.#previousRunPrefix), reduceLease, effect => {
			this.#perform(name, effect);
		});
		this.#contentions.set(name, {runtime, listener, withdrawn: new Deferred()});
		this.#dispatch(name, {type: 'tick', nowMs: this.#clock.nowMs()});
		this.#keepTicking();
	}

	async withdraw(name: string, handover?: JsonValue): Promise<void> {
		const contention = this.#contentions.get(name);
		if (contention !== undefined) {
			this.#dispatch(name, {type: 'withdrawRequested', nowMs: this.#clock.nowMs(), handover});
			// Others wait for the lease, so it is released without waiting for the next tick.
			this.#dispatch(name, {type: 'tick', nowMs: this.#clock.nowMs()});
			await contention.withdrawn.promise;
		}
	}

	heldLease(name: string): HeldLease | undefined {
		const state = this.#contentions.get(name)?.runtime.state;
		return state === undefined ? undefined : trustedLease(state, this.#clock.nowMs());
	}

	/** The lease as it was last confirmed, also after it is no longer trusted, until this process learns that another one holds it. */
	unconfirmedLease(name: string): UnconfirmedLease | undefined {
		const state = this.#contentions.get(name)?.runtime.state;
		return state === undefined ? undefined : unconfirmedLease(state);
	}

	/** Tries to acquire the lease at once: the holder with the token is believed to be lost, or has released it. */
	suspectHolder(name: string, fencingToken: number): void {
		this.#dispatch(name, {type: 'holderSuspected', nowMs: this.#clock.nowMs(), fencingToken});
	}

	/** Withdraws the suspicion of the holder with the token. */
	clearHolder(name: string, fencingToken: number): void {
		this.#dispatch(name, {type: 'holderCleared', fencingToken});
	}

	/** Releases all leases. */
	async withdrawAll(): Promise<void> {
		await Promise.all([...this.#contentions.keys()].map(async name => this.withdraw(name)));
	}

	/** Stops without releasing anything; the leases expire. */
	close(): void {
		this.#cancelTick?.();
		this.#cancelTick = undefined;
		this.#contentions.clear();
	}

	#keepTicking(): void {
		this.#cancelTick ??= this.#clock.schedule(tickMs, () => {
			this.#cancelTick = undefined;
			for (const name of this.#contentions.keys()) {
				this.#dispatch(name, {type: 'tick', nowMs: this.#clock.nowMs()});
			}

			if (this.#contentions.size > 0) {
				this.#keepTicking();
			}
		});
	}

	#dispatch(name: string, event: LeaseEvent): void {
		this.#contentions.get(name)?.runtime.dispatch(event);
	}

	#perform(name: string, effect: LeaseEffect): void {
		switch (effect.type) {
			case 'read': {
				void this.#call(name, async sentAtMs => {
					const rows = await this.#table.readRows([fenceKey(name), renewalKey(name)]);
					return {
						type: 'rowsRead', nowMs: this.#clock.nowMs(), sentAtMs, rows: leaseRowsFrom(name, rows), acquireDelayMs: this.#acquireDelayMs(), readIntervalMs: this.#readIntervalMs(),
					};
				});
				break;
			}

			case 'commit': {
				void this.#call(name, async sentAtMs => {
					const {revision} = await this.#table.commit(effect.transaction);
					return {
						type: 'committed', nowMs: this.#clock.nowMs(), sentAtMs, revision,
					};
				});
				break;
			}

			case 'notify': {
				this.#notify(name, effect.lease);
				break;
			}

			case 'withdrawn': {
				this.#contentions.get(name)?.withdrawn.resolve(undefined);
				this.#contentions.delete(name);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#notify(name: string, lease: HeldLease | undefined): void {
		this.#log.info({event: lease === undefined ? 'lease_lost' : 'lease_won', lease: name, fence: lease?.fence.version});
		this.#contentions.get(name)?.listener(lease);
	}

	async #call(name: string, perform: (sentAtMs: number) => Promise<LeaseEvent>): Promise<void> {
		let event: LeaseEvent;
		try {
			event = await perform(this.#clock.nowMs());
		} catch (error) {
			event = this.#eventOf(error);
		}

		this.#dispatch(name, event);
	}

	#eventOf(error: unknown): LeaseEvent {
		const nowMs = this.#clock.nowMs();
		if (error instanceof ConflictError) {
			return {type: 'conflicted', nowMs};
		}

		failureReason(this.#log, 'lease call', error);
		return {type: 'failed', nowMs};
	}
}
