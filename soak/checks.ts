/**
The checks: each judges one of the users' rules by what clients and workers have seen. A check that had nothing to judge counts neither as passed nor as failed.
*/
import {type Deployment} from './deployment.js';
import {type LastingSteps, type Span} from './lasting-steps.js';
import {
	isLasting, isListedLong, isNoted, type Job, keptUntilMs, type Look, notedAfterListingMs, occurrencesOf, parseTask, type Run,
} from './ledger.js';
import {bounds, maxAttempts, workerCapacity} from './settings.js';
import {type Troubles} from './troubles.js';

/** All that a run has shown. */
export type Evidence = {
	readonly deployment: Deployment;
	readonly troubles: Troubles;
	readonly lastingSteps: LastingSteps;
	/** The answers for all jobs that were accepted and not cancelled, asked for `finish_s` after the traffic and the troubles. */
	readonly lastLooks: readonly Look[];
	/** When the run was over, by the steady clock. */
	readonly endedAtMs: number;
	/** Difference between the Unix time and the steady clock. */
	readonly wallOffsetMs: number;
};

/** The result of a check: how many cases it judged, and what broke the rule. */
export type Verdict = {
	readonly judged: number;
	readonly what: string;
	readonly broken: readonly string[];
};

type Check = (evidence: Evidence) => Verdict;

/** Time after which an answer about an ended job is no longer owed. */
const statusMs = bounds.status_s * 1000;

const describeAcknowledgement = ({deployment: {record}}: Evidence, {notedAtMs, listedAtMs, lapsedAtMs, lostAtMs, lostBy}: Run): string => [
	listedAtMs === undefined ? 'not listed' : `listed at ${record.secondsAt(listedAtMs)}`,
	notedAtMs === undefined ? 'not acknowledged' : `acknowledged at ${record.secondsAt(notedAtMs)}`,
	...(lapsedAtMs === undefined ? [] : [`lease lapsed at ${record.secondsAt(lapsedAtMs)}`]),
	...(lostAtMs === undefined ? [] : [`worker ${lostBy} at ${record.secondsAt(lostAtMs)}`]),
].join(', ');

const describeRun = (evidence: Evidence, run: Run): string => {
	const {deployment} = evidence;
	const {task, attempt, worker, fence, startedAtMs, isLate, endedAtMs, how} = run;
	return [
		`${task}#${attempt} on ${worker} by ${deployment.daemonOfFence(fence)?.name} (fencing token ${fence}), ${isLate ? 'late, ' : ''}from ${deployment.record.secondsAt(startedAtMs)}`,
		endedAtMs === undefined ? 'still at work' : `until ${deployment.record.secondsAt(endedAtMs)} ${how}`,
		describeAcknowledgement(evidence, run),
	].join(', ');
};

const jobOf = ({deployment: {ledger}}: Evidence, run: Run): Job | undefined => ledger.jobs.get(parseTask(run.task).id);

/** Whether an end counts since it was listed for 100 ms: always if the daemons then ordered its machine away, otherwise with nothing but planned work near. A crash that follows the listing is a disruption near it. */
const countsByListing = ({troubles}: Evidence, run: Run): boolean => {
	if (!isListedLong(run)) {
		return false;
	}

	const {listedAtMs = Number.NaN, lapsedAtMs, lostBy} = run;
	const isLost = lapsedAtMs === undefined;
	const nearUntilMs = listedAtMs + notedAfterListingMs + bounds.contact_ms;
	if (isLost && lostBy === 'crashed' && keptUntilMs(run) <= nearUntilMs) {
		return false;
	}

	return (isLost && lostBy === 'ordered away') || troubles.hasOnlyPlannedWork(listedAtMs, Math.min(keptUntilMs(run), nearUntilMs));
};

const isTakenNoteOf = (evidence: Evidence, run: Run): boolean => isNoted(run) || countsByListing(evidence, run);

/** Time after which no daemon in touch may start a task of a job that was shown as completed. */
const afterCompletedMs = 1000;

