/**
Quick series of planned stops, each of the holder of that moment, beside the workers of a data centre that leave together or are cut off for a short time. Half of the hand-overs go to processes that have just started, and all processes stand still for a part of each 100 ms in half of the series. No task is started after an end that was taken note of, and all jobs are done.
*/
import process from 'node:process';
import {SeededRandom} from '@poplarnotch/common';
import {expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';
import {finishJobs} from './support/unfinished-jobs.js';

/** Time from the signal to the end of a process. */
const graceMs = 2500;
const processes = 6;
const workers = 24;
const dataCentres = ['a', 'b', 'c'];
const submissionIntervalMs = 50;
const seriesCount = 3;

/** Number of stops in a series, and the time within which they come. */
const minStops = 3;
const maxStops = 5;
const minSeriesMs = 600;
const maxSeriesMs = 2100;

/** Notice that workers give before they leave; they give it up to `leadMs` before the series, or during its first `lagMs`. */
const minNoticeMs = 1000;
const maxNoticeMs = 2500;
const leadMs = 2000;
const lagMs = 600;

/** Less than the leases on workers. */
const cutMs = 900;

/** Part of each 100 ms for which a process stands still that has used its share of processor time. */
const minStillMs = 30;
const maxStillMs = 80;

/** Time between two series: the workers are back. */
const calmMs = 4500;

const storeLatenciesMs = [4, 4, 40, 120, 240];
const largeHost = {cpuMillicores: 1350};

const seeds = Array.from({length: Number(process.env.POPLARNOTCH_DAYS ?? 4)}, (_value, index) => index + 1);

const between = (random: SeededRandom, min: number, max: number): number => min + ((max - min) * random.next());
const oneOf = <Value>(random: SeededRandom, values: readonly Value[]): Value => values[Math.floor(random.next() * values.length)]!;

class Series {
	readonly simulation: SchedulerSimulation;
	readonly accepted: string[] = [];
	readonly #random: SeededRandom;
	#jobCount = 0;
	#isThrottled = false;

	constructor(seed: number) {
		this.#random = new SeededRandom(seed);
		this.simulation = new SchedulerSimulation({
			seed, processes, workersPerPool: workers, standbyMachines: 0, successors: 4, dataCentres,
		});
		this.simulation.configure(configurationWithoutStandby(2));
		this.simulation.arePollsAnsweredAtEnds = true;
		const {behaviour} = this.simulation.fleet;
		const {runMs} = behaviour;
		behaviour.runMs = taskKey => 2.4 * runMs(taskKey);
	}

	/** Processes that have not been told to stop. */
	get #staying() {
		return this.simulation.processes.filter(({clock, isStopping}) => !clock.isDead && !isStopping);
	}

	async submitFor(forMs: number): Promise<void> {
		const untilMs = this.simulation.clock.nowMs() + forMs;
		while (this.simulation.clock.nowMs() < untilMs) {
			void this.#submit();
			await this.simulation.run(submissionIntervalMs);
		}
	}

	async play(): Promise<void> {
		const random = this.#random;
		this.simulation.registrationDelayMs = oneOf(random, storeLatenciesMs);
		for (const {table} of this.simulation.processes) {
			table.latencyMs = oneOf(random, storeLatenciesMs);
		}

		const stops = minStops + Math.floor(random.next() * (maxStops + 1 - minStops));
		const stopAfterMs = between(random, minSeriesMs, maxSeriesMs) / (stops - 1);
		this.#isThrottled = random.next() < 0.5;
		for (const running of this.simulation.processes) {
			this.#throttle(running, leadMs + maxSeriesMs + graceMs);
		}

		this.#planDepartures(oneOf(random, dataCentres));
		await this.submitFor(leadMs + (100 * random.next()));
		for (let count = 0; count < stops; count++) {
			this.#stopHolder();
			await this.submitFor(stopAfterMs);
		}

		await this.submitFor(graceMs);
		this.#isThrottled = false;
	}

	async #submit(): Promise<void> {
		const job = jobOf(++this.#jobCount, {acceptedWallMs: this.simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1 + (this.#jobCount % 4)}), stepOf({taskCount: 2, after: [0]})]});
		if (await this.simulation.submit(job, oneOf(this.#random, this.#staying))) {
			this.accepted.push(job.jobId);
		}
	}

	#throttle(running: SchedulerSimulation['processes'][number], forMs: number): void {
		if (this.#isThrottled) {
			this.simulation.throttle(running, forMs, () => Math.round(between(this.#random, minStillMs, maxStillMs)));
		}
	}

	/** Stops the holder, or another process while there is none, and starts one in its place. Half of the new ones are larger than the others, and so become the next holder. */
	#stopHolder(): void {
		const {holder, cpuMillicores} = this.simulation;
		const stopped = holder === undefined || holder.isStopping ? oneOf(this.#random, this.#staying) : holder;
		const started = this.simulation.addProcess();
		started.table.latencyMs = oneOf(this.#random, storeLatenciesMs);
		this.#throttle(started, maxSeriesMs + graceMs);
		cpuMillicores.clear();
		if (this.#random.next() < 0.5) {
			cpuMillicores.set(started.name, largeHost.cpuMillicores);
		}

		this.simulation.stop(stopped, graceMs);
	}

	/** Most workers of the data centre drain at one moment and leave together, and the others are out of reach for some time. */
	#planDepartures(dataCentre: string): void {
		const random = this.#random;
		const noticeMs = between(random, minNoticeMs, maxNoticeMs);
		const drainAfterMs = between(random, 0, leadMs + lagMs);
		const cutAfterMs = between(random, 0, leadMs + lagMs);
		for (const {isUp, isDraining, entry} of this.simulation.fleet.workers.values()) {
			if (!isUp || isDraining || entry.dataCentre !== dataCentre) {
				continue;
			}

			const {workerId} = entry;
			if (random.next() < 0.75) {
				this.simulation.clock.schedule(drainAfterMs, () => {
					this.simulation.replaceWorker(workerId, noticeMs);
				});
			} else {
				this.simulation.clock.schedule(cutAfterMs, () => {
					this.simulation.cutWorker(workerId, cutMs);
				});
			}
		}
	}
}

test.each(seeds)('quick series of stops beside a data centre whose workers leave start no task after an end that was taken note of: seed %i', async seed => {
	const series = new Series(seed);
	const {simulation} = series;
	await simulation.run(takeoverMs);
	for (let count = 0; count < seriesCount; count++) {
		await series.play();
		await series.submitFor(calmMs);
	}

	for (const {table} of simulation.processes) {
		table.latencyMs = 4;
	}

	const unfinished = await finishJobs(simulation, series.accepted);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
	expect(unfinished).toEqual([]);
}, 60_000);
