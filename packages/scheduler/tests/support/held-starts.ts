/**
A start that is under way for long, as tests of takeovers need it.
*/
import {jobOf, stepOf} from './jobs.js';
import {type SchedulerSimulation, type SentCall} from './scheduler-simulation.js';

/** Submits a task that runs for the given time, holds its first start back, and returns the worker that it was sent to. */
export const holdStart = async (simulation: SchedulerSimulation, {lateMs, runMs}: {readonly lateMs: number; readonly runMs: number}): Promise<string> => {
	simulation.fleet.behaviour.runMs = () => runMs;
	void simulation.submit(jobOf(1, {steps: [stepOf({taskCount: 1})]}));
	const held: SentCall[] = [];
	simulation.lateMsOf = call => {
		if (held.length > 0 || call.type !== 'start') {
			return undefined;
		}

		held.push(call);
		return lateMs;
	};

	while (held.length === 0) {
		await simulation.run(5);
	}

	return held[0]!.workerId;
};
