/**
Logs the ends `done` that workers report, gathered over all workers for a short span of time. A busy lease holder reads more than a thousand reports a second; a line for each would take more than half of the lines that it may write.
*/
import {type CancelTimer, type Clock, type Logger} from '@poplarnotch/common';
import {logGatherMs, maxLoggedRuns} from '../constants.js';

export class DoneLog {
	readonly #clock: Clock;
	readonly #log: Logger;
	#gathered: string[] = [];
	#cancelTimer: CancelTimer | undefined;

	constructor(clock: Clock, log: Logger) {
		this.#clock = clock;
		this.#log = log;
	}

	record(workerId: string, done: ReadonlyArray<{readonly taskKey: string; readonly attempt: number}>): void {
		this.#gathered.push(...done.map(({taskKey, attempt}) => `${taskKey}#${attempt}:${workerId}`));
		this.#cancelTimer ??= this.#clock.schedule(logGatherMs, () => {
			this.flush();
		});
	}

	/** Writes what was gathered. */
	flush(): void {
		this.#cancelTimer?.();
		this.#cancelTimer = undefined;
		const gathered = this.#gathered;
		this.#gathered = [];
		for (let from = 0; from < gathered.length; from += maxLoggedRuns) {
			const tasks = gathered.slice(from, from + maxLoggedRuns);
			this.#log.info({event: 'runs_done', count: tasks.length, tasks: tasks.join(',')});
		}
	}
}
