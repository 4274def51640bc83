/**
The platform's interface to workers: hosts that run tasks under leases and reboot on request.
*/
import {type JsonObject} from '@poplarnotch/common';

/** Resources that a task may use, or that a worker has. */
export type TaskResources = {
	readonly cores: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A task to run. Starting the same task id on the same worker is idempotent. */
export type TaskSpec = {
	readonly taskId: string;
	readonly resources: TaskResources;
	/** The worker stops the task if its lease expires without renewal. */
	readonly leaseMs: number;
	readonly payload: JsonObject;
};

/** Status of a task as its worker last reported it. Reports may be out of date. */
export type TaskReport = {
	readonly taskId: string;
	readonly state: 'running' | 'throttled' | 'checkpointed' | 'finished' | 'failed' | 'stopped';
	readonly used: TaskResources;
	readonly reason?: string;
};

/** A worker with the latest reports on its tasks. */
export type WorkerReport = {
	readonly host: string;
	readonly capacity: TaskResources;
	readonly bootCount: number;
	readonly tasks: readonly TaskReport[];
	readonly ageMs: number;
};

/** Access to workers. Calls fail with `UnavailableError` or `WriteOutcomeUnknownError`; all calls are idempotent. */
export interface Workers {
	report(hosts: readonly string[]): Promise<readonly WorkerReport[]>;
	startTask(host: string, task: TaskSpec): Promise<void>;
	renewTask(host: string, taskId: string, leaseMs: number): Promise<void>;
	throttleTask(host: string, taskId: string): Promise<void>;
	checkpointTask(host: string, taskId: string): Promise<void>;
	stopTask(host: string, taskId: string): Promise<void>;
	/** Reboots the host with a change applied. A repeated call with the same `rebootId` has no further effect. */
	reboot(host: string, rebootId: string, change: string): Promise<void>;
}
