/**
Publishes the counts of pending jobs and the pools' loads while this process holds the lease, and keeps what was published last.

What was published counts by its age, not by when it was read: a process that has just started reads what a holder wrote before it was lost, and one that stood still may read it late. The holder states by the table service's clock as of when its numbers hold, and each reader compares that with the same clock. An age that cannot be told counts as too old.
*/
import {
	type Clock, type JsonObject, type Logger, type MetricsRegistry,
} from '@poplarnotch/common';
import {
	failureReason, type RowChange, type RowCondition, type TableService,
} from '@poplarnotch/platform';
import {type TableClock} from '@poplarnotch/state';
import {loadOfQueue, type PoolLoad, poolLoadsOf} from '../admission/pool-loads.js';
import {maxLoadAgeMs} from '../admission/admission-control.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {countPendingJobs} from '../jobs/job-view.js';
import {type Queue} from '../types.js';
import {
	PublicationReader, type PublicationTimes, publicationWrites, type PublishedQueues,
} from './published-queues.js';

/** Interval of publications. */
const publicationIntervalMs = 1000;

/** Counts older than this are not used: callers are owed all jobs that were accepted 5 s before. */
const maxPendingAgeMs = 3000;

export type QueuePublisherOptions = {
	readonly table: TableService;
	readonly state: () => SchedulerState;
	readonly tableClock: TableClock;
	/** When the read was sent by which this process's copy of the job rows was last confirmed. */
	readonly jobRowsConfirmedAtMs: () => number | undefined;
	/** Maximum size of the JSON text in one row. */
	readonly maxRowBytes: number;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class QueuePublisher {
	readonly #options: QueuePublisherOptions;
	readonly #reader = new PublicationReader();
	#latest: PublishedQueues | undefined;
	#areLoadsKnown = false;
	#publications = 0;
	#nextAtMs = 0;
	#isPublishing = false;

	constructor(options: QueuePublisherOptions) {
		this.#options = options;
	}

	/** Returns the pending jobs by queue; `undefined` if the counts are too old. */
	pendingByQueue(): ReadonlyMap<string, number> | undefined {
		const isRecent = isWithin(this.#ageOf('jobsAtMs'), maxPendingAgeMs);
		this.#options.metrics.increment(isRecent ? 'published_counts_used_total' : 'published_counts_outdated_total');
		return isRecent ? this.#latest?.jobsByQueue : undefined;
	}

	/** Returns the load of the queue's pool; `undefined` if nothing waits there, or if the loads are too old. */
	loadOf(queue: Queue): PoolLoad | undefined {
		const ageMs = this.#ageOf('loadsAtMs');
		const areKnown = isWithin(ageMs, maxLoadAgeMs);
		this.#options.metrics.increment(areKnown ? 'published_loads_used_total' : 'published_loads_outdated_total');
		if (areKnown !== this.#areLoadsKnown) {
			this.#areLoadsKnown = areKnown;
			this.#options.log.info({event: areKnown ? 'published_loads_used' : 'published_loads_outdated', ageMs: ageMs === undefined ? undefined : Math.round(ageMs)});
		}

		return areKnown ? loadOfQueue(this.#latest?.loads ?? [], queue) : undefined;
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
			this.#latest = this.#reader.apply(change) ?? this.#latest;
		}
	}

	/** What was published last, for diagnosis. */
	dump(): readonly JsonObject[] {
		return (this.#latest?.loads ?? []).map(({pool, priority, drainMs, overShare}) => ({
			pool, priority, drainMs, overShare,
		}));
	}

	/** The most that the age of the latest publication can be; `undefined` if it cannot be told. */
	#ageOf(time: keyof PublicationTimes): number | undefined {
		const publishedAtMs = this.#latest?.times?.[time];
		const {latestNowMs} = this.#options.tableClock;
		return publishedAtMs === undefined || latestNowMs === undefined ? undefined : latestNowMs - publishedAtMs;
	}

	/** As of when this process's numbers hold; `undefined` if it cannot be told. */
	#times(nowMs: number): PublicationTimes | undefined {
		const {tableClock, jobRowsConfirmedAtMs} = this.#options;
		const confirmedAtMs = jobRowsConfirmedAtMs();
		const loadsAtMs = tableClock.earliestMs(nowMs);
		const jobsAtMs = confirmedAtMs === undefined ? undefined : tableClock.earliestMs(confirmedAtMs);
		return loadsAtMs === undefined || jobsAtMs === undefined ? undefined : {loadsAtMs: Math.floor(loadsAtMs), jobsAtMs: Math.floor(jobsAtMs)};
	}

	async #publish(fence: RowCondition): Promise<void> {
		const {table, state, maxRowBytes, clock, log, metrics} = this.#options;
		this.#isPublishing = true;
		this.#publications++;
		const nowMs = clock.nowMs();
		const published = {jobsByQueue: countPendingJobs(state()), loads: poolLoadsOf(state(), nowMs), times: this.#times(nowMs)};
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

/** A negative age shows that the publication's times are of another run of the table service's clock. */
const isWithin = (ageMs: number | undefined, maxAgeMs: number): boolean => ageMs !== undefined && ageMs >= 0 && ageMs <= maxAgeMs;
