/**
Performs the calls that the fleet's reducer requests. Each call results in one event.
*/
import {assertNever} from '@poplarnotch/common';
import {ConflictError, WriteOutcomeUnknownError} from '@poplarnotch/platform';
import {type FleetEffect, type FleetEvent} from '../fleet/types.js';
import {isFenced} from './failures.js';
import {type LeaseTerm} from './fleet-commits.js';
import {readWaves, waveKey, waveToJson} from './fleet-rows.js';
import {type FleetRunnerOptions} from './fleet-types.js';

type EffectOf<Type extends FleetEffect['type']> = Extract<FleetEffect, {readonly type: Type}>;

/** The effects that are one call with one resulting event. */
export type FleetCall = EffectOf<'loadWaves' | 'saveWave' | 'reboot' | 'probeHost' | 'queryGates'>;

/** Calls the platform, backend servers and gates. */
export class FleetCalls {
	readonly #options: FleetRunnerOptions;
	readonly #onFenced: (term: LeaseTerm) => void;

	/** `onFenced` is called when a rejected write shows that another process holds the lease. */
	constructor(options: FleetRunnerOptions, onFenced: (term: LeaseTerm) => void) {
		this.#options = options;
		this.#onFenced = onFenced;
	}

	/** Performs a call; rejects with the errors of the interface that it uses. */
	async perform(effect: FleetCall, term: LeaseTerm): Promise<FleetEvent> {
		switch (effect.type) {
			case 'loadWaves': {
				const waves = await readWaves(this.#options.table, this.#options.logger);
				return {type: 'wavesLoaded', call: effect.call, waves};
			}

			case 'saveWave': {
				return this.#saveWave(effect, term);
			}

			case 'reboot': {
				return this.#reboot(effect);
			}

			case 'probeHost': {
				return this.#probeHost(effect);
			}

			case 'queryGates': {
				return this.#queryGates(effect);
			}

			default: {
				return assertNever(effect);
			}
		}
	}

	#nowMs(): number {
		return this.#options.clock.wallTimeMs();
	}

	async #saveWave({call, progress, expectedVersion}: EffectOf<'saveWave'>, term: LeaseTerm): Promise<FleetEvent> {
		const {lease} = term;
		if (lease === undefined) {
			return {type: 'callFailed', call};
		}

		const key = waveKey(progress.wave);
		try {
			const {revision} = await this.#options.table.commit({
				conditions: [{key, version: expectedVersion}, lease.fence],
				writes: [{type: 'put', key, value: waveToJson(progress)}],
			});
			return {
				type: 'waveSaved', call, progress, version: revision,
			};
		} catch (error) {
			if (isFenced(error, lease)) {
				this.#onFenced(term);
			}

			if (error instanceof ConflictError || error instanceof WriteOutcomeUnknownError) {
				return {type: 'waveSaveUncertain', call};
			}

			throw error;
		}
	}

	async #reboot({call, host, rebootId, change}: EffectOf<'reboot'>): Promise<FleetEvent> {
		await this.#options.workers.reboot(host, rebootId, change);
		return {
			type: 'rebootAccepted', call, nowMs: this.#nowMs(), rebootId,
		};
	}

	async #probeHost({call, host, address}: EffectOf<'probeHost'>): Promise<FleetEvent> {
		const requestedAtMs = this.#nowMs();
		const isHealthy = await this.#options.probe.probe(address);
		return {
			type: 'probeCompleted', call, nowMs: this.#nowMs(), requestedAtMs, host, isHealthy,
		};
	}

	async #queryGates({call, hosts, revision}: EffectOf<'queryGates'>): Promise<FleetEvent> {
		const requestedAtMs = this.#nowMs();
		const result = await this.#options.queryGates(hosts, revision);
		return {
			type: 'gatesReported', call, requestedAtMs, ...result,
		};
	}
}
