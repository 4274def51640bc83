/**
Finds the tasks that workers report on, and tells which of them cannot be known yet.

A process reads jobs from its copy of the stored rows, which may be behind the workers' reports: a holder that was replaced on suspicion goes on for a while and starts jobs that its successor has not read, and its clock may call an occurrence due that is not due by the successor's. Such a report says nothing about what the successor knows, so nothing is concluded from it until the copy is known to hold all jobs that could have been started before the report.
*/
import {occurrenceCount} from './jobs.js';
import {type Task} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

const taskKeyPattern = /^(?<jobId>[^.]+)\.(?<occurrence>\d+)\.(?<step>\d+)\.(?<index>\d+)$/v;

/** Finds the task with the given key. */
export const findTask = (state: SchedulerState, taskKey: string): Task | undefined => {
	const groups = taskKeyPattern.exec(taskKey)?.groups;
	const job = groups === undefined ? undefined : state.jobs.get(groups.jobId!);
	return job?.occurrences.get(Number(groups!.occurrence))?.[Number(groups!.step)]?.tasks[Number(groups!.index)];
};

/** Returns true if the task that a worker reported on may be known later: its job may not have been read yet, or its occurrence is not due by this process's clock. */
export const isUnresolved = (state: SchedulerState, {taskKey, reportedAtMs}: {readonly taskKey: string; readonly reportedAtMs: number}): boolean => {
	const groups = taskKeyPattern.exec(taskKey)?.groups;
	if (groups === undefined) {
		return false;
	}

	const job = state.jobs.get(groups.jobId!);
	if (job === undefined) {
		return (state.jobRowsConfirmedAtMs ?? Number.NEGATIVE_INFINITY) < reportedAtMs;
	}

	const occurrence = Number(groups.occurrence);
	return job.outcome === undefined && occurrence < occurrenceCount(job.spec) && !job.occurrences.has(occurrence);
};
