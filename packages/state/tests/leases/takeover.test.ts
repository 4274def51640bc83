import {expect, test} from 'vitest';
import {ConflictError} from '@poplarnotch/platform';
import {MemoryTableService} from '@poplarnotch/standin';
import {newContender, reduceLease} from '../../src/leases/lease-reducer.js';
import {
	acquireTransaction, fenceKey, leaseRowsFrom, renewalKey, renewTransaction,
} from '../../src/leases/rows.js';

const name = 'wave-red';
const leaseMs = 3000;

test('a renewal that is applied after the contender\'s last read prevents the takeover', async () => {
	const table = new MemoryTableService();
	const free = {fenceVersion: 0, holder: undefined, renewalVersion: 0};
	const {revision} = table.commitNow(acquireTransaction(name, 'gate-1@1', free));
	const observed = leaseRowsFrom(name, await table.readRows([fenceKey(name), renewalKey(name)]));
	table.commitNow(renewTransaction(name, {key: fenceKey(name), version: revision}, 1));
	expect(() => table.commitNow(acquireTransaction(name, 'gate-2@1', observed))).toThrow(ConflictError);
});

test('the lease time is measured from the response to the first read to the sending of the last one', () => {
	const rows = {fenceVersion: 5, holder: 'gate-1@1', renewalVersion: 7};
	const observed = reduceLease(newContender(name, 'gate-2@1', leaseMs), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 400, rows,
	}).state;
	const lastSeen = [1400, 2400].reduce((state, atMs) => reduceLease(state, {
		type: 'rowsRead', sentAtMs: atMs, nowMs: atMs, rows,
	}).state, observed);
	const beforeLeaseTime = reduceLease(lastSeen, {
		type: 'rowsRead', sentAtMs: 3399, nowMs: 3700, rows,
	}).state;
	expect(beforeLeaseTime.nextCall).toBe('read');
	const afterLeaseTime = reduceLease(lastSeen, {
		type: 'rowsRead', sentAtMs: 3400, nowMs: 3700, rows,
	}).state;
	expect(afterLeaseTime.nextCall).toBe('acquire');
});

/** The state of a contender that reads the same rows at the given times. */
const readAt = (...timesMs: readonly number[]) => timesMs.reduce((state, atMs) => reduceLease(state, {
	type: 'rowsRead', sentAtMs: atMs, nowMs: atMs, rows: {fenceVersion: 5, holder: 'gate-1@1', renewalVersion: 7},
}).state, newContender(name, 'gate-2@1', leaseMs));

test('a contender does not count the time of an outage, in which the holder could not renew, so that a live holder renews first', () => {
	expect(readAt(0, 1000, 2000, 3000).nextCall).toBe('acquire');
	const afterFailure = reduceLease(readAt(0, 1000, 2000), {type: 'failed', nowMs: 2500}).state;
	const again = reduceLease(afterFailure, {
		type: 'rowsRead', sentAtMs: 3000, nowMs: 3000, rows: {fenceVersion: 5, holder: 'gate-1@1', renewalVersion: 7},
	}).state;
	expect(again.nextCall).toBe('read');
	expect(readAt(0, 1000, 2501, 3501).nextCall).toBe('read');
	expect(readAt(0, 1500, 3000).nextCall).toBe('acquire');
});

test('an acquisition that failed is not repeated before the rows were read for a whole lease time again', () => {
	const failed = reduceLease(readAt(0, 1000, 2000, 3000), {type: 'failed', nowMs: 3100}).state;
	expect(failed).toMatchObject({nextCall: 'read', observed: undefined});
});

test('a contender acquires a free lease only after its delay', () => {
	const free = {fenceVersion: 0, holder: undefined, renewalVersion: 0};
	const delayed = reduceLease(newContender(name, 'gate-2@1', leaseMs), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows: free, acquireDelayMs: 1000,
	}).state;
	expect(delayed).toMatchObject({nextCall: 'acquire', dueMs: 1010});
	expect(reduceLease(delayed, {type: 'tick', nowMs: 1009}).effects).toEqual([]);
	expect(reduceLease(delayed, {type: 'tick', nowMs: 1010}).effects).toMatchObject([{type: 'commit'}]);
});

