/**
State, events and effects of the fleet's reducer. Durable state is kept in the settings tree (a host's pool, target pool and state) and in the rows `waves/{wave}`; everything else is rebuilt from observations. All times are Unix times in milliseconds, because a step may outlive the process that started it.
*/
import {
	type FleetSettings, type LogFields, type SettingsEdit, z,
} from '@poplarnotch/common';
import {type ListedHost} from '@poplarnotch/platform';

/**
The step of one host in a wave:
`cordoning` (about to be marked as leaving), `draining`, `stopping` (drained, about to be marked as in maintenance), `rebooting` (until the host serves again), `releasing` (returns to serving without a reboot).
*/
export const hostStepSchema = z.strictObject({
	step: z.enum(['cordoning', 'draining', 'stopping', 'rebooting', 'releasing']),
	/** When the wave took the host. */
	startedAtMs: z.number(),
	/** When the step began. */
	sinceMs: z.number(),
	/** Settings revision at which the host was leaving or in maintenance; the gates must confirm it. */
	drainRevision: z.number().optional(),
	/** Boot count before the reboot. */
	bootCountBefore: z.number().optional(),
});

const failureSchema = z.strictObject({
	atMs: z.number(),
	reason: z.enum(['no-return', 'lost-again']),
	bootCountBefore: z.number().optional(),
});

const postponementSchema = z.strictObject({
	untilMs: z.number(),
	attempts: z.number(),
});

const pauseSchema = z.strictObject({
	reason: z.string(),
	/** True once the wave's setting is `paused`; from then on only the setting decides. */
	isInSettings: z.boolean(),
});

/** The row `waves/{wave}`. */
export const waveProgressSchema = z.strictObject({
	wave: z.string(),
	phase: z.enum(['running', 'paused', 'done', 'aborted']),
	startedAtMs: z.number(),
	finishedAtMs: z.number().optional(),
	/** Hosts that the wave is working on. */
	hosts: z.record(z.string(), hostStepSchema),
	/** When each finished host served again. */
	done: z.record(z.string(), z.number()),
	failed: z.record(z.string(), failureSchema),
	/** Hosts that the wave skipped, with the reason. */
	skipped: z.record(z.string(), z.string()),
	/** Hosts whose drain timed out, with the time of the next attempt. */
	postponed: z.record(z.string(), postponementSchema),
	/** Sum over all finished hosts of the time from taking the host to its return. */
	hostMsTotal: z.number(),
	/** Failures since the operator last started or resumed the wave. */
	failures: z.number(),
	pause: pauseSchema.optional(),
});

export type HostStep = z.infer<typeof hostStepSchema>;
export type WaveProgress = z.infer<typeof waveProgressSchema>;

/** A wave's progress and its last stored version. */
export type WaveRecord = {
	readonly progress: WaveProgress;
	readonly saved: WaveProgress | undefined;
	/** Version of the stored row; 0 if there is none. */
	readonly version: number;
};

/** Observed state of one host. */
export type HostObservation = {
	readonly listed: 'live' | 'leaving' | 'gone';
	readonly bootCount: number;
	/** Last time at which the host is known to have served; `undefined` if it was never observed to serve. */
	readonly servedAtMs: number | undefined;
	/** Time of the last sign of loss. */
	readonly lostAtMs: number | undefined;
	/** When the host served again after a loss. */
	readonly recoveredAtMs: number | undefined;
};

/** A gate's report on one host: the settings revision that the gate has in force and its number of requests in flight on the host. */
export type GateDrainReport = {
	readonly processId: string;
	readonly revision: number;
	readonly host: string;
	readonly inFlight: number;
};

/** The latest reports of all gates. */
export type GateReports = {
	/** Gates that may be alive; `undefined` if they are not known. */
	readonly processIds: readonly string[] | undefined;
	readonly listedAtMs: number;
	/** By host, then by gate. */
	readonly confirmations: ReadonlyMap<string, ReadonlyMap<string, GateDrainReport>>;
};

/** The drain of a host for a move. It is rebuilt from the host's settings after another controller takes the lease. */
export type MoveDrain = {
	readonly revision: number;
	readonly sinceMs: number;
};

