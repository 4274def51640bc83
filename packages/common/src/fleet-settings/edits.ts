/**
Applies edits to the flat settings tree and computes the edits between two trees. Trees are never modified in place.
*/
import {type SettingsEdit, type SettingsTree} from './types.js';

/** Returns a new tree with the edits applied. */
export const applyEdits = (tree: SettingsTree, edits: readonly SettingsEdit[]): SettingsTree => {
	const next = new Map(tree);
	for (const edit of edits) {
		if (edit.value === undefined) {
			next.delete(edit.path);
		} else {
			next.set(edit.path, edit.value);
		}
	}

	return next;
};

/** Returns the edits that turn the tree `from` into the tree `to`. */
export const diffTrees = (from: SettingsTree, to: SettingsTree): readonly SettingsEdit[] => {
	const removed = [...from.keys()]
		.filter(path => !to.has(path))
		.map((path): SettingsEdit => ({path, value: undefined}));
	const changed = [...to]
		.filter(([path, value]) => JSON.stringify(from.get(path)) !== JSON.stringify(value))
		.map(([path, value]): SettingsEdit => ({path, value}));
	return [...removed, ...changed];
};
