/**
Decides whether the holder of a lease is lost, from the datagrams that the holder and its successors exchange. A killed holder or one without power would otherwise be noticed only when its lease expires, 3 s later.

The decision only ever starts an attempt to acquire the lease; the conditional write on its rows decides. A process that was paused learns nothing from the silence during the pause, so silence counts from the end of the pause.
*/
import {
	type LivenessEffect, type LivenessMessage, type LivenessSituation, type Successor,
} from './types.js';

/** Times as shares of the silence after which the holder is suspected, which is 600 ms by default. */
const heartbeatShare = 1 / 4;
const reportShare = 1 / 2;

/** A successor that heard the holder more recently than this contradicts a suspicion: three intervals of heartbeats. */
const contradictionShare = 3 / 4;

/** Silence from which a successor reports with each tick, and others that hear the holder answer at once, so that the loss of one report changes nothing. */
const doubtShare = 3 / 4;

/** A successor counts as running if it was heard within the time of suspicion and this. */
const runningMarginMs = 100;

/** A wake-up this late shows that the process was paused. Heartbeats of about as long may wait in the socket's buffer then. */
const pauseThresholdMs = 100;

/** A process that has just lost the lease does not suspect its successor for this long, so that two processes do not replace each other in turn when one of them is slow or hears nothing. */
const truceMs = 2000;

/** Minimum time between two answers to a report of doubt. */
const answerIntervalMs = 50;

/** Interval of wake-ups while this process neither holds the lease nor is a successor. */
const idleIntervalMs = 1000;

const minDelayMs = 5;

/** A restart within this time shows that the processes are being restarted one after the other. */
const rollingRestartMs = 15_000;

/** Attempts to acquire the lease in one suspicion. A renewal sent right before the loss makes the first one fail; after the last one, the expiry of the lease decides. */
const maxAttempts = 3;

export type HolderLivenessOptions = {
	readonly processId: string;
	/** Number of this run of the process; later runs have higher numbers. */
	readonly incarnation: number;
	/** Silence after which the holder is suspected. */
	readonly detectionMs: number;
	readonly startedAtMs: number;
};

/** The last report of another successor. */
type Report = {
	readonly token: number;
	/** When the reporter last heard the holder, on this process's clock. */
	readonly heardHolderAtMs: number;
};

type Peer = {
	readonly incarnation: number;
	sequence: number;
	heardAtMs: number;
	startedAtMs: number;
	report: Report | undefined;
};

/** A holder that this process has heard. */
type Holder = {
	readonly processId: string;
	readonly incarnation: number;
	readonly token: number;
	heardAtMs: number;
	isReleased: boolean;
};

export class HolderLiveness {
	readonly #options: HolderLivenessOptions;
	readonly #peers = new Map<string, Peer>();
	/** The holder with the highest token among those heard. */
	#holder: Holder | undefined;
	/** The holder heard before it, or before this process acquired the lease. */
	#earlierHolder: Holder | undefined;
	#heldToken: number | undefined;
	#wasSuccessor = false;
	#sequence = 0;
	/** Since when this process has run without a pause. */
	#runningSinceMs: number;
	#expectedWakeAtMs = Number.POSITIVE_INFINITY;
	#nextSendAtMs = 0;
	#lastAnswerAtMs = Number.NEGATIVE_INFINITY;
	#truceUntilMs = Number.NEGATIVE_INFINITY;
	/** When the present suspicion was last acted on, and how often. */
	#suspicion: {readonly actedAtMs: number; readonly count: number} | undefined;
	#releaseHeardAtMs: number | undefined;

	constructor(options: HolderLivenessOptions) {
		this.#options = options;
		this.#runningSinceMs = options.startedAtMs;
	}

	/** How long the holder that this process follows has been silent; 0 if it follows none. */
	silenceMs(nowMs: number): number {
		return this.#holder === undefined || this.#heldToken !== undefined ? 0 : nowMs - this.#holder.heardAtMs;
	}

	/** When the holder with the token was last heard; `undefined` if it was not. */
	holderHeardAtMs(token: number): number | undefined {
		return this.#holderWith(token)?.heardAtMs;
	}

