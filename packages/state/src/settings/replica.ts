/**
Keeps a process's copy of the settings up to date: reads the log of the table service, receives changes from peers and forwards them, and tracks whether the copy may be trusted. The reducer makes the decisions; this class performs its effects.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	assertNever, type CancelTimer, type Clock, emptyFleetSettings, type FleetSettings, formatFinding, type JsonObject, SettingsCompiler,
	type Logger, type MetricsRegistry, ReducerRuntime, type SettingsTree, silentLogger,
} from '@poplarnotch/common';
import {type ObjectStore, type TableService} from '@poplarnotch/platform';
import {sortMembers} from '../peers/peer-selection.js';
import {type RpcMethods} from '../peers/rpc-server.js';
import {type SettingsChange} from '../types.js';
import {freshUntilMs, isConfirmedSinceStart} from './freshness.js';
import {recentChangesAfter} from './copy-updates.js';
import {
	afterRevisionFrom, stateResponseToJson, maxChangesPerResponse, pushedChangesFrom, pushMethod, type SettingsPeers, stateMethod, type SettingsStateResponse, treeMethod,
} from './peer-messages.js';
import {ReplicaCalls} from './replica-calls.js';
import {initialReplicaState, reduceReplica} from './replica-reducer.js';
import {type ReplicaEffect, type ReplicaEvent, type ReplicaState} from './replica-types.js';
import {emptyTree, type TreeAtRevision, treeToJson} from './rows.js';

/** Services and identity of a replica. */
export type SettingsReplicaOptions = {
	readonly processId: string;
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	readonly logger?: Logger;
	readonly metrics?: MetricsRegistry;
	/** Absent if the process has no peers. */
	readonly peers?: SettingsPeers;
};

/** Called with every new revision once it is in force in this process. */
export type SettingsListener = (settings: FleetSettings) => void;

/** Called whenever the copy becomes trusted or stops being trusted. */
export type FreshnessListener = (isFresh: boolean) => void;

const tickMs = 100;

/** Holds the settings of one process. */
export class SettingsReplica {
	readonly #options: SettingsReplicaOptions;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #calls: ReplicaCalls;
	readonly #runtime: ReducerRuntime<ReplicaState, ReplicaEvent, ReplicaEffect>;
	readonly #settingsListeners = new Set<SettingsListener>();
	readonly #freshnessListeners = new Set<FreshnessListener>();
	readonly #compiler = new SettingsCompiler();
	#current: FleetSettings = emptyFleetSettings;
	#isCompiled = true;
	#wasFresh = false;
	#cancelTick: CancelTimer | undefined;
	#isStopped = false;
	#memberIds: readonly string[] | undefined;
	#orderedMemberIds: readonly string[] | undefined;

