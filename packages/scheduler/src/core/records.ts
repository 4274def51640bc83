/**
The scheduler's working records. They are mutable and owned by `SchedulerState` alone: hundreds of runs change each second, and copying the records for each event would cost more than the decisions themselves.
*/
import {
	type CrashRecord, type FinishedEntry, type JobOutcome, type JobProgress, type JobSpec, type MachineEntry, type Resources, type StepSpec, type WaveOrder, type WorkerEntry,
} from '../types.js';

/** The policy service's answer about one worker for one step. */
export type WorkerAdvice = {
	/** The incarnation of the worker that the answer applies to. */
	readonly incarnation: number;
	/** `undefined` where the worker may not run the step. */
	readonly ticket: string | undefined;
	readonly validUntilMs: number;
};

/** An ordered run of a task on a worker, kept until its end is known. */
export type TaskRun = {
	readonly taskKey: string;
	readonly attempt: number;
	readonly worker: WorkerRecord;
	/** The incarnation of the worker that the start was ordered from, or that listed the run first. */
	readonly incarnation: number;
	readonly customer: string;
	/** Resources that the run occupies on the worker; the CPU share of filling tasks is 0. */
	readonly occupiedResources: Resources;
	/** Resources that count towards the customer's upper limit. */
	readonly limitUsage: Resources;
	/** `undefined` if the worker runs a task that is no longer wanted. */
	readonly task: Task | undefined;
	/** `unconfirmed`: the start order got no answer, and the worker may still carry it out. */
	phase: 'starting' | 'unconfirmed' | 'running' | 'stopping';
	readonly orderedAtMs: number;
	/** The worker refuses the start after this time on its clock; `undefined` for a run that an earlier lease holder started. */
	readonly startDeadlineClockMs: number | undefined;
	/** The start order has been neither answered nor listed, so a worker with this id may still carry it out. */
	mayArrive: boolean;
	/** When the worker confirmed the start. */
	startedAtMs: number | undefined;
	/** The incarnation of the worker that listed the run; `undefined` if none has. A start is confirmed without naming the incarnation. */
	listedIncarnation: number | undefined;
	/** The worker has confirmed that it started the run, or has listed it. */
	isConfirmed: boolean;
	/** The run is the only unproven one on its worker, so a crash of the worker is blamed on it. */
	readonly isTrial: boolean;
	/** An earlier lease holder started the run, so its start time is not known. */
	readonly isAdopted: boolean;
	/** When the last report that lists the run was asked for. */
	lastListedAtMs: number;
	/** The worker listed the run `provenAfterMs` after its start. */
	isProven: boolean;
	/** When the start order timed out without an answer. */
	unansweredAtMs: number | undefined;
	stopOrderedAtMs: number | undefined;
	checkpoint: string;
	percent: number;
	percentChangedAtMs: number;
	/** Last reported measurement: tail latency in ms for lasting tasks with a target, CPU use for the others. */
	figure: number;
	/** Pace of a filling task as last confirmed by the worker; `undefined` if an earlier lease holder set it. */
	pacePercent: number | undefined;
	/** When the last pace order without an answer was sent. */
	paceOrderedAtMs: number | undefined;
};

export type Task = {
	readonly key: string;
	readonly step: StepInstance;
	readonly index: number;
	phase: 'waiting' | 'placed' | 'done' | 'given-up';
	run: TaskRun | undefined;
	checkpoint: string;
	/** Numbers of the attempts that failed. */
	readonly failedAttempts: Set<number>;
	crashRecord: CrashRecord;
	/** The crashes that this process blamed on the task. */
	suspicions: readonly Suspicion[];
	lastAttempt: number;
	/** Worker of the last failed or interrupted run; others are preferred for the next attempt. */
	avoidedWorkerId: string | undefined;
	/** Time since which the task has been ready to run. */
	waitingSinceMs: number;
};

/** One of the tasks that a crash is blamed on. */
export type Suspicion = {
	/** All tasks that the crash is blamed on; one of them is its cause. */
	readonly suspects: readonly Task[];
	/** Position of the task among them, the most likely cause first. */
	readonly rank: number;
};

/** A start of a task, or of all tasks of a gang, under which a worker has crashed before. */
export type Trial = {
	readonly tasks: readonly Task[];
	/** The worker of each task. */
	readonly workers: readonly WorkerRecord[];
	readonly attempt: number;
	/** The start order may be sent once this save is stored. */
	readonly saveNumber: number;
	readonly plannedAtMs: number;
	isStarted: boolean;
};

