/**
Runs the slot deal in a gate: feeds its reducer the members, the settings, the demands and the time, carries its messages to the other gates and passes its grants on.
*/
import {
	assertNever, type CancelTimer, type FleetSettings, type JsonObject, ReducerRuntime,
} from '@poplarnotch/common';
import {type MembersSource} from '@poplarnotch/state';
import {idleSlotTickMs, slotTickMs} from '../slots/constants.js';
import {reduceSlots} from '../slots/reducer.js';
import {createSlotState, isRegistered} from '../slots/state.js';
import {
	type PoolDemands, type SlotEffect, type SlotEvent, type SlotState,
} from '../slots/types.js';
import {type GateGrants} from '../types.js';
import {readSlotDelivery} from './slot-messages.js';
import {nameOf, SlotPeers, type SlotPeersParts} from './slot-peers.js';

/** What the gate tells the slot deal at each tick. */
export type GateLoad = {
	readonly demands: PoolDemands;
	readonly allotmentByTeam: ReadonlyMap<string, number>;
	readonly runningByHost: ReadonlyMap<string, number>;
};

/** Slots and weights of this gate. */
export type SlotGrants = Pick<GateGrants, 'slotsByHost' | 'weightsByPool'>;

export type SlotLenderParts = SlotPeersParts & {
	/** Whether an earlier run of this gate may have left work on the backend servers. */
	readonly isRestart: boolean;
	readonly members: MembersSource;
	/** Whether requests wait at this gate. */
	isWaiting(): boolean;
	load(): GateLoad;
	/** Called in the same turn in which the grants change, before any message that depends on them is sent. */
	onGrants(grants: SlotGrants): void;
};

/** A gate is ready without slots after this time, so that a lack of slots does not look like a gate that cannot start. */
const firstSlotsTimeoutMs = 3000;

/** This gate's slots among those of all gates. */
export class SlotLender {
	readonly #parts: SlotLenderParts;
	readonly #runtime: ReducerRuntime<SlotState, SlotEvent, SlotEffect>;
	readonly #peers: SlotPeers;
	/** Incarnations that were gone once; they never count as members again. */
	readonly #gone = new Set<string>();
	readonly #startedAtMs: number;
	#grants: SlotGrants = {slotsByHost: new Map(), weightsByPool: new Map()};
	#hasHeldSlots = false;
	#lastTickMs = Number.NEGATIVE_INFINITY;
	#cancelTick: CancelTimer | undefined;
	#isClosed = false;

	constructor(parts: SlotLenderParts) {
		const {clock, metrics, self, isRestart} = parts;
		this.#parts = parts;
		this.#peers = new SlotPeers(parts);
		this.#startedAtMs = clock.nowMs();
		const initial = createSlotState(self);
		this.#runtime = new ReducerRuntime(
			isRestart ? {...initial, memberLeftAtMs: this.#startedAtMs} : initial,
			reduceSlots,
			effect => {
				this.#perform(effect);
			},
		);
		parts.members.onChange(() => {
			this.#readMembers();
		});
		metrics.gauge('slots_held', () => this.#heldSlots);
		metrics.gauge('slots_under_way', () => this.#runtime.state.outgoing.size);
	}

	/** Slots that this gate may fill and its teams' weights. */
	get grants(): SlotGrants {
		return this.#grants;
	}

	/** Whether slots have come, or are not to be waited for. */
	get isReady(): boolean {
		return this.#hasHeldSlots
			|| this.#runtime.state.hosts.size === 0
			|| this.#parts.clock.nowMs() - this.#startedAtMs >= firstSlotsTimeoutMs;
	}

	start(): void {
		this.#readMembers();
		this.#tick();
	}

	close(): void {
		this.#isClosed = true;
		this.#peers.close();
		this.#cancelTick?.();
	}

	applySettings(settings: FleetSettings): void {
		this.#dispatch({type: 'slotSettings', nowMs: this.#parts.clock.nowMs(), settings});
	}

	/** Passes slots on from now on as they come free; work that is still there keeps its own. */
	startDrain(): void {
		this.#dispatch({type: 'slotDrain', nowMs: this.#parts.clock.nowMs()});
	}

	/** Resolves when other gates have all slots, when there is no other gate, or at the time limit. */
	async handBack(timeoutMs: number): Promise<void> {
		const {clock} = this.#parts;
		const untilMs = clock.nowMs() + timeoutMs;
		while (this.#hasToHandBack && clock.nowMs() < untilMs) {
			await new Promise<void>(resolve => {
				clock.schedule(slotTickMs, resolve);
			});
		}
	}

	/** Answers the RPC method `slots.deliver`. Throws `InvalidInputError` for malformed parameters. */
	receive(parameters: unknown): JsonObject {
		const {from, to, messages} = readSlotDelivery(parameters);
		const {self, clock} = this.#parts;
		if (this.#isClosed || to.gate !== self.gate || to.incarnation !== self.incarnation) {
			return {};
		}

		this.#peers.noteAnswer(from);
		for (const message of messages) {
			this.#dispatch({
				type: 'slotMessage', nowMs: clock.nowMs(), from, message,
			});
		}

		return {};
	}

