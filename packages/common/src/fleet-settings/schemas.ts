/**
Schemas of the settings tree. Each setting has a path such as `/teams/red/share`; the settings of one entity (`/teams/red`) form one record, which its schema validates. Names of durations end in `Ms`; names of counts have no suffix.
*/
import {
	baseUrlSchema, countSchema, durationMsSchema, segmentSchema, z,
} from '../schema.js';

/** A SHA-256 hash in hexadecimal. */
const hashSchema = z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 hash in hexadecimal');

/** A list of names, stored as one setting. */
const segmentListSchema = z.array(segmentSchema);

/** `/fleet`: options of the whole fleet. */
export const fleetSchema = z.strictObject({
	/** Weight of share fairness when plans are compared. */
	shareFairnessWeight: z.number().nonnegative().default(1),
	/** Weight of buffer cost when plans are compared. */
	bufferCostWeight: z.number().nonnegative().default(1),
	/** Weight of each move when plans are compared. */
	moveWeight: z.number().nonnegative().default(1),
	/** Weight of roll-out time when plans are compared. */
	rolloutWeight: z.number().nonnegative().default(1),
});

/** `/operators/{operator}`: an operator, who may change settings. */
export const operatorSchema = z.strictObject({
	keyHash: hashSchema,
	withdrawn: z.boolean().default(false),
});

/** `/teams/{team}`. */
export const teamSchema = z.strictObject({
	/** Weight relative to other teams when a pool is full. */
	share: z.number().positive(),
	/** Maximum amount of the team's work that may run at the same time in the whole fleet. */
	upperLimit: countSchema,
});

/** `/teams/{team}/keys/{key}`. */
export const teamKeySchema = z.strictObject({
	hash: hashSchema,
	withdrawn: z.boolean().default(false),
});

/** `/queues/{queue}`. */
export const queueSchema = z.strictObject({
	pool: segmentSchema,
	/** Open queues accept requests without a key, which are charged to `owner`. */
	open: z.boolean().default(false),
	/** Team to which requests without a key are charged; required for open queues. */
	owner: segmentSchema.optional(),
	/** Teams whose keys are accepted; an empty list accepts all teams. */
	teams: segmentListSchema.default([]),
	/** Methods that are idempotent in addition to GET, HEAD, OPTIONS, PUT and DELETE. */
	idempotentMethods: z.array(z.enum(['POST', 'PATCH'])).default([]),
	/** Urgent queues are served before others within their team's share. */
	urgent: z.boolean().default(false),
	/** Maximum number of requests that wait at one gate. */
	maxQueued: countSchema.default(1000),
	/** Maximum time that a request waits before dispatch. */
	maxWaitMs: durationMsSchema.default(10_000),
	/** Maximum time from dispatch to the end of the answer. */
	maxRunMs: durationMsSchema.default(60_000),
	/** Maximum size of a request body. */
	maxBodyBytes: countSchema.default(8_388_608),
});

/** `/pools/{pool}`. */
export const poolSchema = z.strictObject({
	/** Maximum number of requests that one backend server runs at the same time. */
	slotsPerServer: z.number().int().positive().default(8),
	/** Maximum number of connections that one backend server accepts from all gates together. */
	connectionsPerServer: z.number().int().positive().default(64),
	/** True for the spare pool, whose hosts are transferred to other pools on demand. */
	spare: z.boolean().default(false),
	/** Time within which a backend server stops a request whose connection was closed. Until then, the request still occupies its slot and counts towards its team's limit. */
	cancelGraceMs: durationMsSchema.default(1000),
	/** Minimum number of hosts of the pool, regardless of its load. */
	minHosts: countSchema.default(0),
});

/** States of a host within its pool. */
export const hostStates = ['serving', 'leaving', 'maintenance', 'quarantined'] as const;

/** `/hosts/{host}`. A host is in exactly one pool, which `pool` names. */
export const hostSchema = z.strictObject({
	pool: segmentSchema,
	/** Pool to which the host is being moved. The controller drains the host, then changes `pool` and removes this setting. */
	targetPool: segmentSchema.optional(),
	/** Pool to which a borrowed host returns; absent if the host is in its home pool. */
	homePool: segmentSchema.optional(),
	state: z.enum(hostStates).default('serving'),
	region: segmentSchema.default('region-1'),
	dataCentre: segmentSchema,
	rack: segmentSchema,
	/** Base URL of the backend server on this host. */
	address: baseUrlSchema,
	/** Unix time of the last finished maintenance; 0 if there was none. */
	maintainedAtMs: z.number().int().nonnegative().default(0),
});

/** `/budgets/{budget}`: the availability of a pool that planned work must preserve. */
export const budgetSchema = z.strictObject({
	pool: segmentSchema,
	/** Minimum number of serving hosts; the larger of this and `minServingShare` applies. */
	minServing: countSchema.default(0),
	/** Minimum share of the pool's hosts that must serve. */
	minServingShare: z.number().min(0).max(1).default(0),
	/** Number of failure domains whose additional loss must not violate the budget. */
	domainLosses: countSchema.default(1),
	/** Kind of failure domain to which `domainLosses` refers. */
	domain: z.enum(['rack', 'dataCentre']).default('rack'),
	/** Length of the window over which disruptions are counted; 0 counts only present disruptions. */
	windowMs: durationMsSchema.default(0),
});

/** `/waves/{wave}`: a maintenance wave as operators define it. Its progress is stored in separate rows. */
export const waveSchema = z.strictObject({
	/** Pools whose hosts the wave covers. */
	pools: segmentListSchema.min(1),
	/** Name of the change that is applied to each host. */
	change: z.string().min(1),
	/** Number of hosts in the first batch. */
	canaryHosts: z.number().int().positive().default(1),
	/** Once the canary hosts have returned healthy, the number of hosts that may be in progress at the same time is this factor times the number of hosts that have returned healthy. */
	wideningFactor: z.number().int().positive().default(4),
	/** Number of hosts that may fail to return before the wave is paused automatically. */
	maxFailures: countSchema.default(1),
	/** Maximum time for draining one host. */
	drainTimeoutMs: durationMsSchema.default(60_000),
	/** Time within which a host must serve again after its reboot. */
	rebootTimeoutMs: durationMsSchema.default(600_000),
	/** Unix time by which the wave must be completed; 0 for no deadline. */
	deadlineMs: z.number().int().nonnegative().default(0),
	/** State of the wave that the operator requests. */
	state: z.enum(['planned', 'running', 'paused', 'aborted']).default('planned'),
});

export type FleetOptions = z.infer<typeof fleetSchema>;
export type Operator = z.infer<typeof operatorSchema>;
export type Team = z.infer<typeof teamSchema>;
export type TeamKey = z.infer<typeof teamKeySchema>;
export type Queue = z.infer<typeof queueSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Host = z.infer<typeof hostSchema>;
export type Budget = z.infer<typeof budgetSchema>;
export type Wave = z.infer<typeof waveSchema>;
