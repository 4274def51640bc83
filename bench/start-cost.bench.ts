/**
Measures what one task costs the lease holder in processor time, from its start to its stored end: an old holder that has scheduled for some seconds, and a new one right after its takeover. Runs the built `poplarnotch-entry`; run `npm run build` first. Options: jobs per second, seconds, a folder for processor profiles or `-`, further flags for Node.js.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {callersHost, entrySettings} from '../packages/entry/tests/support/entry-host.js';
import {readProcessUse} from './capacity/process-probe.js';
import {BenchPlatform} from './start-cost/platform.js';

const jobsPerSecondDefault = 30;
const secondsDefault = 12;
const tasksPerStep = 8;
const runMs = 400;
const workerCount = 60;
const noFolder = '-';
const firstPort = 21_700;
const portsPerHost = 10;
const pool = 'pool';

type Host = {readonly child: ChildProcess; readonly callersPort: number; readonly output: () => string};

const startHost = async (index: number, storePort: number, profileFolder: string, nodeFlags: readonly string[]): Promise<Host> => {
	const first = firstPort + (index * portsPerHost);
	const folder = await mkdtemp(path.join(os.tmpdir(), 'start-cost-'));
	const settingsFile = path.join(folder, 'boot.conf');
	await writeFile(settingsFile, entrySettings(`edge-${index}`, first, storePort, storePort));
	const profiling = profileFolder === noFolder ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`, `--cpu-prof-name=edge-${index}.cpuprofile`];
	const args = [...profiling, '--max-old-space-size=160', '--max-semi-space-size=8', ...nodeFlags, 'dist/poplarnotch-entry.mjs', '--metricsPort', String(first + 4)];
	const child = spawn(process.execPath, args, {env: {...process.env, POPLARNOTCH_CONFIG: settingsFile}});
	let output = '';
	const collect = (chunk: unknown): void => {
		output += String(chunk);
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);

	return {child, callersPort: first, output: () => output};
};

const holderOf = async (hosts: readonly Host[]): Promise<Host> => {
	for (;;) {
		const holder = hosts.find(host => host.child.exitCode === null && host.child.signalCode === null && host.output().includes('event=takeover_settled'));
		if (holder !== undefined) {
			return holder;
		}

		await sleep(20);
	}
};

let submitted = 0;
let refused = 0;

const submit = async (port: number): Promise<void> => {
	submitted++;
	const id = submitted.toString(16).padStart(16, '0');
	const step = {
		count: tasksPerStep, cpu: 4000, mem_mb: 1000, estimate_ms: runMs,
	};
	try {
		const {statusCode, body} = await request(`http://127.0.0.1:${port}/q/${id}`, {
			method: 'POST', headers: {host: callersHost, 'content-type': 'application/json'}, body: JSON.stringify({spec: 'text', phases: [step, {...step, after: [0]}]}),
		});
		await body.dump();
		refused += statusCode === 200 ? 0 : 1;
	} catch {
		refused++;
	}
};

/** Processor time of the host for each task that starts within the time. */
const costOf = async (host: Host, platform: BenchPlatform, forMs: number): Promise<{readonly starts: number; readonly cpuShare: number; readonly msPerStart: number}> => {
	const before = readProcessUse(host.child.pid!);
	const startsBefore = platform.starts;
	await sleep(forMs);
	const after = readProcessUse(host.child.pid!);
	const starts = platform.starts - startsBefore;
	const cpuMs = after.cpuMs - before.cpuMs;
	return {starts, cpuShare: Number((cpuMs / forMs).toFixed(3)), msPerStart: Number((cpuMs / Math.max(1, starts)).toFixed(3))};
};

const secondMs = 1000;

export const run = async (options: readonly string[]): Promise<Readonly<Record<string, unknown>>> => {
	const [jobsPerSecond = String(jobsPerSecondDefault), seconds = String(secondsDefault), profileFolder = noFolder, ...nodeFlags] = options;
	const platform = new BenchPlatform();
	platform.rows.put('op', 'config', JSON.stringify({
		version: 1, routes: [{
			name: 'draws', host: callersHost, prefix: '/q/', service: pool, public: true, max_attempts: 3, slo_factor: 3, slo_ms: 600,
		}], services: [{name: pool}], tenants: [],
	}));
	await platform.addWorkers(workerCount, pool, runMs);
	const storePort = await platform.listenStore();
	const hosts: Host[] = [];
	for (const index of [0, 1]) {
		hosts.push(await startHost(index, storePort, profileFolder, nodeFlags));
	}

	const first = await holderOf(hosts);
	const other = hosts.find(host => host !== first)!;
	// The other host takes the calls, so that the holder's time is that of scheduling.
	await sleep(2000);
	const idle = await costOf(first, platform, 2000);
	const timer = setInterval(() => {
		void submit((other.child.exitCode === null && other.child.signalCode === null ? other : first).callersPort);
	}, secondMs / Number(jobsPerSecond));
	const fresh = [];
	for (let second = 0; second < 3; second++) {
		fresh.push(await costOf(first, platform, secondMs));
	}

	await sleep(Number(seconds) * secondMs);
	const old = await costOf(first, platform, 3 * secondMs);
	first.child.kill('SIGKILL');
	await holderOf([other]);
	const successor = [];
	for (let second = 0; second < 5; second++) {
		successor.push(await costOf(other, platform, secondMs));
	}

	clearInterval(timer);
	other.child.kill('SIGTERM');
	await once(other.child, 'exit');
	platform.close();
	return {
		jobsPerSecond: Number(jobsPerSecond), nodeFlags: nodeFlags.join(' '), submitted, refused, idleCpuShare: idle.cpuShare, freshBySecond: fresh, old, successorBySecond: successor,
	};
};
