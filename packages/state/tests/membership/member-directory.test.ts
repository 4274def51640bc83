import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, MemoryHosts, MemoryTableService} from '@poplarnotch/standin';
import {type TableService, UnavailableError} from '@poplarnotch/platform';
import {MemberDirectory, MemberRegistration} from '@poplarnotch/state';

const refuse = async (): Promise<never> => {
	throw new UnavailableError('down');
};

const setUp = () => {
	const clock = new VirtualClock();
	const table = new MemoryTableService();
	const hosts = new MemoryHosts(clock);
	const directory = new MemberDirectory({table, hostList: hosts, clock});
	const register = (processId: string, host: string, runId: string, ownTable: TableService = table): MemberRegistration => {
		const registration = new MemberRegistration({
			table: ownTable,
			clock,
			identity: {
				processId, role: 'gate', host, dataCentre: 'dc-1', region: 'region-1', operationsUrl: 'http://127.0.0.1:1', runId,
			},
		});
		void registration.register();
		return registration;
	};

	const statuses = () => Object.fromEntries(directory.view()?.members.map(member => [member.processId, member.status]) ?? []);
	return {
		clock, table, hosts, directory, register, statuses,
	};
};

test('a member without heartbeats is suspected, and gone once its host leaves the list or reboots', async () => {
	const {clock, hosts, directory, register, statuses} = setUp();
	hosts.put('host-1');
	hosts.put('host-2');
	hosts.put('host-3');
	const first = register('gate-1', 'host-1', 'a');
	const second = register('gate-2', 'host-2', 'b');
	register('gate-3', 'host-3', 'c');
	directory.start();
	await advanceVirtualTime(clock, 10_000, 50);
	expect(statuses()).toEqual({'gate-1': 'live', 'gate-2': 'live', 'gate-3': 'live'});
	first.close();
	second.close();
	await advanceVirtualTime(clock, 20_000, 50);
	expect(statuses()).toEqual({'gate-1': 'suspected', 'gate-2': 'suspected', 'gate-3': 'live'});
	hosts.remove('host-1');
	hosts.reboot('host-2', 'reboot-1', 'kernel');
	await advanceVirtualTime(clock, 5000, 50);
	expect(statuses()).toEqual({'gate-1': 'gone', 'gate-2': 'gone', 'gate-3': 'live'});
	expect(directory.members()!.map(member => member.processId)).toEqual(['gate-3']);
	directory.close();
});

test('a host list that is older than a new member does not make the member gone', async () => {
	const {clock, hosts, directory, register, statuses} = setUp();
	hosts.lagMs = 8000;
	directory.start();
	await advanceVirtualTime(clock, 20_000, 50);
	hosts.put('host-1');
	register('gate-1', 'host-1', 'a');
	for (let checkedMs = 0; checkedMs < 20_000; checkedMs += 500) {
		await advanceVirtualTime(clock, 500, 50);
		expect(statuses()['gate-1'] ?? 'live').toBe('live');
	}

	directory.close();
});

test('a restarted process is live again under a higher incarnation', async () => {
	const {clock, hosts, directory, register, statuses} = setUp();
	hosts.put('host-1');
	directory.start();
	register('gate-1', 'host-1', 'a').close();
	const second = register('gate-1', 'host-1', 'b');
	await advanceVirtualTime(clock, 3000, 50);
	const before = directory.view()!.members[0]!.incarnation;
	second.close();
	hosts.remove('host-1');
	await advanceVirtualTime(clock, 5000, 50);
	expect(statuses()).toEqual({'gate-1': 'gone'});
	hosts.put('host-1');
	register('gate-1', 'host-1', 'c');
	await advanceVirtualTime(clock, 3000, 50);
	expect(directory.view()!.members[0]).toMatchObject({status: 'live'});
	expect(directory.view()!.members[0]!.incarnation).toBeGreaterThan(before);
	directory.close();
});

test('members are not suspected during and right after an outage of the table service', async () => {
	const {clock, table, hosts, register} = setUp();
	hosts.put('host-1');
	let readsFail = false;
	let writesFail = false;
	const failing: TableService = {
		commit: async transaction => writesFail ? refuse() : table.commit(transaction),
		readRows: async keys => writesFail ? refuse() : table.readRows(keys),
		readPrefix: async prefix => readsFail ? refuse() : table.readPrefix(prefix),
		changesSince: async (prefix, revision) => readsFail ? refuse() : table.changesSince(prefix, revision),
	};
	const directory = new MemberDirectory({table: failing, hostList: hosts, clock});
	directory.start();
	register('gate-1', 'host-1', 'a', failing);
	await advanceVirtualTime(clock, 8000, 50);
	readsFail = true;
	writesFail = true;
	await advanceVirtualTime(clock, 60_000, 50);
	expect(directory.view()!.members[0]!.status).toBe('live');
	readsFail = false;
	for (let checkedMs = 0; checkedMs < 10_000; checkedMs += 50) {
		writesFail = checkedMs < 5000;
		await advanceVirtualTime(clock, 50, 50);
		expect(directory.view()!.members[0]!.status).toBe('live');
	}

	directory.close();
});
