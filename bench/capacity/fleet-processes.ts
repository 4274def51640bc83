/**
Starts the built binaries for the benchmark: the platform stand-in, gates and controllers as separate processes.
*/
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type JsonObject, type SettingsTree} from '@poplarnotch/common';
import {ChildProcesses, type RunningProcess} from '../../demo/child-processes.js';
import {respondsOk, waitUntil} from '../../demo/wait.js';

const rootPath = join(import.meta.dirname, '../..');
const settingsPath = join(rootPath, 'examples/khongor');
const basePort = 7500;
const gateOperationsOffset = 50;
const operatorsOffset = 60;
const controllerOperationsOffset = 70;
const startTimeoutMs = 20_000;
const rootKey = 'pn_root_tour-only-replace-this-key';

/** Number of calls that the platform has handled for all processes. */
export type CallCounts = {
	readonly atMs: number;
	readonly reads: number;
	readonly writes: number;
};

/** Starts and operates a fleet of real processes. */
export class FleetProcesses {
	readonly gates: RunningProcess[] = [];
	readonly controllers: RunningProcess[] = [];
	readonly #processes = new ChildProcesses(join(rootPath, 'dist'), mkdtempSync(join(tmpdir(), 'capacity-')));

	/** Starts the platform and the controllers, and waits until the platform and the last controller are ready. */
	async start(controllerCount: number, entryHostCount: number, hostNames: readonly string[]): Promise<void> {
		const entryHosts = Array.from({length: entryHostCount}, (_value, index) => `entry-${index + 1}`);
		const hostArgs = [...entryHosts, ...hostNames].flatMap(host => ['--host', host]);
		this.#processes.start('platform', 'poplarnotch-standin', ['platform', '--port', String(basePort), ...hostArgs]);
		await this.#requireResponse(`http://127.0.0.1:${basePort}/hosts`);
		for (let number = 1; number <= controllerCount; number++) {
			this.controllers.push(this.#startProcess('controller', number, {
				operatorsPort: operatorsOffset + number,
				operationsPort: controllerOperationsOffset + number,
			}));
		}

		await this.#requireResponse(`http://127.0.0.1:${basePort + controllerOperationsOffset + controllerCount}/readyz`);
	}

	/** Starts gates until `gateCount` run, and waits until the last one is ready. */
	async startGates(gateCount: number): Promise<void> {
		for (let number = this.gates.length + 1; number <= gateCount; number++) {
			this.gates.push(this.#startProcess('gate', number, {port: number, operationsPort: gateOperationsOffset + number}));
		}

		await this.#requireResponse(`http://127.0.0.1:${basePort + gateOperationsOffset + gateCount}/readyz`);
	}

	/** Returns the number of calls that the platform has handled so far. */
	async counts(): Promise<CallCounts> {
		const response = await fetch(`http://127.0.0.1:${basePort}/counts`);
		const {reads, writes} = await response.json() as CallCounts;
		return {atMs: performance.now(), reads, writes};
	}

	/** Sets all settings of the tree in one change and waits until it is in force. */
	async apply(tree: SettingsTree): Promise<void> {
		await this.change([...tree].map(([path, value]) => ({path, value})));
	}

	/** Makes one change and waits until it is in force. Resolves to the time from its acceptance until then, in milliseconds. */
	async change(edits: readonly JsonObject[]): Promise<number> {
		const answer = await this.#call('POST', '/v1/changes', {changeId: crypto.randomUUID(), reason: 'bench', edits});
		const acceptedMs = performance.now();
		const {revision} = (answer as {readonly change: {readonly revision: number}}).change;
		const isInForce = await waitUntil(async () => {
			const status = await this.#call('GET', `/v1/in-force?revision=${revision}`) as {readonly isInForce: boolean};
			return status.isInForce;
		}, startTimeoutMs);
		if (!isInForce) {
			throw new RangeError(`revision ${revision} is not in force after ${startTimeoutMs} ms`);
		}

		return performance.now() - acceptedMs;
	}

	async stop(): Promise<void> {
		await this.#processes.stopAll();
	}

	#startProcess(role: string, number: number, portOffsets: Readonly<Record<string, number>>): RunningProcess {
		const overrides = [
			`process.id=${role}-${number}`,
			`process.host=entry-${number}`,
			`platform.url=http://127.0.0.1:${basePort}`,
			...Object.entries(portOffsets).map(([key, offset]) => `listen.${key}=${basePort + offset}`),
		];
		return this.#processes.start(`${role}-${number}`, `poplarnotch-${role}`, [
			'--settings',
			join(settingsPath, `${role}.ini`),
			...overrides.flatMap(override => ['--set', override]),
		]);
	}

	async #call(method: string, path: string, body?: JsonObject): Promise<unknown> {
		const response = await fetch(`http://127.0.0.1:${basePort + operatorsOffset + 1}${path}`, {
			method,
			headers: {authorization: `Bearer ${rootKey}`, 'content-type': 'application/json'},
			...(body === undefined ? {} : {body: JSON.stringify(body)}),
		});
		const answer = await response.json();
		if (!response.ok) {
			throw new RangeError(`${method} ${path} answered ${response.status}: ${JSON.stringify(answer).slice(0, 300)}`);
		}

		return answer;
	}

	async #requireResponse(url: string): Promise<void> {
		if (!await waitUntil(async () => respondsOk(url), startTimeoutMs)) {
			throw new RangeError(`${url} does not answer`);
		}
	}
}
