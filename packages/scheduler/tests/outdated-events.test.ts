/**
Answers that arrive after the term in which their orders were sent. Each test guards against one that is applied to a later term of the same process.
*/
import {beforeEach, expect, test} from 'vitest';
import {
	MetricsRegistry, ReducerRuntime, silentLogger, VirtualClock,
} from '@poplarnotch/common';
import {ConflictError, type RowCondition, UnavailableError} from '@poplarnotch/platform';
import {
	reduceScheduler, type SchedulerEffect, type SchedulerEvent, SchedulerState, type WorkerReport,
} from '../src/index.js';
import {EffectPerformer, type EffectPerformerOptions} from '../src/shell/effect-performer.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
const taskKey = `${job.jobId}.0.0.0`;

const earlierToken = 5;
const presentToken = 9;

const emptyReport: WorkerReport = {
	clockMs: 600, bornWallMs: 900_000, running: [], finished: [],
};

let state: SchedulerState;
let nowMs: number;
let effects: SchedulerEffect[];

const at = (event: EventBody): SchedulerEvent => ({...event, nowMs, wallMs: 1_000_000 + nowMs});

const dispatch = (event: EventBody): void => {
	nowMs += 25;
	effects = [...reduceScheduler(state, at(event)).effects];
};

/** Reports on the worker to the given term. */
const report = (fencingToken: number, changes: Partial<WorkerReport> = {}): void => {
	dispatch({
		type: 'polled', fencingToken, workerId: 'w1', incarnation: 1, sentAtMs: nowMs + 10, sentAcknowledgement: 0, answer: {type: 'report', report: {...emptyReport, ...changes}},
	});
};

const win = (fencingToken: number): void => {
	dispatch({type: 'leaseWon', fencingToken});
	dispatch({
		type: 'machinesListed', sentAtMs: nowMs, machines: [{
			machineId: 'm1', pool, dataCentre: 'dc', state: 'up', capacity, workerId: 'w1',
		}],
	});
};

beforeEach(() => {
	state = new SchedulerState();
	nowMs = 0;
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: [{
			workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
		}],
	});
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job, {rowKey: 'row'})]});
	win(earlierToken);
});

// LOST: the lease was held and renewed, and accepted jobs were never finished.
test.each<Extract<EventBody, {readonly type: 'leaseLost' | 'polled' | 'startAnswered' | 'stopAnswered' | 'paceAnswered' | 'machineAnswered'}>>([
	{type: 'leaseLost', fencingToken: earlierToken},
	{
		type: 'polled', fencingToken: earlierToken, workerId: 'w1', incarnation: 1, sentAtMs: 0, sentAcknowledgement: 0, answer: {type: 'fenced'},
	},
	{
		type: 'startAnswered', fencingToken: earlierToken, workerId: 'w1', taskKey, attempt: 1, answer: 'fenced',
	},
	{
		type: 'stopAnswered', fencingToken: earlierToken, workerId: 'w1', incarnation: 1, taskKey, attempt: 1, answer: 'fenced',
	},
	{
		type: 'paceAnswered', fencingToken: earlierToken, workerId: 'w1', incarnation: 1, taskKey, attempt: 1, percent: 50, orderedAtMs: 0, answer: 'fenced',
	},
	{
		type: 'machineAnswered', fencingToken: earlierToken, machineId: 'm1', orderNumber: 1, answer: 'fenced',
	},
])('a late $type of an earlier term does not end the present term', event => {
	dispatch({type: 'leaseSuspended'});
	win(presentToken);
	dispatch(event);
	expect(state.term?.fencingToken).toBe(presentToken);
	expect(effects).toContainEqual({
		type: 'log', fields: expect.objectContaining({
			event: 'event_outdated', type: event.type, fencingToken: earlierToken, presentToken,
		}) as never,
	});
	// The same answer to the present term ends it.
	dispatch({...event, fencingToken: presentToken});
	expect(state.term).toBeUndefined();
});

test('a fence that is confirmed late does not begin its term again', () => {
	win(presentToken);
	dispatch({type: 'leaseConfirmed', fencingToken: earlierToken});
	dispatch({type: 'leaseWon', fencingToken: earlierToken});
	expect(state.term?.fencingToken).toBe(presentToken);
});

// TWICE: the worker has not seen the present token, so it still carries out late orders of the holder in between.
test('a worker that reports to an earlier term is not taken for fenced by the present one', () => {
	win(presentToken);
	report(earlierToken);
	expect(state.workers.get('w1')!.isFenced).toBe(false);
	report(presentToken);
	expect(state.workers.get('w1')!.isFenced).toBe(true);
});

