/**
Interfaces to the platform that the scheduler runs on. The platform adapter implements them; tests use stand-ins.
*/
import {type RefreshRecord} from '@poplarnotch/state';
import {
	type FleetConfiguration, type MachineEntry, type WaveOrder, type WorkerEntry, type WorkerReport,
} from './types.js';

/** Watches a state that the platform stores and passes each newer version to its listener. */
export interface StateSource<Value> {
	/** Time, on the process's own clock, at which the read that last confirmed the state was sent; `undefined` before the first. */
	readonly confirmedAtMs: number | undefined;
	start(listener: (value: Value) => void): void;
	stop(): void;
	/** Reads the state at once, for use when the store is within reach again. */
	readNow(): void;
}

/** A source that can be brought up to date on demand. */
export interface RefreshableSource<Value> extends StateSource<Value> {
	/** Resolves once the listener has received every change that was acknowledged before this call, to what was read if the source keeps a copy of rows; fails with `UnavailableError`. */
	refresh(): Promise<RefreshRecord | undefined>;
}

/** How closely a process follows the registered workers, of which each heartbeat is a change: not at all, as a likely successor of the lease holder, as the holder, which assigns work to them, or as a new holder, which is told of each heartbeat as well: it proves that a worker has not started again. */
export type WorkerWatchMode = 'suspended' | 'standby' | 'scheduling' | 'taking-over';

/** Watches the registered workers. */
export interface WorkerSource extends RefreshableSource<readonly WorkerEntry[]> {
	setMode(mode: WorkerWatchMode): void;
}

/** The operators' configuration, maintenance orders and evacuation orders. */
export type OperatorOrders = {
	/** `undefined` until the first configuration has been read. */
	readonly configuration: FleetConfiguration | undefined;
	readonly waves: readonly WaveOrder[];
	/** Data centres in which nothing new may be started. */
	readonly evacuatedDataCentres: readonly string[];
};

/** Identifies a worker and where it is reached. */
export type WorkerAddress = {
	readonly workerId: string;
	readonly address: string;
};

/** Asked right before an order is sent, which may wait for a connection: the sender may have been replaced meanwhile. If it returns false, the order is dropped and counts as not sent. */
export type MayBeSent = () => boolean;

export type StartOrder = {
	readonly taskKey: string;
	readonly attempt: number;
	readonly payload: string;
	readonly checkpoint: string;
	/** End of the lease on the worker's clock. */
	readonly deadlineClockMs: number;
	readonly fencingToken: number;
	/** Ticket of the policy service that permits the start; empty if none is needed. */
	readonly ticket: string;
};

/** A worker's answer to a start order; `not-sent` if the order certainly did not leave this process. */
export type StartAnswer = 'started' | 'fenced' | 'outdated-attempt' | 'too-late' | 'no-room' | 'no-ticket' | 'refused' | 'wrong-worker' | 'not-sent' | 'unknown';

export type PollOrder = {
	readonly fencingToken: number;
	/** Run ends up to this sequence number may be discarded. */
	readonly acknowledgedSequence: number;
	/** Extends the lease of everything on the worker; `undefined` while the worker's clock is unknown. */
	readonly deadlineClockMs: number | undefined;
	/** How long the worker may wait for a run to end before it answers. */
	readonly waitMs: number;
};

/** A worker's answer to a poll. */
export type PollAnswer
	= | {readonly type: 'report'; readonly report: WorkerReport}
		| {readonly type: 'fenced' | 'wrong-worker' | 'unreachable'};

export type StopOrder = {
	readonly taskKey: string;
	readonly attempt: number;
	readonly fencingToken: number;
};

export type OrderAnswer = 'accepted' | 'fenced' | 'wrong-worker' | 'refused' | 'unknown';

/** Sends orders and polls to workers. No call throws: a missing answer is reported as a result of its own. */
export interface WorkerControl {
	start(worker: WorkerAddress, order: StartOrder, mayBeSent: MayBeSent): Promise<StartAnswer>;
	stop(worker: WorkerAddress, order: StopOrder): Promise<OrderAnswer>;
	poll(worker: WorkerAddress, order: PollOrder): Promise<PollAnswer>;
	pace(worker: WorkerAddress, order: StopOrder & {readonly percent: number}): Promise<OrderAnswer>;
}

/** The platform's answer to a machine order. */
export type MachineAnswer = 'accepted' | 'fenced' | 'busy' | 'not-in-wave' | 'refused' | 'unknown';

/** Identifies the lease holder in machine orders. */
export type MachineHolder = {
	readonly holder: string;
	readonly fencingToken: number;
	readonly mayBeSent: MayBeSent;
};

/** A machine whose entry cannot be read. It may be up, and its worker with it. */
export type UnreadableMachine = {
	readonly machineId: string | undefined;
	readonly workerId: string | undefined;
};

export type MachineListing = {
	readonly machines: readonly MachineEntry[];
	readonly unreadable: readonly UnreadableMachine[];
	/** False if the list was read in several parts, between which machines may have changed places so that one is missing. */
	readonly isOfOneMoment: boolean;
};

/** Lists and orders the machines of the fleet. Listing fails with `UnavailableError`; orders never throw. */
export interface MachineControl {
	list(): Promise<MachineListing>;
	move(machineId: string, pool: string, holder: MachineHolder): Promise<MachineAnswer>;
	maintain(machineId: string, waveId: number, holder: MachineHolder): Promise<MachineAnswer>;
}

export type AdviceAnswer
	= | {
		readonly type: 'advised';
		/** Tickets of the workers that may run the step, by worker id; workers without a ticket may not. */
		readonly tickets: ReadonlyMap<string, string>;
		/** How long a ticket is valid, counted from the time of the request at the earliest. */
		readonly validMs: number;
	}
	| {readonly type: 'unanswered'};

/** Client of the policy service that decides which workers may run a step. It never throws. */
export interface PlacementAdvisor {
	advise(stepKey: string, workerIds: readonly string[]): Promise<AdviceAnswer>;
}

/** Reports the state of a wave to the operators. */
export interface WaveReporter {
	report(waveId: number, state: 'running' | 'completed'): Promise<void>;
}
