/**
Measures the time from the acceptance of a settings change until it is in force on 8 replicas over real sockets, including key withdrawals: with the platform up, with one process cut off from the table service, before and after an outage, and for a process that is cut off from the table service and its peers. It also measures the control traffic of a process in bytes.

`--outage-ms=30000` runs the outage at its full length; the default is 8000.
*/
import {subscribe} from 'node:diagnostics_channel';
import {type Socket} from 'node:net';
import process from 'node:process';
import {MetricsRegistry} from '@poplarnotch/common';
import {SocketFleet} from '../packages/state/tests/settings/socket-fleet.js';

const fleetSize = 8;
const defaultOutageMs = 8000;
const idleMs = 6000;
const changesPerPhase = 60;
const rounds = 4;
const betweenChangesMs = 30;
const changesPerDay = 2000;
const secondsPerDay = 86_400;
const msPerSecond = 1000;

/** Bounds of the documented targets. */
const bounds = {
	rolloutTargetMs: 500, rolloutBoundMs: 3000, withdrawalBoundMs: 2000, bytesPerSecondPerProcess: 2048,
} as const;

const keyPath = (path: string) => `/teams/red/keys/k1/${path}`;

const clientSockets = new Set<Socket>();

/** Sum of the payload bytes of all TCP connections in both directions. */
const totalBytes = (): number => {
	let bytes = 0;
	for (const socket of clientSockets) {
		bytes += socket.bytesRead + socket.bytesWritten;
	}

	return bytes;
};

type Phase = {readonly count: number; readonly p50Ms: number; readonly p99Ms: number; readonly maxMs: number};

class RolloutBench {
	readonly fleet = new SocketFleet();
	readonly #metrics = new MetricsRegistry();

	/** Alternately withdraws and restores one key, and waits after each change until it is in force on all processes. */
	async changes(phase: string, count = changesPerPhase): Promise<Phase> {
		for (let index = 0; index < count; index++) {
			await this.change(phase, index % 2 === 1);
			await this.fleet.pause(betweenChangesMs);
		}

		return this.phase(phase, count);
	}

	async change(phase: string, withdrawn: boolean, onAccepted: () => void = () => undefined): Promise<void> {
		const {fleet} = this;
		const change = await fleet.commit(0, keyPath('withdrawn'), withdrawn);
		const acceptedMs = fleet.clock.nowMs();
		onAccepted();
		await Promise.all(fleet.processes.map(async ({replica}) => replica.waitForRevision(change.revision, bounds.rolloutBoundMs * 2)));
		this.#metrics.recordMs(phase, fleet.clock.nowMs() - acceptedMs);
	}

	/** Measures changes that were accepted immediately before the platform goes down. */
	async measureBeforeOutages(): Promise<Phase> {
		const {fleet} = this;
		for (let round = 0; round < rounds; round++) {
			await this.change('before-outage', round % 2 === 1, () => {
				fleet.platform.setFaults({down: true});
			});
			fleet.platform.setFaults({down: false});
			await fleet.pause(betweenChangesMs);
		}

		return this.phase('before-outage', rounds);
	}

	/** Measures a long outage and the first change after it, whose commit is retried until it is accepted. */
	async measureOutage(outageMs: number): Promise<Record<string, unknown>> {
		const {fleet} = this;
		let failedClosed = 0;
		const removers = fleet.processes.map(({replica}) => replica.onFreshness(isFresh => {
			failedClosed += Number(!isFresh);
		}));
		const startBytes = totalBytes();
		fleet.platform.setFaults({down: true});
		await fleet.pause(outageMs);
		const bytes = totalBytes() - startBytes;
		fleet.platform.setFaults({down: false});
		const upMs = fleet.clock.nowMs();
		await this.change('after-outage', true);
		for (const remove of removers) {
			remove();
		}

		return {
			outageMs,
			isScaled: outageMs < 30_000,
			failedClosed,
			acceptedAndInForceAfterMs: fleet.clock.nowMs() - upMs,
			...this.phase('after-outage', 1),
			bytesPerSecondPerProcess: Math.round(bytes * 2 / fleetSize / (outageMs / msPerSecond)),
		};
	}

