/**
This gate's part of each team's upper limit: reports what the teams run and wait for, and reads what the gate may have running.
*/
import {type FleetSettings} from '@poplarnotch/common';
import {type AllotmentManager} from '@poplarnotch/state';
import {type GateState, teamDemands} from '../state.js';

/** Allotments as the gate's shell uses them. */
export class TeamAllotments {
	readonly #manager: AllotmentManager;
	/** Numbers last reported, by team. */
	readonly #reported = new Map<string, string>();

	constructor(manager: AllotmentManager, onChange: () => void) {
		this.#manager = manager;
		manager.onChange(onChange);
	}

	start(): void {
		this.#manager.start();
	}

	/** Calls back before each decision on parts, which must not miss what the gate has just started. */
	beforeDecision(listener: () => void): void {
		this.#manager.beforeDecision(listener);
	}

	applySettings(settings: FleetSettings): void {
		this.#manager.applySettings(settings);
	}

	/** What each team may have running here; 0 where this process was stalled. */
	amounts(settings: FleetSettings): ReadonlyMap<string, number> {
		return new Map([...settings.teams.keys()].map(team => [team, this.#manager.amountOf(team)]));
	}

	/** Reports the teams whose numbers changed since the last call. Slots in their cancel grace count as running. */
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

	/** Returns everything; resolves when nothing is held any more, or at the time limit. */
	async handBack(timeoutMs: number): Promise<void> {
		await this.#manager.releaseAll(timeoutMs);
	}

	close(): void {
		this.#manager.close();
	}
}
