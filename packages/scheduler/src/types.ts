/**
What the scheduler knows of the fleet: its configuration, jobs as callers submit them, workers and machines as they report themselves. All of it is plain data in the project's own terms.
*/

/** What a task occupies on a worker, or what a worker has in all. */
export type Resources = {
	readonly cpuMillicores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A queue takes jobs for the workers of one pool. */
export type Queue = {
	readonly name: string;
	readonly pool: string;
	/** 0 goes first. */
	readonly priority: number;
	/** Runs of one task that may end in failure before its job has failed. */
	readonly maxAttempts: number;
	/** A job's objective is this many times its longest chain of work, and `objectiveMs` more. */
	readonly objectiveFactor: number;
	readonly objectiveMs: number;
	/** Jobs are taken without a key. */
	readonly isPublic: boolean;
	/** Present where a policy service chooses the workers of each step. */
	readonly needsAdvice: boolean;
};

/** A pool of machines. Machines of a standby pool are switched off. */
export type Pool = {
	readonly name: string;
	readonly isStandby: boolean;
	/** Workers refuse by themselves what exceeds their capacity. */
	readonly guardsCapacity: boolean;
};

/** A team that submits jobs. */
export type Customer = {
	readonly name: string;
	/** Its share where everything is full. */
	readonly weight: number;
	/** What it may have running over all pools; 0 means no limit. */
	readonly upperLimit: Resources;
};

/** Where callers reach a queue: a host name, and a path prefix that the job's id follows. */
export type QueueRoute = {
	readonly host: string;
	readonly pathPrefix: string;
	readonly queue: string;
};

/** Bounds on what callers may send. */
export type CallerLimits = {
	readonly bodyBytes: number;
	readonly headerBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** What operators have set, as far as the scheduler is concerned. */
export type FleetConfiguration = {
	readonly version: number;
	/** Longest prefix first, so that the first match is the best. */
	readonly routes: readonly QueueRoute[];
	readonly customerByKey: ReadonlyMap<string, string>;
	readonly limits: CallerLimits;
	readonly queues: ReadonlyMap<string, Queue>;
	readonly pools: ReadonlyMap<string, Pool>;
	readonly customers: ReadonlyMap<string, Customer>;
};

/** Machines that must be maintained, at most `concurrency` at once. */
export type WaveOrder = {
	readonly waveId: number;
	readonly machineIds: readonly string[];
	readonly withinMs: number;
	readonly concurrency: number;
};

/** One step of a job: equal tasks that may run once the steps before it are done. */
export type StepSpec = {
	readonly taskCount: number;
	readonly needs: Resources;
	/** The submitter's estimate of one task's run time; often off by half. */
	readonly estimateMs: number;
	/** Indexes of the steps that must be done first. */
	readonly after: readonly number[];
	readonly isCheckpointing: boolean;
	/** All tasks run together or not at all. */
	readonly isGang: boolean;
	/** Tasks slow down where they are spread over racks. */
	readonly prefersOneRack: boolean;
	readonly requiredLabel: string;
	/** Rack that holds the data; empty where any will do. */
	readonly dataRack: string;
	/** Tasks of the step on one worker at most; 0 means no limit. */
	readonly maxPerWorker: number;
	/** Tasks run until the job is cancelled. */
	readonly isLasting: boolean;
	readonly image: string;
	/** Bound of the response-time tail of a lasting task; 0 where there is none. */
	readonly targetMs: number;
	/** Tasks use the processor time that others leave, so their processor need is not counted. */
	readonly isFilling: boolean;
	/** Lasting tasks of the step that may be away at once through the scheduler's own doing; 0 means any number. */
	readonly mayMiss: number;
};

/** When a job's steps run: `count` times, the first at `firstDueWallMs`; a count of 0 means once, at once. */
export type Recurrence = {
	readonly count: number;
	readonly firstDueWallMs: number;
	readonly periodMs: number;
};

/** A job as it was accepted. */
export type JobSpec = {
	readonly jobId: string;
	readonly queue: string;
	/** Empty for jobs that were submitted without a key. */
	readonly customer: string;
	/** Handed to the workers as it is. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly recurrence: Recurrence;
	readonly acceptedWallMs: number;
};

export type JobOutcome = 'completed' | 'failed' | 'cancelled';
export type JobState = 'queued' | 'running' | JobOutcome;

/** What is kept of a job besides its specification. All of it only grows. */
export type JobProgress = {
	readonly outcome: JobOutcome | undefined;
	readonly endedWallMs: number | undefined;
	/** A task has been started. */
	readonly hasBegun: boolean;
	/** Indexes of the finished tasks by `occurrence.step`. */
	readonly doneTasks: Readonly<Record<string, readonly number[]>>;
	/** Attempts that ended in failure by `occurrence.step.index`. */
	readonly failures: Readonly<Record<string, readonly number[]>>;
};

/** A worker as it reports itself. */
export type WorkerEntry = {
	readonly workerId: string;
	readonly pool: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly isDraining: boolean;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	readonly rack: string;
	/** Start of this life of the worker; a worker that starts again knows nothing of before. */
	readonly bornWallMs: number | undefined;
};

/** How a run on a worker ended. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** One run that a worker lists as under way. */
export type RunningEntry = {
	readonly taskKey: string;
	readonly attempt: number;
	readonly checkpoint: string;
	/** Share of the work that is done; for lasting tasks 100 means at work. */
	readonly percent: number;
	/** Response-time tail in ms for lasting tasks with a target, processor use for the others. */
	readonly figure: number;
};

/** One run that a worker lists as ended. */
export type FinishedEntry = {
	/** Rises by one with each end in one life of the worker. */
	readonly sequence: number;
	readonly taskKey: string;
	readonly attempt: number;
	readonly end: RunEnd;
	readonly checkpoint: string;
};

/** What a worker answers when it is looked at. */
export type WorkerReport = {
	readonly clockMs: number;
	readonly bornWallMs: number | undefined;
	readonly running: readonly RunningEntry[];
	readonly finished: readonly FinishedEntry[];
};

export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine and the worker that lives on it. */
export type MachineEntry = {
	readonly machineId: string;
	readonly pool: string;
	readonly state: MachineState;
	readonly capacity: Resources;
	readonly workerId: string | undefined;
};
