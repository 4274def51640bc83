/**
The demand forecast for pools, on arrivals without a fleet: queues that ask for five times their mean for 5 s and for little in between.
*/
import {expect, test} from 'vitest';
import {BurstForecast} from '../../src/core/pools/burst-forecast.js';
import {type BurstChange} from '../../src/core/pools/demand-forecast.js';

const burstMs = 5000;
const jobsPerSecond = 40;
const jobMillicoreMs = 8 * 8000 * 750;
const peakMillicores = jobsPerSecond * jobMillicoreMs / 1000;
const pools = ['draws', 'watches', 'maps'];

/** Arrivals of queues, in rounds of 25 ms. */
class Load {
	readonly forecast = new BurstForecast();
	readonly changes: Array<BurstChange & {readonly atMs: number}> = [];
	nowMs = 0;

	/** Lets the given pool burst, or none. */
	run(forMs: number, bursting?: string, lackingRoom: ReadonlySet<string> = new Set()): void {
		const untilMs = this.nowMs + forMs;
		while (this.nowMs < untilMs) {
			this.nowMs += 25;
			if (bursting !== undefined) {
				this.forecast.recordArrival({pool: bursting, millicoreMs: jobMillicoreMs, atMs: this.nowMs});
			}

			this.changes.push(...this.forecast.advance(this.nowMs, lackingRoom).map(change => ({...change, atMs: this.nowMs})));
		}
	}

	demandOf(pool: string): number {
		return this.forecast.demandMillicores(pool, this.nowMs);
	}
}

test('a pool is sized for the peak of its earlier bursts within 200 ms of the next one, so that machines do not arrive for its end', () => {
	const load = new Load();
	load.run(burstMs, 'draws');
	load.run(20_000);
	load.run(200, 'draws');
	expect(load.demandOf('draws')).toBeGreaterThan(0.9 * peakMillicores);
	expect(load.forecast.isInBurst('draws')).toBe(true);
	expect(load.changes.at(-1)!.expected.lengthMs).toBeGreaterThan(burstMs - 1000);
});

test('the first burst of a pool counts at most twice what has arrived, as long as its slope is unknown', () => {
	const load = new Load();
	load.run(20_000);
	load.run(250, 'draws');
	expect(load.forecast.isInBurst('draws')).toBe(true);
	expect(load.demandOf('draws')).toBeLessThanOrEqual(2 * 10 * jobMillicoreMs / 500);
});

test('a first burst that rises is extrapolated, so that machines arrive before it has reached its peak', () => {
	const load = new Load();
	load.run(20_000);
	for (const pauses of [9, 5, 3, 2]) {
		for (let waitedMs = 0; waitedMs < 500; waitedMs += 25 * (pauses + 1)) {
			load.run(25, 'draws');
			load.run(25 * pauses);
		}
	}

	const arrivedMillicores = 20 * jobMillicoreMs / 1000;
	expect(load.demandOf('draws')).toBeGreaterThan(1.5 * arrivedMillicores / 2);
	expect(load.forecast.isInBurst('draws')).toBe(true);
});

test('single jobs in quick succession are no burst, so that a quiet pool gets no machines for them', () => {
	const load = new Load();
	load.run(burstMs, 'draws');
	load.run(20_000);
	load.run(75, 'draws');
	expect(load.forecast.isInBurst('draws')).toBe(false);
});

test('machines are demanded 1.5 s before a burst that has followed another pool twice, and not before', () => {
	const load = new Load();
	for (const pool of [...pools, ...pools, ...pools, 'draws']) {
		load.run(burstMs, pool);
	}

	load.run(3000, 'watches');
	expect(load.demandOf('maps')).toBe(0);
	load.run(700, 'watches');
	expect(load.demandOf('maps')).toBeGreaterThan(0.9 * peakMillicores);
});

test('an expected burst that does not come is given up after a second', () => {
	const load = new Load();
	for (const pool of [...pools, ...pools, ...pools, 'draws', 'watches']) {
		load.run(burstMs, pool);
	}

	load.run(2000);
	expect(load.demandOf('maps')).toBe(0);
});

test('bursts in changing order are not expected', () => {
	const load = new Load();
	for (const pool of ['draws', 'watches', 'maps', 'watches', 'draws', 'maps', 'draws', 'watches', 'maps', 'watches']) {
		load.run(burstMs, pool);
	}

	expect([load.demandOf('draws'), load.demandOf('maps')]).toEqual([0, 0]);
});

test('a burst is ending once its rate falls around its expected end, and its demand is gone within a second of the last job', () => {
	const load = new Load();
	load.run(burstMs, 'draws');
	load.run(20_000);
	load.run(4800, 'draws');
	expect(load.forecast.isBurstEnding('draws', load.nowMs)).toBe(false);
	load.run(200);
	expect(load.forecast.isBurstEnding('draws', load.nowMs)).toBe(true);
	load.run(800);
	expect(load.forecast.isBurstOver('draws', load.nowMs)).toBe(true);
	expect(load.demandOf('draws')).toBe(0);
	expect(load.forecast.errorPercent).toBeLessThan(10);
});

test('after a takeover no burst is in progress that an earlier term has seen', () => {
	const load = new Load();
	load.run(2000, 'draws');
	load.forecast.restart();
	expect(load.forecast.isInBurst('draws')).toBe(false);
});

test('a burst that lasts longer than an interrupted earlier one is not taken for ending, so that its shortages are covered', () => {
	const load = new Load();
	load.run(1200, 'draws');
	load.run(2000);
	expect(load.changes.at(-1)!.actual!.lengthMs).toBeLessThan(2500);
	for (let waitedMs = 0; waitedMs < burstMs; waitedMs += 100) {
		load.run(100, 'draws');
		expect(load.forecast.isBurstEnding('draws', load.nowMs)).toBe(false);
	}

	expect(load.demandOf('draws')).toBeGreaterThan(0.9 * peakMillicores);
});

test('a burst goes on while its work finds no room, at most for 3 s, and only its arrivals count for its length', () => {
	const load = new Load();
	load.run(10_000);
	load.run(1500, 'draws');
	load.run(1500, undefined, new Set(['draws']));
	expect(load.forecast.isInBurst('draws')).toBe(true);
	load.run(25);
	expect(load.forecast.isInBurst('draws')).toBe(false);
	expect(load.changes.at(-1)!.actual!.lengthMs).toBeLessThan(2100);
	load.run(10_000);
	load.run(1500, 'draws', new Set(['draws']));
	load.run(5000, undefined, new Set(['draws']));
	expect(load.forecast.isInBurst('draws')).toBe(false);
});