test('a restarted holder acquires the lease of its previous run without the delay', () => {
	const own = {fenceVersion: 5, holder: 'gate-2@1', renewalVersion: 7};
	const restarted = reduceLease(newContender(name, 'gate-2@2', leaseMs, 'gate-2@'), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows: own, acquireDelayMs: 1000,
	}).state;
	expect(restarted).toMatchObject({nextCall: 'acquire', dueMs: 10});
});

// Guards against a next holder that counts with less time than the replaced one trusts its lease for.
test('a replaced holder trusts its lease no longer than its successor counts with, which saw the last renewal later than it was sent', () => {
	const rows = {fenceVersion: 5, holder: 'gate-1@1', renewalVersion: 7};
	const held = reduceLease({
		...newContender(name, 'gate-1@1', leaseMs), phase: 'held', nextCall: 'renew', fence: {key: fenceKey(name), version: 5},
	}, {
		type: 'committed', revision: 7, sentAtMs: 1000, nowMs: 1050,
	}).state;
	const suspecting = reduceLease(readAt(1040), {type: 'holderSuspected', nowMs: 1700, fencingToken: 5}).state;
	const acquiring = reduceLease(suspecting, {
		type: 'rowsRead', sentAtMs: 1700, nowMs: 1710, rows,
	}).state;
	expect(acquiring).toMatchObject({nextCall: 'acquire', replaced: {token: 5, trustedUntilMs: 1040 + 2400}});
	expect(held.trustedUntilMs).toBe(1000 + 2400);
	const ofReleased = reduceLease(suspecting, {
		type: 'rowsRead', sentAtMs: 1700, nowMs: 1710, rows: {fenceVersion: 0, holder: undefined, renewalVersion: 0},
	}).state;
	expect(ofReleased).toMatchObject({nextCall: 'acquire', replaced: undefined});
});

// Guards against a third holder that counts with the orders of the second one only, which replaced the first on suspicion.
test.each([
	{
		about: 'is restarted at once', renewals: 1, holder: 'gate-2@1', overlapMs: 1800,
	},
	{
		about: 'is restarted after three renewals', renewals: 3, holder: 'gate-2@1', overlapMs: 0,
	},
	{
		about: 'has released it', renewals: undefined, holder: undefined, overlapMs: 1800,
	},
])('the lease tells how long a replaced holder may trust it when the next one $about', ({renewals, holder, overlapMs}) => {
	const restarted = reduceLease(newContender(name, 'gate-2@2', leaseMs, 'gate-2@'), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows: {
			fenceVersion: 5, holder, renewalVersion: 7, overlapMs: 1800, renewals,
		},
	}).state;
	expect(restarted).toMatchObject({nextCall: 'acquire', replaced: undefined, earlierTrustedUntilMs: 10 + overlapMs});
});

test('a holder that replaced another one on suspicion writes into the lease how long that one may trust it, also as it releases the lease', async () => {
	const table = new MemoryTableService();
	const free = {fenceVersion: 0, holder: undefined, renewalVersion: 0};
	table.commitNow(acquireTransaction(name, 'gate-1@1', free));
	const read = async () => leaseRowsFrom(name, await table.readRows([fenceKey(name), renewalKey(name)]));
	const rows = await read();
	const suspecting = reduceLease({...newContender(name, 'gate-2@1', leaseMs), dueMs: 1000}, {type: 'holderSuspected', nowMs: 0, fencingToken: rows.fenceVersion}).state;
	const acquiring = reduceLease(suspecting, {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows,
	});
	const [acquisition] = acquiring.effects;
	const {revision} = table.commitNow(acquisition?.type === 'commit' ? acquisition.transaction : {conditions: [], writes: []});
	expect(await read()).toMatchObject({holder: 'gate-2@1', overlapMs: 2400});
	const held = reduceLease(acquiring.state, {
		type: 'committed', revision, sentAtMs: 10, nowMs: 20,
	}).state;
	const withdrawing = reduceLease(held, {type: 'withdrawRequested', nowMs: 400}).state;
	for (const {releasedAtMs, overlapMs} of [{releasedAtMs: 410, overlapMs: 2000}, {releasedAtMs: 2410, overlapMs: undefined}]) {
		const [release] = reduceLease(withdrawing, {type: 'tick', nowMs: releasedAtMs}).effects;
		const released = new MemoryTableService();
		released.commitNow({...(release?.type === 'commit' ? release.transaction : {writes: []}), conditions: []});
		expect(leaseRowsFrom(name, await released.readRows([fenceKey(name), renewalKey(name)]))).toMatchObject({holder: undefined, overlapMs});
	}
});

