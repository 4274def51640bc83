/**
Plans a wave before it starts: the batches of hosts, the spare hosts that would be transferred, the expected time and the binding budget. It simulates the choices of the running wave, batch by batch, on a copy of the settings.
*/
import {
	type Finding, type FleetSettings, type Host, type Wave,
} from '@poplarnotch/common';
import {BudgetTracker, homePoolOf, type Shortfall} from '../budgets/budget-tracker.js';
import {chooseTransfers} from '../moves/choose-transfers.js';
import {isServing} from '../observations.js';
import {type HostObservation} from '../types.js';
import {chooseHosts} from './choose-hosts.js';
import {remainingExposure} from './exposure.js';
import {coveredHosts} from './progress.js';

/** Input of a plan. */
export type WavePlanInput = {
	readonly wave: string;
	readonly definition: Wave;
	readonly settings: FleetSettings;
	readonly observations: ReadonlyMap<string, HostObservation>;
	readonly nowMs: number;
	/** Time that one host takes from cordon to return; `undefined` if it is not known, in which case the wave's own time limits are used. */
	readonly hostMs: number | undefined;
	/** Hosts that the wave has completed or skipped. */
	readonly finished: ReadonlySet<string>;
};

/** The planned course of a wave. */
export type WavePlan = {
	readonly wave: string;
	readonly batches: ReadonlyArray<readonly string[]>;
	readonly expectedMs: number;
	/** Largest number of borrowed hosts at one time. */
	readonly bufferHosts: number;
	/** Number of moves between pools, including returns. */
	readonly moves: number;
	/** The budget that most often forbids taking one more host. */
	readonly bindingBudget: string | undefined;
	/** Why hosts are left out of the plan, what would allow them, and whether the deadline is too early. */
	readonly findings: readonly Finding[];
};

/** Simulates the choices of a wave on a copy of the settings. Mutable; used for one plan only. */
class WaveSimulation {
	readonly batches: Array<readonly string[]> = [];
	bufferHosts = 0;
	moves = 0;
	readonly #input: WavePlanInput;
	readonly #hosts: Map<string, Host>;
	readonly #settings: FleetSettings;
	readonly #pending: Set<string>;
	readonly #bindingCounts = new Map<string, number>();

	constructor(input: WavePlanInput, pending: readonly string[]) {
		this.#input = input;
		this.#hosts = new Map(input.settings.hosts);
		this.#settings = {...input.settings, hosts: this.#hosts};
		this.#pending = new Set(pending);
	}

	get pending(): ReadonlySet<string> {
		return this.#pending;
	}

