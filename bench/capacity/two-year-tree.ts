/**
Builds a settings tree of a given size. The two-year size has 1,400 workers in 48 pools, 37 teams, 3 regions and 8 data centres.
*/
import {hashSecret, type JsonValue, type SettingsTree} from '@poplarnotch/common';

/** Number of entities of each kind in a tree. */
export type TreeSize = {
	readonly hosts: number;
	readonly pools: number;
	readonly teams: number;
	readonly keysPerTeam: number;
	readonly queues: number;
};

/** Port of the one server that answers in place of all backend servers. */
export const serversPort = 7580;

/** Expected size of the fleet in two years, which the design must support. */
export const twoYearSize: TreeSize = {
	hosts: 1400,
	pools: 48,
	teams: 37,
	keysPerTeam: 3,
	queues: 96,
};

const dataCentreCount = 8;
const regionCount = 3;
const hostsPerRack = 4;

const addFields = (tree: Map<string, JsonValue>, entity: string, fields: Readonly<Record<string, JsonValue>>): void => {
	for (const [field, value] of Object.entries(fields)) {
		tree.set(`${entity}/${field}`, value);
	}
};

const addTeams = (tree: Map<string, JsonValue>, size: TreeSize): void => {
	for (let team = 0; team < size.teams; team++) {
		addFields(tree, `/teams/team-${team}`, {share: 1 + (team % 4), upperLimit: 200 + (team * 10)});
		for (let key = 0; key < size.keysPerTeam; key++) {
			addFields(tree, `/teams/team-${team}/keys/team-${team}-key-${key}`, {hash: hashSecret(`secret-${team}-${key}`)});
		}
	}
};

const addPools = (tree: Map<string, JsonValue>, size: TreeSize): void => {
	for (let pool = 0; pool < size.pools; pool++) {
		addFields(tree, `/pools/pool-${pool}`, {slotsPerServer: 8, connectionsPerServer: 64, spare: pool === 0});
		addFields(tree, `/budgets/budget-${pool}`, {pool: `pool-${pool}`, minServingShare: 0.6, domainLosses: 1});
	}
};

const addQueues = (tree: Map<string, JsonValue>, size: TreeSize): void => {
	for (let queue = 0; queue < size.queues; queue++) {
		addFields(tree, `/queues/queue-${queue}`, {pool: `pool-${queue % size.pools}`, maxRunMs: 60_000, urgent: queue % 8 === 0});
	}
};

const addHosts = (tree: Map<string, JsonValue>, size: TreeSize): void => {
	for (let host = 0; host < size.hosts; host++) {
		const dataCentre = host % dataCentreCount;
		const rack = Math.floor(host / dataCentreCount / hostsPerRack);
		addFields(tree, `/hosts/host-${host}`, {
			pool: `pool-${host % size.pools}`,
			region: `region-${dataCentre % regionCount}`,
			dataCentre: `dc-${dataCentre}`,
			rack: `dc-${dataCentre}-rack-${rack}`,
			address: `http://127.0.0.1:${serversPort}`,
		});
	}
};

/** Builds the tree. */
export const buildTree = (size: TreeSize): SettingsTree => {
	const tree = new Map<string, JsonValue>();
	addTeams(tree, size);
	if (size.pools > 0) {
		addPools(tree, size);
		addQueues(tree, size);
		addHosts(tree, size);
	}

	return tree;
};
