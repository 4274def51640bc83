/**
The daemons of the deployment: processes with the command of the deploy file, on loopback addresses of their own.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {PoplarnotchError} from '@poplarnotch/common';
import {Counts} from './counts.js';
import {KeepAliveClients} from './http.js';
import {type ProcessorQuota, type ThrottledProcess} from './processor-quota.js';
import {type Record} from './record.js';
import {
	bounds, type DaemonPlace, frontPort, readyPort, settingsTextOf,
} from './settings.js';

const rootPath = join(import.meta.dirname, '..');

const probeIntervalMs = 1000;
const missesUntilOut = 2;
const readyPollMs = 100;
const readyTimeoutMs = 12_000;

/** Time within which a daemon that was started again has to be ready, whatever troubles go on. */
const maxStartMs = 30_000;

export class SoakError extends PoplarnotchError {
	override readonly code = 'soak-not-playable';
}

/** Reads the command of the entry role from the deploy file. */
const readDeployCommand = (): readonly string[] => {
	const command = /^run = "(?<command>[^"]+)"$/mv.exec(readFileSync(join(rootPath, 'deploy/system.toml'), 'utf8'))?.groups?.command;
	if (command === undefined) {
		throw new SoakError('deploy/system.toml has no command for the entry role');
	}

	return command.split(' ');
};

export class Daemon {
	readonly name: string;
	readonly cpuShare: number;
	readonly clients: KeepAliveClients;
	readonly counts: Counts;
	/** Set while a trouble stops, ends or restarts the process. */
	isDisturbed = false;
	/** Ends of the process that the soak did not cause, and starts after which it did not become ready. */
	readonly faults: string[] = [];
	readonly #probes: KeepAliveClients;
	readonly #settingsFile: string;
	readonly #logFile: string;
	readonly #record: Record;
	readonly #quota: ProcessorQuota | undefined;
	#child: ChildProcess | undefined;
	#throttled: ThrottledProcess | undefined;
	#isEndExpected = false;
	#isClosed = false;
	#pauses = 0;
	#misses = 0;
	#probeTimer: NodeJS.Timeout | undefined;

	constructor(place: DaemonPlace, folder: string, record: Record, quota?: ProcessorQuota) {
		this.name = place.name;
		this.cpuShare = place.cpuShare;
		this.clients = new KeepAliveClients(place.ip, frontPort);
		this.#probes = new KeepAliveClients(place.ip, readyPort);
		this.#settingsFile = join(folder, `${place.name}.conf`);
		this.#logFile = join(folder, `${place.name}.log`);
		this.counts = new Counts(place.ip, this.#logFile);
		this.#record = record;
		this.#quota = quota;
		writeFileSync(this.#settingsFile, settingsTextOf(place));
	}

	/** Whether clients send their calls here: new connections as long as the probes are answered, and open ones until they break. */
	get takesCalls(): boolean {
		return this.#misses < missesUntilOut || this.clients.hasConnection;
	}

	/** Whether the process has been told to end and has not ended yet. */
	get isStopping(): boolean {
		return this.#isEndExpected && this.#child?.exitCode === null && this.#child.signalCode === null;
	}

	spawn(): void {
		if (this.#isClosed) {
			return;
		}

		const [program = '', ...parameters] = readDeployCommand();
		const log = openSync(this.#logFile, 'a');
		this.#isEndExpected = false;
		const child = spawn(program === 'node' ? process.execPath : program, parameters, {
			cwd: rootPath, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, POPLARNOTCH_CONFIG: this.#settingsFile},
		});
		closeSync(log);
		this.#child = child;
		this.#pauses = 0;
		this.#throttled = this.#quota?.apply(child);
		child.once('exit', (code, signal) => {
			this.#record.add(`${this.name} ends with ${signal ?? code}`);
			if (!this.#isEndExpected) {
				this.faults.push(`${this.name} ended by itself with ${signal ?? code}`);
			}
		});
		this.#record.add(`${this.name} is started as process ${child.pid}`);
		this.#probeTimer ??= setInterval(() => {
			void this.#probe();
		}, probeIntervalMs);
	}

	signal(name: NodeJS.Signals): void {
		this.#record.add(`${this.name} gets ${name}`);
		this.#isEndExpected ||= name === 'SIGKILL' || name === 'SIGTERM';
		if (this.#throttled !== undefined && (name === 'SIGSTOP' || name === 'SIGCONT')) {
			this.#throttled.isPaused = name === 'SIGSTOP';
		}

		// A process that has used its share is continued at its next period.
		if (name !== 'SIGCONT' || this.#throttled?.isStopped !== true) {
			this.#child?.kill(name);
		}
	}

	/** Pauses the process, and returns what resumes it. It goes on once all that paused it have resumed it. */
	pause(): () => void {
		const child = this.#child;
		this.#pauses++;
		if (this.#pauses === 1) {
			this.signal('SIGSTOP');
		}

		return () => {
			if (child === this.#child) {
				this.#pauses--;
				if (this.#pauses === 0) {
					this.signal('SIGCONT');
				}
			}
		};
	}

	/** Sends SIGTERM, and SIGKILL after `grace_s`. Resolves once the process has ended. */
	async terminate(): Promise<void> {
		const killTimer = setTimeout(() => {
			this.signal('SIGKILL');
		}, bounds.grace_s * 1000);
		this.signal('SIGTERM');
		await this.#ended();
		clearTimeout(killTimer);
	}

	/** Starts the process again and resolves once it is ready. */
	async startAgain(): Promise<void> {
		await this.#ended();
		this.spawn();
		if (!await this.becomesReady(maxStartMs) && !this.#isClosed) {
			this.faults.push(`${this.name} was not ready ${maxStartMs} ms after its start`);
		}

		this.#record.add(`${this.name} is ready again`);
	}

	async becomesReady(timeoutMs = readyTimeoutMs): Promise<boolean> {
		const untilMs = performance.now() + timeoutMs;
		while (performance.now() < untilMs && !this.#isClosed) {
			if (await this.isReady()) {
				return true;
			}

			await sleep(readyPollMs);
		}

		return false;
	}

	async isReady(): Promise<boolean> {
		const {status} = await this.#probes.call({method: 'GET', path: '/ready'});
		return status === 200;
	}

	/** Kills the process, also one that is stopped. */
	kill(): void {
		this.#isClosed = true;
		this.#isEndExpected = true;
		clearInterval(this.#probeTimer);
		void this.clients.close();
		void this.counts.close();
		void this.#probes.close();
		this.#child?.kill('SIGKILL');
	}

	async #ended(): Promise<void> {
		const child = this.#child;
		if (child?.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}
	}

	async #probe(): Promise<void> {
		this.#misses = await this.isReady() ? 0 : this.#misses + 1;
	}
}
