/**
Review of the ends that are recorded without the fence (issue 61): cases in which they say more, or less, than what has happened.
*/
import {describe, expect, test} from 'vitest';
import {type Logger, VirtualClock} from '@poplarnotch/common';
import {RejectedError, type TableService} from '@poplarnotch/platform';
import {pollPauseMs} from '../src/constants.js';
import {
	type FinishedEntry, type JobChange, type JobSpec, type StepSpec, type WorkerControl,
} from '../src/index.js';
import {JobStore} from '../src/jobs/job-store.js';
import {endsKey, endsToJson} from '../src/jobs/rows.js';
import {ReleasePreparation} from '../src/shell/release-preparation.js';
import {WorkerPoller} from '../src/shell/worker-poller.js';
import {noteAt, noteNaming} from './support/handover-notes.js';
import {
	acceptedChange, jobOf, lastingStepOf, stepOf,
} from './support/jobs.js';
import {
	NewHolder, recordsOf, startedTasks, wallOffsetMs,
} from './support/new-holder.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const jobWith = (step: StepSpec, overrides: Partial<JobSpec> = {}): JobSpec => jobOf(1, {acceptedWallMs: wallOffsetMs, steps: [step], ...overrides});
const {jobId} = jobWith(stepOf());
const endOf = (index: number, end: FinishedEntry['end'] = 'done', sequence = index + 1): FinishedEntry => ({
	sequence, taskKey: `${jobId}.0.0.${index}`, attempt: 4001, end, checkpoint: '',
});

const recordedChange = (jobs: ReturnType<typeof recordsOf>): readonly JobChange[] => jobs.map(({jobId, ends}) => ({
	type: 'endsRecorded', jobId, ends, rowKey: endsKey(jobId, 'edge-1@1.1'),
}));

/** Records the ends at a process that does not know their job, and lets another one that knows it take over. */
const startedByNextHolder = (job: JobSpec, finished: readonly FinishedEntry[]): {readonly started: readonly string[]; readonly next: NewHolder} => {
	const former = new NewHolder(['here']);
	former.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	former.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'superseded'}, 40);
	const records = recordsOf(former.report('here', 60, {finished}, {fencingToken: 5}));
	const next = new NewHolder(['here', 'there']);
	next.dispatch({type: 'jobsChanged', changes: [acceptedChange(job), ...recordedChange(records)]}, 5);
	next.dispatch({type: 'leaseWon', fencingToken: 9, note: noteNaming()}, 10);
	next.settle(20);
	return {started: startedTasks([40, 60, 120].flatMap(nowMs => next.dispatch({type: 'tick'}, nowMs))), next};
};

describe('ends of a job that the recording process does not know', () => {
	test('of one member of a gang: no member is started again', () => {
		const {started, next} = startedByNextHolder(jobWith(stepOf({taskCount: 2, isGang: true})), [endOf(1)]);
		expect(started).toEqual([]);
		expect(next.state.jobs.get(jobId)!.outcome).toBe('completed');
	});

	test('of a lasting task: it is started again', () => {
		const {started} = startedByNextHolder(jobWith(lastingStepOf({taskCount: 2, mayMiss: 0})), [endOf(0)]);
		expect(started).toContain(`${jobId}.0.0.0`);
	});

	test('of a lasting task, in the note of the last holder: it is started again', () => {
		const former = new NewHolder(['here']);
		former.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		former.report('here', 20, {finished: [endOf(0)]});
		const note = noteAt(former.state, 25);
		const next = new NewHolder(['here', 'there']);
		next.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(lastingStepOf({taskCount: 2, mayMiss: 0})))]}, 5);
		next.dispatch({type: 'leaseWon', fencingToken: 9, note}, 30);
		next.settle(40);
		expect(startedTasks([60, 80].flatMap(nowMs => next.dispatch({type: 'tick'}, nowMs)))).toContain(`${jobId}.0.0.0`);
	});
});

test('an inherited end of an occurrence that is not due by the clock of the next holder keeps the task from being started', () => {
	const scheduled = jobWith(stepOf({taskCount: 1}), {recurrence: {count: 1, firstDueWallMs: wallOffsetMs + 200, periodMs: 1000}});
	const former = new NewHolder(['here']);
	former.dispatch({type: 'jobsChanged', changes: [acceptedChange(scheduled)]}, 5);
	former.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 210);
	former.report('here', 220, {finished: [endOf(0)]});
	const note = noteAt(former.state, 225);
	expect(note.ends).toEqual({[jobId]: {doneTasks: {'0.0': [0]}, failures: {}}});
	// The clock of the next holder is 190 ms behind.
	const next = new NewHolder(['there']);
	next.dispatch({type: 'jobsChanged', changes: [acceptedChange(scheduled)]}, 5);
	next.dispatch({type: 'leaseWon', fencingToken: 9, note}, 35);
	next.report('there', 60);
	next.list(60);
	expect(startedTasks([100, 210, 260].flatMap(nowMs => next.dispatch({type: 'tick'}, nowMs)))).toEqual([]);
});

