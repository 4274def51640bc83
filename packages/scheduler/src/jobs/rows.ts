/**
Job rows. `jobs/{partition}/{jobId}` holds a job's specification, written by the process that accepted it, and `…/cancel` beside it holds a cancellation. The partition follows from the job's id, so that any process can read a job's rows without knowing who wrote them, and writes are spread over several partitions. `jobs/shared/{jobId}/progress` is written by the holder of the scheduler's lease, in the partition that holds the lease's fence. `jobs/ends/{jobId}/{record}` holds ends of tasks that a process has read without holding the lease any more; such a row is only ever created.
*/
import * as E from 'fp-ts/lib/Either.js';
import {type JsonObject, parseWith, z} from '@poplarnotch/common';
import {type RowChange} from '@poplarnotch/platform';
import {maxTasksPerJob} from '../constants.js';
import {type JobChange, type JobRowKind} from '../core/events.js';
import {type JobProgress, type JobSpec, type TaskEnds} from '../types.js';
import {
	decodeDone, doneRangesSchema, type DoneTasks, encodeDone,
} from './done-ranges.js';

export const jobsPrefix = 'jobs/';

/** Partition that only the lease holder writes to. */
const sharedPartition = 'shared';

/** A partition applies its transactions one after the other. While the platform is slow it applies a few a second, and all partitions together have to take the jobs that arrive. */
const partitionCount = 32;

/** Earlier versions stored jobs in so many partitions; lasting jobs outlive an update. */
const earlierPartitionCount = 8;

/** Returns the partition that holds the specification and the cancellation of a job. */
export const partitionOf = (jobId: string, count = partitionCount): string => {
	let hash = 0;
	for (let index = 0; index < jobId.length; index++) {
		hash = ((hash * 31) + jobId.codePointAt(index)!) % 65_521;
	}

	return `p${hash % count}`;
};

/** Key of a job's specification, and prefix of its cancellation. */
export const jobKey = (jobId: string): string => `${jobsPrefix}${partitionOf(jobId)}/${jobId}`;

/** Key under which an earlier version may have stored a job's specification. */
export const earlierJobKey = (jobId: string): string => `${jobsPrefix}${partitionOf(jobId, earlierPartitionCount)}/${jobId}`;

export const progressKey = (jobId: string): string => `${jobsPrefix}${sharedPartition}/${jobId}/progress`;

/** Partition of the ends that processes record outside of their terms. */
const endsPartition = 'ends';

/** `recordId` is used once. */
export const endsKey = (jobId: string, recordId: string): string => `${jobsPrefix}${endsPartition}/${jobId}/${recordId}`;

const cancelSuffix = '/cancel';

export const cancelKey = (jobId: string): string => `${jobKey(jobId)}${cancelSuffix}`;

const isKeyOfJob = (key: string, jobId: string): boolean => key === jobKey(jobId) || key === earlierJobKey(jobId);

/** An amount of resources or of time. */
const amountSchema = z.number().nonnegative();

const resourcesSchema = z.object({cpuMillicores: amountSchema, memoryMb: amountSchema, accelerators: amountSchema});

/** Most fields of a step are 0, false or empty and are left out of the row: every process reads all rows, some over links with little bandwidth. */
const stepSchema = z.object({
	taskCount: z.number().int().positive(),
	needs: resourcesSchema,
	estimateMs: amountSchema.default(0),
	after: z.array(z.number().int().nonnegative()).default([]),
	isCheckpointing: z.boolean().default(false),
	isGang: z.boolean().default(false),
	prefersOneRack: z.boolean().default(false),
	requiredLabel: z.string().default(''),
	dataRack: z.string().default(''),
	maxPerWorker: amountSchema.default(0),
	isLasting: z.boolean().default(false),
	image: z.string().default(''),
	targetMs: amountSchema.default(0),
	isFilling: z.boolean().default(false),
	mayMiss: amountSchema.default(0),
});

const jobSchema = z.object({
	jobId: z.string(),
	queue: z.string(),
	customer: z.string(),
	payload: z.string(),
	steps: z.array(stepSchema).min(1),
	recurrence: z.object({count: z.number().int().nonnegative(), firstDueWallMs: z.number(), periodMs: amountSchema}),
	acceptedWallMs: z.number(),
}).refine(({steps, recurrence}) => steps.reduce((sum, {taskCount}) => sum + taskCount, 0) * Math.max(1, recurrence.count) <= maxTasksPerJob, 'too many tasks')
	.refine(({steps}) => steps.every(({after}, index) => after.every(earlier => earlier < index)), 'a step waits for one that does not come before it');

const taskRecordsSchema = z.record(z.string(), z.array(z.number().int().nonnegative()));

const decodedRangesSchema = doneRangesSchema.default([]).transform((ranges, context): DoneTasks => {
	const doneTasks = decodeDone(ranges);
	if (doneTasks === undefined) {
		context.addIssue({code: 'custom', message: 'more tasks than a job has'});
		return z.NEVER;
	}

	return doneTasks;
});

