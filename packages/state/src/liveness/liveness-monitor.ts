/**
Runs the detection of a lost holder in one process: sends and receives datagrams, drives the decision with one timer, and passes its results to the owner of the lease.
*/
import {
	assertNever, type CancelTimer, type Clock, type Logger, type MetricsRegistry,
} from '@poplarnotch/common';
import {decodeDatagram, encodeDatagram} from './datagrams.js';
import {HolderLiveness} from './holder-liveness.js';
import {type LivenessEffect, type LivenessSituation, type Successor} from './types.js';

/** Sends datagrams to processes by their id, without any guarantee. */
export interface DatagramTransport {
	send(processId: string, datagram: Uint8Array): void;
	/** Registers the one receiver of this process's datagrams. */
	receive(receiver: (datagram: Uint8Array) => void): void;
}

/** How a process detects the loss of the holder. */
export type FailureDetection = {
	readonly transport: DatagramTransport;
	/** The fleet's shared secret; `undefined` until it is known. */
	readonly secret: () => string | undefined;
	/** The likely successors, which may include this process. */
	readonly successors: () => readonly Successor[];
	/** Silence after which the holder is suspected. */
	readonly detectionMs: number;
};

export type LivenessMonitorOptions = FailureDetection & {
	readonly processId: string;
	readonly incarnation: number;
	readonly heldToken: () => number | undefined;
	/** The holder with the token is suspected, or has released the lease. */
	readonly onHolderSuspected: (token: number) => void;
	readonly onHolderCleared: (token: number) => void;
	/** Another process holds the lease with a higher token than this process. */
	readonly onSuperseded: (token: number) => void;
	/** The process that held the lease before this one was heard, or is known to be gone. */
	readonly onEarlierHolderHeard: (isGone: boolean) => void;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

/** The message of a release is repeated, since datagrams may be lost. */
const releaseCopies = 3;
const releaseCopyIntervalMs = 30;

export class LivenessMonitor {
	readonly #options: LivenessMonitorOptions;
	readonly #liveness: HolderLiveness;
	#cancelTimer: CancelTimer | undefined;
	#isClosed = false;

	constructor(options: LivenessMonitorOptions) {
		this.#options = options;
		const {processId, incarnation, detectionMs, clock, metrics, transport} = options;
		this.#liveness = new HolderLiveness({
			processId, incarnation, detectionMs, startedAtMs: clock.nowMs(),
		});
		metrics.gauge('holder_silence_ms', () => Math.round(this.#liveness.silenceMs(clock.nowMs())));
		transport.receive(datagram => {
			this.#receive(datagram);
		});
	}

	start(): void {
		this.wake();
	}

	close(): void {
		this.#isClosed = true;
		this.#cancelTimer?.();
	}

	/** Sends what is due, after a change of the lease as well. */
	wake(): void {
		if (this.#isClosed) {
			return;
		}

		this.#cancelTimer?.();
		this.#perform(this.#liveness.tick(this.#situation()));
		this.#cancelTimer = this.#options.clock.schedule(this.#liveness.nextDelayMs(this.#situation()), () => {
			this.wake();
		});
	}

	/** When the holder with the token was last heard; `undefined` if it was not. */
	holderHeardAtMs(token: number): number | undefined {
		return this.#liveness.holderHeardAtMs(token);
	}

	/** Whether the run of the process that held the lease with the token has certainly ended. */
	isHolderGone(token: number): boolean {
		return this.#liveness.isHolderGone(token);
	}

	/** Tells the successors that this process has released the lease with the token. */
	announceRelease(token: number): void {
		const situation = this.#situation();
		this.#options.log.info({event: 'lease_handed_over', fencingToken: token, successors: situation.successors.length});
		for (let copy = 0; copy < releaseCopies; copy++) {
			this.#options.clock.schedule(copy * releaseCopyIntervalMs, () => {
				this.#perform(this.#liveness.release(token, this.#situation()));
			});
		}
	}

	#situation(): LivenessSituation {
		const {clock, heldToken, successors} = this.#options;
		return {nowMs: clock.nowMs(), heldToken: heldToken(), successors: successors()};
	}

	#receive(datagram: Uint8Array): void {
		const secret = this.#options.secret();
		const message = secret === undefined || this.#isClosed ? undefined : decodeDatagram(secret, datagram);
		if (message === undefined) {
			return;
		}

		this.#perform(this.#liveness.receive(message, this.#situation()));
		if (message.type === 'released') {
			this.wake();
		}
	}

	#perform(effects: readonly LivenessEffect[]): void {
		const {transport, log, metrics, onHolderSuspected, onHolderCleared, onSuperseded, onEarlierHolderHeard} = this.#options;
		const secret = this.#options.secret();
		for (const effect of effects) {
			switch (effect.type) {
				case 'send': {
					if (secret !== undefined) {
						transport.send(effect.to, encodeDatagram(secret, effect.message));
					}

					break;
				}

				case 'suspect': {
					metrics.increment('holder_suspicions_total');
					log.warn({
						event: 'holder_suspected', fencingToken: effect.token, silenceMs: effect.silenceMs, confirmedBy: effect.reporters.join(','),
					});
					onHolderSuspected(effect.token);
					break;
				}

				case 'acquireReleased': {
					onHolderSuspected(effect.token);
					break;
				}

				case 'clear': {
					log.info({event: 'holder_cleared', fencingToken: effect.token});
					onHolderCleared(effect.token);
					break;
				}

				case 'superseded': {
					onSuperseded(effect.token);
					break;
				}

				case 'earlierHolderHeard': {
					onEarlierHolderHeard(effect.isGone);
					break;
				}

				default: {
					assertNever(effect);
				}
			}
		}
	}
}
