/**
The platform's object store: whole objects under string keys, with conditional writes.
*/

/** An object as stored. */
export type StoredObject = {
	readonly text: string;
	/** Changes with every write. */
	readonly etag: string;
};

/** Condition for writing an object: a known etag, the object's absence, or none. */
export type ObjectCondition = {readonly etag: string} | 'absent' | 'any';

/**
Access to the object store. `get` fails with `UnavailableError`; `put` with `ConflictError`, `UnavailableError` or `WriteOutcomeUnknownError`.
*/
export interface ObjectStore {
	/** Returns `undefined` if there is no such object. */
	get(key: string): Promise<StoredObject | undefined>;
	/** Returns the new etag. */
	put(key: string, text: string, condition: ObjectCondition): Promise<string>;
}
