/**
Runs the allotments reducer of a gate: reads the changes of the rows, commits, and notifies the gate of how many requests it may run at once.
*/
import {
	assertNever, type CancelTimer, type Clock, type FleetSettings, type Logger, MetricsRegistry, type RandomSource, ReducerRuntime, silentLogger, SystemClock, SystemRandom,
} from '@poplarnotch/common';
import {
	ConflictError, PlatformError, type TableService, type Transaction,
} from '@poplarnotch/platform';
import {Deferred} from '../deferred.js';
import {type MembersSource} from '../membership/types.js';
import {type Member} from '../types.js';
import {
	allotmentPollMs, allotmentTickMs, stallLimitMs, unmetDemandPollMs,
} from './constants.js';
import {reduceAllotments} from './reducer.js';
import {allotmentsPrefix, holderId} from './rows.js';
import {
	type AllotmentEffect, type AllotmentEvent, type AllotmentState, newAllotments,
} from './state.js';
import {type AllotmentListener, type Allotments, type TeamDemand} from './types.js';
import {demandOf} from './target-amount.js';

export type AllotmentManagerOptions = {
	readonly table: TableService;
	readonly members: MembersSource;
	/** The registration of this gate's process. */
	readonly self: Pick<Member, 'processId' | 'incarnation'>;
	readonly clock?: Clock;
	readonly random?: RandomSource;
	readonly log?: Logger;
	readonly metrics?: MetricsRegistry;
};

/** The longest time that any work may take: the longest run time of a queue plus the longest cancellation grace of a pool. */
const longestWorkOf = (settings: FleetSettings): number => {
	const runMs = [...settings.queues.values()].map(queue => queue.maxRunMs);
	const graceMs = [...settings.pools.values()].map(pool => pool.cancelGraceMs);
	return Math.max(0, ...runMs) + Math.max(0, ...graceMs);
};

/** Interval at which reported demand is passed to the reducer in batches; it is also passed before any other event. */
const demandBatchMs = 20;

const hasAllotments = (state: AllotmentState): boolean =>
	[...state.teams.values()].some(team => team.own.version > 0 && (team.own.amount > 0 || team.pending !== undefined));

const hasUnmetDemand = (state: AllotmentState): boolean =>
	[...state.teams.values()].some(team => demandOf(team) > team.own.amount);

/** The allotments of one gate. */
export class AllotmentManager implements Allotments {
	readonly #table: TableService;
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #log: Logger;
	readonly #metrics: MetricsRegistry;
	readonly #runtime: ReducerRuntime<AllotmentState, AllotmentEvent, AllotmentEffect>;
	readonly #listeners: AllotmentListener[] = [];
	readonly #decisionListeners: Array<() => void> = [];
	readonly #demands = new Map<string, TeamDemand>();
	readonly #released = new Deferred<undefined>();
	#cancelTick: CancelTimer | undefined;
	#cancelDemand: CancelTimer | undefined;
	#cancelPoll: CancelTimer | undefined;
	#revision = 0;
	#isReading = false;
	#isClosed = false;

