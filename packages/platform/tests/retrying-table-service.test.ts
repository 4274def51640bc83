import fc from 'fast-check';
import {expect, test} from 'vitest';
import {SeededRandom, VirtualClock} from '@poplarnotch/common';
import {
	advanceVirtualTime, type CallOutcome, trackedRowPrefix, UnreliableTable,
} from '@poplarnotch/standin';
import {
	type CommitResult, ConflictError, RetryingTableService, sweepNonceRows, type Transaction, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';

const retryTimeoutMs = 2000;
const settleTimeoutMs = 4000;
const longestDelayMs = 3000;

/** A commit by one of several clients; `condition` is what it requires of the shared row that it writes. */
type PlannedCommit = {
	readonly atMs: number;
	readonly client: number;
	readonly row: string;
	readonly condition: 'none' | 'absent' | 'current';
	readonly type: 'put' | 'delete';
};

type FinishedCommit = {
	readonly result: CommitResult | Error;
	readonly tookMs: number;
};

const callFate = fc.oneof(
	{weight: 3, arbitrary: fc.record({type: fc.constant('answered' as const), delayMs: fc.nat(50)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('answerLost' as const), delayMs: fc.nat(50)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('late' as const), delayMs: fc.nat(longestDelayMs)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('refused' as const), delayMs: fc.nat(50)})},
);

const plannedCommit: fc.Arbitrary<PlannedCommit> = fc.record({
	atMs: fc.nat(300),
	client: fc.nat(2),
	row: fc.constantFrom('x', 'y'),
	condition: fc.constantFrom('none' as const, 'absent' as const, 'current' as const),
	type: fc.constantFrom('put' as const, 'put' as const, 'delete' as const),
});

const runCommits = async (fates: readonly CallOutcome[], plan: readonly PlannedCommit[]) => {
	const clock = new VirtualClock();
	const table = new UnreliableTable(clock, fates);
	const random = new SeededRandom(7);
	const clients = [0, 1, 2].map(index => new RetryingTableService(table, {
		client: `client-${index}`, instance: 'run-1', retryTimeoutMs, settleTimeoutMs, clock, random, backoff: {firstMs: 20, longestMs: 200}, maxCommits: 2,
	}));
	const finished = new Map<string, FinishedCommit>();
	const startCommit = async (planned: PlannedCommit, index: number): Promise<void> => {
		const mark = `${trackedRowPrefix}${index}`;
		const [current] = await table.inner.readRows([planned.row]);
		const version = planned.condition === 'absent' ? 0 : current?.version ?? 0;
		const transaction: Transaction = {
			conditions: planned.condition === 'none' ? [] : [{key: planned.row, version}],
			writes: [
				planned.type === 'put' ? {type: 'put', key: planned.row, value: index} : {type: 'delete', key: planned.row},
				{type: 'put', key: mark, value: index},
			],
		};
		const startedAtMs = clock.nowMs();
		let result: CommitResult | Error;
		try {
			result = await clients[planned.client]!.commit(transaction);
		} catch (error) {
			result = error as Error;
		}

		finished.set(mark, {result, tookMs: clock.nowMs() - startedAtMs});
	};

	for (const [index, planned] of plan.entries()) {
		clock.schedule(planned.atMs, () => {
			void startCommit(planned, index);
		});
	}

	for (let round = 0; finished.size < plan.length && round < 40; round++) {
		await advanceVirtualTime(clock, 500);
	}

	// Calls that are still in flight take effect now.
	await advanceVirtualTime(clock, longestDelayMs + 500);
	return {finished, applications: table.appliedRevisions};
};

test('every commit is applied as often as its result says, with calls that are late or refused and answers that are lost', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(callFate, {maxLength: 40}),
		fc.array(plannedCommit, {minLength: 1, maxLength: 6}),
		async (fates, plan) => {
			const {finished, applications} = await runCommits(fates, plan);
			expect(finished.size).toBe(plan.length);
			for (const [mark, {result, tookMs}] of finished) {
				const revisions = applications.get(mark) ?? [];
				if (!(result instanceof Error)) {
					expect(revisions).toEqual([result.revision]);
				} else if (result instanceof WriteOutcomeUnknownError) {
					expect(tookMs).toBeGreaterThanOrEqual(settleTimeoutMs);
					expect(revisions.length).toBeLessThanOrEqual(1);
				} else {
					expect(result instanceof ConflictError || result instanceof UnavailableError).toBe(true);
					expect(revisions).toEqual([]);
				}
			}
		},
	), {seed: 11, numRuns: 300});
});

test('a commit that conflicts with its own earlier attempt is reported as applied', async () => {
	const plan: PlannedCommit[] = [{
		atMs: 0, client: 0, row: 'x', condition: 'absent', type: 'put',
	}];
	const late: CallOutcome[] = [{type: 'late', delayMs: 80}, {type: 'answered', delayMs: 1}, {type: 'answered', delayMs: 200}];
	const {finished, applications} = await runCommits(late, plan);
	expect(finished.get(`${trackedRowPrefix}0`)?.result).toEqual({revision: 1});
	expect(applications.get(`${trackedRowPrefix}0`)).toEqual([1]);
});

test('nonce rows of earlier incarnations are deleted once they have been unchanged for 60 s', async () => {
	const clock = new VirtualClock();
	const table = new UnreliableTable(clock, []);
	const serviceOf = (instance: string) => new RetryingTableService(table, {client: 'gate-1', instance, clock});
	const earlier = serviceOf('run-1').commit({conditions: [], writes: []});
	await advanceVirtualTime(clock, 100);
	await earlier;
	const current = serviceOf('run-2');
	const swept = sweepNonceRows(current, 'gate-1', clock);
	await advanceVirtualTime(clock, 61_000);
	expect(await swept).toBe(1);
	const {rows} = await table.inner.readPrefix('commit-nonces/');
	expect(rows.map(row => row.key)).toEqual(['commit-nonces/gate-1@run-2/0']);
});
