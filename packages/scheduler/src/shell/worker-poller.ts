/**
Polls the workers. Each poll extends the lease of the runs on the worker unless the term is suspended, returns a status report, and acknowledges run ends, which the worker may then discard. A busy worker is polled continuously, with a pause that depends on the load of this process, an idle one rarely.
*/
import {type Clock} from '@poplarnotch/common';
import {
	busyPollWaitMs, idlePollIntervalMs, pollPauseMs, pollRepeatMs, pollRetryMs, urgentPollWaitMs,
} from '../constants.js';
import {type SchedulerEvent} from '../core/events.js';
import {orderTokenFor} from '../core/order-tokens.js';
import {type WorkerRecord} from '../core/records.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {recordLeaseSent} from '../core/unheard-runs.js';
import {deadlineClockMs} from '../core/workers.js';
import {
	type PollAnswer, type PollOrder, type WorkerAddress, type WorkerControl,
} from '../ports.js';
import {type WorkerReport} from '../types.js';

export type WorkerPollerOptions = {
	readonly control: WorkerControl;
	readonly clock: Clock;
	readonly state: () => SchedulerState;
	readonly dispatch: (event: SchedulerEvent) => void;
	/** Pause between two polls of a worker whose run ends can wait. */
	readonly pauseMs: () => number;
};

type PollState = {
	/** Incarnation of the worker. A poll of an earlier one may be in flight for long, and its answer may be outdated. */
	readonly incarnation: number;
	isPolling: boolean;
	/** How long the worker may wait before it answers the poll in flight. */
	waitMs: number;
	nextPollAtMs: number;
};

/** A worker's answer, and the acknowledgement of the poll that it answers. */
type PolledWorker = {
	readonly answer: PollAnswer;
	readonly sentAcknowledgement: number;
};

type PollHandlers = {
	/** Tells whether the worker's incarnation is still the one that is polled, by a term that goes on polling. */
	readonly isPresent: () => boolean;
	/** Called with a report with ends that comes after the first one. */
	readonly onLateReport: (report: WorkerReport) => void;
};

/** Returns the acknowledgement to send, 0 for none. A worker that has not answered may have started again: its ends are numbered anew then, and it would forget ends that nobody has seen. */
const dueAcknowledgement = ({silentSinceMs, restart, acknowledgedSequence, sentAcknowledgement}: WorkerRecord): number =>
	silentSinceMs === undefined && restart?.hasReported !== false && acknowledgedSequence > sentAcknowledgement ? acknowledgedSequence : 0;

const needsPoll = (worker: WorkerRecord): boolean =>
	!worker.isFenced || worker.runs.size > 0 || worker.acknowledgedSequence > worker.sentAcknowledgement || worker.silentSinceMs !== undefined || worker.unreachedAtMs !== undefined;

/** Returns true if each report of the worker is needed early: a trial keeps it from starting other tasks, and a draining worker is about to be gone. */
const isUrgent = (worker: WorkerRecord): boolean => worker.trial !== undefined || worker.entry.isDraining || worker.isReserved;

export class WorkerPoller {
	readonly #options: WorkerPollerOptions;
	readonly #pollStates = new Map<string, PollState>();
	#pollCount = 0;

	constructor(options: WorkerPollerOptions) {
		this.#options = options;
	}

	/** Number of polls sent since the process started. */
	get pollCount(): number {
		return this.#pollCount;
	}

	/** Whether a worker that answers may take longer than an urgent poll does to answer the one in flight. */
	get awaitsLongPolls(): boolean {
		return this.#somePoll(({waitMs}) => waitMs > urgentPollWaitMs);
	}

	/** Whether a poll of a worker that answers is in flight. What it lists may be known to nobody else: the worker may leave before another process polls it. */
	get awaitsReports(): boolean {
		return this.#somePoll(() => true);
	}

	/** Starts the polls that are due. `checkedAtMs` is when the lease of this process was checked: leases on workers count from then, even if the process was paused since. */
	pollDueWorkers(checkedAtMs: number): void {
		const state = this.#options.state();
		if (state.term === undefined || state.isPollingEnded || state.isHandingOver) {
			return;
		}

		const nowMs = this.#options.clock.nowMs();
		for (const worker of state.workers.values()) {
			const pollState = this.#pollStateOf(worker);
			const dueMs = needsPoll(worker) ? pollState.nextPollAtMs : Math.max(pollState.nextPollAtMs, worker.lastAnswerAtMs + idlePollIntervalMs);
			const mayHaveRuns = !worker.isEnded && (worker.isListed || nowMs < worker.leaseExpiresAtMs || worker.runs.size > 0 || !worker.isFenced);
			if (!pollState.isPolling && mayHaveRuns && nowMs >= dueMs) {
				void this.#poll(worker, pollState, {fencingToken: state.term.fencingToken, checkedAtMs});
			}
		}

		for (const workerId of this.#pollStates.keys()) {
			if (!state.workers.has(workerId)) {
				this.#pollStates.delete(workerId);
			}
		}
	}

