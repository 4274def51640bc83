/**
A simulation of several gates that share slots over a network which loses, delays and duplicates messages. Gates start and crash, and each gate is informed of the others late.
*/
import {expect} from 'vitest';
import {type FleetSettings} from '@poplarnotch/common';
import {
	createSlotState, reduceSlots, type SlotEffect, type SlotEvent, type SlotMessage, type SlotPeer, type SlotState,
} from '../../src/index.js';

/** Time between two ticks while the simulation runs without faults. */
const quietTickMs = 50;

type Gate = {
	state: SlotState;
	readonly self: SlotPeer;
	granted: ReadonlyMap<string, number>;
	running: Map<string, number>;
	waiting: number;
	isAlive: boolean;
	/** Live gates that this gate wrongly considers silent. */
	suspected: ReadonlySet<string>;
};

type SentMessage = {readonly from: SlotPeer; readonly to: string; readonly message: SlotMessage};

export class SlotSimulation {
	nowMs = 0;
	readonly #gates: Gate[] = [];
	readonly #network: SentMessage[] = [];
	#revision = 0;
	/** Registered gates, as stored in the table service. */
	#registered: readonly SlotPeer[] = [];
	#settings: FleetSettings;

	constructor(settings: FleetSettings) {
		this.#settings = settings;
	}

	get alive(): readonly Gate[] {
		return this.#gates.filter(gate => gate.isAlive);
	}

	/** Starts a gate. A name in use is started again only after the earlier process was removed. */
	start(name: string): void {
		if (this.#registered.some(peer => peer.gate === name)) {
			return;
		}

		const self = {gate: name, incarnation: ++this.#revision};
		this.#registered = [...this.#registered, self];
		const gate: Gate = {
			state: createSlotState(self), self, granted: new Map(), running: new Map(), waiting: 0, isAlive: true, suspected: new Set(),
		};
		this.#gates.push(gate);
		this.#reduce(gate, {type: 'slotSettings', nowMs: this.nowMs, settings: this.#settings});
		this.updateMembers(gate);
	}

	/** Ends the process at once; its registration stays. */
	kill(gate: Gate | undefined): void {
		if (gate !== undefined) {
			gate.isAlive = false;
		}
	}

	/** Removes the registrations of dead gates. */
	removeDead(): void {
		const dead = new Set(this.#gates.filter(gate => !gate.isAlive).map(gate => gate.self));
		if (this.#registered.some(peer => dead.has(peer))) {
			this.#revision++;
			this.#registered = this.#registered.filter(peer => !dead.has(peer));
		}
	}

	updateMembers(gate: Gate): void {
		this.#reduce(gate, {
			type: 'slotMembers', nowMs: this.nowMs, revision: this.#revision, members: this.#registered,
		});
	}

	changeSettings(settings: FleetSettings): void {
		this.#settings = settings;
	}

	updateSettings(gate: Gate): void {
		this.#reduce(gate, {type: 'slotSettings', nowMs: this.nowMs, settings: this.#settings});
	}

	/** Fills slots up to the grants, or frees some slots. */
	changeLoad(gate: Gate | undefined, change: number): void {
		if (gate === undefined) {
			return;
		}

		for (const [host, granted] of gate.granted) {
			const running = gate.running.get(host) ?? 0;
			gate.running.set(host, change >= 0 ? Math.max(running, Math.min(granted, running + change)) : Math.max(running + change, 0));
		}
	}

	tick(gate: Gate): void {
		const running = [...gate.running.values()].reduce((sum, count) => sum + count, 0);
		this.#reduce(gate, {
			type: 'slotTick',
			nowMs: this.nowMs,
			demands: new Map([['draws', new Map([['red', {running, waiting: gate.waiting}]])]]),
			allotmentByTeam: new Map([['red', 1000]]),
			runningByHost: gate.running,
			silentGates: new Set([...gate.suspected, ...this.#gates.filter(other => !other.isAlive).map(other => other.self.gate)]),
		});
	}

	/** Advances the time and ticks one gate with a new number of waiting requests. */
	tickAfter(gate: Gate | undefined, afterMs: number, waiting: number): void {
		this.nowMs += afterMs;
		if (gate !== undefined) {
			gate.waiting = waiting;
			this.tick(gate);
		}
	}

	/** Makes one gate consider another gate silent, or clears all its suspicions. */
	toggleSuspected(gate: Gate | undefined, other: string): void {
		if (gate !== undefined) {
			gate.suspected = new Set(gate.suspected.has(other) || other === gate.self.gate ? [] : [...gate.suspected, other]);
		}
	}

	/** Gives one gate the latest members and settings. */
	refresh(gate: Gate | undefined): void {
		if (gate !== undefined) {
			this.updateMembers(gate);
			this.updateSettings(gate);
		}
	}

	/** Ends all running work. */
	endAllWork(): void {
		for (const gate of this.alive) {
			gate.running.clear();
		}
	}

	/** Delivers one message, drops it, or delivers it and keeps it for a second delivery. */
	deliver(pick: number, delivery: 'once' | 'lose' | 'duplicate'): void {
		if (this.#network.length === 0) {
			return;
		}

		const index = pick % this.#network.length;
		const sent = this.#network[index]!;
		if (delivery !== 'duplicate') {
			this.#network.splice(index, 1);
		}

		const gate = this.alive.find(candidate => candidate.self.gate === sent.to);
		if (gate !== undefined && delivery !== 'lose') {
			this.#reduce(gate, {
				type: 'slotMessage', nowMs: this.nowMs, from: sent.from, message: sent.message,
			});
		}
	}

	/** Advances the time for some rounds in which all messages are delivered and all gates are informed. */
	runWithoutFaults(rounds: number): void {
		for (let round = 0; round < rounds; round++) {
			this.nowMs += quietTickMs;
			for (const gate of this.alive) {
				gate.suspected = new Set();
				this.refresh(gate);
				this.tick(gate);
			}

			while (this.#network.length > 0) {
				this.deliver(0, 'once');
			}
		}
	}

	/** Checks that no slot is used or held by two gates. A dead gate's slots count until its registration is removed. */
	checkNoSlotIsHeldTwice(): void {
		const counted = this.#gates.filter(gate => gate.isAlive || this.#registered.includes(gate.self));
		for (const [host, {pool}] of this.#settings.hosts) {
			const held = counted.reduce((sum, gate) => sum + Math.max(gate.state.held.get(host) ?? 0, gate.running.get(host) ?? 0), 0);
			expect(held, `slots of ${host}`).toBeLessThanOrEqual(this.#settings.pools.get(pool)!.slotsPerServer);
		}
	}

	heldOn(host: string): number {
		return this.alive.reduce((sum, gate) => sum + (gate.state.held.get(host) ?? 0), 0);
	}

	#reduce(gate: Gate, event: SlotEvent): void {
		const step = reduceSlots(gate.state, event);
		gate.state = step.state;
		for (const effect of step.effects) {
			this.#perform(gate, effect);
		}

		this.checkNoSlotIsHeldTwice();
	}

	#perform(gate: Gate, effect: SlotEffect): void {
		if (effect.type === 'setGrants') {
			gate.granted = effect.slotsByHost;
		} else {
			this.#network.push({from: gate.self, to: effect.to, message: effect.message});
		}
	}
}
