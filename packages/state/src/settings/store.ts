/**
Commits changes of the settings. A change is one transaction that writes the head, a log row and a change-id row under the condition that the head is unchanged, so that revisions form one sequence. A change that lost the race against unrelated changes is checked again on the new tree and retried; one that lost against a change of the same subtree fails with a conflict that names the other change.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	applyEdits, checkFleetSettings, type Clock, diffTrees, SettingsCompiler, type RandomSource, type SettingsEdit, SystemRandom,
} from '@poplarnotch/common';
import {
	backoffMs, ConflictError, type ObjectStore, pauseFor, type TableService, type Transaction, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type ChangeRequest, type ChangeReview, type SettingsChange} from '../types.js';
import {
	type CommitOutcome, hasLostRace, isChange, runReview, transactionFor,
} from './commit-attempt.js';
import {
	maxCommitAttempts, retryBackoff, resolveTimeoutMs,
} from './constants.js';
import {
	ReviewRejectedError, RevisionNotKeptError, SettingsBusyError, SettingsConflictError, SettingsRejectedError, SettingsUnreadableError,
} from './errors.js';
import {
	changeFromJson, changeIdFromJson, changeIdKey, emptyTree, logKey, type TreeAtRevision,
} from './rows.js';
import {SnapshotWriter, type SnapshotOptions} from './snapshots.js';
import {touchSameSubtree} from './subtrees.js';
import {type HeadRow, SettingsTreeReader} from './tree-reader.js';

/** Services that a settings store uses. */
export type SettingsStoreOptions = SnapshotOptions & {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	readonly random?: RandomSource;
};

/** A request to restore the tree of an earlier revision as a new revision. */
export type RollbackRequest = Omit<ChangeRequest, 'edits'> & {readonly toRevision: number};

/** The result of checking a valid change: its base revision and its diff. */
export type CheckedChange = {
	readonly baseRevision: number;
	readonly diff: readonly SettingsEdit[];
};

/** Accepts changes. `commitChange` and `rollback` fail with `SettingsRejectedError`, `SettingsConflictError`, `SettingsBusyError`, or a platform error. */
export interface SettingsStore {
	commitChange(request: ChangeRequest): Promise<SettingsChange>;
	/** Checks a change without writing. */
	checkChange(edits: readonly SettingsEdit[], review?: ChangeReview): Promise<CheckedChange>;
	rollback(request: RollbackRequest): Promise<SettingsChange>;
	/** Checks a rollback without writing. */
	checkRollback(toRevision: number, review?: ChangeReview): Promise<CheckedChange>;
	/** Accepted changes after a revision, oldest first. */
	history(afterRevision: number, limit: number): Promise<readonly SettingsChange[]>;
}

/** Whether an earlier attempt may still be applied after this error. Conflicts and rejections of the tree show that it cannot; a review that has findings now but had none before does not. */
const leavesOutcomeUnknown = (error: unknown): boolean =>
	error instanceof ReviewRejectedError || error instanceof UnavailableError || error instanceof SettingsUnreadableError || error instanceof RevisionNotKeptError;

/** Stores the settings in the table service and the object store. */
export class TableSettingsStore implements SettingsStore {
	readonly #table: TableService;
	readonly #reader: SettingsTreeReader;
	readonly #snapshots: SnapshotWriter;
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #compiler = new SettingsCompiler();
	#latest: TreeAtRevision = emptyTree;
	/** The last queued commit. Changes of one process are committed one after the other, so that they do not race each other. */
	#lastCommit: Promise<unknown> = Promise.resolve();

	constructor(options: SettingsStoreOptions) {
		this.#table = options.table;
		this.#clock = options.clock;
		this.#random = options.random ?? new SystemRandom();
		this.#reader = new SettingsTreeReader(options.table, options.objects);
		this.#snapshots = new SnapshotWriter(options);
	}

	async commitChange(request: ChangeRequest): Promise<SettingsChange> {
		const result = this.#lastCommit.then(async () => this.#commit(request));
		// The next change starts once this one has succeeded or failed, and after a success a snapshot that is due was written.
		this.#lastCommit = result.then(async () => this.#snapshots.writeWhenDue(), () => undefined);
		return result;
	}

	async checkChange(edits: readonly SettingsEdit[], review?: ChangeReview): Promise<CheckedChange> {
		const {head} = await this.#refresh();
		const {tree} = this.#latest;
		this.#checkTree(edits);
		await runReview(review, tree, edits);
		return {baseRevision: head.revision, diff: diffTrees(tree, applyEdits(tree, edits))};
	}

