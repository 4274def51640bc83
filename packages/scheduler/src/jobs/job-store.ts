/**
Writes jobs to the table service and reads single jobs from it. Jobs of one partition that arrive while a commit is in flight are committed together in the next one. A job's row is only ever created, so a commit with an unknown outcome is simply repeated: a row that exists already shows that the job is stored.
*/
import {type Clock, type Logger} from '@poplarnotch/common';
import {
	absentVersion, ConflictError, RejectedError, type RowCondition, type RowWrite, type TableService, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type JobChange, type JobEnds, type ProgressSave} from '../core/events.js';
import {waveKey} from '../shell/wave-rows.js';
import {type JobSpec} from '../types.js';
import {
	cancelKey, earlierJobKey, endsKey, endsToJson, jobChangeFrom, jobKey, jobToJson, partitionOf, progressKey, progressToJson,
} from './rows.js';

/** Result of storing a submitted job. */
export type AcceptResult
	= | 'accepted'
	/** The row was not stored and will not be. */
		| 'unavailable'
	/** The row may have been written, or may still be. */
		| 'unknown'
	/** The store takes no row of this size or form, also not later. */
		| 'invalid';

type PendingJob = {
	readonly job: JobSpec;
	readonly resolve: (result: AcceptResult) => void;
	/** A commit without an answer may have been applied, or may still be. */
	mayBeStored: boolean;
};

/** The jobs and waves of a save whose rows the store refused. */
export type RefusedProgress = {
	readonly refusedJobIds: readonly string[];
	readonly refusedWaveIds: readonly number[];
};

/** How rows are committed that the store may refuse one by one. */
type CommitTarget = {
	readonly table: TableService;
	readonly conditions: readonly RowCondition[];
	/** Event of the log line for a refusal. */
	readonly refusedEvent: string;
};

/** Maximum number of jobs in one transaction; the store limits the number of its conditions and writes together. */
const maxJobsPerCommit = 40;

/** Maximum number of progress rows in one transaction, besides the fence condition. */
const maxProgressRowsPerCommit = 80;

/** How often a failed commit is retried, and the delay before a retry: by the second attempt, the connection has detected the loss of a network path. */
const maxRetries = 3;
const retryPauseMs = 30;

/** A job's partition holds its specification and, once it was cancelled, its cancellation. */
const rowsPerJob = 2;

export type JobStoreOptions = {
	readonly table: TableService;
	/** The same table, which resolves commits with lost answers, so that no commit is applied after a later one. */
	readonly resolvingTable: TableService;
	readonly clock: Clock;
	readonly log: Logger;
};

export class JobStore {
	readonly #table: TableService;
	readonly #resolvingTable: TableService;
	readonly #clock: Clock;
	readonly #log: Logger;
	/** Jobs that wait for the commit in flight, by partition. A partition has an entry while its jobs are being committed for the first time. */
	readonly #waiting = new Map<string, PendingJob[]>();

	constructor(options: JobStoreOptions) {
		this.#table = options.table;
		this.#resolvingTable = options.resolvingTable;
		this.#clock = options.clock;
		this.#log = options.log;
	}

	/** Stores a job; the job is accepted once this resolves to `accepted`. */
	async accept(job: JobSpec): Promise<AcceptResult> {
		return new Promise(resolve => {
			const pendingJob = {job, resolve, mayBeStored: false};
			const partition = partitionOf(job.jobId);
			const waiting = this.#waiting.get(partition);
			if (waiting === undefined) {
				this.#waiting.set(partition, [pendingJob]);
				void this.#commitPartition(partition);
			} else {
				waiting.push(pendingJob);
			}
		});
	}

