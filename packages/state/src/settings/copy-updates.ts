/**
Updates a replica's copy. The revision never goes back: changes and trees that are not newer are ignored.
*/
import {applyEdits} from '@poplarnotch/common';
import {type SettingsChange} from '../types.js';
import {pushTargets} from '../peers/peer-selection.js';
import {maxRecentChanges} from './constants.js';
import {type ReplicaEffect, type ReplicaState} from './replica-types.js';
import {type TreeAtRevision} from './rows.js';

/** The state after an update, with the changes that were new. */
export type CopyUpdate = {
	readonly state: ReplicaState;
	readonly applied: readonly SettingsChange[];
	/** True if changes between the copy and the offered ones are missing. */
	readonly hasGap: boolean;
};

/** Applies the changes that directly follow the revision of the copy. */
export const applyChanges = (state: ReplicaState, changes: readonly SettingsChange[]): CopyUpdate => {
	if (state.held === undefined) {
		return {state, applied: [], hasGap: changes.length > 0};
	}

	let {revision, tree} = state.held;
	const applied: SettingsChange[] = [];
	for (const change of changes) {
		if (change.revision === revision + 1) {
			tree = applyEdits(tree, change.edits);
			revision = change.revision;
			applied.push(change);
		}
	}

	const hasGap = changes.some(change => change.revision > revision);
	if (applied.length === 0) {
		return {state, applied, hasGap};
	}

	return {
		state: {
			...state,
			held: {revision, tree},
			recent: [...state.recent, ...applied].slice(-maxRecentChanges),
		},
		applied,
		hasGap,
	};
};

/** Replaces the copy if the tree is newer. */
export const replaceTree = (state: ReplicaState, stored: TreeAtRevision): ReplicaState =>
	state.held === undefined || stored.revision > state.held.revision
		? {...state, held: stored, recent: []}
		: state;

/** The changes after a revision from memory; empty if not all of them are kept. */
export const recentChangesAfter = (state: ReplicaState, revision: number): readonly SettingsChange[] => {
	const after = state.recent.filter(change => change.revision > revision);
	return after[0]?.revision === revision + 1 ? after : [];
};

/** Effects that notify this process and push newly applied changes to its peers. */
export const propagationEffects = (state: ReplicaState, applied: readonly SettingsChange[]): readonly ReplicaEffect[] => {
	if (applied.length === 0 || state.held === undefined) {
		return [];
	}

	const targets = state.members === undefined ? [] : pushTargets(state.selfId, state.members);
	return [
		{type: 'settingsAdvanced', stored: state.held},
		...targets.map((peerId): ReplicaEffect => ({type: 'pushChanges', peerId, changes: applied})),
	];
};
