/**
Performs the calls of a replica's reducer: reads of the table service and queries of peers. Results are dispatched as events.
*/
import {
	assertNever, type Clock, type Logger, type MetricsRegistry, PoplarnotchError,
} from '@poplarnotch/common';
import {type ObjectStore, type TableService} from '@poplarnotch/platform';
import {type SettingsChange} from '../types.js';
import {type SettingsPeers} from './peer-messages.js';
import {type ReplicaEffect, type ReplicaEvent} from './replica-types.js';
import {type TreeAtRevision} from './rows.js';
import {SettingsTreeReader} from './tree-reader.js';

/** Services that the calls use. */
export type ReplicaCallsOptions = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly peers?: SettingsPeers;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics?: MetricsRegistry;
};

/** Effects that are calls to other processes or the platform. */
export type ReplicaCall = Exclude<ReplicaEffect, {readonly type: 'settingsAdvanced' | 'freshnessChanged'}>;

/** Performs the calls of one replica. */
export class ReplicaCalls {
	readonly #options: ReplicaCallsOptions;
	readonly #reader: SettingsTreeReader;
	readonly #dispatch: (event: ReplicaEvent) => void;

	constructor(options: ReplicaCallsOptions, dispatch: (event: ReplicaEvent) => void) {
		this.#options = options;
		this.#reader = new SettingsTreeReader(options.table, options.objects);
		this.#dispatch = dispatch;
	}

	/** Performs one call; resolves once its result was dispatched. */
	async perform(call: ReplicaCall): Promise<void> {
		switch (call.type) {
			case 'readLog': {
				return this.#readLog(call.afterRevision, call.sentAtMs);
			}

			case 'loadTree': {
				return this.#loadTree('table', call.sentAtMs, async () => this.#reader.readNewestTree());
			}

			case 'fetchTree': {
				return this.#loadTree('peer', call.sentAtMs, async () => this.#options.peers!.fetchTree(call.peerId));
			}

			case 'askPeer': {
				return this.#queryPeer(call.peerId, call.afterRevision, call.sentAtMs);
			}

			case 'pushChanges': {
				return this.#pushChanges(call.peerId, call.changes);
			}
		}

		assertNever(call);
	}

	async #readLog(afterRevision: number, sentAtMs: number): Promise<void> {
		try {
			const page = await this.#reader.readLogPage(afterRevision);
			this.#dispatch({
				type: 'logRead', nowMs: this.#options.clock.nowMs(), sentAtMs, ...page,
			});
		} catch (error) {
			this.#logExpectedFailure(error, 'settings_log_read_failed');
			this.#dispatch({type: 'logReadFailed', nowMs: this.#options.clock.nowMs(), sentAtMs});
		}
	}

	async #loadTree(source: 'table' | 'peer', sentAtMs: number, load: () => Promise<TreeAtRevision>): Promise<void> {
		try {
			const stored = await load();
			this.#dispatch({
				type: 'treeLoaded', nowMs: this.#options.clock.nowMs(), sentAtMs, source, stored,
			});
		} catch (error) {
			this.#logExpectedFailure(error, 'settings_load_failed');
			this.#dispatch({type: 'treeLoadFailed', nowMs: this.#options.clock.nowMs(), source});
		}
	}

	async #queryPeer(peerId: string, afterRevision: number, sentAtMs: number): Promise<void> {
		try {
			const answer = await this.#options.peers!.queryState(peerId, afterRevision);
			this.#dispatch({
				type: 'peerAnswered', nowMs: this.#options.clock.nowMs(), sentAtMs, answer,
			});
		} catch (error) {
			this.#logExpectedFailure(error, 'settings_peer_ask_failed');
		}
	}

	async #pushChanges(peerId: string, changes: readonly SettingsChange[]): Promise<void> {
		try {
			await this.#options.peers!.push(peerId, changes);
		} catch (error) {
			this.#logExpectedFailure(error, 'settings_push_failed');
		}
	}

	/** Logs a failure of the platform or of a peer, which is expected during operation; rethrows anything else as a bug. */
	#logExpectedFailure(error: unknown, event: string): void {
		if (!(error instanceof PoplarnotchError)) {
			throw error;
		}

		this.#options.metrics?.increment(`${event}_total`);
		this.#options.logger.debug({event, code: error.code, reason: error.message});
	}
}
