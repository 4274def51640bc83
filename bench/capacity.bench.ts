/**
Measures the control overhead of a gate and a controller at the two-year size from the running processes: processor time, private memory and bytes per second, when idle and per settings change. It also measures how much state each further entity of a kind adds.

Control overhead is everything except callers' requests: settings, membership, the host list, leases and allotments. The processes are started from `dist/`; run `npm run build` first.
*/
import {spawn} from 'node:child_process';
import {createServer, type Server} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {type CallCounts, FleetProcesses} from './capacity/fleet-processes.js';
import {
	type ProcessUse, rateBetween, readProcessUse, type UseRate,
} from './capacity/process-probe.js';
import {measureStateSlopes} from './capacity/state-slopes.js';
import {buildTree, serversPort, twoYearSize} from './capacity/two-year-tree.js';

const initialGateCount = 2;
const gateCount = 8;
const controllerCount = 2;
const settleMs = 5000;
/** Time for the controllers to probe all hosts and for the gates to allocate all slots, after the settings are applied and after gates are added. */
const convergenceMs = 25_000;
const idleMs = 10_000;
const changeCount = 60;
const changePauseMs = 150;

/** Settings changes by operators, and state changes of hosts for maintenance and failures, per day. */
const operatorChangesPerDay = 2000;
const hostChangesPerDay = 1400 / 14 * 4;
const secondsPerDay = 86_400;

/** Rate limits of the platform, and the number of processes whose control calls must leave most of these rates to callers' requests. */
const platformReadsPerSecond = 2000;
const platformWritesPerSecond = 400;
const targetProcessCount = 64;

const targets = {controlCpuShare: 0.047, controlPrivateMb: 32, controlBytesPerSecond: 2048};

const round = (value: number, digits = 4): number => Number(value.toFixed(digits));

/** Private memory of an idle Node process without any code of the project. */
const measureBareNodeMb = async (): Promise<number> => {
	const child = spawn(process.execPath, ['--eval', 'setInterval(() => {}, 1000)'], {stdio: 'ignore'});
	await sleep(1000);
	const use = readProcessUse(child.pid!);
	child.kill();
	return use.privateMb;
};

type RoleReading = {
	readonly atRest: UseRate;
	readonly changing: UseRate;
	readonly changingSeconds: number;
	readonly memory: ProcessUse;
	readonly emptyTreePrivateMb: number;
};

const describeRole = (reading: RoleReading, bareNodeMb: number): Readonly<Record<string, number>> => {
	const {atRest, changing, changingSeconds, memory} = reading;
	const cpuMsPerChange = Math.max(0, (changing.cpuShare - atRest.cpuShare) * changingSeconds * 1000 / changeCount);
	const bytesPerChange = Math.max(0, (changing.bytesPerSecond - atRest.bytesPerSecond) * changingSeconds / changeCount);
	const changesPerSecond = (operatorChangesPerDay + hostChangesPerDay) / secondsPerDay;
	return {
		controlCpuShare: round(atRest.cpuShare + (cpuMsPerChange / 1000 * changesPerSecond)),
		controlPrivateMb: round(memory.privateMb - bareNodeMb, 1),
		controlBytesPerSecond: Math.round(atRest.bytesPerSecond + (bytesPerChange * changesPerSecond)),
		restCpuShare: round(atRest.cpuShare),
		restBytesPerSecond: Math.round(atRest.bytesPerSecond),
		cpuMsPerChange: round(cpuMsPerChange, 2),
		bytesPerChange: Math.round(bytesPerChange),
		privateTotalMb: round(memory.privateMb, 1),
		residentMb: round(memory.residentMb, 1),
		emptyTreePrivateMb: round(reading.emptyTreePrivateMb, 1),
	};
};

const makeChanges = async (fleet: FleetProcesses): Promise<readonly number[]> => {
	const inForceMs: number[] = [];
	for (let index = 0; index < changeCount; index++) {
		inForceMs.push(await fleet.change([{path: `/teams/team-${index % twoYearSize.teams}/share`, value: 2 + (index % 3)}]));
		await sleep(changePauseMs);
	}

	return inForceMs;
};

