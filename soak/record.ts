/**
Record of one run: what was sent, answered and run, with the time since its start.
*/
import {writeFileSync} from 'node:fs';

/** The first lines are kept up to this number; the rest is only counted. */
const maxLines = 400_000;

export class Record {
	readonly #lines: string[] = [];
	readonly #startedAtMs = performance.now();
	#droppedLines = 0;

	add(text: string): void {
		if (this.#lines.length < maxLines) {
			this.#lines.push(`${this.secondsAt(performance.now()).padStart(8)}  ${text}`);
		} else {
			this.#droppedLines++;
		}
	}

	/** Returns a time of the steady clock as it stands in the record. */
	secondsAt(nowMs: number): string {
		return ((nowMs - this.#startedAtMs) / 1000).toFixed(3);
	}

	write(fileName: string): void {
		writeFileSync(fileName, [...this.#lines, `${this.#droppedLines} further lines`, ''].join('\n'));
	}
}
