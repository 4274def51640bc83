/**
Runs that an earlier lease holder started and the next one takes over.
*/
import {expect, test} from 'vitest';
import {
	reduceScheduler, type SchedulerEffect, SchedulerState,
} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

// Guards against a lasting job that is shown as queued for as long as it runs.
test('a job whose adopted run shows that it has begun is stored as begun', () => {
	const state = new SchedulerState();
	const saves: Array<SchedulerEffect & {readonly type: 'save'}> = [];
	let nowMs = 0;
	const dispatch = (event: EventBody): void => {
		nowMs += 50;
		for (const effect of reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs}).effects) {
			if (effect.type === 'save') {
				saves.push(effect);
			}
		}
	};

	const job = jobOf(1, {steps: [stepOf({taskCount: 1, isLasting: true})]});
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: [{
			workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
		}],
	});
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]});
	dispatch({type: 'leaseWon', fencingToken: 5});
	dispatch({
		type: 'polled', fencingToken: 5, workerId: 'w1', incarnation: 1, sentAtMs: nowMs + 10, sentAcknowledgement: 0, answer: {
			type: 'report', report: {
				clockMs: 600, bornWallMs: 900_000, finished: [], running: [{
					taskKey: `${job.jobId}.0.0.0`, attempt: 1, checkpoint: '', percent: 50, figure: 0,
				}],
			},
		},
	});
	dispatch({type: 'tick'});
	expect(saves.flatMap(({save}) => save.jobs)).toMatchObject([{jobId: job.jobId, progress: {hasBegun: true}}]);
});
