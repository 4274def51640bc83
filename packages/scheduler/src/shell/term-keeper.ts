/**
Keeps the scheduler's lease in one process: contends for it, detects the loss of its holder, takes over, suspends the term while it is uncertain who holds the lease, and hands it over to a process that should hold it instead.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	type Clock, type LogFields, type Logger, type MetricsRegistry, parseWith,
} from '@poplarnotch/common';
import {failureReason, type RowCondition, type TableService} from '@poplarnotch/platform';
import {
	type FailureDetection, fenceKey, type HeldLease, LeaseContender, LivenessMonitor, maxAnswerAgeMs, type OutageKnowledge,
} from '@poplarnotch/state';
import {storeRetryDelayMs} from '../constants.js';
import {type EarlierHolder, type LeaseLossReason, type SchedulerEvent} from '../core/events.js';
import {noteForNextHolder} from '../core/handover.js';
import {handoverNoteSchema, type HandoverNote} from '../core/handover-note.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {LeaseContinuation} from './lease-continuation.js';
import {type Polls, ReleasePreparation} from './release-preparation.js';

/** Name of the lease whose holder schedules the fleet. */
const schedulerLease = 'scheduler';

/** A holder that does not renew the lease for this long is replaced. Two renewals may be lost, and no lease on the workers lapses meanwhile. */
const leaseMs = 3000;

/** A holder whose ticks pause for this long may have been replaced on suspicion meanwhile. Less than the silence after which a holder is suspected, less an interval of heartbeats. */
const pauseThresholdMs = 400;

/** How long a small process waits before it acquires a free lease, so that a larger one can acquire it first: each process checks the lease once in a third of the lease time. */
const smallHostDelayMs = leaseMs / 3;

/** How often a lease holder checks for a larger process, and the minimum time for which it holds the lease before it yields to one. */
const yieldCheckIntervalMs = 2000;

/** A process that is no successor waits this long before it acquires a free lease, and checks the lease less often: successors know the jobs and workers already. */
const outsiderDelayMs = 500;
const outsiderCheckIntervalMs = leaseMs / 2;

/** A process that has held the lease for this long without a term, and without beginning one, releases it. By then a renewal has shown whether another process holds it. */
const maxTimeWithoutTermMs = leaseMs / 2;

/** Time after which successors are told of a release that the store has not confirmed. */
const maxUnannouncedMs = 150;

/** The wall clock and the monotonic clock diverge by more than this only if the machine was suspended or its time of day was set. */
const suspensionThresholdMs = 200;

/** One moment on both clocks. */
type Moment = {readonly nowMs: number; readonly wallMs: number};

/** Returns by how much more the wall clock has advanced between two moments than the monotonic clock. */
const clockGapMs = (from: Moment, to: Moment): number => (to.wallMs - from.wallMs) - (to.nowMs - from.nowMs);

/** Returns true if the machine was suspended, or its time of day set, between two moments. */
const hasClockJumpedBetween = (from: Moment, to: Moment): boolean => Math.abs(clockGapMs(from, to)) > suspensionThresholdMs;

/** Reads what the last holder left as it released the lease; `undefined` if that is nothing, or cannot be read. */
const noteFrom = ({name, handover}: HeldLease): HandoverNote | undefined => {
	const parsed = parseWith(handoverNoteSchema, handover, name);
	return E.isRight(parsed) ? parsed.right : undefined;
};

