/**
Log lines on what workers' reports hold against what this process knows: ends that it applies to no task, which are started again if their workers leave before another process reads them, and runs that had been taken for ended.
*/
import {maxLoggedRuns} from '../constants.js';
import {type FinishedEntry, type RunningEntry, type WorkerReport} from '../types.js';
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

/** When runs were listed, and what was known of their worker before that report. */
export type Listing = {
	readonly nowMs: number;
	readonly silentMs?: number | undefined;
	readonly lastAnswerAgeMs?: number | undefined;
};

/** Logs the runs, which this process takes up only now, whose tasks have been started again elsewhere. Where the later run goes on, the task runs twice; one that is done has run twice, if the listed run is not that of an earlier report. The end of one member of a gang says nothing of the others. */
export const logLostRuns = (state: SchedulerState, worker: WorkerRecord, entries: ReadonlyArray<Pick<RunningEntry, 'taskKey' | 'attempt'>>, {nowMs, silentMs, lastAnswerAgeMs}: Listing): void => {
	let count = 0;
	for (const {taskKey, attempt} of entries) {
		const task = findTask(state, taskKey);
		const present = task?.phase === 'placed' ? task.run : undefined;
		const isElsewhere = present !== undefined && present.worker !== worker;
		const isDone = task?.phase === 'done' && !task.step.spec.isGang && attempt !== task.lastAttempt;
		if (task === undefined || !(isElsewhere || isDone) || ++count > maxLoggedRuns) {
			continue;
		}

		state.emit({
			type: 'log', level: 'warn', fields: {
				event: 'lost_run_listed', taskKey, attempt, workerId: worker.entry.workerId, taskPhase: task.phase, lastAttempt: task.lastAttempt, presentAttempt: present?.attempt, presentWorkerId: present?.worker.entry.workerId, presentPhase: present?.phase, overlapMs: present === undefined ? undefined : Math.round(nowMs - (present.startedAtMs ?? present.orderedAtMs)), isPresentAdopted: present?.isAdopted, isPastLease: worker.expiredRuns.some(run => run.taskKey === taskKey && run.attempt === attempt), silentMs, lastAnswerAgeMs, incarnation: worker.incarnation, restartedAgoMs: worker.restartedAtMs === undefined ? undefined : Math.round(nowMs - worker.restartedAtMs), isSettled: state.isSettled, fencingToken: state.term?.fencingToken,
			},
		});
	}
};
