/**
The rows `control/pending/{number}`, in which the holder of the scheduler's lease publishes how many jobs of each queue wait, for the processes that do not follow the job rows, and the loads of the pools by which gates decide on new jobs.

What is published grows with the queues, pools and customers, and the platform limits the size of a row. So the entries, each of which is small, are spread over as many rows as they need. A reader uses a publication once it has all of its rows.
*/
import {Buffer} from 'node:buffer';
import * as E from 'fp-ts/lib/Either.js';
import {parseWith, z} from '@poplarnotch/common';
import {type RowChange, type RowWrite} from '@poplarnotch/platform';
import {type PoolLoad} from '../admission/pool-loads.js';
import {controlPrefix} from './wave-rows.js';

const publishedPrefix = `${controlPrefix}pending/`;

/** Rows of one transaction, which stays below the platform's limit of 1 MB. */
const maxRowsPerCommit = 10;

/** Rows of one publication, which hold the counts of more than a million queues. */
const maxRows = 1000;

const pendingEntrySchema = z.tuple([z.literal('pending'), z.string(), z.number().int().nonnegative()]);
const loadEntrySchema = z.tuple([z.literal('load'), z.string(), z.number(), z.array(z.number())]);
const overShareEntrySchema = z.tuple([z.literal('overShare'), z.string(), z.number(), z.string()]);
const entrySchema = z.union([pendingEntrySchema, loadEntrySchema, overShareEntrySchema]);

/** `pending`: queue and number of jobs. `load`: pool, priority and drain times. `overShare`: pool, priority and a customer beyond its share. */
type Entry = z.infer<typeof entrySchema>;

/** Times of the table service's clock. They tell the age of what was published, whoever reads it and whenever. */
const publicationTimesSchema = z.object({
	/** The holder computed the loads no earlier than at this time. */
	loadsAtMs: z.number(),
	/** The counts include all jobs that were stored before this time. */
	jobsAtMs: z.number(),
});

export type PublicationTimes = z.infer<typeof publicationTimesSchema>;

const rowSchema = z.object({
	publication: z.string(),
	rows: z.number().int().positive().max(maxRows),
	/** Left out by holders of earlier versions, whose publications are of unknown age. */
	times: publicationTimesSchema.optional(),
	entries: z.array(entrySchema),
});

/** What the holder publishes. */
export type PublishedQueues = {
	readonly jobsByQueue: ReadonlyMap<string, number>;
	readonly loads: readonly PoolLoad[];
	/** `undefined` if the age is not known. */
	readonly times: PublicationTimes | undefined;
};

const entriesOf = ({jobsByQueue, loads}: PublishedQueues): readonly Entry[] => [
	...[...jobsByQueue].map(([queue, jobs]): Entry => ['pending', queue, jobs]),
	...loads.flatMap(({pool, priority, drainMs, overShare}): readonly Entry[] => [
		['load', pool, priority, [...drainMs]],
		...overShare.map((customer): Entry => ['overShare', pool, priority, customer]),
	]),
];

/** Splits the entries into groups whose JSON text has at most `maxBytes`. */
const splitEntries = (entries: readonly Entry[], maxBytes: number): ReadonlyArray<readonly Entry[]> => {
	const groups: Entry[][] = [[]];
	let groupBytes = 0;
	for (const entry of entries) {
		const entryBytes = Buffer.byteLength(JSON.stringify(entry)) + 1;
		if (groupBytes + entryBytes > maxBytes && groupBytes > 0) {
			groups.push([]);
			groupBytes = 0;
		}

		groups.at(-1)!.push(entry);
		groupBytes += entryBytes;
	}

	return groups;
};

/** Space for the fields of a row besides its entries. */
const rowOverheadBytes = 200;

/** Returns the writes of one publication, in groups that are committed one after the other. `publication` must differ from all earlier ones. Rows beyond those needed are deleted, up to `formerRows`. */
export const publicationWrites = (published: PublishedQueues, {publication, maxRowBytes, formerRows}: {
	readonly publication: string;
	readonly maxRowBytes: number;
	readonly formerRows: number;
}): ReadonlyArray<readonly RowWrite[]> => {
	const {times} = published;
	const groups = splitEntries(entriesOf(published), maxRowBytes - rowOverheadBytes);
	const writes: RowWrite[] = groups.map((entries, index) => ({
		type: 'put', key: `${publishedPrefix}${index}`, value: {
			publication, rows: groups.length, ...(times === undefined ? {} : {times}), entries,
		},
	}));
	for (let index = groups.length; index < formerRows; index++) {
		writes.push({type: 'delete', key: `${publishedPrefix}${index}`});
	}

	return Array.from({length: Math.ceil(writes.length / maxRowsPerCommit)}, (_value, index) => writes.slice(index * maxRowsPerCommit, (index + 1) * maxRowsPerCommit));
};

/** Puts publications together from their rows, which arrive one after the other. */
export class PublicationReader {
	readonly #rows = new Map<number, z.infer<typeof rowSchema>>();

	/** Number of rows in the table, as far as they were read. */
	get rowCount(): number {
		return Math.max(0, ...[...this.#rows.keys()].map(index => index + 1));
	}

	/** Applies a changed row. Returns the publication that the row completes, or `undefined`. */
	apply({key, value}: RowChange): PublishedQueues | undefined {
		const index = key.startsWith(publishedPrefix) ? Number(key.slice(publishedPrefix.length)) : Number.NaN;
		if (!Number.isInteger(index) || index < 0 || index >= maxRows) {
			return undefined;
		}

		const parsed = parseWith(rowSchema, value, key);
		if (E.isLeft(parsed)) {
			this.#rows.delete(index);
			return undefined;
		}

		this.#rows.set(index, parsed.right);
		const {publication, rows} = parsed.right;
		const read = Array.from({length: Math.min(rows, this.rowCount)}, (_value, number) => this.#rows.get(number));
		const isComplete = read.length === rows && read.every(row => row?.publication === publication);
		return isComplete ? publishedFrom(read.flatMap(row => row?.entries ?? []), read[0]?.times) : undefined;
	}
}

const publishedFrom = (entries: readonly Entry[], times: PublicationTimes | undefined): PublishedQueues => {
	const jobsByQueue = new Map<string, number>();
	const loads: Array<PoolLoad & {readonly overShare: string[]}> = [];
	for (const entry of entries) {
		switch (entry[0]) {
			case 'pending': {
				jobsByQueue.set(entry[1], entry[2]);
				break;
			}

			case 'load': {
				loads.push({
					pool: entry[1], priority: entry[2], drainMs: entry[3], overShare: [],
				});
				break;
			}

			case 'overShare': {
				loads.find(({pool, priority}) => pool === entry[1] && priority === entry[2])?.overShare.push(entry[3]);
				break;
			}
		}
	}

	return {jobsByQueue, loads, times};
};
