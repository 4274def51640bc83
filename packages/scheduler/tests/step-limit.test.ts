/**
The limit on the unavailable tasks of a step across all stops of one round: a worker that drains is emptied whatever the limit says, so its tasks use it up before any stop that may wait.
*/
import {SeededRandom} from '@poplarnotch/common';
import {describe, expect, test} from 'vitest';
import {type RunningEntry, type WorkerEntry} from '../src/index.js';
import {acceptedChange, jobOf, lastingStepOf} from './support/jobs.js';
import {NewHolder} from './support/new-holder.js';

/** After this time a new holder relocates tasks. */
const takeoverMs = 1000;

/** A stop without an answer is overdue after this time. */
const overdueMs = 700;

const servingPercent = 100;

const taskCount = 8;
const runningIds = Array.from({length: taskCount}, (_value, index) => `w${index}`);
const freeIds = Array.from({length: taskCount}, (_value, index) => `free${index}`);

type Stop = {readonly index: number; readonly reason: string};

/** A holder that has adopted a step with one task on each of the first workers, in the order of the list of workers. */
class StepHolder {
	readonly holder: NewHolder;
	readonly job;
	/** Tasks that run, by their indexes. */
	readonly running = new Set(runningIds.keys());
	nowMs = 0;
	readonly #percents = new Map<number, number>();

	constructor({mayMiss = 1, workers = [...runningIds, ...freeIds]}: {readonly mayMiss?: number; readonly workers?: readonly string[]} = {}) {
		this.holder = new NewHolder(workers);
		this.job = jobOf(1, {steps: [lastingStepOf({taskCount, mayMiss})]});
		this.holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(this.job)]}, 0);
		this.holder.dispatch({type: 'leaseWon', fencingToken: 5}, 0);
	}

	/** A task that begins to serve has this percentage. */
	setPercent(index: number, percent: number): void {
		this.#percents.set(index, percent);
	}

	entryOf(index: number, attempt: number, percent = servingPercent): RunningEntry {
		return {
			taskKey: `${this.job.jobId}.0.0.${index}`, attempt, checkpoint: '', percent, figure: 0,
		};
	}

	/** All workers report, and the machines are listed. */
	report(): void {
		for (const workerId of this.holder.workers) {
			const index = runningIds.indexOf(workerId);
			const percent = this.#percents.get(index) ?? servingPercent;
			this.holder.report(workerId, this.nowMs, {running: this.running.has(index) ? [this.entryOf(index, 1, percent)] : []});
		}

		this.holder.list(this.nowMs);
	}

	/** Runs a round at the time and returns the stops that it orders. */
	round(nowMs: number): readonly Stop[] {
		this.nowMs = nowMs;
		return this.holder.dispatch({type: 'tick'}, nowMs).flatMap(effect => effect.type === 'stop' ? [{index: Number(effect.taskKey.split('.').at(-1)), reason: effect.reason}] : []);
	}

	register(changes: (workerId: string) => Partial<WorkerEntry>): void {
		this.holder.dispatch({type: 'workersListed', workers: [...this.holder.state.workers.values()].map(({entry}) => ({...entry, ...changes(entry.workerId)}))}, this.nowMs);
	}

	drain(workerIds: readonly string[]): void {
		this.register(workerId => ({isDraining: workerIds.includes(workerId)}));
	}

	orderWave(workerIds: readonly string[]): void {
		this.holder.dispatch({
			type: 'wavesOrdered', waves: [{
				waveId: 1, machineIds: workerIds.map(workerId => `m-${workerId}`), withinMs: 600_000, concurrency: workerIds.length,
			}],
		}, this.nowMs);
	}

	evacuate(workerIds: readonly string[]): void {
		this.register(workerId => ({dataCentre: workerIds.includes(workerId) ? 'evacuated' : 'dc'}));
		this.holder.dispatch({type: 'evacuationsOrdered', dataCentres: ['evacuated']}, this.nowMs);
	}

	/** Takes over, with the machines of these workers reserved for a wave. */
	takeOver({reserved = []}: {readonly reserved?: readonly string[]} = {}): void {
		this.report();
		this.orderWave(reserved);
		expect(this.round(takeoverMs / 2)).toEqual([]);
		const taken = [...this.holder.state.workers.values()].filter(({isReserved}) => isReserved);
		expect(new Set(taken.map(({entry}) => entry.workerId))).toEqual(new Set(reserved));
		this.nowMs = takeoverMs - 10;
		this.report();
	}
}

const stoppedIndexes = (stops: readonly Stop[]): readonly number[] => stops.map(({index}) => index).toSorted((a, b) => a - b);

