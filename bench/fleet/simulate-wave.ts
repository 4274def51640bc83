/**
Runs a maintenance wave through the fleet's reducer in virtual time, with hosts that always return from their reboot. Measures the rollout time, borrowed hosts, moves, violated budgets and the duration of each decision.
*/
import {performance} from 'node:perf_hooks';
import {
	type FleetSettings, type Host, type SettingsEdit, VirtualClock,
} from '@poplarnotch/common';
import {
	type FleetEffect, type FleetEvent, type FleetState, initialFleetState, reduceFleet,
} from '@poplarnotch/controller';

export const drainMs = 10_000;
export const rebootMs = 120_000;
const listIntervalMs = 500;
const effectDelayMs = 20;
const maxWaveMs = 86_400_000;

/** Measurements of one run. */
export type WaveRun = {
	readonly rolloutMs: number;
	readonly isDone: boolean;
	readonly budgetBreaks: number;
	readonly bufferHosts: number;
	readonly moves: number;
	readonly decisionMs: readonly number[];
	readonly finishedAtMs: ReadonlyMap<string, number>;
};

const withEdits = (settings: FleetSettings, edits: readonly SettingsEdit[]): FleetSettings => {
	const hosts = new Map(settings.hosts);
	for (const {path, value} of edits) {
		const [name, field] = path.split('/').slice(2);
		hosts.set(name!, {...hosts.get(name!)!, [field!]: value});
	}

	return {...settings, hosts, revision: settings.revision + 1};
};

/** Returns true if the pool would keep its budgets after the loss of any one failure domain. This check is implemented independently of the planners. */
const keepsBudgets = (settings: FleetSettings, pool: string): boolean => [...settings.budgets.values()]
	.filter(budget => budget.pool === pool)
	.every(budget => {
		const domainOf = (host: Host): string => budget.domain === 'rack' ? `${host.dataCentre} ${host.rack}` : host.dataCentre;
		const hosts = [...settings.hosts.values()];
		const homeHosts = hosts.filter(host => (host.homePool ?? host.pool) === pool).length;
		const serving = hosts.filter(host => host.pool === pool && host.state === 'serving').map(host => domainOf(host));
		const needed = Math.max(budget.minServing, Math.ceil((budget.minServingShare * homeHosts) - 1e-9));
		return [...new Set(serving)].every(lost => serving.filter(domain => domain !== lost).length >= needed);
	});

class WaveSimulation {
	readonly clock = new VirtualClock();
	readonly decisionMs: number[] = [];
	readonly bootCounts = new Map<string, number>();
	readonly leavingSinceMs = new Map<string, number>();
	readonly finishedAtMs = new Map<string, number>();
	budgetBreaks = 0;
	bufferHosts = 0;
	moves = 0;
	isDone = false;
	#settings: FleetSettings;
	#state: FleetState = initialFleetState;
	#version = 0;
	readonly #tickMs: number;

	constructor(settings: FleetSettings, tickMs: number) {
		this.#tickMs = tickMs;
		this.#settings = settings;
		for (const host of settings.hosts.keys()) {
			this.bootCounts.set(host, 1);
		}

		this.#dispatch({type: 'settingsChanged', settings});
		this.#dispatch({type: 'leaseTaken', revision: settings.revision});
		this.#publishHostList();
		this.#tick();
	}