const free = {fenceVersion: 0, holder: undefined, renewalVersion: 0};

/** A contender that has asked for the lease, and the transaction that it waits for. */
const acquire = (holder: string, rows: ReturnType<typeof leaseRowsFrom>) => {
	const {state} = reduceLease(newContender(name, holder, leaseMs), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows,
	});
	const {state: acquiring, effects: [acquisition]} = reduceLease(state, {type: 'tick', nowMs: 10});
	return {state: acquiring, transaction: acquisition?.type === 'commit' ? acquisition.transaction : undefined};
};

/** A table with the lease released by a holder that leaves `['w-1']`. */
const releaseWithHandover = async () => {
	const table = new MemoryTableService();
	const read = async () => leaseRowsFrom(name, await table.readRows([fenceKey(name), renewalKey(name)]));
	const first = acquire('gate-1@1', free);
	const {revision} = table.commitNow(first.transaction!);
	const held = reduceLease(first.state, {
		type: 'committed', revision, sentAtMs: 10, nowMs: 20,
	}).state;
	const withdrawing = reduceLease(held, {type: 'withdrawRequested', nowMs: 400, handover: ['w-1']}).state;
	const again = reduceLease(withdrawing, {type: 'withdrawRequested', nowMs: 400}).state;
	const [release] = reduceLease(again, {type: 'tick', nowMs: 400}).effects;
	table.commitNow(release?.type === 'commit' ? release.transaction : {conditions: [], writes: []});
	return {table, read};
};

test('what a holder leaves as it releases the lease is received by the next holder, and by no later one', async () => {
	const {table, read} = await releaseWithHandover();
	expect(await read()).toMatchObject({holder: undefined, handover: ['w-1']});
	const second = acquire('gate-2@1', await read());
	const {revision} = table.commitNow(second.transaction!);
	const {effects} = reduceLease(second.state, {
		type: 'committed', revision, sentAtMs: 10, nowMs: 20,
	});
	expect(effects).toMatchObject([{type: 'notify', lease: {handover: ['w-1']}}]);
	expect(await read()).toMatchObject({holder: 'gate-2@1', handover: undefined});
});

test('a holder whose acquisition had no answer does not receive what was left: another one may have held the lease in between', async () => {
	const {table, read} = await releaseWithHandover();
	const second = acquire('gate-2@1', await read());
	table.commitNow(second.transaction!);
	const failed = reduceLease(second.state, {type: 'failed', nowMs: 500}).state;
	const adopted = reduceLease(failed, {
		type: 'rowsRead', sentAtMs: 500, nowMs: 510, rows: await read(),
	}).state;
	const {effects} = reduceLease(adopted, {
		type: 'committed', revision: 0, sentAtMs: 510, nowMs: 520,
	});
	expect(effects).toMatchObject([{type: 'notify', lease: {handover: undefined}}]);
});

test('a contender that does not hold the lease when it withdraws leaves nothing, since others may have held it meanwhile', () => {
	const {state, transaction} = acquire('gate-1@1', free);
	const withdrawing = reduceLease(state, {type: 'withdrawRequested', nowMs: 15, handover: ['w-1']}).state;
	const table = new MemoryTableService();
	const {revision} = table.commitNow(transaction!);
	const [release] = reduceLease(withdrawing, {
		type: 'committed', revision, sentAtMs: 10, nowMs: 20,
	}).effects;
	expect(release?.type === 'commit' ? release.transaction.writes : []).toContainEqual({type: 'delete', key: fenceKey(name)});
});