	/** Whether the run of the process that held the lease with the token has certainly ended. */
	isHolderGone(token: number): boolean {
		const holder = this.#holderWith(token);
		return holder !== undefined && (holder.isReleased || this.#isReplacedByLaterRun(holder));
	}

	/** Applies a message of another process. Older messages and messages of earlier runs are ignored. */
	receive(message: LivenessMessage, situation: LivenessSituation): readonly LivenessEffect[] {
		const {processId, incarnation, sequence} = message;
		const {nowMs} = situation;
		const known = this.#peers.get(processId);
		if (processId === this.#options.processId || (known !== undefined && (incarnation < known.incarnation || (incarnation === known.incarnation && sequence <= known.sequence)))) {
			return [];
		}

		const peer: Peer = known?.incarnation === incarnation
			? known
			: {
				incarnation, sequence, heardAtMs: nowMs, startedAtMs: nowMs - message.uptimeMs, report: undefined,
			};
		peer.sequence = sequence;
		peer.heardAtMs = nowMs;
		this.#peers.set(processId, peer);
		this.#noteHeldToken(situation);
		const effects = peer === known ? [] : this.#noticeLaterRun(processId);
		switch (message.type) {
			case 'heartbeat': {
				return [...effects, ...this.#applyHeartbeat(message, situation)];
			}

			case 'report': {
				peer.report = {token: message.token, heardHolderAtMs: nowMs - message.silenceMs};
				if (this.#heldToken !== undefined && message.token > this.#heldToken) {
					return [...effects, {type: 'superseded', token: message.token}];
				}

				return [...effects, ...this.#answerDoubt(message, situation)];
			}

			case 'released': {
				if (message.token === this.#holder?.token && !this.#holder.isReleased) {
					this.#holder.isReleased = true;
					this.#releaseHeardAtMs = nowMs;
				}

				return effects;
			}
		}
	}

	/** Sends what is due and checks the holder. Call `nextDelayMs` after each call of this and of `receive`. */
	tick(situation: LivenessSituation): readonly LivenessEffect[] {
		const {nowMs} = situation;
		if (nowMs - this.#expectedWakeAtMs > pauseThresholdMs) {
			this.#runningSinceMs = nowMs;
		}

		this.#noteHeldToken(situation);
		this.#noteSuccession(situation);
		const effects: LivenessEffect[] = [];
		if (nowMs >= this.#nextSendAtMs) {
			this.#nextSendAtMs = this.#nextSendAfter(nowMs);
			effects.push(...this.#messagesDue(situation));
		}

		return [...effects, ...this.#checkHolder(situation)];
	}

	/** Returns the delay until the next tick. */
	nextDelayMs(situation: LivenessSituation): number {
		const {nowMs} = situation;
		const isParticipant = situation.heldToken !== undefined || this.#isSuccessor(situation);
		const dueMs = isParticipant ? Math.min(this.#nextSendAtMs, this.#nextCheckAtMs(situation)) : nowMs + idleIntervalMs;
		const delayMs = Math.max(minDelayMs, dueMs - nowMs);
		this.#expectedWakeAtMs = nowMs + delayMs;
		return delayMs;
	}

	/** Returns messages that tell the successors of the release of the lease with the token. */
	release(token: number, situation: LivenessSituation): readonly LivenessEffect[] {
		return this.#others(situation).map(to => ({type: 'send', to, message: {type: 'released', ...this.#sender(situation.nowMs), token}}));
	}

	#holderWith(token: number): Holder | undefined {
		return [this.#holder, this.#earlierHolder].find(holder => holder?.token === token);
	}

	#sender(nowMs: number) {
		const {processId, incarnation, startedAtMs} = this.#options;
		this.#sequence++;
		return {
			processId, incarnation, sequence: this.#sequence, uptimeMs: Math.round(nowMs - startedAtMs),
		};
	}

	#others({successors}: LivenessSituation): readonly string[] {
		return successors.map(({processId}) => processId).filter(processId => processId !== this.#options.processId);
	}

	#isSuccessor({successors}: LivenessSituation): boolean {
		return successors.some(({processId}) => processId === this.#options.processId);
	}

	#isReplacedByLaterRun({processId, incarnation}: Holder): boolean {
		return (this.#peers.get(processId)?.incarnation ?? incarnation) > incarnation;
	}

	#noteHeldToken({heldToken, nowMs}: LivenessSituation): void {
		if (this.#heldToken !== undefined && heldToken !== this.#heldToken) {
			this.#truceUntilMs = nowMs + truceMs;
			this.#holder = undefined;
			this.#suspicion = undefined;
		}

		if (heldToken !== undefined && heldToken !== this.#heldToken) {
			this.#nextSendAtMs = nowMs;
			this.#earlierHolder = this.#holder;
			this.#suspicion = undefined;
		}

		this.#heldToken = heldToken;
	}

	/** Holders send heartbeats to their successors only, so a process that was none knows nothing from the silence until it hears the holder again. */
	#noteSuccession(situation: LivenessSituation): void {
		const isSuccessor = this.#isSuccessor(situation);
		if (isSuccessor && !this.#wasSuccessor) {
			this.#holder = undefined;
			this.#suspicion = undefined;
		}

		this.#wasSuccessor = isSuccessor;
	}

	#noticeLaterRun(processId: string): readonly LivenessEffect[] {
		const {holder, earlier} = {holder: this.#holder, earlier: this.#earlierHolder};
		const isHolderGone = [holder, earlier].some(each => each?.processId === processId && this.#isReplacedByLaterRun(each));
		return isHolderGone && this.#heldToken !== undefined ? [{type: 'earlierHolderHeard', isGone: true}] : [];
	}

	#applyHeartbeat({processId, incarnation, token}: LivenessMessage, {nowMs}: LivenessSituation): readonly LivenessEffect[] {
		if (this.#heldToken !== undefined) {
			const earlier = this.#holderWith(token);
			if (earlier !== undefined && token < this.#heldToken) {
				earlier.heardAtMs = nowMs;
				return [{type: 'earlierHolderHeard', isGone: false}];
			}

			return token > this.#heldToken ? [{type: 'superseded', token}, ...this.#followHolder({processId, incarnation, token}, nowMs)] : [];
		}

		return token < (this.#holder?.token ?? 0) ? [] : this.#followHolder({processId, incarnation, token}, nowMs);
	}

	#followHolder({processId, incarnation, token}: Pick<Holder, 'processId' | 'incarnation' | 'token'>, nowMs: number): readonly LivenessEffect[] {
		const wasSuspected = this.#suspicion !== undefined;
		const former = this.#holder;
		this.#suspicion = undefined;
		if (former?.token === token) {
			former.heardAtMs = nowMs;
		} else {
			this.#earlierHolder = former;
			this.#holder = {
				processId, incarnation, token, heardAtMs: nowMs, isReleased: false,
			};
			this.#releaseHeardAtMs = undefined;
		}

		return wasSuspected ? [{type: 'clear', token: former!.token}] : [];
	}

	/** A successor that has missed several heartbeats asks the others with its report; those that hear the holder answer at once. */
	#answerDoubt({processId, token, silenceMs}: Extract<LivenessMessage, {readonly type: 'report'}>, situation: LivenessSituation): readonly LivenessEffect[] {
		const {nowMs} = situation;
		const {detectionMs} = this.#options;
		const isInDoubt = silenceMs >= detectionMs * doubtShare && this.#holder?.token === token;
		const mayAnswer = this.#heldToken === undefined && this.#isSuccessor(situation) && nowMs - this.#lastAnswerAtMs >= answerIntervalMs;
		if (!isInDoubt || !mayAnswer || this.silenceMs(nowMs) >= detectionMs * doubtShare) {
			return [];
		}

		this.#lastAnswerAtMs = nowMs;
		return [this.#reportTo(processId, nowMs)];
	}

	#reportTo(to: string, nowMs: number): LivenessEffect {
		return {
			type: 'send', to, message: {
				type: 'report', ...this.#sender(nowMs), token: this.#holder!.token, silenceMs: Math.round(this.silenceMs(nowMs)),
			},
		};
	}

	#nextSendAfter(nowMs: number): number {
		const {detectionMs} = this.#options;
		const heartbeatMs = detectionMs * heartbeatShare;
		const silenceMs = this.silenceMs(nowMs);
		if (this.#heldToken !== undefined || silenceMs >= detectionMs * doubtShare) {
			return nowMs + heartbeatMs;
		}

		// After a missed heartbeat, the next report is sent as soon as it expresses doubt, so that the answers arrive before the suspicion.
		const hasMissedHeartbeat = this.#holder !== undefined && silenceMs > heartbeatMs * 1.5;
		return hasMissedHeartbeat ? this.#holder!.heardAtMs + (detectionMs * doubtShare) : nowMs + (detectionMs * reportShare);
	}

