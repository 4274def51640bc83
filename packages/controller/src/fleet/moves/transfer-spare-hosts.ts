/**
Transfers hosts of the spare pool to pools whose budgets would otherwise forbid the maintenance of some of their hosts. Borrowed hosts are transferred on to the next pool that needs them, and back to their home pool when no wave needs them.
*/
import {type Host} from '@poplarnotch/common';
import {type Decision} from '../decision.js';
import {isServing} from '../observations.js';
import {demandByPool} from '../waves/run-waves.js';
import {chooseTransfers} from './choose-transfers.js';

const setTargetPool = (decision: Decision, name: string, fields: Readonly<Record<string, string>>, reason: string): void => {
	decision.info('host_lent', {host: name, ...fields, reason});
	decision.change({
		entity: `/hosts/${name}`,
		action: reason,
		fields,
		expectedRevision: decision.state.settings.revision,
	});
};

/** Whether the host may be transferred now: it serves, does not move and is not taken. */
const isTransferable = (decision: Decision, name: string, host: Host): boolean =>
	host.targetPool === undefined && !decision.taken.has(name) && isServing(host, decision.state.observations.get(name));

const isBorrowed = (host: Host): boolean => host.homePool !== undefined && host.homePool !== host.pool;

/** Hosts that may be transferred: those of spare pools, and borrowed hosts in pools on which no wave works any more. */
const transferableHosts = (decision: Decision, demand: ReadonlyMap<string, readonly string[]>): readonly string[] => {
	const {pools, hosts} = decision.state.settings;
	return [...hosts]
		.filter(([name, host]) => isTransferable(decision, name, host))
		.filter(([, host]) => isBorrowed(host) ? !demand.has(host.pool) : pools.get(host.pool)?.spare === true)
		.map(([name]) => name);
};

/** Waiting hosts of the pools that may need transfers: pools to which a host already moves, and spare pools, are left out. */
const waitingByEligiblePool = (decision: Decision, demand: ReadonlyMap<string, readonly string[]>): ReadonlyMap<string, readonly string[]> => {
	const {pools, hosts} = decision.state.settings;
	const targetPools = new Set([...hosts.values()].map(host => host.targetPool));
	return new Map([...demand]
		.filter(([pool, waiting]) => waiting.length > 0 && !targetPools.has(pool) && pools.get(pool)?.spare !== true));
};

/** Decides on transfers of spare hosts and on their return. */
export const transferSpareHosts = (decision: Decision): void => {
	if (!decision.isHostListFresh) {
		return;
	}

	const {settings} = decision.state;
	const demand = demandByPool(decision);
	const waiting = waitingByEligiblePool(decision, demand);
	const transferable = transferableHosts(decision, demand);
	const transfers = waiting.size === 0
		? []
		: chooseTransfers({
			settings, budgets: decision.budgets, projectedBudgets: decision.projectBudgets(), waiting, transferable,
		});
	for (const {host, pool} of transfers) {
		const homePool = settings.hosts.get(host)!.homePool ?? settings.hosts.get(host)!.pool;
		decision.markTaken([host]);
		setTargetPool(decision, host, {targetPool: pool, homePool}, 'lend');
	}

	for (const name of transferable) {
		const host = settings.hosts.get(name)!;
		if (isBorrowed(host) && !decision.taken.has(name)) {
			decision.markTaken([name]);
			setTargetPool(decision, name, {targetPool: host.homePool!}, 'send-home');
		}
	}
};
