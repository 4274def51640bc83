/**
Rows of jobs. `jobs/{processId}/{jobId}` holds the specification, written by the process that accepted the job, and `…/cancel` beside it a cancellation; each process writes to a part of its own, so that they do not wait for each other where the table service is slow. `jobs/shared/{jobId}/progress` is written by the holder of the scheduler's lease, in the part that holds the lease's fence.

A job that is handed in again at another process may get a second row there. It stays one job: readers know jobs by their id.
*/
import * as E from 'fp-ts/lib/Either.js';
import {type JsonObject, parseWith, z} from '@poplarnotch/common';
import {type RowChange} from '@poplarnotch/platform';
import {type JobChange} from '../core/events.js';
import {type JobProgress, type JobSpec} from '../types.js';

export const jobsPrefix = 'jobs/';

/** Part of the rows that only the lease's holder writes. */
const sharedPart = 'shared';

/** Key of a job's specification as the process wrote it. */
export const jobKey = (processId: string, jobId: string): string => `${jobsPrefix}${processId}/${jobId}`;

export const progressKey = (jobId: string): string => `${jobKey(sharedPart, jobId)}/progress`;

export const cancelKey = (processId: string, jobId: string): string => `${jobKey(processId, jobId)}/cancel`;

const resourcesSchema = z.object({cpuMillicores: z.number(), memoryMb: z.number(), accelerators: z.number()});

/** Most fields of a step are 0, false or empty and are left out of the row: all processes read all rows, some of them over small links. */
const stepSchema = z.object({
	taskCount: z.number().int().positive(),
	needs: resourcesSchema,
	estimateMs: z.number().default(0),
	after: z.array(z.number().int()).default([]),
	isCheckpointing: z.boolean().default(false),
	isGang: z.boolean().default(false),
	prefersOneRack: z.boolean().default(false),
	requiredLabel: z.string().default(''),
	dataRack: z.string().default(''),
	maxPerWorker: z.number().default(0),
	isLasting: z.boolean().default(false),
	image: z.string().default(''),
	targetMs: z.number().default(0),
	isFilling: z.boolean().default(false),
	mayMiss: z.number().default(0),
});

const jobSchema = z.object({
	jobId: z.string(),
	queue: z.string(),
	customer: z.string(),
	payload: z.string(),
	steps: z.array(stepSchema),
	recurrence: z.object({count: z.number(), firstDueWallMs: z.number(), periodMs: z.number()}),
	acceptedWallMs: z.number(),
});

const factsSchema = z.record(z.string(), z.array(z.number().int()));

const progressSchema = z.object({
	outcome: z.enum(['completed', 'failed', 'cancelled']).optional(),
	endedWallMs: z.number().optional(),
	hasBegun: z.boolean(),
	doneTasks: factsSchema.default({}),
	failures: factsSchema.default({}),
}).transform(({outcome, endedWallMs, ...facts}): JobProgress => ({...facts, outcome, endedWallMs}));

const isDefault = (value: unknown): boolean => value === 0 || value === false || value === '' || (Array.isArray(value) && value.length === 0);

export const jobToJson = (job: JobSpec): JsonObject => ({
	...job,
	steps: job.steps.map((step): JsonObject => Object.fromEntries(Object.entries(step).filter(([, value]) => !isDefault(value)))),
});

/** Fields that are not set are left out; of a job that has ended nobody asks which tasks are done. */
export const progressToJson = ({outcome, endedWallMs, hasBegun, ...facts}: JobProgress): JsonObject => ({
	hasBegun,
	...(outcome === undefined ? facts : {outcome}),
	...(endedWallMs === undefined ? {} : {endedWallMs}),
});

const keyPattern = /^jobs\/[^\/]+\/(?<jobId>[^\/]+)(?:\/(?<part>progress|cancel))?$/v;

/** What a changed row means; `undefined` where the row is not one of a job or cannot be read. */
export const jobChangeFrom = ({key, value}: RowChange): JobChange | undefined => {
	const groups = keyPattern.exec(key)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	const {jobId, part} = groups as {readonly jobId: string; readonly part?: string};
	if (part === 'cancel') {
		return value === undefined ? undefined : {type: 'cancelled', jobId, rowKey: key};
	}

	if (part === 'progress') {
		const progress = parseWith(progressSchema, value, key);
		return E.isRight(progress) ? {type: 'progressed', jobId, progress: progress.right} : undefined;
	}

	if (value === undefined) {
		return {type: 'removed', jobId};
	}

	const job = parseWith(jobSchema, value, key);
	return E.isRight(job) ? {type: 'accepted', job: job.right, rowKey: key} : undefined;
};
