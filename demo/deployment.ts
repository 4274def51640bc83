/**
Runs one deployment of the demo: the platform and backend-server stand-ins, gates and controllers as separate processes, and the command-line tool that operates them.
*/
import {join} from 'node:path';
import {type ChildProcesses, type RunningProcess} from './child-processes.js';
import {respondsOk, waitUntil} from './wait.js';

/** Description of a deployment for the demo. */
export type DeploymentPlan = {
	readonly name: string;
	/** Folder with `fleet.ini`, `gate.ini` and `controller.ini`. */
	readonly settingsPath: string;
	/** Port of the platform stand-in; the other ports have fixed offsets from it, as in the example settings. */
	readonly basePort: number;
	readonly gateCount: number;
	readonly controllerCount: number;
	/** A team, and one of its queues whose requests are not idempotent. */
	readonly team: string;
	readonly queue: string;
	/** The pool that the maintenance wave covers, and a queue of that pool. */
	readonly wavePool: string;
	readonly waveQueue: string;
	/** Label of the deployment's work in the names of checks. */
	readonly workLabel: string;
};

/** A host as the command-line tool lists it; settings with their default value are omitted. */
export type ListedHost = {
	readonly address: string;
	readonly pool: string;
	readonly state?: string;
	readonly maintainedAtMs?: number;
};

/** Offsets of ports from the base port, as in the example settings. */
const gateOperationsOffset = 50;
const operatorsOffset = 60;
const controllerOperationsOffset = 70;

const startTimeoutMs = 10_000;

/** Operator key that the example settings accept. */
const rootKey = 'pn_root_tour-only-replace-this-key';

/** Duration of a reboot on the platform stand-in. */
const rebootMs = 300;

/** Starts and operates the processes of a deployment. */
export class Deployment {
	readonly plan: DeploymentPlan;
	readonly gates: RunningProcess[] = [];
	readonly #processes: ChildProcesses;

	constructor(plan: DeploymentPlan, processes: ChildProcesses) {
		this.plan = plan;
		this.#processes = processes;
	}

	get platformUrl(): string {
		return `http://127.0.0.1:${this.plan.basePort}`;
	}

	get gateUrls(): readonly string[] {
		return this.#numbersUpTo(this.plan.gateCount).map(number => `http://127.0.0.1:${this.plan.basePort + number}`);
	}

	get operatorsUrls(): readonly string[] {
		return this.#numbersUpTo(this.plan.controllerCount)
			.map(number => `http://127.0.0.1:${this.plan.basePort + operatorsOffset + number}`);
	}

	/** Starts all processes. Resolves to true if all became ready within `startTimeoutMs`. */
	async start(): Promise<boolean> {
		this.#startStandIns();
		if (!await waitUntil(async () => respondsOk(`${this.platformUrl}/hosts`), startTimeoutMs)) {
			return false;
		}

		await this.setPlatformFaults({rebootMs});
		this.#startControllers();
		this.#startGates();
		return this.#waitReady();
	}

	/** Runs the command-line tool `poplarnotch` with the given arguments. */
	async runCommand(...args: readonly string[]): Promise<{readonly exitCode: number; readonly stdout: string; readonly stderr: string}> {
		return this.#processes.run('poplarnotch', args, {
			POPLARNOTCH_SERVER: this.operatorsUrls.join(','),
			POPLARNOTCH_KEY: rootKey,
		});
	}

	/** Returns the fleet's hosts as the command-line tool lists them. */
	async listHosts(): Promise<readonly ListedHost[]> {
		const result = await this.runCommand('host', '--output', 'json');
		return (JSON.parse(result.stdout) as {readonly hosts: readonly ListedHost[]}).hosts;
	}

	/** Changes the faults of the platform stand-in. */
	async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		const response = await fetch(`${this.platformUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
		await response.arrayBuffer();
	}

	/** Reads a gauge of the gate with the given number, counted from 1, from its metrics address. */
	async readGateGauge(gateNumber: number, name: string): Promise<number> {
		const response = await fetch(`http://127.0.0.1:${this.plan.basePort + gateOperationsOffset + gateNumber}/metrics`);
		const text = await response.text();
		const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
		return line === undefined ? Number.NaN : Number(line.slice(name.length + 1));
	}

	#startStandIns(): void {
		const {name, settingsPath, basePort, gateCount} = this.plan;
		const fleetFile = join(settingsPath, 'fleet.ini');
		const entryHosts = this.#numbersUpTo(gateCount).flatMap(number => ['--host', `entry-${number}`]);
		this.#processes.start(`${name}-platform`, 'poplarnotch-standin', [
			'platform', '--port', String(basePort), '--hosts', fleetFile, ...entryHosts,
		]);
		this.#processes.start(`${name}-backends`, 'poplarnotch-standin', [
			'backends', '--platform', this.platformUrl, '--config', fleetFile,
		]);
	}

	#startControllers(): void {
		for (const number of this.#numbersUpTo(this.plan.controllerCount)) {
			this.#startProcess('controller', number, {
				operatorsPort: operatorsOffset + number,
				operationsPort: controllerOperationsOffset + number,
			});
		}
	}

	#startGates(): void {
		for (const number of this.#numbersUpTo(this.plan.gateCount)) {
			this.gates.push(this.#startProcess('gate', number, {
				port: number,
				operationsPort: gateOperationsOffset + number,
			}));
		}
	}

	#startProcess(role: string, number: number, portOffsets: Readonly<Record<string, number>>): RunningProcess {
		const ports = Object.entries(portOffsets)
			.flatMap(([key, offset]) => ['--set', `listen.${key}=${this.plan.basePort + offset}`]);
		return this.#processes.start(`${this.plan.name}-${role}-${number}`, `poplarnotch-${role}`, [
			'--settings',
			join(this.plan.settingsPath, `${role}.ini`),
			'--set',
			`process.id=${role}-${number}`,
			'--set',
			`process.host=entry-${number}`,
			...ports,
		]);
	}

	async #waitReady(): Promise<boolean> {
		const {basePort, gateCount, controllerCount} = this.plan;
		const ports = [
			...this.#numbersUpTo(gateCount).map(number => basePort + gateOperationsOffset + number),
			...this.#numbersUpTo(controllerCount).map(number => basePort + controllerOperationsOffset + number),
		];
		const ready = await Promise.all(ports.map(async port =>
			waitUntil(async () => respondsOk(`http://127.0.0.1:${port}/readyz`), startTimeoutMs)));
		return ready.every(Boolean);
	}

	#numbersUpTo(count: number): readonly number[] {
		return Array.from({length: count}, (_value, index) => index + 1);
	}
}
