/**
Implements the event queue of a simulation as a binary heap.
*/

type Entry<Event> = {readonly atMs: number; readonly order: number; readonly event: Event};

const isBefore = (a: Entry<unknown>, b: Entry<unknown>): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Priority queue of events by time. Events with equal times keep the order in which they were added. */
export class EventQueue<Event> {
	readonly #heap: Array<Entry<Event>> = [];
	#order = 0;

	add(atMs: number, event: Event): void {
		const entry = {atMs, order: this.#order++, event};
		let index = this.#heap.push(entry) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!isBefore(entry, this.#heap[parent]!)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = entry;
	}

	take(): Entry<Event> | undefined {
		const first = this.#heap[0];
		const last = this.#heap.pop();
		if (last !== undefined && this.#heap.length > 0) {
			this.#siftDown(last);
		}

		return first;
	}

	#siftDown(entry: Entry<Event>): void {
		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= this.#heap.length) {
				break;
			}

			if (child + 1 < this.#heap.length && isBefore(this.#heap[child + 1]!, this.#heap[child]!)) {
				child++;
			}

			if (!isBefore(this.#heap[child]!, entry)) {
				break;
			}

			this.#heap[index] = this.#heap[child]!;
			index = child;
		}

		this.#heap[index] = entry;
	}
}
