/**
Serves callers' requests on jobs: submit a job, query its state, cancel it, count a queue's pending jobs. Every process serves all of them, from its replica of the job rows and from the table service.

A job counts as accepted only once its row is stored. A caller is told that a job was not accepted only if its row was not stored and cannot be stored later; otherwise the outcome is reported as unknown.
*/
import {type CancelTimer, type Clock, type Logger} from '@poplarnotch/common';
import {ConflictError, PlatformError, WriteOutcomeUnknownError} from '@poplarnotch/platform';
import {type JobRecord} from '../core/records.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {
	type FleetConfiguration, type JobSpec, type JobState, type Queue,
} from '../types.js';
import {type JobStore} from './job-store.js';

/** The queue that a call addresses and the customer that makes it. */
export type CallTarget = {
	readonly queue: Queue;
	/** Empty on public queues. */
	readonly customer: string;
};

export type Admission
	= | {readonly type: 'admitted'; readonly target: CallTarget; readonly rest: string}
		| {readonly type: 'not-configured' | 'configuration-stale' | 'no-such-queue' | 'unknown-key'};

export type SubmitResult = 'accepted' | 'not-accepted' | 'unknown';
export type StatusResult = JobState | 'no-such-job' | 'unavailable';
export type CancelResult = 'cancelled' | 'no-such-job' | 'not-cancelled' | 'unknown';

/** Dependencies of the service. */
export type JobServiceOptions = {
	readonly state: () => SchedulerState;
	readonly store: JobStore;
	/** Resolves once the replica holds everything that was acknowledged before the call. */
	readonly refresh: () => Promise<void>;
	/** Age of the replica's content, since its last confirmed read. */
	readonly ageMs: () => number;
	/** Age of the operators' configuration, since its last confirmed read, and the maximum age at which calls are answered by it. */
	readonly configurationAgeMs: () => number;
	readonly maxConfigurationAgeMs: number;
	readonly clock: Clock;
	readonly log: Logger;
};

const maxCancelAttempts = 3;

/** How long a status query waits for a fresh replica: the time of a few store calls. After that the known state is returned. */
const statusRefreshTimeoutMs = 400;

/** State confirmed no longer ago than this is still shown if the store does not answer: callers accept 3 s. */
const maxStaleStateMs = 3000;

export class JobService {
	readonly #options: JobServiceOptions;

	constructor(options: JobServiceOptions) {
		this.#options = options;
	}

	get configuration(): FleetConfiguration {
		return this.#options.state().configuration;
	}

	/** Finds the queue that a call addresses and the customer of its key. */
	admit(host: string, path: string, key: string | undefined): Admission {
		const {configuration} = this;
		if (configuration.version === 0) {
			return {type: 'not-configured'};
		}

		// A process that cannot read the operators' changes does not know which queues and keys are valid.
		if (this.#options.configurationAgeMs() > this.#options.maxConfigurationAgeMs) {
			return {type: 'configuration-stale'};
		}

		const route = configuration.routes.find(candidate => candidate.host === host && path.startsWith(candidate.pathPrefix));
		const queue = route === undefined ? undefined : configuration.queues.get(route.queue);
		if (route === undefined || queue === undefined) {
			return {type: 'no-such-queue'};
		}

		const customer = queue.isPublic ? '' : configuration.customerByKey.get(key ?? '');
		return customer === undefined
			? {type: 'unknown-key'}
			: {type: 'admitted', target: {queue, customer}, rest: path.slice(route.pathPrefix.length)};
	}

