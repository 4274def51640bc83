/**
What operators have written, as each simulated process reads it: some of it only while the process reaches the store.
*/
import {UnavailableError} from '@poplarnotch/platform';
import {type OperatorOrders, type RefreshableSource, type StateSource} from '../../src/index.js';
import {type TableFaults} from './fake-table.js';
import {type HostClock} from './host-clock.js';

/** Passes its current value and each newer one to its listeners. */
export class PublishedValue<Value> {
	readonly #listeners = new Set<(value: Value) => void>();
	#value: Value;

	constructor(value: Value) {
		this.#value = value;
	}

	get value(): Value {
		return this.#value;
	}

	publish(value: Value): void {
		this.#value = value;
		for (const listener of this.#listeners) {
			listener(value);
		}
	}

	follow(clock: HostClock, delayMs: () => number = () => 1): StateSource<Value> {
		let isStopped = false;
		return {
			confirmedAtMs: 0,
			start: listener => {
				const deliver = (value: Value): void => {
					clock.schedule(delayMs(), () => {
						if (!isStopped) {
							listener(value);
						}
					});
				};

				this.#listeners.add(deliver);
				deliver(this.#value);
			},
			stop() {
				isStopped = true;
			},
			readNow: () => undefined,
		};
	}
}

/** A process's copy of the operators' rows. Evacuations reach it only while the process reaches the store, after the latency of its calls; configurations and waves always do. */
export class FollowedOrders implements RefreshableSource<OperatorOrders> {
	confirmedAtMs: number | undefined;
	readonly #published: PublishedValue<OperatorOrders>;
	readonly #clock: HostClock;
	readonly #table: TableFaults;
	#known: OperatorOrders;
	#listener: ((orders: OperatorOrders) => void) | undefined;

	readonly #isReached: () => boolean;
	readonly #confirmIntervalMs: () => number;

	constructor(published: PublishedValue<OperatorOrders>, {clock, table, isReached, confirmIntervalMs}: {
		readonly clock: HostClock;
		readonly table: TableFaults;
		/** Whether the process reaches the store, itself or through others. */
		readonly isReached: () => boolean;
		readonly confirmIntervalMs: () => number;
	}) {
		this.#published = published;
		this.#confirmIntervalMs = confirmIntervalMs;
		this.#isReached = isReached;
		this.#clock = clock;
		this.#table = table;
		this.#known = {...published.value, evacuatedDataCentres: []};
	}

	start(listener: (orders: OperatorOrders) => void): void {
		this.#listener = listener;
		this.#published.follow(this.#clock).start(orders => {
			this.#deliver({...orders, evacuatedDataCentres: this.#known.evacuatedDataCentres});
			this.#clock.schedule(this.#table.latencyMs / 2, () => {
				this.#confirm();
			});
		});
		this.#confirmRegularly();
	}

	stop(): void {
		this.#listener = undefined;
	}

	async refresh(): Promise<undefined> {
		await this.#clock.wait(this.#table.latencyMs / 2);
		if (!this.#confirm()) {
			throw new UnavailableError('the store is down');
		}
	}

	readNow(): void {
		this.#confirm();
	}

	#confirmRegularly(): void {
		this.#confirm();
		this.#clock.schedule(this.#confirmIntervalMs(), () => {
			this.#confirmRegularly();
		});
	}

	#confirm(): boolean {
		if (!this.#isReached()) {
			return false;
		}

		this.confirmedAtMs = this.#clock.nowMs();
		if (this.#known.evacuatedDataCentres !== this.#published.value.evacuatedDataCentres) {
			this.#deliver(this.#published.value);
		}

		return true;
	}

	#deliver(orders: OperatorOrders): void {
		this.#known = orders;
		this.#listener?.(orders);
	}
}
