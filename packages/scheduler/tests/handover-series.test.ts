/**
Holders that are stopped in succession, each soon after it has taken over, while the store is slow or leaves saves without an answer: no task is started after an end that is acknowledged.
*/
import process from 'node:process';
import {SeededRandom} from '@poplarnotch/common';
import {expect, test} from 'vitest';
import {disturbAnswers} from './support/disturbed-answers.js';
import {jobOf, stepOf} from './support/jobs.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';
import {finishJobs} from './support/unfinished-jobs.js';

/** Time from the signal to the end of a process. */
const stopMs = 2500;
const processes = 6;
const submissionIntervalMs = 50;
const seriesMs = 12_000;
const minHandovers = 8;

const storeFaults = [{}, {latencyMs: 240}, {lostAnswerRate: 0.35}, {latencyMs: 120, lostAnswerRate: 0.2}];
const answerSizes = [1000, 1, 7, 40];

const seeds = Array.from({length: Number(process.env.POPLARNOTCH_DAYS ?? 4)}, (_value, index) => index + 1);

test.each(seeds)('a series of hand-overs starts no task after its acknowledged end: seed %i', async seed => {
	const random = new SeededRandom(seed);
	const simulation = new SchedulerSimulation({
		seed, processes, workersPerPool: 12, standbyMachines: 2, successors: 4, maxChangesPerAnswer: answerSizes[seed % answerSizes.length], dataCentres: ['a', 'b', 'c'],
	});
	await simulation.run(takeoverMs);
	const restoreAnswers = seed % 2 === 0 ? () => undefined : disturbAnswers(simulation, {repeatRate: 0.1, lateRate: 0.05, maxDelayMs: 4000});
	Object.assign(simulation.faults, seed % 3 === 0 ? {} : {lostOrderRate: 0.05, lateOrderMs: 3000});
	const accepted: string[] = [];
	let jobs = 0;
	let handovers = 0;
	let nextSignalAtMs = simulation.clock.nowMs() + 500;
	const stopping = new Set<string>();
	const submit = async (): Promise<void> => {
		const running = simulation.processes.filter(({clock, name}) => !clock.isDead && !stopping.has(name));
		const job = jobOf(++jobs, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1 + (jobs % 4)}), stepOf({taskCount: 2, after: [0]})]});
		if (await simulation.submit(job, running[Math.floor(random.next() * running.length)])) {
			accepted.push(job.jobId);
		}
	};

	const endsAtMs = simulation.clock.nowMs() + seriesMs;
	while (simulation.clock.nowMs() < endsAtMs || handovers < minHandovers) {
		void submit();
		const {holder} = simulation;
		if (holder !== undefined && !stopping.has(holder.name) && simulation.clock.nowMs() >= nextSignalAtMs) {
			handovers++;
			stopping.add(holder.name);
			simulation.stop(holder, stopMs);
			simulation.clock.schedule(stopMs, () => {
				simulation.addProcess();
			});
			nextSignalAtMs = simulation.clock.nowMs() + (1500 * random.next());
			for (const {table} of simulation.processes) {
				Object.assign(table, {latencyMs: 4, lostAnswerRate: 0, ...storeFaults[Math.floor(random.next() * storeFaults.length)]});
			}
		}

		await simulation.run(submissionIntervalMs);
	}

	for (const {table} of simulation.processes) {
		Object.assign(table, {latencyMs: 4, lostAnswerRate: 0});
	}

	restoreAnswers();
	simulation.faults.lostOrderRate = 0;
	const unfinishedAtEnd = await finishJobs(simulation, accepted);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
	expect(unfinishedAtEnd).toEqual([]);
}, 60_000);