	#somePoll(holds: (pollState: PollState) => boolean): boolean {
		return [...this.#options.state().workers.values()].some(({entry, silentSinceMs}) => {
			const pollState = this.#pollStates.get(entry.workerId);
			return silentSinceMs === undefined && pollState?.isPolling === true && holds(pollState);
		});
	}

	#pollStateOf({entry: {workerId}, incarnation}: WorkerRecord): PollState {
		let pollState = this.#pollStates.get(workerId);
		if (pollState?.incarnation !== incarnation) {
			pollState = {
				incarnation, isPolling: false, waitMs: 0, nextPollAtMs: 0,
			};
			this.#pollStates.set(workerId, pollState);
		}

		return pollState;
	}

	async #poll(worker: WorkerRecord, pollState: PollState, {fencingToken, checkedAtMs}: {readonly fencingToken: number; readonly checkedAtMs: number}): Promise<void> {
		const {clock, dispatch} = this.#options;
		const {workerId, address} = worker.entry;
		pollState.isPolling = true;
		this.#pollCount++;
		const sentAtMs = clock.nowMs();
		const acknowledgedSequence = dueAcknowledgement(worker);
		// The lease of a silent worker is not extended, so that its runs are guaranteed to end. Neither is any lease while another process may hold the scheduler's: it counts the leases on workers that it does not reach as over after a time.
		const mayExtend = worker.runs.size > 0 && worker.silentSinceMs === undefined && !this.#options.state().isSuspended;
		const deadline = mayExtend ? deadlineClockMs(worker, checkedAtMs) : undefined;
		if (deadline !== undefined) {
			recordLeaseSent(worker, checkedAtMs);
		}

		// Only a worker that has answered before waits for a run to end; the first poll and idle workers' acknowledgements are answered at once.
		const isAnswerUrgent = worker.trial !== undefined || worker.entry.isDraining || this.#options.state().isReleasePlanned;
		const busyWaitMs = isAnswerUrgent ? urgentPollWaitMs : busyPollWaitMs;
		const waitMs = worker.isFenced && worker.runs.size > 0 && worker.silentSinceMs === undefined ? busyWaitMs : 0;
		pollState.waitMs = waitMs;
		const order = {
			fencingToken: orderTokenFor(this.#options.state(), worker), acknowledgedSequence, deadlineClockMs: deadline, waitMs,
		};
		const isPresent = (): boolean => {
			const {term, isPollingEnded} = this.#options.state();
			return worker.incarnation === pollState.incarnation && term?.fencingToken === fencingToken && !isPollingEnded;
		};

		const {answer, sentAcknowledgement} = await this.#pollTwice({workerId, address}, order, {
			isPresent, onLateReport(report) {
				dispatch({
					type: 'reportedLate', fencingToken, workerId, incarnation: pollState.incarnation, report, nowMs: clock.nowMs(), wallMs: clock.wallTimeMs(),
				});
			},
		});
		const nowMs = clock.nowMs();
		pollState.isPolling = false;
		const pauseMs = isUrgent(worker) ? pollPauseMs : this.#options.pauseMs();
		pollState.nextPollAtMs = nowMs + (answer.type === 'report' ? pauseMs : pollRetryMs);
		dispatch({
			type: 'polled', fencingToken, workerId, incarnation: pollState.incarnation, answer, sentAtMs, sentAcknowledgement, sentDeadlineClockMs: deadline, nowMs, wallMs: clock.wallTimeMs(),
		});
	}

	/** Sends the poll once more if its answer is late, and returns the first report, with the acknowledgement of the poll that it answers. Of a report that comes after it, only the ends are used, since the worker may have made it earlier. The second poll acknowledges nothing, since the worker may have started again; if it is known to have, there is no second one. */
	async #pollTwice(worker: WorkerAddress, order: PollOrder, {isPresent, onLateReport}: PollHandlers): Promise<PolledWorker> {
		const {control, clock, pauseMs} = this.#options;
		// While this process is short of processor time, it reads answers late.
		const repeatMs = pollRepeatMs * pauseMs() / pollPauseMs;
		return new Promise(resolve => {
			let pendingCount = 0;
			let isReported = false;
			const send = async (changes: Partial<PollOrder> = {}): Promise<void> => {
				pendingCount++;
				const sent = {...order, ...changes};
				const answer = await control.poll(worker, sent);
				pendingCount--;
				if (isReported && answer.type === 'report' && answer.report.finished.length > 0) {
					onLateReport(answer.report);
				}

				isReported ||= answer.type === 'report';
				if (answer.type !== 'unreachable' || pendingCount === 0) {
					cancelRepeat();
					resolve({answer, sentAcknowledgement: sent.acknowledgedSequence});
				}
			};

			const cancelRepeat = clock.schedule(order.waitMs + repeatMs, () => {
				if (isPresent()) {
					this.#pollCount++;
					void send({waitMs: 0, acknowledgedSequence: 0});
				}
			});
			void send();
		});
	}
}
