/**
Workers that leave with ends that a holder has read, at the end of its term. Guards against tasks that the next holder starts again because their ends were known to the former one and to workers that have left, and to no store (TWICE).
*/
import {afterEach, expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const workerCount = 16;
const tasksPerWorker = 8;
const taskCount = workerCount * tasksPerWorker;

/** Workers that leave; the others have room for what is started again. */
const leaverIds = Array.from({length: 12}, (_value, index) => `w-${index}`);

/** A task ends about every 10 ms, on one worker after the other. */
const shortestRunMs = 2000;
const endIntervalMs = 10;

/** Time for an answer that a worker has given to be read, at the simulation's resolution. */
const readMs = 10;

/** Time that the platform gives a process to stop. */
const graceMs = 2500;

let simulation: SchedulerSimulation;

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

type Start = {readonly latencyMs?: number; readonly phaseMs?: number};

/** Starts tasks on all workers, of which most drain from then on, and returns the holder once the first tasks have ended. */
const startDraining = async ({latencyMs = 4, phaseMs = 0}: Start = {}) => {
	simulation = new SchedulerSimulation({
		seed: 58, processes: 5, workersPerPool: workerCount, standbyMachines: 0, successors: 4,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.arePollsAnsweredAtEnds = true;
	simulation.fleet.behaviour.runMs = taskKey => shortestRunMs + (endIntervalMs * Number(taskKey.split('.').at(-1)));
	await simulation.run(takeoverMs + phaseMs);
	void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount})]}), simulation.holder);
	await simulation.run(300);
	expect(simulation.fleet.starts).toHaveLength(taskCount);
	for (const workerId of leaverIds) {
		simulation.announceDrain(workerId);
	}

	for (const {table} of simulation.processes) {
		table.latencyMs = latencyMs;
	}

	await simulation.run(2100);
	return simulation.holder!;
};

/** What became of the tasks on workers that have left, by the ends that these had listed. */
type Departed = {
	/** A process has read the end. */
	readonly read: readonly string[];
	/** Nobody has been told of an end. */
	readonly lost: readonly string[];
};

/** Ends the leavers. Ends that were listed later than `recentMs` ago count neither as read nor as lost. */
const letWorkersLeave = (recentMs = readMs): Departed => {
	const departed = leaverIds.map(workerId => simulation.fleet.workers.get(workerId)!);
	const lost = departed.flatMap(({runs, unlistedEnds}) => [...runs.keys(), ...unlistedEnds.map(({taskKey}) => taskKey)]);
	const listed = departed.flatMap(({listedEnds}) => listedEnds);
	const recent = new Set(listed.filter(({listedAtMs}) => listedAtMs! > simulation.clock.nowMs() - recentMs).map(({taskKey}) => taskKey));
	const started = simulation.fleet.starts.filter(({workerId}) => leaverIds.includes(workerId)).map(({taskKey}) => taskKey);
	for (const workerId of leaverIds) {
		simulation.removeWorker(workerId);
	}

	return {read: started.filter(taskKey => !lost.includes(taskKey) && !recent.has(taskKey)), lost};
};

/** The ends that the leavers list at present. */
const listedByLeavers = () => leaverIds.flatMap(workerId => simulation.fleet.workers.get(workerId)!.listedEnds).filter(({end}) => end === 'done');

/** The tasks that were started more than once. */
const startedAgain = (): readonly string[] => {
	const keys = simulation.fleet.starts.map(({taskKey}) => taskKey);
	return keys.filter((key, index) => keys.indexOf(key) !== index);
};

/** The next holder goes on: it starts again what was lost with the leavers, and none of the tasks whose ends were read, and it starts what is new. */
const expectNotStartedAgain = async ({read, lost}: Departed, former: string): Promise<void> => {
	const newJob = jobOf(2, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf()]});
	void simulation.submit(newJob, simulation.processes.find(process => process.name !== former));
	await simulation.run(9000);
	expect(simulation.holder).toBeDefined();
	expect(simulation.holder!.name).not.toBe(former);
	expect(read.length).toBeGreaterThan(0);
	expect(startedAgain().filter(taskKey => read.includes(taskKey))).toEqual([]);
	expect(lost.filter(taskKey => !startedAgain().includes(taskKey))).toEqual([]);
	expect(newJob.steps.flatMap(({taskCount}) => Array.from({length: taskCount}, (_value, index) => simulation.fleet.isDone(`${newJob.jobId}.0.0.${index}`)))).not.toContain(false);
};

