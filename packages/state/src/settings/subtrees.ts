/**
Determines which subtrees a change touches. Two changes conflict when they touch the same subtree: a team with its keys, a pool, a host and so on.
*/
import {type SettingsEdit, type SettingsPath} from '@poplarnotch/common';

/** Segments that name a subtree: the kind and the entity's name. */
const subtreeSegments = 2;

/** The subtree of a path: `/teams/red` for `/teams/red/keys/k1/hash`, `/fleet` for `/fleet/moveWeight`. */
export const subtreeOf = (path: SettingsPath): SettingsPath => {
	const segments = path.split('/').slice(1);
	const length = segments[0] === 'fleet' ? 1 : subtreeSegments;
	return `/${segments.slice(0, length).join('/')}`;
};

/** Whether two lists of edits touch a common subtree. */
export const touchSameSubtree = (a: readonly SettingsEdit[], b: readonly SettingsEdit[]): boolean => {
	const subtrees = new Set(a.map(edit => subtreeOf(edit.path)));
	return b.some(edit => subtrees.has(subtreeOf(edit.path)));
};
