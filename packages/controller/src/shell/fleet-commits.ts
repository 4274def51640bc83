/**
Commits the settings changes that the fleet's reducer requests, one after the other, fenced by the lease. A change with an unknown outcome is repeated under the same id until its outcome is known.
*/
import {randomUUID} from 'node:crypto';
import {
	absentVersion, pauseFor, type RowCondition, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type HeldLease, type SettingsChange, settingsLogKey} from '@poplarnotch/state';
import {type SettingsCall} from '../fleet/types.js';
import {retryDelayMs} from './constants.js';
import {logExpectedFailure, isFenced} from './failures.js';
import {type FleetRunnerOptions} from './fleet-types.js';

/** One lease term, during which this controller holds the lease, or a time during which it does not. Terms are compared by identity, so that two terms are never equal. */
export type LeaseTerm = {
	/** `undefined` while this controller does not hold the lease. */
	readonly lease: HeldLease | undefined;
};

/** Outcome of a change; `over` if the lease term ended before the outcome was known. */
export type CommitOutcome
	= | {readonly type: 'committed'; readonly change: SettingsChange}
		| {readonly type: 'refused'}
		| {readonly type: 'fenced'}
		| {readonly type: 'over'};

/** Condition that holds while no change has been committed after a revision. */
const noChangeAfter = (revision: number): RowCondition => ({key: settingsLogKey(revision + 1), version: absentVersion});

/** Queue of the settings changes that one controller commits. */
export class SettingsCommitQueue {
	readonly #options: FleetRunnerOptions;
	readonly #isCurrent: (term: LeaseTerm) => boolean;
	#tail: Promise<void> = Promise.resolve();

	constructor(options: FleetRunnerOptions, isCurrent: (term: LeaseTerm) => boolean) {
		this.#options = options;
		this.#isCurrent = isCurrent;
	}

	/** Queues a change. It is repeated until its outcome is known or the lease term is over; the next change waits until `onOutcome` has returned. */
	commit(call: SettingsCall, term: LeaseTerm, onOutcome: (outcome: CommitOutcome) => void): void {
		this.#tail = this.#tail.then(async () => {
			onOutcome(await this.#commit(call, term));
		});
	}

	async #commit(call: SettingsCall, term: LeaseTerm): Promise<CommitOutcome> {
		const changeId = `${this.#options.processId}/${randomUUID()}`;
		const {lease} = term;
		if (lease === undefined) {
			return {type: 'over'};
		}

		while (this.#isCurrent(term)) {
			try {
				return {type: 'committed', change: await this.#commitOnce(call, changeId, lease)};
			} catch (error) {
				logExpectedFailure(error, 'fleet_change_failed', this.#options.logger);
				if (isFenced(error, lease)) {
					return {type: 'fenced'};
				}

				// A change that was definitely not applied is left to the reducer to decide again, because hosts may have failed during an outage.
				if (!(error instanceof WriteOutcomeUnknownError)) {
					return {type: 'refused'};
				}

				await pauseFor(this.#options.clock, retryDelayMs);
			}
		}

		return {type: 'over'};
	}

	async #commitOnce(call: SettingsCall, changeId: string, lease: HeldLease): Promise<SettingsChange> {
		return this.#options.store.commitChange({
			changeId,
			author: this.#options.processId,
			reason: call.reason,
			edits: call.edits,
			expectedRevision: call.expectedRevision,
			fences: call.isExclusive ? [lease.fence, noChangeAfter(call.expectedRevision)] : [lease.fence],
		});
	}
}
