/**
What the soak's own clients and workers have seen: jobs with their answers, and the runs of tasks. The checks judge by nothing else.
*/
import {type customers, type Queue} from './settings.js';
import {WakeUp} from './wake-up.js';

/** A step of a job, as it is sent. Fields are named by the users' page. */
export type Step = {
	readonly count: number;
	readonly cpu: number;
	readonly mem_mb: number;
	readonly estimate_ms: number;
	readonly after?: readonly number[];
	readonly image?: string;
	readonly persistent?: boolean;
	readonly target_ms?: number;
};

export type JobBody = {
	readonly spec: string;
	readonly phases: readonly Step[];
	readonly repeat_count?: number;
	readonly start_ms?: number;
	readonly period_ms?: number;
};

/** A job with all that its clients were told. Times are those of the steady clock. */
export type Job = {
	readonly id: string;
	readonly body: JobBody;
	readonly queue: Queue;
	readonly customer: typeof customers[number];
	readonly workMs: number;
	/** How often the runs of the first task of each occurrence fail before one ends done. */
	readonly failures: number;
	/** Time from its acceptance after which the job is cancelled. */
	readonly cancelAfterMs: number | undefined;
	refusals: number;
	/** Submissions that got another answer than 429 and 503, or none. */
	otherAnswers: number;
	acceptedAtMs: number | undefined;
	cancelSentAtMs: number | undefined;
	cancelledAtMs: number | undefined;
};

/** How a worker goes: by an order for its machine, by itself after it has drained, or by a crash. */
export type Loss = 'ordered away' | 'left' | 'crashed';

/** A start that a worker has carried out. */
export type Run = {
	readonly task: string;
	readonly attempt: number;
	readonly spec: string;
	readonly fence: number;
	readonly worker: string;
	/** The worker's service. */
	readonly service: string;
	readonly startedAtMs: number;
	/** Whether the order was carried out late. */
	readonly isLate: boolean;
	/** Millicores and megabytes in use on the worker with this run, for the check of its capacity. */
	readonly usedCpu: number;
	readonly usedMemoryMb: number;
	endedAtMs: number | undefined;
	how: 'done' | 'failed' | 'stopped' | 'lapsed' | 'gone' | undefined;
	/** Number of the end on its worker. */
	sequence: number | undefined;
	/** When the end was acknowledged. */
	notedAtMs: number | undefined;
	/** When the worker's lease lapsed between the end and its acknowledgement. */
	lapsedAtMs: number | undefined;
	/** Whether the worker ran nothing then. */
	wasIdleAtLapse: boolean;
	/** When an answer of the worker first listed the end. */
	listedAtMs: number | undefined;
	/** When and how its worker went, which kept the end until then. */
	lostAtMs: number | undefined;
	lostBy: Loss | undefined;
};

/** An answer to a GET for a job. */
export type Look = {
	readonly job: Job;
	readonly daemon: string;
	readonly atMs: number;
	readonly status: number;
	readonly state: string | undefined;
	/** Whether all tasks had ended done when the answer came. */
	readonly isDone: boolean;
	/** Whether a task had failed as often as it may when the answer came. */
	readonly hasFailed: boolean;
};

export type TaskName = {
	readonly id: string;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

export const parseTask = (task: string): TaskName => {
	const [id = '', occurrence, step, index] = task.split('.');
	return {
		id, occurrence: Number(occurrence), step: Number(step), index: Number(index),
	};
};

export const isLasting = (job: Job): boolean => job.body.phases.some(({persistent}) => persistent);

export const occurrencesOf = (job: Job): number => job.body.repeat_count ?? 1;

/** An end that was acknowledged, with the worker's lease in force all the while. */
export const isNoted = (run: Run): boolean => run.notedAtMs !== undefined && run.lapsedAtMs === undefined;

/** By the users' rules an end counts as acknowledged this long after its worker has listed it, with no disruption near. */
export const notedAfterListingMs = 100;

/** Until when the worker kept the end with its lease in force. */
export const keptUntilMs = ({lapsedAtMs = Number.POSITIVE_INFINITY, lostAtMs = Number.POSITIVE_INFINITY}: Run): number => Math.min(lapsedAtMs, lostAtMs);

/** An end that was listed for so long. */
export const isListedLong = (run: Run): boolean => run.listedAtMs !== undefined && run.listedAtMs + notedAfterListingMs <= keptUntilMs(run);

export class Ledger {
	readonly jobs = new Map<string, Job>();
	/** Woken when the last task of an accepted job has ended done. */
	readonly jobEnds = new WakeUp();
	/** Woken when a worker has answered a holder with its lists. */
	readonly listings = new WakeUp();
	/** Woken when a worker has begun a run. */
	readonly starts = new WakeUp();
	readonly runsByTask = new Map<string, Run[]>();
	readonly looks: Look[] = [];
	/** Answers that no client of a valid queue with a valid key may get. */
	readonly oddAnswers: string[] = [];

	get runs(): readonly Run[] {
		return [...this.runsByTask.values()].flat();
	}

	runsOf(task: string): readonly Run[] {
		return this.runsByTask.get(task) ?? [];
	}

	addRun(run: Run): void {
		const runs = this.runsByTask.get(run.task);
		if (runs === undefined) {
			this.runsByTask.set(run.task, [run]);
		} else {
			runs.push(run);
		}

		this.starts.notify();
	}

	/** The names of the tasks of one step and occurrence. */
	tasksOfStep(job: Job, occurrence: number, step: number): readonly string[] {
		return Array.from({length: job.body.phases[step]?.count ?? 0}, (_value, index) => `${job.id}.${occurrence}.${step}.${index}`);
	}

	tasksOf(job: Job): readonly string[] {
		return Array.from({length: occurrencesOf(job)}, (_value, occurrence) =>
			job.body.phases.flatMap((_step, step) => this.tasksOfStep(job, occurrence, step))).flat();
	}

	/** Whether a run of the task has ended done by the given time. */
	isDoneBy(task: string, atMs: number): boolean {
		return this.runsOf(task).some(({how, endedAtMs}) => how === 'done' && endedAtMs! <= atMs);
	}

	/** A run of the task has ended done. */
	noteDone(task: string, atMs: number): void {
		const job = this.jobs.get(parseTask(task).id);
		if (job?.acceptedAtMs !== undefined && this.tasksOf(job).every(each => this.isDoneBy(each, atMs))) {
			this.jobEnds.notify();
		}
	}

	failedRuns(task: string): number {
		return this.runsOf(task).filter(({how}) => how === 'failed').length;
	}
}
