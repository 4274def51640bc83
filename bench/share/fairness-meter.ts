/**
Compares the running requests of each team with its weighted max-min fair share of the pool while the pool is full and requests wait.

A team is backlogged while its demand exceeds its fair share. A team with a lower demand that still has waiting requests is only between two slots; its shortfall is counted separately.
*/
import {divideMaxMin} from '../../packages/gate/src/slots/max-min.js';

/** State of one team in one pool over all gates at one moment. */
export type TeamSample = {
	readonly team: string;
	readonly share: number;
	readonly running: number;
	readonly waiting: number;
	/** Maximum number of running requests that its upper limit allows. */
	readonly limit: number;
};

type SlotSums = {actual: number; ideal: number};

const demandTolerance = 1e-6;

const addSample = (sums: Map<string, SlotSums>, team: string, actual: number, ideal: number): void => {
	const sum = sums.get(team) ?? {actual: 0, ideal: 0};
	sum.actual += actual;
	sum.ideal += ideal;
	sums.set(team, sum);
};

/** Accumulates the shares of teams in one pool during one peak. */
export class FairnessMeter {
	#capacity = 0;
	#used = 0;
	readonly #backlogged = new Map<string, SlotSums>();
	readonly #waiting = new Map<string, SlotSums>();

	/** Adds the sample of one moment. The sample is ignored unless the demand exceeds the capacity. */
	sample(capacity: number, teams: readonly TeamSample[]): void {
		const demands = teams
			.filter(team => team.running + team.waiting > 0)
			.map(team => ({name: team.team, weight: team.share, demand: Math.min(team.running + team.waiting, team.limit)}));
		const demand = demands.reduce((sum, entry) => sum + entry.demand, 0);
		if (demand <= capacity) {
			return;
		}

		const ideal = divideMaxMin(demands, capacity);
		this.#capacity += capacity;
		for (const {team, running, waiting, limit} of teams) {
			const allocation = ideal.get(team) ?? 0;
			this.#used += running;
			if (waiting > 0) {
				addSample(this.#waiting, team, running, allocation);
			}

			if (Math.min(running + waiting, limit) > allocation + demandTolerance) {
				addSample(this.#backlogged, team, running, allocation);
			}
		}
	}

	/** Fraction of the capacity that was used while requests waited, or `undefined` if none did. */
	get utilisation(): number | undefined {
		return this.#capacity === 0 ? undefined : this.#used / this.#capacity;
	}

	/** Largest difference between a backlogged team's actual share of the pool and its fair share. */
	worstError(): number {
		return Math.max(0, ...[...this.#backlogged.values()].map(({actual, ideal}) => Math.abs(actual - ideal) / this.#capacity));
	}

	/** Largest shortfall of any team with waiting requests, backlogged or not, against its fair share, as a fraction of the pool. */
	worstShortfall(): number {
		return Math.max(0, ...[...this.#waiting.values()].map(({actual, ideal}) => (ideal - actual) / this.#capacity));
	}
}
