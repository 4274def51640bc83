/**
The clock of one simulated process. While the process is frozen, its timers and answers wait. Its monotonic clock stops if its machine is suspended, and goes on if only the process is, for instance because it has used its share of processor time; the wall clock goes on in any case. Once the process is dead, its timers and answers are dropped.
*/
import {type CancelTimer, type Clock, type VirtualClock} from '@poplarnotch/common';

/** What stands still: the machine, the process, or the process until it is given processor time again. */
export type Freeze = 'machine' | 'process' | 'quota';

export class HostClock implements Clock {
	isDead = false;
	readonly #clock: VirtualClock;
	#frozenUntilMs = 0;
	#frozenMs = 0;
	#frozen: Freeze = 'machine';
	#wallStepMs = 0;

	constructor(clock: VirtualClock) {
		this.#clock = clock;
	}

	get isFrozen(): boolean {
		return this.#clock.nowMs() < this.#frozenUntilMs;
	}

	/** Whether the process stands still for another reason than its quota of processor time. */
	get isHarmed(): boolean {
		return this.isFrozen && this.#frozen !== 'quota';
	}

	nowMs(): number {
		const remainingMs = this.#frozen === 'machine' ? Math.max(0, this.#frozenUntilMs - this.#clock.nowMs()) : 0;
		return Math.min(this.#clock.nowMs(), this.#clock.nowMs() - this.#frozenMs + remainingMs);
	}

	wallTimeMs(): number {
		return this.#clock.wallTimeMs() + this.#wallStepMs;
	}

	/** Moves the wall clock forward or back. */
	stepWallClock(byMs: number): void {
		this.#wallStepMs += byMs;
	}

	freeze(forMs: number, frozen: Freeze = 'machine'): void {
		if (!this.isFrozen || (this.#frozen === 'quota' && frozen !== 'quota')) {
			this.#frozenUntilMs = this.#clock.nowMs() + forMs;
			this.#frozen = frozen;
			this.#frozenMs += frozen === 'machine' ? forMs : 0;
		}
	}

	schedule(delayMs: number, callback: () => void): CancelTimer {
		let isCancelled = false;
		const run = (): void => {
			if (isCancelled || this.isDead) {
				return;
			}

			if (this.isFrozen) {
				this.#clock.schedule(this.#frozenUntilMs - this.#clock.nowMs() + 1, run);
				return;
			}

			callback();
		};

		const cancel = this.#clock.schedule(delayMs, run);
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	/** Resolves after the delay, once the process is not frozen; never if the process is dead. */
	async wait(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.schedule(delayMs, resolve);
		});
	}
}