/** When each job was first shown as completed. */
const completedTimes = ({deployment: {ledger}}: Evidence): ReadonlyMap<string, number> => {
	const times = new Map<string, number>();
	for (const {job, atMs} of ledger.looks.filter(({state}) => state === 'completed')) {
		times.set(job.id, Math.min(times.get(job.id) ?? Number.POSITIVE_INFINITY, atMs));
	}

	return times;
};

const isStarterInTouch = ({deployment, troubles}: Evidence, {fence, startedAtMs}: Run): boolean => {
	const starter = deployment.daemonOfFence(fence)?.name;
	return starter !== undefined && troubles.isInTouch(starter, startedAtMs, startedAtMs);
};

/** Two runs of one task at once, a start after an end `done` that is taken note of then or later, or one by a daemon in touch over a second after the job was shown as completed. */
const checkTwice: Check = evidence => {
	const {ledger} = evidence.deployment;
	const completed = completedTimes(evidence);
	const broken: string[] = [];
	for (const runs of ledger.runsByTask.values()) {
		for (const run of runs) {
			const earlier = runs.find(other => other !== run && other.startedAtMs <= run.startedAtMs && (other.endedAtMs ?? Number.POSITIVE_INFINITY) > run.startedAtMs);
			const done = runs.find(other => other.how === 'done' && isTakenNoteOf(evidence, other) && other.endedAtMs! < run.startedAtMs);
			if (earlier !== undefined) {
				broken.push(`two at once: ${describeRun(evidence, earlier)}; ${describeRun(evidence, run)}`);
			} else if (done !== undefined) {
				broken.push(`started after its end: ${describeRun(evidence, done)}; ${describeRun(evidence, run)}`);
			} else if (run.startedAtMs > (completed.get(parseTask(run.task).id) ?? Number.POSITIVE_INFINITY) + afterCompletedMs && !run.isLate && isStarterInTouch(evidence, run)) {
				broken.push(`started after its job was shown as completed: ${describeRun(evidence, run)}`);
			}
		}
	}

	return {judged: ledger.runs.length, what: 'starts', broken};
};

/** A start before its time, or before all tasks of the steps in `after` have ended done. */
const checkOrder: Check = evidence => {
	const {ledger} = evidence.deployment;
	const broken: string[] = [];
	let judged = 0;
	for (const run of ledger.runs) {
		const job = jobOf(evidence, run);
		const {occurrence, step} = parseTask(run.task);
		const after = job?.body.phases[step]?.after ?? [];
		const dueAtMs = job?.body.start_ms === undefined ? Number.NEGATIVE_INFINITY : job.body.start_ms + (occurrence * job.body.period_ms!) - evidence.wallOffsetMs;
		judged += job !== undefined && (after.length > 0 || job.body.start_ms !== undefined) ? 1 : 0;
		if (run.startedAtMs < dueAtMs - bounds.early_ms) {
			broken.push(`${Math.round(dueAtMs - run.startedAtMs)} ms before its time: ${describeRun(evidence, run)}`);
		}

		const missing = job === undefined ? undefined : after.flatMap(earlier => ledger.tasksOfStep(job, occurrence, earlier)).find(task => !ledger.isDoneBy(task, run.startedAtMs));
		if (missing !== undefined) {
			broken.push(`${missing} had not ended done: ${describeRun(evidence, run)}`);
		}
	}

	return {judged, what: 'starts of steps that wait', broken};
};

/** A start after `max_attempts` runs of the task have ended failed, with these ends acknowledged then or later. */
const checkBudget: Check = evidence => {
	const broken: string[] = [];
	let judged = 0;
	for (const runs of evidence.deployment.ledger.runsByTask.values()) {
		const failed = runs.filter(run => run.how === 'failed' && isNoted(run));
		judged += failed.length;
		for (const run of runs) {
			const before = failed.filter(({endedAtMs}) => endedAtMs! < run.startedAtMs);
			if (before.length >= maxAttempts) {
				broken.push(`${before.length} runs had failed: ${describeRun(evidence, run)}`);
			}
		}
	}

	return {judged, what: 'failed ends', broken};
};