	constructor(options: AllotmentManagerOptions) {
		this.#table = options.table;
		this.#clock = options.clock ?? new SystemClock();
		this.#random = options.random ?? new SystemRandom();
		this.#log = options.log ?? silentLogger;
		this.#metrics = options.metrics ?? new MetricsRegistry();
		const holder = holderId(options.self.processId, options.self.incarnation);
		this.#runtime = new ReducerRuntime(newAllotments(holder), reduceAllotments, effect => {
			this.#perform(effect);
		});
		const dispatchMembers = (): void => {
			const view = options.members.view();
			if (view !== undefined) {
				this.#dispatch({type: 'membersChanged', nowMs: this.#clock.nowMs(), view});
			}
		};

		options.members.onChange(dispatchMembers);
		dispatchMembers();
	}

	start(): void {
		this.#tick();
		void this.#read();
	}

	/** Sets the limits and the longest work time from the settings in force. */
	applySettings(settings: FleetSettings): void {
		const limits = new Map([...settings.teams].map(([name, team]) => [name, team.upperLimit]));
		this.#dispatch({
			type: 'limitsChanged', nowMs: this.#clock.nowMs(), limits, longestWorkMs: longestWorkOf(settings),
		});
	}

	reportDemand(demand: TeamDemand): void {
		this.#demands.set(demand.team, demand);
		this.#cancelDemand ??= this.#clock.schedule(demandBatchMs, () => {
			this.#dispatchDemands();
		});
	}

	amountOf(team: string): number {
		const {state} = this.#runtime;
		const isStalled = state.lastEventMs !== undefined && this.#clock.nowMs() - state.lastEventMs >= stallLimitMs;
		return isStalled ? 0 : state.teams.get(team)?.notifiedAmount ?? 0;
	}

	onChange(listener: AllotmentListener): void {
		this.#listeners.push(listener);
	}

	beforeDecision(listener: () => void): void {
		this.#decisionListeners.push(listener);
	}

	async releaseAll(timeoutMs: number): Promise<void> {
		const cancel = this.#clock.schedule(timeoutMs, () => {
			this.#released.resolve(undefined);
		});
		this.#dispatch({type: 'releaseRequested', nowMs: this.#clock.nowMs()});
		await this.#released.promise;
		cancel();
	}

	close(): void {
		this.#isClosed = true;
		this.#cancelTick?.();
		this.#cancelDemand?.();
		this.#cancelPoll?.();
	}

	/** The state for dumps. */
	get state(): AllotmentState {
		return this.#runtime.state;
	}

	#tick(): void {
		if (this.#isClosed) {
			return;
		}

		this.#cancelTick = this.#clock.schedule(allotmentTickMs, () => {
			this.#tick();
		});
		this.#dispatch({type: 'tick', nowMs: this.#clock.nowMs(), random: this.#random.next()});
		if (this.#runtime.state.isStopping && !hasAllotments(this.#runtime.state)) {
			this.#released.resolve(undefined);
		}
	}

	#dispatchDemands(): void {
		this.#cancelDemand?.();
		this.#cancelDemand = undefined;
		const demands = [...this.#demands.values()];
		this.#demands.clear();
		for (const demand of demands) {
			this.#runtime.dispatch({type: 'demandChanged', nowMs: this.#clock.nowMs(), ...demand});
		}
	}

	#dispatch(event: AllotmentEvent): void {
		if (!this.#isClosed) {
			for (const listener of this.#decisionListeners) {
				listener();
			}

			this.#dispatchDemands();
			this.#runtime.dispatch(event);
		}
	}

	async #read(): Promise<void> {
		if (this.#isReading || this.#isClosed) {
			return;
		}

		this.#isReading = true;
		this.#cancelPoll?.();
		try {
			await this.#readAllChanges();
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#metrics.increment('allotment_reads_failed_total');
		} finally {
			this.#isReading = false;
		}

		if (!this.#isClosed) {
			const delayMs = hasUnmetDemand(this.#runtime.state) ? unmetDemandPollMs : allotmentPollMs;
			this.#cancelPoll = this.#clock.schedule(delayMs, () => {
				void this.#read();
			});
		}
	}

	async #readAllChanges(): Promise<void> {
		const sentAtMs = this.#clock.nowMs();
		for (let hasMore = true; hasMore;) {
			const page = await this.#table.changesSince(allotmentsPrefix, this.#revision);
			this.#revision = page.revision;
			hasMore = page.hasMore;
			this.#dispatch({
				type: 'rowsChanged',
				nowMs: this.#clock.nowMs(),
				// Only after the last page is every change up to the time of the request known.
				sentAtMs: hasMore ? Number.NEGATIVE_INFINITY : sentAtMs,
				changes: page.changes,
			});
		}
	}

	#perform(effect: AllotmentEffect): void {
		switch (effect.type) {
			case 'commit': {
				void this.#commit(effect.team, effect.transaction);
				break;
			}

			case 'notify': {
				for (const listener of this.#listeners) {
					listener(effect.team, effect.amount);
				}

				break;
			}

			case 'readRows': {
				void this.#read();
				break;
			}

			case 'evicted': {
				this.#log.error({event: 'allotments_lost', holder: this.#runtime.state.holder});
				break;
			}

			case 'reclaimed': {
				const {team, holder, amount} = effect;
				this.#metrics.increment('allotments_reclaimed_total');
				this.#log.info({
					event: 'allotment_reclaimed', team, holder, amount,
				});
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	async #commit(team: string, transaction: Transaction): Promise<void> {
		this.#metrics.increment('allotment_commits_total');
		try {
			const {revision} = await this.#table.commit(transaction);
			this.#dispatch({
				type: 'committed', nowMs: this.#clock.nowMs(), team, revision,
			});
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			const whenUnapplied = error instanceof ConflictError ? 'conflict' : 'unavailable';
			this.#metrics.increment('allotment_commits_failed_total');
			this.#dispatch({
				type: 'commitFailed', nowMs: this.#clock.nowMs(), team, failure: error.mayBeApplied ? 'unknown' : whenUnapplied, random: this.#random.next(),
			});
		}
	}
}
