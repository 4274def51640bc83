/**
Contends for leases on behalf of one process: performs the calls that each lease's reducer asks for.
*/
import {
	assertNever, type CancelTimer, type Clock, type Logger, ReducerRuntime, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {ConflictError, PlatformError, type TableService} from '@poplarnotch/platform';
import {Deferred} from '../deferred.js';
import {type HeldLease} from '../types.js';
import {defaultLeaseMs} from './constants.js';
import {
	type LeaseEffect, type LeaseEvent, type LeaseState, newContender, reduceLease, trustedLease,
} from './lease-reducer.js';
import {fenceKey, leaseRowsFrom, renewalKey} from './rows.js';
import {type LeaseListener, type Leases} from './types.js';

export type LeaseContenderOptions = {
	readonly table: TableService;
	/** Identifies the process and its incarnation, such as `gate-1@1207`; must never be used by another run. */
	readonly holder: string;
	readonly leaseMs?: number;
	/** Start of the holder names of this process's earlier runs. Only for processes of which no two can run at once: a lease that an earlier run left behind is taken without waiting. */
	readonly formerRunPrefix?: string;
	/** How long a free lease is left to others that are better suited at the moment. */
	readonly standBackMs?: () => number;
	readonly clock?: Clock;
	readonly log?: Logger;
};

const tickMs = 100;

/** One lease that the process contends for. */
type Contest = {
	readonly runtime: ReducerRuntime<LeaseState, LeaseEvent, LeaseEffect>;
	readonly listener: LeaseListener;
	readonly withdrawn: Deferred<undefined>;
};

/** The leases of this process. */
export class LeaseContender implements Leases {
	readonly #table: TableService;
	readonly #holder: string;
	readonly #leaseMs: number;
	readonly #formerRunPrefix: string;
	readonly #standBackMs: () => number;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #contests = new Map<string, Contest>();
	#cancelTick: CancelTimer | undefined;

	constructor(options: LeaseContenderOptions) {
		this.#table = options.table;
		this.#holder = options.holder;
		this.#leaseMs = options.leaseMs ?? defaultLeaseMs;
		this.#formerRunPrefix = options.formerRunPrefix ?? '';
		this.#standBackMs = options.standBackMs ?? (() => 0);
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
	}

	contend(name: string, listener: LeaseListener): void {
		if (this.#contests.has(name)) {
			return;
		}

		const runtime = new ReducerRuntime(newContender(name, this.#holder, this.#leaseMs, this.#formerRunPrefix), reduceLease, effect => {
			this.#perform(name, effect);
		});
		this.#contests.set(name, {runtime, listener, withdrawn: new Deferred()});
		this.#dispatch(name, {type: 'tick', nowMs: this.#clock.nowMs()});
		this.#keepTicking();
	}

	async withdraw(name: string): Promise<void> {
		const contest = this.#contests.get(name);
		if (contest !== undefined) {
			this.#dispatch(name, {type: 'withdrawRequested', nowMs: this.#clock.nowMs()});
			await contest.withdrawn.promise;
		}
	}

	heldLease(name: string): HeldLease | undefined {
		const state = this.#contests.get(name)?.runtime.state;
		return state === undefined ? undefined : trustedLease(state, this.#clock.nowMs());
	}

	/** Gives up all leases. */
	async withdrawAll(): Promise<void> {
		await Promise.all([...this.#contests.keys()].map(async name => this.withdraw(name)));
	}

	/** Stops without releasing anything; the leases lapse. */
	close(): void {
		this.#cancelTick?.();
		this.#cancelTick = undefined;
		this.#contests.clear();
	}

	#keepTicking(): void {
		this.#cancelTick ??= this.#clock.schedule(tickMs, () => {
			this.#cancelTick = undefined;
			for (const name of this.#contests.keys()) {
				this.#dispatch(name, {type: 'tick', nowMs: this.#clock.nowMs()});
			}

			if (this.#contests.size > 0) {
				this.#keepTicking();
			}
		});
	}

	#dispatch(name: string, event: LeaseEvent): void {
		this.#contests.get(name)?.runtime.dispatch(event);
	}

	#perform(name: string, effect: LeaseEffect): void {
		switch (effect.type) {
			case 'read': {
				void this.#call(name, async sentAtMs => {
					const rows = await this.#table.readRows([fenceKey(name), renewalKey(name)]);
					return {
						type: 'rowsRead', nowMs: this.#clock.nowMs(), sentAtMs, rows: leaseRowsFrom(name, rows), standBackMs: this.#standBackMs(),
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
				this.#contests.get(name)?.withdrawn.resolve(undefined);
				this.#contests.delete(name);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#notify(name: string, lease: HeldLease | undefined): void {
		this.#log.info({event: lease === undefined ? 'lease_lost' : 'lease_won', lease: name, fence: lease?.fence.version});
		this.#contests.get(name)?.listener(lease);
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

		if (error instanceof PlatformError) {
			return {type: 'failed', nowMs, mayBeApplied: error.mayBeApplied};
		}

		throw error;
	}
}
