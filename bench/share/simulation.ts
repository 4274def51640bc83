/**
Simulates eight gates in virtual time. It runs the request and slot reducers against backend servers that are busy for each request's run time, over a network with a fixed delay.
*/
import {SeededRandom} from '@poplarnotch/common';
import {
	type BackendServer, createGateState, createSlotState, type GateEffect, type GateEvent, type GateGrants, type GateState, poolDemands, reduceGate,
	reduceSlots, type SlotEffect, type SlotEvent, type SlotMessage, type SlotState, slotTickMs,
} from '../../packages/gate/src/index.js';
import {EventQueue} from './event-queue.js';
import {
	type Arrival, arrivalsOf, type Deployment, gateNames, keyOf, limitedTeam, poolNames, settingsOf, slotsPerServer, type Spread, peakIntervalMs, upperLimitOf, warmUpMs,
} from './scenario.js';
import {FairnessMeter} from './fairness-meter.js';

/** The methods of sharing backend servers that are compared. */
export const sharingMethods = ['fifo', 'own-counts', 'equal-slots', 'dealt-slots'] as const;
export type SharingMethod = typeof sharingMethods[number];

type SimulationEvent
	= | {readonly type: 'arrival'; readonly arrival: Arrival}
		| {readonly type: 'end'; readonly gate: number; readonly requestId: string; readonly host: string}
		| {readonly type: 'tick'; readonly gate: number}
		| {readonly type: 'message'; readonly from: number; readonly to: string; readonly message: SlotMessage}
		| {readonly type: 'sample'};

type Gate = {state: GateState; slots: SlotState};

const sampleMs = 20;

/** Teams with a higher upper limit never reach it in this simulation. */
const highestBindingLimit = 1000;

const cycles = 1;
const endMs = warmUpMs + (cycles * peakIntervalMs * poolNames.length) + peakIntervalMs;

/** Figures of one run. */
export type RunFigures = {
	readonly worstShareError: number;
	readonly worstShortfall: number;
	readonly overLimit: number;
	readonly overfilledSlots: number;
	readonly usedPartWhileWaiting: number;
	readonly refused: number;
	readonly waitMs: Readonly<Record<string, number>>;
	readonly urgentWaitMs: Readonly<Record<string, number>>;
	/** Wait times of the team whose upper limit is binding; the other wait times exclude it. */
	readonly limitedTeamWaitMs: Readonly<Record<string, number>>;
	readonly controlBytesPerGateS: number;
	readonly peakControlBytesPerGateS: number;
	readonly eventsPerS: number;
};

const quantilesOf = (values: number[]): Readonly<Record<string, number>> => {
	const sorted = Float64Array.from(values).toSorted();
	const at = (quantile: number): number => Math.round(sorted[Math.min(Math.floor(quantile * sorted.length), sorted.length - 1)] ?? 0);
	return {
		p50: at(0.5), p90: at(0.9), p99: at(0.99), max: at(1),
	};
};

const rounded = (value: number): number => Math.round(value * 10_000) / 10_000;

class Simulation {
	readonly #deployment: Deployment;
	readonly #method: SharingMethod;
	readonly #random: SeededRandom;
	readonly #queue = new EventQueue<SimulationEvent>();
	readonly #gates: Gate[];
	readonly #arrivals = new Map<string, Arrival>();
	readonly #runningByHost = new Map<string, number>();
	readonly #runningByTeam = new Map<string, number>();
	readonly #runningByPoolTeam = new Map<string, number>();
	/** Number of running and waiting requests by pool and team. */
	readonly #pendingByPoolTeam = new Map<string, number>();
	readonly #meters = new Map<string, FairnessMeter>();
	readonly #waits: number[] = [];
	readonly #urgentWaits: number[] = [];
	readonly #limitedWaits: number[] = [];
	readonly #bytesByGateSecond = new Map<string, number>();
	#nowMs = 0;
	#lastId = 0;
	#overLimit = 0;
	#overfilled = 0;
	#refused = 0;
	#events = 0;

