/**
What callers can do with jobs: hand one in, ask for its state, cancel it, count a queue's waiting jobs. Every process answers all of it, from its replica of the job rows and from the table service.

A job counts as accepted only once its row is stored. "Not run" is said only where nothing was stored and nothing can be; where that is not certain the caller is told so.
*/
import {type CancelTimer, type Clock, type Logger} from '@poplarnotch/common';
import {ConflictError, PlatformError, WriteOutcomeUnknownError} from '@poplarnotch/platform';
import {type JobRecord} from '../core/records.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {
	type FleetConfiguration, type JobSpec, type JobState, type Queue,
} from '../types.js';
import {type JobStore} from './job-store.js';

/** Who calls, for which queue. */
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

/** What the desk knows of its process. */
export type JobDeskOptions = {
	readonly state: () => SchedulerState;
	readonly store: JobStore;
	/** Resolves once the replica holds everything that was acknowledged before the call. */
	readonly refresh: () => Promise<void>;
	/** Age of what the replica holds, by its newest confirmed read. */
	readonly ageMs: () => number;
	/** Age of the operators' configuration, by its newest confirmed read, and up to which age calls may be answered by it. */
	readonly configurationAgeMs: () => number;
	readonly maxConfigurationAgeMs: number;
	readonly clock: Clock;
	readonly log: Logger;
};

const cancelAttempts = 3;

/** How long a caller who asks for a state waits for the newest: a few answers of the store. After that, what is known is shown. */
const statusWaitMs = 400;

/** State that was confirmed this long ago is still shown where the store does not answer: callers accept 3 s. */
const shownStateMaxAgeMs = 3000;

export class JobDesk {
	readonly #options: JobDeskOptions;

	constructor(options: JobDeskOptions) {
		this.#options = options;
	}

	get configuration(): FleetConfiguration {
		return this.#options.state().configuration;
	}

	/** Finds the queue of a call and the customer of its key. */
	admit(host: string, path: string, key: string | undefined): Admission {
		const {configuration} = this;
		if (configuration.version === 0) {
			return {type: 'not-configured'};
		}

		// A process that cannot see the operators' changes does not know which queues and keys hold.
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
		const known = this.#find(jobId, customer);
		if (known?.isOutcomeStored === true) {
			return known.outcome!;
		}

		const isFresh = await this.#refreshWithin(statusWaitMs, 'status', jobId);
		const job = this.#find(jobId, customer);
		if (job !== undefined && (isFresh || this.#options.ageMs() <= shownStateMaxAgeMs)) {
			return shownState(job);
		}

		return isFresh ? 'no-such-job' : 'unavailable';
	}

	async cancel(jobId: string, {customer}: CallTarget): Promise<CancelResult> {
		const isFresh = await this.#tryRefresh('cancel', jobId);
		const job = this.#find(jobId, customer);
		if (job === undefined) {
			return isFresh ? 'no-such-job' : 'not-cancelled';
		}

		if (job.isOutcomeStored) {
			return 'cancelled';
		}

		return this.#storeCancel(jobId);
	}

	/** Accepted jobs of the queue of which no task has started. */
	async countPending({queue}: CallTarget): Promise<number> {
		await this.#tryRefresh('count', queue.name);
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
		for (let attempt = 0; attempt < cancelAttempts; attempt++) {
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

	#find(jobId: string, customer: string): JobRecord | undefined {
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
			return await Promise.race([this.#tryRefresh(purpose, subject), timeout]);
		} finally {
			cancel?.();
		}
	}

	async #tryRefresh(purpose: string, subject: string): Promise<boolean> {
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

/** An outcome is shown only once it is stored, so that it never turns back. */
const shownState = (job: JobRecord): JobState => {
	if (job.isOutcomeStored) {
		return job.outcome!;
	}

	if (job.isCancelRequested) {
		return 'cancelled';
	}

	return job.hasBegun ? 'running' : 'queued';
};
