/**
Stand-in of the users' operator: writes the configuration and the waves of upkeeps to the store.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type RandomSource} from '@poplarnotch/common';
import {drawBetween} from './draws.js';
import {type Machines} from './machines.js';
import {type Record} from './record.js';
import {type RowStore} from './row-store.js';
import {bounds, configurationOf, type Variant} from './settings.js';

const maxVersionStep = 5;
const minVersions = 2;
const maxVersions = 5;
const maxPauseMs = 400;

const minWaveMachines = 2;
const maxWaveMachines = 6;
const minWaveCap = 2;
const maxWaveCap = 3;

/** Time that a wave has for each batch of machines that may be away at once. */
const batchS = bounds.upkeep_s + 4;

export class Operator {
	readonly #rows: RowStore;
	readonly #machines: Machines;
	readonly #record: Record;
	#version = 0;
	#waves = 0;

	constructor(rows: RowStore, machines: Machines, record: Record) {
		this.#rows = rows;
		this.#machines = machines;
		this.#record = record;
	}

	/** Writes the next version of the configuration. */
	configure(variant: Variant = {}, step = 1): void {
		this.#version += step;
		this.#rows.put('op', 'config', configurationOf(this.#version, variant));
		this.#record.add(`operator: configuration ${this.#version} ${JSON.stringify(variant)}`);
	}

	/** Writes several versions in quick succession, with a route and keys that come and go. `useRoute` is called each time that the route is there. */
	async configureOften(random: RandomSource, useRoute: () => void): Promise<void> {
		for (let left = drawBetween(random, minVersions, maxVersions); left > 0; left--) {
			const variant: Variant = {
				weightFactor: drawBetween(random, 1, 4), timeoutMs: drawBetween(random, 2500, 5000), idleTimeoutMs: drawBetween(random, 8000, 20_000), hasAddedRoute: random.next() < 0.5,
			};
			const step = drawBetween(random, 1, maxVersionStep);
			const pauseMs = random.next() * maxPauseMs;
			this.configure({...variant, hasAddedKeys: random.next() < 0.5}, step);
			if (variant.hasAddedRoute) {
				useRoute();
			}

			await sleep(pauseMs);
		}
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