describe('the tasks of draining workers use up the limit of their step', () => {
	test('before a reserved worker that comes first', () => {
		const step = new StepHolder();
		step.takeOver({reserved: ['w0']});
		step.drain(['w2', 'w3', 'w6']);
		expect(stoppedIndexes(step.round(takeoverMs + 10))).toEqual([2, 3, 6]);
	});

	test('before a reserved worker that comes last', () => {
		const step = new StepHolder();
		step.takeOver({reserved: ['w7']});
		step.drain(['w2', 'w3', 'w6']);
		expect(stoppedIndexes(step.round(takeoverMs + 10))).toEqual([2, 3, 6]);
	});

	test('before an unanswered stop that is repeated', () => {
		const step = new StepHolder();
		step.takeOver({reserved: ['w0']});
		expect(step.round(takeoverMs + 10)).toEqual([{index: 0, reason: 'machine-reserved'}]);
		step.nowMs = takeoverMs + overdueMs;
		step.report();
		step.drain(['w2', 'w3']);
		expect(stoppedIndexes(step.round(takeoverMs + 10 + overdueMs))).toEqual([2, 3]);
	});

	test('before the evacuation of a data centre', () => {
		const step = new StepHolder();
		step.takeOver();
		step.evacuate(['w0', 'w1']);
		step.drain(['w4']);
		expect(stoppedIndexes(step.round(takeoverMs + 10))).toEqual([4]);
	});

	test('and leave the rest of it to a reserved worker', () => {
		const step = new StepHolder({mayMiss: 3});
		step.takeOver({reserved: ['w0', 'w1', 'w5']});
		step.drain(['w2', 'w3']);
		expect(stoppedIndexes(step.round(takeoverMs + 10))).toEqual([0, 2, 3]);
	});
});

test('a task that a former holder has stopped counts as unavailable to the next one', () => {
	const step = new StepHolder();
	step.takeOver({reserved: ['w0']});
	step.running.delete(4);
	step.nowMs = takeoverMs;
	step.report();
	expect(step.round(takeoverMs + 10)).toEqual([]);
});

test('a reserved worker is emptied once the tasks of the draining ones serve elsewhere', () => {
	const step = new StepHolder();
	step.takeOver({reserved: ['w0']});
	step.drain(['w2']);
	expect(step.round(takeoverMs + 10)).toEqual([{index: 2, reason: 'worker-draining'}]);
	const {holder} = step;
	step.running.delete(2);
	step.nowMs = takeoverMs + 20;
	step.report();
	expect(step.round(takeoverMs + 30)).toEqual([]);
	const task = [...holder.state.openJobs][0]!.occurrences.get(0)![0]!.tasks[2]!;
	const {worker, attempt} = task.run!;
	expect(freeIds).toContain(worker.entry.workerId);
	holder.report(worker.entry.workerId, takeoverMs + 40, {running: [step.entryOf(2, attempt)]});
	expect(step.round(takeoverMs + 50)).toEqual([{index: 0, reason: 'machine-reserved'}]);
});

// A round with any mix of reasons ends a task that serves on a worker that is not draining only within the limit, whatever the order of the workers.
test('no round exceeds the limit of a step, whatever the order of the workers', () => {
	for (let seed = 1; seed <= 300; seed++) {
		const random = new SeededRandom(seed);
		const mayMiss = 1 + Math.floor(random.next() * 3);
		const draw = (share: number): readonly string[] => runningIds.filter(() => random.next() < share);
		const workers = [...runningIds, ...freeIds].map(workerId => ({workerId, place: random.next()})).toSorted((a, b) => a.place - b.place).map(({workerId}) => workerId);
		const step = new StepHolder({mayMiss, workers});
		const [reserved, draining, evacuated, starting] = [draw(0.4), draw(0.3), draw(0.2), draw(0.1)];
		for (const workerId of starting) {
			step.setPercent(runningIds.indexOf(workerId), 40);
		}

		step.takeOver({reserved});
		step.evacuate(evacuated);
		step.drain(draining);
		const unavailable = new Set(starting.map(workerId => runningIds.indexOf(workerId)));
		for (const nowMs of [takeoverMs + 10, takeoverMs + 10 + overdueMs]) {
			const stopped = stoppedIndexes(step.round(nowMs));
			for (const index of stopped) {
				unavailable.add(index);
			}

			const mayWait = stopped.filter(index => !draining.includes(`w${index}`) && !starting.includes(`w${index}`));
			const seen = `seed ${seed}: ${stopped.join(',')} stopped, ${[...unavailable].join(',')} unavailable of ${mayMiss}`;
			expect(mayWait.length === 0 || unavailable.size <= mayMiss, seen).toBe(true);
			step.nowMs = nowMs + 10;
			step.report();
		}
	}
});