	/** Cuts one process off from the table service and its peers, and measures the time from the acceptance of a withdrawal until that process fails closed and no longer accepts requests with keys. */
	async measureIsolation(): Promise<Phase> {
		const {fleet} = this;
		const {id, replica} = fleet.processes.at(-1)!;
		for (let round = 0; round < rounds; round++) {
			fleet.platform.setFaults({cutClients: [id]});
			fleet.cutFromPeers.add(id);
			await fleet.commit(0, keyPath('withdrawn'), round % 2 === 1);
			const acceptedMs = fleet.clock.nowMs();
			await fleet.waitUntil(() => !replica.isFresh);
			this.#metrics.recordMs('cut-off', fleet.clock.nowMs() - acceptedMs);
			fleet.platform.setFaults({cutClients: []});
			fleet.cutFromPeers.delete(id);
			await fleet.waitUntil(() => replica.isFresh);
		}

		return this.phase('cut-off', rounds);
	}

	phase(name: string, count: number): Phase {
		const quantile = (value: number): number => Number(this.#metrics.quantileMs(name, value).toFixed(2));
		return {
			count, p50Ms: quantile(0.5), p99Ms: quantile(0.99), maxMs: quantile(1),
		};
	}
}

const outageMsFrom = (options: readonly string[]): number =>
	Number(options.find(option => option.startsWith('--outage-ms='))?.split('=')[1] ?? defaultOutageMs);

/** Runs all phases. The exit code of the process is 1 if a hard bound is exceeded. */
export const run = async (options: readonly string[]): Promise<Record<string, unknown>> => {
	subscribe('net.client.socket', message => {
		clientSockets.add((message as {readonly socket: Socket}).socket);
	});
	const bench = new RolloutBench();
	const {fleet} = bench;
	await fleet.start(fleetSize);
	await fleet.processes[0]!.store.commitChange({
		changeId: 'team', author: 'op', reason: 'bench', expectedRevision: undefined, fences: [], edits: [
			{path: '/teams/red/share', value: 1}, {path: '/teams/red/upperLimit', value: 5}, {path: keyPath('hash'), value: 'a'.repeat(64)},
		],
	});
	const beforeIdle = totalBytes();
	await fleet.pause(idleMs);
	const idleBytes = totalBytes() - beforeIdle;
	const beforeChanges = totalBytes();
	const startMs = fleet.clock.nowMs();
	const platformUp = await bench.changes('platform-up');
	const changeSeconds = (fleet.clock.nowMs() - startMs) / msPerSecond;
	const idlePerSecond = idleBytes / (idleMs / msPerSecond);
	const bytesPerChange = (totalBytes() - beforeChanges - (idlePerSecond * changeSeconds)) / changesPerPhase;
	fleet.platform.setFaults({cutClients: ['p7']});
	await fleet.pause(1500);
	const oneCutFromTable = await bench.changes('one-cut');
	fleet.platform.setFaults({cutClients: []});
	await fleet.pause(1500);
	const acceptedBeforeOutage = await bench.measureBeforeOutages();
	const outage = await bench.measureOutage(outageMsFrom(options));
	const cutOffFailsClosed = await bench.measureIsolation();
	await fleet.stop();
	const rollouts = [platformUp, oneCutFromTable, acceptedBeforeOutage];
	const worstMs = Math.max(...rollouts.map(phase => phase.maxMs));
	const isWithinBounds = worstMs <= bounds.withdrawalBoundMs && cutOffFailsClosed.maxMs <= bounds.withdrawalBoundMs && outage.failedClosed === 0;
	process.exitCode = isWithinBounds ? 0 : 1;
	// Only client sockets are counted. A connection between two processes of the fleet counts for both, so twice the counted bytes is an upper bound.
	return {
		processes: fleetSize,
		p99Ms: Math.max(...rollouts.map(phase => phase.p99Ms)),
		bounds,
		isWithinBounds,
		platformUp,
		oneCutFromTable,
		acceptedBeforeOutage,
		outage,
		cutOffFailsClosed,
		idleBytesPerSecondPerProcess: Math.round(idlePerSecond / fleetSize),
		bytesPerChangePerProcess: Math.round(bytesPerChange * 2 / fleetSize),
		bytesPerSecondPerProcessAtTwoYearRate: Math.round((idlePerSecond / fleetSize) + (bytesPerChange * 2 / fleetSize * changesPerDay / secondsPerDay)),
	};
};
