/**
Serves callers' requests on jobs: submit a job, query its state, cancel it, count a queue's pending jobs. Every process serves all of them, from its view of the jobs and from the table service.

A job counts as accepted only once its row is stored. A caller is told that a job was not accepted only if its row was not stored and cannot be stored later; otherwise the outcome is reported as unknown.
*/
import {type CancelTimer, type Clock, type Logger} from '@poplarnotch/common';
import {ConflictError, PlatformError, WriteOutcomeUnknownError} from '@poplarnotch/platform';
import {type AdmissionControl, type Refusal} from '../admission/admission-control.js';
import {type PoolLoad} from '../admission/pool-loads.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {
	type FleetConfiguration, type JobSpec, type JobState, type Queue,
} from '../types.js';
import {type JobStore} from './job-store.js';
import {type JobView, type KnownJob} from './job-view.js';
import {UncertainSubmissions} from './uncertain-submissions.js';

/** The queue that a call addresses and the customer that makes it. */
export type CallTarget = {
	readonly queue: Queue;
	/** Empty on public queues. */
	readonly customer: string;
};

export type Admission
	= | {readonly type: 'admitted'; readonly target: CallTarget; readonly rest: string}
		| {readonly type: 'not-configured' | 'configuration-stale' | 'no-such-queue' | 'unknown-key'};

export type SubmitResult
	= | 'accepted' | 'not-accepted' | 'unknown' | 'invalid'
	/** The job would be too late to be of use to its caller, and was not stored. */
		| {readonly type: 'overloaded'; readonly retryAfterMs: number};
export type StatusResult = JobState | 'no-such-job' | 'unavailable';
export type CancelResult = 'cancelled' | 'no-such-job' | 'not-cancelled' | 'unknown';

/** Dependencies of the service. */
export type JobServiceOptions = {
	readonly state: () => SchedulerState;
	readonly store: JobStore;
	/** What the process knows of jobs at present. */
	readonly view: () => JobView;
	/** Age of the operators' configuration, since its last confirmed read, and the maximum age at which calls are answered by it. */
	readonly configurationAgeMs: () => number;
	readonly maxConfigurationAgeMs: number;
	/** Returns true while the store is known to answer no call. */
	readonly isStoreAway?: (() => boolean) | undefined;
	readonly admission: AdmissionControl;
	/** The load of the queue's pool as last published by the lease holder; `undefined` if nothing waits or that was too long ago. */
	readonly loadOf: (queue: Queue) => PoolLoad | undefined;
	readonly clock: Clock;
	readonly log: Logger;
};

const maxCancelAttempts = 3;

/** How long a status query waits for the store, and how often it asks: enough for a second attempt over another path. */
const statusTimeoutMs = 400;
const maxFindAttempts = 2;

/** State confirmed no longer ago than this is still shown if the store does not answer: callers accept 3 s. */
const maxStaleStateMs = 3000;

export class JobService {
	readonly #options: JobServiceOptions;
	readonly #uncertain: UncertainSubmissions;

