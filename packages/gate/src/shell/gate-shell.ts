/**
Performs the effects of the gate's reducer and dispatches the events of callers, backend servers and the table service to it.
*/
import {
	assertNever, type Clock, emptyFleetSettings, type FleetSettings, type Logger, type MetricsRegistry, type RandomSource, ReducerRuntime,
} from '@poplarnotch/common';
import {type ListedHost} from '@poplarnotch/platform';
import {type ClaimStore} from '../claims/claim-store.js';
import {endsWithin} from '../claims/ends-within.js';
import {maxOutcomeDelayMs} from '../constants.js';
import {reduceGate} from '../reducer.js';
import {createGateState, type GateState} from '../state.js';
import {
	type AttemptStage, type GateEffect, type GateEvent, type GateGrants, type RecordedOutcome, type RequestId,
} from '../types.js';
import {type Exchange, type ExchangeListener} from './exchange.js';
import {type ExchangeLimits, Exchanges} from './exchanges.js';
import {backendServersOf} from './host-list-watcher.js';
import {type ServerPools} from './server-pools.js';
import {type SettingsSource} from './sources.js';

export type GateShellParts = {
	readonly limits: ExchangeLimits;
	readonly claims: ClaimStore;
	readonly pools: ServerPools;
	readonly source: SettingsSource;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: MetricsRegistry;
	readonly log: Logger;
	nextRequestId(): RequestId;
	/** Called if no event was dispatched for longer than `stallThresholdMs`: grants may have expired meanwhile. */
	onStall(): void;
};

type StartAttempt = Extract<GateEffect, {type: 'startAttempt'}>;
type ClaimKey = Extract<GateEffect, {type: 'claimKey'}>;

/** Ticks are far more frequent than this; a longer gap means that the process was stalled. */
const stallThresholdMs = 500;

/** Connects the gate's reducer to callers, backend servers and claims. */
export class GateShell implements ExchangeListener {
	readonly exchanges: Exchanges;
	readonly #parts: GateShellParts;
	readonly #runtime: ReducerRuntime<GateState, GateEvent, GateEffect>;
	#settings: FleetSettings = emptyFleetSettings;
	#listed: ReadonlyMap<string, ListedHost> | undefined;
	#lastEventMs = 0;

