/**
The fencing token of an order tells who gave it, be it the token of the lease or one that counts the starts of a worker as well.
*/
import {LifecycleManager, SeededRandom, SystemClock} from '@poplarnotch/common';
import {expect, it} from 'vitest';
import {type Daemon} from '../daemons.js';
import {Deployment} from '../deployment.js';
import {KeepAliveClients} from '../http.js';

it('finds the daemon of a fencing token by the lease', async () => {
	const lifecycle = new LifecycleManager(new SystemClock());
	const deployment = new Deployment({
		daemons: 0, workers: 0, feedCut: 0, cpuQuota: 0, out: undefined,
	}, new SeededRandom(1), lifecycle);
	deployment.daemons.push({name: 'd'} as Daemon);
	const address = await deployment.store.listen('127.0.0.1', 'd');
	const [ip = '', port] = address.split(':');
	const clients = new KeepAliveClients(ip, Number(port));
	const write = async (table: string): Promise<number> => {
		const {body} = await clients.call({method: 'POST', path: '/rows-tx', body: {upserts: [{table, key: 'k', value: 'AAAA'}]}});
		return (body as {readonly ver: number}).ver;
	};

	const term = await write('leases');
	const other = await write('jobs');
	const found = [term, term * 1000, (term * 1000) + 999, other, other * 1000].map(fence => deployment.daemonOfFence(fence)?.name);
	expect(found).toEqual(['d', 'd', 'd', undefined, undefined]);
	await clients.close();
	await lifecycle.releaseAll();
});
