/**
Upper limits over eight gates whose traffic shifts: table writes for allotments, and requests that were given up although the fleet ran less than the team's limit. Real allotment managers in virtual time; once calm, once with gates killed and paused.

`npm run bench -- limits [seconds]`
*/
import {SeededRandom, VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, UnreliableTable} from '@poplarnotch/standin';
import {type SimulatedGate, GateSimulation} from '../packages/state/tests/allotments/gate-simulation.js';

const gateCount = 8;
const teams = ['red', 'green', 'blue', 'white', 'black', 'grey'];
const limit = 40;
const maxRunMs = 2000;
/** Mean run time of the gates' work: between a tenth and the whole of the longest. */
const meanRunMs = 1100;
/** Mean demand of a team as a share of its limit. */
const meanLoad = 0.7;
/** Share of a team's traffic that reaches the gate it leans to. */
const leaning = 0.6;
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

/** Waiting requests of one team at one gate run, by time of arrival. */
type Backlog = {
	readonly arrivals: number[];
};

class Traffic {
	arrived = 0;
	givenUp = 0;
	givenUpThoughFree = 0;
	readonly #world: GateSimulation;
	readonly #random: SeededRandom;
	readonly #backlogs = new Map<SimulatedGate, Map<string, Backlog>>();

	constructor(world: GateSimulation, random: SeededRandom) {
		this.#world = world;
		this.#random = random;
	}

	/** Brings new requests to gates and takes away those that waited too long. */
	step(nowMs: number): void {
		for (const [index, team] of teams.entries()) {
			this.#arrive(team, (Math.floor(nowMs / shiftMs) + index) % gateCount, nowMs);
			this.#giveUp(team, nowMs);
		}
	}

	#arrive(team: string, favourite: number, nowMs: number): void {
		const mean = limit * meanLoad * stepMs / meanRunMs;
		const count = Math.floor(mean + this.#random.next());
		for (let arrival = 0; arrival < count; arrival++) {
			const gate = this.#random.next() < leaning ? favourite : Math.floor(this.#random.next() * gateCount);
			const run = this.#world.current(`gate-${gate}`);
			// The balancer sends nothing to a gate that does not answer.
			if (!run.isKilled && !run.process.isPaused) {
				this.arrived++;
				this.#backlogOf(run, team).arrivals.push(nowMs);
				run.waiting.set(team, (run.waiting.get(team) ?? 0) + 1);
			}
		}
	}

	#giveUp(team: string, nowMs: number): void {
		let free = limit - this.#world.running(team);
		for (const run of this.#world.runs.filter(candidate => !candidate.isKilled && !candidate.process.isPaused)) {
			const backlog = this.#backlogOf(run, team);
			backlog.arrivals.splice(0, backlog.arrivals.length - (run.waiting.get(team) ?? 0));
			while (backlog.arrivals.length > 0 && nowMs - backlog.arrivals[0]! > longestWaitMs) {
				backlog.arrivals.shift();
				run.waiting.set(team, run.waiting.get(team)! - 1);
				this.givenUp++;
				this.givenUpThoughFree += free-- > 0 ? 1 : 0;
			}
		}
	}

	#backlogOf(run: SimulatedGate, team: string): Backlog {
		const ofRun = this.#backlogs.get(run) ?? new Map<string, Backlog>();
		this.#backlogs.set(run, ofRun);
		const backlog = ofRun.get(team) ?? {arrivals: []};
		ofRun.set(team, backlog);
		return backlog;
	}
}

const breakGates = (world: GateSimulation, clock: VirtualClock, random: SeededRandom): void => {
	const victim = `gate-${Math.floor(random.next() * gateCount)}`;
	const sleeper = `gate-${Math.floor(random.next() * gateCount)}`;
	world.current(victim).kill();
	clock.schedule(restartMs, () => {
		world.start(victim);
	});
	if (sleeper !== victim) {
		world.current(sleeper).process.pause(random.next() * longestPauseMs);
	}
};

const measure = async (seconds: number, hasFaults: boolean): Promise<Record<string, number>> => {
	const clock = new VirtualClock();
	const random = new SeededRandom(41);
	const world = new GateSimulation({
		clock, table: new UnreliableTable(clock, []), teams, limit, maxRunMs, seed: 43,
	});
	for (let gate = 0; gate < gateCount; gate++) {
		world.start(`gate-${gate}`);
	}

	const traffic = new Traffic(world, random);
	let overLimit = 0;
	let mostUsable = 0;
	for (let nowMs = 0; nowMs < seconds * msPerSecond; nowMs += stepMs) {
		if (hasFaults && nowMs > 0 && nowMs % faultMs === 0) {
			breakGates(world, clock, random);
		}

		traffic.step(nowMs);
		await advanceVirtualTime(clock, stepMs, stepMs);
		for (const team of teams) {
			const usable = world.usable(team);
			mostUsable = Math.max(mostUsable, usable);
			overLimit += Math.max(0, usable - limit);
		}
	}

	const commits = world.metrics.counterValue('allotment_commits_total');
	const figures = {
		overLimit,
		mostUsable,
		requests: traffic.arrived,
		givenUp: traffic.givenUp,
		refusedThoughFree: traffic.givenUpThoughFree,
		refusedThoughFreeShare: traffic.givenUpThoughFree / traffic.arrived,
		writesPerSecond: commits / seconds,
		conflictsPerSecond: world.metrics.counterValue('allotment_commits_failed_total') / seconds,
		reclaimed: world.metrics.counterValue('allotments_reclaimed_total'),
	};
	world.close();
	return figures;
};

/** Measures both cases. */
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
