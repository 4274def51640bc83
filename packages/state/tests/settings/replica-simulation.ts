/**
Runs the reducers of several replicas in virtual time, with a table service and a network whose failures the test sets. Checks the invariants after each event.
*/
import {SeededRandom, VirtualClock} from '@poplarnotch/common';
import {sortMembers} from '../../src/peers/peer-selection.js';
import {freshUntilMs, isConfirmedSinceStart} from '../../src/settings/freshness.js';
import {recentChangesAfter} from '../../src/settings/copy-updates.js';
import {isHeldByMajority, isInForce, revisionStatuses} from '../../src/settings/in-force.js';
import {type SettingsStateResponse} from '../../src/settings/peer-messages.js';
import {initialReplicaState, reduceReplica} from '../../src/settings/replica-reducer.js';
import {type ReplicaEffect, type ReplicaEvent, type ReplicaState} from '../../src/settings/replica-types.js';
import {type Member, type SettingsChange} from '../../src/types.js';
import {ConsistencyChecker} from './consistency-checker.js';

const tickMs = 100;
const tableTimeoutMs = 2000;

type SimulatedProcess = {
	state: ReplicaState;
	/** Number of restarts; messages to an earlier run are dropped. */
	run: number;
	pausedUntilMs: number;
	/** Deliveries that are held back until the end of a pause. */
	readonly waiting: Array<() => void>;
	isDead: boolean;
};

/** The current failures of the network and the table service. */
export type FaultConditions = {
	isTableDown: boolean;
	readonly cutFromTable: Set<number>;
	readonly cutLinks: Set<string>;
	maxLagMs: number;
};

const memberOf = (processId: string): Member => ({
	processId, incarnation: 1, role: 'gate', host: processId, dataCentre: 'dc-1', region: 'region-1', operationsUrl: `http://${processId}`,
});

const linkOf = (a: number, b: number): string => [Math.min(a, b), Math.max(a, b)].join('-');

/** A simulated fleet of replicas. Processes are addressed by their index. */
export class ReplicaSimulation {
	readonly clock = new VirtualClock();
	readonly conditions: FaultConditions = {
		isTableDown: false, cutFromTable: new Set(), cutLinks: new Set(), maxLagMs: 5,
	};

	readonly checker = new ConsistencyChecker();
	/** Times at which a process stopped trusting its copy. */
	readonly failedClosedAtMs: number[] = [];
	messages = 0;
	readonly #random: SeededRandom;
	readonly #processes: SimulatedProcess[];
	readonly #ids: readonly string[];
	readonly #members: readonly string[];

