/**
The waiting requests of one pool, by team, and the choice of the team that is served next: weighted max-min over slot time.

Each team has a virtual time: the slot time that it has used in the pool, divided by its weight. The team with the smallest virtual time, including the expected cost of its running requests, is served next. A team that was idle starts at the virtual time of the pool, so that other teams may use idle shares without owing or being owed anything. Counting slot time instead of running requests also keeps the shares when a gate has fewer slots than there are teams.

The queues mutate private state that only the reducer owns.
*/
import {
	initialRunMs, minTeamWeight, maxCreditRuns, maxVirtualLeadMs, runAverageWeight,
} from '../constants.js';
import {LinkedQueue, type QueueEntry} from './linked-queue.js';

/** Position of a request in a pool's queues. */
export type QueuePosition<Value> = {
	readonly team: string;
	readonly isUrgent: boolean;
	readonly entry: QueueEntry<Value>;
};

type TeamQueue<Value> = {
	readonly name: string;
	readonly urgent: LinkedQueue<Value>;
	readonly normal: LinkedQueue<Value>;
	weight: number;
	running: number;
	virtualTimeMs: number;
	updatedMs: number;
	wasSkipped: boolean;
};

/** Returns true if the team may start one more request now. */
export type HasHeadroom = (team: string) => boolean;

/** Running and waiting requests of one team. */
export type TeamLoad = {
	readonly running: number;
	readonly waiting: number;
};

const waitingIn = (team: TeamQueue<unknown>): number => team.urgent.size + team.normal.size;

/** The queues of one pool. */
export class FairQueue<Value> {
	readonly #teams = new Map<string, TeamQueue<Value>>();
	#poolVirtualTimeMs = 0;
	#meanRunMs = initialRunMs;
	#waiting = 0;

	/** Number of waiting requests of all teams. */
	get waiting(): number {
		return this.#waiting;
	}

	/** Moving average of run times. */
	get meanRunMs(): number {
		return this.#meanRunMs;
	}

	/** Sets a team's weight. Slot time used before counts with the previous weight. */
	setWeight(name: string, weight: number, nowMs: number): void {
		const team = this.#getOrCreateTeam(name);
		this.#advanceVirtualTime(team, nowMs);
		team.weight = Math.max(weight, minTeamWeight);
	}

	/** Adds a request at the back of its team's queue. */
	pushBack(name: string, isUrgent: boolean, value: Value, nowMs: number): QueuePosition<Value> {
		const team = this.#prepareTeamForPush(name, nowMs);
		const entry = (isUrgent ? team.urgent : team.normal).pushBack(value);
		this.#waiting++;
		return {team: name, isUrgent, entry};
	}

	/** Puts a request back at the front of its team's queue, before a retry or after it was skipped. */
	pushFront(name: string, isUrgent: boolean, value: Value, nowMs: number): QueuePosition<Value> {
		const team = this.#prepareTeamForPush(name, nowMs);
		const entry = (isUrgent ? team.urgent : team.normal).pushFront(value);
		this.#waiting++;
		return {team: name, isUrgent, entry};
	}

	/** Removes a request from any position in its queue. Returns false if it was removed before. */
	remove(position: QueuePosition<Value>): boolean {
		const team = this.#getOrCreateTeam(position.team);
		const isRemoved = (position.isUrgent ? team.urgent : team.normal).remove(position.entry);
		if (isRemoved) {
			this.#waiting--;
		}

		return isRemoved;
	}

	/** Returns the request to serve next, without removing it from its queue. */
	peekNext(hasHeadroom: HasHeadroom, nowMs: number): Value | undefined {
		let best: TeamQueue<Value> | undefined;
		let bestKey = Infinity;
		for (const team of this.#teams.values()) {
			if (waitingIn(team) === 0) {
				continue;
			}

			this.#advanceVirtualTime(team, nowMs);
			if (!hasHeadroom(team.name)) {
				team.wasSkipped = true;
				continue;
			}

			this.#limitVirtualTime(team);
			const key = team.virtualTimeMs + ((team.running + 1) * this.#meanRunMs / team.weight);
			if (key < bestKey) {
				best = team;
				bestKey = key;
			}
		}

		if (best === undefined) {
			return undefined;
		}

		this.#poolVirtualTimeMs = Math.max(this.#poolVirtualTimeMs, best.virtualTimeMs);
		return best.urgent.first ?? best.normal.first;
	}

	/** Records that a request of the team has started. */
	started(name: string, nowMs: number): void {
		const team = this.#getOrCreateTeam(name);
		this.#advanceVirtualTime(team, nowMs);
		team.running++;
	}

	/** Records that a request of the team has released its slot. */
	released(name: string, heldMs: number, nowMs: number): void {
		const team = this.#getOrCreateTeam(name);
		this.#advanceVirtualTime(team, nowMs);
		team.running--;
		this.#meanRunMs += (heldMs - this.#meanRunMs) * runAverageWeight;
	}

	/** Running and waiting requests by team, without teams that have neither. */
	loads(): ReadonlyMap<string, TeamLoad> {
		const loads = new Map<string, TeamLoad>();
		for (const team of this.#teams.values()) {
			const waiting = waitingIn(team);
			if (waiting > 0 || team.running > 0) {
				loads.set(team.name, {running: team.running, waiting});
			}
		}

		return loads;
	}

	#prepareTeamForPush(name: string, nowMs: number): TeamQueue<Value> {
		const team = this.#getOrCreateTeam(name);
		this.#advanceVirtualTime(team, nowMs);
		if (waitingIn(team) === 0) {
			this.#limitCredit(team);
		}

		return team;
	}

	/** Limits the credit of a team whose queue was empty or that was skipped. A queue that is empty for a moment between two requests keeps its precedence, and a long idle time earns no more than that. */
	#limitCredit(team: TeamQueue<Value>): void {
		const credit = maxCreditRuns * this.#meanRunMs / team.weight;
		team.virtualTimeMs = Math.max(team.virtualTimeMs, this.#poolVirtualTimeMs - credit);
	}

	/** Limits a team's virtual time in both directions. A team that was skipped because of its limit earns no credit meanwhile; a team's lead is limited so that it is never locked out for long. */
	#limitVirtualTime(team: TeamQueue<Value>): void {
		if (team.wasSkipped) {
			team.wasSkipped = false;
			this.#limitCredit(team);
		}

		team.virtualTimeMs = Math.min(team.virtualTimeMs, this.#poolVirtualTimeMs + (maxVirtualLeadMs / team.weight));
	}

	#advanceVirtualTime(team: TeamQueue<Value>, nowMs: number): void {
		if (nowMs > team.updatedMs) {
			team.virtualTimeMs += team.running * (nowMs - team.updatedMs) / team.weight;
			team.updatedMs = nowMs;
		}
	}

	#getOrCreateTeam(name: string): TeamQueue<Value> {
		let team = this.#teams.get(name);
		if (team === undefined) {
			team = {
				name,
				urgent: new LinkedQueue(),
				normal: new LinkedQueue(),
				weight: 1,
				running: 0,
				virtualTimeMs: this.#poolVirtualTimeMs,
				updatedMs: 0,
				wasSkipped: false,
			};
			this.#teams.set(name, team);
		}

		return team;
	}
}
