/**
Reads the settings from the platform: the head, the log after a revision, and whole trees from a snapshot and the log after it. If a snapshot is missing or unreadable, an older one is used, since the log reaches back beyond the newest snapshot.
*/
import {applyEdits} from '@poplarnotch/common';
import {type ObjectStore, type TableService} from '@poplarnotch/platform';
import {type SettingsChange} from '../types.js';
import {logPageRows} from './constants.js';
import {RevisionNotKeptError, SettingsUnreadableError} from './errors.js';
import {
	changeFromJson, emptyHead, emptyTree, headFromJson, headKey, logKey, logPrefix, type SettingsHead, snapshotKey, type TreeAtRevision, treeFromJson,
} from './rows.js';

/** The head with the version of its row. */
export type HeadRow = {
	readonly head: SettingsHead;
	readonly version: number;
};

/** One page of the log. */
export type LogPage = {
	/** Contiguous changes after the requested revision. */
	readonly changes: readonly SettingsChange[];
	/** True if the log no longer holds the change after the requested revision. */
	readonly hasGap: boolean;
	readonly hasMore: boolean;
};

/** Reads head, log and trees. All methods fail with `UnavailableError` if the platform cannot be reached. */
export class SettingsTreeReader {
	readonly #table: TableService;
	readonly #objects: ObjectStore;

	constructor(table: TableService, objects: ObjectStore) {
		this.#table = table;
		this.#objects = objects;
	}

	async readHead(): Promise<HeadRow> {
		const [row] = await this.#table.readRows([headKey]);
		return row === undefined
			? {head: emptyHead, version: 0}
			: {head: headFromJson(row.value), version: row.version};
	}

	/** Reads one page of the log. An empty page without a gap shows that the revision is the newest: the newest change is never trimmed. */
	async readLogPage(afterRevision: number, limit = logPageRows): Promise<LogPage> {
		const page = await this.#table.readPrefix(logPrefix, {afterKey: logKey(afterRevision), limit});
		const changes = page.rows.map(row => changeFromJson(row.value));
		const hasGap = changes.some((change, index) => change.revision !== afterRevision + 1 + index);
		return {changes: hasGap ? [] : changes, hasGap, hasMore: page.hasMore};
	}

	/** The oldest changes that the log still holds. */
	async readOldestLogPage(limit: number): Promise<readonly SettingsChange[]> {
		const page = await this.#table.readPrefix(logPrefix, {limit});
		return page.rows.map(row => changeFromJson(row.value));
	}

	/** The newest tree. */
	async readNewestTree(): Promise<TreeAtRevision> {
		const {head} = await this.readHead();
		return this.#readFromSnapshots(head, head.revision, undefined);
	}

	/** The tree at an earlier revision. Fails with `RevisionNotKeptError` if the log does not reach back to it. */
	async readTreeAt(revision: number): Promise<TreeAtRevision> {
		const {head} = await this.readHead();
		if (revision > head.revision) {
			throw new RevisionNotKeptError(`Revision ${revision} does not exist; the newest is ${head.revision}`);
		}

		return this.#readFromSnapshots(head, revision, revision);
	}

	/** Applies the log after a tree's revision to it; `undefined` if the log has a gap. */
	async bringForward(from: TreeAtRevision, upToRevision?: number): Promise<TreeAtRevision | undefined> {
		let {revision, tree} = from;
		for (;;) {
			const page = await this.readLogPage(revision);
			if (page.hasGap) {
				return undefined;
			}

			for (const change of page.changes) {
				if (upToRevision !== undefined && change.revision > upToRevision) {
					return {revision, tree};
				}

				tree = applyEdits(tree, change.edits);
				revision = change.revision;
			}

			if (!page.hasMore) {
				return {revision, tree};
			}
		}
	}

	async #readFromSnapshots(head: SettingsHead, atLeastRevision: number, upToRevision: number | undefined): Promise<TreeAtRevision> {
		const candidates = [head.snapshotRevision, ...head.earlierSnapshotRevisions, 0]
			.filter(candidate => candidate <= atLeastRevision);
		for (const candidate of new Set(candidates)) {
			const snapshot = await this.#readSnapshot(candidate);
			const tree = snapshot && await this.bringForward(snapshot, upToRevision);
			if (tree !== undefined && tree.revision >= atLeastRevision) {
				return tree;
			}
		}

		throw upToRevision === undefined
			? new SettingsUnreadableError(`Revision ${head.revision} cannot be rebuilt from any snapshot and the log`)
			: new RevisionNotKeptError(`The log no longer reaches back to revision ${upToRevision}`);
	}

	async #readSnapshot(revision: number): Promise<TreeAtRevision | undefined> {
		if (revision === 0) {
			return emptyTree;
		}

		const object = await this.#objects.get(snapshotKey(revision));
		if (object === undefined) {
			return undefined;
		}

		try {
			return treeFromJson(JSON.parse(object.text));
		} catch (error) {
			if (error instanceof SyntaxError || error instanceof SettingsUnreadableError) {
				return undefined;
			}

			throw error;
		}
	}
}
