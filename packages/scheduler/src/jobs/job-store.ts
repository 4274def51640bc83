/**
Writes jobs to the table service. Jobs that arrive while a commit is under way are committed together with the next one. Writing a job's row again changes nothing, so a commit whose outcome is unknown is simply repeated.
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

/** How the acceptance of a job went. */
export type AcceptResult
	= | 'accepted'
	/** Nothing was stored and nothing will be. */
		| 'unavailable'
	/** The row may still be written. */
		| 'unknown';

type WaitingJob = {
	readonly job: JobSpec;
	readonly resolve: (result: AcceptResult) => void;
	/** An attempt without an answer may have been applied, or may still be. */
	mayBeStored: boolean;
};

/** Rows that one transaction may hold at most, conditions and writes together. */
const maxBatchJobs = 40;

/** Rows of progress in one transaction, beside the fence. */
const maxSavedRows = 80;

/** How often a commit is repeated whose outcome is unknown, and the pause before: by the second try a lost path has been noticed. */
const maxRepeats = 3;
const repeatPauseMs = 30;

export type JobStoreOptions = {
	readonly processId: string;
	readonly table: TableService;
	/** Settles lost answers, so that no commit is applied after a later one. */
	readonly settledTable: TableService;
	readonly clock: Clock;
	readonly log: Logger;
};

export class JobStore {
	readonly #processId: string;
	readonly #table: TableService;
	readonly #settledTable: TableService;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #waiting: WaitingJob[] = [];
	#isCommitting = false;

	constructor(options: JobStoreOptions) {
		this.#processId = options.processId;
		this.#table = options.table;
		this.#settledTable = options.settledTable;
		this.#clock = options.clock;
		this.#log = options.log;
	}

	/** Stores a job; it is accepted once this resolves to `accepted` or `known`. */
	async accept(job: JobSpec): Promise<AcceptResult> {
		return new Promise(resolve => {
			this.#waiting.push({job, resolve, mayBeStored: false});
			void this.#commitWaiting();
		});
	}

	/** Stores that a job is cancelled. Fails as commits do; may be repeated. */
	async cancel(jobId: string): Promise<void> {
		await this.#table.commit({
			conditions: [],
			writes: [{type: 'put', key: cancelKey(this.#processId, jobId), value: {requestedWallMs: this.#clock.wallTimeMs()}}],
		});
	}

	/** Stores progress under the fence, in as many transactions as it takes. Fails as commits do. A row holds all progress of its job, so a write that came late would undo newer progress; settled commits rule that out. */
	async save(save: ProgressSave, fence: RowCondition): Promise<void> {
		const writes: RowWrite[] = [
			...save.jobs.map(({jobId, progress}): RowWrite => ({type: 'put', key: progressKey(jobId), value: progressToJson(progress)})),
			...save.waves.map(({waveId, maintained, isCompleted}): RowWrite => ({type: 'put', key: waveKey(waveId), value: {maintained, isCompleted}})),
		];
		for (let from = 0; from < writes.length; from += maxSavedRows) {
			await this.#settledTable.commit({conditions: [fence], writes: writes.slice(from, from + maxSavedRows)});
		}
	}

	/** Removes a row of a job that has ended long ago. */
	async remove(key: string): Promise<void> {
		await this.#table.commit({conditions: [], writes: [{type: 'delete', key}]});
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

	async #commitBatch(batch: readonly WaitingJob[], attempt = 0): Promise<void> {
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

			this.#settleFailure(batch, error, attempt);
		}
	}

	/** Jobs are refused only where no attempt can have been applied. */
	#settleFailure(batch: readonly WaitingJob[], error: UnavailableError | WriteOutcomeUnknownError, attempt: number): void {
		const {mayBeApplied} = error;
		this.#log.warn({
			event: 'jobs_not_stored', jobs: batch.length, attempt, mayBeApplied, reason: error.message,
		});
		for (const waiting of batch) {
			waiting.mayBeStored ||= mayBeApplied;
		}

		if (attempt < maxRepeats) {
			void this.#commitAgain(batch, attempt + 1);
			return;
		}

		resolveAll(batch.filter(({mayBeStored}) => mayBeStored), 'unknown');
		resolveAll(batch.filter(({mayBeStored}) => !mayBeStored), 'unavailable');
	}

	async #commitAgain(batch: readonly WaitingJob[], attempt: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#clock.schedule(repeatPauseMs, resolve);
		});
		await this.#commitBatch(batch, attempt);
	}
}

const resolveAll = (jobs: readonly WaitingJob[], result: AcceptResult): void => {
	for (const {resolve} of jobs) {
		resolve(result);
	}
};
