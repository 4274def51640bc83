/**
The peers' answers to the lease holder's question whether they reach the table service, in virtual time: the real meters, evidence and queries over a network that loses the queries of processes that are cut off.
*/
import {SeededRandom} from '@poplarnotch/common';
import {
	ConflictError, HistoryLostError, type WatchableTable,
} from '@poplarnotch/platform';
import {
	OutageEvidence, type OutagePeer, OutageProber, PeerUnreachableError, ReachabilityMeter, reachabilityMethods, reachabilityMethod,
} from '@poplarnotch/state';
import {type HostClock} from './host-clock.js';

const latencyMs = 2;

const isAnswer = (error: unknown): boolean => error instanceof ConflictError || error instanceof HistoryLostError;

/** Measures whether the table answers. */
export const measured = (table: WatchableTable, meter: ReachabilityMeter): WatchableTable => ({
	commit: async transaction => meter.measure(async () => table.commit(transaction), false, isAnswer),
	readRows: async keys => meter.measure(async () => table.readRows(keys), false, isAnswer),
	readPrefix: async (prefix, options) => meter.measure(async () => table.readPrefix(prefix, options), false, isAnswer),
	changesSince: async (prefix, revision) => meter.measure(async () => table.changesSince(prefix, revision), false, isAnswer),
	listRows: async prefix => meter.measure(async () => table.listRows(prefix), true, isAnswer),
	readRevision: async () => meter.measure(async () => table.readRevision(), false, isAnswer),
	waitForChanges: async (prefix, revision, waitMs) => meter.measure(async () => table.waitForChanges(prefix, revision, waitMs), true, isAnswer),
});

type FakePeer = {
	readonly clock: HostClock;
	readonly meter: ReachabilityMeter;
	readonly dataCentre: string;
	isCut: boolean;
};

/** The peers of a simulated fleet. */
export class FakePeers {
	readonly #peers = new Map<string, FakePeer>();

	/** Adds a process, which knows all others. */
	add(name: string, clock: HostClock, {
		isActive, probe, onPathSilent, dataCentre = '',
	}: {
		readonly isActive: () => boolean;
		readonly probe?: () => Promise<unknown>;
		readonly onPathSilent?: (unansweredMs: number) => void;
		readonly dataCentre?: string;
	}): {readonly meter: ReachabilityMeter; readonly outage: OutageEvidence} {
		const meter = new ReachabilityMeter(clock);
		this.#peers.set(name, {
			clock, meter, dataCentre, isCut: false,
		});
		const peers = (): readonly OutagePeer[] => [...this.#peers].filter(([url, peer]) => url !== name && !peer.clock.isDead).map(([url, peer]) => ({url, dataCentre: peer.dataCentre}));
		const outage = new OutageEvidence({meter, peers, clock});
		new OutageProber({
			evidence: outage, meter, peers, clock, isActive, ...(probe === undefined ? {} : {probe}), ...(onPathSilent === undefined ? {} : {onPathSilent}), random: new SeededRandom(this.#peers.size),
			callPeer: async (url, method, _parameters, timeoutMs) => this.#call(name, url, method, timeoutMs),
		}).start();
		return {meter, outage};
	}

	/** Cuts a process off from all others, or connects it again. */
	setCut(name: string, isCut: boolean): void {
		this.#peers.get(name)!.isCut = isCut;
	}

	async #call(from: string, to: string, method: string, timeoutMs: number): Promise<unknown> {
		const [caller, peer] = [this.#peers.get(from)!, this.#peers.get(to)!];
		await caller.clock.wait(latencyMs);
		if (method !== reachabilityMethod || caller.isCut || peer.isCut || peer.clock.isDead || peer.clock.isFrozen) {
			await caller.clock.wait(timeoutMs);
			throw new PeerUnreachableError(`${to} does not answer`);
		}

		const report: unknown = await reachabilityMethods(peer.meter)[method]!({});
		await caller.clock.wait(latencyMs);
		return report;
	}
}
