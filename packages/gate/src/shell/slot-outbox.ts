/**
Pending messages of the slot rebalancing to one gate. There is one call at a time, which carries all pending messages, so a gate that does not answer costs no more than one call at a time. Of several messages on the same topic only the latest is kept, and repeated messages are throttled. A message whose call fails is lost, which the slot rebalancing tolerates.
*/
import {assertNever} from '@poplarnotch/common';
import {type SlotMessage} from '../slots/types.js';

/** Minimum time between two transmissions of an unchanged repeated message. */
const minRepeatIntervalMs = 100;

/** Delay of the next call after a failed one. */
const retryDelayMs = 500;

/** Sends messages. Resolves to whether they were delivered; never rejects. */
export type SendMessages = (messages: readonly SlotMessage[]) => Promise<boolean>;

/** The topic of a message. A later message on the same topic replaces it. */
const topicOf = (message: SlotMessage): string => {
	switch (message.type) {
		case 'slotReport': {
			return `${message.type} ${message.pools.map(({pool}) => pool).join(' ')}`;
		}

		case 'slotOrders': {
			return `${message.type} ${message.pool}`;
		}

		case 'slotTaken': {
			return `${message.type} ${message.sequence}`;
		}

		case 'slotRoundOver': {
			return `${message.type} ${message.round}`;
		}

		case 'slotGive':
		case 'slotCensus':
		case 'slotPromise': {
			return message.type;
		}

		default: {
			return assertNever(message);
		}
	}
};

/** Whether the reducer repeats the message at every tick until it is answered. */
const isRepeated = ({type}: SlotMessage): boolean => type === 'slotGive' || type === 'slotCensus' || type === 'slotPromise';

/** The pending messages to one gate. */
export class SlotOutbox {
	readonly #send: SendMessages;
	readonly #pendingByTopic = new Map<string, SlotMessage>();
	/** The last repeated message on each topic that was put in, and when. */
	readonly #lastSentByTopic = new Map<string, {readonly text: string; readonly atMs: number}>();
	#isSending = false;
	#pausedUntilMs = -Infinity;

	constructor(send: SendMessages) {
		this.#send = send;
	}

	/** Adds a message, unless it repeats an unchanged message within `minRepeatIntervalMs`. */
	put(message: SlotMessage, nowMs: number): void {
		const topic = topicOf(message);
		if (isRepeated(message)) {
			const text = JSON.stringify(message);
			const sent = this.#lastSentByTopic.get(topic);
			if (sent?.text === text && nowMs - sent.atMs < minRepeatIntervalMs) {
				return;
			}

			this.#lastSentByTopic.set(topic, {text, atMs: nowMs});
		}

		this.#pendingByTopic.delete(topic);
		this.#pendingByTopic.set(topic, message);
	}

	/** Sends all pending messages, unless a call is in progress or failed less than `retryDelayMs` ago. */
	flush(nowMs: number): void {
		if (this.#isSending || this.#pendingByTopic.size === 0 || nowMs < this.#pausedUntilMs) {
			return;
		}

		const messages = [...this.#pendingByTopic.values()];
		this.#pendingByTopic.clear();
		this.#isSending = true;
		void this.#deliver(messages, nowMs);
	}

	async #deliver(messages: readonly SlotMessage[], nowMs: number): Promise<void> {
		const hasArrived = await this.#send(messages);
		this.#isSending = false;
		this.#pausedUntilMs = hasArrived ? -Infinity : nowMs + retryDelayMs;
	}
}
