/**
Selects the peers that a process calls. All processes that know the same members compute the same order of them from a hash of their names, so that neighbours in the order seldom share a rack. Changes are pushed along the order in steps of 1, 2, 4 and so on: every process is reached in few hops, each sends to about log2(n) others, and any process may be missing. During an outage of the table service, processes query freshness along a tree over the same order.
*/
import {createHash} from 'node:crypto';

/** Number of children of a process in the tree along which freshness is queried. */
const treeArity = 8;

const hashOf = (processId: string): string => createHash('sha256').update(processId).digest('hex');

/** Sorts the members into the order that all processes share. */
export const sortMembers = (memberIds: readonly string[]): readonly string[] => memberIds
	.map(id => ({id, hash: hashOf(id)}))
	.toSorted((a, b) => a.hash < b.hash ? -1 : Number(a.hash > b.hash))
	.map(({id}) => id);

/** The processes to which `selfId` pushes a change that it has applied. */
export const pushTargets = (selfId: string, ordered: readonly string[]): readonly string[] => {
	const others = ordered.filter(id => id !== selfId);
	const index = ordered.indexOf(selfId);
	if (index === -1) {
		return others.slice(0, Math.ceil(Math.log2(others.length + 1)));
	}

	const targets: string[] = [];
	for (let step = 1; step < ordered.length; step *= 2) {
		targets.push(ordered[(index + step) % ordered.length]!);
	}

	return targets;
};

/** The processes that `selfId` queries for freshness first: its parent and, in case the parent is gone, its grandparent. The first process in the order has none. */
export const treeParents = (selfId: string, ordered: readonly string[]): readonly string[] => {
	const parents: string[] = [];
	for (let index = ordered.indexOf(selfId); index > 0 && parents.length < 2;) {
		index = Math.floor((index - 1) / treeArity);
		parents.push(ordered[index]!);
	}

	return parents;
};
