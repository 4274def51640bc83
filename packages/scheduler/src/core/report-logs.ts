/**
Log lines on ends in workers' reports that this process applies to no task. If their workers leave before another process reads them, the tasks are started again.
*/
import {maxLoggedRuns} from '../constants.js';
import {type FinishedEntry} from '../types.js';
import {type SchedulerEvent} from './events.js';
import {type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

type PolledEvent = Extract<SchedulerEvent, {readonly type: 'polled'}>;

/** Returns the ends `done` above the sequence number as log fields; empty if there are none. */
export const doneFields = ({answer}: PolledEvent, aboveSequence: number): {readonly done?: number; readonly tasks?: string} => {
	const done = answer.type === 'report' ? answer.report.finished.filter(({sequence, end}) => end === 'done' && sequence > aboveSequence) : [];
	return done.length === 0 ? {} : {done: done.length, tasks: done.slice(0, maxLoggedRuns).map(({taskKey, attempt}) => `${taskKey}#${attempt}`).join(',')};
};

/** Logs ends that are new to this process and that it leaves to the next holder. */
export const logLeftEnds = (state: SchedulerState, event: PolledEvent): void => {
	const fields = doneFields(event, state.workers.get(event.workerId)?.processedSequence ?? 0);
	if (fields.done !== undefined) {
		state.emit({
			type: 'log', fields: {
				event: 'ends_left_to_next_holder', workerId: event.workerId, fencingToken: event.fencingToken, ...fields,
			},
		});
	}
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
