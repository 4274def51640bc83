/**
Runs the fleet's reducer in a controller: dispatches ticks, settings and host lists to it and performs its effects while this controller holds the fleet lease. A change with an unknown outcome is repeated under the same id until its outcome is known. Responses that belong to an earlier lease term are dropped.
*/
import {
	assertNever, type CancelTimer, type JsonObject, ReducerRuntime,
} from '@poplarnotch/common';
import {pauseFor} from '@poplarnotch/platform';
import {type HeldLease} from '@poplarnotch/state';
import {initialFleetState, reduceFleet, withStoredWaves} from '../fleet/reducer.js';
import {
	type FleetEffect, type FleetEvent, type FleetState, type SettingsCall,
} from '../fleet/types.js';
import {describeWavePlan, describeWaveProgress} from '../fleet/waves/describe-waves.js';
import {hostPollIntervalMs, retryDelayMs, tickMs} from './constants.js';
import {logExpectedFailure} from './failures.js';
import {type FleetCall, FleetCalls} from './fleet-calls.js';
import {type CommitOutcome, SettingsCommitQueue, type LeaseTerm} from './fleet-commits.js';
import {readWaves, waveToJson} from './fleet-rows.js';
import {type FleetRunnerOptions} from './fleet-types.js';

/** Holds the fleet's state in one controller and performs the reducer's effects. */
export class FleetRunner {
	readonly #options: FleetRunnerOptions;
	readonly #runtime: ReducerRuntime<FleetState, FleetEvent, FleetEffect>;
	readonly #calls: FleetCalls;
	readonly #commits: SettingsCommitQueue;
	/** The current lease term. A response is dropped if its call was made in another term. */
	#leaseTerm: LeaseTerm = {lease: undefined};
	#cancelTick: CancelTimer | undefined;
	#cancelPoll: CancelTimer | undefined;
	#removeListener: (() => void) | undefined;

