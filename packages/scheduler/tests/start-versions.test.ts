/**
The starts of a new lease holder tell which stored progress they rest on, so that a start on a copy that lags behind can be told from one on a row that was never stored.
*/
import {expect, test} from 'vitest';
import {
	type JobSpec, reduceScheduler, type SchedulerEffect, SchedulerState,
} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const wallOffsetMs = 1_000_000;
const bornWallMs = 900_000;

test('at the beginning of a term, each start names the newest version of its job\'s progress that was read, or 0', () => {
	const state = new SchedulerState();
	let effects: readonly SchedulerEffect[] = [];
	const dispatch = (event: EventBody, nowMs: number): void => {
		effects = [...reduceScheduler(state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects];
	};

	const accept = (job: JobSpec, nowMs: number): void => {
		dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]}, nowMs);
	};

	const report = (nowMs: number): void => {
		dispatch({
			type: 'polled', fencingToken: 5, workerId: 'w1', incarnation: 1, sentAtMs: nowMs - 5, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: nowMs, bornWallMs, running: [], finished: [],
				},
			},
		}, nowMs);
	};

	const round = (nowMs: number): ReadonlyArray<readonly [string, number | undefined]> => {
		dispatch({type: 'tick'}, nowMs);
		return effects.flatMap(effect => effect.type === 'start' ? [[effect.taskKey.slice(15), effect.progressVersion] as const] : []);
	};

	const specOf = (number: number): JobSpec => jobOf(number, {steps: [stepOf({taskCount: 2})]});
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)}, 0);
	dispatch({
		type: 'workersListed', workers: [{
			workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
		}],
	}, 0);
	accept(specOf(1), 0);
	accept(specOf(2), 0);
	for (const version of [12, 17]) {
		dispatch({
			type: 'jobsChanged', changes: [{
				type: 'progressed', jobId: specOf(1).jobId, rowKey: 'progress', version, progress: {
					outcome: undefined, endedWallMs: undefined, hasBegun: true, doneTasks: {'0.0': [0]}, failures: {}, crashRecords: {},
				},
			}],
		}, 0);
	}

	dispatch({type: 'leaseWon', fencingToken: 5}, 10);
	dispatch({
		type: 'machinesListed', sentAtMs: 15, machines: [{
			machineId: 'm1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: 'w1',
		}],
	}, 20);
	report(30);
	expect(round(50)).toEqual(expect.arrayContaining([['1.0.0.1', 17], ['2.0.0.0', 0], ['2.0.0.1', 0]]));
	accept(specOf(3), 12_000);
	report(12_010);
	expect(round(12_050)).toEqual(expect.arrayContaining([['3.0.0.0', undefined]]));
});
