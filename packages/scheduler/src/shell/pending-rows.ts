/**
The row `control/pending`, in which the holder of the scheduler's lease publishes how many jobs of each queue wait, for the processes that do not follow the job rows, and the loads by which gates decide on new jobs.
*/
import * as E from 'fp-ts/lib/Either.js';
import {parseWith, z} from '@poplarnotch/common';
import {type RowChange, type RowWrite} from '@poplarnotch/platform';
import {type QueueLoad} from '../admission/queue-loads.js';
import {controlPrefix} from './wave-rows.js';

const pendingKey = `${controlPrefix}pending`;

const pendingSchema = z.object({
	jobsByQueue: z.record(z.string(), z.number().int().nonnegative()),
	/** Absent in rows of earlier versions. */
	loads: z.record(z.string(), z.object({drainMs: z.array(z.number()), overShare: z.array(z.string())})).default({}),
});

/** The published numbers, by queue. */
export type PublishedQueues = {
	readonly jobsByQueue: ReadonlyMap<string, number>;
	readonly loads: ReadonlyMap<string, QueueLoad>;
};

export const pendingWrite = ({jobsByQueue, loads}: PublishedQueues): RowWrite => ({
	type: 'put', key: pendingKey, value: {
		jobsByQueue: Object.fromEntries(jobsByQueue), loads: Object.fromEntries([...loads].map(([queue, {drainMs, overShare}]) => [queue, {drainMs, overShare}])),
	},
});

/** Decodes a changed row; returns `undefined` if it is not the row of pending jobs or cannot be read. */
export const pendingFrom = ({key, value}: RowChange): PublishedQueues | undefined => {
	const parsed = key === pendingKey ? parseWith(pendingSchema, value, key) : undefined;
	return parsed !== undefined && E.isRight(parsed)
		? {jobsByQueue: new Map(Object.entries(parsed.right.jobsByQueue)), loads: new Map(Object.entries(parsed.right.loads))}
		: undefined;
};
