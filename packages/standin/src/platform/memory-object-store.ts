/**
Implements the object store in memory.
*/
import {
	ConflictError, type ObjectCondition, type ObjectStore, type StoredObject,
} from '@poplarnotch/platform';

/** In-memory `ObjectStore` with conditional writes. */
export class MemoryObjectStore implements ObjectStore {
	#writes = 0;
	readonly #objects = new Map<string, StoredObject>();

	async get(key: string): Promise<StoredObject | undefined> {
		return this.#objects.get(key);
	}

	async put(key: string, text: string, condition: ObjectCondition): Promise<string> {
		const current = this.#objects.get(key);
		const holds = condition === 'any'
			|| (condition === 'absent' ? current === undefined : current?.etag === condition.etag);
		if (!holds) {
			throw new ConflictError([{key, expectedVersion: 0, actualVersion: 0}]);
		}

		const etag = `etag-${++this.#writes}`;
		this.#objects.set(key, {text, etag});
		return etag;
	}
}
