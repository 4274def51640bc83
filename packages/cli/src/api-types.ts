/**
Schemas of the responses of the operators' interface, with the fields that the command line reads.
*/
import {z} from '@poplarnotch/common';

const jsonValueSchema = z.json();

/** Response of `GET /v1/settings`. */
export const settingsResponseSchema = z.object({
	revision: z.number(),
	settings: z.record(z.string(), jsonValueSchema),
});

const editSchema = z.object({
	path: z.string(),
	value: jsonValueSchema.optional(),
});

/** A change as listed by `GET /v1/changes` and returned by `POST /v1/changes`. */
export const changeSchema = z.object({
	revision: z.number(),
	changeId: z.string(),
	author: z.string(),
	reason: z.string(),
	acceptedAtMs: z.number(),
	edits: z.array(editSchema),
});

/** Response of `POST /v1/changes`; a dry run has no `change`. */
export const changeResponseSchema = z.object({
	change: changeSchema.optional(),
	diff: z.array(editSchema).optional(),
});

/** Response of `GET /v1/changes`. */
export const historyResponseSchema = z.object({
	changes: z.array(changeSchema),
});

/** Response of `GET /v1/in-force`. */
export const inForceResponseSchema = z.object({
	revision: z.number(),
	isInForce: z.boolean(),
	processes: z.array(z.looseObject({
		processId: z.string(),
		revision: z.number().nullish(),
	})),
});

const overviewSchema = z.record(z.string(), z.record(z.string(), jsonValueSchema));

/** Response of `GET /v1/status`: the fleet's overview, with teams, pools and waves by name. */
export const statusResponseSchema = z.object({
	revision: z.number(),
	processes: z.array(z.record(z.string(), jsonValueSchema)),
	teams: overviewSchema,
	pools: overviewSchema,
	waves: overviewSchema,
});

/** Any other response; the command line shows it unchanged. */
export const anyResponseSchema = z.record(z.string(), jsonValueSchema);

/** A problem: the response to a refused request. */
export const problemResponseSchema = z.object({
	type: z.string(),
	title: z.string(),
	detail: z.string(),
	findings: z.array(z.object({place: z.string(), code: z.string(), message: z.string()})).optional(),
	otherChange: changeSchema.optional(),
});

export type Change = z.infer<typeof changeSchema>;
export type ChangeEdit = z.infer<typeof editSchema>;
export type InForceResponse = z.infer<typeof inForceResponseSchema>;
export type ProblemResponse = z.infer<typeof problemResponseSchema>;
