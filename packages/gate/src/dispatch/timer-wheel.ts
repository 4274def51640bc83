/**
A timer wheel with buckets of equal width: setting and clearing a timer takes constant time, and each tick visits only the buckets that have become due.
*/
import {timerBucketMs} from '../constants.js';

/** Handle of a timer that was set; needed to clear it. */
export type TimerHandle<Value> = {
	readonly value: Value;
	readonly bucket: number;
};

/** A set of timers. A timer never expires early, and at most one bucket late. */
export class TimerWheel<Value> {
	readonly #buckets = new Map<number, Set<TimerHandle<Value>>>();
	#nextBucket: number | undefined;

	/** Sets a timer. One with an infinite due time never expires. */
	set(dueMs: number, value: Value): TimerHandle<Value> {
		const bucket = Math.ceil(dueMs / timerBucketMs);
		const handle = {value, bucket};
		if (Number.isFinite(bucket)) {
			const handles = this.#buckets.get(bucket);
			if (handles === undefined) {
				this.#buckets.set(bucket, new Set([handle]));
			} else {
				handles.add(handle);
			}

			this.#nextBucket = Math.min(this.#nextBucket ?? bucket, bucket);
		}

		return handle;
	}

	/** Clears a timer. Has no effect if the timer has expired or was cleared before. */
	clear(handle: TimerHandle<Value>): void {
		const handles = this.#buckets.get(handle.bucket);
		if (handles?.delete(handle) === true && handles.size === 0) {
			this.#buckets.delete(handle.bucket);
		}
	}

	/** Removes the expired timers and returns their values, in the order of their buckets. */
	removeDue(nowMs: number): readonly Value[] {
		const lastBucket = Math.floor(nowMs / timerBucketMs);
		if (this.#nextBucket === undefined || this.#nextBucket > lastBucket) {
			return [];
		}

		const dueBuckets = this.#bucketsUpTo(this.#nextBucket, lastBucket);
		this.#nextBucket = this.#buckets.size === dueBuckets.length ? undefined : lastBucket + 1;
		return dueBuckets.flatMap(bucket => this.#removeBucket(bucket));
	}

	#bucketsUpTo(first: number, last: number): number[] {
		// After a long pause, fewer buckets are in use than bucket numbers have passed.
		if (last - first > this.#buckets.size) {
			return [...this.#buckets.keys()].filter(bucket => bucket <= last).toSorted((a, b) => a - b);
		}

		const due: number[] = [];
		for (let bucket = first; bucket <= last; bucket++) {
			if (this.#buckets.has(bucket)) {
				due.push(bucket);
			}
		}

		return due;
	}

	#removeBucket(bucket: number): Value[] {
		const handles = this.#buckets.get(bucket) ?? new Set();
		this.#buckets.delete(bucket);
		return [...handles].map(handle => handle.value);
	}
}