	constructor(size: number, seed: number) {
		this.#random = new SeededRandom(seed);
		this.#ids = Array.from({length: size}, (_value, index) => `p${index}`);
		this.#members = sortMembers(this.#ids);
		this.#processes = this.#ids.map(id => ({
			state: initialReplicaState(id, 0), run: 0, pausedUntilMs: 0, waiting: [], isDead: false,
		}));
		for (const index of this.#ids.keys()) {
			this.#tickForever(index);
		}
	}

	get size(): number {
		return this.#ids.length;
	}

	/** Whether the process would accept requests with API keys now. */
	isFresh(index: number): boolean {
		return this.clock.nowMs() <= freshUntilMs(this.#processes[index]!.state);
	}

	revision(index: number): number {
		return this.#processes[index]!.state.held?.revision ?? -1;
	}

	advance(byMs: number): void {
		this.clock.advance(byMs);
	}

	/** The process sends a change to the table service. */
	commit(index: number): void {
		this.#callTable(index, () => {
			const revision = this.checker.log.length + 1;
			const change: SettingsChange = {
				revision, changeId: `c${revision}`, author: 'op', reason: '', acceptedAtMs: this.clock.nowMs(), edits: [{path: `/fleet/x${revision % 5}`, value: revision}],
			};
			this.checker.accept(change);
			return change;
		}, change => ({type: 'changesOffered', nowMs: this.clock.nowMs(), changes: [change]}));
	}

	pause(index: number, durationMs: number): void {
		const process = this.#processes[index]!;
		process.pausedUntilMs = Math.max(process.pausedUntilMs, this.clock.nowMs() + durationMs);
		this.clock.schedule(durationMs, () => {
			this.#resume(process);
		});
	}

	restart(index: number): void {
		const process = this.#processes[index]!;
		process.run++;
		process.waiting.length = 0;
		process.pausedUntilMs = 0;
		process.isDead = false;
		process.state = initialReplicaState(this.#ids[index]!, this.clock.nowMs());
	}

	kill(index: number): void {
		this.restart(index);
		this.#processes[index]!.isDead = true;
	}

	/** Determines at the observer whether the newest revision is in force, and records the report in the checker. */
	checkInForce(observer: number): boolean {
		if (this.#isPaused(observer)) {
			return false;
		}

		const revision = this.checker.log.length;
		const members = this.#ids.map(processId => memberOf(processId));
		const processes = revisionStatuses(members, this.#responsesFor(observer), revision);
		if (isHeldByMajority(processes)) {
			this.checker.recordMajority(revision, this.clock.nowMs());
		}

		const isReported = isInForce(processes, this.checker.heldByMajorityForMs(revision, this.clock.nowMs()));
		if (isReported) {
			this.checker.report(revision);
			this.#checkAll();
		}

		return isReported;
	}

	#responsesFor(observer: number): ReadonlyMap<string, SettingsStateResponse> {
		const answering = [...this.#ids.keys()].filter(index => index === observer || this.#isConnected(observer, index));
		return new Map(answering
			.filter(index => !this.#isPaused(index) && !this.#processes[index]!.isDead)
			.map(index => [this.#ids[index]!, this.#stateResponseOf(index, undefined)]));
	}

	#stateResponseOf(index: number, afterRevision: number | undefined): SettingsStateResponse {
		const {state} = this.#processes[index]!;
		const nowMs = this.clock.nowMs();
		const ageOf = (timeMs: number | undefined): number | undefined => timeMs === undefined ? undefined : nowMs - timeMs;
		return {
			processId: this.#ids[index]!,
			revision: state.held?.revision ?? 0,
			hasFloor: isConfirmedSinceStart(state),
			isFresh: this.isFresh(index),
			confirmedAgeMs: ageOf(state.confirmedAtMs),
			quorumAgeMs: ageOf(state.quorumAtMs),
			changes: afterRevision === undefined ? [] : recentChangesAfter(state, afterRevision),
		};
	}

	#isPaused(index: number): boolean {
		return this.clock.nowMs() < this.#processes[index]!.pausedUntilMs;
	}

	#isConnected(a: number, b: number): boolean {
		return !this.conditions.cutLinks.has(linkOf(a, b));
	}

	#lagMs(): number {
		return this.#random.next() * this.conditions.maxLagMs;
	}

	#tickForever(index: number): void {
		const process = this.#processes[index]!;
		if (!this.#isPaused(index) && !process.isDead) {
			this.#dispatch(index, {type: 'tick', nowMs: this.clock.nowMs(), members: this.#members});
		}

		this.clock.schedule(tickMs, () => {
			this.#tickForever(index);
		});
	}

	#resume(process: SimulatedProcess): void {
		if (this.clock.nowMs() >= process.pausedUntilMs) {
			for (const deliver of process.waiting.splice(0)) {
				deliver();
			}
		}
	}

	/** Runs the callback at the process unless it has restarted, and only after its pause. */
	#deliver(index: number, run: number, act: () => void): void {
		const process = this.#processes[index]!;
		if (process.run !== run || process.isDead) {
			return;
		}

		if (this.#isPaused(index)) {
			process.waiting.push(() => {
				this.#deliver(index, run, act);
			});
			return;
		}

		act();
	}

	#callTable<Value>(index: number, apply: () => Value, toEvent: (value: Value) => ReplicaEvent, onFailed?: () => ReplicaEvent): void {
		const {run} = this.#processes[index]!;
		const isReached = (): boolean => !this.conditions.isTableDown && !this.conditions.cutFromTable.has(index);
		const finish = (delayMs: number, event: () => ReplicaEvent): void => {
			this.clock.schedule(delayMs, () => {
				this.#deliver(index, run, () => {
					this.#dispatch(index, event());
				});
			});
		};

		this.clock.schedule(this.#lagMs(), () => {
			const value = isReached() ? {applied: apply()} : undefined;
			// The response is lost if the table service becomes unreachable in the meantime.
			this.clock.schedule(this.#lagMs(), () => {
				if (value !== undefined && isReached()) {
					finish(0, () => toEvent(value.applied));
				} else if (onFailed !== undefined) {
					finish(this.#random.next() < 0.5 ? 0 : tableTimeoutMs, onFailed);
				}
			});
		});
	}

	#callPeer<Value>(from: number, peerId: string, apply: (to: number) => Value, onAnswer: (value: Value) => void): void {
		const to = this.#ids.indexOf(peerId);
		const runs = [this.#processes[from]!.run, this.#processes[to]!.run] as const;
		this.messages++;
		this.clock.schedule(this.#lagMs(), () => {
			if (!this.#isConnected(from, to)) {
				return;
			}

			this.#deliver(to, runs[1], () => {
				const value = apply(to);
				this.clock.schedule(this.#lagMs(), () => {
					if (this.#isConnected(from, to)) {
						this.#deliver(from, runs[0], () => {
							onAnswer(value);
						});
					}
				});
			});
		});
	}

	#dispatch(index: number, event: ReplicaEvent): void {
		const process = this.#processes[index]!;
		const before = process.state;
		const step = reduceReplica(before, event);
		process.state = step.state;
		this.checker.checkAdvance(before, step.state);
		for (const effect of step.effects) {
			this.#perform(index, effect);
		}

		this.#recordMajority();
		this.#checkAll();
	}

	#perform(index: number, effect: ReplicaEffect): void {
		const nowMs = (): number => this.clock.nowMs();
		switch (effect.type) {
			case 'readLog': {
				const {afterRevision, sentAtMs} = effect;
				this.#callTable(
					index,
					() => this.checker.log.slice(afterRevision, afterRevision + 5),
					changes => ({
						type: 'logRead', nowMs: nowMs(), sentAtMs, changes, hasGap: false, hasMore: changes.length === 5,
					}),
					() => ({type: 'logReadFailed', nowMs: nowMs(), sentAtMs}),
				);

				break;
			}

			case 'loadTree': {
				const {sentAtMs} = effect;
				this.#callTable(
					index,
					() => ({revision: this.checker.log.length, tree: this.checker.newestTree}),
					stored => ({
						type: 'treeLoaded', nowMs: nowMs(), sentAtMs, source: 'table', stored,
					}),
					() => ({type: 'treeLoadFailed', nowMs: nowMs(), source: 'table'}),
				);

				break;
			}

			case 'askPeer': {
				const {sentAtMs} = effect;
				this.#callPeer(index, effect.peerId, to => this.#stateResponseOf(to, effect.afterRevision), answer => {
					this.#dispatch(index, {
						type: 'peerAnswered', nowMs: nowMs(), sentAtMs, answer,
					});
				});

				break;
			}

			case 'fetchTree': {
				const {sentAtMs} = effect;
				this.#callPeer(index, effect.peerId, to => this.#processes[to]!.state.held ?? {revision: 0, tree: new Map()}, stored => {
					this.#dispatch(index, {
						type: 'treeLoaded', nowMs: nowMs(), sentAtMs, source: 'peer', stored,
					});
				});
				const {run} = this.#processes[index]!;
				this.clock.schedule(500, () => {
					this.#deliver(index, run, () => {
						this.#dispatch(index, {type: 'treeLoadFailed', nowMs: nowMs(), source: 'peer'});
					});
				});

				break;
			}

			case 'pushChanges': {
				this.#callPeer(index, effect.peerId, to => {
					this.#dispatch(to, {type: 'changesOffered', nowMs: nowMs(), changes: effect.changes});
				}, () => undefined);

				break;
			}

			case 'freshnessChanged': {
				if (!effect.isFresh) {
					this.failedClosedAtMs.push(nowMs());
				}

				break;
			}

			case 'settingsAdvanced': {
				break;
			}
		}
	}

	#recordMajority(): void {
		const held = this.#processes.filter(({state}) => isConfirmedSinceStart(state)).map(({state}) => state.held!.revision);
		this.checker.recordHeld(held, this.size, this.clock.nowMs());
	}

	#checkAll(): void {
		for (const [index, {state}] of this.#processes.entries()) {
			if (!this.#isPaused(index) && this.isFresh(index)) {
				this.checker.checkFresh(state, this.clock.nowMs());
			}
		}
	}
}
