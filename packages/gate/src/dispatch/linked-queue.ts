/**
A first-in first-out queue from which any entry can be removed in constant time, so that a burst of cancellations costs time only in proportion to the cancelled requests. It keeps mutable links behind private fields.
*/

type Link<Value> = {
	readonly value: Value;
	previous: Link<Value> | undefined;
	next: Link<Value> | undefined;
	isLinked: boolean;
};

/** An entry of a queue. It serves to remove the entry and gives no access to its neighbours. */
export type QueueEntry<Value> = {readonly value: Value};

/** A doubly linked queue. */
export class LinkedQueue<Value> {
	#first: Link<Value> | undefined;
	#last: Link<Value> | undefined;
	#size = 0;

	/** Number of entries. */
	get size(): number {
		return this.#size;
	}

	/** The value at the front; undefined if the queue is empty. */
	get first(): Value | undefined {
		return this.#first?.value;
	}

	/** Adds a value at the back. */
	pushBack(value: Value): QueueEntry<Value> {
		const link: Link<Value> = {
			value, previous: this.#last, next: undefined, isLinked: true,
		};
		if (this.#last === undefined) {
			this.#first = link;
		} else {
			this.#last.next = link;
		}

		this.#last = link;
		this.#size++;
		return link;
	}

	/** Adds a value at the front. */
	pushFront(value: Value): QueueEntry<Value> {
		const link: Link<Value> = {
			value, previous: undefined, next: this.#first, isLinked: true,
		};
		if (this.#first === undefined) {
			this.#last = link;
		} else {
			this.#first.previous = link;
		}

		this.#first = link;
		this.#size++;
		return link;
	}

	/** Removes the entry. Returns false if it was removed before. */
	remove(entry: QueueEntry<Value>): boolean {
		const link = entry as Link<Value>;
		if (!link.isLinked) {
			return false;
		}

		if (link.previous === undefined) {
			this.#first = link.next;
		} else {
			link.previous.next = link.next;
		}

		if (link.next === undefined) {
			this.#last = link.previous;
		} else {
			link.next.previous = link.previous;
		}

		link.isLinked = false;
		this.#size--;
		return true;
	}
}
