/**
This gate's part of each team's upper limit: reports the running and waiting requests of each team, and provides the number of requests that the gate may run.
*/
import {type FleetSettings} from '@poplarnotch/common';
import {type AllotmentManager} from '@poplarnotch/state';
import {type GateState, teamDemands} from '../state.js';

/** The allotments of this gate's teams. */
export class TeamAllotments {
	readonly #manager: AllotmentManager;
	/** The demand last reported, by team. */
	readonly #reported = new Map<string, string>();

	constructor(manager: AllotmentManager, onChange: () => void) {
		this.#manager = manager;
		manager.onChange(onChange);
	}

	start(): void {
		this.#manager.start();
	}

	/** Adds a listener that is called before each decision on allotments, so that the decision includes the requests that the gate has just started. */
	beforeDecision(listener: () => void): void {
		this.#manager.beforeDecision(listener);
	}

	applySettings(settings: FleetSettings): void {
		this.#manager.applySettings(settings);
	}

	/** Number of requests that each team may run at this gate; 0 if this process was stalled. */
	amounts(settings: FleetSettings): ReadonlyMap<string, number> {
		return new Map([...settings.teams.keys()].map(team => [team, this.#manager.amountOf(team)]));
	}

	/** Reports the teams whose demand changed since the last call. Slots in their cancel grace period count as running. */
	reportDemands(state: GateState): void {
		const demands = teamDemands(state);
		for (const team of new Set([...demands.keys(), ...state.runningByTeam.keys(), ...this.#reported.keys()])) {
			const running = state.runningByTeam.get(team) ?? 0;
			const waiting = demands.get(team)?.waiting ?? 0;
			const text = `${running} ${waiting}`;
			if (this.#reported.get(team) !== text) {
				this.#reported.set(team, text);
				this.#manager.reportDemand({team, running, waiting});
			}
		}
	}

	/** Releases all allotments; resolves when none is held any more, or at the time limit. */
	async releaseAll(timeoutMs: number): Promise<void> {
		await this.#manager.releaseAll(timeoutMs);
	}

	close(): void {
		this.#manager.close();
	}
}
