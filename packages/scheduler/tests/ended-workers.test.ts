/**
Workers that a process takes for ended and that go on. Guards against tasks that are started again because their worker, which lists their ends, is never polled (TWICE).
*/
import {beforeEach, expect, test} from 'vitest';
import {isUsable} from '../src/core/workers.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {ListingWorkers, machineOf, workerEntryOf} from './support/listing-workers.js';
import {configurationWithoutStandby} from './support/scheduler-simulation.js';

const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;
const workerIds = ['w1', 'w2'];

let holder: ListingWorkers;

beforeEach(async () => {
	holder = new ListingWorkers(workerIds);
	holder.dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	holder.dispatch({type: 'workersListed', workers: workerIds.map(workerId => workerEntryOf(workerId))});
	holder.dispatch({type: 'leaseWon', fencingToken: 5});
	await holder.run(400);
	expect(holder.state.isSettled).toBe(true);
});

/** The job's only task had ended as done on w1. */
const expectNoSecondRun = (): void => {
	expect(holder.starts).toEqual([]);
	expect(holder.state.jobs.get(job.jobId)!.outcome).toBe('completed');
	expect(holder.acknowledged.get('w1')).toBe(1);
};

/** Another process holds the lease for a while. It has the task run on w1, and stores nothing. */
const loseLeaseForAWhile = (): void => {
	holder.dispatch({type: 'leaseLost', fencingToken: 5});
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]});
	holder.ends.set('w1', [{
		sequence: 1, taskKey, attempt: 7001, end: 'done', checkpoint: '',
	}]);
	holder.clock.advance(1000);
	holder.dispatch({type: 'leaseWon', fencingToken: 9});
};

test('a worker is heard in a later term of a holder whose order for its machine was accepted and had changed nothing', async () => {
	holder.dispatch({
		type: 'wavesOrdered', waves: [{
			waveId: 1, machineIds: ['m-w1'], withinMs: 60_000, concurrency: 1,
		}],
	});
	const order = holder.dispatch({type: 'tick'}).find(effect => effect.type === 'maintain');
	// An earlier holder had the machine maintained for the same wave.
	holder.dispatch({
		type: 'machineAnswered', fencingToken: 5, machineId: 'm-w1', orderNumber: order!.orderNumber, answer: 'accepted',
	});
	loseLeaseForAWhile();
	await holder.run(7000);
	expectNoSecondRun();
});

test('a worker is heard in a later term of a holder that ended it because one list of machines lacked it', async () => {
	holder.machines = [machineOf('w2')];
	await holder.run(400);
	expect(holder.state.workers.get('w1')!.isEnded).toBe(true);
	holder.machines = workerIds.map(workerId => machineOf(workerId));
	loseLeaseForAWhile();
	await holder.run(7000);
	expectNoSecondRun();
});

test('a worker is used again in the same term once a later list of machines names it', async () => {
	holder.machines = [machineOf('w2')];
	await holder.run(400);
	expect(holder.state.workers.get('w1')!.isEnded).toBe(true);
	holder.machines = workerIds.map(workerId => machineOf(workerId));
	await holder.run(800);
	expect(isUsable(holder.state.workers.get('w1')!, holder.clock.nowMs())).toBe(true);
});
