/**
Numbers of attempts. Guards against a number that is given twice to one task in a term: a worker takes the second run for one that it has already had, and two failures count as one (BUDGET).
*/
import {expect, test} from 'vitest';
import {reduceScheduler, type SchedulerEffect, SchedulerState} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const fencingToken = 5;
const bornWallMs = 900_000;
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;

test('an attempt number is not given again after a run with a lower one was adopted', () => {
	const state = new SchedulerState();
	let nowMs = 0;
	const attempts: number[] = [];
	let workerOfStart = '';
	let sequence = 0;
	const dispatch = (event: EventBody): readonly SchedulerEffect[] => {
		nowMs += 5;
		const {effects} = reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs});
		for (const effect of effects) {
			if (effect.type === 'start') {
				attempts.push(effect.attempt);
				workerOfStart = effect.workerId;
			}
		}

		return effects;
	};

	const answer = (startAnswer: 'started' | 'unknown' | 'wrong-worker'): void => {
		dispatch({
			type: 'startAnswered', fencingToken, workerId: workerOfStart, taskKey, attempt: attempts.at(-1)!, answer: startAnswer,
		});
	};

	const report = (workerId: string, running: readonly number[], finished: readonly number[] = []): void => {
		dispatch({
			type: 'polled', fencingToken, workerId, incarnation: state.workers.get(workerId)!.incarnation, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: nowMs, bornWallMs, finished: finished.map(attempt => ({
						sequence: ++sequence, taskKey, attempt, end: 'stopped', checkpoint: '',
					} as const)), running: running.map(attempt => ({
						taskKey, attempt, checkpoint: '', percent: 0, figure: 0,
					})),
				},
			},
		});
	};

	const round = (): void => {
		nowMs += 50;
		dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs});
	};

	const machine = (workerId: string) => ({
		machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity: {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0}, workerId,
	} as const);
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: ['w1', 'w2'].map(workerId => ({
			workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity: machine(workerId).capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
		})),
	});
	dispatch({type: 'leaseWon', fencingToken});
	report('w1', []);
	report('w2', []);
	dispatch({type: 'machinesListed', sentAtMs: nowMs, machines: ['w1', 'w2'].map(workerId => machine(workerId))});
	round();
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]});
	round();
	const first = workerOfStart;
	// A call that reached another worker at the address: the run is taken for lost, and the task is started again.
	answer('wrong-worker');
	round();
	const second = workerOfStart;
	expect(attempts).toEqual([5001, 5002]);
	answer('started');
	report(second, [], [5002]);
	// The first start was carried out all the same.
	report(first, [5001]);
	report(first, [], [5001]);
	round();
	expect(attempts.length).toBeGreaterThan(2);
	expect(new Set(attempts).size).toBe(attempts.length);
});
