/**
Runs failures from the property tests of settings replicas over real sockets.
*/
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {SocketFleet} from './socket-fleet.js';

describe('settings replicas over sockets', () => {
	let fleet: SocketFleet;

	beforeEach(async () => {
		fleet = new SocketFleet();
		await fleet.start(4);
	});

	afterEach(async () => {
		await fleet.stop();
	});

	const reach = async (revision: number): Promise<void> => fleet.waitUntil(() => fleet.processes.every(({replica}) => replica.revision >= revision));

	test('a change reaches a process that is cut off from the table service, and copies stay fresh during an outage for all processes', async () => {
		const freshnessChanges: boolean[] = [];
		for (const {replica} of fleet.processes) {
			replica.onFreshness(isFresh => {
				freshnessChanges.push(isFresh);
			});
		}

		fleet.platform.setFaults({cutClients: ['p3']});
		await fleet.commit(0, '/fleet/moveWeight', 2);
		await reach(1);
		fleet.platform.setFaults({down: true});
		await fleet.pause(4000);
		expect(freshnessChanges).toEqual([]);
		expect(fleet.processes.map(({replica}) => replica.isFresh)).toEqual([true, true, true, true]);
	});

	test('a process that is cut off from everything fails closed, and recovers with the newest revision', async () => {
		const {replica} = fleet.processes[3]!;
		fleet.platform.setFaults({cutClients: ['p3'], loseAnswers: 1});
		fleet.cutFromPeers.add('p3');
		const change = await fleet.commit(0, '/fleet/moveWeight', 2);
		await fleet.waitUntil(() => !replica.isFresh);
		expect(replica.revision).toBe(0);
		fleet.platform.setFaults({cutClients: []});
		fleet.cutFromPeers.clear();
		await fleet.waitUntil(() => replica.isFresh);
		expect(replica.revision).toBe(change.revision);
	});
});