	async submit(job: JobSpec): Promise<SubmitResult> {
		if (this.#options.state().jobs.has(job.jobId)) {
			this.#options.log.info({event: 'job_submitted_again', jobId: job.jobId, queue: job.queue});
			return 'accepted';
		}

		const sentAtMs = this.#options.clock.nowMs();
		const result = await this.#options.store.accept(job);
		this.#options.log.info({
			event: 'job_submitted', jobId: job.jobId, queue: job.queue, customer: job.customer, result, configuration: this.configuration.version, durationMs: Math.round(this.#options.clock.nowMs() - sentAtMs),
		});
		switch (result) {
			case 'accepted': {
				return 'accepted';
			}

			case 'unavailable': {
				return 'not-accepted';
			}

			case 'unknown': {
				return 'unknown';
			}
		}
	}

	async status(jobId: string, {customer}: CallTarget): Promise<StatusResult> {
		const known = this.#findJob(jobId, customer);
		if (known?.isOutcomeStored === true) {
			return known.outcome!;
		}

		const isFresh = await this.#refreshWithin(statusRefreshTimeoutMs, 'status', jobId);
		const job = this.#findJob(jobId, customer);
		if (job !== undefined && (isFresh || this.#options.ageMs() <= maxStaleStateMs)) {
			return visibleState(job);
		}

		return isFresh ? 'no-such-job' : 'unavailable';
	}

	async cancel(jobId: string, {customer}: CallTarget): Promise<CancelResult> {
		const isFresh = await this.#refreshReplica('cancel', jobId);
		const job = this.#findJob(jobId, customer);
		if (job === undefined) {
			return isFresh ? 'no-such-job' : 'not-cancelled';
		}

		if (job.isOutcomeStored) {
			return 'cancelled';
		}

		return this.#storeCancel(jobId);
	}

	/** Returns the number of the queue's accepted jobs of which no task has started. */
	async countPending({queue}: CallTarget): Promise<number> {
		await this.#refreshReplica('count', queue.name);
		let count = 0;
		for (const job of this.#options.state().openJobs) {
			if (job.spec.queue === queue.name && !job.hasBegun && !job.isCancelRequested) {
				count++;
			}
		}

		return count;
	}

	async #storeCancel(jobId: string): Promise<CancelResult> {
		let mayBeStored = false;
		for (let attempt = 0; attempt < maxCancelAttempts; attempt++) {
			try {
				await this.#options.store.cancel(jobId);
				this.#options.log.info({event: 'job_cancel_stored', jobId, attempt});
				return 'cancelled';
			} catch (error) {
				if (!(error instanceof PlatformError) || error instanceof ConflictError) {
					throw error;
				}

				mayBeStored ||= error instanceof WriteOutcomeUnknownError;
				this.#options.log.warn({
					event: 'job_cancel_not_stored', jobId, attempt, reason: error.message,
				});
			}
		}

		return mayBeStored ? 'unknown' : 'not-cancelled';
	}

	#findJob(jobId: string, customer: string): JobRecord | undefined {
		const job = this.#options.state().jobs.get(jobId);
		return job === undefined || (customer !== '' && job.spec.customer !== customer) ? undefined : job;
	}

	async #refreshWithin(waitMs: number, purpose: string, subject: string): Promise<boolean> {
		let cancel: CancelTimer | undefined;
		const timeout = new Promise<boolean>(resolve => {
			cancel = this.#options.clock.schedule(waitMs, () => {
				resolve(false);
			});
		});
		try {
			return await Promise.race([this.#refreshReplica(purpose, subject), timeout]);
		} finally {
			cancel?.();
		}
	}

	async #refreshReplica(purpose: string, subject: string): Promise<boolean> {
		try {
			await this.#options.refresh();
			return true;
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#options.log.warn({
				event: 'refresh_failed', purpose, subject, reason: error.message,
			});
			return false;
		}
	}
}

/** Returns the state shown to callers. An outcome is shown only once it is stored, so that it is never reverted. */
const visibleState = (job: JobRecord): JobState => {
	if (job.isOutcomeStored) {
		return job.outcome!;
	}

	if (job.isCancelRequested) {
		return 'cancelled';
	}

	return job.hasBegun ? 'running' : 'queued';
};