/** A start of what no client sent, or with another spec. */
const checkUnasked: Check = evidence => {
	const {ledger} = evidence.deployment;
	const broken = ledger.runs.filter(run => {
		const job = jobOf(evidence, run);
		const {occurrence, step, index} = parseTask(run.task);
		return run.spec !== job?.body.spec || !(occurrence < occurrencesOf(job)) || !(index < (job.body.phases[step]?.count ?? 0));
	});
	return {judged: ledger.runs.length, what: 'starts', broken: broken.map(run => `not as a client sent it: ${describeRun(evidence, run)}`)};
};

/** A start on a worker of another service than the queue's. */
const checkRoute: Check = evidence => {
	const {runs} = evidence.deployment.ledger;
	const broken = runs.filter(run => run.service !== jobOf(evidence, run)?.queue.name);
	return {judged: runs.length, what: 'starts', broken: broken.map(run => `on a worker of ${run.service}: ${describeRun(evidence, run)}`)};
};

/** An upkeep beyond what its wave allows at once, or a wave that is said to be completed before each upkeep has begun. */
const checkWave: Check = ({deployment: {machines}}) => ({judged: machines.orders.upkeeps, what: 'upkeeps', broken: machines.waveFaults});

/** Tasks of a cancelled job: a start by a daemon in touch later than `cancel_ms` after the acknowledgement, or one at work `stop_ms` after that. */
const checkCancelled: Check = evidence => {
	const {deployment, troubles} = evidence;
	const {ledger} = deployment;
	const broken: string[] = [];
	const cancelled = [...ledger.jobs.values()].filter(({cancelledAtMs}) => cancelledAtMs !== undefined);
	for (const job of cancelled) {
		const startLimitMs = job.cancelledAtMs! + bounds.cancel_ms;
		const endLimitMs = startLimitMs + bounds.stop_ms;
		const isCalm = troubles.isCalm(job.cancelledAtMs!, endLimitMs);
		for (const run of ledger.tasksOf(job).flatMap(task => ledger.runsOf(task))) {
			const starter = deployment.daemonOfFence(run.fence)?.name;
			const isSound = troubles.isSoundWorker(run.worker, run.startedAtMs, run.startedAtMs);
			if (run.startedAtMs > startLimitMs && isSound && starter !== undefined && troubles.isInTouch(starter, run.startedAtMs, run.startedAtMs)) {
				broken.push(`started ${Math.round(run.startedAtMs - job.cancelledAtMs!)} ms after the cancelling: ${describeRun(evidence, run)}`);
			} else if (isCalm && run.startedAtMs <= startLimitMs && (run.endedAtMs ?? Number.POSITIVE_INFINITY) > endLimitMs) {
				broken.push(`at work ${bounds.cancel_ms + bounds.stop_ms} ms after the cancelling: ${describeRun(evidence, run)}`);
			}
		}
	}

	return {judged: cancelled.length, what: 'cancelled jobs', broken};
};

/** A start of a job whose every submission was refused. */
const checkRefused: Check = ({deployment: {ledger}}) => {
	const refused = [...ledger.jobs.values()].filter(({refusals, otherAnswers}) => refusals > 0 && otherAnswers === 0);
	const started = refused.filter(job => ledger.tasksOf(job).some(task => ledger.runsOf(task).length > 0));
	return {judged: refused.length, what: 'refused jobs', broken: started.map(({id}) => `${id} was refused and has started`)};
};

/** A start that brings its worker over its capacity. */
const checkLimit: Check = evidence => {
	const {runs} = evidence.deployment.ledger;
	const over = runs.filter(({usedCpu, usedMemoryMb}) => usedCpu > workerCapacity.cpu || usedMemoryMb > workerCapacity.mem_mb);
	return {judged: runs.length, what: 'starts', broken: over.map(run => `${run.usedCpu} millicores in use: ${describeRun(evidence, run)}`)};
};