	async rollback(request: RollbackRequest): Promise<SettingsChange> {
		const earlier = await this.#findAccepted(request.changeId);
		if (earlier !== undefined) {
			return earlier;
		}

		const target = await this.#reader.readTreeAt(request.toRevision);
		const {head} = await this.#refresh();
		return this.commitChange({
			...request,
			expectedRevision: request.expectedRevision ?? head.revision,
			edits: diffTrees(this.#latest.tree, target.tree),
		});
	}

	async checkRollback(toRevision: number, review?: ChangeReview): Promise<CheckedChange> {
		const target = await this.#reader.readTreeAt(toRevision);
		await this.#refresh();
		return this.checkChange(diffTrees(this.#latest.tree, target.tree), review);
	}

	async history(afterRevision: number, limit: number): Promise<readonly SettingsChange[]> {
		const {head} = await this.#reader.readHead();
		const page = await this.#reader.readLogPage(Math.max(afterRevision, head.trimmedRevision), limit);
		return page.changes;
	}

	async #commit(request: ChangeRequest): Promise<SettingsChange> {
		let baseRevision = request.expectedRevision;
		let unresolved: WriteOutcomeUnknownError | undefined;
		let hasHeadMoved = false;
		try {
			for (let attempt = 1; attempt <= maxCommitAttempts; attempt++) {
				const earlier = await this.#findAccepted(request.changeId);
				if (earlier !== undefined) {
					return earlier;
				}

				// The head moved without the change, so an earlier attempt can no longer be applied.
				unresolved = hasHeadMoved ? undefined : unresolved;
				const headRow = await this.#refresh();
				baseRevision ??= headRow.head.revision;
				const appliedLate = await this.#checkChangesSince(baseRevision, request);
				if (appliedLate !== undefined) {
					return appliedLate;
				}

				this.#checkTree(request.edits);
				const basis = await runReview(request.review, this.#latest.tree, request.edits);
				const change = this.#changeAfter(headRow, request);
				const outcome = await this.#tryCommit(transactionFor(headRow, change, request, basis), change, request);
				if (isChange(outcome)) {
					this.#advance(outcome);
					return outcome;
				}

				hasHeadMoved = outcome === 'lost-race';
				unresolved = outcome instanceof WriteOutcomeUnknownError ? outcome : unresolved;
				await pauseFor(this.#clock, backoffMs(retryBackoff, attempt, this.#random));
			}
		} catch (error) {
			// An earlier attempt may still be pending, so the error must not say "not applied".
			throw unresolved !== undefined && leavesOutcomeUnknown(error) ? unresolved : error;
		}

		throw unresolved ?? new SettingsBusyError(`Change ${request.changeId} lost the race against other changes ${maxCommitAttempts} times in a row`);
	}

	/** The change that was accepted under an id. */
	async #findAccepted(changeId: string): Promise<SettingsChange | undefined> {
		const [row] = await this.#table.readRows([changeIdKey(changeId)]);
		if (row === undefined) {
			return undefined;
		}

		const [logRow] = await this.#table.readRows([logKey(changeIdFromJson(row.value))]);
		return logRow === undefined ? undefined : changeFromJson(logRow.value);
	}

	/** Updates the latest known tree to the head. */
	async #refresh(): Promise<HeadRow> {
		for (;;) {
			const headRow = await this.#reader.readHead();
			const known = await this.#reader.bringForward(this.#latest, headRow.head.revision)
				?? await this.#reader.readNewestTree();
			if (known.revision >= this.#latest.revision) {
				this.#latest = known;
			}

			if (this.#latest.revision === headRow.head.revision) {
				return headRow;
			}
		}
	}

	/** Searches the changes since a revision. Returns the request's own change, if an earlier attempt was applied late; throws if another change touches the same subtree. */
	async #checkChangesSince(baseRevision: number, request: ChangeRequest): Promise<SettingsChange | undefined> {
		for (let revision = baseRevision; revision < this.#latest.revision;) {
			const page = await this.#reader.readLogPage(revision);
			const found = page.changes.find(change => change.changeId === request.changeId || touchSameSubtree(change.edits, request.edits));
			if (found?.changeId === request.changeId) {
				return found;
			}

			if (found !== undefined) {
				throw new SettingsConflictError(found);
			}

			const last = page.changes.at(-1);
			if (last === undefined) {
				throw new RevisionNotKeptError(`The log no longer reaches back to revision ${revision}; read the settings again`);
			}

			revision = last.revision;
		}

		return undefined;
	}

	#checkTree(edits: readonly SettingsEdit[]): void {
		const tree = applyEdits(this.#latest.tree, edits);
		const compiled = this.#compiler.compile(tree, this.#latest.revision + 1);
		const checked = E.isLeft(compiled) ? compiled : checkFleetSettings(compiled.right);
		if (E.isLeft(checked)) {
			throw new SettingsRejectedError(checked.left);
		}
	}

	#changeAfter(headRow: HeadRow, request: ChangeRequest): SettingsChange {
		return {
			revision: headRow.head.revision + 1,
			changeId: request.changeId,
			author: request.author,
			reason: request.reason,
			acceptedAtMs: this.#clock.wallTimeMs(),
			edits: request.edits,
		};
	}

	#advance(change: SettingsChange): void {
		if (this.#latest.revision === change.revision - 1) {
			this.#latest = {revision: change.revision, tree: applyEdits(this.#latest.tree, change.edits)};
		}
	}

	/** Makes one attempt to commit. Throws if a fence no longer holds. */
	async #tryCommit(transaction: Transaction, change: SettingsChange, request: ChangeRequest): Promise<CommitOutcome> {
		try {
			await this.#table.commit(transaction);
			return change;
		} catch (error) {
			if (error instanceof ConflictError) {
				const isFenced = error.conflicts.some(({key}) => request.fences.some(fence => fence.key === key));
				if (isFenced) {
					throw error;
				}

				return hasLostRace(error, change) ? 'lost-race' : 'review-outdated';
			}

			if (error instanceof WriteOutcomeUnknownError) {
				return await this.#resolveOutcome(change.changeId, error) ?? error;
			}

			throw error;
		}
	}

	/** Reads from the change-id row whether a commit whose response was lost took effect, in this attempt or an earlier one. A pending attempt cannot be applied in addition to a retry, because both are conditional on the same rows. */
	async #resolveOutcome(changeId: string, cause: WriteOutcomeUnknownError): Promise<SettingsChange | undefined> {
		const deadlineMs = this.#clock.nowMs() + resolveTimeoutMs;
		for (let attempt = 1; this.#clock.nowMs() < deadlineMs; attempt++) {
			try {
				return await this.#findAccepted(changeId);
			} catch (error) {
				if (!(error instanceof UnavailableError)) {
					throw error;
				}
			}

			await pauseFor(this.#clock, backoffMs(retryBackoff, attempt, this.#random));
		}

		throw cause;
	}
}