	constructor(deployment: Deployment, method: SharingMethod, spread: Spread, seed: number) {
		this.#deployment = deployment;
		this.#method = method;
		this.#random = new SeededRandom(seed);
		const settings = settingsOf(deployment, method === 'fifo');
		this.#gates = gateNames.map((gate, index) => ({
			state: createGateState(settings), slots: createSlotState({gate, incarnation: index + 1}),
		}));
		const servers = [...settings.hosts].map(([host, {pool, address}]): BackendServer => ({
			host, pool, address, acceptsWork: true,
		}));
		const members = gateNames.map((gate, index) => ({gate, incarnation: index + 1}));
		for (const [index] of this.#gates.entries()) {
			this.#reduce(index, {
				type: 'serversChanged', nowMs: 0, servers, random: 0,
			});
			this.#reduceSlots(index, {type: 'slotSettings', nowMs: 0, settings});
			this.#reduceSlots(index, {
				type: 'slotMembers', nowMs: 0, revision: members.length, members,
			});
			this.#setGrants(index, this.#fixedSlots(index), new Map());
			this.#queue.add(slotTickMs * index / gateNames.length, {type: 'tick', gate: index});
		}

		for (const arrival of arrivalsOf(deployment, spread, endMs - peakIntervalMs, this.#random)) {
			this.#queue.add(arrival.atMs, {type: 'arrival', arrival});
		}

		this.#queue.add(warmUpMs, {type: 'sample'});
	}

	run(): RunFigures {
		const startedAtMs = performance.now();
		for (let next = this.#queue.take(); next !== undefined && next.atMs <= endMs; next = this.#queue.take()) {
			this.#nowMs = next.atMs;
			this.#events++;
			this.#handle(next.event);
		}

		const elapsedS = (performance.now() - startedAtMs) / 1000;
		const meters = [...this.#meters.values()];
		const bytes = [...this.#bytesByGateSecond.values()];
		return {
			worstShareError: rounded(Math.max(...meters.map(meter => meter.worstError()))),
			worstShortfall: rounded(Math.max(...meters.map(meter => meter.worstShortfall()))),
			overLimit: this.#overLimit,
			overfilledSlots: this.#overfilled,
			usedPartWhileWaiting: rounded(Math.min(...meters.map(meter => meter.utilisation ?? 1))),
			refused: this.#refused,
			waitMs: quantilesOf(this.#waits),
			urgentWaitMs: quantilesOf(this.#urgentWaits),
			limitedTeamWaitMs: quantilesOf(this.#limitedWaits),
			controlBytesPerGateS: Math.round(bytes.reduce((sum, count) => sum + count, 0) / gateNames.length / (endMs / 1000)),
			peakControlBytesPerGateS: Math.max(0, ...bytes),
			eventsPerS: Math.round(this.#events / elapsedS),
		};
	}

	/** Returns the fixed slots of a gate for methods that do not allocate slots by demand. */
	#fixedSlots(gate: number): ReadonlyMap<string, number> {
		if (this.#method === 'own-counts') {
			return new Map(this.#hostNames().map(host => [host, slotsPerServer]));
		}

		return this.#method === 'equal-slots'
			? new Map(this.#hostNames().map((host, index) => [host, Math.floor(slotsPerServer / gateNames.length) + ((index + gate) % gateNames.length < slotsPerServer % gateNames.length ? 1 : 0)]))
			: new Map();
	}

	#hostNames(): readonly string[] {
		return [...this.#gates[0]!.state.settings.hosts.keys()];
	}

	#setGrants(gate: number, slotsByHost: ReadonlyMap<string, number>, weightsByPool: GateGrants['weightsByPool']): void {
		const allotmentByTeam = new Map(this.#deployment.teams.map(({name}) =>
			[name, Math.floor((this.#method === 'fifo' ? 4000 : upperLimitOf(name)) / gateNames.length)]));
		this.#reduce(gate, {
			type: 'grantsChanged', nowMs: this.#nowMs, random: this.#random.next(), grants: {slotsByHost, allotmentByTeam, weightsByPool},
		});
	}

	#handle(event: SimulationEvent): void {
		switch (event.type) {
			case 'arrival': {
				this.#arrive(event.arrival);
				break;
			}

			case 'end': {
				this.#end(event);
				break;
			}

			case 'tick': {
				this.#tick(event.gate);
				break;
			}

			case 'message': {
				this.#reduceSlots(gateNames.indexOf(event.to), {
					type: 'slotMessage', nowMs: this.#nowMs, from: {gate: gateNames[event.from]!, incarnation: event.from + 1}, message: event.message,
				});
				break;
			}

			case 'sample': {
				this.#sample();
				this.#queue.add(this.#nowMs + sampleMs, {type: 'sample'});
				break;
			}
		}
	}

	#arrive(arrival: Arrival): void {
		const requestId = `r${++this.#lastId}`;
		const pendingKey = `${arrival.pool} ${arrival.team}`;
		this.#pendingByPoolTeam.set(pendingKey, (this.#pendingByPoolTeam.get(pendingKey) ?? 0) + 1);
		this.#arrivals.set(requestId, arrival);
		const keyTeam = this.#method === 'fifo' ? this.#deployment.teams[0]!.name : arrival.team;
		this.#reduce(arrival.gate, {
			type: 'requestArrived',
			nowMs: this.#nowMs,
			random: this.#random.next(),
			request: {
				requestId,
				queue: arrival.isUrgent ? `${arrival.pool}-urgent` : arrival.pool,
				method: 'GET',
				presentedKey: keysByTeam.get(keyTeam)!,
				idempotencyKey: undefined,
				fingerprint: undefined,
				timeoutMs: undefined,
				isReplayable: true,
			},
		});
	}

	#end({gate, requestId, host}: Extract<SimulationEvent, {type: 'end'}>): void {
		const {team, pool} = this.#arrivals.get(requestId)!;
		this.#arrivals.delete(requestId);
		this.#countRunning(team, pool, host, -1);
		this.#pendingByPoolTeam.set(`${pool} ${team}`, this.#pendingByPoolTeam.get(`${pool} ${team}`)! - 1);
		this.#reduce(gate, {
			type: 'attemptAnswered', nowMs: this.#nowMs, requestId, attempt: 1, status: 200,
		});
		this.#reduce(gate, {
			type: 'attemptEnded', nowMs: this.#nowMs, requestId, attempt: 1, random: this.#random.next(),
		});
	}

	#tick(gate: number): void {
		const {state} = this.#gates[gate]!;
		this.#reduce(gate, {type: 'tick', nowMs: this.#nowMs, random: this.#random.next()});
		if (this.#method === 'dealt-slots' || this.#method === 'fifo') {
			this.#reduceSlots(gate, {
				type: 'slotTick',
				nowMs: this.#nowMs,
				demands: poolDemands(state),
				allotmentByTeam: state.grants.allotmentByTeam,
				runningByHost: new Map(this.#hostNames().map(host => [host, state.servers.running(host)])),
			});
		}

		this.#queue.add(this.#nowMs + slotTickMs, {type: 'tick', gate});
	}

	#sample(): void {
		for (const [index, pool] of poolNames.entries()) {
			const interval = Math.floor((this.#nowMs - warmUpMs) / peakIntervalMs);
			const peak = interval - ((interval - index + poolNames.length) % poolNames.length);
			const key = `${pool}/${peak}`;
			const meter = this.#meters.get(key) ?? new FairnessMeter();
			this.#meters.set(key, meter);
			meter.sample(this.#deployment.servers[index]! * slotsPerServer, this.#deployment.teams.map(({name, share}) => {
				const running = this.#runningByPoolTeam.get(`${pool} ${name}`) ?? 0;
				return {
					team: name, share, running, waiting: (this.#pendingByPoolTeam.get(`${pool} ${name}`) ?? 0) - running, limit: this.#limitOf(name, pool),
				};
			}));
		}
	}

	/** Returns how many requests the team's upper limit, divided equally among the gates, allows it in the pool in addition to those it runs in other pools. */
	#limitOf(team: string, pool: string): number {
		if (this.#method === 'fifo' || upperLimitOf(team) > highestBindingLimit) {
			return Infinity;
		}

		const allotment = Math.floor(upperLimitOf(team) / gateNames.length);
		return this.#gates.reduce((sum, {state}) => {
			const load = poolDemands(state).get(pool)?.get(team) ?? {running: 0, waiting: 0};
			const elsewhere = (state.runningByTeam.get(team) ?? 0) - load.running;
			return sum + Math.min(allotment - elsewhere, load.running + load.waiting);
		}, 0);
	}

	#waitsOf(arrival: Arrival): number[] {
		if (arrival.team === limitedTeam) {
			return this.#limitedWaits;
		}

		return arrival.isUrgent ? this.#urgentWaits : this.#waits;
	}

	#countRunning(team: string, pool: string, host: string, change: 1 | -1): void {
		const add = (map: Map<string, number>, key: string): number => {
			const next = (map.get(key) ?? 0) + change;
			map.set(key, next);
			return next;
		};

		add(this.#runningByPoolTeam, `${pool} ${team}`);
		this.#overLimit += add(this.#runningByTeam, team) > upperLimitOf(team) && change > 0 ? 1 : 0;
		this.#overfilled += add(this.#runningByHost, host) > slotsPerServer && change > 0 ? 1 : 0;
	}

	#reduce(gate: number, event: GateEvent): void {
		const step = reduceGate(this.#gates[gate]!.state, event);
		for (const effect of step.effects) {
			this.#performEffect(gate, effect);
		}
	}

	#performEffect(gate: number, effect: GateEffect): void {
		if (effect.type === 'startAttempt') {
			const arrival = this.#arrivals.get(effect.requestId)!;
			this.#countRunning(arrival.team, arrival.pool, effect.host, 1);
			this.#waitsOf(arrival).push(this.#nowMs - arrival.atMs);
			this.#queue.add(this.#nowMs + arrival.runMs, {
				type: 'end', gate, requestId: effect.requestId, host: effect.host,
			});
		} else if (effect.type === 'refuse') {
			this.#refused++;
			this.#arrivals.delete(effect.requestId);
		}
	}

	#reduceSlots(gate: number, event: SlotEvent): void {
		const step = reduceSlots(this.#gates[gate]!.slots, event);
		this.#gates[gate]!.slots = step.state;
		for (const effect of step.effects) {
			this.#performSlotEffect(gate, effect);
		}
	}

	#performSlotEffect(gate: number, effect: SlotEffect): void {
		if (effect.type === 'setGrants') {
			this.#setGrants(gate, effect.slotsByHost, effect.weightsByPool);
			return;
		}

		const key = `${gate} ${Math.floor(this.#nowMs / 1000)}`;
		this.#bytesByGateSecond.set(key, (this.#bytesByGateSecond.get(key) ?? 0) + JSON.stringify(effect.message).length);
		this.#queue.add(this.#nowMs + this.#deployment.oneWayMs, {
			type: 'message', from: gate, to: effect.to, message: effect.message,
		});
	}
}

const keysByTeam = new Map(Array.from({length: 6}, (_, index) => `team-${index + 1}`).map(team => [team, keyOf(team)]));

/** Simulates one sharing method for one deployment and distribution of arrivals. */
export const simulate = (deployment: Deployment, method: SharingMethod, spread: Spread, seed: number): RunFigures =>
	new Simulation(deployment, method, spread, seed).run();