	#publishHostList(): void {
		const hosts = [...this.bootCounts].map(([host, bootCount]) => ({host, state: 'live' as const, bootCount}));
		this.#dispatch({
			type: 'hostsListed', nowMs: this.clock.nowMs(), ageMs: 0, hosts,
		});
		this.clock.schedule(listIntervalMs, () => {
			this.#publishHostList();
		});
	}

	#tick(): void {
		const startMs = performance.now();
		this.#dispatch({type: 'tick', nowMs: this.clock.nowMs()});
		this.decisionMs.push(performance.now() - startMs);
		this.clock.schedule(this.#tickMs, () => {
			this.#tick();
		});
	}

	#dispatch(event: FleetEvent): void {
		const step = reduceFleet(this.#state, event);
		this.#state = step.state;
		for (const effect of step.effects) {
			this.clock.schedule(effectDelayMs, () => {
				this.#perform(effect);
			});
		}
	}

	#perform(effect: FleetEffect): void {
		switch (effect.type) {
			case 'commitHostChange': {
				if (effect.isExclusive && effect.expectedRevision !== this.#settings.revision) {
					this.#dispatch({type: 'changeRefused', calls: effect.calls});
					break;
				}

				this.#apply(effect.edits);
				this.#dispatch({type: 'settingsChanged', settings: this.#settings});
				this.#dispatch({type: 'changeCommitted', calls: effect.calls, revision: this.#settings.revision});
				break;
			}

			case 'loadWaves': {
				this.#dispatch({type: 'wavesLoaded', call: effect.call, waves: []});
				break;
			}

			case 'saveWave': {
				this.#version++;
				this.isDone = effect.progress.phase === 'done';
				this.#dispatch({
					type: 'waveSaved', call: effect.call, progress: effect.progress, version: this.#version,
				});
				break;
			}

			case 'reboot': {
				this.#dispatch({
					type: 'rebootAccepted', call: effect.call, nowMs: this.clock.nowMs(), rebootId: effect.rebootId,
				});
				this.clock.schedule(rebootMs, () => {
					this.bootCounts.set(effect.host, this.bootCounts.get(effect.host)! + 1);
				});
				break;
			}

			case 'probeHost': {
				const nowMs = this.clock.nowMs();
				this.#dispatch({
					type: 'probeCompleted', call: effect.call, nowMs, requestedAtMs: nowMs, host: effect.host, isHealthy: true,
				});
				break;
			}

			case 'queryGates': {
				this.#answerGates(effect.call, effect.hosts);
				break;
			}

			case 'log': {
				break;
			}
		}
	}

	#answerGates(call: string, hosts: readonly string[]): void {
		const nowMs = this.clock.nowMs();
		const confirmations = hosts.map(host => ({
			processId: 'gate-1', revision: this.#settings.revision, host, inFlight: nowMs - this.leavingSinceMs.get(host)! >= drainMs ? 0 : 1,
		}));
		this.#dispatch({
			type: 'gatesReported', call, requestedAtMs: nowMs, processIds: ['gate-1'], confirmations,
		});
	}

	#apply(edits: readonly SettingsEdit[]): void {
		const before = this.#settings;
		this.#settings = withEdits(before, edits);
		const changedHosts = new Set(edits.map(({path}) => path.split('/')[2]!));
		const drainedPools = new Set<string>();
		for (const name of changedHosts) {
			const from = before.hosts.get(name)!;
			const to = this.#settings.hosts.get(name)!;
			if (from.state === 'serving' && to.state === 'leaving') {
				this.leavingSinceMs.set(name, this.clock.nowMs());
				drainedPools.add(from.pool);
			}

			if (to.maintainedAtMs !== from.maintainedAtMs) {
				this.finishedAtMs.set(name, this.clock.nowMs());
			}

			this.moves += from.pool === to.pool ? 0 : 1;
		}

		this.budgetBreaks += [...drainedPools].filter(pool => !keepsBudgets(this.#settings, pool)).length;
		const borrowedHosts = [...this.#settings.hosts.values()].filter(host => (host.homePool ?? host.pool) !== host.pool).length;
		this.bufferHosts = Math.max(this.bufferHosts, borrowedHosts);
	}
}

/** Runs the fleet's only wave until it is done and borrowed hosts have returned to their home pools. */
export const simulateWave = (settings: FleetSettings, tickMs: number): WaveRun => {
	const simulation = new WaveSimulation(settings, tickMs);
	while (!simulation.isDone && simulation.clock.nowMs() < maxWaveMs) {
		simulation.clock.advance(listIntervalMs);
	}

	const rolloutMs = Math.max(...simulation.finishedAtMs.values());
	simulation.clock.advance(10 * drainMs);
	const {isDone, budgetBreaks, bufferHosts, moves, decisionMs, finishedAtMs} = simulation;
	return {
		rolloutMs, isDone, budgetBreaks, bufferHosts, moves, decisionMs, finishedAtMs,
	};
};
