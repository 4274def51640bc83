/**
Runs the fleet's reducer in a controller: feeds it time, settings and host lists, and performs its effects while this controller holds the lease on waves. A change whose outcome is not known is repeated under its id until it is; answers that belong to an earlier holding of the lease are dropped.
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
import {listIntervalMs, retryMs, tickMs} from './constants.js';
import {expectFailure} from './expect-failure.js';
import {type FleetCall, FleetCalls} from './fleet-calls.js';
import {type CommitEnd, FleetCommits, type LeaseHolding} from './fleet-commits.js';
import {readWaves, waveToJson} from './fleet-rows.js';
import {type FleetRunnerOptions} from './fleet-types.js';

/** Owns the fleet's state in one controller. */
export class FleetRunner {
	readonly #options: FleetRunnerOptions;
	readonly #runtime: ReducerRuntime<FleetState, FleetEvent, FleetEffect>;
	readonly #calls: FleetCalls;
	readonly #commits: FleetCommits;
	/** An answer counts only for the holding in which it was asked for. */
	#holding: LeaseHolding = {lease: undefined};
	#cancelTick: CancelTimer | undefined;
	#cancelList: CancelTimer | undefined;
	#removeListener: (() => void) | undefined;

	constructor(options: FleetRunnerOptions) {
		this.#options = options;
		this.#calls = new FleetCalls(options, holding => {
			this.#loseHolding(holding);
		});
		this.#commits = new FleetCommits(options, holding => holding === this.#holding);
		this.#runtime = new ReducerRuntime(initialFleetState, reduceFleet, effect => {
			this.#perform(effect);
		});
	}

	/** Starts observing the fleet. Nothing is begun before `takeLease`. */
	start(): void {
		this.#dispatch({type: 'settingsChanged', settings: this.#options.replica.current});
		this.#removeListener = this.#options.replica.onChange(settings => {
			this.#dispatch({type: 'settingsChanged', settings});
		});
		this.#tick();
		void this.#list();
	}

	stop(): void {
		this.loseLease();
		this.#cancelTick?.();
		this.#cancelList?.();
		this.#removeListener?.();
	}

	/** This controller holds the lease from now on. Resolves when it knows how far the settings had come. */
	async takeLease(lease: HeldLease): Promise<void> {
		const holding: LeaseHolding = {lease};
		this.#holding = holding;
		while (this.#holding === holding) {
			try {
				const {baseRevision} = await this.#options.store.checkChange([]);
				this.#dispatchIn(holding, {type: 'leaseTaken', revision: baseRevision});
				return;
			} catch (error) {
				expectFailure(error, 'fleet_head_read_failed', this.#options.logger);
				await pauseFor(this.#options.clock, retryMs);
			}
		}
	}

	/** This controller no longer holds the lease. */
	loseLease(): void {
		this.#holding = {lease: undefined};
		this.#dispatch({type: 'leaseLost'});
	}

	/** A sign that the host does not serve as it should, from a gate or elsewhere. */
	suspect(host: string): void {
		this.#dispatch({type: 'hostSuspected', nowMs: this.#nowMs(), host});
	}

	/** Whether this controller holds the lease and observes the hosts. */
	get isActive(): boolean {
		return this.#runtime.state.isActive;
	}

	/** `GET /v1/waves/{wave}/plan`. */
	async describePlan(wave: string): Promise<JsonObject | undefined> {
		return describeWavePlan(await this.#describedState(), wave, this.#nowMs());
	}

	/** `GET /v1/waves/{wave}`. What blocks a wave is known only to the controller that holds the lease. */
	async describeProgress(wave: string): Promise<JsonObject | undefined> {
		return describeWaveProgress(await this.#describedState(), wave, this.#nowMs());
	}

	/** State for the process's dump. */
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

	/** This controller's state; without the lease, with the waves' rows as they stand in the table service. */
	async #describedState(): Promise<FleetState> {
		if (this.#runtime.state.waves !== undefined) {
			return this.#runtime.state;
		}

		const stored = await readWaves(this.#options.table, this.#options.logger);
		return withStoredWaves({...this.#runtime.state, blockedLog: new Map()}, stored);
	}

	/** A write showed that the lease is held elsewhere; a holding that began later is not concerned. */
	#loseHolding(holding: LeaseHolding): void {
		if (holding === this.#holding) {
			this.loseLease();
		}
	}

	#nowMs(): number {
		return this.#options.clock.wallTimeMs();
	}

	#dispatch(event: FleetEvent): void {
		this.#runtime.dispatch(event);
	}

	#dispatchIn(holding: LeaseHolding, event: FleetEvent): void {
		if (holding === this.#holding) {
			this.#dispatch(event);
		}
	}

	#tick(): void {
		this.#dispatch({type: 'tick', nowMs: this.#nowMs()});
		this.#cancelTick = this.#options.clock.schedule(tickMs, () => {
			this.#tick();
		});
	}

	async #list(): Promise<void> {
		try {
			const listing = await this.#options.hostList.list();
			this.#dispatch({type: 'hostsListed', nowMs: this.#nowMs(), ...listing});
		} catch (error) {
			expectFailure(error, 'host_list_failed', this.#options.logger);
		}

		this.#cancelList = this.#options.clock.schedule(listIntervalMs, () => {
			void this.#list();
		});
	}

	#perform(effect: FleetEffect): void {
		switch (effect.type) {
			case 'commitHostChange': {
				const holding = this.#holding;
				this.#commits.commit(effect, holding, end => {
					this.#endCommit(effect, holding, end);
				});
				break;
			}

			case 'loadWaves':
			case 'saveWave':
			case 'reboot':
			case 'probeHost':
			case 'askGates': {
				void this.#call(effect);
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

	/** Performs a call and dispatches its answer; a failure that is part of normal work becomes `callFailed`. */
	async #call(effect: FleetCall): Promise<void> {
		const holding = this.#holding;
		try {
			this.#dispatchIn(holding, await this.#calls.perform(effect, holding));
		} catch (error) {
			expectFailure(error, 'fleet_call_failed', this.#options.logger);
			this.#dispatchIn(holding, {type: 'callFailed', call: effect.call});
		}
	}

	#endCommit({calls}: SettingsCall, holding: LeaseHolding, end: CommitEnd): void {
		switch (end.type) {
			case 'committed': {
				this.#options.replica.offerChanges([end.change]);
				this.#dispatchIn(holding, {type: 'changeCommitted', calls, revision: end.change.revision});
				break;
			}

			case 'refused': {
				this.#dispatchIn(holding, {type: 'changeRefused', calls});
				break;
			}

			case 'fenced': {
				this.#loseHolding(holding);
				break;
			}

			case 'over': {
				break;
			}

			default: {
				assertNever(end);
			}
		}
	}
}