	/** Stores a job's cancellation. Throws the errors of a commit; may be repeated. */
	async cancel(jobId: string): Promise<void> {
		await this.#table.commit({
			conditions: [],
			writes: [{type: 'put', key: cancelKey(jobId), value: {requestedWallMs: this.#clock.wallTimeMs()}}],
		});
	}

	/** Stores progress under the fence, in as many transactions as needed, and resolves to what of it the store refused. Throws the errors of a commit. A row holds all progress of its job, so a write applied late would overwrite newer progress; the resolving table prevents that. */
	async save(save: ProgressSave, fence: RowCondition): Promise<RefusedProgress> {
		const rows = [
			...save.jobs.map(({jobId, progress, isRetry}) => ({isRetry, write: {type: 'put', key: progressKey(jobId), value: progressToJson(progress)} satisfies RowWrite})),
			...save.waves.map(({
				waveId, maintained, isCompleted, isRetry,
			}) => ({isRetry, write: {type: 'put', key: waveKey(waveId), value: {maintained, isCompleted}} satisfies RowWrite})),
		];
		// Rows that were refused before come last, so that they divide no transaction of others.
		const refusedKeys = new Set([
			...await this.#saveInParts(rows.filter(({isRetry}) => isRetry !== true).map(({write}) => write), fence),
			...await this.#saveInParts(rows.filter(({isRetry}) => isRetry === true).map(({write}) => write), fence),
		]);
		return {
			refusedJobIds: save.jobs.map(({jobId}) => jobId).filter(jobId => refusedKeys.has(progressKey(jobId))),
			refusedWaveIds: save.waves.map(({waveId}) => waveId).filter(waveId => refusedKeys.has(waveKey(waveId))),
		};
	}

	/** Records ends without a fence, each job's in a row that has not been written before. Throws the errors of a commit; may be repeated with the same `recordId`. */
	async recordEnds(jobs: readonly JobEnds[], recordId: string): Promise<void> {
		const writes = jobs.map(({jobId, ends}): RowWrite => ({type: 'put', key: endsKey(jobId, recordId), value: endsToJson(ends)}));
		for (const part of partsOf(writes)) {
			await this.#commitDividing({table: this.#table, conditions: [], refusedEvent: 'ends_rejected'}, part);
		}
	}

	/** Removes a row of a job whose retention time has passed. */
	async remove(key: string): Promise<void> {
		await this.#table.commit({conditions: [], writes: [{type: 'delete', key}]});
	}

	/** Reads the stored rows of one job, its specification first; empty if the job is not stored. */
	async read(jobId: string): Promise<readonly JobChange[]> {
		const [changes, progressRows] = await Promise.all([
			this.#readUnder(jobKey(jobId), jobId),
			this.#table.readRows([progressKey(jobId)]),
		]);
		const isStored = changes.some(({type}) => type === 'accepted');
		const earlier = isStored ? [] : await this.#readUnder(earlierJobKey(jobId), jobId);
		return [...earlier, ...changes, ...progressRows.flatMap(row => jobChangeFrom(row) ?? [])];
	}

	async #readUnder(key: string, jobId: string): Promise<readonly JobChange[]> {
		const {rows} = await this.#table.readPrefix(key, {limit: rowsPerJob});
		return rows.flatMap(row => {
			const change = jobChangeFrom(row);
			return change === undefined || jobIdOf(change) !== jobId ? [] : [change];
		});
	}

	async #saveInParts(writes: readonly RowWrite[], fence: RowCondition): Promise<readonly string[]> {
		const target: CommitTarget = {table: this.#resolvingTable, conditions: [fence], refusedEvent: 'save_rejected'};
		const parts = partsOf(writes).map(async part => this.#commitDividing(target, part));
		// A part of unknown outcome may still be applied, so none is left behind when another one fails.
		await Promise.allSettled(parts);
		const refusedKeys = await Promise.all(parts);
		return refusedKeys.flat();
	}

	/** Commits the writes together. If the store rejects them for their size or form, each half is committed on its own: one row must not keep the others from being stored. Resolves to the keys of the rows that are rejected by themselves. */
	async #commitDividing(target: CommitTarget, writes: readonly RowWrite[]): Promise<readonly string[]> {
		const {table, conditions, refusedEvent} = target;
		try {
			await table.commit({conditions, writes});
			return [];
		} catch (error) {
			if (!(error instanceof RejectedError)) {
				throw error;
			}

			this.#log.error({
				event: refusedEvent, rows: writes.length, key: writes[0]!.key, reason: error.message,
			});
			if (writes.length === 1) {
				return [writes[0]!.key];
			}

