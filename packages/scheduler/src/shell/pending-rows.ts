/**
The row `control/pending`, in which the holder of the scheduler's lease publishes how many jobs of each queue wait, for the processes that do not follow the job rows.
*/
import * as E from 'fp-ts/lib/Either.js';
import {parseWith, z} from '@poplarnotch/common';
import {type RowChange, type RowWrite} from '@poplarnotch/platform';
import {controlPrefix} from './wave-rows.js';

const pendingKey = `${controlPrefix}pending`;

const pendingSchema = z.object({jobsByQueue: z.record(z.string(), z.number().int().nonnegative())});

export const pendingWrite = (jobsByQueue: ReadonlyMap<string, number>): RowWrite => ({
	type: 'put', key: pendingKey, value: {jobsByQueue: Object.fromEntries(jobsByQueue)},
});

/** Decodes a changed row; returns `undefined` if it is not the row of pending jobs or cannot be read. */
export const pendingFrom = ({key, value}: RowChange): ReadonlyMap<string, number> | undefined => {
	const parsed = key === pendingKey ? parseWith(pendingSchema, value, key) : undefined;
	return parsed !== undefined && E.isRight(parsed) ? new Map(Object.entries(parsed.right.jobsByQueue)) : undefined;
};
