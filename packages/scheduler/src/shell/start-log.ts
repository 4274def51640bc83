/**
Logs the starts that workers have accepted, one line for each step and short span of time. A busy lease holder starts a thousand tasks a second; a line for each would exceed the bound on lines, and formatting them would take processor time that starts need.
*/
import {type CancelTimer, type Clock, type Logger} from '@poplarnotch/common';
import {logGatherMs, maxLoggedRuns} from '../constants.js';

/** A start that its worker has accepted. */
export type AcceptedStart = {
	/** `{jobId}.{occurrence}.{step}.{index}` */
	readonly taskKey: string;
	readonly attempt: number;
	readonly workerId: string;
	readonly waitedMs: number;
	readonly durationMs: number;
	readonly fencingToken: number;
	/** At the beginning of a term, the version of the job's progress row that the start rests on; 0 if none was read. */
	readonly progressVersion: number | undefined;
};

export class StartLog {
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #gathered = new Map<string, AcceptedStart[]>();
	#cancelTimer: CancelTimer | undefined;

	constructor(clock: Clock, log: Logger) {
		this.#clock = clock;
		this.#log = log;
	}

	record(start: AcceptedStart): void {
		const stepKey = start.taskKey.slice(0, start.taskKey.lastIndexOf('.'));
		const starts = this.#gathered.get(stepKey);
		if (starts === undefined) {
			this.#gathered.set(stepKey, [start]);
		} else {
			starts.push(start);
		}

		this.#cancelTimer ??= this.#clock.schedule(logGatherMs, () => {
			this.flush();
		});
	}

	/** Writes what was gathered. */
	flush(): void {
		this.#cancelTimer?.();
		this.#cancelTimer = undefined;
		for (const [stepKey, starts] of this.#gathered) {
			for (let from = 0; from < starts.length; from += maxLoggedRuns) {
				this.#write(stepKey, starts.slice(from, from + maxLoggedRuns));
			}
		}

		this.#gathered.clear();
	}

	#write(stepKey: string, starts: readonly AcceptedStart[]): void {
		let tasks = '';
		let waitedMs = 0;
		let durationMs = 0;
		for (const start of starts) {
			const version = start.progressVersion === undefined ? '' : `@${start.progressVersion}`;
			tasks += `${tasks === '' ? '' : ','}${start.taskKey.slice(stepKey.length + 1)}#${start.attempt}:${start.workerId}${version}`;
			waitedMs = Math.max(waitedMs, start.waitedMs);
			durationMs = Math.max(durationMs, start.durationMs);
		}

		this.#log.info({
			event: 'tasks_started', stepKey, count: starts.length, tasks, waitedMs, durationMs: Math.round(durationMs), fencingToken: starts[0]!.fencingToken,
		});
	}
}
