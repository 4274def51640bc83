/**
Placement advice: for some queues, an external policy service decides which workers may run a step. The service is slow and takes longer for more workers, so each request covers a limited number of workers, those with the most free capacity first, and requests are sent only while tasks of the step wait for capacity.

An answer is valid for one incarnation of a worker. The ticket in it expires and is then requested again. A ticket is valid for every task of the step.
*/
import {type SchedulerEvent} from './events.js';
import {type StepInstance, type WorkerAdvice, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Maximum number of workers in one request: more would take longer than a job's objective allows. */
const maxWorkersPerRequest = 30;

/** Maximum number of requests in flight. The service handles the requests of each process one after the other. */
const maxConcurrentRequests = 2;

/** Delay before a request is repeated after the service did not answer. */
const adviceRetryMs = 300;

/** A ticket is not used within this time before its expiry, so that it is still valid when the start order arrives at the worker. */
const ticketExpiryMarginMs = 300;

const needsAdvice = (state: SchedulerState, step: StepInstance): boolean => state.queueOf(step.job)?.needsAdvice === true;

const adviceFor = (step: StepInstance, worker: WorkerRecord): WorkerAdvice | undefined => {
	const advice = step.advice.get(worker.entry.workerId);
	return advice?.incarnation === worker.incarnation ? advice : undefined;
};

/** Returns the ticket for a start on the worker: empty where the queue needs no advice, `undefined` where the worker may not run the step or no valid ticket is known. */
export const ticketFor = (state: SchedulerState, step: StepInstance, worker: WorkerRecord, nowMs: number): string | undefined => {
	if (!needsAdvice(state, step)) {
		return '';
	}

	const advice = adviceFor(step, worker);
	return advice !== undefined && nowMs < advice.validUntilMs - ticketExpiryMarginMs ? advice.ticket : undefined;
};

/** Returns true if no advice on the worker is known or its ticket has expired. */
const needsAdviceRequest = (step: StepInstance, worker: WorkerRecord, nowMs: number): boolean => {
	const advice = adviceFor(step, worker);
	return advice === undefined || (advice.ticket !== undefined && nowMs >= advice.validUntilMs - ticketExpiryMarginMs);
};

/** Requests advice on workers of the pool when tasks of the step found no free capacity on the workers already allowed. */
export const requestAdvice = (state: SchedulerState, step: StepInstance, workers: readonly WorkerRecord[], nowMs: number): void => {
	if (!needsAdvice(state, step) || step.adviceRequestedAtMs !== undefined || nowMs < step.nextAdviceRequestAtMs || state.pendingAdviceRequests.size >= maxConcurrentRequests) {
		return;
	}

	// Workers already known to be allowed come first, since only their tickets have to be renewed.
	const requested = workers.filter(worker => needsAdviceRequest(step, worker, nowMs))
		.toSorted((a, b) => Number(step.advice.has(b.entry.workerId)) - Number(step.advice.has(a.entry.workerId)) || state.room(b).cpuMillicores - state.room(a).cpuMillicores)
		.slice(0, maxWorkersPerRequest)
		.map(({entry: {workerId}, incarnation}) => ({workerId, incarnation}));
	if (requested.length > 0) {
		step.adviceRequestedAtMs = nowMs;
		const requestNumber = ++state.adviceRequestCount;
		state.pendingAdviceRequests.add(requestNumber);
		state.emit({
			type: 'requestAdvice', requestNumber, jobId: step.job.spec.jobId, occurrence: step.occurrence, stepIndex: step.stepIndex, workers: requested,
		});
	}
};

type AdviceAnsweredEvent = Extract<SchedulerEvent, {readonly type: 'adviceAnswered'}>;

export const applyAdvice = (state: SchedulerState, event: AdviceAnsweredEvent): void => {
	state.pendingAdviceRequests.delete(event.requestNumber);
	const step = state.jobs.get(event.jobId)?.occurrences.get(event.occurrence)?.[event.stepIndex];
	if (step === undefined) {
		return;
	}

	step.adviceRequestedAtMs = undefined;
	if (event.answer.type === 'unanswered') {
		step.nextAdviceRequestAtMs = event.nowMs + adviceRetryMs;
		return;
	}

	for (const {workerId, incarnation} of event.workers) {
		step.advice.set(workerId, {
			incarnation, ticket: event.answer.tickets.get(workerId), validUntilMs: event.sentAtMs + event.answer.validMs,
		});
	}
};

/** Discards a ticket that the worker rejected, so that a new one is requested. */
export const discardTicket = (step: StepInstance, workerId: string): void => {
	step.advice.delete(workerId);
};
