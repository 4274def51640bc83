/**
The end of a series of disturbances: the jobs that were accepted finish.
*/
import {type SchedulerSimulation} from './scheduler-simulation.js';

/** Time for the jobs to finish. A store that cuts its answers after each row is caught up with slowly. */
const maxQuiescenceMs = 120_000;
const quiescenceStepMs = 4000;

/** Runs until the jobs are completed, and returns those that are not after a long time. */
export const finishJobs = async (simulation: SchedulerSimulation, jobIds: readonly string[]): Promise<readonly string[]> => {
	const unfinished = (): readonly string[] => jobIds.filter(jobId => simulation.holder?.scheduler.state.jobs.get(jobId)?.outcome !== 'completed');
	for (let passedMs = 0; passedMs < maxQuiescenceMs && (passedMs === 0 || unfinished().length > 0); passedMs += quiescenceStepMs) {
		await simulation.run(quiescenceStepMs);
	}

	return unfinished();
};
