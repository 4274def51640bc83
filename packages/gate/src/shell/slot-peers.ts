/**
Sends messages of the slot rebalancing to the other gates and tracks which of them do not answer.
*/
import {
	type Clock, type JsonValue, type Logger, type MetricsRegistry,
} from '@poplarnotch/common';
import {type Member} from '@poplarnotch/state';
import {type SlotMessage, type SlotPeer} from '../slots/types.js';
import {deliverSlotsMethod} from './slot-messages.js';
import {SlotOutbox} from './slot-outbox.js';

/** Calls a method of another process by the base URL of its operations port. */
export type CallPeer = (baseUrl: string, method: string, parameters: JsonValue) => Promise<unknown>;

export type SlotPeersParts = {
	readonly self: SlotPeer;
	readonly callPeer: CallPeer;
	readonly clock: Clock;
	readonly metrics: MetricsRegistry;
	readonly log: Logger;
};

/** Time for which a gate counts as silent after a failed call, unless it answers or sends a message. */
const silenceDurationMs = 15_000;

/** Returns `gate@incarnation`. */
export const incarnationNameOf = ({gate, incarnation}: SlotPeer): string => `${gate}@${incarnation}`;

type Peer = {
	readonly peer: SlotPeer;
	readonly address: string;
	readonly outbox: SlotOutbox;
	silentUntilMs: number;
	/** Whether the gate's silence was logged and the gate has not answered since. */
	isSilenceLogged: boolean;
};

/** The other gates with their outboxes. */
export class SlotPeers {
	readonly #parts: SlotPeersParts;
	/** The peers by gate id. */
	#peers: ReadonlyMap<string, Peer> = new Map();
	#isClosed = false;

	constructor(parts: SlotPeersParts) {
		this.#parts = parts;
	}

	/** Replaces the set of gates. Pending messages to an incarnation that is no longer a member are discarded. */
	setMembers(members: readonly Member[]): void {
		this.#peers = new Map(members.map(member => {
			const known = this.#peers.get(member.processId);
			const isSame = known?.peer.incarnation === member.incarnation && known.address === member.operationsUrl;
			return [member.processId, isSame ? known : this.#createPeer(member)];
		}));
	}

	/** Adds a message to the gate's outbox; `flush` sends it. */
	put(gate: string, message: SlotMessage): void {
		this.#peers.get(gate)?.outbox.put(message, this.#parts.clock.nowMs());
	}

	/** Sends the pending messages of all outboxes. */
	flush(nowMs: number): void {
		for (const {outbox} of this.#peers.values()) {
			outbox.flush(nowMs);
		}
	}

	/** Records that the gate has answered or sent a message. */
	markResponsive({gate, incarnation}: SlotPeer): void {
		const peer = this.#peers.get(gate);
		if (peer?.peer.incarnation === incarnation) {
			peer.silentUntilMs = -Infinity;
			peer.isSilenceLogged = false;
		}
	}

	/** Ids of the gates that do not answer. */
	silentGates(nowMs: number): ReadonlySet<string> {
		return new Set([...this.#peers].filter(([, {silentUntilMs}]) => silentUntilMs > nowMs).map(([gate]) => gate));
	}

	close(): void {
		this.#isClosed = true;
	}

	#createPeer({processId, incarnation, operationsUrl}: Member): Peer {
		const peer: Peer = {
			peer: {gate: processId, incarnation},
			address: operationsUrl,
			outbox: new SlotOutbox(async messages => this.#send(peer, messages)),
			silentUntilMs: -Infinity,
			isSilenceLogged: false,
		};
		return peer;
	}

	async #send(to: Peer, messages: readonly SlotMessage[]): Promise<boolean> {
		const {callPeer, metrics, self} = this.#parts;
		if (this.#isClosed) {
			return false;
		}

		metrics.increment('slot_deliveries_total');
		metrics.increment('slot_messages_total', messages.length);
		try {
			await callPeer(to.address, deliverSlotsMethod, {from: self, to: to.peer, messages});
			this.markResponsive(to.peer);
			return true;
		} catch (error) {
			metrics.increment('slot_deliveries_failed_total');
			this.#markSilent(to, (error as Error).message);
			return false;
		}
	}

	#markSilent(to: Peer, reason: string): void {
		const {clock, log} = this.#parts;
		to.silentUntilMs = clock.nowMs() + silenceDurationMs;
		if (!to.isSilenceLogged && !this.#isClosed) {
			to.isSilenceLogged = true;
			log.warn({event: 'slot_peer_unreachable', gate: to.peer.gate, reason});
		}
	}
}
