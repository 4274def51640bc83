/**
Publishes the counts of pending jobs and the pools' loads while this process holds the lease, and keeps what was published last.
*/
import {
	type Clock, type JsonObject, type Logger, type MetricsRegistry,
} from '@poplarnotch/common';
import {
	failureReason, type RowChange, type RowCondition, type TableService,
} from '@poplarnotch/platform';
import {loadOfQueue, type PoolLoad, poolLoadsOf} from '../admission/pool-loads.js';
import {maxLoadAgeMs} from '../admission/admission-control.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {countPendingJobs} from '../jobs/job-view.js';
import {type Queue} from '../types.js';
import {PublicationReader, publicationWrites, type PublishedQueues} from './published-queues.js';

/** Interval of publications, and the age up to which the counts are used. */
const publicationIntervalMs = 1000;
const maxPendingAgeMs = 3000;

export type QueuePublisherOptions = {
	readonly table: TableService;
	readonly state: () => SchedulerState;
	/** Maximum size of the JSON text in one row. */
	readonly maxRowBytes: number;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class QueuePublisher {
	readonly #options: QueuePublisherOptions;
	readonly #reader = new PublicationReader();
	#latest: PublishedQueues & {readonly readAtMs: number} | undefined;
	#publications = 0;
	#nextAtMs = 0;
	#isPublishing = false;

	constructor(options: QueuePublisherOptions) {
		this.#options = options;
	}

	/** The pending jobs by queue; `undefined` if they were published too long ago. */
	get pendingByQueue(): ReadonlyMap<string, number> | undefined {
		return this.#latestWithin(maxPendingAgeMs)?.jobsByQueue;
	}

	loadOf(queue: Queue): PoolLoad | undefined {
		return loadOfQueue(this.#latestWithin(maxLoadAgeMs)?.loads ?? [], queue);
	}

	/** Publishes at each interval. The fence keeps a holder that was paused from overwriting the rows of its successor. */
	publishWhenDue(fence: RowCondition): void {
		const nowMs = this.#options.clock.nowMs();
		if (nowMs >= this.#nextAtMs && !this.#isPublishing) {
			this.#nextAtMs = nowMs + publicationIntervalMs;
			void this.#publish(fence);
		}
	}

	apply(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const published = this.#reader.apply(change);
			if (published !== undefined) {
				this.#latest = {...published, readAtMs: this.#options.clock.nowMs()};
			}
		}
	}

	/** What was published last, for diagnosis. */
	dump(): readonly JsonObject[] {
		return (this.#latest?.loads ?? []).map(({pool, priority, drainMs, overShare}) => ({
			pool, priority, drainMs, overShare,
		}));
	}

	#latestWithin(maxAgeMs: number): PublishedQueues | undefined {
		return this.#latest !== undefined && this.#options.clock.nowMs() - this.#latest.readAtMs <= maxAgeMs ? this.#latest : undefined;
	}

	async #publish(fence: RowCondition): Promise<void> {
		const {table, state, maxRowBytes, clock, log, metrics} = this.#options;
		this.#isPublishing = true;
		this.#publications++;
		const published = {jobsByQueue: countPendingJobs(state()), loads: poolLoadsOf(state(), clock.nowMs())};
		try {
			const groups = publicationWrites(published, {
				publication: `${fence.version}.${this.#publications}`, maxRowBytes, formerRows: this.#reader.rowCount,
			});
			for (const writes of groups) {
				await table.commit({conditions: [fence], writes});
			}

			metrics.increment('queue_publication_rows_total', groups.flat().length);
		} catch (error) {
			log.warn({event: 'pending_not_published', queues: published.jobsByQueue.size, reason: failureReason(log, 'publish queues', error)});
		}

		this.#isPublishing = false;
	}
}
