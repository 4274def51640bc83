/**
What a process knows of jobs when it answers a caller. Processes that follow all job rows answer from their replica. The others, which are most processes of a large fleet, read the rows of the one job that a caller asks about: following every row in every process would cost store traffic and processor time in proportion to processes times jobs.
*/
import {type JobChange} from '../core/events.js';
import {type JobRecord} from '../core/records.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {type JobState} from '../types.js';

/** A job as far as callers may see it. */
export type KnownJob = {
	readonly customer: string;
	readonly state: JobState;
	/** The state is final and stored. */
	readonly isEnded: boolean;
};

/** Reads fail with a `PlatformError` if the store does not answer. */
export interface JobView {
	/** Returns the job without asking the store, if it is known and its answer cannot change any more. */
	findEnded(jobId: string): KnownJob | undefined;
	/** Resolves to the job as of a moment after this call, or to `undefined` if no such job is stored. */
	find(jobId: string): Promise<KnownJob | undefined>;
	/** Returns the job as last confirmed, if that was within `maxAgeMs`. */
	findRecent(jobId: string, maxAgeMs: number): KnownJob | undefined;
	/** Resolves to the number of the queue's accepted jobs of which no task has started. */
	countPending(queue: string): Promise<number>;
	/** Tells on what the view's answers rely. */
	describe(): ViewDescription;
}

/** What a view relies on: its name, and the age and revision of its copy and the number of changes that it read last, if it keeps one. */
export type ViewDescription = {
	readonly view: 'replica' | 'stored';
	readonly copyAgeMs?: number;
	readonly copyRevision?: number | undefined;
	readonly lastPageSize?: number | undefined;
};

/** Returns the state shown to callers. An outcome is shown only once it is stored, so that it is never reverted. */
const visibleStateOf = (job: JobRecord): JobState => {
	if (job.isOutcomeStored) {
		return job.outcome!;
	}

	if (job.isCancelRequested) {
		return 'cancelled';
	}

	return job.hasBegun ? 'running' : 'queued';
};

const knownJobOf = (job: JobRecord): KnownJob => ({customer: job.spec.customer, state: visibleStateOf(job), isEnded: job.isOutcomeStored});

export type ReplicaJobViewOptions = {
	readonly state: () => SchedulerState;
	/** Resolves once the replica contains everything that was acknowledged before the call. */
	readonly refresh: () => Promise<unknown>;
	/** Time since the replica was last confirmed. */
	readonly ageMs: () => number;
	/** The replica's revision and the number of changes in its newest answer, for diagnosis. */
	readonly copy?: () => {readonly revision: number | undefined; readonly lastPageSize: number};
};

/** The view of a process that follows all job rows. */
export class ReplicaJobView implements JobView {
	readonly #options: ReplicaJobViewOptions;

	constructor(options: ReplicaJobViewOptions) {
		this.#options = options;
	}

	findEnded(jobId: string): KnownJob | undefined {
		const known = this.#known(jobId);
		return known?.isEnded === true ? known : undefined;
	}

	async find(jobId: string): Promise<KnownJob | undefined> {
		await this.#options.refresh();
		return this.#known(jobId);
	}

	findRecent(jobId: string, maxAgeMs: number): KnownJob | undefined {
		return this.#options.ageMs() <= maxAgeMs ? this.#known(jobId) : undefined;
	}

	async countPending(queue: string): Promise<number> {
		await this.#options.refresh();
		return countPendingJobs(this.#options.state()).get(queue) ?? 0;
	}

	describe(): ViewDescription {
		const copy = this.#options.copy?.();
		return {
			view: 'replica', copyAgeMs: Math.round(this.#options.ageMs()), copyRevision: copy?.revision, lastPageSize: copy?.lastPageSize,
		};
	}

	#known(jobId: string): KnownJob | undefined {
		const job = this.#options.state().jobs.get(jobId);
		return job === undefined ? undefined : knownJobOf(job);
	}
}

export type StoredJobViewOptions = {
	/** Reads the rows of one job. */
	readonly readJob: (jobId: string) => Promise<readonly JobChange[]>;
	/** The pending jobs by queue as the lease holder last published them, or `undefined` if that was too long ago. */
	readonly publishedPending: () => ReadonlyMap<string, number> | undefined;
	/** Counts the pending jobs by queue from all job rows. */
	readonly readPending: () => Promise<ReadonlyMap<string, number>>;
};

/** The view of a process that does not follow the job rows. */
export class StoredJobView implements JobView {
	readonly #options: StoredJobViewOptions;

	constructor(options: StoredJobViewOptions) {
		this.#options = options;
	}

	findEnded(): undefined {
		return undefined;
	}

	async find(jobId: string): Promise<KnownJob | undefined> {
		return jobFromRows(await this.#options.readJob(jobId));
	}

	findRecent(): undefined {
		return undefined;
	}

	async countPending(queue: string): Promise<number> {
		const pending = this.#options.publishedPending() ?? await this.#options.readPending();
		return pending.get(queue) ?? 0;
	}

	describe(): ViewDescription {
		return {view: 'stored'};
	}
}

/** Returns the job that the rows describe, or `undefined` if its specification is not among them. */
const jobFromRows = (rows: readonly JobChange[]): KnownJob | undefined => {
	const accepted = rows.find(row => row.type === 'accepted');
	if (accepted === undefined) {
		return undefined;
	}

	const progress = rows.find(row => row.type === 'progressed')?.progress;
	const {customer} = accepted.job;
	if (progress?.outcome !== undefined) {
		return {customer, state: progress.outcome, isEnded: true};
	}

	if (rows.some(row => row.type === 'cancelled')) {
		return {customer, state: 'cancelled', isEnded: false};
	}

	return {customer, state: progress?.hasBegun === true ? 'running' : 'queued', isEnded: false};
};

/** Counts the accepted jobs of which no task has started, by queue. */
export const countPendingJobs = (state: SchedulerState): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {spec, hasBegun, isCancelRequested} of state.openJobs) {
		if (!hasBegun && !isCancelRequested) {
			counts.set(spec.queue, (counts.get(spec.queue) ?? 0) + 1);
		}
	}

	return counts;
};

/** Counts the accepted jobs without progress or cancellation, by queue, from the rows of all jobs. */
export const countPendingRows = (rows: readonly JobChange[]): ReadonlyMap<string, number> => {
	const begun = new Set(rows.flatMap(row => row.type === 'cancelled' || row.type === 'progressed' ? [row.jobId] : []));
	const counts = new Map<string, number>();
	for (const row of rows) {
		if (row.type === 'accepted' && !begun.has(row.job.jobId)) {
			counts.set(row.job.queue, (counts.get(row.job.queue) ?? 0) + 1);
		}
	}

	return counts;
};