const describeLook = ({deployment: {record}}: Evidence, {job, daemon, atMs, status, state}: Look): string =>
	`${job.id} at ${daemon}, ${record.secondsAt(atMs)}: ${status === 0 ? 'no answer' : status} ${state ?? ''}`;

/** A job that is shown as completed while a task has not ended done. */
const checkMixed: Check = evidence => {
	const completed = [...evidence.deployment.ledger.looks, ...evidence.lastLooks].filter(({state}) => state === 'completed');
	return {judged: completed.length, what: 'jobs shown as completed', broken: completed.filter(({isDone}) => !isDone).map(look => describeLook(evidence, look))};
};

/** An accepted job that a daemon in touch does not know, or that is shown as failed or cancelled without cause. */
const checkShown: Check = evidence => {
	const {deployment: {ledger}, troubles} = evidence;
	const wrong = ledger.looks.filter(({job, daemon, atMs, status, state, hasFailed}) => {
		const isUnknown = status === 410 && atMs > job.acceptedAtMs! + bounds.visible_ms && atMs < job.acceptedAtMs! + statusMs && troubles.isInTouch(daemon, atMs, atMs);
		return (state === 'failed' && !hasFailed) || (job.cancelSentAtMs === undefined && (state === 'cancelled' || isUnknown));
	});
	return {judged: ledger.looks.length, what: 'answers', broken: wrong.map(look => describeLook(evidence, look))};
};

const expectedState = (job: Job): string => isLasting(job) ? 'running' : (job.failures < maxAttempts ? 'completed' : 'failed');

/** At the end: an accepted job that was not cancelled is not known, has no answer, or is not done though it could be. */
const checkLost: Check = evidence => {
	const {lastLooks, deployment: {ledger, machines}} = evidence;
	const broken = lastLooks.flatMap(look => {
		const {job, status, state} = look;
		const missing = isLasting(job) ? ledger.tasksOf(job).filter(task => !machines.workers.some(worker => worker.isRunning(task))) : [];
		return [
			...(status === 200 && state === expectedState(job) ? [] : [`${describeLook(evidence, look)}, ${expectedState(job)} expected`]),
			...missing.map(task => `${task} lasts and is not at work`),
		];
	});
	return {judged: lastLooks.length, what: 'jobs at the end', broken};
};

/** Time for which nothing is disturbed before a task counts as unserved, and for which it may be unserved then. */
const calmBeforeMs = 4000;
const maxUnservedMs = 3000;

/** The spans within which the task had no run, from the acceptance of its job to the end. */
const unservedSpans = (runs: readonly Run[], acceptedAtMs: number, untilMs: number): readonly Span[] => {
	const spans: Span[] = [];
	let fromMs = acceptedAtMs;
	for (const {startedAtMs, endedAtMs = untilMs} of runs.toSorted((a, b) => a.startedAtMs - b.startedAtMs)) {
		spans.push({fromMs, toMs: startedAtMs});
		fromMs = Math.max(fromMs, endedAtMs);
	}

	return [...spans, {fromMs, toMs: untilMs}];
};

/** Returns when the first calm began within the span that leaves the task unserved for too long, or `undefined`. `disturbances` are in the order in which they began. */
const findUnserved = ({fromMs, toMs}: Span, disturbances: readonly Span[]): number | undefined => {
	let sinceMs = fromMs;
	for (const disturbance of disturbances) {
		if (disturbance.fromMs < sinceMs + maxUnservedMs) {
			sinceMs = Math.max(sinceMs, disturbance.toMs + calmBeforeMs);
		}
	}

	return sinceMs + maxUnservedMs <= toMs ? sinceMs : undefined;
};

