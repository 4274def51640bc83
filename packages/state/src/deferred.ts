/**
A promise that is resolved from outside its executor.
*/

/** Holds a promise and its resolve function; only the first call of `resolve` has an effect. */
export class Deferred<Value> {
	readonly promise: Promise<Value>;
	#resolve: ((value: Value) => void) | undefined;

	constructor() {
		this.promise = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	resolve(value: Value): void {
		this.#resolve?.(value);
	}
}
