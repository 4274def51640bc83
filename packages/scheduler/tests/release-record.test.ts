/**
The line that tells how the release of a lease was prepared, by which a hand-over with ends that no store holds is told from others.
*/
import {afterEach, expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const workerCount = 4;
const graceMs = 2500;

let simulation: SchedulerSimulation;

afterEach(() => {
	simulation.close();
});

/** Runs a job on all workers. */
const begin = async (): Promise<void> => {
	simulation = new SchedulerSimulation({
		seed: 61, processes: 3, workersPerPool: workerCount, standbyMachines: 0,
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.fleet.behaviour.runMs = () => 600;
	await simulation.run(takeoverMs);
	void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 2 * workerCount})]}), simulation.holder);
	await simulation.run(300);
};

const prepared = () => simulation.termLines.filter(({event}) => event === 'release_prepared');

test('a release with everything stored is logged with the time of each part', async () => {
	await begin();
	simulation.stop(simulation.holder!, graceMs);
	await simulation.run(1000);
	expect(prepared()).toMatchObject([{
		areMachinesDone: true, areReportsHeard: true, isStored: true, hasTermEnded: false,
	}]);
});

test('a release with progress that is not stored in time is logged as such', async () => {
	await begin();
	const holder = simulation.holder!;
	holder.table.latencyMs = 4000;
	await simulation.run(600);
	simulation.stop(holder, graceMs);
	await simulation.run(3000);
	const [record] = prepared();
	expect(record).toMatchObject({isStored: false});
	expect(record!.storingMs).toBeGreaterThanOrEqual(350);
});
