/**
Busy processes, which take processor time from the daemons and the stand-ins of all hosts alike.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {type LifecycleManager} from '@poplarnotch/common';

/** A process ends by itself after this time, so that none is left over by a soak that was killed. */
const maxRunMs = 30_000;
const program = `const untilMs = Date.now() + ${maxRunMs}; while (Date.now() < untilMs);`;

export class BusyProcesses {
	readonly #running = new Set<ChildProcess>();
	#isClosed = false;

	constructor(lifecycle: LifecycleManager) {
		const close = (): void => {
			this.#isClosed = true;
			this.end([...this.#running]);
		};

		process.once('exit', close);
		lifecycle.own('busy processes', close);
	}

	start(count: number): readonly ChildProcess[] {
		const started = Array.from({length: this.#isClosed ? 0 : count}, () => spawn(process.execPath, ['-e', program], {stdio: 'ignore'}));
		for (const child of started) {
			this.#running.add(child);
			child.once('exit', () => {
				this.#running.delete(child);
			});
		}

		return started;
	}

	end(children: readonly ChildProcess[]): void {
		for (const child of children) {
			child.kill('SIGKILL');
		}
	}
}