/** The state of the fleet's reducer. */
export type FleetState = {
	/** False while this controller does not hold the lease; then the reducer starts nothing. */
	readonly isActive: boolean;
	readonly settings: FleetSettings;
	/** Revision of this controller's last change; decisions wait until the settings show it. */
	readonly awaitedRevision: number;
	readonly observations: ReadonlyMap<string, HostObservation>;
	/** Time of the newest host list's content; `undefined` before the first list. */
	readonly listedAtMs: number | undefined;
	/** `undefined` until the rows have been read under the current lease. */
	readonly waves: ReadonlyMap<string, WaveRecord> | undefined;
	readonly gates: GateReports;
	/** Pending calls, with the time at which they were made. A change of settings counts as one call for each entity. */
	readonly pending: ReadonlyMap<string, number>;
	/** When the platform accepted each reboot, by reboot id. */
	readonly acceptedReboots: ReadonlyMap<string, number>;
	/** Drains for moves between pools, by host. */
	readonly moveDrains: ReadonlyMap<string, MoveDrain>;
	/** The last logged reason for each blocked wave or move. */
	readonly blockedLog: ReadonlyMap<string, string>;
};

/** A wave's progress as stored, with the version of its row. */
export type StoredWave = {
	readonly progress: WaveProgress;
	readonly version: number;
};

/** All events. An event that responds to a call names the call in `call` or `calls`. */
export type FleetEvent
	/** Sent several times a second; the only event on which decisions are taken. */
	= | {readonly type: 'tick'; readonly nowMs: number}
	/** This controller now holds the lease. Decisions wait until the settings reach `revision`, the newest one at that time. */
		| {readonly type: 'leaseTaken'; readonly revision: number}
		| {readonly type: 'leaseLost'}
		| {readonly type: 'settingsChanged'; readonly settings: FleetSettings}
		| {readonly type: 'wavesLoaded'; readonly call: string; readonly waves: readonly StoredWave[]}
		| {readonly type: 'waveSaved'; readonly call: string; readonly progress: WaveProgress; readonly version: number}
	/** A save conflicted with another version or its outcome is unknown; the rows are read again. */
		| {readonly type: 'waveSaveUncertain'; readonly call: string}
		| {readonly type: 'hostsListed'; readonly nowMs: number; readonly ageMs: number; readonly hosts: readonly ListedHost[]}
	/** A gate or another observer reported a sign of loss. */
		| {readonly type: 'hostSuspected'; readonly nowMs: number; readonly host: string}
		| {readonly type: 'probeCompleted'; readonly call: string; readonly nowMs: number; readonly requestedAtMs: number; readonly host: string; readonly isHealthy: boolean}
	/** `processIds` are all gates that may be alive; `confirmations` are the reports of those that responded. */
		| {readonly type: 'gatesReported'; readonly call: string; readonly requestedAtMs: number; readonly processIds: readonly string[]; readonly confirmations: readonly GateDrainReport[]}
		| {readonly type: 'changeCommitted'; readonly calls: readonly string[]; readonly revision: number}
	/** The change was definitely not applied. */
		| {readonly type: 'changeRefused'; readonly calls: readonly string[]}
		| {readonly type: 'rebootAccepted'; readonly call: string; readonly nowMs: number; readonly rebootId: string}
	/** The call failed, or its outcome is unknown; it is repeated if it is still needed. */
		| {readonly type: 'callFailed'; readonly call: string};

/** A change of settings, which conflicts with any change of the same entities after `expectedRevision`. */
export type SettingsCall = {
	readonly type: 'commitHostChange';
	/** The pending calls that this change completes: one for each entity that changes. */
	readonly calls: readonly string[];
	readonly reason: string;
	readonly edits: readonly SettingsEdit[];
	readonly expectedRevision: number;
	/** True if the change conflicts with any change of the settings after `expectedRevision`, because it was checked against the budgets of the whole tree. */
	readonly isExclusive: boolean;
};

/** All effects. The event that responds to an effect carries the same `call`. */
export type FleetEffect
	/** Changes settings of hosts and waves in one commit; followed by `changeCommitted` or `changeRefused`. */
	= | SettingsCall
	/** Reads the rows `waves/`; followed by `wavesLoaded`. */
		| {readonly type: 'loadWaves'; readonly call: string}
	/** Writes a wave's row; followed by `waveSaved` or `waveSaveUncertain`. */
		| {readonly type: 'saveWave'; readonly call: string; readonly progress: WaveProgress; readonly expectedVersion: number}
		| {readonly type: 'reboot'; readonly call: string; readonly host: string; readonly rebootId: string; readonly change: string}
	/** Probes whether a backend server serves; followed by `probeCompleted`. */
		| {readonly type: 'probeHost'; readonly call: string; readonly host: string; readonly address: string}
	/** Queries all gates about hosts; followed by `gatesReported`. */
		| {readonly type: 'queryGates'; readonly call: string; readonly hosts: readonly string[]; readonly revision: number}
		| {readonly type: 'log'; readonly level: 'info' | 'warn'; readonly fields: LogFields};