	/** The state for `/dump`. */
	dump(): JsonObject {
		const {state} = this.#runtime;
		return {
			isRegistered: isRegistered(state),
			members: Object.fromEntries([...state.members].map(([gate, {incarnation}]) => [gate, incarnation])),
			held: Object.fromEntries(state.held),
			underWay: Object.fromEntries([...state.outgoing].map(([gate, {slots}]) => [gate, slots])),
			hasPromised: state.commitment?.to.gate ?? '',
			silent: [...state.silentGates],
			isCounting: state.openRound !== undefined,
		};
	}

	get #heldSlots(): number {
		return [...this.#runtime.state.held.values()].reduce((sum, count) => sum + count, 0);
	}

	get #hasToHandBack(): boolean {
		const {members, outgoing} = this.#runtime.state;
		return members.size > 1 && (this.#heldSlots > 0 || outgoing.size > 0);
	}

	/** Unreadable rows may be gates, so that nobody can be left out while there are some. */
	#readMembers(): void {
		const view = this.#parts.members.view();
		if (view === undefined || view.unreadable.length > 0 || this.#isClosed) {
			return;
		}

		const gates = view.members.filter(member => member.role === 'gate');
		for (const {processId, incarnation, status} of gates) {
			if (status === 'gone') {
				this.#gone.add(nameOf({gate: processId, incarnation}));
			}
		}

		const members = gates.filter(({processId, incarnation}) => !this.#gone.has(nameOf({gate: processId, incarnation})));
		const wasRegistered = isRegistered(this.#runtime.state);
		this.#peers.setMembers(members);
		this.#dispatch({
			type: 'slotMembers',
			nowMs: this.#parts.clock.nowMs(),
			revision: view.revision,
			members: members.map(({processId, incarnation}) => ({gate: processId, incarnation})),
		});
		if (wasRegistered && !isRegistered(this.#runtime.state)) {
			this.#parts.log.warn({event: 'slots_lost', reason: 'this gate is no longer registered'});
		}
	}

	#tick(): void {
		if (this.#isClosed) {
			return;
		}

		const {clock} = this.#parts;
		this.#cancelTick = clock.schedule(slotTickMs, () => {
			this.#tick();
		});
		const nowMs = clock.nowMs();
		if (this.#isAtRest && nowMs - this.#lastTickMs < idleSlotTickMs) {
			return;
		}

		this.#lastTickMs = nowMs;
		this.#dispatch({
			type: 'slotTick', nowMs, silentGates: this.#peers.silentGates(nowMs), ...this.#parts.load(),
		});
	}

	/** Whether nothing waits and no slot is under way: then a slower tick does. */
	get #isAtRest(): boolean {
		const {outgoing, openRound: census, commitment: promised} = this.#runtime.state;
		return outgoing.size === 0 && census === undefined && promised === undefined && !this.#parts.isWaiting();
	}

	#dispatch(event: SlotEvent): void {
		if (this.#isClosed) {
			return;
		}

		this.#runtime.dispatch(event);
		this.#peers.flush(event.nowMs);
	}

	#perform(effect: SlotEffect): void {
		switch (effect.type) {
			case 'setGrants': {
				this.#setGrants(effect);
				break;
			}

			case 'sendToGate': {
				this.#peers.put(effect.to, effect.message);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#setGrants({slotsByHost, weightsByPool}: SlotGrants): void {
		this.#grants = {slotsByHost, weightsByPool};
		if (!this.#hasHeldSlots && slotsByHost.size > 0) {
			this.#hasHeldSlots = true;
			this.#parts.log.info({event: 'slots_received', hosts: slotsByHost.size});
		}

		this.#parts.onGrants(this.#grants);
	}
}