	constructor(options: SettingsReplicaOptions) {
		this.#options = options;
		this.#clock = options.clock;
		this.#logger = options.logger ?? silentLogger;
		this.#calls = new ReplicaCalls({...options, logger: this.#logger}, event => {
			this.#dispatch(event);
		});
		this.#runtime = new ReducerRuntime(
			initialReplicaState(options.processId, options.clock.nowMs()),
			reduceReplica,
			effect => {
				this.#perform(effect);
			},
		);
	}

	/** The settings in force in this process; empty until the first tree has arrived. */
	get current(): FleetSettings {
		return this.#current;
	}

	/** The flat form of the settings. */
	get tree(): SettingsTree {
		return (this.#runtime.state.held ?? emptyTree).tree;
	}

	/** The revision in force in this process. It never goes back. */
	get revision(): number {
		return this.#current.revision;
	}

	/** True once the settings are known to be no older than those that the process may have had before a restart. */
	get isReady(): boolean {
		return isConfirmedSinceStart(this.#runtime.state) && this.#isCompiled;
	}

	/** Whether requests with API keys may be accepted now. Computed from the current time, so that it is right even if timers are late because the process was paused. */
	get isFresh(): boolean {
		return this.#isCompiled && this.#clock.nowMs() <= freshUntilMs(this.#runtime.state);
	}

	/** Notifies listeners if the copy has become stale since the last event. Callers invoke it before they dispatch a request, so that the first event after a pause is handled in the right state. */
	checkFreshness(): void {
		if (this.#runtime.state.isFresh && !this.isFresh) {
			this.#tick();
		}
	}

	/** Returns a function that removes the listener. */
	onChange(listener: SettingsListener): () => void {
		this.#settingsListeners.add(listener);
		return () => {
			this.#settingsListeners.delete(listener);
		};
	}

	/** Returns a function that removes the listener. */
	onFreshness(listener: FreshnessListener): () => void {
		this.#freshnessListeners.add(listener);
		return () => {
			this.#freshnessListeners.delete(listener);
		};
	}

	/** Resolves to true once the revision is in force in this process, or to false at the timeout. */
	async waitForRevision(revision: number, timeoutMs: number): Promise<boolean> {
		if (this.revision >= revision) {
			return true;
		}

		return new Promise(resolve => {
			const finish = (isReached: boolean): void => {
				cancelTimer();
				removeListener();
				resolve(isReached);
			};

			const cancelTimer = this.#clock.schedule(timeoutMs, () => {
				finish(false);
			});
			const removeListener = this.onChange(settings => {
				if (settings.revision >= revision) {
					finish(true);
				}
			});
		});
	}

	/** Starts loading and following the settings. */
	start(): void {
		this.#tick();
		this.#scheduleTick();
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancelTick?.();
	}

	/** Applies changes that this process has committed or that a peer has pushed. */
	offerChanges(changes: readonly SettingsChange[]): void {
		this.#dispatch({type: 'changesOffered', nowMs: this.#clock.nowMs(), changes});
	}

	/** The state of this process's copy, with the changes after a revision if that is given. */
	answer(afterRevision?: number): SettingsStateResponse {
		const {state} = this.#runtime;
		const nowMs = this.#clock.nowMs();
		const ageOf = (timeMs: number | undefined): number | undefined => timeMs === undefined ? undefined : nowMs - timeMs;
		const changes = afterRevision === undefined ? [] : recentChangesAfter(state, afterRevision);
		return {
			processId: this.#options.processId,
			revision: this.revision,
			hasFloor: this.isReady,
			isFresh: this.isFresh,
			confirmedAgeMs: ageOf(state.confirmedAtMs),
			quorumAgeMs: ageOf(state.quorumAtMs),
			changes: changes.length > maxChangesPerResponse ? [] : changes,
		};
	}

	/** The RPC methods through which peers reach this replica. */
	rpcMethods(): RpcMethods {
		return {
			[stateMethod]: parameters => stateResponseToJson(this.answer(afterRevisionFrom(parameters))),
			[pushMethod]: parameters => {
				this.offerChanges(pushedChangesFrom(parameters));
				return {revision: this.revision};
			},
			[treeMethod]: () => treeToJson(this.#runtime.state.held ?? emptyTree),
		};
	}

	/** State for the process's dump. Values of settings are left out because they include hashes of keys. */
	dump(): JsonObject {
		const {state} = this.#runtime;
		const nowMs = this.#clock.nowMs();
		return {
			revision: this.revision,
			isReady: this.isReady,
			isFresh: this.isFresh,
			isTableReached: state.isTableReached,
			confirmedAgeMs: state.confirmedAtMs === undefined ? null : nowMs - state.confirmedAtMs,
			quorumAgeMs: state.quorumAtMs === undefined ? null : nowMs - state.quorumAtMs,
			members: state.members ?? [],
			settings: this.tree.size,
		};
	}

	#scheduleTick(): void {
		this.#cancelTick = this.#clock.schedule(tickMs, () => {
			this.#tick();
			this.#scheduleTick();
		});
	}

	#tick(): void {
		this.#dispatch({type: 'tick', nowMs: this.#clock.nowMs(), members: this.#refreshMemberOrder()});
	}

	/** The members in the common order. The order is recomputed only when the members change, because it hashes every name. */
	#refreshMemberOrder(): readonly string[] | undefined {
		const memberIds = this.#options.peers?.memberIds();
		if (memberIds?.join(' ') !== this.#memberIds?.join(' ')) {
			this.#memberIds = memberIds;
			this.#orderedMemberIds = memberIds === undefined ? undefined : sortMembers(memberIds);
		}

		return this.#orderedMemberIds;
	}

	#dispatch(event: ReplicaEvent): void {
		if (!this.#isStopped) {
			this.#runtime.dispatch(event);
		}
	}

	#perform(effect: ReplicaEffect): void {
		switch (effect.type) {
			case 'settingsAdvanced': {
				this.#activate(effect.stored);
				return;
			}

			case 'freshnessChanged': {
				this.#notifyFreshness();
				return;
			}

			case 'readLog':
			case 'loadTree':
			case 'fetchTree':
			case 'askPeer':
			case 'pushChanges': {
				void this.#calls.perform(effect);
				return;
			}
		}

		assertNever(effect);
	}

	#activate(stored: TreeAtRevision): void {
		const compiled = this.#compiler.compile(stored.tree, stored.revision);
		this.#isCompiled = E.isRight(compiled);
		if (E.isLeft(compiled)) {
			this.#logger.error({event: 'settings_not_understood', revision: stored.revision, reason: compiled.left.map(formatFinding).join('; ')});
			this.#notifyFreshness();
			return;
		}

		this.#current = compiled.right;
		this.#logger.info({event: 'settings_in_force', revision: stored.revision});
		for (const listener of this.#settingsListeners) {
			listener(compiled.right);
		}

		this.#notifyFreshness();
	}

	#notifyFreshness(): void {
		const isFresh = this.#isCompiled && this.#runtime.state.isFresh;
		if (isFresh === this.#wasFresh) {
			return;
		}

		this.#wasFresh = isFresh;
		this.#logger.warn({event: 'settings_freshness_changed', isFresh, revision: this.revision});
		for (const listener of this.#freshnessListeners) {
			listener(isFresh);
		}
	}
}