test('a late report of a later incarnation does not hide ends of that incarnation', () => {
	const holder = new NewHolder(['here', 'there']);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf({taskCount: 4})))]}, 5);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	holder.report('here', 20, {finished: [endOf(0, 'done', 1), endOf(1, 'done', 2)]});
	const worker = holder.state.workers.get('here')!;
	const {incarnation} = worker;
	const report = {
		clockMs: 5, bornWallMs: wallOffsetMs - 1000, running: [], finished: [endOf(2, 'done', 1), endOf(3, 'done', 3)],
	};
	holder.reportLate('here', 30, report);
	// Both, or neither and nothing that is acknowledged to the new incarnation.
	const isKnown = holder.state.jobs.get(jobId)!.occurrences.get(0)![0]!.tasks[2]!.phase === 'done'
		|| holder.state.endsOfEarlierIncarnations.some(({entry}) => entry.taskKey.endsWith('.2'));
	expect({isKnown, isNumberOfNewIncarnation: worker.incarnation === incarnation && worker.processedSequence === 3}).not.toEqual({isKnown: false, isNumberOfNewIncarnation: true});
});

test('a failed attempt that two reports name counts once against its worker', () => {
	const holder = new NewHolder(['here', 'there']);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf({taskCount: 2})))]}, 5);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	holder.settle(20);
	holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'superseded'}, 30);
	holder.dispatch({type: 'leaseWon', fencingToken: 9, note: noteNaming()}, 40);
	holder.report('here', 50, {finished: [endOf(0, 'failed')]}, {fencingToken: 5});
	holder.report('here', 60, {finished: [endOf(0, 'failed')]});
	holder.dispatch({type: 'tick'}, 80);
	expect(holder.state.workers.get('here')!.recentFailuresMs).toHaveLength(1);
});

test('rows of recorded ends are removed with their job, and also those that are recorded after it was swept', async () => {
	const retentionMs = 150_000;
	const sweepMs = 10_000;
	const simulation = new SchedulerSimulation({
		seed: 61, processes: 2, workersPerPool: 2, standbyMachines: 0,
	});
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	const known = jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1})]});
	void simulation.submit(known, simulation.holder);
	const keys = ['swept', known.jobId].map(id => endsKey(id, 'edge-1@1.1'));
	simulation.table.commitNow({conditions: [], writes: keys.map(key => ({type: 'put', key, value: endsToJson({doneTasks: {'0.0': [0]}, failures: {}})}))});
	await simulation.run(retentionMs / 2);
	expect(keys.map(key => simulation.table.valueOf(key) === undefined)).toEqual([false, false]);
	await simulation.run((retentionMs / 2) + sweepMs);
	expect(keys.map(key => simulation.table.valueOf(key) === undefined)).toEqual([true, true]);
	const {detachedRows} = simulation.holder!.scheduler.state;
	simulation.close();
	expect(detachedRows.size).toBe(0);
}, 60_000);

test('one job whose ends do not fit keeps no other ends from the note', () => {
	const holder = new NewHolder(['here']);
	const large = jobOf(1, {acceptedWallMs: wallOffsetMs, steps: [stepOf({taskCount: 5000, isGang: true})]});
	const small = jobOf(2, {acceptedWallMs: wallOffsetMs, steps: [stepOf({taskCount: 2})]});
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(large), acceptedChange(small)]}, 5);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	holder.report('here', 20, {finished: [endOf(0), {...endOf(0, 'done', 2), taskKey: `${small.jobId}.0.0.0`}]});
	expect(Object.keys(noteAt(holder.state, 25).ends ?? {})).toContain(small.jobId);
});

test('one record that the store refuses keeps no other one from being stored', async () => {
	const stored: string[] = [];
	const table = {
		async commit({writes}: Parameters<TableService['commit']>[0]) {
			if (writes.some(({key}) => key.includes('refused'))) {
				throw new RejectedError('refused with status 400');
			}

			stored.push(...writes.map(({key}) => key));
			return {revision: 1};
		},
	} as unknown as TableService;
	const log = {
		error() {
			// Not looked at.
		},
	} as unknown as Logger;
	const store = new JobStore({
		table, resolvingTable: table, clock: new VirtualClock(), log,
	});
	const ends = {doneTasks: {'0.0': [0]}, failures: {}};
	await Promise.allSettled([store.recordEnds([{jobId: 'refused', ends}, {jobId: 'other', ends}], 'edge-1@1.1')]);
	expect(stored).toEqual([endsKey('other', 'edge-1@1.1')]);
});

