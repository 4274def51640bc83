/**
Settings of a gate process, read from its INI file. Names of durations end in `Ms`, names of sizes in `Bytes`.
*/
import {
	countSchema, durationMsSchema, logSectionSchema, platformSectionSchema, portSchema, processSectionSchema, z,
} from '@poplarnotch/common';

const positiveSchema = z.number().int().positive();

/** Sections of the settings file of a gate. */
export const gateSettingsSchema = z.strictObject({
	process: processSectionSchema,
	listen: z.strictObject({
		host: z.string().min(1).default('127.0.0.1'),
		port: portSchema.default(8080),
		operationsPort: portSchema.default(8081),
		/** Idle time after which the connection of a caller is closed. */
		keepAliveTimeoutMs: durationMsSchema.default(5000),
	}),
	platform: platformSectionSchema,
	peers: z.strictObject({
		/** Shared secret that authenticates calls between the processes of the fleet; the same in all of them. */
		secret: z.string().min(1),
	}),
	drain: z.strictObject({
		/** Time between the readiness check failing and new connections being refused. */
		lameDuckMs: durationMsSchema.default(2000),
		/** Maximum duration of the whole shutdown. */
		timeoutMs: durationMsSchema.default(60_000),
	}),
	log: logSectionSchema,
	limits: z.strictObject({
		maxHeaderBytes: positiveSchema.default(16_384),
		/** Time within which a caller must send all headers. */
		headersTimeoutMs: positiveSchema.default(10_000),
		/** Time within which a caller must send the whole request. */
		requestTimeoutMs: positiveSchema.default(120_000),
		/** Largest request body that is kept for sending it again. */
		replayableBodyBytes: countSchema.default(65_536),
		/** Maximum size of all request bodies that are kept at one time. */
		heldBodiesBytes: positiveSchema.default(67_108_864),
		/** Largest `Request-Timeout-Ms` that callers may request. */
		maxRequestTimeoutMs: positiveSchema.default(3_600_000),
	}),
	claims: z.strictObject({
		/** Time for which a claim waits for others to share its transaction. */
		lingerMs: durationMsSchema.default(2),
		/** Time for which a recorded outcome waits for others to share its transaction. */
		slowLingerMs: durationMsSchema.default(20),
		/** Maximum write rate of this gate: its part of the writes that the table service accepts. */
		writesPerSecond: positiveSchema.default(40),
		/** Transactions that may be sent in one burst after an idle time. */
		writeBurst: positiveSchema.default(10),
		maxGroupSize: positiveSchema.default(100),
		maxGroupBytes: positiveSchema.default(262_144),
		/** Maximum number of transactions in flight. */
		maxInFlight: positiveSchema.default(2),
		/** Time after which a call to the table service is considered lost. */
		callTimeoutMs: positiveSchema.default(1000),
		/** Time within which a claim must be resolved; after this it is refused. */
		settleTimeoutMs: positiveSchema.default(2000),
		/** Largest answer body that is recorded. */
		recordedBodyBytes: countSchema.default(32_768),
		/** Age at which a resolved claim is deleted. */
		retentionMs: positiveSchema.default(86_400_000),
		/** Time between two pages of the search for old claims. */
		sweepIntervalMs: positiveSchema.default(5000),
		sweepPageSize: positiveSchema.default(200),
	}),
	servers: z.strictObject({
		connectTimeoutMs: positiveSchema.default(1000),
		/** Idle time after which a connection to a backend server is closed. */
		keepAliveTimeoutMs: positiveSchema.default(4000),
		/** Interval at which the platform's host list is polled. */
		hostListPollMs: positiveSchema.default(500),
	}),
});

export type GateSettings = z.infer<typeof gateSettingsSchema>;
