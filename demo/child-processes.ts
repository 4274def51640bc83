/**
Starts the built binaries as child processes and terminates all of them, even if the demo is interrupted.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, mkdirSync, type WriteStream} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

/** Time that a process has to exit after SIGTERM before it is killed. */
const stopTimeoutMs = 10_000;

/** Exit code and output of a finished process. */
export type ProcessResult = {
	readonly exitCode: number;
	readonly stdout: string;
	readonly stderr: string;
};

const collect = (stream: NodeJS.ReadableStream): (() => string) => {
	const parts: string[] = [];
	stream.setEncoding('utf8');
	stream.on('data', (part: string) => {
		parts.push(part);
	});
	return () => parts.join('');
};

/** A process that runs until it is stopped. */
export class RunningProcess {
	readonly name: string;
	readonly #child: ChildProcess;
	readonly #exited: Promise<unknown>;

	constructor(name: string, child: ChildProcess) {
		this.name = name;
		this.#child = child;
		this.#exited = once(child, 'exit');
	}

	/** The process id. */
	get pid(): number {
		return this.#child.pid!;
	}

	get isRunning(): boolean {
		return this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** Sends SIGTERM and waits for the exit code; a process that does not exit within `stopTimeoutMs` is killed, which counts as code -1. */
	async stop(): Promise<number> {
		if (this.isRunning) {
			this.#child.kill('SIGTERM');
			const killTimer = setTimeout(() => {
				this.kill();
			}, stopTimeoutMs);
			await this.#exited;
			clearTimeout(killTimer);
		}

		return this.#child.exitCode ?? -1;
	}

	/** Sends SIGKILL. */
	kill(): void {
		this.#child.kill('SIGKILL');
	}
}

/** Owns all processes of the demo. */
export class ChildProcesses {
	readonly #distPath: string;
	readonly #logPath: string;
	readonly #running: RunningProcess[] = [];

	constructor(distPath: string, logPath: string) {
		this.#distPath = distPath;
		this.#logPath = logPath;
		mkdirSync(logPath, {recursive: true});
		process.once('exit', () => {
			this.#killAll();
		});
	}

	/** Starts a binary and writes its output to the log file `NAME.log`. */
	start(name: string, binary: string, args: readonly string[]): RunningProcess {
		const child = this.#spawn(binary, args, {});
		const log = this.#openLog(name);
		child.stdout!.pipe(log);
		child.stderr!.pipe(log);
		const running = new RunningProcess(name, child);
		this.#running.push(running);
		return running;
	}

	/** Runs a binary and waits until it exits. */
	async run(binary: string, args: readonly string[], environment: Readonly<Record<string, string>>): Promise<ProcessResult> {
		const child = this.#spawn(binary, args, environment);
		const stdout = collect(child.stdout!);
		const stderr = collect(child.stderr!);
		const [exitCode] = await once(child, 'close') as [number];
		return {exitCode, stdout: stdout(), stderr: stderr()};
	}

	/** Sends SIGTERM to all processes, in reverse order of their start, and waits until they have exited. */
	async stopAll(): Promise<void> {
		const reversed = this.#running.toReversed();
		await Promise.all(reversed.map(async running => running.stop()));
		this.#running.length = 0;
	}

	#spawn(binary: string, args: readonly string[], environment: Readonly<Record<string, string>>): ChildProcess {
		return spawn(join(this.#distPath, `${binary}.mjs`), args, {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {...process.env, ...environment},
		});
	}

	#openLog(name: string): WriteStream {
		return createWriteStream(join(this.#logPath, `${name}.log`));
	}

	#killAll(): void {
		for (const running of this.#running) {
			if (running.isRunning) {
				running.kill();
			}
		}
	}
}
