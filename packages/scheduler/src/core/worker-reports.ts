/**
Processes status reports and order answers of workers: which runs are active, which have ended, and whether the worker is still the same incarnation.
*/
import {assertNever} from '@poplarnotch/common';
import {
	failureWindowMs, leaseMarginMs, maxEndsPerReport, quarantineFailures, quarantineMs,
} from '../constants.js';
import {type OrderAnswer, type StartAnswer} from '../ports.js';
import {type FinishedEntry, type RunningEntry, type WorkerReport} from '../types.js';
import {giveUpIfExhausted, recordSurvival, settleTrial} from './crash-attribution.js';
import {isSupersededStart} from './order-tokens.js';
import {discardTicket} from './placement-advice.js';
import {findTask, isUnresolved} from './unresolved-tasks.js';
import {type SchedulerEvent} from './events.js';
import {
	failTask, finishTask, type CurrentTime, isStopOverdue, orderStop,
} from './jobs.js';
import {keepEndsOfDropped} from './recorded-ends.js';
import {
	type ReportedEnd, type StepInstance, type TaskRun, type Task, type WorkerRecord,
} from './records.js';
import {countFoundEnd, logLostRuns, logUnknownEnd} from './report-logs.js';
import {noResources} from './resources.js';
import {resourcesOccupiedBy, type SchedulerState} from './scheduler-state.js';
import {isStartedAfterEnd, logStartedAfterEnd} from './takeover.js';
import {stepDown} from './terms.js';
import {
	endEarlierLeases, leaseExpiryAfter, recordEarlierLeases, recordLeasesOfEarlierHolders,
} from './unheard-runs.js';
import {
	beginIncarnation, loseEarlierRuns, loseRuns, settleRestart,
} from './workers.js';

type PolledEvent = Extract<SchedulerEvent, {readonly type: 'polled'}>;

export const applyPollAnswer = (state: SchedulerState, event: PolledEvent): void => {
	const worker = state.workers.get(event.workerId);
	if (worker === undefined || state.term === undefined) {
		keepEndsOfDropped(state, event);
		return;
	}

	const {answer} = event;
	switch (answer.type) {
		case 'report': {
			applyReport(state, worker, answer.report, event);
			break;
		}

		case 'fenced': {
			stepDown(state, `worker ${event.workerId} has seen a higher token`, event.nowMs);
			break;
		}

		case 'wrong-worker': {
			// The address belonged to another worker by then, so the runs that were ordered before are gone.
			loseRuns(state, worker, event.nowMs, {reason: 'worker-replaced', lost: [...worker.runs.values()].filter(({orderedAtMs}) => orderedAtMs <= event.sentAtMs)});
			worker.silentSinceMs ??= event.nowMs;
			worker.isFenced ||= !worker.isListed;
			break;
		}

		case 'unreachable': {
			loseEarlierRuns(state, worker, event.nowMs);
			if (worker.silentSinceMs === undefined) {
				worker.silentSinceMs = event.sentAtMs;
				worker.silenceNoticedAtMs = event.nowMs;
				state.emit({
					type: 'log', fields: {
						event: 'worker_silent', workerId: event.workerId, runs: worker.runs.size, lastAnswerAgeMs: Math.round(event.nowMs - worker.lastAnswerAtMs),
					},
				});
			}

			break;
		}

		default: {
			assertNever(answer);
		}
	}
};

