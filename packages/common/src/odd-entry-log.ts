/**
Logs entries of shared lists that cannot be used, once each. Other writers may rewrite an odd entry many times a second, and a process reads a list again and again.
*/
import {type Logger} from './log.js';

/** Number of odd entries that are remembered; beyond it, new ones are not named. */
const maxNamedEntries = 1000;

export class OddEntryLog {
	readonly #log: Logger;
	readonly #event: string;
	readonly #named = new Set<string>();

	/** `event` names the log line, such as `row_unreadable`. */
	constructor(log: Logger, event: string) {
		this.#log = log;
		this.#event = event;
	}

	/** Logs the entry unless it was logged before and has not been readable since. */
	report(key: string, fields: {readonly version?: number; readonly reason?: string} = {}): void {
		if (!this.#named.has(key) && this.#named.size < maxNamedEntries) {
			this.#named.add(key);
			this.#log.warn({event: this.#event, key, ...fields});
		}
	}

	/** Records that the entry can be used, or is gone. */
	clear(key: string): void {
		this.#named.delete(key);
	}

	/** Records that all entries except for these can be used, or are gone. */
	clearOthers(keys: ReadonlySet<string>): void {
		for (const key of this.#named) {
			if (!keys.has(key)) {
				this.#named.delete(key);
			}
		}
	}
}
