/**
Finds the tasks that workers report on, and tells which of them cannot be known yet.

A process reads jobs from its copy of the stored rows, which may be behind the workers' reports: a holder that was replaced on suspicion goes on for a while and starts jobs that its successor has not read, and its clock may call an occurrence due that is not due by the successor's. Such a report says nothing about what the successor knows, so nothing is concluded from it until the copy is known to hold all jobs that could have been started before the report.
*/
import {occurrenceCount} from './jobs.js';
import {type Task} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

const taskKeyPattern = /^(?<jobId>[^.]+)\.(?<occurrence>\d+)\.(?<step>\d+)\.(?<index>\d+)$/v;

/** What a task's key tells. */
export type TaskPlace = {
	readonly jobId: string;
	readonly occurrence: number;
	readonly stepIndex: number;
	readonly index: number;
};

/** Returns `undefined` if it is not the key of a task. */
export const parseTaskKey = (taskKey: string): TaskPlace | undefined => {
	const groups = taskKeyPattern.exec(taskKey)?.groups;
	return groups === undefined
		? undefined
		: {
			jobId: groups.jobId!, occurrence: Number(groups.occurrence), stepIndex: Number(groups.step), index: Number(groups.index),
		};
};

/** Finds the task with the given key. */
export const findTask = (state: SchedulerState, taskKey: string): Task | undefined => {
	const place = parseTaskKey(taskKey);
	const job = place === undefined ? undefined : state.jobs.get(place.jobId);
	return job?.occurrences.get(place!.occurrence)?.[place!.stepIndex]?.tasks[place!.index];
};

/** Returns true if the task that a worker reported on may be known later: its job may not have been read yet, or its occurrence is not due by this process's clock. */
export const isUnresolved = (state: SchedulerState, {taskKey, reportedAtMs}: {readonly taskKey: string; readonly reportedAtMs: number}): boolean => {
	const place = parseTaskKey(taskKey);
	if (place === undefined) {
		return false;
	}

	const job = state.jobs.get(place.jobId);
	if (job === undefined) {
		return (state.jobRowsConfirmedAtMs ?? Number.NEGATIVE_INFINITY) < reportedAtMs;
	}

	const {occurrence} = place;
	return job.outcome === undefined && occurrence < occurrenceCount(job.spec) && !job.occurrences.has(occurrence);
};