	constructor(parts: GateShellParts) {
		this.#parts = parts;
		this.#runtime = new ReducerRuntime(createGateState(emptyFleetSettings), reduceGate, effect => {
			this.#perform(effect);
		});
		this.exchanges = new Exchanges({
			limits: parts.limits,
			metrics: parts.metrics,
			listener: this,
			nextRequestId: () => parts.nextRequestId(),
			settings: () => this.#settings,
			onRequestArrived: request => {
				parts.source.checkFreshness();
				this.#runtime.dispatch({type: 'requestArrived', ...this.#eventContext(), request});
			},
			onCallerGone: requestId => {
				this.#onCallerGone(requestId);
			},
		});
	}

	get state(): GateState {
		return this.#runtime.state;
	}

	get settings(): FleetSettings {
		return this.#settings;
	}

	changeSettings(settings: FleetSettings): void {
		this.#settings = settings;
		this.#runtime.dispatch({type: 'settingsChanged', ...this.#eventContext(), settings});
		this.#changeServers();
	}

	changeListing(listed: ReadonlyMap<string, ListedHost>): void {
		this.#listed = listed;
		this.#changeServers();
	}

	changeGrants(grants: GateGrants): void {
		this.#runtime.dispatch({type: 'grantsChanged', ...this.#eventContext(), grants});
	}

	changeFreshness(isFresh: boolean): void {
		this.#runtime.dispatch({type: 'freshnessChanged', nowMs: this.#parts.clock.nowMs(), isFresh});
	}

	startDrain(): void {
		this.#runtime.dispatch({type: 'drainStarted', nowMs: this.#parts.clock.nowMs()});
	}

	tick(): void {
		this.#runtime.dispatch({type: 'tick', ...this.#eventContext()});
	}

	onAnswered({requestId}: Exchange, attempt: number, status: number): void {
		this.#runtime.dispatch({
			type: 'attemptAnswered', nowMs: this.#parts.clock.nowMs(), requestId, attempt, status,
		});
	}

	onEnded(exchange: Exchange, attempt: number, outcome: RecordedOutcome | undefined): void {
		const {requestId} = exchange;
		if (outcome === undefined) {
			this.exchanges.remove(exchange);
		} else {
			void this.#recordAndEndAnswer(exchange, outcome);
		}

		this.#runtime.dispatch({
			type: 'attemptEnded', ...this.#eventContext(), requestId, attempt,
		});
	}

	onFailed(exchange: Exchange, attempt: number, stage: AttemptStage, reason: string): void {
		this.#runtime.dispatch({
			type: 'attemptFailed', ...this.#eventContext(), requestId: exchange.requestId, attempt, stage, reason,
		});
		this.#removeIfAbandoned(exchange);
	}

	/** Sends the end of the answer to the caller when its outcome is recorded, or after `maxOutcomeDelayMs`. */
	async #recordAndEndAnswer(exchange: Exchange, outcome: RecordedOutcome): Promise<void> {
		const {claims, clock, metrics} = this.#parts;
		const isRecorded = await endsWithin(clock, maxOutcomeDelayMs, claims.record(exchange.requestId, outcome));
		if (!isRecorded) {
			metrics.increment('answers_before_outcome_total');
		}

		exchange.endAnswer();
		this.exchanges.remove(exchange);
	}

	#eventContext(): {readonly nowMs: number; readonly random: number} {
		const nowMs = this.#parts.clock.nowMs();
		const sinceLastMs = nowMs - this.#lastEventMs;
		this.#lastEventMs = nowMs;
		if (sinceLastMs > stallThresholdMs) {
			this.#parts.onStall();
		}

		return {nowMs, random: this.#parts.random.next()};
	}

	#changeServers(): void {
		const servers = backendServersOf(this.#settings, this.#listed);
		this.#runtime.dispatch({type: 'serversChanged', ...this.#eventContext(), servers});
	}

	#onCallerGone(requestId: RequestId): void {
		this.#runtime.dispatch({type: 'callerGone', ...this.#eventContext(), requestId});
		const exchange = this.exchanges.get(requestId);
		if (exchange !== undefined) {
			this.#removeIfAbandoned(exchange);
		}
	}

	/** Removes an exchange whose caller is gone and whose last attempt has ended. */
	#removeIfAbandoned(exchange: Exchange): void {
		// The effects of a nested event, such as a new attempt, are performed before the microtask runs.
		queueMicrotask(() => {
			if (exchange.isCallerGone && !exchange.hasAttempt) {
				this.exchanges.remove(exchange);
			}
		});
	}

	#perform(effect: GateEffect): void {
		switch (effect.type) {
			case 'claimKey': {
				void this.#claim(effect);
				return;
			}

			case 'releaseClaim': {
				this.#parts.claims.release(effect.requestId);
				return;
			}

			case 'recordUnknown': {
				this.#parts.claims.recordUnknown(effect.requestId);
				return;
			}

			case 'startAttempt': {
				this.#startAttempt(effect);
				return;
			}

			case 'abortAttempt': {
				this.exchanges.get(effect.requestId)?.abortAttempt(effect.attempt);
				return;
			}

			case 'refuse': {
				this.#answerAndRemove(effect.requestId, exchange => {
					exchange.refuse(effect.problem);
				});
				return;
			}

			case 'replay': {
				this.#answerAndRemove(effect.requestId, exchange => {
					exchange.replay(effect.outcome);
				});
				return;
			}

			case 'abortResponse': {
				this.#answerAndRemove(effect.requestId, exchange => {
					exchange.abortResponse();
				});
				return;
			}

			case 'countMetric': {
				this.#parts.metrics.increment(effect.name);
				return;
			}

			case 'recordDuration': {
				this.#parts.metrics.recordMs(effect.name, effect.durationMs);
				return;
			}

			case 'log': {
				this.#parts.log[effect.level](effect.fields);
				return;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#startAttempt({requestId, attempt, address}: StartAttempt): void {
		const exchange = this.exchanges.get(requestId);
		if (exchange === undefined) {
			this.#runtime.dispatch({
				type: 'attemptFailed', ...this.#eventContext(), requestId, attempt, stage: 'not-sent', reason: 'caller-gone',
			});
			return;
		}

		exchange.startAttempt(attempt, address, this.#parts.pools);
	}

	/** Removes the exchange and answers its caller. */
	#answerAndRemove(requestId: RequestId, answer: (exchange: Exchange) => void): void {
		const exchange = this.exchanges.get(requestId);
		if (exchange !== undefined) {
			this.exchanges.remove(exchange);
			answer(exchange);
		}
	}

	async #claim({requestId, team, idempotencyKey, fingerprint}: ClaimKey): Promise<void> {
		const startedMs = this.#parts.clock.nowMs();
		const resolution = await this.#parts.claims.claim({
			requestId, team, idempotencyKey, fingerprint,
		});
		this.#parts.metrics.recordMs('claim_duration_ms', this.#parts.clock.nowMs() - startedMs);
		this.#parts.metrics.increment(`claims_${resolution.type}_total`);
		this.#runtime.dispatch({
			type: 'claimResolved', ...this.#eventContext(), requestId, resolution,
		});
	}
}
