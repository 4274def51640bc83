/**
Schemas of the bodies of the platform's HTTP interface, used by clients and by stand-ins of the platform.
*/
import {
	countSchema, durationMsSchema, type JsonObject, type JsonValue, withoutDeepNesting, z,
} from '@poplarnotch/common';

/** Accepts any value: values come from `JSON.parse`, so they are already JSON. */
const jsonValueSchema = z.custom<JsonValue>();
const jsonObjectSchema = z.custom<JsonObject>(value => typeof value === 'object' && value !== null);

const conditionSchema = z.object({key: z.string(), version: countSchema});

const writeSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('put'), key: z.string(), value: jsonValueSchema}),
	z.object({type: z.literal('delete'), key: z.string()}),
]);

/** Another writer's value may be nested too deep to be copied; it is read as null, which no decoder accepts. */
const storedValueSchema = jsonValueSchema.transform(withoutDeepNesting);

const rowSchema = z.object({key: z.string(), value: storedValueSchema, version: countSchema});

export const transactionSchema = z.object({
	conditions: z.array(conditionSchema),
	writes: z.array(writeSchema),
});

export const commitResultSchema = z.object({revision: countSchema});

export const conflictBodySchema = z.object({
	conflicts: z.array(z.object({key: z.string(), expectedVersion: countSchema, actualVersion: countSchema})),
});

export const rowsRequestSchema = z.object({keys: z.array(z.string())});

export const rowsSchema = z.object({rows: z.array(rowSchema)});

export const rowPageSchema = z.object({rows: z.array(rowSchema), revision: countSchema, hasMore: z.boolean()});

/** A change without a value is a deletion. */
const rowChangeSchema = z
	.object({key: z.string(), value: storedValueSchema.optional(), version: countSchema})
	.transform(({key, value, version}) => ({key, value, version}));

export const changePageSchema = z.object({changes: z.array(rowChangeSchema), revision: countSchema, hasMore: z.boolean()});

export const storedObjectSchema = z.object({text: z.string(), etag: z.string()});

export const objectPutSchema = z.object({
	text: z.string(),
	condition: z.union([z.object({etag: z.string()}), z.enum(['absent', 'any'])]),
});

export const objectWrittenSchema = z.object({etag: z.string()});

export const hostListingUpdateSchema = z.object({
	version: z.number().int().positive(),
	isWhole: z.boolean(),
	hosts: z.array(z.object({
		host: z.string(),
		state: z.enum(['live', 'leaving']),
		bootCount: countSchema,
	})),
	gone: z.array(z.string()),
	ageMs: durationMsSchema,
});

const taskResourcesSchema = z.object({
	cores: z.number().nonnegative(),
	memoryMb: z.number().nonnegative(),
	accelerators: z.number().nonnegative(),
});

export const taskSpecSchema = z.object({
	taskId: z.string(),
	resources: taskResourcesSchema,
	leaseMs: durationMsSchema,
	payload: jsonObjectSchema,
});

export const taskRenewalSchema = z.object({leaseMs: durationMsSchema});

export const rebootRequestSchema = z.object({rebootId: z.string(), change: z.string()});

export const workerHostsSchema = z.object({hosts: z.array(z.string())});

export const workerReportsSchema = z.object({
	reports: z.array(z.object({
		host: z.string(),
		capacity: taskResourcesSchema,
		bootCount: countSchema,
		tasks: z.array(z.object({
			taskId: z.string(),
			state: z.enum(['running', 'throttled', 'checkpointed', 'finished', 'failed', 'stopped']),
			used: taskResourcesSchema,
			reason: z.string().optional(),
		})),
		ageMs: durationMsSchema,
	})),
});

export const emptyAnswerSchema = z.object({});