/** One step of one occurrence of a job. */
export type StepInstance = {
	readonly job: JobRecord;
	readonly occurrence: number;
	readonly stepIndex: number;
	readonly spec: StepSpec;
	readonly tasks: readonly Task[];
	doneCount: number;
	/** The policy service's answers by worker id. */
	readonly advice: Map<string, WorkerAdvice>;
	/** When the advice request in flight was sent; `undefined` if there is none. */
	adviceRequestedAtMs: number | undefined;
	nextAdviceRequestAtMs: number;
	/** Number of finished tasks whose run time is known, and the longest of these. */
	measuredCount: number;
	longestRunMs: number;
};

export type JobRecord = {
	readonly spec: JobSpec;
	/** Keys of the rows that hold the specification. The job is known until all of them are removed. */
	readonly rowKeys: Set<string>;
	/** Keys of the rows that hold a cancellation. */
	readonly cancelKeys: Set<string>;
	/** Keys of the rows with ends that were recorded outside of a term. */
	readonly endsKeys: Set<string>;
	/** When this process first saw the job. */
	readonly firstSeenAtMs: number;
	/** Lowest version of the rows that hold the specification: the job was stored with it. */
	storedVersion: number;
	/** When the job was submitted, on this process's clock, by the wall clock of the process that accepted it. */
	readonly submittedAtMs: number;
	/** Estimated duration of the job's longest chain of steps. */
	readonly wholeChainMs: number;
	/** Steps by occurrence, for occurrences that are due. */
	readonly occurrences: Map<number, readonly StepInstance[]>;
	outcome: JobOutcome | undefined;
	endedWallMs: number | undefined;
	isCancelRequested: boolean;
	/** The job exceeded its customer's share when it arrived. */
	exceedsShare: boolean;
	hasBegun: boolean;
	isOutcomeStored: boolean;
	/** Version of the newest progress row that was read; 0 if none is stored. */
	progressVersion: number;
	/** Stored progress, used when an occurrence's tasks are created after it was read. */
	storedDoneTasks: Readonly<Record<string, readonly number[]>>;
	storedFailures: Readonly<Record<string, readonly number[]>>;
	storedCrashRecords: Readonly<Record<string, CrashRecord>>;
};

/** What is stored of a job whose specification is not known: it has not been read yet, or was removed first. Kept until the specification is read or the rows are removed, since each row is passed on once. */
export type DetachedRows = {
	progress: JobProgress | undefined;
	/** Version of the newest progress row that was read; 0 if none is stored. */
	progressVersion: number;
	readonly cancelKeys: Set<string>;
	readonly endsKeys: Set<string>;
	/** Since when the specification has been missing. */
	readonly sinceMs: number;
};

/** The last reading of a worker's clock. */
export type WorkerClock = {
	readonly clockMs: number;
	readonly readAtMs: number;
};

export type WorkerRecord = {
	entry: WorkerEntry;
	/** Number of the incarnation, as counted by this process; no two incarnations, of whatever worker, have the same. */
	incarnation: number;
	/** How often this process has seen the worker start again in this term. */
	restartCount: number;
	/** When this process learned that the worker had started again; `undefined` if it has seen no earlier incarnation. */
	restartedAtMs: number | undefined;
	/** The worker has started again, and no whole report has shown since which runs were ordered from its present incarnation. `hasReported`: a part of a report has. */
	restart: {readonly wasLeaving: boolean; hasReported: boolean} | undefined;
	/** The last registration that was found to be of an earlier incarnation. */
	outdatedEntry: WorkerEntry | undefined;
	/** When this process first saw this incarnation of the worker. */
	firstSeenAtMs: number;
	isListed: boolean;
	unlistedAtMs: number | undefined;
	readonly runs: Map<string, TaskRun>;
	/** Runs that are being stopped on other workers, for whose tasks this worker keeps capacity free. */
	readonly expectedRuns: Set<TaskRun>;
	/** Runs whose leases expired while the worker was silent. If the worker turns out to have crashed, they are among those that may have crashed it. */
	expiredRuns: readonly TaskRun[];
	/** The trial for which the worker starts no other task. */
	trial: Trial | undefined;
	trialEndedAtMs: number;
	bornWallMs: number | undefined;
	/** The worker's data centre is being evacuated, so nothing is started on the worker. */
	isEvacuated: boolean;
	/** The present incarnation has answered a poll with its own fencing token, so it rejects orders of earlier holders and those that were sent to earlier incarnations. */
	isFenced: boolean;
	/** The last report listed as many ends as a report holds, so further ones may follow. */
	mayLackEnds: boolean;
	clock: WorkerClock | undefined;
	/** Time, on this process's clock, until which tasks may keep running on the worker without another lease renewal. */
	leaseExpiresAtMs: number;
	/** When a lease deadline was last sent to the worker. */
	lastLeaseSentAtMs: number;
	lastAnswerAtMs: number;
	/** When the last report was asked for. */
	lastReportSentAtMs: number;
	silentSinceMs: number | undefined;
	/** When a start could not be sent to the worker; `undefined` once it has answered a later poll. */
	unreachedAtMs: number | undefined;
	/** When the first unanswered poll of the present silence failed. */
	silenceNoticedAtMs: number;
	/** Run ends up to this sequence number have been processed. */
	processedSequence: number;
	/** Processed ends of tasks whose jobs have not been read yet, by rising sequence number. */
	unresolvedEnds: ReportedEnd[];
	/** Processed ends of known jobs that are not acknowledged yet. */
	unacknowledgedEnds: Array<{readonly sequence: number; readonly job: JobRecord; readonly reportedAtMs: number}>;
	/** Run ends up to this sequence number may be discarded by the worker. */
	acknowledgedSequence: number;
	/** Run ends up to this sequence number may be discarded once the given save is stored. */
	pendingAcknowledgement: {readonly sequence: number; readonly saveNumber: number} | undefined;
	/** Highest sequence number acknowledged to the worker. */
	sentAcknowledgement: number;
	readonly recentFailuresMs: number[];
	quarantinedUntilMs: number;
	/** Machine on which the platform's machine list names the worker, or last named it. */
	machineId: string | undefined;
	/** The last list of machines, if no machine in it runs the worker. */
	missingSince: ListTimes | undefined;
	/** This incarnation of the worker has ended: its machine was ordered to move or to be maintained, or runs another worker. */
	isEnded: boolean;
	/** The machine is due for maintenance, so lasting tasks prefer other workers. */
	isMaintenanceDue: boolean;
	/** The worker gets no new tasks because its machine is about to be maintained or moved. */
	isReserved: boolean;
	/** Target pace of all filling tasks on the worker. */
	fillingPacePercent: number;
	paceSampledAtMs: number;
	/** When the worker's filling tasks were paused; `undefined` if they are not. */
	fillingPausedSinceMs: number | undefined;
	idleSinceMs: number;
};