	#messagesDue(situation: LivenessSituation): readonly LivenessEffect[] {
		const {nowMs} = situation;
		const others = this.#others(situation);
		if (this.#heldToken !== undefined) {
			return others.map(to => ({type: 'send', to, message: {type: 'heartbeat', ...this.#sender(nowMs), token: this.#heldToken!}}));
		}

		const holder = this.#holder;
		if (holder === undefined || !this.#isSuccessor(situation)) {
			return [];
		}

		const receivers = new Set([...others, holder.processId]);
		receivers.delete(this.#options.processId);
		return [...receivers].map(to => this.#reportTo(to, nowMs));
	}

	/** Returns the successors heard recently that have a report on the holder. */
	#reportersOf(holder: Holder, {successors, nowMs}: LivenessSituation): ReadonlyArray<{readonly processId: string; readonly report: Report}> {
		return successors.flatMap(({processId}) => {
			const report = processId === holder.processId ? undefined : this.#runningPeer(processId, nowMs)?.report;
			return report === undefined || report.token < holder.token ? [] : [{processId, report}];
		});
	}

	#runningPeer(processId: string, nowMs: number): Peer | undefined {
		const peer = this.#peers.get(processId);
		return peer !== undefined && nowMs - peer.heardAtMs <= this.#options.detectionMs + runningMarginMs ? peer : undefined;
	}

	/** Returns how many running successors come before this process. */
	#rank(holder: Holder, situation: LivenessSituation): number {
		const {nowMs, successors} = situation;
		const candidates = successors.filter(({processId}) => processId !== holder.processId && (processId === this.#options.processId || this.#runningPeer(processId, nowMs) !== undefined));
		const isRollingRestart = candidates.some(candidate => nowMs - this.#startedAtMs(candidate) < rollingRestartMs);
		return candidates.toSorted((a, b) => this.#compare(a, b, isRollingRestart)).findIndex(({processId}) => processId === this.#options.processId);
	}

	/** Successors with more CPU come first. Of equal ones, the one that restarted last does during a rolling restart, since another would soon hand the lease over again. All processes know the same incarnations, while the start times that they derive from uptimes differ by the latency. */
	#compare(a: Successor, b: Successor, isRollingRestart: boolean): number {
		const restartOrder = isRollingRestart ? this.#incarnation(b) - this.#incarnation(a) : 0;
		return b.cpuMillicores - a.cpuMillicores || restartOrder || (a.processId < b.processId ? -1 : 1);
	}

	#incarnation({processId}: Successor): number {
		return processId === this.#options.processId ? this.#options.incarnation : this.#peers.get(processId)?.incarnation ?? 0;
	}

	#startedAtMs({processId}: Successor): number {
		return processId === this.#options.processId ? this.#options.startedAtMs : this.#peers.get(processId)?.startedAtMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Returns when this process may act on the silence or the release of the holder; infinite if it does not follow one. */
	#nextCheckAtMs(situation: LivenessSituation): number {
		const {detectionMs} = this.#options;
		const holder = this.#holder;
		if (holder === undefined || this.#heldToken !== undefined || !this.#isSuccessor(situation) || holder.processId === this.#options.processId) {
			return Number.POSITIVE_INFINITY;
		}

		if ((this.#suspicion?.count ?? 0) >= maxAttempts) {
			return Number.POSITIVE_INFINITY;
		}

		const rankDelayMs = this.#rank(holder, situation) * detectionMs * heartbeatShare;
		const repeatAtMs = this.#suspicion === undefined ? 0 : this.#suspicion.actedAtMs + (detectionMs * reportShare);
		if (holder.isReleased) {
			return Math.max(this.#releaseHeardAtMs! + rankDelayMs, repeatAtMs);
		}

		const silentSinceMs = Math.max(holder.heardAtMs, this.#runningSinceMs);
		const contradictedUntilMs = Math.max(...this.#reportersOf(holder, situation).map(({report}) => report.token > holder.token ? situation.nowMs + detectionMs : report.heardHolderAtMs + (detectionMs * contradictionShare)), 0);
		return Math.max(silentSinceMs + detectionMs + rankDelayMs, contradictedUntilMs, this.#truceUntilMs, repeatAtMs);
	}

	#checkHolder(situation: LivenessSituation): readonly LivenessEffect[] {
		const {nowMs} = situation;
		if (nowMs < this.#nextCheckAtMs(situation)) {
			return [];
		}

		const holder = this.#holder!;
		this.#suspicion = {actedAtMs: nowMs, count: (this.#suspicion?.count ?? 0) + 1};
		return [holder.isReleased
			? {type: 'acquireReleased', token: holder.token}
			: {
				type: 'suspect', token: holder.token, silenceMs: Math.round(nowMs - holder.heardAtMs), reporters: this.#reportersOf(holder, situation).map(({processId}) => processId),
			}];
	}
}
