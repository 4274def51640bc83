/**
Storing jobs: a job that reaches several processes, or whose commit loses its answer, is stored once and always reported as accepted; a refusal means that nothing is stored.
*/
import {silentLogger, VirtualClock} from '@poplarnotch/common';
import {
	type CommitResult, ConflictError, RejectedError, type TableService, type Transaction, UnavailableError, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {advanceVirtualTime, MemoryTableService} from '@poplarnotch/standin';
import {expect, test} from 'vitest';
import {type AcceptResult, JobStore} from '../../src/jobs/job-store.js';
import {
	earlierJobKey, jobKey, jobToJson, partitionOf, progressKey, progressToJson,
} from '../../src/jobs/rows.js';
import {jobOf} from '../support/jobs.js';

type CommitFate = 'answered' | 'lost' | 'refused';

/** Size of a row from which the table rejects the whole transaction. */
const maxRowLength = 5000;

/** A table whose commits meet the given fates, one after the other, and are answered after that. */
class ScriptedTable {
	readonly memory = new MemoryTableService();
	readonly transactions: Transaction[] = [];
	readonly #fates: CommitFate[];

	constructor(fates: readonly CommitFate[]) {
		this.#fates = [...fates];
	}

	get service(): TableService {
		return {
			commit: async transaction => this.#commit(transaction),
			readRows: async keys => this.memory.readRows(keys),
			readPrefix: async (prefix, options) => this.memory.readPrefix(prefix, options),
			changesSince: async (prefix, revision) => this.memory.changesSince(prefix, revision),
		};
	}

	async #commit(transaction: Transaction): Promise<CommitResult> {
		this.transactions.push(transaction);
		if (transaction.writes.some(write => write.type === 'put' && JSON.stringify(write.value).length > maxRowLength)) {
			throw new RejectedError('rejected with status 400');
		}

		const fate = this.#fates.shift() ?? 'answered';
		if (fate === 'refused') {
			throw new UnavailableError('refused');
		}

		const result = this.memory.commitNow(transaction);
		if (fate === 'lost') {
			throw new WriteOutcomeUnknownError('lost');
		}

		return result;
	}
}

const clock = new VirtualClock();

const storeOn = (table: ScriptedTable): JobStore => new JobStore({
	table: table.service, resolvingTable: table.service, clock, log: silentLogger,
});

/** Accepts the jobs at the same time and lets retries pass. */
const acceptAll = async (store: JobStore, numbers: readonly number[]): Promise<readonly AcceptResult[]> => {
	const results = Promise.all(numbers.map(async number => store.accept(jobOf(number))));
	await advanceVirtualTime(clock, 1000);
	return results;
};

test('a job whose commit lost its answer is accepted and stored once', async () => {
	const table = new ScriptedTable(['lost']);
	expect(await acceptAll(storeOn(table), [1])).toEqual(['accepted']);
	expect(table.transactions).toHaveLength(2);
	const {rows} = await table.memory.readPrefix('jobs/');
	expect(rows.map(({key}) => key)).toEqual([jobKey(jobOf(1).jobId)]);
});

test('a job that another process has stored is accepted, and its row stays as it is', async () => {
	const table = new ScriptedTable([]);
	await acceptAll(storeOn(table), [1]);
	const [stored] = await table.memory.readRows([jobKey(jobOf(1).jobId)]);
	const again = storeOn(table).accept(jobOf(1, {acceptedWallMs: 99_000}));
	await advanceVirtualTime(clock, 1000);
	expect(await again).toBe('accepted');
	expect(await table.memory.readRows([jobKey(jobOf(1).jobId)])).toEqual([stored]);
});

test('one job that is stored already does not keep the others of its batch from being stored', async () => {
	const table = new ScriptedTable([]);
	const numbers = Array.from({length: 60}, (_value, index) => index + 1).filter(number => partitionOf(jobOf(number).jobId) === partitionOf(jobOf(1).jobId));
	expect(numbers.length).toBeGreaterThan(3);
	await acceptAll(storeOn(table), [numbers[1]!]);
	expect(await acceptAll(storeOn(table), numbers)).toEqual(numbers.map(() => 'accepted'));
	const {rows} = await table.memory.readPrefix('jobs/');
	expect(rows).toHaveLength(numbers.length);
});

test('a refused job is reported as not stored, and nothing of it is stored', async () => {
	const table = new ScriptedTable(['refused', 'refused', 'refused', 'refused']);
	expect(await acceptAll(storeOn(table), [1])).toEqual(['unavailable']);
	const {rows} = await table.memory.readPrefix('jobs/');
	expect(rows).toEqual([]);
});

test('a job that may have been stored before it was refused is reported as unknown', async () => {
	const table = new ScriptedTable(['lost', 'refused', 'refused', 'refused']);
	expect(await acceptAll(storeOn(table), [1])).toEqual(['unknown']);
});