/** With the duration of a call to the store, and when the stop or the job comes in relation to the holder's rounds. */
const stops = [...[0, 5, 10, 15, 20].map(phaseMs => ({latencyMs: 4, phaseMs})), ...[40, 120, 240].map(latencyMs => ({latencyMs, phaseMs: 0}))];
const yields = [4, 40, 120, 240].flatMap(latencyMs => [0, 25, 60, 90].map(phaseMs => ({latencyMs, phaseMs})));

test.each(stops)('ends that a holder has read are stored before it stops: calls of $latencyMs ms, after $phaseMs ms', async ({latencyMs, phaseMs}) => {
	const former = await startDraining({latencyMs});
	await simulation.run(phaseMs);
	simulation.stop(former, graceMs);
	await expectNotStartedAgain(letWorkersLeave(), former.name);
	expect(startedAgain().length).toBeGreaterThan(0);
});

test.each(stops)('ends that a worker lists to a holder that is about to stop are stored: calls of $latencyMs ms, after $phaseMs ms', async ({latencyMs, phaseMs}) => {
	const former = await startDraining({latencyMs});
	await simulation.run(phaseMs);
	simulation.stop(former, graceMs);
	// Polls that were under way are answered after the signal.
	await simulation.run(60);
	const listedBefore = listedByLeavers().map(({taskKey}) => taskKey);
	await simulation.run(110);
	letWorkersLeave();
	await simulation.run(9000);
	expect(listedBefore.length).toBeGreaterThan(0);
	expect(startedAgain().filter(taskKey => listedBefore.includes(taskKey))).toEqual([]);
});

test.each(yields)('ends that a holder has read are stored before it yields to a larger process: calls of $latencyMs ms, $phaseMs ms', async start => {
	const former = await startDraining(start);
	for (const {name} of simulation.processes.filter(process => process !== former)) {
		simulation.cpuMillicores.set(name, 1350);
	}

	while (simulation.holder === former) {
		await simulation.run(5);
	}

	await expectNotStartedAgain(letWorkersLeave(), former.name);
	expect(startedAgain().length).toBeGreaterThan(0);
});

test('a suspended holder stores the ends that it reads while its fence is valid', async () => {
	const former = await startDraining();
	former.clock.freeze(450, 'process');
	former.table.areReadsRefused = true;
	await simulation.run(450 + 600);
	expect(simulation.holder).toBeUndefined();
	expect(former.scheduler.state.term).toBeDefined();
	simulation.kill(former);
	// What was listed in the last 0.2 s need not be stored yet.
	await expectNotStartedAgain(letWorkersLeave(200), former.name);
});

test('a suspended holder that is told to stop stores the ends that it has read', async () => {
	const former = await startDraining();
	former.clock.freeze(450, 'process');
	former.table.areReadsRefused = true;
	await simulation.run(450 + 100);
	expect(simulation.holder).toBeUndefined();
	expect(former.scheduler.state.term).toBeDefined();
	simulation.stop(former, graceMs);
	await expectNotStartedAgain(letWorkersLeave(), former.name);
});

/** Longest time for which a stop may wait for the store and the workers: a good part of the time that a process has is left for its callers. */
const maxLeaveMs = 1000;

test.each([
	['a store that is away', (holder: SchedulerSimulation['processes'][number]) => {
		holder.table.isDown = true;
	}],
	['a store that does not answer', (holder: SchedulerSimulation['processes'][number]) => {
		holder.table.isSilent = true;
	}],
	['workers that do not answer', () => {
		for (const workerId of leaverIds) {
			simulation.fleet.workers.get(workerId)!.isCut = true;
		}
	}],
])('the term of a holder that is told to stop ends soon in spite of %s', async (_name, disturb) => {
	const former = await startDraining();
	disturb(former);
	simulation.stop(former, graceMs);
	await simulation.run(maxLeaveMs);
	expect(former.scheduler.state.term).toBeUndefined();
	await simulation.run(3000);
	expect(simulation.holder).toBeDefined();
});

test('a holder whose saves take long yields in the end, and no task is started twice', async () => {
	const former = await startDraining();
	for (const {name} of simulation.processes.filter(process => process !== former)) {
		simulation.cpuMillicores.set(name, 1350);
	}

	former.table.latencyMs = 900;
	await simulation.run(2500);
	former.table.latencyMs = 4;
	await simulation.run(6000);
	expect(simulation.holder).toBeDefined();
	expect(simulation.holder!.name).not.toBe(former.name);
	expect(startedAgain()).toEqual([]);
});
