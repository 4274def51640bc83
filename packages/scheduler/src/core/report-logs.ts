/**
Log lines on ends in workers' reports that this process applies to no task. If their workers leave before another process reads them, the tasks are started again.
*/
import {maxLoggedRuns} from '../constants.js';
import {type FinishedEntry} from '../types.js';
import {type SchedulerEvent} from './events.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {findTask} from './unresolved-tasks.js';

type PolledEvent = Extract<SchedulerEvent, {readonly type: 'polled'}>;

/** Returns the ends `done` above the sequence number as log fields; empty if there are none. */
export const doneFields = ({answer}: PolledEvent, aboveSequence: number): {readonly done?: number; readonly tasks?: string} => {
	const done = answer.type === 'report' ? answer.report.finished.filter(({sequence, end}) => end === 'done' && sequence > aboveSequence) : [];
	return done.length === 0 ? {} : {done: done.length, tasks: done.slice(0, maxLoggedRuns).map(({taskKey, attempt}) => `${taskKey}#${attempt}`).join(',')};
};

/** Logs an end without a task, which is acknowledged with the next ones of its worker, unless its job has ended. */
export const logUnknownEnd = (state: SchedulerState, worker: WorkerRecord, {taskKey, attempt, end, sequence}: FinishedEntry): void => {
	const job = state.jobs.get(taskKey.split('.')[0]!);
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
		state.foundEnds.unstoredJobIds.add(taskKey.split('.')[0]!);
	}
};

/** Returns the ends that were found during the takeover as log fields. */
export const foundEndsFields = ({foundEnds: {stored, unstored, unstoredJobIds}}: SchedulerState) => ({
	storedEnds: stored, unstoredEnds: unstored, unstoredJobs: unstored === 0 ? undefined : [...unstoredJobIds].slice(0, maxLoggedRuns).join(','),
});