/** An operators' order to start nothing new in a data centre. */
export type Evacuation = {
	readonly dataCentre: string;
	/** When this process learned of the order. */
	readonly knownSinceMs: number;
	/** Lasting tasks that must leave the data centre but fit on no worker elsewhere, as of the last round. */
	withoutRoom: readonly Task[];
	/** Lasting tasks that have room elsewhere but wait until more of their step are available. */
	waitingForStep: readonly Task[];
	/** The lease holder has logged the evacuation, or that no such data centre is known. */
	announced: 'started' | 'unknown' | undefined;
	/** The data centre was logged as empty. */
	isEmpty: boolean;
	/** What was last logged of its progress, and when. */
	loggedProgress: string;
	progressLoggedAtMs: number;
};

/** When a list was requested, and when it arrived. */
export type ListTimes = {
	readonly sentAtMs: number;
	readonly arrivedAtMs: number;
};

/** A machine and the pending order for it. */
export type MachineRecord = {
	entry: MachineEntry;
	/** The last order sent, until its effect appears in the machine list. */
	order: MachineOrder | undefined;
	/** After a refusal, no order is sent before this time. */
	nextOrderAtMs: number;
	/** The list that lacks the machine, which may be there all the same. */
	missingSince: ListTimes | undefined;
};

/** An end that a worker reported, and when the report arrived. */
export type ReportedEnd = {
	readonly entry: FinishedEntry;
	readonly reportedAtMs: number;
};

/** One incarnation of a worker: the time between two starts of it, in which its runs and counts last. */
export type WorkerIncarnation = {
	readonly worker: WorkerRecord;
	readonly incarnation: number;
};

export type MachineOrder = {
	readonly type: 'move' | 'maintain';
	readonly waveId: number | undefined;
	readonly pool: string | undefined;
	/** Tells the answer from those to other orders for the machine. A repeated order has a new number. */
	readonly orderNumber: number;
	/** When the order was sent for the first time. */
	readonly firstSentAtMs: number;
	/** What the machine ran when the order was sent for the first time, which ends with it. A worker that the machine runs later may be the one that the order has brought. */
	readonly endsIncarnation: WorkerIncarnation | undefined;
	/** The machine's pool before the order. */
	readonly formerPool: string;
	phase: 'sent' | 'accepted' | 'retry';
	answeredAtMs: number | undefined;
};

/** A maintenance wave and its progress. */
export type WaveRecord = {
	readonly order: WaveOrder;
	readonly orderedAtMs: number;
	readonly maintained: Set<string>;
	readonly reserved: Set<string>;
	state: 'running' | 'completed';
	reportedState: 'running' | 'completed' | undefined;
	isDirty: boolean;
};
