/**
Asks the peers whether they reach the table service while this process does not.
*/
import {
	type CancelTimer, type Clock, PoplarnotchError, z,
} from '@poplarnotch/common';
import {type CallPeer} from '../relay/relayed-table.js';
import {type RpcMethods} from '../peers/rpc-server.js';
import {type OutageEvidence, type OutagePeer, type QueryTime} from './outage-evidence.js';
import {type ReachabilityMeter} from './reachability-meter.js';

/** Name of the RPC method. */
export const reachabilityMethod = 'store.reachability';

const reportSchema = z.object({isFailing: z.boolean(), answeredAgeMs: z.number().optional()});

/** Interval between two queries of all peers, and the time limit of each. */
const queryIntervalMs = 300;
const queryTimeoutMs = 250;

export type OutageProberOptions = {
	readonly evidence: OutageEvidence;
	readonly meter: ReachabilityMeter;
	readonly peers: () => readonly OutagePeer[] | undefined;
	readonly callPeer: CallPeer;
	/** Whether this process would act on the evidence. */
	readonly isActive: () => boolean;
	readonly clock: Clock;
};

/** The RPC methods that a process provides to its peers. They make no call to the table service. */
export const reachabilityMethods = (meter: ReachabilityMeter): RpcMethods => ({
	[reachabilityMethod]: () => ({...meter.report}),
});

export class OutageProber {
	readonly #options: OutageProberOptions;
	#cancelTimer: CancelTimer | undefined;

	constructor(options: OutageProberOptions) {
		this.#options = options;
	}

	start(): void {
		this.#cancelTimer = this.#options.clock.schedule(queryIntervalMs, () => {
			this.start();
			this.#queryPeers();
		});
	}

	stop(): void {
		this.#cancelTimer?.();
	}

	#queryPeers(): void {
		const {evidence, meter, peers, isActive} = this.#options;
		if (!isActive() || meter.failingSinceMs === undefined) {
			return;
		}

		const time = evidence.queryTime();
		for (const {url} of peers() ?? []) {
			void this.#query(url, time);
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
