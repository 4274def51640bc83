/**
Records what the settings guarantee at each time, and checks that no process violates it.
*/
import {applyEdits, diffTrees, type SettingsTree} from '@poplarnotch/common';
import {type ReplicaState} from '../../src/settings/replica-types.js';
import {type SettingsChange} from '../../src/types.js';

/** Time within which a withdrawn key must be rejected everywhere. */
const revocationLimitMs = 2000;

/** A process violated a guarantee of the settings. */
export class ConsistencyError extends Error {
	override readonly name = 'ConsistencyError';
}

/** Records which revisions were accepted, held by a majority and reported in force. */
export class ConsistencyChecker {
	/** Accepted changes; the table service's log. */
	readonly log: SettingsChange[] = [];
	readonly #trees: SettingsTree[] = [new Map()];
	/** When a majority first held each revision, indexed by revision. */
	readonly #majorityAtMs: number[] = [];
	#reportedInForce = 0;

	get newestTree(): SettingsTree {
		return this.#trees.at(-1)!;
	}

	accept(change: SettingsChange): void {
		this.log.push(change);
		this.#trees.push(applyEdits(this.newestTree, change.edits));
	}

	/** Records that the revision was reported in force. */
	report(revision: number): void {
		this.#reportedInForce = Math.max(this.#reportedInForce, revision);
	}

	/** Records that a majority holds the revision. */
	recordMajority(revision: number, nowMs: number): void {
		this.#majorityAtMs[revision] ??= nowMs;
	}

	/** Records the revisions held by the processes that are ready, in a fleet of `size` processes. */
	recordHeld(held: readonly number[], size: number, nowMs: number): void {
		const byMajority = held.toSorted((a, b) => b - a)[Math.floor(size / 2)] ?? 0;
		for (let revision = 0; revision <= byMajority; revision++) {
			this.recordMajority(revision, nowMs);
		}
	}

	heldByMajorityForMs(revision: number, nowMs: number): number | undefined {
		const sinceMs = this.#majorityAtMs[revision];
		return sinceMs === undefined ? undefined : nowMs - sinceMs;
	}

	/** Checks that the copy never goes back and that each revision is the same in every process. */
	checkAdvance(before: ReplicaState, after: ReplicaState): void {
		if (after.held === before.held) {
			return;
		}

		const {revision, tree} = after.held!;
		if (revision < (before.held?.revision ?? 0)) {
			throw new ConsistencyError(`${after.selfId} went back to revision ${revision}`);
		}

		if (diffTrees(this.#trees[revision]!, tree).length > 0) {
			throw new ConsistencyError(`${after.selfId} holds a different tree at revision ${revision}`);
		}
	}

	/** Checks that a process that accepts requests with API keys holds every revision that it must hold. */
	checkFresh(state: ReplicaState, nowMs: number): void {
		const isConfirmed = state.confirmedAtMs !== undefined && state.confirmedAtMs + revocationLimitMs > nowMs;
		const isTrustedByQuorum = state.quorumAtMs !== undefined && state.quorumAtMs >= Math.max(state.startedAtMs, state.confirmedAtMs ?? 0);
		const needed = [
			['reported in force', this.#reportedInForce],
			['held by a majority for 2 s', this.#heldByMajorityBefore(nowMs - revocationLimitMs)],
			['held by a majority before the start', this.#heldByMajorityBefore(state.startedAtMs)],
			['accepted 2 s ago', isConfirmed ? this.#acceptedBefore(nowMs - revocationLimitMs) : 0],
			['accepted before the start', isConfirmed && !isTrustedByQuorum ? this.#acceptedBefore(state.startedAtMs) : 0],
		] as const;
		const held = state.held?.revision ?? -1;
		for (const [reason, revision] of needed) {
			if (held < revision) {
				throw new ConsistencyError(`${state.selfId} uses revision ${held} at ${nowMs}, but ${revision} was ${reason}`);
			}
		}
	}

	#heldByMajorityBefore(timeMs: number): number {
		return this.#majorityAtMs.findLastIndex(atMs => atMs !== undefined && atMs < timeMs);
	}

	#acceptedBefore(timeMs: number): number {
		return this.log.findLast(change => change.acceptedAtMs < timeMs)?.revision ?? 0;
	}
}
