/**
Faults that can be injected into the stand-ins.
*/
import {countSchema, durationMsSchema, z} from '@poplarnotch/common';

/** Faults of the platform. */
export const platformFaultsSchema = z.strictObject({
	/** Every call is refused with 503; nothing is applied. */
	down: z.boolean(),
	/** Delay of every call before it takes effect. */
	delayMs: durationMsSchema,
	/** Number of the next writes that are applied but whose connection is destroyed instead of a response. */
	loseAnswers: countSchema,
	/** Share of the writes that are applied but get no response. */
	loseAnswerShare: z.number().min(0).max(1),
	/** Clients (by their `x-client` header) whose connections are destroyed before anything is applied. */
	cutClients: z.array(z.string()),
	/** Age of the host list. */
	hostListLagMs: durationMsSchema,
	/** Duration of a reboot. */
	rebootMs: durationMsSchema,
	/** Hosts whose workers fail every task immediately. */
	failingHosts: z.array(z.string()),
	/** Rate above which writes are refused with 429. */
	writesPerSecond: z.number().positive(),
	/** Rate above which reads are refused with 429. */
	readsPerSecond: z.number().positive(),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** A platform without faults and with its default rate limits. */
export const noPlatformFaults: PlatformFaults = {
	down: false,
	delayMs: 0,
	loseAnswers: 0,
	loseAnswerShare: 0,
	cutClients: [],
	hostListLagMs: 0,
	rebootMs: 500,
	failingHosts: [],
	writesPerSecond: 400,
	readsPerSecond: 2000,
};

/** Faults of one backend server. */
export const backendFaultsSchema = z.strictObject({
	/** The port is closed. */
	refuseConnections: z.boolean(),
	/** The connection is reset after the request has run, before the first byte of the response. */
	resetBeforeAnswer: z.boolean(),
	/** The connection is reset in the middle of the response body. */
	resetMidAnswer: z.boolean(),
	/** The response ends before its content-length is reached. */
	shortAnswer: z.boolean(),
	/** Requests are accepted and run, but never get a response. */
	freeze: z.boolean(),
	/** Every request gets status 500 immediately. */
	failFast: z.boolean(),
});
export type BackendFaults = z.infer<typeof backendFaultsSchema>;

/** A backend server without faults. */
export const noBackendFaults: BackendFaults = {
	refuseConnections: false,
	resetBeforeAnswer: false,
	resetMidAnswer: false,
	shortAnswer: false,
	freeze: false,
	failFast: false,
};
