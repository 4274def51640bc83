/**
Implements workers in memory. A task runs until the `runMs` of its payload have passed, it is stopped, or its lease expires. A task whose payload has `fails: true` fails immediately.
*/
import {type CancelTimer, type Clock} from '@poplarnotch/common';
import {
	type TaskReport, type TaskResources, type TaskSpec, UnavailableError, type WorkerReport, type Workers,
} from '@poplarnotch/platform';
import {type MemoryHosts} from './memory-hosts.js';

const defaultCapacity: TaskResources = {cores: 32, memoryMb: 65_536, accelerators: 0};
const noResources: TaskResources = {cores: 0, memoryMb: 0, accelerators: 0};

type RunningTask = {
	spec: TaskSpec;
	state: TaskReport['state'];
	reason: string | undefined;
	cancelLease: CancelTimer;
	cancelRun: CancelTimer;
};

const isActive = (task: RunningTask): boolean => task.state === 'running' || task.state === 'throttled';

const noTimer: CancelTimer = () => undefined;

/** In-memory `Workers`, one on each host of a `MemoryHosts`. */
export class MemoryWorkers implements Workers {
	readonly capacities = new Map<string, TaskResources>();
	readonly #hosts: MemoryHosts;
	readonly #clock: Clock;
	#failingHosts: ReadonlySet<string> = new Set();
	readonly #tasks = new Map<string, Map<string, RunningTask>>();

	constructor(hosts: MemoryHosts, clock: Clock) {
		this.#hosts = hosts;
		this.#clock = clock;
	}

	/** Sets the hosts whose workers fail every task immediately. */
	setFailingHosts(hosts: readonly string[]): void {
		this.#failingHosts = new Set(hosts);
	}

	async report(hosts: readonly string[]): Promise<readonly WorkerReport[]> {
		const listedHosts = new Set(this.#hosts.current.map(listed => listed.host));
		return hosts
			.filter(host => listedHosts.has(host))
			.map(host => ({
				host,
				capacity: this.capacities.get(host) ?? defaultCapacity,
				bootCount: this.#hosts.bootCountOf(host),
				tasks: [...this.#tasksOf(host).values()].map(task => this.#reportOf(task)),
				ageMs: Math.round(this.#hosts.lagMs),
			}));
	}

	async startTask(host: string, spec: TaskSpec): Promise<void> {
		this.#requireListed(host);
		const tasks = this.#tasksOf(host);
		if (tasks.has(spec.taskId)) {
			return;
		}

		const task: RunningTask = {
			spec, state: 'running', reason: undefined, cancelLease: noTimer, cancelRun: noTimer,
		};
		tasks.set(spec.taskId, task);
		if (this.#failingHosts.has(host) || spec.payload.fails === true) {
			this.#end(task, 'failed', 'failed at start');
			return;
		}

		this.#startLeaseTimer(task, spec.leaseMs);
		if (typeof spec.payload.runMs === 'number') {
			task.cancelRun = this.#clock.schedule(spec.payload.runMs, () => {
				this.#end(task, 'finished');
			});
		}
	}

	async renewTask(host: string, taskId: string, leaseMs: number): Promise<void> {
		this.#changeActiveTask(host, taskId, task => {
			task.cancelLease();
			this.#startLeaseTimer(task, leaseMs);
		});
	}

	async throttleTask(host: string, taskId: string): Promise<void> {
		this.#changeActiveTask(host, taskId, task => {
			task.state = 'throttled';
		});
	}

	async checkpointTask(host: string, taskId: string): Promise<void> {
		this.#changeActiveTask(host, taskId, task => {
			this.#end(task, 'checkpointed');
		});
	}

	async stopTask(host: string, taskId: string): Promise<void> {
		this.#changeActiveTask(host, taskId, task => {
			this.#end(task, 'stopped');
		});
	}

	async reboot(host: string, rebootId: string, change: string): Promise<void> {
		const bootCount = this.#hosts.bootCountOf(host);
		this.#hosts.reboot(host, rebootId, change);
		if (this.#hosts.rebooting.has(host) && this.#hosts.bootCountOf(host) === bootCount) {
			this.#stopAll(host);
		}
	}

	#stopAll(host: string): void {
		for (const task of this.#tasksOf(host).values()) {
			if (isActive(task)) {
				this.#end(task, 'stopped', 'host rebooted');
			}
		}
	}

	#tasksOf(host: string): Map<string, RunningTask> {
		let tasks = this.#tasks.get(host);
		if (tasks === undefined) {
			tasks = new Map();
			this.#tasks.set(host, tasks);
		}

		return tasks;
	}

	#requireListed(host: string): void {
		if (!this.#hosts.current.some(listed => listed.host === host)) {
			throw new UnavailableError(`host ${host} is not there`);
		}
	}

	#changeActiveTask(host: string, taskId: string, change: (task: RunningTask) => void): void {
		this.#requireListed(host);
		const task = this.#tasksOf(host).get(taskId);
		if (task !== undefined && isActive(task)) {
			change(task);
		}
	}

	#startLeaseTimer(task: RunningTask, leaseMs: number): void {
		task.cancelLease = this.#clock.schedule(leaseMs, () => {
			this.#end(task, 'stopped', 'lease ended');
		});
	}

	#end(task: RunningTask, state: TaskReport['state'], reason?: string): void {
		task.cancelLease();
		task.cancelRun();
		task.state = state;
		task.reason = reason;
	}

	#reportOf(task: RunningTask): TaskReport {
		return {
			taskId: task.spec.taskId,
			state: task.state,
			used: isActive(task) ? task.spec.resources : noResources,
			...(task.reason === undefined ? {} : {reason: task.reason}),
		};
	}
}