			const middle = Math.ceil(writes.length / 2);
			return [...await this.#commitDividing(target, writes.slice(0, middle)), ...await this.#commitDividing(target, writes.slice(middle))];
		}
	}

	async #commitPartition(partition: string): Promise<void> {
		const waiting = this.#waiting.get(partition)!;
		while (waiting.length > 0) {
			await this.#commitBatch(waiting.splice(0, maxJobsPerCommit));
		}

		this.#waiting.delete(partition);
	}

	async #commitBatch(batch: readonly PendingJob[], attempt = 0): Promise<void> {
		try {
			await this.#table.commit({
				conditions: batch.map(({job}) => ({key: jobKey(job.jobId), version: absentVersion})),
				writes: batch.map(({job}) => ({type: 'put', key: jobKey(job.jobId), value: jobToJson(job)})),
			});
			resolveAll(batch, 'accepted');
		} catch (error) {
			if (error instanceof ConflictError) {
				await this.#acceptStored(batch, error, attempt);
				return;
			}

			if (error instanceof RejectedError) {
				await this.#commitSingly(batch, error, attempt);
				return;
			}

			if (!(error instanceof UnavailableError || error instanceof WriteOutcomeUnknownError)) {
				throw error;
			}

			this.#handleFailure(batch, error, attempt);
		}
	}

	/** The store rejects a whole transaction for one row, so each job is committed on its own; a single job is reported as invalid. */
	async #commitSingly(batch: readonly PendingJob[], error: RejectedError, attempt: number): Promise<void> {
		this.#log.warn({
			event: 'jobs_rejected', jobs: batch.length, jobId: batch[0]!.job.jobId, reason: error.message,
		});
		if (batch.length === 1) {
			resolveAll(batch, 'invalid');
			return;
		}

		await Promise.all(batch.map(async pendingJob => this.#commitBatch([pendingJob], attempt)));
	}

	/** Jobs whose rows exist were stored by an earlier attempt or through another process; the rest of the batch is committed again. */
	async #acceptStored(batch: readonly PendingJob[], {conflicts}: ConflictError, attempt: number): Promise<void> {
		const storedKeys = new Set(conflicts.map(({key}) => key));
		const isStored = ({job}: PendingJob): boolean => storedKeys.has(jobKey(job.jobId));
		if (!batch.some(pendingJob => isStored(pendingJob))) {
			// Some row exists, but the answer does not tell which.
			this.#handleFailure(batch, new WriteOutcomeUnknownError('conflict that names no job'), attempt);
			return;
		}

		this.#log.info({event: 'jobs_already_stored', jobs: storedKeys.size, attempt});
		resolveAll(batch.filter(pendingJob => isStored(pendingJob)), 'accepted');
		const rest = batch.filter(pendingJob => !isStored(pendingJob));
		if (rest.length > 0) {
			await this.#commitBatch(rest, attempt);
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
			// Not awaited: jobs that arrived later are committed meanwhile, possibly over another path.
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

/** Divides the writes into parts that fit into a transaction. */
const partsOf = (writes: readonly RowWrite[]): ReadonlyArray<readonly RowWrite[]> =>
	Array.from({length: Math.ceil(writes.length / maxProgressRowsPerCommit)}, (_value, index) => writes.slice(index * maxProgressRowsPerCommit, (index + 1) * maxProgressRowsPerCommit));

const jobIdOf = (change: JobChange): string => change.type === 'accepted' ? change.job.jobId : change.jobId;

const resolveAll = (jobs: readonly PendingJob[], result: AcceptResult): void => {
	for (const {resolve} of jobs) {
		resolve(result);
	}
};