const applyReport = (state: SchedulerState, worker: WorkerRecord, report: WorkerReport, event: PolledEvent): void => {
	if (report.bornWallMs !== undefined && worker.bornWallMs !== undefined && report.bornWallMs > worker.bornWallMs) {
		beginIncarnation(state, worker, report.bornWallMs, event.nowMs);
	}

	worker.bornWallMs ??= report.bornWallMs;
	const silentMs = worker.silentSinceMs === undefined ? undefined : Math.round(event.nowMs - worker.silentSinceMs);
	const lastAnswerAgeMs = Math.round(event.nowMs - worker.lastAnswerAtMs);
	if (silentMs !== undefined) {
		state.emit({type: 'log', fields: {event: 'worker_answers', workerId: event.workerId, silentMs}});
	}

	// A report on a poll to an earlier incarnation tells what runs, but not what may still arrive.
	const isFromPresent = event.incarnation === worker.incarnation;
	if (!isFromPresent) {
		recordEarlierLeases(state, worker, event.nowMs);
	} else if (!worker.isFenced) {
		endEarlierLeases(state, worker, {sentLeaseExpiresAtMs: leaseExpiryAfter(event.nowMs), nowMs: event.nowMs});
	}

	if (!worker.isFenced && report.running.length > 0) {
		// The earlier holder may have extended the leases until its orders were over or the worker knew the present token.
		recordLeasesOfEarlierHolders(state, worker, event);
	}

	if (worker.restart !== undefined) {
		worker.restart.hasReported = true;
	}

	worker.mayLackEnds = report.finished.length >= maxEndsPerReport;
	worker.isFenced ||= isFromPresent && !worker.mayLackEnds;
	worker.silentSinceMs = undefined;
	if (worker.unreachedAtMs !== undefined && event.sentAtMs > worker.unreachedAtMs) {
		worker.unreachedAtMs = undefined;
	}

	worker.lastAnswerAtMs = event.nowMs;
	worker.lastReportSentAtMs = event.sentAtMs;
	worker.clock = {clockMs: report.clockMs, readAtMs: event.nowMs};
	if (isFromPresent) {
		worker.sentAcknowledgement = Math.max(worker.sentAcknowledgement, event.sentAcknowledgement);
	} else if (event.sentAcknowledgement > 0) {
		// The number was meant for an earlier incarnation; the present one has forgotten its own ends up to it, if it had any.
		state.emit({type: 'log', level: 'warn', fields: {event: 'acknowledged_other_incarnation', workerId: event.workerId, sequence: event.sentAcknowledgement}});
	}

	if (!isFromPresent && event.sentDeadlineClockMs !== undefined) {
		state.emit({
			type: 'log', level: 'warn', fields: {
				event: 'lease_sent_to_other_incarnation', workerId: event.workerId, deadlineClockMs: event.sentDeadlineClockMs, clockMs: report.clockMs, leaseLeftMs: Math.round(worker.leaseExpiresAtMs - event.nowMs),
			},
		});
	}

	applyListedEnds(state, worker, report.finished, event);
	logLostRuns(state, worker, report.running.filter(({taskKey, attempt}) => attempt > (worker.runs.get(taskKey)?.attempt ?? 0)), {nowMs: event.nowMs, silentMs, lastAnswerAgeMs});
	const listed = new Set<string>();
	for (const entry of report.running) {
		listed.add(entry.taskKey);
		applyRunningEntry(state, worker, entry, event);
	}

	if (isFromPresent && !worker.mayLackEnds) {
		settleRestart(state, worker, listed, event);
		removeVanishedRuns(state, worker, listed, event);
		resolveUnlistedStarts(state, worker, listed, event);
	}

	worker.expiredRuns = [];
};

/** Applies the ends that the worker lists for the first time. */
const applyListedEnds = (state: SchedulerState, worker: WorkerRecord, finished: readonly FinishedEntry[], now: CurrentTime): void => {
	const {entry: {workerId}} = worker;
	const ended: FinishedEntry[] = [];
	const startedAfterEnd: Array<{readonly task: Task; readonly attempt: number}> = [];
	for (const entry of finished.toSorted((a, b) => a.sequence - b.sequence)) {
		if (entry.sequence > worker.processedSequence) {
			worker.processedSequence = entry.sequence;
			countFoundEnd(state, entry);
			const task = applyReportedEnd(state, worker, {entry, reportedAtMs: now.nowMs}, now);
			ended.push(entry);
			if (isStartedAfterEnd(task, entry)) {
				startedAfterEnd.push({task, attempt: entry.attempt});
			}
		}
	}

	logEnds(state, workerId, ended);
	logStartedAfterEnd(state, workerId, startedAfterEnd);
};

type LateReportEvent = Extract<SchedulerEvent, {readonly type: 'reportedLate'}>;

/** Applies the ends of a report that came after another one had answered its poll. The worker may leave before it lists them again. */
export const applyLateReport = (state: SchedulerState, event: LateReportEvent): void => {
	const worker = state.workers.get(event.workerId);
	if (worker?.incarnation === event.incarnation && worker.isFenced && worker.bornWallMs === event.report.bornWallMs) {
		applyListedEnds(state, worker, event.report.finished, event);
	} else {
		keepEndsOfDropped(state, event);
	}
};