const crashRecordSchema = z.object({
	crashedAttempts: z.array(z.number().int()).default([]),
	presumedAttempts: z.array(z.number().int()).default([]),
	trialAttempt: z.number().int().default(0),
	trialWorker: z.object({workerId: z.string(), bornWallMs: z.number()}).optional(),
	settledTrialAttempt: z.number().int().default(0),
	provenAttempt: z.number().int().default(0),
	clearedAttempt: z.number().int().default(0),
	isGivenUp: z.boolean().default(false),
});

const progressSchema = z.object({
	outcome: z.enum(['completed', 'failed', 'cancelled']).optional(),
	endedWallMs: z.number().optional(),
	hasBegun: z.boolean(),
	doneRanges: decodedRangesSchema,
	/** In rows of earlier versions, instead of the ranges. */
	doneTasks: taskRecordsSchema.optional(),
	failures: taskRecordsSchema.default({}),
	crashRecords: z.record(z.string(), crashRecordSchema).default({}),
}).transform(({outcome, endedWallMs, doneRanges, doneTasks = doneRanges, ...taskRecords}): JobProgress => ({
	...taskRecords, doneTasks, outcome, endedWallMs,
}));

const endsSchema = z.object({
	doneRanges: decodedRangesSchema,
	failures: taskRecordsSchema.default({}),
}).transform(({doneRanges: doneTasks, failures}): TaskEnds => ({doneTasks, failures}));

export const endsToJson = ({doneTasks, failures}: TaskEnds): JsonObject => ({doneRanges: encodeDone(doneTasks), failures});

const isDefault = (value: unknown): boolean => value === 0 || value === false || value === '' || (Array.isArray(value) && value.length === 0);

const withoutDefaults = (fields: JsonObject): JsonObject => Object.fromEntries(Object.entries(fields).filter(([, value]) => !isDefault(value)));

export const jobToJson = (job: JobSpec): JsonObject => ({
	...job,
	steps: job.steps.map(step => withoutDefaults(step)),
});

/** Unset fields are left out, and so are the task records of an ended job, which are not needed any more. */
export const progressToJson = ({
	outcome, endedWallMs, hasBegun, doneTasks, failures, crashRecords,
}: JobProgress): JsonObject => ({
	hasBegun,
	...(outcome === undefined ? {doneRanges: encodeDone(doneTasks), failures, ...crashRecordsToJson(crashRecords)} : {outcome}),
	...(endedWallMs === undefined ? {} : {endedWallMs}),
});

/** Few jobs have crash records, so the field is left out where it is empty. */
const crashRecordsToJson = (records: JobProgress['crashRecords']): JsonObject => {
	const entries = Object.entries(records).map(([key, {trialWorker, ...record}]): [string, JsonObject] => [key, {...withoutDefaults(record), ...(trialWorker === undefined ? {} : {trialWorker})}]);
	return entries.length === 0 ? {} : {crashRecords: Object.fromEntries(entries)};
};

const endsKeyPattern = /^jobs\/ends\/(?<jobId>[^\/]+)\/[^\/]+$/v;

const keyPattern = /^jobs\/[^\/]+\/(?<jobId>[^\/]+)(?:\/(?<part>progress|cancel))?$/v;

const removedRow = (jobId: string, row: JobRowKind, rowKey: string): JobChange => ({
	type: 'removed', jobId, row, rowKey,
});

const progressChangeFrom = (jobId: string, {key, value, version}: RowChange): JobChange | undefined => {
	if (value === undefined) {
		return removedRow(jobId, 'progress', key);
	}

	const parsed = parseWith(progressSchema, value, key);
	if (E.isLeft(parsed)) {
		return undefined;
	}

	return {
		type: 'progressed', jobId, progress: parsed.right, rowKey: key, version,
	};
};

const endsChangeFrom = (jobId: string, {key, value}: RowChange): JobChange | undefined => {
	if (value === undefined) {
		return removedRow(jobId, 'ends', key);
	}

	const parsed = parseWith(endsSchema, value, key);
	return E.isLeft(parsed)
		? undefined
		: {
			type: 'endsRecorded', jobId, ends: parsed.right, rowKey: key,
		};
};

/** Decodes a changed row; returns `undefined` if it is not a job row, cannot be read, or is not under the key of its job. */
export const jobChangeFrom = ({key, value, version}: RowChange): JobChange | undefined => {
	const endsOfJob = endsKeyPattern.exec(key)?.groups?.jobId;
	if (endsOfJob !== undefined) {
		return endsChangeFrom(endsOfJob, {key, value, version});
	}

	const groups = keyPattern.exec(key)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	const {jobId, part} = groups as {readonly jobId: string; readonly part?: string};
	if (part === 'cancel') {
		if (!isKeyOfJob(key.slice(0, -cancelSuffix.length), jobId)) {
			return undefined;
		}

		return value === undefined ? removedRow(jobId, 'cancellation', key) : {type: 'cancelled', jobId, rowKey: key};
	}

	if (part === 'progress') {
		return key === progressKey(jobId) ? progressChangeFrom(jobId, {key, value, version}) : undefined;
	}

	if (!isKeyOfJob(key, jobId)) {
		return undefined;
	}

	if (value === undefined) {
		return removedRow(jobId, 'specification', key);
	}

	const job = parseWith(jobSchema, value, key);
	return E.isRight(job) && job.right.jobId === jobId
		? {
			type: 'accepted', job: job.right, rowKey: key, version,
		}
		: undefined;
};