test('the release of a process that stops is prepared within 2,450 ms, as before', async () => {
	const holder = new NewHolder(['here']);
	holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf({taskCount: 2})))]}, 5);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
	holder.list(15);
	holder.report('here', 20, {finished: [endOf(0)]});
	const machine = [...holder.state.machines.values()][0]!;
	machine.order = {phase: 'sent'} as unknown as NonNullable<typeof machine.order>;
	const clock = new VirtualClock();
	clock.advance(20);
	const logLine = (): void => {
		// Not looked at.
	};

	const preparation = new ReleasePreparation({
		state: () => holder.state, dispatch(event) {
			holder.dispatch(event, clock.nowMs());
		}, polls: () => ({awaitsLongPolls: true, awaitsReports: true}), clock, log: {info: logLine, warn: logLine} as unknown as Logger,
	});
	const done: number[] = [];
	const startedAtMs = clock.nowMs();
	void preparation.prepare({isStopping: true}).then(() => {
		done.push(clock.nowMs());
	});
	while (done.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.advance(5);
	}

	expect(done[0]! - startedAtMs).toBeLessThanOrEqual(2450 + 30);
});

test('a poll is not repeated after the term in which it was sent', async () => {
	const holder = new NewHolder(['here']);
	holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 0);
	const clock = new VirtualClock();
	let pollCount = 0;
	const poller = new WorkerPoller({
		control: {
			async poll() {
				pollCount++;
				return new Promise(() => {
					// The answer is lost.
				});
			},
		} as unknown as WorkerControl,
		clock, state: () => holder.state, pauseMs: () => pollPauseMs, dispatch(event) {
			holder.dispatch(event, clock.nowMs());
		},
	});
	poller.pollDueWorkers(0);
	expect(pollCount).toBe(1);
	holder.dispatch({type: 'leaseLost', fencingToken: 5, reason: 'stopping'}, 50);
	clock.advance(2000);
	expect(pollCount).toBe(1);
});

describe('lines of the mend that no other test notices', () => {
	test('a holder that keeps its lease polls again', () => {
		const holder = new NewHolder(['here']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		for (const [index, type] of (['releasePlanned', 'pollingEnded', 'handoverBegun', 'handoverCancelled'] as const).entries()) {
			holder.dispatch({type, fencingToken: 5}, 20 + index);
		}

		const polled: string[] = [];
		const poller = new WorkerPoller({
			control: {
				async poll({workerId}: {readonly workerId: string}) {
					polled.push(workerId);
					return {type: 'unreachable'};
				},
			} as unknown as WorkerControl,
			clock: new VirtualClock(), state: () => holder.state, pauseMs: () => pollPauseMs, dispatch() {
				// Not looked at.
			},
		});
		poller.pollDueWorkers(0);
		expect(polled).toEqual(['here']);
	});

	test('rows that are read before their job are known to its sweep', () => {
		const holder = new NewHolder(['here']);
		const rowKey = endsKey(jobId, 'edge-1@1.1');
		holder.dispatch({
			type: 'jobsChanged', changes: [{
				type: 'endsRecorded', jobId, ends: {doneTasks: {'0.0': [0]}, failures: {}}, rowKey,
			}],
		}, 1);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf()))]}, 2);
		expect([...holder.state.jobs.get(jobId)!.endsKeys]).toEqual([rowKey]);
	});

	test('ends of a late report of an earlier incarnation are stored', () => {
		const holder = new NewHolder(['here', 'there']);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf({taskCount: 2})))]}, 5);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		const {incarnation} = holder.state.workers.get('here')!;
		holder.report('here', 20, {bornWallMs: wallOffsetMs - 1000});
		holder.report('there', 20);
		holder.list(20);
		holder.reportLate('here', 30, {finished: [endOf(0)]}, {incarnation});
		holder.dispatch({type: 'tick'}, 50);
		expect(holder.state.jobs.get(jobId)!.occurrences.get(0)![0]!.tasks[0]!.phase).toBe('done');
	});

	test('ends of a late report of a worker that has not reported in the term are stored', () => {
		const holder = new NewHolder(['here', 'there']);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf({taskCount: 2})))]}, 5);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		const {incarnation} = holder.state.workers.get('here')!;
		holder.reportLate('here', 30, {finished: [endOf(0)]}, {incarnation});
		holder.dispatch({type: 'tick'}, 50);
		expect(holder.state.jobs.get(jobId)!.occurrences.get(0)![0]!.tasks[0]!.phase).toBe('done');
	});

	test('ends of a worker that is not known any more are recorded', () => {
		const holder = new NewHolder(['here']);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobWith(stepOf({taskCount: 2})))]}, 5);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		const effects = holder.report('gone', 20, {finished: [endOf(0)]}, {incarnation: 1});
		expect(recordsOf(effects)).toEqual([{jobId, ends: {doneTasks: {'0.0': [0]}, failures: {}}}]);
	});
});