	get bindingBudget(): string | undefined {
		return [...this.#bindingCounts].toSorted(([, a], [, b]) => b - a)[0]?.[0];
	}

	/** Plans batches until no host is left or the budgets forbid all that are left. */
	run(): void {
		while (this.#pending.size > 0 && this.#planBatch()) {
			this.#returnBorrowedHosts();
		}
	}

	/** The budgets that forbid taking the remaining hosts. */
	shortfalls(): readonly Shortfall[] {
		const budgets = this.#createTracker();
		const byBudget = new Map<string, Shortfall>();
		for (const shortfall of [...this.#pending].flatMap(name => budgets.shortfalls(name))) {
			const known = byBudget.get(shortfall.budget);
			byBudget.set(shortfall.budget, known === undefined || known.shortBy > shortfall.shortBy ? shortfall : known);
		}

		return [...byBudget.values()];
	}

	#createTracker(): BudgetTracker {
		return new BudgetTracker({
			settings: this.#settings, observations: this.#input.observations, nowMs: this.#input.nowMs, taken: new Set(),
		});
	}

	#planBatch(): boolean {
		this.#transferSpareHosts();
		const budgets = this.#createTracker();
		const healthy = this.batches.reduce((sum, batch) => sum + batch.length, 0);
		const limit = remainingExposure(this.#input.definition, {healthy, failures: 0, inFlight: 0});
		const batch = chooseHosts(this.#settings, budgets, [...this.#pending], limit);
		for (const name of batch) {
			this.#pending.delete(name);
		}

		if (batch.length > 0) {
			this.batches.push(batch);
			this.#countBindingBudgets(budgets);
		}

		return batch.length > 0;
	}

	#countBindingBudgets(budgets: BudgetTracker): void {
		for (const {budget} of [...this.#pending].flatMap(name => budgets.shortfalls(name))) {
			this.#bindingCounts.set(budget, (this.#bindingCounts.get(budget) ?? 0) + 1);
		}
	}

	#transferSpareHosts(): void {
		const waiting = new Map<string, string[]>();
		for (const name of this.#pending) {
			const {pool} = this.#hosts.get(name)!;
			waiting.set(pool, [...waiting.get(pool) ?? [], name]);
		}

		const transfers = chooseTransfers({
			settings: this.#settings, budgets: this.#createTracker(), projectedBudgets: this.#createTracker(), waiting: this.#withoutSparePools(waiting), transferable: this.#servingSpareHosts(),
		});
		for (const {host, pool} of transfers) {
			const known = this.#hosts.get(host)!;
			this.#hosts.set(host, {...known, pool, homePool: homePoolOf(known)});
			this.moves++;
		}

		this.bufferHosts = Math.max(this.bufferHosts, this.#borrowedHosts().length);
	}

	#withoutSparePools(waiting: ReadonlyMap<string, readonly string[]>): ReadonlyMap<string, readonly string[]> {
		return new Map([...waiting].filter(([pool]) => this.#settings.pools.get(pool)?.spare !== true));
	}

	#servingSpareHosts(): readonly string[] {
		return [...this.#hosts]
			.filter(([, host]) => this.#settings.pools.get(host.pool)?.spare === true)
			.filter(([name, host]) => isServing(host, this.#input.observations.get(name)))
			.map(([name]) => name);
	}

	#borrowedHosts(): ReadonlyArray<readonly [string, Host]> {
		return [...this.#hosts].filter(([, host]) => homePoolOf(host) !== host.pool);
	}

	#returnBorrowedHosts(): void {
		const needed = new Set([...this.#pending].map(name => this.#hosts.get(name)!.pool));
		for (const [name, host] of this.#borrowedHosts()) {
			if (!needed.has(host.pool)) {
				this.#hosts.set(name, {...host, pool: homePoolOf(host), homePool: undefined});
				this.moves++;
			}
		}
	}
}

const budgetFinding = ({budget, pool, shortBy}: Shortfall): Finding => ({
	place: `/budgets/${budget}`,
	code: 'budget-forbids',
	message: `leaves no room to drain a host of pool "${pool}"; ${shortBy} more serving hosts outside its worst failure domains, or a requirement lower by ${shortBy}, would free it`,
});

const notServingFinding = (name: string): Finding => ({
	place: `/hosts/${name}`,
	code: 'host-not-serving',
	message: 'is not serving; the wave takes it when it serves',
});

const deadlineFinding = (wave: string): Finding => ({
	place: `/waves/${wave}/deadlineMs`,
	code: 'deadline-too-early',
	message: 'the wave would not be done by its deadline',
});

/** Plans the wave from the current settings and observations. */
export const planWave = (input: WavePlanInput): WavePlan => {
	const {wave, definition, settings, observations, nowMs} = input;
	const remaining = coveredHosts(settings, definition).filter(name => !input.finished.has(name));
	const serving = remaining.filter(name => isServing(settings.hosts.get(name)!, observations.get(name)));
	const simulation = new WaveSimulation(input, serving);
	simulation.run();
	const hostMs = input.hostMs ?? (definition.drainTimeoutMs + definition.rebootTimeoutMs);
	const expectedMs = simulation.batches.length * hostMs;
	const isLate = definition.deadlineMs > 0 && nowMs + expectedMs > definition.deadlineMs;
	const servingNames = new Set(serving);
	return {
		wave,
		batches: simulation.batches,
		expectedMs,
		bufferHosts: simulation.bufferHosts,
		moves: simulation.moves,
		bindingBudget: simulation.bindingBudget,
		findings: [
			...(simulation.pending.size > 0 ? simulation.shortfalls().map(budgetFinding) : []),
			...remaining.filter(name => !servingNames.has(name)).map(notServingFinding),
			...(isLate ? [deadlineFinding(wave)] : []),
		],
	};
};
