/**
Runs the slot rebalancing in a gate: passes the members, the settings, the demands and the time to its reducer, sends its messages to the other gates and publishes the resulting grants.
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
import {incarnationNameOf, SlotPeers, type SlotPeersParts} from './slot-peers.js';

/** The gate's load, which is passed to the slot rebalancing at each tick. */
export type GateLoad = {
	readonly demands: PoolDemands;
	readonly allotmentByTeam: ReadonlyMap<string, number>;
	readonly runningByHost: ReadonlyMap<string, number>;
};

/** The slots of this gate and the weights of its teams. */
export type SlotGrants = Pick<GateGrants, 'slotsByHost' | 'weightsByPool'>;

export type SlotRebalancerParts = SlotPeersParts & {
	/** Whether an earlier incarnation of this gate may have left work on the backend servers. */
	readonly isRestart: boolean;
	readonly members: MembersSource;
	/** Whether requests wait in the queues of this gate. */
	hasWaitingRequests(): boolean;
	load(): GateLoad;
	/** Called in the same turn in which the grants change, before any message that depends on them is sent. */
	onGrantsChanged(grants: SlotGrants): void;
};

/** After this time a gate is ready also without slots, so that a lack of slots does not look like a gate that cannot start. */
const firstSlotsTimeoutMs = 3000;

/** Receives and transfers this gate's slots. */
export class SlotRebalancer {
	readonly #parts: SlotRebalancerParts;
	readonly #runtime: ReducerRuntime<SlotState, SlotEvent, SlotEffect>;
	readonly #peers: SlotPeers;
	/** Incarnations that have been seen as gone; they never count as members again. */
	readonly #goneIncarnations = new Set<string>();
	readonly #startedAtMs: number;
	#grants: SlotGrants = {slotsByHost: new Map(), weightsByPool: new Map()};
	#hasHeldSlots = false;
	#lastTickMs = Number.NEGATIVE_INFINITY;
	#cancelTick: CancelTimer | undefined;
	#isClosed = false;

	constructor(parts: SlotRebalancerParts) {
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
		metrics.gauge('slots_held', () => this.#heldSlotCount);
		metrics.gauge('slots_under_way', () => this.#runtime.state.outgoing.size);
	}

	/** The slots that this gate may use and the weights of its teams. */
	get grants(): SlotGrants {
		return this.#grants;
	}

	/** Whether this gate has received slots, or need not wait for them because there are no hosts or the time limit has passed. */
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

	/** Starts to transfer each slot to other gates as soon as it is free; requests that are present keep the slots that they need. */
	startDrain(): void {
		this.#dispatch({type: 'slotDrain', nowMs: this.#parts.clock.nowMs()});
	}

	/** Resolves when the other gates have received all slots, when there is no other gate, or at the time limit. */
	async waitUntilTransferred(timeoutMs: number): Promise<void> {
		const {clock} = this.#parts;
		const untilMs = clock.nowMs() + timeoutMs;
		while (this.#hasSlotsToTransfer && clock.nowMs() < untilMs) {
			await new Promise<void>(resolve => {
				clock.schedule(slotTickMs, resolve);
			});
		}
	}

	/** Handles a call of `slots.deliver`. Throws `InvalidInputError` for malformed parameters. */
	receive(parameters: unknown): JsonObject {
		const {from, to, messages} = readSlotDelivery(parameters);
		const {self, clock} = this.#parts;
		if (this.#isClosed || to.gate !== self.gate || to.incarnation !== self.incarnation) {
			return {};
		}

		this.#peers.markResponsive(from);
		for (const message of messages) {
			this.#dispatch({
				type: 'slotMessage', nowMs: clock.nowMs(), from, message,
			});
		}

		return {};
	}

	/** The state as `/dump` shows it. */
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

	get #heldSlotCount(): number {
		return [...this.#runtime.state.held.values()].reduce((sum, count) => sum + count, 0);
	}

	get #hasSlotsToTransfer(): boolean {
		const {members, outgoing} = this.#runtime.state;
		return members.size > 1 && (this.#heldSlotCount > 0 || outgoing.size > 0);
	}

	/** Reads the members from the directory. While it has unreadable rows, the members stay unchanged, because such a row may be a gate that would be left out. */
	#readMembers(): void {
		const view = this.#parts.members.view();
		if (view === undefined || view.unreadable.length > 0 || this.#isClosed) {
			return;
		}

		const gates = view.members.filter(member => member.role === 'gate');
		for (const {processId, incarnation, status} of gates) {
			if (status === 'gone') {
				this.#goneIncarnations.add(incarnationNameOf({gate: processId, incarnation}));
			}
		}

		const members = gates.filter(({processId, incarnation}) => !this.#goneIncarnations.has(incarnationNameOf({gate: processId, incarnation})));
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
		if (this.#isIdle && nowMs - this.#lastTickMs < idleSlotTickMs) {
			return;
		}

		this.#lastTickMs = nowMs;
		this.#dispatch({
			type: 'slotTick', nowMs, silentGates: this.#peers.silentGates(nowMs), ...this.#parts.load(),
		});
	}

	/** Whether no request waits and no slot is in transfer, so that a slower tick suffices. */
	get #isIdle(): boolean {
		const {outgoing, openRound, commitment} = this.#runtime.state;
		return outgoing.size === 0 && openRound === undefined && commitment === undefined && !this.#parts.hasWaitingRequests();
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

		this.#parts.onGrantsChanged(this.#grants);
	}
}
