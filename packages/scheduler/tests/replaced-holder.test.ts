/**
A holder that is replaced on suspicion while it reaches workers that the next holder does not, as after a cut between data centres. No task may run on such a worker and elsewhere at once.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

/** Longer than any test, so that a run ends only with its lease. */
const runMs = 60_000;

let simulation: SchedulerSimulation;
let jobCount = 0;

beforeEach(async () => {
	jobCount = 0;
	simulation = new SchedulerSimulation({
		seed: 31, processes: 5, workersPerPool: 8, standbyMachines: 0, successors: 4,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.fleet.behaviour.runMs = () => runMs;
	for (const worker of simulation.fleet.workers.values()) {
		worker.clockRate = 0.98;
	}

	await simulation.run(takeoverMs);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const submitJob = (): void => {
	jobCount++;
	const submitter = simulation.processes.find(process => process !== simulation.holder && !process.table.isDown);
	void simulation.submit(jobOf(jobCount, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1})]}), submitter);
};

/** Starts tasks, which fill one worker after the other, then cuts the holder and two workers off from the other processes and workers. */
const cutHolderOff = async ({phaseMs, isStoreCut, tasks}: {readonly phaseMs: number; readonly isStoreCut: boolean; readonly tasks: number}) => {
	for (let count = 0; count < tasks; count++) {
		submitJob();
	}

	await simulation.run(1000 + phaseMs);
	const former = simulation.holder!;
	const isolated = new Set([...simulation.fleet.workers.keys()].slice(0, 2));
	simulation.datagrams.isLost = (from, to) => from === former.name || to === former.name;
	simulation.peers.setCut(former.name, true);
	simulation.isOrderLost = (name, workerId) => (name === former.name) !== isolated.has(workerId);
	former.table.isDown = isStoreCut;
	return former;
};

const newestToken = (): number => Math.max(...simulation.processes.map(({scheduler}) => scheduler.state.term?.fencingToken ?? 0));

const phasesMs = [0, 125, 250, 375, 500, 625, 750, 875];

// Guards against a holder that extends leases on workers after the next holder counts them as over, when suspended or before.
test.each(phasesMs.flatMap(phaseMs => [true, false].map(isStoreCut => ({phaseMs, isStoreCut}))))('a task of a holder that was replaced is started again only once its lease on the worker is over: $phaseMs, $isStoreCut', async cut => {
	const former = await cutHolderOff({...cut, tasks: 24});
	const {fencingToken} = former.scheduler.state.term!;
	await simulation.run(20_000);
	expect(newestToken()).toBeGreaterThan(fencingToken);
	// The tasks of the two workers are started elsewhere in the end.
	const keys = simulation.fleet.starts.map(({taskKey}) => taskKey);
	expect(keys.length).toBeGreaterThan(new Set(keys).size);
});

// Guards against a job that both holders start, since it was new to the second one while the first still trusted its lease.
test.each(phasesMs)('a job that is accepted while the replaced holder may still start it is not started twice: %i', async phaseMs => {
	await cutHolderOff({phaseMs, isStoreCut: false, tasks: 2});
	for (let count = 0; count < 60; count++) {
		submitJob();
		await simulation.run(50);
	}

	await simulation.run(19_000);
	expect(simulation.fleet.starts.length).toBeGreaterThan(40);
});

// Guards against a third holder that knows of the released lease of the second one only.
test.each(phasesMs)('a task of a replaced holder is not started twice if the next holder releases the lease at once: %i', async phaseMs => {
	const former = await cutHolderOff({phaseMs, isStoreCut: true, tasks: 24});
	const findNext = () => simulation.processes.find(process => process !== former && process.scheduler.state.term !== undefined);
	while (findNext() === undefined) {
		await simulation.run(5);
	}

	await simulation.run(50);
	void findNext()!.scheduler.leave();
	await simulation.run(20_000);
	const keys = simulation.fleet.starts.map(({taskKey}) => taskKey);
	expect(keys.length).toBeGreaterThan(new Set(keys).size);
});
