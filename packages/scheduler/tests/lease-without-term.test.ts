/**
A lease whose holder schedules nothing keeps every other process from scheduling. Guards against accepted jobs that are never finished although all processes are up (LOST).
*/
import {expect, test} from 'vitest';
import {jobOf} from './support/jobs.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

test('a holder whose term has ended while its lease goes on releases the lease, and jobs are finished', async () => {
	const simulation = new SchedulerSimulation({
		seed: 11, processes: 3, workersPerPool: 4, standbyMachines: 0,
	});
	await simulation.run(takeoverMs);
	const {fencingToken} = simulation.holder!.scheduler.state.term!;
	// A token that the store has not given out, as a lost order of a lease that was never confirmed may carry.
	for (const worker of simulation.fleet.workers.values()) {
		worker.poll({
			fencingToken: fencingToken + 1, acknowledgedSequence: 0, deadlineClockMs: undefined, waitMs: 0,
		});
	}

	await simulation.run(1000);
	const job = jobOf(1);
	void simulation.submit(job);
	await simulation.run(8000);
	expect(simulation.fleet.isDone(`${job.jobId}.0.1.0`)).toBe(true);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});
