/**
Commits that the platform does not take for their size or form.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {MemoryTableService} from '@poplarnotch/standin';
import {
	type CommitResult, RejectedError, RetryingTableService, type TableService, type Transaction,
} from '@poplarnotch/platform';

test('a rejected commit is not repeated and keeps no later commit from being sent', async () => {
	const memory = new MemoryTableService();
	let calls = 0;
	const table = {
		async commit(transaction: Transaction): Promise<CommitResult> {
			calls++;
			if (transaction.writes.some(({key}) => key === 'too-large')) {
				throw new RejectedError('refused with status 400');
			}

			return memory.commit(transaction);
		},
		readRows: async (keys: readonly string[]) => memory.readRows(keys),
	} as unknown as TableService;
	const retrying = new RetryingTableService(table, {
		client: 'c', instance: 'i', maxCommits: 2, clock: new VirtualClock(),
	});
	for (let count = 1; count <= 5; count++) {
		await expect(retrying.commit({conditions: [], writes: [{type: 'put', key: 'too-large', value: 1}]})).rejects.toBeInstanceOf(RejectedError);
		expect(calls).toBe(count);
	}

	await retrying.commit({conditions: [], writes: [{type: 'put', key: 'a', value: 1}]});
	expect(memory.valueOf('a')).toBe(1);
});
