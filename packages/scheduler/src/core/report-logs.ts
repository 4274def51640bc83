/**
Log lines on ends in workers' reports that this process applies to no task. If their workers leave before another process reads them, the tasks are started again.
*/
import {maxLoggedRuns} from '../constants.js';
import {type FinishedEntry, type WorkerReport} from '../types.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {findTask, parseTaskKey} from './unresolved-tasks.js';

/** Returns the ends `done` of a report as log fields; empty if there are none. */
export const doneFields = ({finished}: WorkerReport): {readonly done?: number; readonly tasks?: string} => {
	const done = finished.filter(({end}) => end === 'done');
	return done.length === 0 ? {} : {done: done.length, tasks: done.slice(0, maxLoggedRuns).map(({taskKey, attempt}) => `${taskKey}#${attempt}`).join(',')};
};

/** Returns the key itself if it is not that of a task. */
const jobIdOf = (taskKey: string): string => parseTaskKey(taskKey)?.jobId ?? taskKey;

/** Logs an end without a task, which is acknowledged with the next ones of its worker, unless its job has ended. */
export const logUnknownEnd = (state: SchedulerState, worker: WorkerRecord, {taskKey, attempt, end, sequence}: FinishedEntry): void => {
	const job = state.jobs.get(jobIdOf(taskKey));
	if (job?.outcome === undefined) {
		state.emit({
			type: 'log', fields: {
				event: 'end_of_unknown_task', taskKey, attempt, end, workerId: worker.entry.workerId, sequence, isJobKnown: job !== undefined,
			},
		});
	}
};

/** Counts an end `done` that is reported to this process first before the takeover is settled, by whether the copy holds it: one that it does not hold is known only to its worker and this process. */
export const countFoundEnd = (state: SchedulerState, {taskKey, end}: FinishedEntry): void => {
	if (state.isSettled || end !== 'done') {
		return;
	}

	if (findTask(state, taskKey)?.phase === 'done') {
		state.foundEnds.stored++;
	} else {
		state.foundEnds.unstored++;
		state.foundEnds.unstoredJobIds.add(jobIdOf(taskKey));
	}
};

/** Returns the ends that were found during the takeover as log fields. */
export const foundEndsFields = ({foundEnds: {stored, unstored, unstoredJobIds}}: SchedulerState) => ({
	storedEnds: stored, unstoredEnds: unstored, unstoredJobs: unstored === 0 ? undefined : [...unstoredJobIds].slice(0, maxLoggedRuns).join(','),
});