/** Describes the calls of an idle fleet, per process and as a share of the platform's rate limits. */
const describeCalls = (from: CallCounts, to: CallCounts): Readonly<Record<string, number>> => {
	const processes = gateCount + controllerCount;
	const perProcess = (count: number): number => count / (to.atMs - from.atMs) * 1000 / processes;
	const reads = perProcess(to.reads - from.reads);
	const writes = perProcess(to.writes - from.writes);
	return {
		processes,
		readsPerSecondPerProcess: round(reads, 2),
		writesPerSecondPerProcess: round(writes, 2),
		readsShareAt64Processes: round(reads * targetProcessCount / platformReadsPerSecond),
		writesShareAt64Processes: round(writes * targetProcessCount / platformWritesPerSecond),
	};
};

/** Describes how the bytes per second of an idle process of a role grow with the number of processes. */
const describeGrowth = (few: UseRate, many: UseRate): Readonly<Record<string, number>> => {
	const added = gateCount - initialGateCount;
	const perProcess = (many.bytesPerSecond - few.bytesPerSecond) / added;
	return {
		restBytesPerSecondAtFew: Math.round(few.bytesPerSecond),
		restBytesPerSecondAtMany: Math.round(many.bytesPerSecond),
		bytesPerSecondPerProcess: round(perProcess, 1),
		expectedBytesPerSecondAt64: Math.round(many.bytesPerSecond + (perProcess * (targetProcessCount - gateCount - controllerCount))),
	};
};

type IdleReading = {
	readonly start: readonly ProcessUse[];
	readonly end: readonly ProcessUse[];
	readonly countsStart: CallCounts;
	readonly countsEnd: CallCounts;
};

/** Reads the first gate and both controllers. The first controller handles the operators' changes; one of the two holds the fleet's lease. */
const readAll = (fleet: FleetProcesses): readonly ProcessUse[] =>
	[fleet.gates[0]!, ...fleet.controllers].map(child => readProcessUse(child.pid));

const measureIdle = async (fleet: FleetProcesses): Promise<IdleReading> => {
	await sleep(convergenceMs);
	const countsStart = await fleet.counts();
	const start = readAll(fleet);
	await sleep(idleMs);
	const end = readAll(fleet);
	return {
		start, end, countsStart, countsEnd: await fleet.counts(),
	};
};

const idleRates = ({start, end}: IdleReading): readonly UseRate[] =>
	start.map((use, index) => rateBetween(use, end[index]!));

/** Starts a server that answers the controller's probes in place of all backend servers, which would otherwise count as down. */
const startServers = (): Server => createServer((_request, response) => {
	response.end();
}).listen(serversPort, '127.0.0.1');

/** Runs the benchmark. */
export const run = async (): Promise<Readonly<Record<string, unknown>>> => {
	const slopes = measureStateSlopes();
	const bareNodePrivateMb = await measureBareNodeMb();
	const servers = startServers();
	const fleet = new FleetProcesses();
	try {
		const hostNames = Array.from({length: twoYearSize.hosts}, (_value, index) => `host-${index}`);
		await fleet.start(controllerCount, gateCount, hostNames);
		await fleet.startGates(initialGateCount);
		await sleep(settleMs);
		const empty = readAll(fleet);
		await fleet.apply(buildTree(twoYearSize));
		const few = await measureIdle(fleet);
		await fleet.startGates(gateCount);
		const many = await measureIdle(fleet);
		const inForceMs = await makeChanges(fleet);
		const changeEnd = readAll(fleet);
		const [fewRates, manyRates] = [idleRates(few), idleRates(many)];
		const roles = [...empty.keys()].map(index => describeRole({
			atRest: manyRates[index]!,
			changing: rateBetween(many.end[index]!, changeEnd[index]!),
			changingSeconds: (changeEnd[index]!.atMs - many.end[index]!.atMs) / 1000,
			memory: changeEnd[index]!,
			emptyTreePrivateMb: empty[index]!.privateMb,
		}, bareNodePrivateMb));
		return {
			gate: roles[0],
			controller: roles[2],
			controllerThatTakesChanges: roles[1],
			targets,
			bareNodePrivateMb: round(bareNodePrivateMb, 1),
			inForceMaxMs: Math.round(Math.max(...inForceMs)),
			perProcess: {
				gate: describeGrowth(fewRates[0]!, manyRates[0]!),
				controller: describeGrowth(fewRates[2]!, manyRates[2]!),
			},
			platformCalls: describeCalls(many.countsStart, many.countsEnd),
			slopes,
			gates: gateCount,
			controllers: controllerCount,
		};
	} finally {
		await fleet.stop();
		servers.close();
	}
};