test('the rows of one job are read without those of others', async () => {
	const table = new ScriptedTable([]);
	const store = storeOn(table);
	await acceptAll(store, Array.from({length: 30}, (_value, index) => index + 1));
	const {jobId} = jobOf(7);
	await store.cancel(jobId);
	const progress = {
		outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {}, failures: {}, crashRecords: {},
	};
	await table.memory.commit({conditions: [], writes: [{type: 'put', key: progressKey(jobId), value: progressToJson(progress)}]});
	const read = await store.read(jobId);
	expect(read.map(({type}) => type)).toEqual(['accepted', 'cancelled', 'progressed']);
	expect(await store.read('ffffffffffffffff')).toEqual([]);
});

test('each transaction stays within one partition', async () => {
	const table = new ScriptedTable([]);
	await acceptAll(storeOn(table), Array.from({length: 40}, (_value, index) => index + 1));
	for (const {conditions, writes} of table.transactions) {
		expect(new Set([...conditions, ...writes].map(({key}) => key.split('/')[1])).size).toBe(1);
	}
});

test('a job whose row the store rejects is reported as invalid, and the others of its batch are stored', async () => {
	const table = new ScriptedTable([]);
	const store = storeOn(table);
	const numbers = Array.from({length: 60}, (_value, index) => index + 1).filter(number => partitionOf(jobOf(number).jobId) === partitionOf(jobOf(1).jobId));
	const oversized = numbers[2]!;
	const results = Promise.all(numbers.map(async number => store.accept(jobOf(number, number === oversized ? {payload: 'x'.repeat(maxRowLength)} : {}))));
	await advanceVirtualTime(clock, 1000);
	expect(await results).toEqual(numbers.map(number => number === oversized ? 'invalid' : 'accepted'));
});

test('progress that the store rejects does not keep the progress of other jobs from being stored', async () => {
	const table = new ScriptedTable([]);
	await table.memory.commit({conditions: [], writes: [{type: 'put', key: 'leases/scheduler', value: {}}]});
	const progressOf = (attempts: number) => ({
		outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {}, failures: {'0.0.0': Array.from({length: attempts}, (_value, index) => index)}, crashRecords: {},
	});
	const result = await storeOn(table).save({
		saveNumber: 1, waves: [], jobs: [{jobId: 'a', progress: progressOf(2)}, {jobId: 'b', progress: progressOf(5000)}, {jobId: 'c', progress: progressOf(3)}],
	}, {key: 'leases/scheduler', version: 1});
	const rows = await table.memory.readRows(['a', 'b', 'c'].map(jobId => progressKey(jobId)));
	expect(rows.map(({key}) => key)).toEqual([progressKey('a'), progressKey('c')]);
	expect(result).toEqual({refusedJobIds: ['b'], refusedWaveIds: []});
});

test('progress that the store has rejected before takes one commit, apart from that of other jobs', async () => {
	const table = new ScriptedTable([]);
	await table.memory.commit({conditions: [], writes: [{type: 'put', key: 'leases/scheduler', value: {}}]});
	const progress = {
		outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {}, failures: {}, crashRecords: {},
	};
	const jobs = Array.from({length: 60}, (_value, index) => ({jobId: `j${index}`, progress}));
	const oversized = {jobId: 'oversized', progress: {...progress, failures: {'0.0.0': Array.from({length: 5000}, (_value, index) => index)}}};
	const store = storeOn(table);
	const fence = {key: 'leases/scheduler', version: 1};
	expect(await store.save({saveNumber: 1, waves: [], jobs: [oversized, ...jobs]}, fence)).toEqual({refusedJobIds: ['oversized'], refusedWaveIds: []});
	expect(table.transactions.length).toBeLessThanOrEqual(15);
	table.transactions.length = 0;
	expect(await store.save({saveNumber: 2, waves: [], jobs: [{...oversized, isRetry: true}, ...jobs]}, fence)).toEqual({refusedJobIds: ['oversized'], refusedWaveIds: []});
	expect(table.transactions.map(({writes}) => writes.length)).toEqual([60, 1]);
});

test('a job that an earlier version stored in another partition is found, with its cancellation', async () => {
	const table = new ScriptedTable([]);
	const store = storeOn(table);
	const job = Array.from({length: 40}, (_value, index) => jobOf(index + 1)).find(({jobId}) => earlierJobKey(jobId) !== jobKey(jobId))!;
	await table.memory.commit({conditions: [], writes: [{type: 'put', key: earlierJobKey(job.jobId), value: jobToJson(job)}]});
	expect(await store.read(job.jobId)).toMatchObject([{type: 'accepted', job}]);
	await store.cancel(job.jobId);
	expect(await store.read(job.jobId)).toMatchObject([{type: 'accepted', job}, {type: 'cancelled', jobId: job.jobId}]);
});

// The conflict of an answer that cannot be read names no row.
test('a job whose commit meets a conflict without rows is not committed for ever, and its outcome is unknown', async () => {
	const mostCalls = 50;
	let calls = 0;
	const service = {
		async commit(): Promise<CommitResult> {
			calls++;
			throw calls > mostCalls ? new RejectedError('called too often') : new ConflictError([]);
		},
	} as unknown as TableService;
	const store = new JobStore({
		table: service, resolvingTable: service, clock, log: silentLogger,
	});
	let result: AcceptResult | undefined;
	void (async () => {
		result = await store.accept(jobOf(1));
	})();

	await advanceVirtualTime(clock, 1000);
	expect(calls).toBeLessThan(10);
	expect(result).toBe('unknown');
});
