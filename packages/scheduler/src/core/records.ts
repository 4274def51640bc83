/**
The scheduler's working records. They are mutable and owned by `SchedulerState` alone: hundreds of runs change each second, and copying them for each event would cost more than the decisions.
*/
import {
	type JobOutcome, type JobSpec, type MachineEntry, type Resources, type StepSpec, type WaveOrder, type WorkerEntry,
} from '../types.js';

/** What the policy service said of one worker for one step. */
export type WorkerAdvice = {
	/** Life of the worker that the answer is about. */
	readonly bornWallMs: number | undefined;
	/** `undefined` where the worker may not run the step. */
	readonly ticket: string | undefined;
	readonly validUntilMs: number;
};

/** A start that was ordered, until its end is known. */
export type Run = {
	readonly taskKey: string;
	readonly attempt: number;
	readonly worker: WorkerRecord;
	readonly customer: string;
	/** What the run takes of the worker; the processor need of filling tasks is 0. */
	readonly occupies: Resources;
	/** What the run counts against its customer's upper limit. */
	readonly counts: Resources;
	/** `undefined` where the worker runs something that is no longer wanted. */
	readonly task: Task | undefined;
	/** `unconfirmed`: the start got no answer, and the worker may still carry it out. */
	phase: 'starting' | 'unconfirmed' | 'running' | 'stopping';
	readonly orderedAtMs: number;
	/** When the worker answered the start. */
	startedAtMs: number | undefined;
	/** When the wait for the start's answer ended without one. */
	unansweredAtMs: number | undefined;
	stopOrderedAtMs: number | undefined;
	checkpoint: string;
	percent: number;
	percentChangedAtMs: number;
	figure: number;
	/** Share at which the worker lets a filling task work, as far as it has confirmed; `undefined` where an earlier holder decided on it. */
	pacePercent: number | undefined;
	/** An order of another pace has had no answer since. */
	paceOrderedAtMs: number | undefined;
};

export type Task = {
	readonly key: string;
	readonly step: StepRun;
	readonly index: number;
	phase: 'waiting' | 'placed' | 'done';
	run: Run | undefined;
	checkpoint: string;
	/** Attempts that ended in failure. */
	readonly failedAttempts: Set<number>;
	lastAttempt: number;
	/** Worker of the last failed run; another one is preferred. */
	avoidedWorkerId: string | undefined;
	/** Since when the task could have been running. */
	waitingSinceMs: number;
};

/** One step of one occurrence of a job. */
export type StepRun = {
	readonly job: JobRecord;
	readonly occurrence: number;
	readonly stepIndex: number;
	readonly spec: StepSpec;
	readonly tasks: readonly Task[];
	doneCount: number;
	/** What the policy service said, by worker id. */
	readonly advice: Map<string, WorkerAdvice>;
	/** A question is under way since then. */
	adviceAskedAtMs: number | undefined;
	adviceNotBeforeMs: number;
};

export type JobRecord = {
	readonly spec: JobSpec;
	/** Rows that go when the job is forgotten. */
	readonly rowKeys: Set<string>;
	/** When this process learnt of the job. */
	readonly seenAtMs: number;
	/** Steps by occurrence; only those that are due. */
	readonly occurrences: Map<number, readonly StepRun[]>;
	outcome: JobOutcome | undefined;
	endedWallMs: number | undefined;
	isCancelRequested: boolean;
	/** Its customer had handed in more than its share when the job came. */
	isBeyondShare: boolean;
	hasBegun: boolean;
	/** Progress that is not stored yet. */
	isDirty: boolean;
	/** The job's outcome is stored. */
	isOutcomeStored: boolean;
	/** Progress as stored before the occurrences were laid out. */
	storedDone: Readonly<Record<string, readonly number[]>>;
	storedFailures: Readonly<Record<string, readonly number[]>>;
};

/** What is known of a worker's clock. */
export type WorkerClock = {
	readonly clockMs: number;
	readonly readAtMs: number;
};

export type WorkerRecord = {
	entry: WorkerEntry;
	/** When this process first heard of this life of the worker. */
	seenAtMs: number;
	isListed: boolean;
	unlistedAtMs: number | undefined;
	readonly runs: Map<string, Run>;
	bornWallMs: number | undefined;
	/** The worker has seen this holder's fencing token. */
	isFenced: boolean;
	clock: WorkerClock | undefined;
	/** Until when something on the worker may run on, by this process's clock. */
	leaseOverAtMs: number;
	lastAnswerAtMs: number;
	silentSinceMs: number | undefined;
	/** Ends up to here were taken into account. */
	processedSequence: number;
	/** Ends up to here may be forgotten by the worker. */
	acknowledgedSequence: number;
	/** Ends up to here may be forgotten once the save with this number is stored. */
	pendingAcknowledgement: {readonly sequence: number; readonly saveNumber: number} | undefined;
	/** Highest acknowledgement that the worker was told of. */
	sentAcknowledgement: number;
	readonly recentFailuresMs: number[];
	quarantinedUntilMs: number;
	/** The platform's list of machines names the worker, or did. */
	machineId: string | undefined;
	/** This life of the worker is over: its machine was ordered away or runs another worker. */
	isEnded: boolean;
	/** The machine is to be maintained soon: lasting tasks go elsewhere. */
	isDue: boolean;
	/** No new work: the machine is about to be maintained or moved. */
	isReserved: boolean;
	/** Pace that everything which fills on the worker should have. */
	fillPacePercent: number;
	paceSampledAtMs: number;
	/** Since when what fills stands still. */
	pausedSinceMs: number | undefined;
	idleSinceMs: number;
};

/** A machine and what was ordered for it. */
export type MachineRecord = {
	entry: MachineEntry;
	/** The order that was sent last and whose effect is not listed yet. */
	order: MachineOrder | undefined;
	/** After a refusal the machine is left alone until then. */
	notBeforeMs: number;
};

export type MachineOrder = {
	readonly type: 'move' | 'maintain';
	readonly waveId: number | undefined;
	readonly pool: string | undefined;
	readonly sentAtMs: number;
	phase: 'sent' | 'accepted' | 'retry';
	answeredAtMs: number | undefined;
};

/** A wave and how far it is. */
export type WaveRecord = {
	readonly order: WaveOrder;
	readonly orderedAtMs: number;
	readonly maintained: Set<string>;
	readonly reserved: Set<string>;
	state: 'running' | 'completed';
	reportedState: 'running' | 'completed' | undefined;
	isDirty: boolean;
};
