/**
A worker lists at most 500 ends in a report. What stands in neither of its lists may then have ended as done.
*/
import {expect, test} from 'vitest';
import {
	type FinishedEntry, reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerReport,
} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const workerId = 'w1';
const accepted = {type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]} as const;

const fullReport: WorkerReport = {
	clockMs: 600, bornWallMs: 900_000, running: [], finished: Array.from({length: 500}, (_value, index) => ({
		sequence: index + 1, taskKey: `ffffffffffffffff.0.0.${index}`, attempt: 1, end: 'done', checkpoint: '',
	} satisfies FinishedEntry)),
};

class Holder {
	readonly state = new SchedulerState();
	startCount = 0;
	#nowMs = 0;

	dispatch(event: EventBody): readonly SchedulerEffect[] {
		this.#nowMs += 25;
		const {effects} = reduceScheduler(this.state, {...event, nowMs: this.#nowMs, wallMs: 1_000_000 + this.#nowMs});
		this.startCount += effects.filter(({type}) => type === 'start').length;
		return effects;
	}

	begin(): void {
		this.dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
		this.dispatch({
			type: 'workersListed', workers: [{
				workerId, pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
			}],
		});
		this.dispatch({type: 'leaseWon', fencingToken: 5});
		this.dispatch({
			type: 'machinesListed', sentAtMs: this.#nowMs, machines: [{
				machineId: 'm', pool, dataCentre: 'dc', state: 'up', capacity, workerId,
			}],
		});
	}

	report(report: WorkerReport): void {
		this.dispatch({
			type: 'polled', fencingToken: 5, workerId, incarnation: 1, sentAtMs: this.#nowMs + 10, sentAcknowledgement: 0, answer: {type: 'report', report},
		});
	}
}

test('a run that a full report does not list is not started again', () => {
	const holder = new Holder();
	holder.begin();
	holder.report({...fullReport, finished: []});
	holder.dispatch(accepted);
	const start = holder.dispatch({type: 'tick'}).find(effect => effect.type === 'start');
	holder.dispatch({
		type: 'startAnswered', fencingToken: 5, workerId, taskKey: start!.taskKey, attempt: start!.attempt, answer: 'started',
	});
	holder.report(fullReport);
	holder.dispatch({type: 'tick'});
	expect(holder.startCount).toBe(1);
});

test('a takeover is not settled by a full report, whose further ends may be those of waiting tasks', () => {
	const holder = new Holder();
	holder.dispatch(accepted);
	holder.begin();
	holder.report(fullReport);
	holder.dispatch({type: 'tick'});
	expect([holder.startCount, holder.state.isSettled]).toEqual([0, false]);
	holder.report({...fullReport, finished: []});
	holder.dispatch({type: 'tick'});
	expect(holder.state.isSettled).toBe(true);
});