/** A lasting task whose orders got no answer for a while has no run for 3 s in a calm. */
const checkUnserved: Check = ({deployment: {ledger, record}, troubles, lastingSteps, endedAtMs}) => {
	const disturbances = [...troubles.played.filter(({isRoutine}) => !isRoutine), ...lastingSteps.disturbed].toSorted((a, b) => a.fromMs - b.fromMs);
	const accepted = lastingSteps.jobs.filter(({acceptedAtMs}) => acceptedAtMs !== undefined);
	const tasks = accepted.flatMap(job => ledger.tasksOf(job).map(task => ({task, acceptedAtMs: job.acceptedAtMs!})));
	const broken = tasks.flatMap(({task, acceptedAtMs}) => {
		const sinceMs = unservedSpans(ledger.runsOf(task), acceptedAtMs, endedAtMs).map(span => findUnserved(span, disturbances)).find(since => since !== undefined);
		return sinceMs === undefined ? [] : [`${task} has no run from ${record.secondsAt(sinceMs)} on, for ${maxUnservedMs} ms or more`];
	});
	return {judged: tasks.length, what: 'lasting tasks with unanswered orders', broken};
};

/** A call that is refused though queue and key are there. */
const checkConfiguration: Check = ({deployment: {ledger}}) => ({
	judged: ledger.jobs.size, what: 'jobs sent', broken: ledger.oddAnswers,
});

/** A process that ended by itself or did not come back. */
const checkFault: Check = ({deployment: {daemons}}) => ({
	judged: daemons.length, what: 'daemons', broken: daemons.flatMap(({faults}) => faults),
});

/** The run shows something: troubles were played, and at least half of the jobs were accepted. */
const checkPlayed: Check = ({deployment: {ledger, store, machines}, troubles}) => {
	const jobs = [...ledger.jobs.values()];
	const accepted = jobs.filter(({acceptedAtMs}) => acceptedAtMs !== undefined).length;
	const kinds = new Set(troubles.played.map(({kind}) => kind));
	return {
		judged: jobs.length,
		what: `jobs, ${accepted} accepted, ${troubles.played.length} troubles of ${kinds.size} kinds, ${store.cutAnswers} answers cut, ${machines.orders.moves} machines moved`,
		broken: [
			...(accepted * 2 < jobs.length ? [`only ${accepted} of ${jobs.length} jobs were accepted`] : []),
			...(troubles.played.length === 0 ? ['no trouble was played'] : []),
		],
	};
};

/** Why nobody had to take note of an end. */
const reasonNotTaken = (run: Run): string => {
	if (run.lapsedAtMs !== undefined) {
		return run.wasIdleAtLapse ? 'with a lease that lapsed while the worker ran nothing' : 'with a lease that lapsed';
	}

	const loss = `on a worker that ${run.lostBy === undefined ? 'is there' : (run.lostBy === 'ordered away' ? 'was ordered away' : run.lostBy)}`;
	return isListedLong(run) ? `listed for 100 ms, ${loss}` : `not listed for 100 ms, ${loss}`;
};

/** Starts after an end `done` that the check TWICE passes over, by the reason. No rule is judged by them. */
export const startsAfterOtherEnds = (evidence: Evidence): ReadonlyMap<string, readonly string[]> => {
	const starts = new Map<string, string[]>();
	for (const runs of evidence.deployment.ledger.runsByTask.values()) {
		for (const run of runs) {
			const ends = runs.filter(({how, endedAtMs}) => how === 'done' && endedAtMs! < run.startedAtMs);
			if (ends.length > 0 && !ends.some(end => isTakenNoteOf(evidence, end))) {
				const reason = reasonNotTaken(ends[0]!);
				starts.set(reason, [...(starts.get(reason) ?? []), `${describeRun(evidence, ends[0]!)}; ${describeRun(evidence, run)}`]);
			}
		}
	}

	return starts;
};

export const checks: Readonly<Record<string, Check>> = {
	TWICE: checkTwice,
	ORDER: checkOrder,
	BUDGET: checkBudget,
	UNASKED: checkUnasked,
	ROUTE: checkRoute,
	WAVE: checkWave,
	CANCELLED: checkCancelled,
	REFUSED: checkRefused,
	LIMIT: checkLimit,
	MIXED: checkMixed,
	SHOWN: checkShown,
	LOST: checkLost,
	UNSERVED: checkUnserved,
	CONFIG: checkConfiguration,
	FAULT: checkFault,
	PLAYED: checkPlayed,
};