export type TermKeeperOptions = {
	readonly processId: string;
	readonly table: TableService;
	readonly state: () => SchedulerState;
	readonly dispatch: (event: SchedulerEvent) => void;
	/** Brings all copies of shared rows up to date, so that they hold everything that an earlier holder and the operators stored. */
	readonly refreshCopies: () => Promise<void>;
	/** Brings the copy of the operators' rows up to date. */
	readonly refreshOrders: () => Promise<unknown>;
	/** Called after this process has acquired the lease or is no longer sure to hold it. */
	readonly onLeaseChanged: () => void;
	/** Called when the process begins to schedule. */
	readonly onTermBegun: () => void;
	readonly polls: () => Polls;
	readonly hasLargerPeer: (sinceMs?: number) => boolean;
	readonly isSuccessor: () => boolean;
	readonly relayedForMs?: (() => number | undefined) | undefined;
	readonly outage?: OutageKnowledge | undefined;
	readonly failureDetection?: FailureDetection | undefined;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class TermKeeper {
	readonly #options: TermKeeperOptions;
	readonly #leases: LeaseContender;
	readonly #continuation: LeaseContinuation;
	readonly #preparation: ReleasePreparation;
	readonly #liveness: LivenessMonitor | undefined;
	#nextYieldCheckAtMs = 0;
	/** The process is stopping and must not acquire the lease again. */
	#isLeaving = false;
	/** Token of a holder whose replacement this process has left to others once. */
	#leftToOthersToken: number | undefined;
	/** Token of the term for which a read is in flight that confirms whether its fence is still valid. */
	#confirmingToken: number | undefined;
	/** Number of pauses of this process, and of messages that name a later holder: what was read before one says nothing of the time after it. */
	#doubtCount = 0;
	/** Token of the lease whose term begins once the copies are up to date. */
	#beginningToken: number | undefined;
	/** Until when a holder may trust its lease that was replaced before the earlier one. */
	#earlierTrustedUntilMs = Number.NEGATIVE_INFINITY;
	/** Since when this process has held the lease without a term. */
	#withoutTermSinceMs: number | undefined;
	#lastCheck: Moment | undefined;
	/** When a suspension of the machine, or a step of its clock, was last noticed. */
	#clockJumpedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: TermKeeperOptions) {
		const {processId, table, isSuccessor, outage, failureDetection, clock, log, metrics} = options;
		this.#options = options;
		const incarnation = clock.wallTimeMs();
		this.#leases = new LeaseContender({
			table, holder: `${processId}@${incarnation}`, previousRunPrefix: `${processId}@`, leaseMs, acquireDelayMs: () => this.#acquireDelayMs(), readIntervalMs: () => isSuccessor() ? undefined : outsiderCheckIntervalMs, clock, log,
		});
		this.#continuation = new LeaseContinuation({
			outage, leaseMs, clock, log, metrics,
		});
		this.#preparation = new ReleasePreparation(options);
		this.#liveness = failureDetection === undefined ? undefined : this.#createLivenessMonitor(failureDetection, incarnation);
	}

	/** The condition of every write in the present term; `undefined` without one. The store refuses the write once another process has acquired the lease, so a term that is suspended may write as well. */
	get fence(): RowCondition | undefined {
		const {term} = this.#state;
		return term === undefined ? undefined : {key: fenceKey(schedulerLease), version: term.fencingToken};
	}

	/** Gives up to begin the term with this token, for use when another process is known to hold the lease. */
	abandonTerm(fencingToken: number): void {
		if (this.#beginningToken === fencingToken) {
			this.#beginningToken = undefined;
		}
	}

	/** Whether the term was found to be in force so recently that no other process can have replaced this one on suspicion. Asked right before something is ordered: the process may have stood still since the order was decided. */
	mayOrder(fencingToken: number): boolean {
		const {term, isSuspended} = this.#state;
		const now = this.#now();
		const lastCheck = this.#lastCheck ?? now;
		return term?.fencingToken === fencingToken && !isSuspended && now.nowMs - lastCheck.nowMs <= pauseThresholdMs && !hasClockJumpedBetween(lastCheck, now);
	}

	/** Whether this process has a term, or is about to begin one. */
	get isHolder(): boolean {
		return this.#state.term !== undefined || this.#beginningToken !== undefined;
	}

	start(): void {
		this.#contend();
		this.#liveness?.start();
	}

	/** Suspends the term if another process may hold the lease, and resumes it once it is certain that none does. `pausedMs` is the time since the last check. */
	check(now: Moment, pausedMs: number): void {
		if (this.#liveness !== undefined && pausedMs > pauseThresholdMs) {
			this.#suspendTerm({event: 'term_suspended', pausedMs: Math.round(pausedMs)});
		}

		this.#suspendIfLeaseUncertain(now);
		this.#releaseLeaseWithoutTerm(now);
	}

	/** Hands the lease over if a larger process is running. Returns true if it does so. */
	yieldToLargerPeer(now: Moment): boolean {
		const isSmaller = this.#isSmallerThanPeer(now);
		if (isSmaller) {
			void this.#yieldLease('a larger process is running');
		}

		return isSmaller;
	}

	/** Releases the lease permanently, so that another process takes over at once. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#preparation.prepare({isStopping: true});
		await this.#releaseLease('stopping');
		// A process that leaves is no successor, and others need not wait for it.
		this.#liveness?.close();
	}

	close(): void {
		this.#isLeaving = true;
		this.#liveness?.close();
		this.#leases.close();
	}

	get #state(): SchedulerState {
		return this.#options.state();
	}

	#createLivenessMonitor(detection: FailureDetection, incarnation: number): LivenessMonitor {
		const {processId, clock, log, metrics} = this.#options;
		return new LivenessMonitor({
			...detection,
			processId,
			incarnation,
			heldToken: () => this.#heldToken(),
			onHolderSuspected: token => {
				this.#suspectHolder(token);
			},
			onHolderCleared: token => {
				this.#leases.clearHolder(schedulerLease, token);
			},
			onSuperseded: token => {
				this.#suspendTerm({event: 'term_suspended', supersededBy: token});
			},
			onEarlierHolderHeard: isGone => {
				this.#applyEarlierHolder(isGone);
			},
			clock,
			log,
			metrics,
		});
	}

	/** A process that reaches the store only through peers leaves the first attempt to replace a holder to others. */
	#suspectHolder(token: number): void {
		if (this.#options.relayedForMs?.() !== undefined && this.#leftToOthersToken !== token) {
			this.#leftToOthersToken = token;
			return;
		}

		this.#leases.suspectHolder(schedulerLease, token);
	}

	/** The token for which this process sends heartbeats: it holds the lease, or goes on scheduling since no other process can hold it. */
	#heldToken(): number | undefined {
		const {term, isSuspended} = this.#state;
		return this.#leases.heldLease(schedulerLease)?.fence.version ?? (isSuspended ? undefined : term?.fencingToken);
	}

	/** The replaced holder may still be alive unless it has announced the release of its lease or a later run of its process was heard. One that was replaced before it may be, too. */
	#earlierHolderOf({replaced, earlierTrustedUntilMs = Number.NEGATIVE_INFINITY}: HeldLease): EarlierHolder | undefined {
		const {nowMs} = this.#now();
		this.#earlierTrustedUntilMs = earlierTrustedUntilMs;
		const isGone = replaced === undefined || this.#liveness?.isHolderGone(replaced.token) === true;
		if (isGone && earlierTrustedUntilMs <= nowMs) {
			return undefined;
		}

		const trustedUntilMs = Math.max(isGone ? nowMs : replaced.trustedUntilMs, earlierTrustedUntilMs);
		// It goes on without trust in its lease only on evidence of an outage, from before this process acquired the lease.
		const mayOrderUntilMs = Math.max(trustedUntilMs, nowMs + maxAnswerAgeMs);
		const heardAtMs = (replaced === undefined ? undefined : this.#liveness?.holderHeardAtMs(replaced.token)) ?? nowMs;
		return {mayOrderUntilMs, mayOrderMachinesUntilMs: Math.max(mayOrderUntilMs, heardAtMs + leaseMs)};
	}

	#applyEarlierHolder(isGone: boolean): void {
		const {earlierHolder} = this.#state;
		if (earlierHolder !== undefined) {
			const now = this.#now();
			const {mayOrderUntilMs} = earlierHolder;
			// A holder that is gone may have given orders until now, and the one that it replaced may go on.
			const changed = isGone
				? {mayOrderUntilMs: Math.min(mayOrderUntilMs, Math.max(now.nowMs, this.#earlierTrustedUntilMs)), mayOrderMachinesUntilMs: now.nowMs}
				: {mayOrderUntilMs, mayOrderMachinesUntilMs: Math.max(mayOrderUntilMs, now.nowMs + leaseMs)};
			this.#options.dispatch({type: 'earlierHolderChanged', earlierHolder: changed, ...now});
		}
	}

	/** How long the process leaves a free lease to others: to larger hosts, to successors, which know the jobs and workers, and to processes that reach the store themselves. */
	#acquireDelayMs(): number {
		const relayingDelayMs = this.#options.relayedForMs?.() === undefined ? 0 : leaseMs;
		return (this.#options.hasLargerPeer() ? smallHostDelayMs : 0) + (this.#options.isSuccessor() ? 0 : outsiderDelayMs) + relayingDelayMs;
	}

	#contend(): void {
		this.#leases.contend(schedulerLease, lease => {
			this.#onLeaseChanged(lease);
		});
	}

	/** Successors are told once the release is stored, since one that acquires the lease before that does not receive what is left to it. If the store is slow to answer this process, they are told before: the fence of the next holder rejects whatever is still under way. */
	async #releaseLease(reason: LeaseLossReason): Promise<void> {
		const {term} = this.#state;
		const heldToken = this.#leases.unconfirmedLease(schedulerLease)?.fence.version;
		const token = heldToken ?? term?.fencingToken;
		this.#beginningToken = undefined;
		const note = term !== undefined && term.fencingToken === heldToken ? noteForNextHolder(this.#state, this.#now()) : undefined;
		if (term !== undefined) {
			this.#options.dispatch({
				type: 'leaseLost', fencingToken: term.fencingToken, reason, ...this.#now(),
			});
		}

		if (note !== undefined) {
			this.#options.log.info({
				event: 'ends_left', fencingToken: term?.fencingToken, jobs: Object.keys(note.ends ?? {}).length, openStarts: Object.keys(note.openStarts).length,
			});
		}

		const released = this.#leases.withdraw(schedulerLease, note);
		if (token !== undefined) {
			await Promise.race([released, this.#pause(maxUnannouncedMs)]);
			this.#liveness?.announceRelease(token);
		}

		await released;
	}

	/** Returns true if a larger process should hold the lease. A small host may hold it because it started first or replaced a larger one, but scheduling a large fleet takes more CPU than it has. */
	#isSmallerThanPeer({nowMs}: Moment): boolean {
		if (nowMs < this.#nextYieldCheckAtMs) {
			return false;
		}

		this.#nextYieldCheckAtMs = nowMs + yieldCheckIntervalMs;
		const {term, isSuspended, isReleasePlanned, isLeaseUnconfirmed} = this.#state;
		const mayYield = term !== undefined && !isSuspended && !isReleasePlanned && !isLeaseUnconfirmed && nowMs - term.wonAtMs >= yieldCheckIntervalMs;
		return mayYield && this.#options.hasLargerPeer(term.wonAtMs);
	}

	/** Gives up the lease, unless the term's progress cannot be stored in time: a later check tries again. */
	async #yieldLease(reason: string): Promise<void> {
		const {term} = this.#state;
		const isDone = await this.#preparation.prepare({isStopping: false});
		if (this.#isLeaving) {
			return;
		}

		if (!isDone && term !== undefined) {
			this.#options.log.info({event: 'lease_kept', reason: 'progress is not stored, or a machine order not answered', fencingToken: term.fencingToken});
			this.#options.dispatch({type: 'handoverCancelled', fencingToken: term.fencingToken, ...this.#now()});
			return;
		}

		this.#options.log.info({event: 'lease_yielded', reason});
		await this.#releaseLease('yielded');
		if (!this.#isLeaving) {
			this.#contend();
		}
	}

	/** While a process holds the lease, no other one schedules. If it has no term for whatever reason, it releases the lease, so that a term under a new token can begin. */
	#releaseLeaseWithoutTerm({nowMs}: Moment): void {
		const token = this.#leases.heldLease(schedulerLease)?.fence.version;
		if (token === undefined || this.#isLeaving || token === this.#state.term?.fencingToken || token === this.#beginningToken) {
			this.#withoutTermSinceMs = undefined;
			return;
		}

		this.#withoutTermSinceMs ??= nowMs;
		if (nowMs - this.#withoutTermSinceMs >= maxTimeWithoutTermMs) {
			this.#withoutTermSinceMs = undefined;
			this.#options.metrics.increment('leases_without_term_total');
			this.#options.log.warn({event: 'lease_without_term', fencingToken: token, forMs: Math.round(maxTimeWithoutTermMs)});
			void this.#yieldLease('no term has begun');
		}
	}

	/**
	A suspended machine's monotonic clock stops, so after a suspension the lease still seems to be valid; only the wall clock shows the gap. Nothing is ordered until a read from the store has confirmed the fence.
	*/
	#suspendIfLeaseUncertain(now: Moment): void {
		const lastCheck = this.#lastCheck ?? now;
		this.#lastCheck = now;
		const hasClockJumped = hasClockJumpedBetween(lastCheck, now);
		this.#clockJumpedAtMs = hasClockJumped ? now.nowMs : this.#clockJumpedAtMs;
		const {term} = this.#state;
		if (term === undefined) {
			return;
		}

		if (hasClockJumped) {
			this.#continuation.invalidate();
		}

		const lease = this.#leases.heldLease(schedulerLease) ?? this.#continueLease(term.fencingToken);
		if (hasClockJumped || lease === undefined) {
			this.#suspendUncertainTerm(term.fencingToken, {gapMs: clockGapMs(lastCheck, now), hasClockJumped});
		} else if (lease.fence.version === term.fencingToken && !this.#isConfirming(term.fencingToken)) {
			this.#resumeCertainTerm(term.fencingToken);
		}
	}

	#suspendUncertainTerm(fencingToken: number, {gapMs, hasClockJumped}: {readonly gapMs: number; readonly hasClockJumped: boolean}): void {
		if (!this.#state.isSuspended) {
			this.#options.log.warn({event: 'term_suspended', fencingToken, gapMs: Math.round(gapMs)});
			this.#options.dispatch({type: 'leaseSuspended', ...this.#now()});
		}

		// A renewal that was sent before the clock jumped would make the lease seem trusted.
		if (hasClockJumped && !this.#isConfirming(fencingToken)) {
			void this.#confirmFence(fencingToken);
		}
	}

	/** Takes back what a doubt about the lease has suspended. The contender does not tell of a renewal whose answer came before it had noticed the doubt. */
	#resumeCertainTerm(fencingToken: number): void {
		const isConfirmed = this.#leases.heldLease(schedulerLease) !== undefined;
		if (this.#state.isSuspended || (this.#state.isLeaseUnconfirmed && isConfirmed)) {
			this.#options.dispatch({type: 'leaseConfirmed', fencingToken, ...this.#now()});
			this.#markUnconfirmed();
		}

		if (isConfirmed) {
			this.#continuation.confirm();
		}
	}

	/** Gives no orders until a read from the store has confirmed that no other process holds the lease. */
	#suspendTerm(fields: LogFields): void {
		this.#doubtCount++;
		const {term, isSuspended} = this.#state;
		if (term === undefined || this.#isConfirming(term.fencingToken)) {
			return;
		}

		this.#options.log.warn({...fields, fencingToken: term.fencingToken});
		if (!isSuspended) {
			this.#options.dispatch({type: 'leaseSuspended', ...this.#now()});
		}

		void this.#confirmFence(term.fencingToken);
	}

	async #confirmFence(fencingToken: number): Promise<void> {
		this.#confirmingToken = fencingToken;
		let isKnown = false;
		while (!isKnown && this.#state.term?.fencingToken === fencingToken) {
			const doubtCount = this.#doubtCount;
			const sentAt = this.#now();
			try {
				// The age of the operators' rows does not show the time for which the machine was suspended.
				const [[row]] = await Promise.all([this.#options.table.readRows([fenceKey(schedulerLease)]), this.#options.refreshOrders()]);
				// An answer from before another suspension of the machine, or another standstill, says nothing of the time since.
				const isPresent = doubtCount === this.#doubtCount && !hasClockJumpedBetween(sentAt, this.#now());
				if (isPresent || row?.version !== fencingToken) {
					this.#options.dispatch({type: row?.version === fencingToken ? 'leaseConfirmed' : 'leaseLost', fencingToken, ...this.#now()});
					isKnown = true;
				}
			} catch (error) {
				this.#options.log.warn({event: 'fence_not_confirmed', reason: failureReason(this.#options.log, 'confirm fence', error)});
				await this.#pause(storeRetryDelayMs);
			}
		}

		if (this.#isConfirming(fencingToken)) {
			this.#confirmingToken = undefined;
		}
	}

	#isConfirming(fencingToken: number): boolean {
		return this.#confirmingToken === fencingToken;
	}

	/** Returns the lease that could not be renewed in time if no other process can have acquired it. */
	#continueLease(fencingToken: number): HeldLease | undefined {
		const lease = this.#leases.unconfirmedLease(schedulerLease);
		if (this.#isConfirming(fencingToken) || lease?.fence.version !== fencingToken || !this.#continuation.mayContinue(lease)) {
			return undefined;
		}

		this.#continuation.countRound();
		this.#markUnconfirmed();
		return lease;
	}

	/** Stops machine orders while the lease is not confirmed: another holder's orders may follow within a lease time. */
	#markUnconfirmed(): void {
		if (!this.#state.isLeaseUnconfirmed && this.#leases.heldLease(schedulerLease) === undefined) {
			this.#options.dispatch({type: 'leaseUnconfirmed', ...this.#now()});
		}
	}

	#onLeaseChanged(lease: HeldLease | undefined): void {
		if (lease === undefined && this.#state.term !== undefined && !this.#state.isSuspended && this.#continueLease(this.#state.term.fencingToken) !== undefined) {
			return;
		}

		this.#beginningToken = lease?.fence.version;
		this.#liveness?.wake();
		this.#options.metrics.increment('early_takeovers', lease?.replaced === undefined ? 0 : 1);
		this.#options.onLeaseChanged();
		if (lease === undefined) {
			this.#options.dispatch({type: 'leaseSuspended', ...this.#now()});
			return;
		}

		void this.#beginTerm(lease);
	}

	/** Returns true if the machine was suspended after the last call that confirmed the lease was sent. */
	#isFromBeforeSuspension(): boolean {
		const now = this.#now();
		const confirmedAtMs = this.#leases.unconfirmedLease(schedulerLease)?.confirmedAtMs ?? now.nowMs;
		const isUnnoticed = hasClockJumpedBetween(this.#lastCheck ?? now, now);
		return isUnnoticed || this.#clockJumpedAtMs >= confirmedAtMs;
	}

	/** Begins the term once the replicas hold everything that the earlier lease holder stored, since orders rely on it, and all operators' rows, since an evacuation may have been ordered of which only the earlier holder knew. */
	async #beginTerm(lease: HeldLease): Promise<void> {
		const {fence} = lease;
		let wasSuspended = this.#isFromBeforeSuspension();
		while (this.#beginningToken === fence.version) {
			const sentAt = this.#now();
			try {
				const [row] = wasSuspended ? await this.#options.table.readRows([fenceKey(schedulerLease)]) : [];
				if (wasSuspended && row?.version !== fence.version) {
					break;
				}

				await this.#options.refreshCopies();
				if (this.#beginningToken !== fence.version) {
					break;
				}

				// If the machine was suspended meanwhile, the lease may have passed on, and the copies be from before.
				wasSuspended = hasClockJumpedBetween(sentAt, this.#now());
				if (wasSuspended) {
					continue;
				}

				if (this.#isConfirming(fence.version)) {
					// The term has begun before, and a later read decides whether it goes on.
					break;
				}

				this.#continuation.confirm();
				this.#options.dispatch({
					type: 'leaseWon', fencingToken: fence.version, earlierHolder: this.#earlierHolderOf(lease), note: noteFrom(lease), ...this.#now(),
				});
				this.#options.onTermBegun();
				break;
			} catch (error) {
				this.#options.log.warn({event: 'takeover_waits', reason: failureReason(this.#options.log, 'take over', error)});
				await this.#pause(storeRetryDelayMs);
			}
		}

		if (this.#beginningToken === fence.version) {
			this.#beginningToken = undefined;
		}
	}

	async #pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}

	#now(): Moment {
		return {nowMs: this.#options.clock.nowMs(), wallMs: this.#options.clock.wallTimeMs()};
	}
}
