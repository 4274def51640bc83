/**
Stand-in of the users' operator: writes the configuration and the waves of upkeeps to the store.
*/
import {type RandomSource} from '@poplarnotch/common';
import {type Machines} from './machines.js';
import {type Record} from './record.js';
import {type RowStore} from './row-store.js';
import {bounds, configurationOf} from './settings.js';

const minWaveMachines = 2;
const maxWaveMachines = 6;
const minWaveCap = 2;
const maxWaveCap = 3;

/** Time that a wave has for each batch of machines that may be away at once. */
const batchS = bounds.upkeep_s + 4;

const drawBetween = (random: RandomSource, min: number, max: number): number => min + Math.floor(random.next() * (max - min + 1));

export class Operator {
	readonly #rows: RowStore;
	readonly #machines: Machines;
	readonly #record: Record;
	#waves = 0;

	constructor(rows: RowStore, machines: Machines, record: Record) {
		this.#rows = rows;
		this.#machines = machines;
		this.#record = record;
	}

	/** Writes the configuration. */
	configure(): void {
		this.#rows.put('op', 'config', configurationOf(1));
	}

	/** Asks for an upkeep of some machines, and resolves once it is said to be completed or its time is over. */
	async orderWave(random: RandomSource): Promise<void> {
		const count = drawBetween(random, minWaveMachines, maxWaveMachines);
		const cap = drawBetween(random, minWaveCap, maxWaveCap);
		const waiting = [...this.#machines.ids];
		const ids = Array.from({length: Math.min(count, waiting.length)}, () => waiting.splice(Math.floor(random.next() * waiting.length), 1)[0]!);
		const wave = ++this.#waves;
		const withinS = Math.ceil(ids.length / cap) * batchS;
		this.#rows.put('op', `wave/${wave}`, {
			wave, machines: ids, within_s: withinS, cap,
		});
		this.#record.add(`operator: wave ${wave} of ${ids.join(', ')}, ${cap} at once, within ${withinS} s`);
		const untilMs = performance.now() + (withinS * 1000);
		while (performance.now() < untilMs) {
			if ((this.#rows.read('status', `wave/${wave}`) as {readonly state?: string} | undefined)?.state === 'completed') {
				this.#machines.noteCompleted(wave, ids);
				return;
			}

			await this.#rows.changed.wait(untilMs - performance.now());
		}
	}
}
