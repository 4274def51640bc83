/**
Data types of the scheduler: its configuration, jobs as callers submit them, and workers and machines as they report themselves. All of them are plain data, independent of the platform's formats.
*/

/** Resources that a task occupies on a worker, or a worker's total capacity. */
export type Resources = {
	readonly cpuMillicores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A queue accepts jobs for the workers of one pool. */
export type Queue = {
	readonly name: string;
	readonly pool: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	/** Number of failed attempts of one task after which its job fails. */
	readonly maxAttempts: number;
	/** A job's completion objective is this factor times its longest chain of steps, plus `objectiveMs`. */
	readonly objectiveFactor: number;
	readonly objectiveMs: number;
	/** The queue accepts jobs without an API key. */
	readonly isPublic: boolean;
	/** True if a policy service decides which workers may run each step. */
	readonly needsAdvice: boolean;
};

/** A pool of machines. Machines of a standby pool are switched off. */
export type Pool = {
	readonly name: string;
	readonly isStandby: boolean;
	/** The workers themselves reject tasks that exceed their capacity. */
	readonly enforcesCapacity: boolean;
};

/** A team that submits jobs. */
export type Customer = {
	readonly name: string;
	/** The customer's relative share while capacity is short. */
	readonly weight: number;
	/** Maximum resources of its running tasks over all pools; 0 means no limit. */
	readonly upperLimit: Resources;
};

/** Address of a queue: a host name and a path prefix, followed by the job's id. */
export type QueueRoute = {
	readonly host: string;
	readonly pathPrefix: string;
	readonly queue: string;
};

/** Limits on callers' requests. */
export type CallerLimits = {
	readonly bodyBytes: number;
	readonly headerBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The part of the operators' settings that the scheduler uses. */
export type FleetConfiguration = {
	readonly version: number;
	/** Sorted by prefix length, longest first, so that the first match is the most specific. */
	readonly routes: readonly QueueRoute[];
	readonly customerByKey: ReadonlyMap<string, string>;
	readonly limits: CallerLimits;
	readonly queues: ReadonlyMap<string, Queue>;
	readonly pools: ReadonlyMap<string, Pool>;
	readonly customers: ReadonlyMap<string, Customer>;
};

/** A maintenance wave: machines that must be maintained, at most `concurrency` at once. */
export type WaveOrder = {
	readonly waveId: number;
	readonly machineIds: readonly string[];
	readonly withinMs: number;
	readonly concurrency: number;
};

/** One step of a job: identical tasks that may run once the steps in `after` are done. */
export type StepSpec = {
	readonly taskCount: number;
	readonly needs: Resources;
	/** The submitter's estimate of the run time of one task; often off by half. */
	readonly estimateMs: number;
	/** Indexes of the steps that must be done before this one. */
	readonly after: readonly number[];
	readonly isCheckpointing: boolean;
	/** All tasks of the step run at the same time or not at all. */
	readonly isGang: boolean;
	/** Tasks run slower when they are spread over several racks. */
	readonly prefersOneRack: boolean;
	readonly requiredLabel: string;
	/** Rack that holds the input data; empty if any rack will do. */
	readonly dataRack: string;
	/** Maximum number of the step's tasks on one worker; 0 means no limit. */
	readonly maxPerWorker: number;
	/** Tasks are long-running services that run until the job is cancelled. */
	readonly isLasting: boolean;
	readonly image: string;
	/** Response-time target of a lasting task, for its tail latency; 0 if there is none. */
	readonly targetMs: number;
	/** Tasks are best-effort: they only use CPU time that other tasks leave idle, so their CPU request does not count towards a worker's capacity. */
	readonly isFilling: boolean;
	/** Maximum number of the step's lasting tasks that the scheduler may make unavailable at once; 0 means no limit. */
	readonly mayMiss: number;
};

/** Schedule of a job: its steps run `count` times, the first time at `firstDueWallMs`. A count of 0 means once, immediately. */
export type Recurrence = {
	readonly count: number;
	readonly firstDueWallMs: number;
	readonly periodMs: number;
};

/** A job's specification, as accepted. */
export type JobSpec = {
	readonly jobId: string;
	readonly queue: string;
	/** Empty for jobs submitted without an API key. */
	readonly customer: string;
	/** Passed to the workers unchanged. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly recurrence: Recurrence;
	readonly acceptedWallMs: number;
};

export type JobOutcome = 'completed' | 'failed' | 'cancelled';
export type JobState = 'queued' | 'running' | JobOutcome;

/** One incarnation of a worker, as every process knows it. */
export type WorkerIdentity = {
	readonly workerId: string;
	readonly bornWallMs: number;
};

/** What is known about crashes of workers under one task. Each field only grows, so that records of two lease holders can be merged. Attempt numbers rise from holder to holder; 0 means none. */
export type CrashRecord = {
	/** Attempts that ran on a worker as it crashed and may have caused it. */
	readonly crashedAttempts: readonly number[];
	/** Attempts for which it is not known whether they ran as their worker crashed, or whether it crashed. */
	readonly presumedAttempts: readonly number[];
	/** Last attempt that was planned as a trial. It is stored before the start order is sent, so a successor knows of a trial whose outcome it never learns. */
	readonly trialAttempt: number;
	/** The worker that the trial was planned for, if it tells when it was born. */
	readonly trialWorker?: WorkerIdentity | undefined;
	/** Last trial that is known to have ended without a crash. */
	readonly settledTrialAttempt: number;
	/** Last attempt that its worker was seen to survive for as long as a trial takes. */
	readonly provenAttempt: number;
	/** Crashes up to this attempt do not count, because a later attempt ran for long enough. */
	readonly clearedAttempt: number;
	/** The task is not started again. */
	readonly isGivenUp: boolean;
};

/** Stored progress of a job. It only grows: no done task, failed attempt or outcome is ever withdrawn. */
export type JobProgress = {
	readonly outcome: JobOutcome | undefined;
	readonly endedWallMs: number | undefined;
	/** At least one task has been started. */
	readonly hasBegun: boolean;
	/** Indexes of the finished tasks, by `occurrence.step`. */
	readonly doneTasks: Readonly<Record<string, readonly number[]>>;
	/** Numbers of the failed attempts, by `occurrence.step.index`. */
	readonly failures: Readonly<Record<string, readonly number[]>>;
	/** Crash records of the tasks that have one, by `occurrence.step.index`. */
	readonly crashRecords: Readonly<Record<string, CrashRecord>>;
};

/** Which of a job's tasks are done, and which attempts have failed. */
export type TaskEnds = Pick<JobProgress, 'doneTasks' | 'failures'>;

/** A worker as it registers itself. */
export type WorkerEntry = {
	readonly workerId: string;
	readonly pool: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly isDraining: boolean;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	readonly rack: string;
	/** Start time of this incarnation of the worker; a restarted worker has no record of earlier runs. */
	readonly bornWallMs: number | undefined;
	/** Time for which the worker remains slow after its start, as of its last registration; 0 once it is warm. */
	readonly coldLeftMs: number;
	/** Version of the row with which the worker has registered itself, which rises with each heartbeat; it may lag behind while nobody takes the lease over. */
	readonly registeredVersion?: number | undefined;
};

/** How a run on a worker ended. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** An active run in a worker's status report. */
export type RunningEntry = {
	readonly taskKey: string;
	readonly attempt: number;
	readonly checkpoint: string;
	/** Progress of the task; for lasting tasks 100 means that the task is serving. */
	readonly percent: number;
	/** Tail latency in ms for lasting tasks with a target, CPU use for the others. */
	readonly figure: number;
};

/** An ended run in a worker's status report. */
export type FinishedEntry = {
	/** Sequence number of the end, counted from the start of the worker's incarnation. */
	readonly sequence: number;
	readonly taskKey: string;
	readonly attempt: number;
	readonly end: RunEnd;
	readonly checkpoint: string;
};

/** A worker's status report, the answer to a poll. */
export type WorkerReport = {
	readonly clockMs: number;
	readonly bornWallMs: number | undefined;
	readonly running: readonly RunningEntry[];
	readonly finished: readonly FinishedEntry[];
};

export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine and the worker that runs on it. */
export type MachineEntry = {
	readonly machineId: string;
	readonly pool: string;
	/** Empty if the platform does not report it. */
	readonly dataCentre: string;
	readonly state: MachineState;
	readonly capacity: Resources;
	readonly workerId: string | undefined;
};