	constructor(options: JobServiceOptions) {
		this.#options = options;
		this.#uncertain = new UncertainSubmissions(options.clock);
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

		if (this.#options.isStoreAway?.() === true) {
			const result = this.#refusalOf(job.jobId);
			this.#options.log.info({
				event: 'job_not_submitted', jobId: job.jobId, queue: job.queue, result,
			});
			return result;
		}

		const overload = this.#overloadOf(job);
		const refusal = overload === undefined ? undefined : await this.#refuseOverload(job, overload);
		if (refusal !== undefined) {
			return refusal;
		}

		const sentAtMs = this.#options.clock.nowMs();
		this.#uncertain.begin(job.jobId);
		const result = await this.#options.store.accept(job);
		this.#uncertain.end(job.jobId, result === 'unknown');
		this.#options.log.info({
			event: 'job_submitted', jobId: job.jobId, queue: job.queue, customer: job.customer, result, configuration: this.configuration.version, durationMs: Math.round(this.#options.clock.nowMs() - sentAtMs),
		});
		switch (result) {
			case 'accepted': {
				return 'accepted';
			}

			case 'unavailable': {
				return this.#refusalOf(job.jobId);
			}

			case 'unknown':
			case 'invalid': {
				return result;
			}
		}
	}

	async status(jobId: string, {customer}: CallTarget): Promise<StatusResult> {
		const view = this.#options.view();
		const ended = visibleTo(customer, view.findEnded(jobId));
		if (ended !== undefined) {
			return ended.state;
		}

		const found = await this.#findWithin(statusTimeoutMs, view, jobId);
		if (found !== 'unanswered') {
			const visible = visibleTo(customer, found);
			if (visible === undefined) {
				this.#logNotFound(jobId, view, found !== undefined);
			}

			return visible?.state ?? 'no-such-job';
		}

		return visibleTo(customer, view.findRecent(jobId, maxStaleStateMs))?.state ?? 'unavailable';
	}

	async cancel(jobId: string, {customer}: CallTarget): Promise<CancelResult> {
		const view = this.#options.view();
		const found = await this.#find(view, jobId, 'cancel');
		const job = visibleTo(customer, found === 'unanswered' ? view.findRecent(jobId, Number.POSITIVE_INFINITY) : found);
		if (job === undefined) {
			return found === 'unanswered' ? 'not-cancelled' : 'no-such-job';
		}

		return job.isEnded ? 'cancelled' : this.#storeCancel(jobId);
	}

	/** Returns the number of the queue's accepted jobs of which no task has started, or `undefined` if it cannot be read. */
	async countPending({queue}: CallTarget): Promise<number | undefined> {
		try {
			return await this.#options.view().countPending(queue.name);
		} catch (error) {
			this.#logFailedRead(error, 'count', queue.name);
			return undefined;
		}
	}

	/** The answer to an attempt that stored nothing: unknown if another attempt may store the job. */
	#refusalOf(jobId: string): 'unknown' | 'not-accepted' {
		return this.#uncertain.has(jobId) ? 'unknown' : 'not-accepted';
	}

	/** Returns the refusal of a job that would be too late to be of use; `undefined` if it is admitted. A job that an earlier attempt through this process may still store is not refused. */
	#overloadOf(job: JobSpec): Refusal | undefined {
		const queue = this.configuration.queues.get(job.queue);
		const decision = queue === undefined ? undefined : this.#options.admission.decide(job, queue, this.#options.loadOf(queue));
		return decision?.type === 'refused' && !this.#uncertain.has(job.jobId) ? decision : undefined;
	}

	/** Refuses a job because of an overload. A job that an earlier attempt has stored, possibly through another process, must not be reported as refused; if the store does not tell, the job is not refused. */
	async #refuseOverload(job: JobSpec, {retryAfterMs, drainMs}: Refusal): Promise<SubmitResult | undefined> {
		const stored = await this.#find(this.#options.view(), job.jobId, 'submit');
		if (stored !== undefined) {
			return stored === 'unanswered' ? undefined : 'accepted';
		}

		this.#options.log.info({
			event: 'job_refused', jobId: job.jobId, queue: job.queue, customer: job.customer, drainMs, retryAfterMs,
		});
		return {type: 'overloaded', retryAfterMs};
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

	/** Reads the job, repeatedly if the store does not answer, since a failed call makes the next one take another path. */
	async #findWithin(waitMs: number, view: JobView, jobId: string): Promise<KnownJob | undefined | 'unanswered'> {
		let cancel: CancelTimer | undefined;
		const timeout = new Promise<'unanswered'>(resolve => {
			cancel = this.#options.clock.schedule(waitMs, () => {
				resolve('unanswered');
			});
		});
		try {
			return await Promise.race([this.#find(view, jobId, 'status'), timeout]);
		} finally {
			cancel?.();
		}
	}

	async #find(view: JobView, jobId: string, purpose: string): Promise<KnownJob | undefined | 'unanswered'> {
		for (let attempt = 0; attempt < maxFindAttempts; attempt++) {
			try {
				return await view.find(jobId);
			} catch (error) {
				this.#logFailedRead(error, purpose, jobId);
			}
		}

		return 'unanswered';
	}

	/** Logs on what the answer that there is no such job relies. */
	#logNotFound(jobId: string, view: JobView, isOfOtherCustomer: boolean): void {
		this.#options.log.info({
			event: 'job_not_found', jobId, isOfOtherCustomer, configuration: this.configuration.version, ...view.describe(),
		});
	}

	/** Logs an expected failure of a read; throws any other error. */
	#logFailedRead(error: unknown, purpose: string, subject: string): void {
		if (!(error instanceof PlatformError)) {
			throw error;
		}

		this.#options.log.warn({
			event: 'refresh_failed', purpose, subject, reason: error.message,
		});
	}
}

/** Hides the jobs of other customers. On public queues, which have no customer, every job is visible. */
const visibleTo = (customer: string, job: KnownJob | undefined): KnownJob | undefined =>
	customer !== '' && job?.customer !== customer ? undefined : job;