/** Decides on unanswered starts that the worker does not list. They may still arrive, unless they are too late by now or the worker refuses them for their token. */
const resolveUnlistedStarts = (state: SchedulerState, worker: WorkerRecord, listed: ReadonlySet<string>, event: PolledEvent): void => {
	for (const run of worker.runs.values()) {
		if (listed.has(run.taskKey)) {
			continue;
		}

		if (isSupersededStart(run)) {
			removeUnstartedRun(state, run, event.nowMs, 'start_superseded');
		} else if (run.phase !== 'unconfirmed') {
			continue;
		} else if (isStartTooLate(run)) {
			removeUnstartedRun(state, run, event.nowMs, 'start_expired');
		} else if (run.unansweredAtMs! <= event.sentAtMs) {
			preventLateStart(state, run, event);
		}
	}
};

/** Returns true if the start cannot take effect any more: the worker, which refuses a start after its deadline, has made its last report after that by the same clock. No order has to be answered for that. The deadline is a time on the clock of the incarnation that the start was ordered from. */
const isStartTooLate = ({worker, startDeadlineClockMs}: TaskRun): boolean =>
	startDeadlineClockMs !== undefined && worker.clock!.clockMs - leaseMarginMs >= startDeadlineClockMs;

const removeUnstartedRun = (state: SchedulerState, run: TaskRun, nowMs: number, event: 'start_expired' | 'start_superseded'): void => {
	state.emit({
		type: 'log', fields: {
			event, taskKey: run.taskKey, attempt: run.attempt, workerId: run.worker.entry.workerId, ageMs: Math.round(nowMs - run.orderedAtMs),
		},
	});
	settleTrial(state, run.task, run.attempt);
	state.removeRun(run, nowMs);
	giveUpIfExhausted(state, run);
};

/** Orders a stop, and again while that is not answered: once the worker has accepted it, it refuses the start if that arrives later. The limit on a step's unavailable tasks does not apply, since by this report the task is not there. */
const preventLateStart = (state: SchedulerState, run: TaskRun, {sentAtMs, nowMs}: PolledEvent): void => {
	if (run.stopOrderedAtMs === undefined) {
		orderStop(state, run, nowMs, 'start-unanswered');
	} else if (run.stopOrderedAtMs <= sentAtMs && isStopOverdue(run, nowMs)) {
		orderStop(state, run, nowMs, 'repeated');
	}
};

const applyRunningEntry = (state: SchedulerState, worker: WorkerRecord, entry: RunningEntry, {nowMs, sentAtMs}: PolledEvent): void => {
	const known = worker.runs.get(entry.taskKey);
	if (known?.attempt !== entry.attempt) {
		if (entry.attempt > (known?.attempt ?? 0)) {
			adoptRun(state, worker, {entry, reportedAtMs: nowMs}, nowMs);
		}

		return;
	}

	known.mayArrive = false;
	known.listedIncarnation = worker.incarnation;
	known.checkpoint = entry.checkpoint;
	known.figure = entry.figure;
	if (known.percent !== entry.percent) {
		known.percent = entry.percent;
		known.percentChangedAtMs = nowMs;
	}

	if (known.phase === 'starting' || known.phase === 'unconfirmed') {
		confirmRun(state, known, nowMs);
	}

	recordSurvival(state, known, sentAtMs);
};

/** Confirms a run that the worker lists although its start order was not answered. A stop that was to prevent the start is not repeated: the run is that of its task, and may serve. */
const confirmRun = (state: SchedulerState, run: TaskRun, nowMs: number): void => {
	const isUnwanted = run.task?.step.job.outcome !== undefined;
	run.phase = isUnwanted ? 'stopping' : 'running';
	run.stopOrderedAtMs = undefined;
	run.startedAtMs ??= nowMs;
	run.percentChangedAtMs = nowMs;
	markJobBegun(state, run);
	if (isUnwanted) {
		orderStop(state, run, nowMs, 'not-wanted');
	}
};

/** A run that a worker listed, and when the report arrived. */
type ReportedRun = {
	readonly entry: RunningEntry;
	readonly reportedAtMs: number;
};

