/**
The time from the report that lists an end to the save that stores it. An end counts as taken note of 100 ms after its listing, so whatever takes its worker or its holder away after that must find it stored. Guards against saves that wait for a round, and rounds are further apart on a host that lacks processor time.
*/
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {progressKey, jobChangeFrom} from '../src/jobs/rows.js';
import {HolderPacing} from '../src/shell/holder-pacing.js';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

/** Interval between two saves, and the time for an answer and for three steps of the simulation. */
const saveIntervalMs = 40;
const answerMs = 2;
const stepMs = 5;
const resolutionMs = 3 * stepMs;

let simulation: SchedulerSimulation;

beforeEach(() => {
	simulation = new SchedulerSimulation({
		seed: 58, processes: 3, workersPerPool: 60, standbyMachines: 0,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.arePollsAnsweredAtEnds = true;
});

afterEach(() => {
	vi.restoreAllMocks();
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const job = jobOf(1, {steps: [stepOf({taskCount: 480})]});

/** Returns the indexes of the tasks that are stored as done. */
const storedDone = (): readonly number[] => {
	const key = progressKey(job.jobId);
	const change = jobChangeFrom({key, value: simulation.table.valueOf(key), version: 1});
	return change?.type === 'progressed' ? change.progress.doneTasks['0.0'] ?? [] : [];
};

/** Runs for some time and returns, for each end that was listed in it but the last ones, how long after that it was stored. */
const storingTimes = async (forMs: number): Promise<readonly number[]> => {
	const listedAtMs = new Map<number, number>();
	const storedAtMs = new Map<number, number>();
	const untilMs = simulation.clock.nowMs() + forMs;
	while (simulation.clock.nowMs() < untilMs) {
		await simulation.run(stepMs);
		for (const end of [...simulation.fleet.workers.values()].flatMap(worker => worker.listedEnds)) {
			listedAtMs.set(Number(end.taskKey.split('.').at(-1)), end.listedAtMs!);
		}

		for (const index of storedDone().filter(stored => !storedAtMs.has(stored))) {
			storedAtMs.set(index, simulation.clock.nowMs());
		}
	}

	return [...listedAtMs].filter(([, atMs]) => atMs < untilMs - 1000).map(([index, atMs]) => (storedAtMs.get(index) ?? Number.POSITIVE_INFINITY) - atMs);
};

/** Starts the job, whose tasks end after the given time, with rounds and calls to the store that take so long. */
const startJob = async ({roundMs, latencyMs, runMs}: {readonly roundMs: number; readonly latencyMs: number; readonly runMs: (index: number) => number}): Promise<void> => {
	vi.spyOn(HolderPacing.prototype, 'roundIntervalMs', 'get').mockReturnValue(roundMs);
	simulation.fleet.behaviour.runMs = taskKey => runMs(Number(taskKey.split('.').at(-1)));
	await simulation.run(takeoverMs);
	void simulation.submit({...job, acceptedWallMs: simulation.clock.wallTimeMs()}, simulation.holder);
	await simulation.run(500);
	expect(simulation.fleet.starts).toHaveLength(480);
	for (const {table} of simulation.processes) {
		table.latencyMs = latencyMs;
	}
};

test.each([25, 60].flatMap(roundMs => [4, 40, 120].map(latencyMs => ({roundMs, latencyMs}))))('with many workers, an end is stored within an interval between saves and one save after it is listed: rounds of $roundMs ms, calls of $latencyMs ms', async ({roundMs, latencyMs}) => {
	await startJob({roundMs, latencyMs, runMs: index => 1000 + (7 * index)});
	const times = await storingTimes(4000);
	expect(times.length).toBeGreaterThan(300);
	expect(Math.max(...times)).toBeLessThanOrEqual(Math.max(saveIntervalMs, latencyMs) + (latencyMs / 2) + answerMs + resolutionMs);
});

test.each([25, 60])('an end that comes alone is stored at once: rounds of %i ms', async roundMs => {
	await startJob({roundMs, latencyMs: 4, runMs: index => 1000 + (203 * index)});
	const times = await storingTimes(8000);
	expect(times.length).toBeGreaterThan(20);
	expect(Math.max(...times)).toBeLessThanOrEqual(4 + answerMs + resolutionMs);
});
