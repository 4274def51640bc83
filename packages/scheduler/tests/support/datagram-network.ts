/**
An in-memory network for the datagrams between simulated processes. A datagram to a dead process is dropped; one to a frozen process waits until the process goes on, as in a socket's buffer.
*/
import {type VirtualClock} from '@poplarnotch/common';
import {type DatagramTransport} from '@poplarnotch/state';
import {type HostClock} from './host-clock.js';

const latencyMs = 1;

type Receiver = {
	readonly clock: HostClock;
	readonly deliver: (datagram: Uint8Array) => void;
};

type LossRule = (from: string, to: string) => boolean;

const loseNone: LossRule = () => false;

export class DatagramNetwork {
	/** Returns true if a datagram is lost on its way. */
	isLost = loseNone;
	readonly #platformClock: VirtualClock;
	readonly #receivers = new Map<string, Receiver>();

	constructor(platformClock: VirtualClock) {
		this.#platformClock = platformClock;
	}

	transportOf(processId: string, clock: HostClock): DatagramTransport {
		return {
			send: (to, datagram) => {
				if (!this.isLost(processId, to)) {
					this.#platformClock.schedule(latencyMs, () => {
						this.inject(to, datagram);
					});
				}
			},
			receive: deliver => {
				this.#receivers.set(processId, {clock, deliver});
			},
		};
	}

	/** Delivers a datagram to a process, whoever sent it. */
	inject(to: string, datagram: Uint8Array): void {
		const receiver = this.#receivers.get(to);
		if (receiver !== undefined) {
			receiver.clock.schedule(0, () => {
				receiver.deliver(datagram);
			});
		}
	}
}
