/**
Drops events that do not belong to the present: the answer to a call may arrive after the term in which it was sent has ended and another one of the same process has begun, after the worker that it was sent to has started again, or after another order for the same machine. What such an answer says was true of what it belongs to only. See `docs/design/event-identity.md` for the identity of each event.
*/
import {type WorkerEntry, type WorkerReport} from '../types.js';
import {type SchedulerEvent} from './events.js';
import {type WorkerRecord} from './records.js';
import {doneFields} from './report-logs.js';
import {type SchedulerState} from './scheduler-state.js';

type OutdatedEvent = {
	readonly reason: string;
	/** What the event belongs to, and what is present instead. */
	readonly fields: Readonly<Record<string, string | number | undefined>>;
};

type IncarnationEvent = Extract<SchedulerEvent, {readonly incarnation?: number}>;

/** Returns the report that the event carries, if any. */
const reportOf = (event: IncarnationEvent): WorkerReport | undefined => {
	if (event.type === 'reportedLate') {
		return event.report;
	}

	return event.type === 'polled' && event.answer.type === 'report' ? event.answer.report : undefined;
};

/** Compares the incarnation that a call was sent to, or that a report names, with the worker's present one. A call to an earlier incarnation may be refused for the token of the present one. */
const findOutdatedCall = (state: SchedulerState, event: IncarnationEvent): OutdatedEvent | undefined => {
	const worker = state.workers.get(event.workerId);
	const report = reportOf(event);
	if (worker === undefined) {
		return undefined;
	}

	const reportedBornWallMs = report?.bornWallMs;
	if (reportedBornWallMs !== undefined && worker.bornWallMs !== undefined) {
		if (reportedBornWallMs < worker.bornWallMs) {
			return {reason: 'earlier-incarnation', fields: {bornWallMs: reportedBornWallMs, presentBornWallMs: worker.bornWallMs}};
		}
	} else if (event.incarnation !== worker.incarnation) {
		return {reason: 'earlier-incarnation', fields: {incarnation: event.incarnation, presentIncarnation: worker.incarnation}};
	}

	return event.type === 'polled' && event.sentAtMs <= worker.lastReportSentAtMs
		? {reason: 'earlier-poll', fields: {sentAtMs: event.sentAtMs, presentSentAtMs: worker.lastReportSentAtMs}}
		: undefined;
};

/** Returns why the event does not belong to the present, or `undefined` if it does. */
const findOutdated = (state: SchedulerState, event: SchedulerEvent): OutdatedEvent | undefined => {
	if (event.type === 'leaseWon') {
		const presentToken = state.term?.fencingToken ?? 0;
		return event.fencingToken < presentToken ? {reason: 'earlier-term', fields: {fencingToken: event.fencingToken, presentToken}} : undefined;
	}

	if ('fencingToken' in event && event.fencingToken !== state.term?.fencingToken) {
		return {reason: 'other-term', fields: {fencingToken: event.fencingToken, presentToken: state.term?.fencingToken}};
	}

	if (event.type === 'startAnswered') {
		// Any other answer tells about the run, whichever incarnation gave it.
		return event.answer === 'fenced' && event.incarnation !== undefined ? findOutdatedCall(state, event) : undefined;
	}

	if ('incarnation' in event) {
		return findOutdatedCall(state, event);
	}

	if (event.type === 'machineAnswered' && event.answer !== 'fenced') {
		const presentOrder = state.machines.get(event.machineId)?.order?.orderNumber;
		return event.orderNumber === presentOrder ? undefined : {reason: 'other-order', fields: {orderNumber: event.orderNumber, presentOrder}};
	}

	if (event.type === 'adviceAnswered' && !state.pendingAdviceRequests.has(event.requestNumber)) {
		return {reason: 'answered-before', fields: {requestNumber: event.requestNumber}};
	}

	if (event.type === 'machinesListed' && event.sentAtMs < (state.machinesListedAtMs ?? event.sentAtMs)) {
		return {reason: 'earlier-list', fields: {sentAtMs: event.sentAtMs, presentSentAtMs: state.machinesListedAtMs}};
	}

	return undefined;
};

/** Logs and counts what was dropped. */
const recordOutdated = (state: SchedulerState, {reason, fields}: OutdatedEvent, about: OutdatedEvent['fields']): void => {
	state.emit({type: 'count', name: 'scheduler_outdated_events_total'});
	state.emit({
		type: 'log', fields: {
			event: 'event_outdated', reason, ...about, ...fields,
		},
	});
};

/** Returns true, and logs the event, if it is not to be applied because it does not belong to the present. */
export const dropOutdatedEvent = (state: SchedulerState, event: SchedulerEvent): boolean => {
	const outdated = findOutdated(state, event);
	if (outdated !== undefined) {
		recordOutdated(state, outdated, {
			type: event.type,
			workerId: 'workerId' in event ? event.workerId : undefined,
			taskKey: 'taskKey' in event ? event.taskKey : undefined,
			machineId: 'machineId' in event ? event.machineId : undefined,
			...(event.type === 'polled' && event.answer.type === 'report' ? doneFields(event.answer.report) : {}),
		});
	}

	return outdated !== undefined;
};

/** Returns true if the registration is of an earlier incarnation than the present one, which has reported itself already. It is logged once. */
export const dropOutdatedEntry = (state: SchedulerState, worker: WorkerRecord, entry: WorkerEntry): boolean => {
	const isOutdated = entry.bornWallMs !== undefined && worker.bornWallMs !== undefined && entry.bornWallMs < worker.bornWallMs;
	if (isOutdated && worker.outdatedEntry !== entry) {
		worker.outdatedEntry = entry;
		recordOutdated(state, {reason: 'earlier-incarnation', fields: {bornWallMs: entry.bornWallMs, presentBornWallMs: worker.bornWallMs}}, {type: 'workersListed', workerId: entry.workerId});
	}

	return isOutdated;
};