	constructor(options: FleetRunnerOptions) {
		this.#options = options;
		this.#calls = new FleetCalls(options, term => {
			this.#endLeaseTerm(term);
		});
		this.#commits = new SettingsCommitQueue(options, term => term === this.#leaseTerm);
		this.#runtime = new ReducerRuntime(initialFleetState, reduceFleet, effect => {
			this.#perform(effect);
		});
	}

	/** Starts observing the fleet. No planned work starts before `takeLease`. */
	start(): void {
		this.#dispatch({type: 'settingsChanged', settings: this.#options.replica.current});
		this.#removeListener = this.#options.replica.onChange(settings => {
			this.#dispatch({type: 'settingsChanged', settings});
		});
		this.#tick();
		void this.#pollHosts();
	}

	stop(): void {
		this.loseLease();
		this.#cancelTick?.();
		this.#cancelPoll?.();
		this.#removeListener?.();
	}

	/** Starts a lease term. Resolves when the newest settings revision at its start is known, or when the term is over. */
	async takeLease(lease: HeldLease): Promise<void> {
		const term: LeaseTerm = {lease};
		this.#leaseTerm = term;
		while (this.#leaseTerm === term) {
			try {
				const {baseRevision} = await this.#options.store.checkChange([]);
				this.#dispatchDuring(term, {type: 'leaseTaken', revision: baseRevision});
				return;
			} catch (error) {
				logExpectedFailure(error, 'fleet_head_read_failed', this.#options.logger);
				await pauseFor(this.#options.clock, retryDelayMs);
			}
		}
	}

	/** Ends the current lease term. */
	loseLease(): void {
		this.#leaseTerm = {lease: undefined};
		this.#dispatch({type: 'leaseLost'});
	}

	/** Reports a suspicion, from a gate or another observer, that the host does not serve correctly. */
	reportSuspicion(host: string): void {
		this.#dispatch({type: 'hostSuspected', nowMs: this.#nowMs(), host});
	}

	/** Whether this controller holds the lease and therefore probes the hosts. */
	get isActive(): boolean {
		return this.#runtime.state.isActive;
	}

	/** Returns the plan of a wave for `GET /v1/waves/{wave}/plan`. */
	async describePlan(wave: string): Promise<JsonObject | undefined> {
		return describeWavePlan(await this.#stateWithWaves(), wave, this.#nowMs());
	}

	/** Returns the progress of a wave for `GET /v1/waves/{wave}`. The reason why a wave is blocked is known only to the controller that holds the lease. */
	async describeProgress(wave: string): Promise<JsonObject | undefined> {
		return describeWaveProgress(await this.#stateWithWaves(), wave, this.#nowMs());
	}

	/** Returns the state for the process's dump. */
	dump(): JsonObject {
		const {state} = this.#runtime;
		return {
			isActive: state.isActive,
			revision: state.settings.revision,
			awaitedRevision: state.awaitedRevision,
			listedAtMs: state.listedAtMs ?? 0,
			pending: [...state.pending.keys()],
			waves: Object.fromEntries([...state.waves ?? []].map(([wave, {progress, version}]) => [wave, {version, progress: waveToJson(progress)}])),
			moveDrains: [...state.moveDrains.keys()],
			blocked: Object.fromEntries(state.blockedLog),
		};
	}

	/** Returns this controller's state; if it has no waves because it does not hold the lease, with the rows read from the table service. */
	async #stateWithWaves(): Promise<FleetState> {
		if (this.#runtime.state.waves !== undefined) {
			return this.#runtime.state;
		}

		const stored = await readWaves(this.#options.table, this.#options.logger);
		return withStoredWaves({...this.#runtime.state, blockedLog: new Map()}, stored);
	}

	/** Ends the given lease term after a write showed that another process holds the lease. A term that started later is not affected. */
	#endLeaseTerm(term: LeaseTerm): void {
		if (term === this.#leaseTerm) {
			this.loseLease();
		}
	}

	#nowMs(): number {
		return this.#options.clock.wallTimeMs();
	}

	#dispatch(event: FleetEvent): void {
		this.#runtime.dispatch(event);
	}

	#dispatchDuring(term: LeaseTerm, event: FleetEvent): void {
		if (term === this.#leaseTerm) {
			this.#dispatch(event);
		}
	}

	#tick(): void {
		this.#dispatch({type: 'tick', nowMs: this.#nowMs()});
		this.#cancelTick = this.#options.clock.schedule(tickMs, () => {
			this.#tick();
		});
	}

	async #pollHosts(): Promise<void> {
		try {
			const listing = await this.#options.hostList.list();
			this.#dispatch({type: 'hostsListed', nowMs: this.#nowMs(), ...listing});
		} catch (error) {
			logExpectedFailure(error, 'host_list_failed', this.#options.logger);
		}

		this.#cancelPoll = this.#options.clock.schedule(hostPollIntervalMs, () => {
			void this.#pollHosts();
		});
	}

	#perform(effect: FleetEffect): void {
		switch (effect.type) {
			case 'commitHostChange': {
				const term = this.#leaseTerm;
				this.#commits.commit(effect, term, outcome => {
					this.#completeCommit(effect, term, outcome);
				});
				break;
			}

			case 'loadWaves':
			case 'saveWave':
			case 'reboot':
			case 'probeHost':
			case 'queryGates': {
				void this.#performCall(effect);
				break;
			}

			case 'log': {
				this.#options.logger[effect.level](effect.fields);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	/** Performs a call and dispatches the resulting event; an expected failure becomes `callFailed`. */
	async #performCall(effect: FleetCall): Promise<void> {
		const term = this.#leaseTerm;
		try {
			this.#dispatchDuring(term, await this.#calls.perform(effect, term));
		} catch (error) {
			logExpectedFailure(error, 'fleet_call_failed', this.#options.logger);
			this.#dispatchDuring(term, {type: 'callFailed', call: effect.call});
		}
	}

	#completeCommit({calls}: SettingsCall, term: LeaseTerm, outcome: CommitOutcome): void {
		switch (outcome.type) {
			case 'committed': {
				this.#options.replica.offerChanges([outcome.change]);
				this.#dispatchDuring(term, {type: 'changeCommitted', calls, revision: outcome.change.revision});
				break;
			}

			case 'refused': {
				this.#dispatchDuring(term, {type: 'changeRefused', calls});
				break;
			}

			case 'fenced': {
				this.#endLeaseTerm(term);
				break;
			}

			case 'over': {
				break;
			}

			default: {
				assertNever(outcome);
			}
		}
	}
}
