/**
Tests how soon a process notices that the table service is back after an outage, in virtual time.
*/
import {SeededRandom, VirtualClock} from '@poplarnotch/common';
import {UnavailableError, type WatchableTable} from '@poplarnotch/platform';
import {advanceVirtualTime, MemoryTableService} from '@poplarnotch/standin';
import {
	beforeEach, expect, test,
} from 'vitest';
import {Deferred} from '../../src/deferred.js';
import {ReachabilityMeter, RelayedTable, TableReplica} from '@poplarnotch/state';

/** Time within which a process notices the recovery. */
const noticeMs = 250;

type Outage = 'none' | 'refused' | 'unanswered';

let clock: VirtualClock;
let outage: Outage;
let reads: number;
let meter: ReachabilityMeter;
let relayed: RelayedTable;
let replica: TableReplica;

/** A path whose calls fail at once or are never answered during an outage. */
const reach = async (): Promise<void> => {
	if (outage === 'refused') {
		throw new UnavailableError('refused');
	}

	if (outage === 'unanswered') {
		await new Deferred().promise;
	}
};

beforeEach(() => {
	clock = new VirtualClock();
	outage = 'none';
	reads = 0;
	meter = new ReachabilityMeter(clock);
	const memory = new MemoryTableService();
	relayed = new RelayedTable({
		direct: {
			async readRows(keys: readonly string[]) {
				reads++;
				await reach();
				return memory.readRows(keys);
			},
			async listRows() {
				await reach();
				return {rows: [], revision: 0};
			},
			async readRevision() {
				await reach();
				return 0;
			},
			async waitForChanges(_prefix: string, _revision: number, waitMs: number) {
				await reach();
				await new Promise<void>(resolve => {
					clock.schedule(waitMs, resolve);
				});
				await reach();
				return {changes: [], revision: 0, hasMore: false};
			},
			async changesSince() {
				await reach();
				return {changes: [], revision: 0, hasMore: false};
			},
		} as unknown as WatchableTable,
		peers: () => [],
		async callPeer() {
			throw new Error('there are no peers');
		},
		meter,
		onDirectPathRegained() {
			replica.readNow();
		},
		random: new SeededRandom(3),
		clock,
	});
	replica = new TableReplica({
		table: relayed, prefix: 'op/', waitMs: 1500, pauseMs: () => 400, onChanges: () => undefined, clock,
	});
});

test('after an outage, a replica is confirmed within 250 ms, without waiting for a change', async () => {
	replica.start();
	await advanceVirtualTime(clock, 3000, 10);
	outage = 'refused';
	await advanceVirtualTime(clock, 4000, 10);
	outage = 'none';
	const backAtMs = clock.nowMs();
	expect(meter.failingSinceMs).toBeDefined();
	await advanceVirtualTime(clock, noticeMs, 10);
	expect(replica.confirmedAtMs).toBeGreaterThanOrEqual(backAtMs);
	expect(meter.failingSinceMs).toBeUndefined();
	replica.stop();
});

test('a replica whose call will never be answered is confirmed by another one as soon as the path is back', async () => {
	replica.start();
	await advanceVirtualTime(clock, 3000, 10);
	outage = 'unanswered';
	await advanceVirtualTime(clock, 2000, 10);
	outage = 'refused';
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	outage = 'none';
	const backAtMs = clock.nowMs();
	await advanceVirtualTime(clock, noticeMs, 10);
	expect(replica.confirmedAtMs).toBeGreaterThanOrEqual(backAtMs);
	replica.stop();
});

test('probes without an answer neither delay the next ones nor pile up', async () => {
	outage = 'refused';
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	outage = 'unanswered';
	reads = 0;
	await advanceVirtualTime(clock, 500, 10);
	expect(reads).toBeGreaterThanOrEqual(2);
	await advanceVirtualTime(clock, 5000, 10);
	expect(reads).toBeLessThanOrEqual(6);
	expect(meter.failingSinceMs).toBeDefined();
});

// Two probes are at most 300 ms apart; half as much is allowed for a moment in which all permitted probes are without an answer.
test('after an outage without answers, the direct path is found again within 450 ms, whenever the outage ends', async () => {
	const callTimeoutMs = 1500;
	const noticesMs: number[] = [];
	for (let outageMs = 2500; outageMs < 4500; outageMs += 100) {
		const time = new VirtualClock();
		let isSilent = true;
		let regainedAtMs = Number.POSITIVE_INFINITY;
		const table = new RelayedTable({
			direct: {
				async readRows() {
					if (isSilent) {
						await new Promise<void>(resolve => {
							time.schedule(callTimeoutMs, resolve);
						});
						throw new UnavailableError('no answer');
					}

					return [];
				},
			} as unknown as WatchableTable,
			peers: () => [], callPeer: async () => undefined, random: new SeededRandom(outageMs), clock: time,
			onDirectPathRegained() {
				regainedAtMs = time.nowMs();
			},
		});
		table.abandonDirectPath(500);
		await advanceVirtualTime(time, outageMs, 10);
		isSilent = false;
		await advanceVirtualTime(time, 1000, 10);
		noticesMs.push(regainedAtMs - outageMs);
	}

	expect(Math.max(...noticesMs)).toBeLessThanOrEqual(450);
});

test('a call that loses its connection after later calls were answered does not make the process leave the direct path', async () => {
	const lost = new Deferred<undefined>();
	let isFirst = true;
	const table = new RelayedTable({
		direct: {
			async readRows() {
				if (isFirst) {
					isFirst = false;
					await lost.promise;
					throw new UnavailableError('reset');
				}

				return [];
			},
		} as unknown as WatchableTable,
		peers: () => [],
		async callPeer() {
			throw new Error('there are no peers');
		},
		clock,
	});
	const first = table.readRows(['a']);
	clock.advance(10);
	await table.readRows(['b']);
	lost.resolve(undefined);
	await expect(first).rejects.toBeInstanceOf(UnavailableError);
	await expect(table.readRows(['c'])).resolves.toEqual([]);
});
