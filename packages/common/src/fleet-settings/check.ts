/**
Validates relations between the entities of a compiled settings tree: references, owners of open queues, budgets against pool sizes, and the single spare pool. All findings are returned together.
*/
import {type Checked, checkedFrom, type Finding} from '../findings.js';
import {type FleetSettings} from './types.js';

type Check = (settings: FleetSettings) => readonly Finding[];

const unknownReference = (place: string, kind: string, name: string): Finding => ({
	place,
	code: 'unknown-reference',
	message: `${kind} "${name}" does not exist`,
});

const checkKeys: Check = settings => [...settings.keys]
	.filter(([, key]) => !settings.teams.has(key.team))
	.map(([keyId, key]) => unknownReference(`/teams/${key.team}/keys/${keyId}`, 'team', key.team));

const checkQueuePools: Check = settings => [...settings.queues]
	.filter(([, queue]) => !settings.pools.has(queue.pool))
	.map(([name, queue]) => unknownReference(`/queues/${name}/pool`, 'pool', queue.pool));

const checkQueueOwners: Check = settings => [...settings.queues].flatMap(([name, queue]): readonly Finding[] => {
	const place = `/queues/${name}/owner`;
	if (queue.owner === undefined) {
		return queue.open
			? [{place, code: 'owner-required', message: 'an open queue needs an owner, the team its work counts for'}]
			: [];
	}

	return settings.teams.has(queue.owner) ? [] : [unknownReference(place, 'team', queue.owner)];
});

const checkQueueTeams: Check = settings => [...settings.queues].flatMap(([name, queue]) => queue.teams
	.filter(team => !settings.teams.has(team))
	.map(team => unknownReference(`/queues/${name}/teams`, 'team', team)));

const checkHosts: Check = settings => [...settings.hosts]
	.filter(([, host]) => !settings.pools.has(host.pool))
	.map(([name, host]) => unknownReference(`/hosts/${name}/pool`, 'pool', host.pool));

const checkHostTargets: Check = settings => [...settings.hosts].flatMap(([name, host]) =>
	(['targetPool', 'homePool'] as const).flatMap(field => {
		const pool = host[field];
		return pool === undefined || settings.pools.has(pool) ? [] : [unknownReference(`/hosts/${name}/${field}`, 'pool', pool)];
	}));

const checkBudgetPools: Check = settings => [...settings.budgets]
	.filter(([, budget]) => !settings.pools.has(budget.pool))
	.map(([name, budget]) => unknownReference(`/budgets/${name}/pool`, 'pool', budget.pool));

/** Pools without hosts are skipped, since they are still being set up. */
const checkBudgetSizes: Check = settings => [...settings.budgets].flatMap(([name, budget]): readonly Finding[] => {
	const hosts = [...settings.hosts.values()].filter(host => host.pool === budget.pool || host.homePool === budget.pool).length;
	return hosts === 0 || budget.minServing <= hosts
		? []
		: [{place: `/budgets/${name}/minServing`, code: 'budget-above-pool', message: `pool "${budget.pool}" has only ${hosts} hosts`}];
});

const checkWavePools: Check = settings => [...settings.waves].flatMap(([name, wave]) => wave.pools
	.filter(pool => !settings.pools.has(pool))
	.map(pool => unknownReference(`/waves/${name}/pools`, 'pool', pool)));

const checkSparePool: Check = settings => {
	const spares = [...settings.pools].filter(([, pool]) => pool.spare).map(([name]) => name);
	return spares.slice(1).map(name => ({
		place: `/pools/${name}/spare`,
		code: 'second-spare-pool',
		message: `pool "${spares[0]}" is the spare pool already`,
	}));
};

const checks: readonly Check[] = [
	checkKeys,
	checkQueuePools,
	checkQueueOwners,
	checkQueueTeams,
	checkHosts,
	checkHostTargets,
	checkBudgetPools,
	checkBudgetSizes,
	checkWavePools,
	checkSparePool,
];

/** Validates the references and relations between all entities. */
export const checkFleetSettings = (settings: FleetSettings): Checked<FleetSettings> =>
	checkedFrom(checks.flatMap(check => check(settings)), settings);