// HARM: the holder believed in a pace that the worker does not keep any more, and did not order it again.
test('the answer to an earlier pace order is not taken for that to the last one', () => {
	report(earlierToken, {
		running: [{
			taskKey, attempt: 1, checkpoint: '', percent: 10, figure: 0,
		}],
	});
	const run = state.workers.get('w1')!.runs.get(taskKey)!;
	run.paceOrderedAtMs = 200;
	const answer = {
		type: 'paceAnswered', fencingToken: earlierToken, workerId: 'w1', incarnation: 1, taskKey, attempt: 1, answer: 'accepted',
	} as const;
	dispatch({...answer, percent: 50, orderedAtMs: 100});
	expect(run).toMatchObject({pacePercent: undefined, paceOrderedAtMs: 200});
	dispatch({...answer, percent: 100, orderedAtMs: 200});
	expect(run).toMatchObject({pacePercent: 100, paceOrderedAtMs: undefined});
});

/** A process whose saves, and reports on waves, wait until the test answers them. */
class SavingProcess {
	readonly clock = new VirtualClock();
	readonly waveReports: Array<{readonly waveState: string; readonly resolve: () => void; readonly reject: (error: Error) => void}> = [];
	readonly saves: Array<{readonly fence: RowCondition; readonly reject: (error: Error) => void}> = [];
	fence: RowCondition | undefined;
	readonly runtime = new ReducerRuntime(state, reduceScheduler, effect => {
		this.#performer.perform(effect);
	});

	readonly #performer = new EffectPerformer({
		store: {
			save: async (_save: unknown, fence: RowCondition) => new Promise<void>((_resolve, reject) => {
				this.saves.push({fence, reject});
			}),
		},
		waveReporter: {
			report: async (_waveId: number, waveState: string) => new Promise<void>((resolve, reject) => {
				this.waveReports.push({waveState, resolve, reject});
			}),
		},
		state: () => this.runtime.state,
		fence: () => this.fence,
		abandonTerm: () => undefined,
		readRevision: async () => 0,
		dispatch: (event: SchedulerEvent) => {
			this.runtime.dispatch(event);
		},
		isClosed: () => false,
		clock: this.clock,
		log: silentLogger,
		metrics: new MetricsRegistry(),
	} as unknown as EffectPerformerOptions);

	dispatch(event: EventBody): void {
		nowMs += 25;
		this.runtime.dispatch(at(event));
	}

	/** Has an end to store, and a round in which it is saved. */
	finishTask(fencingToken: number): void {
		this.dispatch({
			type: 'polled', fencingToken, workerId: 'w1', incarnation: 1, sentAtMs: nowMs + 10, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					...emptyReport, finished: [{
						sequence: 1, taskKey, attempt: 1, end: 'done', checkpoint: '',
					}],
				},
			},
		});
		nowMs += 50;
		this.dispatch({type: 'tick'});
	}
}

const settle = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};

test('a save of an earlier term that is found to be fenced at last does not end the present term', async () => {
	const saving = new SavingProcess();
	saving.fence = {key: 'fence', version: earlierToken};
	saving.finishTask(earlierToken);
	expect(saving.saves).toHaveLength(1);
	saving.fence = {key: 'fence', version: presentToken};
	saving.dispatch({type: 'leaseSuspended'});
	saving.dispatch({type: 'leaseWon', fencingToken: presentToken});
	saving.saves[0]!.reject(new ConflictError([]));
	await settle();
	expect(saving.runtime.state.term?.fencingToken).toBe(presentToken);
});

// TWICE: a row holds all progress of its job, so the save would remove ends that the holder in between has stored and acknowledged.
test('a save of an earlier term is not written under the fence of a later one', async () => {
	const saving = new SavingProcess();
	saving.finishTask(earlierToken);
	// The lease has been acquired again, and the term has not begun yet.
	saving.fence = {key: 'fence', version: presentToken};
	saving.clock.advance(1000);
	await settle();
	expect(saving.saves).toEqual([]);
});

// A completed wave was shown as running for good.
test('the report that a wave is running is not repeated once the wave is completed', async () => {
	const saving = new SavingProcess();
	saving.dispatch({
		type: 'wavesOrdered', waves: [{
			waveId: 1, machineIds: ['m1'], withinMs: 60_000, concurrency: 1,
		}],
	});
	saving.dispatch({type: 'tick'});
	saving.dispatch({
		type: 'waveProgressed', waveId: 1, maintained: ['m1'], isCompleted: true,
	});
	saving.dispatch({type: 'tick'});
	expect(saving.waveReports.map(({waveState}) => waveState)).toEqual(['running', 'completed']);
	saving.waveReports[1]!.resolve();
	saving.waveReports[0]!.reject(new UnavailableError('the store is away'));
	await settle();
	saving.clock.advance(1000);
	await settle();
	expect(saving.waveReports).toHaveLength(2);
});
