/**
Takeovers while workers are down. A new holder cannot tell a worker that is gone for good from one that will be back under its id and may then carry out a start of an earlier holder, unless the one that hands the lease over says which starts have no answer.
*/
import {describe, expect, test} from 'vitest';
import {
	reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerEntry,
} from '../src/index.js';
import {areEarlierStartsKnown} from '../src/core/inherited-starts.js';
import {type TaskRun} from '../src/core/records.js';
import {type EventBody} from './support/event-body.js';
import {listOpenStarts, noteNaming} from './support/handover-notes.js';
import {holdStart} from './support/held-starts.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {
	configurationOf, configurationWithoutStandby, pool, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

const noticeMs = 2000;

/** A takeover that is settled by reports takes less than this, and one that waits for a registration to expire takes longer. */
const promptMs = 1500;

/** A holder that was left no note knows all open starts once it has held the lease for this long. */
const knowsStartsAfterMs = 15_000;

const simulate = async (seed = 58): Promise<SchedulerSimulation> => {
	const simulation = new SchedulerSimulation({
		seed, processes: 4, workersPerPool: 8, standbyMachines: 0, successors: 4,
	});
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs + knowsStartsAfterMs);
	return simulation;
};

/** Stops the holder, and waits until another process has begun its term. */
const handOver = async (simulation: SchedulerSimulation): Promise<void> => {
	const earlier = simulation.holder!;
	void earlier.scheduler.leave();
	while (simulation.holder === undefined || simulation.holder === earlier) {
		await simulation.run(5);
	}
};

/** Waits until the takeover is settled, and returns how long the term has lasted by then. */
const settleMs = async (simulation: SchedulerSimulation): Promise<number> => {
	const {state} = simulation.holder!.scheduler;
	const {wonAtMs} = state.term!;
	while (!state.isSettled) {
		await simulation.run(5);
	}

	return simulation.clock.nowMs() - wonAtMs;
};

const heldRunMs = 30_000;

describe('with simulated workers', () => {
	test.each([1, 3])('after a planned hand-over, number %i in a row, the takeover does not wait for workers that were taken away', async handOvers => {
		const simulation = await simulate();
		for (const workerId of ['w-0', 'w-3', 'w-6']) {
			simulation.takeAwayWorker(workerId, noticeMs);
		}

		await simulation.run(noticeMs + 50);
		for (let count = 0; count < handOvers; count++) {
			await handOver(simulation);
		}

		const durationMs = await settleMs(simulation);
		simulation.close();
		expect(durationMs).toBeLessThan(promptMs);
	});

	test('after a planned hand-over, the takeover does not wait for workers that leave after it', async () => {
		const simulation = await simulate();
		for (const workerId of ['w-0', 'w-3', 'w-6']) {
			simulation.takeAwayWorker(workerId, noticeMs);
		}

		await simulation.run(noticeMs - 50);
		await handOver(simulation);
		const durationMs = await settleMs(simulation);
		simulation.close();
		expect(durationMs).toBeLessThan(promptMs);
	});

	// Guards against a successor that acquires the lease in place of the holder, just before that releases it.
	test.each([4, 20, 40, 120])('the next holder receives what was left to it: calls of %i ms', async latencyMs => {
		const simulation = await simulate();
		for (const [index, {table}] of simulation.processes.entries()) {
			// The successor reaches the store sooner than the holder that releases the lease.
			table.latencyMs = simulation.processes[index] === simulation.holder ? latencyMs : 4;
		}

		await handOver(simulation);
		const {state} = simulation.holder!.scheduler;
		const isKnown = areEarlierStartsKnown(state, simulation.clock.nowMs());
		simulation.close();
		expect(isKnown).toBe(true);
	});

	// The start is sent by the first holder, and the worker is back under its id while the last one has begun.
	test.each([1, 2, 3].flatMap(handOvers => [400, 800, 1200].map(returnMs => ({handOvers, returnMs}))))('a worker that is back $returnMs ms after the last of $handOvers planned hand-overs runs no task twice', async ({handOvers, returnMs}) => {
		const latencyMs = 2;
		const probe = await simulate();
		await holdStart(probe, {lateMs: 60_000, runMs: heldRunMs});
		const leftAtMs = probe.clock.nowMs();
		for (let count = 0; count < handOvers; count++) {
			await handOver(probe);
		}

		const absenceMs = probe.clock.nowMs() - leftAtMs + returnMs;
		probe.close();
		const simulation = await simulate();
		const workerId = await holdStart(simulation, {lateMs: absenceMs + (2 * latencyMs) + 3, runMs: heldRunMs});
		simulation.crashBriefly(workerId, absenceMs);
		for (let count = 0; count < handOvers; count++) {
			await handOver(simulation);
		}

		await simulation.run(returnMs + 3000);
		simulation.close();
		expect(simulation.fleet.brokenPromises).toEqual([]);
	});
});

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const wallOffsetMs = 1_000_000;

