/**
Manages the resources that a process must release before it ends. Resources are released in reverse order of acquisition, each within a time limit. Failures are collected, so that one resource cannot prevent the release of the others.
*/
import {PoplarnotchError} from './errors.js';
import {type CancelTimer, type Clock} from './clock.js';

/** Releases one resource. */
export type Release = () => void | Promise<void>;

/** A resource was not released within its time limit. */
export class ReleaseTimeoutError extends PoplarnotchError {
	override readonly code = 'release-timeout';
}

/** A resource that could not be released, with the reason. */
export type ReleaseFailure = {
	readonly name: string;
	readonly error: unknown;
};

type OwnedResource = {
	readonly name: string;
	readonly release: Release;
	readonly timeoutMs: number;
};

/** Default time limit for the release of one resource. */
const defaultReleaseTimeoutMs = 5000;

/** Releases all its resources, once. */
export class LifecycleManager {
	readonly #clock: Clock;
	readonly #resources: OwnedResource[] = [];
	#released: Promise<readonly ReleaseFailure[]> | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Registers a resource to release. */
	own(name: string, release: Release, timeoutMs = defaultReleaseTimeoutMs): void {
		this.#resources.push({name, release, timeoutMs});
	}

	/** Releases all resources in reverse order. Later calls return the first call's result. */
	async releaseAll(): Promise<readonly ReleaseFailure[]> {
		this.#released ??= this.#releaseInReverse();
		return this.#released;
	}

	async #releaseInReverse(): Promise<readonly ReleaseFailure[]> {
		const failures: ReleaseFailure[] = [];
		for (const resource of this.#resources.toReversed()) {
			try {
				await this.#releaseWithTimeout(resource);
			} catch (error) {
				failures.push({name: resource.name, error});
			}
		}

		return failures;
	}

	async #releaseWithTimeout(resource: OwnedResource): Promise<void> {
		let cancelTimer: CancelTimer | undefined;
		const timedOut = new Promise<never>((_resolve, reject) => {
			cancelTimer = this.#clock.schedule(resource.timeoutMs, () => {
				reject(new ReleaseTimeoutError(`"${resource.name}" was not released within ${resource.timeoutMs} ms`));
			});
		});
		try {
			await Promise.race([resource.release(), timedOut]);
		} finally {
			cancelTimer?.();
		}
	}
}
