/**
Rows and objects that hold the shared settings: their keys, and the serialization of their values.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	formatFinding, type JsonObject, type JsonValue, parseWith, type SettingsEdit, type SettingsTree, z,
} from '@poplarnotch/common';
import {type SettingsChange} from '../types.js';
import {SettingsUnreadableError} from './errors.js';

/** Row that serializes all changes. */
export const headKey = 'settings/head';

/** Prefix of the log's rows. */
export const logPrefix = 'settings/log/';

const revisionDigits = 12;

/** Row of one accepted change; keys sort by revision. */
export const logKey = (revision: number): string => `${logPrefix}${String(revision).padStart(revisionDigits, '0')}`;

/** Row that ensures that a change id is applied only once. */
export const changeIdKey = (changeId: string): string => `settings/change-ids/${changeId}`;

/** Object that holds the whole tree at a revision. */
export const snapshotKey = (revision: number): string => `settings/snapshot/${revision}`;

const revisionSchema = z.number().int().nonnegative();

const headSchema = z.object({
	revision: revisionSchema,
	/** Revision of the newest snapshot; 0 if there is none. */
	snapshotRevision: revisionSchema,
	/** Older snapshots that the log still reaches, newest first. */
	earlierSnapshotRevisions: z.array(revisionSchema).default([]),
	/** Log rows up to this revision are deleted. */
	trimmedRevision: revisionSchema.default(0),
});

/** Value of the head row. */
export type SettingsHead = z.infer<typeof headSchema>;

/** The head before the first change. */
export const emptyHead: SettingsHead = {
	revision: 0,
	snapshotRevision: 0,
	earlierSnapshotRevisions: [],
	trimmedRevision: 0,
};

/** Schema of an accepted change, as stored and as sent between processes. */
export const settingsChangeSchema = z.object({
	revision: revisionSchema,
	changeId: z.string(),
	author: z.string(),
	reason: z.string(),
	acceptedAtMs: z.number(),
	edits: z.array(z.object({path: z.string(), value: z.json().optional()})
		.transform(edit => ({path: edit.path, value: edit.value as JsonValue | undefined}))),
});

const changeIdSchema = z.object({revision: revisionSchema});

/** Schema of the tree as stored in a snapshot and as sent between processes. */
export const storedTreeSchema = z.object({
	revision: revisionSchema,
	settings: z.array(z.tuple([z.string(), z.json()])),
});

/** A tree with its revision. */
export type TreeAtRevision = {
	readonly revision: number;
	readonly tree: SettingsTree;
};

/** The tree before the first change. */
export const emptyTree: TreeAtRevision = {revision: 0, tree: new Map()};

const read = <Schema extends z.ZodType>(schema: Schema, value: unknown, place: string): z.infer<Schema> => {
	const parsed = parseWith(schema, value, place);
	if (E.isLeft(parsed)) {
		throw new SettingsUnreadableError(parsed.left.map(formatFinding).join('; '));
	}

	return parsed.right;
};

/** Parses the head row's value. */
export const headFromJson = (value: JsonValue): SettingsHead => read(headSchema, value, headKey);

/** Parses a log row's value. */
export const changeFromJson = (value: JsonValue): SettingsChange => read(settingsChangeSchema, value, logPrefix);

/** Parses a change-id row's value: the revision under which the change was accepted. */
export const changeIdFromJson = (value: JsonValue): number => read(changeIdSchema, value, 'settings/change-ids').revision;

/** Edits as JSON; an edit that removes a setting has no `value`. */
export const editsToJson = (edits: readonly SettingsEdit[]): JsonValue =>
	edits.map(({path, value}): JsonObject => value === undefined ? {path} : {path, value});

/** A change as JSON. */
export const changeToJson = (change: SettingsChange): JsonObject => ({...change, edits: editsToJson(change.edits)});

/** A tree as a JSON value. */
export const treeToJson = (stored: TreeAtRevision): JsonValue => ({
	revision: stored.revision,
	settings: [...stored.tree],
});

/** Parses a tree that was stored or received. */
export const treeFromJson = (value: unknown): TreeAtRevision => {
	const stored = read(storedTreeSchema, value, 'settings/snapshot');
	return {revision: stored.revision, tree: new Map(stored.settings as ReadonlyArray<[string, JsonValue]>)};
};
