/**
Asks the peers whether they reach the table service while this process does not. If they do, only this process's own path is silent, which its calls would otherwise notice at their time limits.

A process that acts on evidence of a full outage asks all peers. The others ask few of them, since all processes ask at the same time in an outage.
*/
import {
	type CancelTimer, type Clock, PoplarnotchError, type RandomSource, SystemRandom, z,
} from '@poplarnotch/common';
import {type CallPeer} from '../relay/relayed-table.js';
import {type RpcMethods} from '../peers/rpc-server.js';
import {type OutageEvidence, type OutagePeer, type QueryTime} from './outage-evidence.js';
import {type ReachabilityMeter} from './reachability-meter.js';

/** Name of the RPC method. */
export const reachabilityMethod = 'store.reachability';

const reportSchema = z.object({isFailing: z.boolean(), answeredAgeMs: z.number().optional()});

/** Interval of checks, shortest time between two queries of a peer, and the time limit of each. */
const checkIntervalMs = 100;
const queryIntervalMs = 300;
const queryTimeoutMs = 250;

/** A holder that nothing has been answered to for this long, and that waits for no answer, reads a row to find out whether its path is silent. */
const quietMs = 150;

/** Time without any answer after which peers are asked, and after which the own path counts as silent if they reach the table service. A slow table service answers some call within 300 ms. */
const doubtMs = 250;
const silentMs = 500;

/** Number of peers that a process asks which does not act on a full outage. */
const sampleSize = 3;

export type OutageProberOptions = {
	readonly evidence: OutageEvidence;
	readonly meter: ReachabilityMeter;
	readonly peers: () => readonly OutagePeer[] | undefined;
	readonly callPeer: CallPeer;
	/** Whether this process would act on the evidence of a full outage. */
	readonly isActive: () => boolean;
	/** Reads one row of the table service. */
	readonly probe?: () => Promise<unknown>;
	/** Called while the path of this process has been silent for `unansweredMs` and peers reach the table service. */
	readonly onPathSilent?: (unansweredMs: number) => void;
	readonly random?: RandomSource;
	readonly clock: Clock;
};

/** The RPC methods that a process provides to its peers. They make no call to the table service. */
export const reachabilityMethods = (meter: ReachabilityMeter): RpcMethods => ({
	[reachabilityMethod]: () => ({...meter.report}),
});

export class OutageProber {
	readonly #options: OutageProberOptions;
	readonly #random: RandomSource;
	#cancelTimer: CancelTimer | undefined;
	#nextQueryAtMs = 0;

	constructor(options: OutageProberOptions) {
		this.#options = options;
		this.#random = options.random ?? new SystemRandom();
	}

	start(): void {
		this.#cancelTimer = this.#options.clock.schedule(checkIntervalMs, () => {
			this.start();
			this.#check();
		});
	}

	stop(): void {
		this.#cancelTimer?.();
	}

	#check(): void {
		const {evidence, meter, onPathSilent, isActive, clock} = this.#options;
		const {unansweredForMs} = meter;
		const nowMs = clock.nowMs();
		if (isActive() && meter.quietForMs >= quietMs) {
			void this.#probe();
		}

		if (unansweredForMs >= silentMs && evidence.isReachedByOthersSince(nowMs - unansweredForMs)) {
			onPathSilent?.(unansweredForMs);
		}

		if (unansweredForMs >= doubtMs && nowMs >= this.#nextQueryAtMs) {
			this.#nextQueryAtMs = nowMs + queryIntervalMs;
			this.#queryPeers();
		}
	}

	#queryPeers(): void {
		const {evidence, peers, isActive} = this.#options;
		const known = peers() ?? [];
		const time = evidence.queryTime();
		for (const {url} of isActive() ? known : this.#sampleOf(known)) {
			void this.#query(url, time);
		}
	}

	#sampleOf(peers: readonly OutagePeer[]): readonly OutagePeer[] {
		return peers.map(peer => ({peer, rank: this.#random.next()}))
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, sampleSize)
			.map(({peer}) => peer);
	}

	async #probe(): Promise<void> {
		try {
			await this.#options.probe?.();
		} catch (error) {
			// The meter records that the call failed.
			if (!(error instanceof PoplarnotchError)) {
				throw error;
			}
		}
	}

	async #query(url: string, time: QueryTime): Promise<void> {
		try {
			const answer = reportSchema.safeParse(await this.#options.callPeer(url, reachabilityMethod, {}, queryTimeoutMs));
			if (answer.success) {
				this.#options.evidence.record(url, answer.data, time);
			}
		} catch (error) {
			// A peer that does not answer adds no evidence.
			if (!(error instanceof PoplarnotchError)) {
				throw error;
			}
		}
	}
}
