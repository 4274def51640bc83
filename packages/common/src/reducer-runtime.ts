/**
Runs one reducer over all events of a process. Events are handled one after the other on Node's event loop. Events that are dispatched while another is being handled are queued, so that the reducer is never re-entered. Effects are performed in the order in which the reducer returned them.
*/

/** Result of a reducer: the next state and the effects to perform. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** Handles one event as a pure function. It reads neither a clock nor a random source; the event contains the time and any random values. */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => Step<State, Effect>;

/** Performs one effect. Its results are dispatched as new events. */
export type PerformEffect<Effect> = (effect: Effect) => void;

/** Holds the state of a process and passes events to its reducer. */
export class ReducerRuntime<State, Event, Effect> {
	#state: State;
	#isRunning = false;
	readonly #queued: Event[] = [];
	readonly #reduce: Reducer<State, Event, Effect>;
	readonly #perform: PerformEffect<Effect>;

	constructor(initialState: State, reduce: Reducer<State, Event, Effect>, perform: PerformEffect<Effect>) {
		this.#state = initialState;
		this.#reduce = reduce;
		this.#perform = perform;
	}

	/** The current state. Readers must not change it. */
	get state(): State {
		return this.#state;
	}

	/** Handles the event now, or after the events that are already queued. */
	dispatch(event: Event): void {
		this.#queued.push(event);
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			this.#drainQueue();
		} finally {
			this.#isRunning = false;
		}
	}

	#drainQueue(): void {
		for (let next = this.#queued.shift(); next !== undefined; next = this.#queued.shift()) {
			const step = this.#reduce(this.#state, next);
			this.#state = step.state;
			for (const effect of step.effects) {
				this.#perform(effect);
			}
		}
	}
}