/** A process that takes over, driven event by event. The worker `gone` is registered, and no list of machines names it, though one machine of its pool is down. */
class NewHolder {
	readonly state = new SchedulerState();

	constructor(readonly workers = ['here', 'gone']) {
		this.dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
		this.register(0);
	}

	dispatch(event: EventBody, nowMs: number): readonly SchedulerEffect[] {
		return reduceScheduler(this.state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects;
	}

	register(nowMs: number, workers = this.workers): void {
		this.dispatch({
			type: 'workersListed', workers: workers.map((workerId): WorkerEntry => ({
				workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: wallOffsetMs - 60_000, coldLeftMs: 0,
			})),
		}, nowMs);
	}

	list(sentAtMs: number, isOfOneMoment = true, named = this.workers.filter(workerId => workerId !== 'gone')): void {
		this.dispatch({
			type: 'machinesListed', sentAtMs, isOfOneMoment, machines: [
				...named.map(workerId => ({
					machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity, workerId,
				} as const)),
				{
					machineId: 'm-2', pool, dataCentre: 'dc', state: 'down', capacity, workerId: undefined,
				},
			],
		}, sentAtMs + 10);
	}

	report(workerId: string, nowMs: number): void {
		this.dispatch({
			type: 'polled', fencingToken: this.state.term!.fencingToken, workerId, incarnation: this.state.workers.get(workerId)!.incarnation, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: nowMs, bornWallMs: wallOffsetMs - 60_000, running: [], finished: [],
				},
			},
		}, nowMs);
	}

	/** Takes over, and hears all that there is to hear. */
	takeOver(event: Omit<Extract<EventBody, {readonly type: 'leaseWon'}>, 'type' | 'fencingToken'>): boolean {
		this.dispatch({type: 'leaseWon', fencingToken: 5, ...event}, 10);
		this.report('here', 20);
		this.list(30);
		this.dispatch({type: 'tick'}, 50);
		return this.state.isSettled;
	}
}

