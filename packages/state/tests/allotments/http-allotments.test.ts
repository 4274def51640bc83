import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {emptyFleetSettings, SeededRandom} from '@poplarnotch/common';
import {
	HttpHostList, HttpTableService, PlatformConnection, RetryingTableService,
} from '@poplarnotch/platform';
import {PlatformStandIn} from '@poplarnotch/standin';
import {
	AllotmentManager, LeaseContender, MemberDirectory, MemberRegistration,
} from '@poplarnotch/state';

const team = 'red';
const limit = 10;
const processIds = ['gate-1', 'gate-2', 'gate-3'];
const settings = {...emptyFleetSettings, teams: new Map([[team, {share: 1, upperLimit: limit}]])};

/** A gate with its allotments and its contender for a lease. */
type Gate = {
	readonly manager: AllotmentManager;
	readonly contender: LeaseContender;
	close(): Promise<void>;
};

let platform: PlatformStandIn;
let gates: Gate[];

const startGate = async (baseUrl: string, processId: string): Promise<Gate> => {
	const connection = new PlatformConnection({baseUrl, clientName: processId, timeoutMs: 300});
	const table = new RetryingTableService(new HttpTableService(connection), {client: processId});
	const registration = new MemberRegistration({
		table,
		identity: {
			processId, role: 'gate', host: `host-${processId}`, dataCentre: 'dc-1', region: 'region-1', operationsUrl: 'http://127.0.0.1:1', runId: 'run-1',
		},
	});
	const self = await registration.register();
	const directory = new MemberDirectory({table, hostList: new HttpHostList(connection)});
	directory.start();
	const manager = new AllotmentManager({table, members: directory, self});
	const contender = new LeaseContender({table, holder: `${processId}@${self.incarnation}`, leaseMs: 2000});
	manager.applySettings(settings);
	manager.start();
	return {
		manager,
		contender,
		async close() {
			registration.close();
			directory.close();
			manager.close();
			contender.close();
			await connection.close();
		},
	};
};

beforeEach(async () => {
	platform = new PlatformStandIn({random: new SeededRandom(3)});
	for (const processId of processIds) {
		platform.hosts.put(`host-${processId}`);
	}

	const baseUrl = await platform.start();
	gates = await Promise.all(processIds.map(async processId => startGate(baseUrl, processId)));
});

afterEach(async () => {
	await Promise.all(gates.map(async gate => gate.close()));
	await platform.close();
});

const usable = (): number => gates.reduce((sum, gate) => sum + gate.manager.amountOf(team), 0);

test('capacity is rebalanced and the lease has one holder while responses are lost and the platform is down for a while', async () => {
	let maxUsable = 0;
	const sampling = setInterval(() => {
		maxUsable = Math.max(maxUsable, usable());
	}, 5);
	platform.setFaults({loseAnswerShare: 0.3});
	for (const {contender} of gates) {
		contender.contend('wave-red', () => undefined);
	}

	const [first, second] = gates;
	first!.manager.reportDemand({team, running: 0, waiting: 50});
	await expect.poll(() => first!.manager.amountOf(team), {timeout: 10_000}).toBe(limit);
	platform.setFaults({down: true});
	second!.manager.reportDemand({team, running: 0, waiting: 50});
	await expect.poll(() => platform.counts.refused, {timeout: 10_000}).toBeGreaterThan(3);
	expect(first!.manager.amountOf(team)).toBe(limit);
	platform.setFaults({down: false});
	await expect.poll(() => second!.manager.amountOf(team), {timeout: 15_000}).toBe(limit / 2);
	await expect.poll(() => gates.filter(gate => gate.contender.heldLease('wave-red') !== undefined).length, {timeout: 10_000}).toBe(1);
	clearInterval(sampling);
	expect(maxUsable).toBeLessThanOrEqual(limit);
	const {held} = platform.table.valueOf(`allotments/${team}`) as {readonly held: number};
	expect(held).toBeLessThanOrEqual(limit);
});
