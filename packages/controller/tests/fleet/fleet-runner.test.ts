/**
Runs two controllers' fleet runners on one in-memory table service: a wave continues after another controller takes the lease, even if responses to writes are lost.
*/
import {
	silentLogger, type SettingsEdit, VirtualClock,
} from '@poplarnotch/common';
import {type RowCondition, UnavailableError} from '@poplarnotch/platform';
import {
	advanceVirtualTime, type CallOutcome, MemoryHosts, MemoryObjectStore, MemoryWorkers, UnreliableTable,
} from '@poplarnotch/standin';
import {
	type ChangeRequest, type SettingsChange, SettingsReplica, TableSettingsStore,
} from '@poplarnotch/state';
import {describe, expect, it} from 'vitest';
import {createHostReview} from '../../src/operators/review-host-edits.js';
import {FleetRunner} from '../../src/shell/fleet-runner.js';

const fenceKey = 'leases/control/waves';
const hostNames = ['h1', 'h2', 'h3'];

const edits: readonly SettingsEdit[] = [
	{path: '/pools/desk/slotsPerServer', value: 8},
	...hostNames.flatMap((host, index): readonly SettingsEdit[] => [
		{path: `/hosts/${host}/pool`, value: 'desk'},
		{path: `/hosts/${host}/dataCentre`, value: `dc${index}`},
		{path: `/hosts/${host}/rack`, value: 'r1'},
		{path: `/hosts/${host}/address`, value: 'http://127.0.0.1:1'},
	]),
	{path: '/budgets/desk/pool', value: 'desk'},
	{path: '/budgets/desk/minServing', value: 1},
	{path: '/waves/w1/pools', value: ['desk']},
	{path: '/waves/w1/change', value: 'kernel-2'},
	{path: '/waves/w1/state', value: 'running'},
];

/** Rejects the first three changes, as the table service does in an outage. */
class RefusingStore extends TableSettingsStore {
	refusals = 3;
	readonly changeIds: string[] = [];

	override async commitChange(request: ChangeRequest): Promise<SettingsChange> {
		this.changeIds.push(request.changeId);
		if (this.refusals > 0) {
			this.refusals--;
			throw new UnavailableError('outage');
		}

		return super.commitChange(request);
	}
}

class FleetFixture {
	readonly clock = new VirtualClock();
	readonly table: UnreliableTable;
	readonly hosts = new MemoryHosts(this.clock);
	readonly workers = new MemoryWorkers(this.hosts, this.clock);
	readonly objects = new MemoryObjectStore();
	readonly replicas: SettingsReplica[] = [];

	constructor(fates: readonly CallOutcome[]) {
		this.table = new UnreliableTable(this.clock, fates);
		for (const host of hostNames) {
			this.hosts.put(host);
		}
	}

	async setUp(): Promise<void> {
		const store = new TableSettingsStore({table: this.table.inner, objects: this.objects, clock: this.clock});
		await store.commitChange({
			changeId: 'setup', author: 'test', reason: 'setup', edits, expectedRevision: undefined, fences: [],
		});
	}

	async fence(): Promise<RowCondition> {
		const {revision} = await this.table.inner.commit({conditions: [], writes: [{type: 'put', key: fenceKey, value: {}}]});
		return {key: fenceKey, version: revision};
	}

	start(processId: string, store?: TableSettingsStore): FleetRunner {
		const {table, objects, clock} = this;
		const replica = new SettingsReplica({
			processId, table, objects, clock,
		});
		replica.start();
		this.replicas.push(replica);
		const runner = new FleetRunner({
			processId,
			replica,
			store: store ?? new TableSettingsStore({table, objects, clock}),
			table,
			hostList: this.hosts,
			workers: this.workers,
			probe: {probe: async () => true},
			queryGates: async hosts => ({
				processIds: ['g1'],
				confirmations: hosts.map(host => ({
					processId: 'g1', revision: replica.revision, host, inFlight: 0,
				})),
			}),
			clock,
			logger: silentLogger,
		});
		runner.start();
		return runner;
	}
}

const everyFifthResponseLost: readonly CallOutcome[] = Array.from({length: 40}, (_unused, index): CallOutcome => index % 5 === 4 ? {type: 'answerLost', delayMs: 5} : {type: 'answered', delayMs: 5});

describe('FleetRunner', () => {
	it('completes a wave after another controller takes the lease', async () => {
		const fleet = new FleetFixture(everyFifthResponseLost);
		await fleet.setUp();
		const first = fleet.start('c1');
		const second = fleet.start('c2');
		void first.takeLease({name: 'control/waves', fence: await fleet.fence()});
		for (let stepMs = 0; stepMs < 10_000 && fleet.hosts.rebooting.size === 0; stepMs += 50) {
			await advanceVirtualTime(fleet.clock, 50);
		}

		const [rebooting] = fleet.hosts.rebooting;
		const review = createHostReview(fleet.table.inner, silentLogger);
		const tree = new Map(edits.map(({path, value}) => [path, value!]));
		const {findings, basis} = await review(tree, [{path: `/hosts/${rebooting!}/state`, value: 'serving'}]);
		expect([findings.map(({code}) => code), basis.map(({key}) => key)]).toEqual([['host-in-wave'], ['waves/w1']]);
		void second.takeLease({name: 'control/waves', fence: await fleet.fence()});
		await advanceVirtualTime(fleet.clock, 40_000);
		expect(await second.describeProgress('w1')).toMatchObject({phase: 'done', done: ['h1', 'h2', 'h3'].toSorted()});
		expect(hostNames.map(host => fleet.hosts.bootCountOf(host))).toEqual([2, 2, 2]);
		expect([...fleet.replicas[1]!.current.hosts.values()].map(host => host.state)).toEqual(['serving', 'serving', 'serving']);
		expect(first.dump()).toMatchObject({isActive: false});
		first.stop();
		second.stop();
	});

	it('decides again, under a new change id, on a change that an outage rejected, because hosts may have failed since', async () => {
		const fleet = new FleetFixture([]);
		await fleet.setUp();
		const store = new RefusingStore({table: fleet.table, objects: fleet.objects, clock: fleet.clock});
		const runner = fleet.start('c1', store);
		void runner.takeLease({name: 'control/waves', fence: await fleet.fence()});
		await advanceVirtualTime(fleet.clock, 20_000);
		expect(store.changeIds.length).toBeGreaterThan(3);
		expect(new Set(store.changeIds).size).toBe(store.changeIds.length);
		runner.stop();
	});
});