describe('event by event', () => {
	const earlierHolder = {mayOrderUntilMs: 2000, mayOrderMachinesUntilMs: 3000};
	test.each([
		{about: 'does not say which starts are open', event: {}, isSettled: false},
		{about: 'has no open start', event: {note: noteNaming()}, isSettled: true},
		{about: 'has an open start on another worker', event: {note: noteNaming('other')}, isSettled: true},
		{about: 'has an open start on the worker', event: {note: noteNaming('gone')}, isSettled: false},
		{about: 'may still order starts', event: {note: noteNaming(), earlierHolder}, isSettled: false},
	])('a worker that is down and may return is waited for, if the last holder $about: settled $isSettled', ({event, isSettled}) => {
		const holder = new NewHolder();
		expect(holder.takeOver(event)).toBe(isSettled);
	});

	test('a worker that has not reported, and that no list of the term shows as ended, is waited for whatever the last holder says', () => {
		const holder = new NewHolder();
		holder.list(1);
		expect(holder.state.workers.get('gone')!.isEnded).toBe(true);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 20);
		holder.report('here', 30);
		holder.dispatch({type: 'tick'}, 40);
		expect(holder.state.isSettled).toBe(false);
		holder.list(50, false);
		holder.dispatch({type: 'tick'}, 65);
		expect(holder.state.isSettled).toBe(false);
		holder.list(70, false);
		holder.dispatch({type: 'tick'}, 85);
		expect(holder.state.isSettled).toBe(true);
	});

	test('the holder leaves the workers on which its own starts and those left to it are open', () => {
		const holder = new NewHolder(['here', 'gone', 'late']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming('gone', 'late')}, 10);
		expect(listOpenStarts(holder.state, 10)).toEqual(['gone', 'late']);
		// What a worker says holds for its present incarnation only.
		holder.report('late', 20);
		expect(listOpenStarts(holder.state, 20)).toEqual(['gone', 'late']);
		holder.report('here', 30);
		holder.list(40);
		holder.dispatch({type: 'tick'}, 60);
		expect(holder.state.isSettled).toBe(false);
		holder.register(70, ['here', 'late']);
		holder.dispatch({type: 'tick'}, 80);
		expect(holder.state.isSettled).toBe(true);
		// The starts may come for some time, whoever holds the lease.
		expect(listOpenStarts(holder.state, 80)).toEqual(['gone', 'late']);
		expect(listOpenStarts(holder.state, 15_009)).toEqual(['gone', 'late']);
		expect(listOpenStarts(holder.state, 15_010)).toEqual([]);
	});

	test.each([
		// The worker may have started again since lists named it; a report would tell.
		{answer: 'started', isOpen: true, isOpenLater: false},
		{answer: 'refused', isOpen: false, isOpenLater: false},
		{answer: 'not-sent', isOpen: false, isOpenLater: false},
		{answer: 'unknown', isOpen: true, isOpenLater: true},
	] as const)('a start that was answered with $answer is open: $isOpen, also after its deadline: $isOpenLater', ({answer, isOpen, isOpenLater}) => {
		const holder = new NewHolder(['here']);
		expect(holder.takeOver({note: noteNaming()})).toBe(true);
		const orderedAtMs = 100;
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobOf(1, {acceptedWallMs: wallOffsetMs + 80, steps: [stepOf({taskCount: 1})]}))]}, 90);
		holder.dispatch({type: 'tick'}, orderedAtMs);
		const [run] = holder.state.workers.get('here')!.runs.values();
		expect(listOpenStarts(holder.state, 105)).toEqual(['here']);
		holder.dispatch({
			type: 'startAnswered', fencingToken: 5, workerId: 'here', taskKey: run!.taskKey, attempt: run!.attempt, answer,
		}, 110);
		expect(listOpenStarts(holder.state, 115)).toEqual(isOpen ? ['here'] : []);
		// The worker refuses the start by now; were it to start again, it would not.
		holder.report('here', 10_000);
		expect(holder.state.workers.get('here')!.runs.size).toBe(0);
		expect(listOpenStarts(holder.state, 10_010)).toEqual(isOpenLater ? ['here'] : []);
		expect(listOpenStarts(holder.state, orderedAtMs + 15_000)).toEqual([]);
	});

	test('a worker that may just have come back is passed over only by a list of machines that was asked for when lists name it', () => {
		const holder = new NewHolder();
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: {openStarts: {gone: 500}, unknownForMs: 0, unlistedForMs: 0}}, 10);
		holder.report('here', 20);
		holder.list(400);
		holder.dispatch({type: 'tick'}, 520);
		expect(holder.state.isSettled).toBe(false);
		holder.list(525);
		holder.dispatch({type: 'tick'}, 545);
		expect(holder.state.isSettled).toBe(true);
	});

	test('a worker whose start was answered late may have come back just before the answer', () => {
		const holder = new NewHolder(['here']);
		expect(holder.takeOver({note: noteNaming()})).toBe(true);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobOf(1, {acceptedWallMs: wallOffsetMs + 80, steps: [stepOf({taskCount: 1})]}))]}, 90);
		holder.dispatch({type: 'tick'}, 100);
		const [{taskKey, attempt}] = [...holder.state.workers.get('here')!.runs.values()] as [TaskRun];
		holder.dispatch({
			type: 'startAnswered', fencingToken: 5, workerId: 'here', taskKey, attempt, answer: 'started',
		}, 900);
		expect(listOpenStarts(holder.state, 1899)).toEqual(['here']);
		expect(listOpenStarts(holder.state, 1900)).toEqual([]);
	});

	test('late starts that cannot come any more are not kept', () => {
		const holder = new NewHolder(['here']);
		expect(holder.takeOver({note: noteNaming()})).toBe(true);
		const removeUnanswered = (number: number, nowMs: number): void => {
			holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobOf(number, {acceptedWallMs: wallOffsetMs + nowMs, steps: [stepOf({taskCount: 1})]}))]}, nowMs);
			holder.dispatch({type: 'tick'}, nowMs + 10);
			const worker = [...holder.state.workers.values()].find(({runs}) => runs.size > 0)!;
			const [{taskKey, attempt}] = [...worker.runs.values()] as [TaskRun];
			holder.dispatch({
				type: 'startAnswered', fencingToken: 5, workerId: worker.entry.workerId, taskKey, attempt, answer: 'unknown',
			}, nowMs + 1000);
			holder.report(worker.entry.workerId, nowMs + 10_000);
			holder.dispatch({type: 'jobsChanged', changes: [{type: 'cancelled', jobId: jobOf(number).jobId, rowKey: `cancel-${number}`}]}, nowMs + 10_005);
		};

		removeUnanswered(1, 100);
		expect([...holder.state.lateStarts()]).toEqual([['here', 15_110]]);
		holder.register(20_000, ['here', 'there']);
		holder.report('there', 20_010);
		holder.dispatch({type: 'workersListed', workers: [...holder.state.workers.values()].map(({entry}) => ({...entry, isDraining: entry.workerId === 'here'}))}, 20_020);
		removeUnanswered(2, 20_100);
		expect([...holder.state.lateStarts()]).toEqual([['there', 35_110]]);
	});

	test('the log names each second the workers that the takeover waits for, and first among those unheard as it is settled', () => {
		const holder = new NewHolder(['left', 'here', 'gone']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming('gone')}, 0);
		holder.report('here', 20);
		holder.list(30, true, ['here']);
		holder.register(50, ['here', 'gone']);
		const lines = [];
		for (let nowMs = 100; nowMs < 6000; nowMs += 100) {
			lines.push(...holder.dispatch({type: 'tick'}, nowMs).flatMap(effect => effect.type === 'log' && effect.fields.event.startsWith('takeover_') ? [{nowMs, ...effect.fields}] : []));
		}

		expect(lines).toMatchObject([
			...[1000, 2000, 3000, 4000, 5000].map(nowMs => ({
				nowMs, event: 'takeover_waits_for', awaited: 1, openStarts: 1, workers: 'gone:ended:open-start', areMachinesKnown: true,
			})),
			{
				event: 'takeover_settled', by: 'time', awaited: 1, unheard: 'gone:ended:open-start,left:ended:unlisted',
			},
		]);
	});

	test('a holder that does not know the open starts of earlier ones leaves nothing before its takeover is settled', () => {
		const holder = new NewHolder();
		expect(holder.takeOver({})).toBe(false);
		expect(listOpenStarts(holder.state, 60)).toBeUndefined();
	});
});
