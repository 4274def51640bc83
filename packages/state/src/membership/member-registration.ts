/**
Runs the registration reducer of a process: reads and writes its row, and reports when it is registered or was replaced.
*/
import {
	assertNever, type CancelTimer, type Clock, type Logger, ReducerRuntime, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {PlatformError, type TableService, UnavailableError} from '@poplarnotch/platform';
import {Deferred} from '../deferred.js';
import {type Member} from '../types.js';
import {
	newRegistration, reduceRegistration, type RegistrationEffect, type RegistrationEvent, type RegistrationState,
} from './registration-reducer.js';
import {type MemberIdentity} from './rows.js';

export type MemberRegistrationOptions = {
	readonly table: TableService;
	readonly identity: MemberIdentity;
	readonly clock?: Clock;
	readonly log?: Logger;
};

const tickMs = 100;

/** The registration of this process. */
export class MemberRegistration {
	readonly #table: TableService;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #runtime: ReducerRuntime<RegistrationState, RegistrationEvent, RegistrationEffect>;
	readonly #replacedListeners: Array<() => void> = [];
	readonly #registered = new Deferred<Member>();
	readonly #ended = new Deferred<undefined>();
	#cancelTick: CancelTimer | undefined;
	#isClosed = false;

	constructor(options: MemberRegistrationOptions) {
		this.#table = options.table;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
		this.#runtime = new ReducerRuntime(newRegistration(options.identity), reduceRegistration, effect => {
			this.#perform(effect);
		});
	}

	/** Registers, retrying until it succeeds, and then sends heartbeats. */
	async register(): Promise<Member> {
		this.#tick();
		return this.#registered.promise;
	}

	/** Calls back once if a higher incarnation of this process has registered; this process must then stop. */
	onReplaced(listener: () => void): void {
		this.#replacedListeners.push(listener);
	}

	/** True once a higher incarnation was found in the row. */
	get isReplaced(): boolean {
		return this.#runtime.state.phase === 'replaced';
	}

	/** Deletes the row. Resolves when the process is no longer registered. */
	async leave(): Promise<void> {
		this.#dispatch({type: 'leaveRequested', nowMs: this.#clock.nowMs()});
		await this.#ended.promise;
		this.close();
	}

	/** Stops without deleting the row, as if the process had been killed. */
	close(): void {
		this.#isClosed = true;
		this.#cancelTick?.();
	}

	#tick(): void {
		if (this.#isClosed) {
			return;
		}

		this.#cancelTick = this.#clock.schedule(tickMs, () => {
			this.#tick();
		});
		this.#dispatch({type: 'tick', nowMs: this.#clock.nowMs()});
	}

	#dispatch(event: RegistrationEvent): void {
		this.#runtime.dispatch(event);
	}

	#perform(effect: RegistrationEffect): void {
		switch (effect.type) {
			case 'read': {
				void this.#call(async () => {
					const [row] = await this.#table.readRows([effect.key]);
					return {type: 'rowRead', nowMs: this.#clock.nowMs(), row};
				});
				break;
			}

			case 'commit': {
				void this.#call(async () => {
					const {revision} = await this.#table.commit(effect.transaction);
					return {type: 'written', nowMs: this.#clock.nowMs(), revision};
				});
				break;
			}

			case 'registered': {
				const {processId, incarnation} = effect.member;
				this.#log.info({event: 'member_registered', processId, incarnation});
				this.#registered.resolve(effect.member);
				break;
			}

			case 'replaced': {
				this.#log.error({event: 'member_replaced', incarnation: this.#runtime.state.incarnation});
				this.#ended.resolve(undefined);
				for (const listener of this.#replacedListeners) {
					listener();
				}

				break;
			}

			case 'left': {
				this.#log.info({event: 'member_left', incarnation: this.#runtime.state.incarnation});
				this.#ended.resolve(undefined);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	async #call(perform: () => Promise<RegistrationEvent>): Promise<void> {
		let event: RegistrationEvent;
		try {
			event = await perform();
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#log.warn({event: 'member_call_failed', code: error.code, reason: error.message});
			event = {type: 'failed', nowMs: this.#clock.nowMs(), mustRead: !(error instanceof UnavailableError)};
		}

		if (!this.#isClosed) {
			this.#dispatch(event);
		}
	}
}
