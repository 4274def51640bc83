/**
Writes jobs to the table service. Jobs that arrive while a commit is under way are committed together with the next one. A job's row is written under the condition that it is absent, so a repeated submission finds the first one.
*/
import {type Clock, type Logger} from '@poplarnotch/common';
import {
	absentVersion, ConflictError, type RowCondition, type RowWrite, type TableService, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type ProgressSave} from '../core/events.js';
import {type JobSpec} from '../types.js';
import {
	cancelKey, jobKey, jobToJson, progressKey, progressToJson,
} from './rows.js';

/** How the acceptance of a job went. */
export type AcceptResult
	= | 'accepted'
	/** The job was accepted before. */
		| 'known'
	/** Nothing was stored and nothing will be. */
		| 'unavailable'
	/** The row may still be written. */
		| 'unknown';

type WaitingJob = {
	readonly job: JobSpec;
	readonly resolve: (result: AcceptResult) => void;
};

/** Rows that one transaction may hold at most, conditions and writes together. */
const maxBatchJobs = 40;

/** Rows of progress in one transaction, beside the fence. */
const maxSavedRows = 80;

/** How often an acceptance with an unknown outcome is read back. */
const readBackAttempts = 3;
const readBackPauseMs = 120;

export type JobStoreOptions = {
	readonly table: TableService;
	readonly clock: Clock;
	readonly log: Logger;
};

export class JobStore {
	readonly #table: TableService;
	readonly #clock: Clock;
	readonly #log: Logger;
	#waiting: WaitingJob[] = [];
	#isCommitting = false;

	constructor(options: JobStoreOptions) {
		this.#table = options.table;
		this.#clock = options.clock;
		this.#log = options.log;
	}

	/** Stores a job; it is accepted once this resolves to `accepted` or `known`. */
	async accept(job: JobSpec): Promise<AcceptResult> {
		return new Promise(resolve => {
			this.#waiting.push({job, resolve});
			void this.#commitWaiting();
		});
	}

	/** Stores that a job is cancelled. Fails as commits do; may be repeated. */
	async cancel(jobId: string): Promise<void> {
		await this.#table.commit({
			conditions: [],
			writes: [{type: 'put', key: cancelKey(jobId), value: {requestedWallMs: this.#clock.wallTimeMs()}}],
		});
	}

	/** Stores progress under the fence, in as many transactions as it takes. Fails as commits do; may be repeated, since later progress contains the earlier. */
	async save(save: ProgressSave, fence: RowCondition): Promise<void> {
		const writes: RowWrite[] = [
			...save.jobs.map(({jobId, progress}): RowWrite => ({type: 'put', key: progressKey(jobId), value: progressToJson(progress)})),
			...save.waves.map(({waveId, maintained, isCompleted}): RowWrite => ({type: 'put', key: `waves/${waveId}`, value: {maintained, isCompleted}})),
		];
		for (let from = 0; from < writes.length; from += maxSavedRows) {
			await this.#table.commit({conditions: [fence], writes: writes.slice(from, from + maxSavedRows)});
		}
	}

	/** Removes everything that is kept of a job. */
	async remove(jobIds: readonly string[], fence: RowCondition): Promise<void> {
		await this.#table.commit({
			conditions: [fence],
			writes: jobIds.flatMap(jobId => [cancelKey(jobId), progressKey(jobId), jobKey(jobId)].map((key): RowWrite => ({type: 'delete', key}))),
		});
	}

	async #commitWaiting(): Promise<void> {
		if (this.#isCommitting) {
			return;
		}

		this.#isCommitting = true;
		while (this.#waiting.length > 0) {
			const batch = this.#waiting.splice(0, maxBatchJobs);
			await this.#commitBatch(batch);
		}

		this.#isCommitting = false;
	}

	async #commitBatch(batch: readonly WaitingJob[]): Promise<void> {
		try {
			await this.#table.commit({
				conditions: batch.map(({job}) => ({key: jobKey(job.jobId), version: absentVersion})),
				writes: batch.map(({job}) => ({type: 'put', key: jobKey(job.jobId), value: jobToJson(job)})),
			});
			resolveAll(batch, 'accepted');
		} catch (error) {
			await this.#settle(batch, error);
		}
	}

	async #settle(batch: readonly WaitingJob[], error: unknown): Promise<void> {
		if (error instanceof ConflictError) {
			const known = new Set(error.conflicts.filter(({actualVersion}) => actualVersion !== absentVersion).map(({key}) => key));
			resolveAll(batch.filter(({job}) => known.has(jobKey(job.jobId))), 'known');
			const rest = batch.filter(({job}) => !known.has(jobKey(job.jobId)));
			if (rest.length === batch.length) {
				resolveAll(rest, 'unavailable');
			} else if (rest.length > 0) {
				await this.#commitBatch(rest);
			}
		} else if (error instanceof UnavailableError) {
			this.#log.warn({event: 'jobs_not_stored', jobs: batch.length, reason: error.message});
			resolveAll(batch, 'unavailable');
		} else if (error instanceof WriteOutcomeUnknownError) {
			this.#log.warn({event: 'jobs_store_unknown', jobs: batch.length, reason: error.message});
			void this.#readBack(batch);
		} else {
			throw error;
		}
	}

	/** Finds out whether a commit without an answer was applied. What is absent may still be written later, so it stays unknown. */
	async #readBack(batch: readonly WaitingJob[]): Promise<void> {
		let rest = batch;
		for (let attempt = 0; attempt < readBackAttempts && rest.length > 0; attempt++) {
			await new Promise<void>(resolve => {
				this.#clock.schedule(readBackPauseMs, resolve);
			});
			try {
				const rows = await this.#table.readRows(rest.map(({job}) => jobKey(job.jobId)));
				const stored = new Set(rows.map(row => row.key));
				resolveAll(rest.filter(({job}) => stored.has(jobKey(job.jobId))), 'accepted');
				rest = rest.filter(({job}) => !stored.has(jobKey(job.jobId)));
			} catch (error) {
				if (!(error instanceof UnavailableError)) {
					throw error;
				}

				this.#log.warn({event: 'jobs_read_back_failed', jobs: rest.length, reason: error.message});
			}
		}

		resolveAll(rest, 'unknown');
	}
}

const resolveAll = (jobs: readonly WaitingJob[], result: AcceptResult): void => {
	for (const {resolve} of jobs) {
		resolve(result);
	}
};