/** Adopts a run that an earlier lease holder started: it is kept if its task still waits, or cannot be known yet, and stopped otherwise. */
const adoptRun = (state: SchedulerState, worker: WorkerRecord, {entry, reportedAtMs}: ReportedRun, nowMs: number): void => {
	const task = findTask(state, entry.taskKey);
	const isWanted = task?.phase === 'waiting' && task.step.job.outcome === undefined;
	if (task !== undefined && entry.attempt > state.term!.attemptBase) {
		// Attempts of this term are known when they are ordered, so this one was taken for ended.
		state.emit({
			type: 'log', level: 'warn', fields: {
				event: 'run_listed_again', taskKey: entry.taskKey, attempt: entry.attempt, workerId: worker.entry.workerId, lastAttempt: task.lastAttempt, taskPhase: task.phase, presentWorkerId: task.run?.worker.entry.workerId,
			},
		});
	}

	const run: TaskRun = {
		taskKey: entry.taskKey,
		attempt: entry.attempt,
		worker,
		incarnation: worker.incarnation,
		customer: task?.step.job.spec.customer ?? '',
		// The resource use of an unknown run is not known, so the worker counts as full until the run has ended.
		occupiedResources: task === undefined ? worker.entry.capacity : resourcesOccupiedBy(task.step),
		limitUsage: task?.step.spec.needs ?? noResources,
		task: isWanted ? task : undefined,
		phase: 'running',
		orderedAtMs: reportedAtMs,
		startDeadlineClockMs: undefined,
		mayArrive: false,
		startedAtMs: reportedAtMs,
		listedIncarnation: worker.incarnation,
		isConfirmed: true,
		isTrial: false,
		isAdopted: true,
		lastListedAtMs: nowMs,
		isProven: false,
		unansweredAtMs: undefined,
		stopOrderedAtMs: undefined,
		checkpoint: entry.checkpoint,
		percent: entry.percent,
		percentChangedAtMs: nowMs,
		figure: entry.figure,
		pacePercent: undefined,
		paceOrderedAtMs: undefined,
	};
	const replaced = worker.runs.get(entry.taskKey);
	if (replaced !== undefined) {
		state.removeRun(replaced, nowMs);
	}

	state.addRun(run);
	if (isWanted) {
		markJobBegun(state, run);
	} else if (task === undefined && isUnresolved(state, {taskKey: entry.taskKey, reportedAtMs})) {
		state.unresolvedRuns.add(run);
	} else {
		orderStop(state, run, nowMs, 'not-wanted');
	}
};

/** Adopts or stops runs, and applies ends, that were reported before their jobs were read. Called before tasks are started, since the job of such a run has tasks that seem to wait. */
export const resolveReports = (state: SchedulerState, now: CurrentTime): void => {
	for (const run of state.unresolvedRuns) {
		if (run.worker.runs.get(run.taskKey) !== run) {
			state.unresolvedRuns.delete(run);
		} else if (!isUnresolved(state, {taskKey: run.taskKey, reportedAtMs: run.orderedAtMs})) {
			state.unresolvedRuns.delete(run);
			logLostRuns(state, run.worker, [run], now);
			adoptRun(state, run.worker, {entry: run, reportedAtMs: run.orderedAtMs}, now.nowMs);
		}
	}

	resolveEndsOfEarlierIncarnations(state, now);
	for (const worker of state.workers.values()) {
		const reported = worker.unresolvedEnds;
		if (reported.length === 0) {
			continue;
		}

		worker.unresolvedEnds = [];
		for (const end of reported) {
			applyReportedEnd(state, worker, end, now);
		}
	}
};

/** Applies ends that no worker lists any more, so they are not acknowledged to any. */
const resolveEndsOfEarlierIncarnations = (state: SchedulerState, now: CurrentTime): void => {
	const reported = state.endsOfEarlierIncarnations;
	state.endsOfEarlierIncarnations = reported.filter(({entry: {taskKey}, reportedAtMs}) => findTask(state, taskKey) === undefined && isUnresolved(state, {taskKey, reportedAtMs}));
	for (const {worker, entry, isListedAgain} of reported) {
		const task = findTask(state, entry.taskKey);
		if (task !== undefined && task.step.job.outcome === undefined) {
			applyTaskEnd(state, task, {worker, entry, countsAgainstWorker: isListedAgain !== true}, now);
		}
	}
};

/** Applies an end and returns its task, or keeps it until its task can be known. It is not acknowledged before that: the worker would forget it, and the task would be started again once its job is read. */
const applyReportedEnd = (state: SchedulerState, worker: WorkerRecord, end: ReportedEnd, now: CurrentTime): Task | undefined => {
	const {entry: {taskKey, attempt}, reportedAtMs} = end;
	const task = findTask(state, taskKey);
	if (task === undefined && isUnresolved(state, {taskKey, reportedAtMs})) {
		worker.unresolvedEnds.push(end);
		const run = worker.runs.get(taskKey);
		if (run?.attempt === attempt) {
			run.mayArrive = false;
			state.removeRun(run, now.nowMs);
		}
	} else {
		applyFinishedEntry(state, worker, {...end, task}, now);
	}

	return task;
};

