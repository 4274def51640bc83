/**
Commits that the platform does not take for their size or form.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, MemoryTableService} from '@poplarnotch/standin';
import {
	type CommitResult, ConflictError, RejectedError, RetryingTableService, type TableService, type Transaction, WriteOutcomeUnknownError,
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

test.each(['applied', 'late'] as const)('a commit that is rejected after an attempt without an answer, which is %s, is not reported as rejected and applied later', async fate => {
	const memory = new MemoryTableService();
	const put: Transaction = {conditions: [], writes: [{type: 'put', key: 'a', value: 1}]};
	let lost: Transaction | undefined;
	let calls = 0;
	const table = {
		async commit(transaction: Transaction): Promise<CommitResult> {
			calls++;
			if (calls === 1) {
				lost = transaction;
				if (fate === 'applied') {
					memory.commitNow(transaction);
				}

				throw new WriteOutcomeUnknownError('no answer');
			}

			if (transaction.writes.some(({key}) => key === 'a')) {
				throw new RejectedError('refused with status 400');
			}

			return memory.commitNow(transaction);
		},
		async readRows(keys: readonly string[]) {
			// The first read sees the table as it was before the attempt.
			return calls === 1 ? [] : memory.readRows(keys);
		},
	} as unknown as TableService;
	const clock = new VirtualClock();
	const retrying = new RetryingTableService(table, {client: 'c', instance: 'i', clock});
	const result = retrying.commit(put).then(() => 'applied', (error: unknown) => error);
	await advanceVirtualTime(clock, 5000);
	if (fate === 'applied') {
		expect(await result).toBe('applied');
	} else {
		expect(await result).toBeInstanceOf(RejectedError);
		expect(() => memory.commitNow(lost!)).toThrow(ConflictError);
	}

	expect(memory.valueOf('a')).toBe(fate === 'applied' ? 1 : undefined);
	await retrying.commit({conditions: [], writes: [{type: 'put', key: 'b', value: 2}]});
	expect(memory.valueOf('b')).toBe(2);
});
