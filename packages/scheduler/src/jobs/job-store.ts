/**
Writes jobs to the table service. Jobs that arrive while a commit is in flight are committed together in the next one. Writing a job's row again changes nothing, so a commit with an unknown outcome is simply repeated.
*/
import {type Clock, type Logger} from '@poplarnotch/common';
import {
	type RowCondition, type RowWrite, type TableService, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type ProgressSave} from '../core/events.js';
import {waveKey} from '../shell/wave-rows.js';
import {type JobSpec} from '../types.js';
import {
	cancelKey, jobKey, jobToJson, progressKey, progressToJson,
} from './rows.js';

/** Result of storing a submitted job. */
export type AcceptResult
	= | 'accepted'
	/** The row was not stored and will not be. */
		| 'unavailable'
	/** The row may have been written, or may still be. */
		| 'unknown';

type PendingJob = {
	readonly job: JobSpec;
	readonly resolve: (result: AcceptResult) => void;
	/** A commit without an answer may have been applied, or may still be. */
	mayBeStored: boolean;
};

/** Maximum number of jobs in one transaction; the store limits a transaction's rows, conditions and writes together. */
const maxJobsPerCommit = 40;

/** Maximum number of progress rows in one transaction, besides the fence condition. */
const maxProgressRowsPerCommit = 80;

/** How often a failed commit is retried, and the delay before a retry: by the second attempt, the connection has detected the loss of a network path. */
const maxRetries = 3;
const retryPauseMs = 30;

export type JobStoreOptions = {
	readonly processId: string;
	readonly table: TableService;
	/** The same table, which resolves commits with lost answers, so that no commit is applied after a later one. */
	readonly resolvingTable: TableService;
	readonly clock: Clock;
	readonly log: Logger;
};

export class JobStore {
	readonly #processId: string;
	readonly #table: TableService;
	readonly #resolvingTable: TableService;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #pendingJobs: PendingJob[] = [];
	#isCommitting = false;

	constructor(options: JobStoreOptions) {
		this.#processId = options.processId;
		this.#table = options.table;
		this.#resolvingTable = options.resolvingTable;
		this.#clock = options.clock;
		this.#log = options.log;
	}

	/** Stores a job; the job is accepted once this resolves to `accepted`. */
	async accept(job: JobSpec): Promise<AcceptResult> {
		return new Promise(resolve => {
			this.#pendingJobs.push({job, resolve, mayBeStored: false});
			void this.#commitPending();
		});
	}

	/** Stores a job's cancellation. Throws the errors of a commit; may be repeated. */
	async cancel(jobId: string): Promise<void> {
		await this.#table.commit({
			conditions: [],
			writes: [{type: 'put', key: cancelKey(this.#processId, jobId), value: {requestedWallMs: this.#clock.wallTimeMs()}}],
		});
	}

	/** Stores progress under the fence, in as many transactions as needed. Throws the errors of a commit. A row holds all progress of its job, so a write applied late would overwrite newer progress; the resolving table prevents that. */
	async save(save: ProgressSave, fence: RowCondition): Promise<void> {
		const writes: RowWrite[] = [
			...save.jobs.map(({jobId, progress}): RowWrite => ({type: 'put', key: progressKey(jobId), value: progressToJson(progress)})),
			...save.waves.map(({waveId, maintained, isCompleted}): RowWrite => ({type: 'put', key: waveKey(waveId), value: {maintained, isCompleted}})),
		];
		for (let from = 0; from < writes.length; from += maxProgressRowsPerCommit) {
			await this.#resolvingTable.commit({conditions: [fence], writes: writes.slice(from, from + maxProgressRowsPerCommit)});
		}
	}

	/** Removes a row of a job whose retention time has passed. */
	async remove(key: string): Promise<void> {
		await this.#table.commit({conditions: [], writes: [{type: 'delete', key}]});
	}

	async #commitPending(): Promise<void> {
		if (this.#isCommitting) {
			return;
		}

		this.#isCommitting = true;
		while (this.#pendingJobs.length > 0) {
			const batch = this.#pendingJobs.splice(0, maxJobsPerCommit);
			await this.#commitBatch(batch);
		}

		this.#isCommitting = false;
	}

	async #commitBatch(batch: readonly PendingJob[], attempt = 0): Promise<void> {
		try {
			await this.#table.commit({
				conditions: [],
				writes: batch.map(({job}) => ({type: 'put', key: jobKey(this.#processId, job.jobId), value: jobToJson(job)})),
			});
			resolveAll(batch, 'accepted');
		} catch (error) {
			if (!(error instanceof UnavailableError || error instanceof WriteOutcomeUnknownError)) {
				throw error;
			}

			this.#handleFailure(batch, error, attempt);
		}
	}

	/** Retries the commit or reports the failure. Jobs are reported as not stored only if no attempt can have been applied. */
	#handleFailure(batch: readonly PendingJob[], error: UnavailableError | WriteOutcomeUnknownError, attempt: number): void {
		const {mayBeApplied} = error;
		this.#log.warn({
			event: 'jobs_not_stored', jobs: batch.length, attempt, mayBeApplied, reason: error.message,
		});
		for (const pendingJob of batch) {
			pendingJob.mayBeStored ||= mayBeApplied;
		}

		if (attempt < maxRetries) {
			void this.#retryCommit(batch, attempt + 1);
			return;
		}

		resolveAll(batch.filter(({mayBeStored}) => mayBeStored), 'unknown');
		resolveAll(batch.filter(({mayBeStored}) => !mayBeStored), 'unavailable');
	}

	async #retryCommit(batch: readonly PendingJob[], attempt: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#clock.schedule(retryPauseMs, resolve);
		});
		await this.#commitBatch(batch, attempt);
	}
}

const resolveAll = (jobs: readonly PendingJob[], result: AcceptResult): void => {
	for (const {resolve} of jobs) {
		resolve(result);
	}
};