const applyFinishedEntry = (state: SchedulerState, worker: WorkerRecord, {entry, reportedAtMs, task}: ReportedEnd & {readonly task: Task | undefined}, now: CurrentTime): void => {
	const run = worker.runs.get(entry.taskKey);
	if (run?.attempt === entry.attempt) {
		run.mayArrive = false;
		run.checkpoint = entry.checkpoint;
		if (entry.end === 'done') {
			measureRun(run, now.nowMs);
		}

		state.removeRun(run, now.nowMs);
	}

	settleTrial(state, task, entry.attempt);
	if (task === undefined) {
		logUnknownEnd(state, worker, entry);
	} else {
		worker.unacknowledgedEnds.push({sequence: entry.sequence, job: task.step.job, reportedAtMs});
	}

	if (task !== undefined && task.step.job.outcome === undefined) {
		applyTaskEnd(state, task, {worker, entry, countsAgainstWorker: true}, now);
	}
};

/** Records how long a finished run took. Left out are runs whose duration says nothing about the announced one: adopted ones, those that resumed from a checkpoint, and filling tasks, which are throttled. */
const measureRun = ({task, isAdopted, startedAtMs, orderedAtMs}: TaskRun, nowMs: number): void => {
	if (task === undefined || isAdopted || task.phase === 'done' || task.checkpoint !== '' || task.step.spec.isFilling) {
		return;
	}

	task.step.measuredCount++;
	task.step.longestRunMs = Math.max(task.step.longestRunMs, nowMs - (startedAtMs ?? orderedAtMs));
};

/** Passes the duration of a finished step to the duration model, if all its runs were measured. When one member of a gang ends, all its members are done. */
const recordStepDuration = (state: SchedulerState, {job, spec, tasks, doneCount, measuredCount, longestRunMs}: StepInstance, nowMs: number): void => {
	if (doneCount === tasks.length && measuredCount >= (spec.isGang ? 1 : tasks.length)) {
		state.durations.record({
			queue: job.spec.queue, image: spec.image, estimateMs: spec.estimateMs, durationMs: longestRunMs,
		}, nowMs);
	}
};

type TaskEnd = {
	readonly worker: WorkerRecord;
	readonly entry: FinishedEntry;
	/** False if the worker is expected to list the end again. */
	readonly countsAgainstWorker: boolean;
};

const applyTaskEnd = (state: SchedulerState, task: Task, {worker, entry, countsAgainstWorker}: TaskEnd, now: CurrentTime): void => {
	switch (entry.end) {
		case 'done': {
			if (!task.step.spec.isLasting) {
				const isNew = task.phase !== 'done';
				finishTask(state, task, now);
				if (isNew) {
					recordStepDuration(state, task.step, now.nowMs);
				}
			}

			break;
		}

		case 'failed': {
			task.avoidedWorkerId = worker.entry.workerId;
			if (countsAgainstWorker) {
				recordWorkerFailure(state, worker, now.nowMs);
			}

			failTask(state, task, entry.attempt, now);
			break;
		}

		case 'stopped':
		case 'lapsed':
		case 'broken':
		case 'alone': {
			break;
		}

		default: {
			assertNever(entry.end);
		}
	}
};

/** Logs the ends of a report: those that are done together, and each of the others in a line of its own. */
const logEnds = (state: SchedulerState, workerId: string, ended: readonly FinishedEntry[]): void => {
	const done = ended.filter(({end}) => end === 'done');
	if (done.length > 0) {
		state.emit({type: 'logDone', workerId, done});
	}

	for (const {taskKey, attempt, end} of ended) {
		if (end !== 'done') {
			state.emit({
				type: 'log', fields: {
					event: 'run_ended', taskKey, attempt, end, workerId,
				},
			});
		}
	}
};

