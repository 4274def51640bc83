/**
Takeovers beside a worker that lists 500 ends and has more. Guards against tasks of its further ends that are started again (TWICE), and against jobs of before a takeover that wait for ever (LOST).
*/
import {beforeEach, expect, test} from 'vitest';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {
	bornWallMs, ListingWorkers, machineOf, workerEntryOf,
} from './support/listing-workers.js';
import {configurationWithoutStandby} from './support/scheduler-simulation.js';

const workerIds = ['full', 'other'];
const endedCount = 600;
const ended = jobOf(1, {steps: [stepOf({taskCount: endedCount})]});
const waiting = jobOf(2, {steps: [stepOf({taskCount: 1})]});

let holder: ListingWorkers;

beforeEach(() => {
	holder = new ListingWorkers(workerIds);
	holder.ends.set('full', Array.from({length: endedCount}, (_value, index) => ({
		sequence: index + 1, taskKey: `${ended.jobId}.0.0.${index}`, attempt: 4001 + index, end: 'done', checkpoint: '',
	} as const)));
	holder.dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	holder.dispatch({type: 'workersListed', workers: workerIds.map(workerId => workerEntryOf(workerId))});
	holder.dispatch({type: 'jobsChanged', changes: [ended, waiting].map(job => acceptedChange(job))});
	holder.dispatch({type: 'leaseWon', fencingToken: 5});
});

// Control: without further trouble the takeover is settled, and nothing that has ended is started.
test('a worker with 600 unacknowledged ends keeps a takeover open only until they are stored', async () => {
	await holder.run(2000);
	expect(holder.settledAtMs).toBeDefined();
	expect(holder.starts).toEqual([`${waiting.jobId}.0.0.0`]);
});

test('a worker that has restarted, as its first report in the term tells, is told to forget its ends although that report is full', async () => {
	holder.born.set('full', bornWallMs + 50_000);
	await holder.run(20_000);
	expect({settledAtMs: holder.settledAtMs !== undefined, acknowledged: holder.acknowledged.get('full'), starts: holder.starts}).toEqual({settledAtMs: true, acknowledged: endedCount, starts: [`${waiting.jobId}.0.0.0`]});
});

test('a full worker that a list of machines has ended does not delay the end of the takeover beyond the last leases', async () => {
	holder.refusedJobId = ended.jobId;
	holder.silent.add('other');
	await holder.run(1000);
	holder.machines = [machineOf('other')];
	await holder.run(1000);
	expect(holder.state.workers.get('full')!.isEnded).toBe(true);
	await holder.run(1000);
	holder.dispatch({type: 'workersListed', workers: [workerEntryOf('other')]});
	await holder.run(20_000);
	expect(holder.settledAtMs).toBeLessThanOrEqual(13_550);
});

test('jobs of before a takeover do not wait for ever because the store refuses the progress of one job that has ended on a worker', async () => {
	holder.refusedJobId = ended.jobId;
	await holder.run(60_000);
	expect(holder.starts).toContain(`${waiting.jobId}.0.0.0`);
});

test('a worker whose restart was told by its registration is told to forget its ends although its report is full', async () => {
	holder.dispatch({type: 'workersListed', workers: [{...workerEntryOf('full'), bornWallMs: bornWallMs + 50_000}, workerEntryOf('other')]});
	holder.born.set('full', bornWallMs + 50_000);
	await holder.run(20_000);
	expect(holder.acknowledged.get('full')).toBe(endedCount);
});

// The store is away from the beginning of the term on, so nothing is acknowledged, and the registration of the worker lapses although it answers.
test('a full worker that answers is not forgotten, nor are its ends, because its registration has lapsed while the store is away', async () => {
	holder.isStoreAway = true;
	await holder.run(3000);
	holder.dispatch({type: 'workersListed', workers: [workerEntryOf('other')]});
	await holder.run(17_000);
	expect(holder.starts.filter(taskKey => taskKey.startsWith(ended.jobId))).toEqual([]);
	holder.dispatch({type: 'workersListed', workers: workerIds.map(workerId => workerEntryOf(workerId))});
	holder.isStoreAway = false;
	await holder.run(3000);
	expect(holder.acknowledged.get('full')).toBe(endedCount);
	expect(holder.starts).toEqual([`${waiting.jobId}.0.0.0`]);
});

// Its lease is not extended while it has no runs, so a lease that was over long ago says nothing about the length of the silence.
test('one poll without an answer does not settle a takeover with a full worker that answers before and after it', async () => {
	holder.isStoreAway = true;
	await holder.run(7000);
	expect(holder.settledAtMs).toBeUndefined();
	holder.silent.add('full');
	await holder.run(100);
	holder.silent.delete('full');
	await holder.run(1000);
	expect(holder.state.workers.get('full')!.silentSinceMs).toBeUndefined();
	expect(holder.starts.filter(taskKey => taskKey.startsWith(ended.jobId))).toEqual([]);
	holder.isStoreAway = false;
	await holder.run(3000);
	expect(holder.acknowledged.get('full')).toBe(endedCount);
	expect(holder.starts).toEqual([`${waiting.jobId}.0.0.0`]);
});
