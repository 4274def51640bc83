/**
Decides whether the table service is unavailable for every process, so that no process can acquire the lease of a holder that cannot renew it.

The evidence: this process's own calls fail; at least half of the known peers have answered recently that theirs fail too, among them one of each data centre, since a data centre without any answer may be separated by the network and still reach the table service; and no peer has reached the table service since this process's calls began to fail. The peers are those known before the outage: their heartbeats go through the table service and stop with it.

Answers count from when they were requested, and only if the process was not suspended since, so that nothing gathered before a pause of the process is used after it.
*/
import {type Clock} from '@poplarnotch/common';
import {type ReachabilityMeter, type ReachabilityReport} from './reachability-meter.js';

/** Age up to which an answer counts: three queries may be lost or late. */
export const maxAnswerAgeMs = 1000;

/** The wall clock and the monotonic clock diverge by more than this only if the machine was suspended or its time of day was set. */
const suspensionThresholdMs = 200;

/** Peers that must have reached the table service while this process did not. */
const minReachingPeers = 2;

/** A peer as known from the table service. */
export type OutagePeer = {
	readonly url: string;
	readonly dataCentre: string;
};

type PeerAnswer = {
	readonly isFailing: boolean;
	/** When the peer's last call was answered, at the latest, on this process's clock. */
	readonly reachedAtMs: number;
	readonly requestedAtMs: number;
	readonly wallOffsetMs: number;
};

/** When a query was sent. */
export type QueryTime = {
	readonly nowMs: number;
	readonly wallOffsetMs: number;
};

/** Interface to the evidence for processes that act on it. */
export interface OutageKnowledge {
	/** Number of peers that are asked. */
	readonly peerCount: number;
	/** Returns true if it is known at this moment that no process reaches the table service. */
	hasOutageEvidence(): boolean;
	/** When the oldest of the answers was requested that the present evidence needs; `undefined` without evidence. */
	evidenceAtMs(): number | undefined;
}

export type OutageEvidenceOptions = {
	readonly meter: ReachabilityMeter;
	/** The peers that were known when the table service last answered; `undefined` if they were never read. */
	readonly peers: () => readonly OutagePeer[] | undefined;
	readonly clock: Clock;
};

export class OutageEvidence implements OutageKnowledge {
	readonly #options: OutageEvidenceOptions;
	readonly #answers = new Map<string, PeerAnswer>();

	constructor(options: OutageEvidenceOptions) {
		this.#options = options;
	}

	get peerCount(): number {
		return this.#options.peers()?.length ?? 0;
	}

	/** The time to pass to `record` with the answers of queries that are sent now. */
	queryTime(): QueryTime {
		const {clock} = this.#options;
		return {nowMs: clock.nowMs(), wallOffsetMs: clock.wallTimeMs() - clock.nowMs()};
	}

	record(url: string, {isFailing, answeredAgeMs}: ReachabilityReport, {nowMs, wallOffsetMs}: QueryTime): void {
		this.#answers.set(url, {
			isFailing, reachedAtMs: answeredAgeMs === undefined ? Number.NEGATIVE_INFINITY : this.#options.clock.nowMs() - answeredAgeMs, requestedAtMs: nowMs, wallOffsetMs,
		});
	}

	hasOutageEvidence(): boolean {
		return this.evidenceAtMs() !== undefined;
	}

	/** Returns true if peers have reached the table service since `sinceMs`, so that a process without an answer since then has lost only its own path. */
	isReachedByOthersSince(sinceMs: number): boolean {
		const peers = this.#options.peers() ?? [];
		const reaching = this.#freshAnswers(peers).filter(({isFailing, reachedAtMs}) => !isFailing && reachedAtMs > sinceMs);
		return reaching.length > 0 && reaching.length >= Math.min(minReachingPeers, peers.length);
	}

	evidenceAtMs(): number | undefined {
		const {failingSinceMs} = this.#options.meter;
		const peers = this.#options.peers();
		if (failingSinceMs === undefined || peers === undefined) {
			return undefined;
		}

		const {nowMs} = this.queryTime();
		const answered = this.#freshAnswers(peers);
		// A peer whose last answer came before this process's failures may only have made no call since.
		const reaching = answered.filter(answer => !answer.isFailing && answer.reachedAtMs > failingSinceMs);
		const failing = answered.filter(({isFailing}) => isFailing);
		const failingDataCentres = new Set(failing.map(({dataCentre}) => dataCentre));
		const isEachDataCentreHeard = peers.every(({dataCentre}) => failingDataCentres.has(dataCentre));
		if (reaching.length > 0 || failing.length * 2 < peers.length || !isEachDataCentreHeard) {
			return undefined;
		}

		// Only the newest answers that suffice count, so that a peer that stops answering does not make the evidence old.
		const newestFirst = failing.toSorted((a, b) => b.requestedAtMs - a.requestedAtMs);
		const ofEachDataCentre = [...failingDataCentres].map(dataCentre => newestFirst.find(answer => answer.dataCentre === dataCentre)!);
		const sufficient = [...newestFirst.slice(0, Math.ceil(peers.length / 2)), ...ofEachDataCentre];
		return Math.min(nowMs, ...sufficient.map(({requestedAtMs}) => requestedAtMs));
	}

	#freshAnswers(peers: readonly OutagePeer[]): ReadonlyArray<PeerAnswer & {readonly dataCentre: string}> {
		const {nowMs, wallOffsetMs} = this.queryTime();
		return peers.flatMap(({url, dataCentre}) => {
			const answer = this.#answers.get(url);
			const isFresh = answer !== undefined && nowMs - answer.requestedAtMs <= maxAnswerAgeMs && Math.abs(wallOffsetMs - answer.wallOffsetMs) <= suspensionThresholdMs;
			return isFresh ? [{...answer, dataCentre}] : [];
		});
	}
}
