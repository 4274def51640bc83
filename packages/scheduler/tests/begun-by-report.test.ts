/**
A job has begun once a worker lists one of its runs, also if the answer to the start was lost.
*/
import {expect, test} from 'vitest';
import {reduceScheduler, SchedulerState} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const job = jobOf(1, {steps: [stepOf({taskCount: 1, isLasting: true})]});
const taskKey = `${job.jobId}.0.0.0`;
const fencingToken = 5;

// LOST in the soak (seed 914): a job was shown as queued for 23 s while its tasks were at work.
test.each(['started', 'unknown'] as const)('a job has begun whose run is listed after its start was answered with %s', answer => {
	const state = new SchedulerState();
	let nowMs = 0;
	const attempts: number[] = [];
	const dispatch = (event: EventBody): void => {
		nowMs += 25;
		for (const effect of reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs}).effects) {
			if (effect.type === 'start') {
				attempts.push(effect.attempt);
			}
		}
	};

	const report = (running: ReadonlyArray<{readonly taskKey: string; readonly attempt: number; readonly checkpoint: string; readonly percent: number; readonly figure: number}>): void => {
		dispatch({
			type: 'polled', fencingToken, workerId: 'w1', incarnation: 1, sentAtMs: nowMs + 10, sentAcknowledgement: 0,
			answer: {
				type: 'report', report: {
					clockMs: 600 + nowMs, bornWallMs: 900_000, running, finished: [],
				},
			},
		});
	};

	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: [{
			workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
		}],
	});
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]});
	dispatch({type: 'leaseWon', fencingToken});
	dispatch({
		type: 'machinesListed', sentAtMs: nowMs, machines: [{
			machineId: 'm1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: 'w1',
		}],
	});
	for (let round = 0; round < 400 && attempts.length === 0; round++) {
		report([]);
		dispatch({type: 'tick'});
	}

	const attempt = attempts[0]!;
	expect(attempt).toBeGreaterThan(0);
	dispatch({
		type: 'startAnswered', fencingToken, workerId: 'w1', taskKey, attempt, answer,
	});
	report([{
		taskKey, attempt, checkpoint: '', percent: 100, figure: 0,
	}]);
	expect(state.jobs.get(job.jobId)!.hasBegun).toBe(true);
});
