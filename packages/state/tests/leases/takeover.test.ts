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
	const held = reduceLease({...newContender(name, 'gate-1@1', leaseMs), phase: 'held', nextCall: 'renew', fence: {key: fenceKey(name), version: 5}}, {
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
