import {expect, test} from 'vitest';
import {ConflictError} from '@poplarnotch/platform';
import {MemoryTableService} from '@poplarnotch/standin';
import {newContender, reduceLease} from '../../src/leases/lease-reducer.js';
import {
	acquireTransaction, fenceKey, leaseRowsFrom, renewalKey, renewTransaction,
} from '../../src/leases/rows.js';

const name = 'wave-red';
const leaseMs = 3000;

test('a renewal that lands after the taker\'s last read keeps the lease', async () => {
	const table = new MemoryTableService();
	const free = {fenceVersion: 0, holder: undefined, renewalVersion: 0};
	const {revision} = table.commitNow(acquireTransaction(name, 'gate-1@1', free));
	const seen = leaseRowsFrom(name, await table.readRows([fenceKey(name), renewalKey(name)]));
	table.commitNow(renewTransaction(name, {key: fenceKey(name), version: revision}, 1));
	expect(() => table.commitNow(acquireTransaction(name, 'gate-2@1', seen))).toThrow(ConflictError);
});

test('the lease time counts from the answer of the first read to the sending of the last', () => {
	const rows = {fenceVersion: 5, holder: 'gate-1@1', renewalVersion: 7};
	const seen = reduceLease(newContender(name, 'gate-2@1', leaseMs), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 400, rows,
	}).state;
	const early = reduceLease(seen, {
		type: 'rowsRead', sentAtMs: 3399, nowMs: 9000, rows,
	}).state;
	expect(early.nextCall).toBe('read');
	const due = reduceLease(early, {
		type: 'rowsRead', sentAtMs: 3400, nowMs: 9000, rows,
	}).state;
	expect(due.nextCall).toBe('acquire');
});

test('a contender leaves a free lease to better ones for a while', () => {
	const free = {fenceVersion: 0, holder: undefined, renewalVersion: 0};
	const standing = reduceLease(newContender(name, 'gate-2@1', leaseMs), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows: free, standBackMs: 1000,
	}).state;
	expect(standing).toMatchObject({nextCall: 'acquire', dueMs: 1010});
	expect(reduceLease(standing, {type: 'tick', nowMs: 1009}).effects).toEqual([]);
	expect(reduceLease(standing, {type: 'tick', nowMs: 1010}).effects).toMatchObject([{type: 'commit'}]);
});

test('a restarted holder takes its own lease at once, however large the others are', () => {
	const own = {fenceVersion: 5, holder: 'gate-2@1', renewalVersion: 7};
	const restarted = reduceLease(newContender(name, 'gate-2@2', leaseMs, 'gate-2@'), {
		type: 'rowsRead', sentAtMs: 0, nowMs: 10, rows: own, standBackMs: 1000,
	}).state;
	expect(restarted).toMatchObject({nextCall: 'acquire', dueMs: 10});
});