/** Records a failed run. A worker with `quarantineFailures` failures within `failureWindowMs` is quarantined. */
const recordWorkerFailure = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	const recent = worker.recentFailuresMs.filter(atMs => nowMs - atMs < failureWindowMs);
	recent.push(nowMs);
	worker.recentFailuresMs.splice(0, worker.recentFailuresMs.length, ...recent);
	if (recent.length >= quarantineFailures && nowMs >= worker.quarantinedUntilMs) {
		worker.quarantinedUntilMs = nowMs + quarantineMs;
		state.emit({
			type: 'log', fields: {
				event: 'worker_quarantined', workerId: worker.entry.workerId, failures: recent.length, forMs: quarantineMs,
			},
		});
	}
};

/** Removes runs that the worker no longer lists: it has discarded them, so they have ended. */
const removeVanishedRuns = (state: SchedulerState, worker: WorkerRecord, listed: ReadonlySet<string>, event: PolledEvent): void => {
	for (const run of worker.runs.values()) {
		const wasListed = run.phase !== 'unconfirmed' && run.startedAtMs !== undefined && run.startedAtMs < event.sentAtMs;
		if (wasListed && !listed.has(run.taskKey)) {
			state.emit({
				type: 'log', fields: {
					event: 'run_vanished', taskKey: run.taskKey, attempt: run.attempt, workerId: event.workerId,
				},
			});
			state.removeRun(run, event.nowMs);
		}
	}
};

const findRun = (state: SchedulerState, event: {readonly workerId: string; readonly taskKey: string; readonly attempt: number}): TaskRun | undefined => {
	const run = state.workers.get(event.workerId)?.runs.get(event.taskKey);
	return run?.attempt === event.attempt ? run : undefined;
};

type OrderAnsweredEvent<Answer> = CurrentTime & {readonly workerId: string; readonly taskKey: string; readonly attempt: number; readonly answer: Answer};

export const applyStartAnswer = (state: SchedulerState, event: OrderAnsweredEvent<StartAnswer> & {readonly isWithdrawn?: boolean}): void => {
	if (event.answer === 'fenced') {
		stepDown(state, `worker ${event.workerId} has seen a higher token`, event.nowMs);
	}

	const run = findRun(state, event);
	// A run whose job ended in the meantime is stopping already, and its start is still unanswered.
	const isStopping = run?.phase === 'stopping' && run.startedAtMs === undefined;
	if (run === undefined || (run.phase !== 'starting' && !isStopping)) {
		return;
	}

	switch (event.answer) {
		case 'started': {
			run.mayArrive = false;
			run.startedAtMs = event.nowMs;
			run.isConfirmed = true;
			run.phase = isStopping ? 'stopping' : 'running';
			run.percentChangedAtMs = event.nowMs;
			markJobBegun(state, run);
			break;
		}

		case 'unknown': {
			// The worker may have carried out the order, or may still do so; the next poll shows which.
			run.phase = 'unconfirmed';
			run.unansweredAtMs = event.nowMs;
			break;
		}

		case 'fenced':
		case 'not-sent':
		case 'outdated-attempt':
		case 'too-late':
		case 'no-room':
		case 'no-ticket':
		case 'refused':
		case 'wrong-worker': {
			run.mayArrive = false;
			settleTrial(state, run.task, run.attempt);
			state.removeRun(run, event.nowMs);
			if (event.answer === 'no-ticket' && run.task !== undefined) {
				discardTicket(run.task.step, event.workerId);
			}

			if (event.answer === 'not-sent' && !event.isWithdrawn) {
				run.worker.unreachedAtMs = event.nowMs;
			}

			if (event.answer === 'refused') {
				recordWorkerFailure(state, run.worker, event.nowMs);
			}

			break;
		}

		default: {
			assertNever(event.answer);
		}
	}
};

const markJobBegun = (state: SchedulerState, run: TaskRun): void => {
	const job = run.task?.step.job;
	if (job !== undefined && !job.hasBegun) {
		job.hasBegun = true;
		state.dirtyJobs.add(job);
	}
};

export const applyStopAnswer = (state: SchedulerState, event: OrderAnsweredEvent<OrderAnswer>): void => {
	if (event.answer === 'fenced') {
		stepDown(state, `worker ${event.workerId} has seen a higher token`, event.nowMs);
		return;
	}

	const run = findRun(state, event);
	if (run === undefined) {
		return;
	}

	if (event.answer === 'accepted' && run.phase === 'unconfirmed') {
		// After it has accepted the stop, the worker refuses the start if that arrives later. Whether the start came first shows in the next poll.
		run.phase = 'stopping';
		run.startedAtMs = event.nowMs;
	} else if (event.answer === 'wrong-worker') {
		state.removeRun(run, event.nowMs);
	}
};

