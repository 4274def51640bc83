/**
Client of the workers' interface over HTTP/JSON.
*/
import {type TaskSpec, type WorkerReport, type Workers} from '../workers.js';
import {type PlatformConnection} from './connection.js';
import {emptyAnswerSchema, workerReportsSchema} from './schemas.js';

/** `Workers` over HTTP. */
export class HttpWorkers implements Workers {
	readonly #connection: PlatformConnection;

	constructor(connection: PlatformConnection) {
		this.#connection = connection;
	}

	async report(hosts: readonly string[]): Promise<readonly WorkerReport[]> {
		const answer = await this.#connection.call({
			method: 'POST', path: '/workers/report', body: {hosts}, isWrite: false,
		}, workerReportsSchema);
		return answer.reports;
	}

	async startTask(host: string, task: TaskSpec): Promise<void> {
		await this.#change(`${host}/tasks/${task.taskId}/start`, task);
	}

	async renewTask(host: string, taskId: string, leaseMs: number): Promise<void> {
		await this.#change(`${host}/tasks/${taskId}/renew`, {leaseMs});
	}

	async throttleTask(host: string, taskId: string): Promise<void> {
		await this.#change(`${host}/tasks/${taskId}/throttle`, {});
	}

	async checkpointTask(host: string, taskId: string): Promise<void> {
		await this.#change(`${host}/tasks/${taskId}/checkpoint`, {});
	}

	async stopTask(host: string, taskId: string): Promise<void> {
		await this.#change(`${host}/tasks/${taskId}/stop`, {});
	}

	async reboot(host: string, rebootId: string, change: string): Promise<void> {
		await this.#change(`${host}/reboot`, {rebootId, change});
	}

	async #change(path: string, body: unknown): Promise<void> {
		await this.#connection.call({
			method: 'POST', path: `/workers/${path}`, body, isWrite: true,
		}, emptyAnswerSchema);
	}
}
