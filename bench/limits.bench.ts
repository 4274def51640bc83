/**
Measures upper limits over eight gates whose traffic shifts between gates: table writes for allotments, and requests that were abandoned although the fleet ran less than the team's limit. Real allotment managers run in virtual time, once without faults and once with gates that are killed and paused.

`npm run bench -- limits [seconds]`
*/
import {SeededRandom, VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, UnreliableTable} from '@poplarnotch/standin';
import {type SimulatedGate, GateSimulation} from '../packages/state/tests/allotments/gate-simulation.js';

const gateCount = 8;
const teams = ['red', 'green', 'blue', 'white', 'black', 'grey'];
const limit = 40;
const maxRunMs = 2000;
/** Mean run time of requests; run times lie between a tenth of `maxRunMs` and `maxRunMs`. */
const meanRunMs = 1100;
/** Mean demand of a team as a share of its limit. */
const meanLoad = 0.7;
/** Fraction of a team's traffic that goes to its current primary gate. */
const primaryGateFraction = 0.6;
const shiftMs = 10_000;
const faultMs = 20_000;
const restartMs = 2000;
const longestPauseMs = 8000;
const longestWaitMs = 1000;
const stepMs = 50;
const defaultSeconds = 300;
const msPerSecond = 1000;

/** A tenth of the platform's 400 writes a second. */
const writesPerSecondTarget = 40;

/** Arrival times of one team's waiting requests at one incarnation of a gate. */
type Backlog = {
	readonly arrivals: number[];
};

class Traffic {
	arrived = 0;
	abandoned = 0;
	abandonedBelowLimit = 0;
	readonly #simulation: GateSimulation;
	readonly #random: SeededRandom;
	readonly #backlogs = new Map<SimulatedGate, Map<string, Backlog>>();

	constructor(simulation: GateSimulation, random: SeededRandom) {
		this.#simulation = simulation;
		this.#random = random;
	}

	/** Adds new requests to the gates and removes those that waited longer than `longestWaitMs`. */
	step(nowMs: number): void {
		for (const [index, team] of teams.entries()) {
			this.#arrive(team, (Math.floor(nowMs / shiftMs) + index) % gateCount, nowMs);
			this.#abandonExpired(team, nowMs);
		}
	}

	#arrive(team: string, primaryGate: number, nowMs: number): void {
		const mean = limit * meanLoad * stepMs / meanRunMs;
		const count = Math.floor(mean + this.#random.next());
		for (let arrival = 0; arrival < count; arrival++) {
			const gateIndex = this.#random.next() < primaryGateFraction ? primaryGate : Math.floor(this.#random.next() * gateCount);
			const gate = this.#simulation.current(`gate-${gateIndex}`);
			// The load balancer sends no requests to a gate that does not respond.
			if (!gate.isKilled && !gate.process.isPaused) {
				this.arrived++;
				this.#backlogOf(gate, team).arrivals.push(nowMs);
				gate.waiting.set(team, (gate.waiting.get(team) ?? 0) + 1);
			}
		}
	}

	#abandonExpired(team: string, nowMs: number): void {
		let freeCapacity = limit - this.#simulation.running(team);
		for (const gate of this.#simulation.runs.filter(candidate => !candidate.isKilled && !candidate.process.isPaused)) {
			const backlog = this.#backlogOf(gate, team);
			backlog.arrivals.splice(0, backlog.arrivals.length - (gate.waiting.get(team) ?? 0));
			while (backlog.arrivals.length > 0 && nowMs - backlog.arrivals[0]! > longestWaitMs) {
				backlog.arrivals.shift();
				gate.waiting.set(team, gate.waiting.get(team)! - 1);
				this.abandoned++;
				this.abandonedBelowLimit += freeCapacity-- > 0 ? 1 : 0;
			}
		}
	}

	#backlogOf(gate: SimulatedGate, team: string): Backlog {
		const backlogsOfGate = this.#backlogs.get(gate) ?? new Map<string, Backlog>();
		this.#backlogs.set(gate, backlogsOfGate);
		const backlog = backlogsOfGate.get(team) ?? {arrivals: []};
		backlogsOfGate.set(team, backlog);
		return backlog;
	}
}

const injectGateFaults = (simulation: GateSimulation, clock: VirtualClock, random: SeededRandom): void => {
	const killedGate = `gate-${Math.floor(random.next() * gateCount)}`;
	const pausedGate = `gate-${Math.floor(random.next() * gateCount)}`;
	simulation.current(killedGate).kill();
	clock.schedule(restartMs, () => {
		simulation.start(killedGate);
	});
	if (pausedGate !== killedGate) {
		simulation.current(pausedGate).process.pause(random.next() * longestPauseMs);
	}
};

const measure = async (seconds: number, hasFaults: boolean): Promise<Record<string, number>> => {
	const clock = new VirtualClock();
	const random = new SeededRandom(41);
	const simulation = new GateSimulation({
		clock, table: new UnreliableTable(clock, []), teams, limit, maxRunMs, seed: 43,
	});
	for (let gate = 0; gate < gateCount; gate++) {
		simulation.start(`gate-${gate}`);
	}

	const traffic = new Traffic(simulation, random);
	let overLimit = 0;
	let maxUsable = 0;
	for (let nowMs = 0; nowMs < seconds * msPerSecond; nowMs += stepMs) {
		if (hasFaults && nowMs > 0 && nowMs % faultMs === 0) {
			injectGateFaults(simulation, clock, random);
		}

		traffic.step(nowMs);
		await advanceVirtualTime(clock, stepMs, stepMs);
		for (const team of teams) {
			const usable = simulation.usable(team);
			maxUsable = Math.max(maxUsable, usable);
			overLimit += Math.max(0, usable - limit);
		}
	}

	const commits = simulation.metrics.counterValue('allotment_commits_total');
	const figures = {
		overLimit,
		mostUsable: maxUsable,
		requests: traffic.arrived,
		givenUp: traffic.abandoned,
		refusedThoughFree: traffic.abandonedBelowLimit,
		refusedThoughFreeShare: traffic.abandonedBelowLimit / traffic.arrived,
		writesPerSecond: commits / seconds,
		conflictsPerSecond: simulation.metrics.counterValue('allotment_commits_failed_total') / seconds,
		reclaimed: simulation.metrics.counterValue('allotments_reclaimed_total'),
	};
	simulation.close();
	return figures;
};

/** Measures both cases, without and with faults. */
export const run = async (options: readonly string[]): Promise<Record<string, unknown>> => {
	const seconds = Number(options[0] ?? defaultSeconds);
	const calm = await measure(seconds, false);
	const faults = await measure(seconds, true);
	return {
		virtualSeconds: seconds,
		gates: gateCount,
		teams: teams.length,
		limit,
		meanLoad,
		calm,
		faults,
		overLimit: calm.overLimit! + faults.overLimit!,
		overLimitTarget: 0,
		writesPerSecondTarget,
	};
};
