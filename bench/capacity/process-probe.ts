/**
Reads the resource usage of a running process from Linux's `/proc`.
*/
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

/** Processor time and I/O of a process since its start, and its current memory. */
export type ProcessUse = {
	readonly atMs: number;
	readonly cpuMs: number;
	/** Bytes read and written by system calls on files and sockets, without TCP/IP headers. */
	readonly ioBytes: number;
	readonly privateMb: number;
	readonly residentMb: number;
};

/** Mean resource usage between two readings. */
export type UseRate = {
	readonly cpuShare: number;
	readonly bytesPerSecond: number;
};

const kibPerMib = 1024;
const msPerSecond = 1000;

/** Index of `utime` in `/proc/PID/stat` after the process name (see proc(5)). */
const utimeIndex = 11;
const stimeIndex = 12;

const clockTicksPerSecond = Number(execFileSync('getconf', ['CLK_TCK'], {encoding: 'utf8'}));

const sumOf = (text: string, names: readonly string[]): number => {
	let sum = 0;
	for (const name of names) {
		const match = new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(text);
		sum += Number(match?.[1] ?? 0);
	}

	return sum;
};

const readCpuMs = (pid: number): number => {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[utimeIndex]) + Number(fields[stimeIndex]);
	return ticks / clockTicksPerSecond * msPerSecond;
};

/** Reads the resource usage of a process. */
export const readProcessUse = (pid: number): ProcessUse => {
	const memory = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	return {
		atMs: performance.now(),
		cpuMs: readCpuMs(pid),
		ioBytes: sumOf(io, ['rchar', 'wchar']),
		privateMb: sumOf(memory, ['Private_Clean', 'Private_Dirty']) / kibPerMib,
		residentMb: sumOf(memory, ['Rss']) / kibPerMib,
	};
};

/** Returns the mean resource usage between two readings. */
export const rateBetween = (from: ProcessUse, to: ProcessUse): UseRate => {
	const elapsedMs = to.atMs - from.atMs;
	return {
		cpuShare: (to.cpuMs - from.cpuMs) / elapsedMs,
		bytesPerSecond: (to.ioBytes - from.ioBytes) / elapsedMs * msPerSecond,
	};
};
