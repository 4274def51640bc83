/**
Cases from the review of the mends for ends that no store holds. Guards against hand-overs that cost more than they save, and against notes of a hand-over that say more than their holder knows.
*/
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {
	reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerEntry,
} from '../src/index.js';
import {listOpenStarts} from '../src/core/handover.js';
import {type EventBody} from './support/event-body.js';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationOf, configurationWithoutStandby, pool, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

describe('hand-over of a busy fleet', () => {
	let simulation: SchedulerSimulation;

	afterEach(() => {
		simulation.close();
		expect(simulation.fleet.brokenPromises).toEqual([]);
	});

	/** A holder looks for a larger process this often, and stores what it has read within this time. */
	const yieldCheckMs = 2000;
	const maxHandoverMs = 500;
	const marginMs = 100;

	test.each([4, 20, 40, 120])('a holder yields at its first check while runs end all the time: calls of %i ms', async latencyMs => {
		simulation = new SchedulerSimulation({
			seed: 58, processes: 4, workersPerPool: 200, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.arePollsAnsweredAtEnds = true;
		simulation.fleet.behaviour.runMs = taskKey => 1500 + ((Number(taskKey.split('.').at(-1)) * 37) % 1000);
		await simulation.run(takeoverMs);
		const step = stepOf({taskCount: 4000, needs: {cpuMillicores: 2000, memoryMb: 500, accelerators: 0}});
		void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [step]}), simulation.holder);
		await simulation.run(3000);
		for (const {table} of simulation.processes) {
			table.latencyMs = latencyMs;
		}

		await simulation.run(500);
		const former = simulation.holder!;
		for (const {name} of simulation.processes.filter(process => process !== former)) {
			simulation.cpuMillicores.set(name, 1350);
		}

		await simulation.run(yieldCheckMs + maxHandoverMs + marginMs);
		expect(former.scheduler.state.term).toBeUndefined();
	}, 60_000);
});

describe('hand-over while many jobs end', () => {
	const workers = 100;
	const leavers = 40;
	const endIntervalMs = 2.5;

	/** More rows than one transaction takes are saved while a slow call lasts. */
	test.each([4, 40, 120, 240])('ends that a holder has read are stored before it stops: calls of %i ms', async latencyMs => {
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 5, workersPerPool: workers, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.arePollsAnsweredAtEnds = true;
		simulation.fleet.behaviour.runMs = taskKey => 2000 + (endIntervalMs * Number.parseInt(taskKey.slice(0, 16), 16));
		await simulation.run(takeoverMs);
		for (let number = 1; number <= workers * 8; number++) {
			void simulation.submit(jobOf(number, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1})]}), simulation.holder);
		}

		await simulation.run(500);
		expect(simulation.fleet.starts).toHaveLength(workers * 8);
		for (let index = 0; index < leavers; index++) {
			simulation.announceDrain(`w-${index}`);
		}

		for (const {table} of simulation.processes) {
			table.latencyMs = latencyMs;
		}

		await simulation.run(2500);
		simulation.stop(simulation.holder!, 2500);
		await simulation.run(200);
		for (let index = 0; index < leavers; index++) {
			simulation.removeWorker(`w-${index}`);
		}

		await simulation.run(6000);
		simulation.close();
		expect(simulation.fleet.brokenPromises).toEqual([]);
	}, 60_000);
});

describe('orders for machines that are under way at a hand-over', () => {
	/** Hands over while an order of a wave is under way, to a holder that has tasks for the idle worker of that machine. */
	test.each([0, 100, 200, 400])('a wave has no more machines down than it permits, and ends no task, though the platform takes %i ms to carry an order out', async delayMs => {
		const workersPerPool = 8;
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 4, workersPerPool, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.fleet.behaviour.runMs = taskKey => taskKey.endsWith('.0') ? 300 : 2000;
		await simulation.run(takeoverMs);
		simulation.faults.machineOrderDelayMs = delayMs;
		const concurrency = 1;
		simulation.orderWave({
			waveId: 1, machineIds: [...simulation.machines.keys()], withinMs: 20_000, concurrency,
		});
		const former = simulation.holder!;
		while (![...former.scheduler.state.machines.values()].some(({order}) => order !== undefined)) {
			await simulation.run(5);
		}

		simulation.stop(former, 2500);
		const step = stepOf({taskCount: workersPerPool - 1, needs: {cpuMillicores: 8000, memoryMb: 500, accelerators: 0}});
		void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [step]}), simulation.processes.find(process => process !== former));
		let mostDown = 0;
		const ended: string[] = [];
		for (let passedMs = 0; passedMs < 4000; passedMs += 5) {
			const running = [...simulation.fleet.workers.values()].map(worker => ({worker, tasks: [...worker.runs.keys()]}));
			await simulation.run(5);
			ended.push(...running.filter(({worker}) => !worker.isUp).flatMap(({tasks}) => tasks));
			mostDown = Math.max(mostDown, [...simulation.machines.values()].filter(({entry}) => entry.state === 'maintenance').length);
		}

		simulation.close();
		expect(simulation.fleet.brokenPromises).toEqual([]);
		expect(ended).toEqual([]);
		expect(mostDown).toBe(concurrency);
	});
});

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const wallOffsetMs = 1_000_000;

/** A process that takes over, driven event by event. */
class NewHolder {
	readonly state = new SchedulerState();

	constructor(readonly workers: readonly string[]) {
		this.dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
		this.dispatch({
			type: 'workersListed', workers: workers.map((workerId): WorkerEntry => ({
				workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: wallOffsetMs - 60_000, coldLeftMs: 0,
			})),
		}, 0);
	}

	dispatch(event: EventBody, nowMs: number): readonly SchedulerEffect[] {
		return reduceScheduler(this.state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects;
	}

	list(sentAtMs: number): void {
		this.dispatch({
			type: 'machinesListed', sentAtMs, isOfOneMoment: true, machines: this.workers.map(workerId => ({
				machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity, workerId,
			} as const)),
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
}

describe('the note of a hand-over', () => {
	test('a start that was left to a holder stays open though its worker was heard: the next incarnation carries it out', () => {
		const holder = new NewHolder(['here', 'there']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, openStarts: ['here']}, 10);
		holder.report('here', 20);
		expect(listOpenStarts(holder.state, 30)).toEqual(['here']);
		holder.report('there', 40);
		holder.list(50);
		holder.dispatch({type: 'tick'}, 70);
		expect(holder.state.isSettled).toBe(true);
		expect(listOpenStarts(holder.state, 80)).toEqual(['here']);
		expect(listOpenStarts(holder.state, 15_010)).toEqual([]);
	});

	test('a holder that was left nothing does not state the open starts of a lost one while they may be carried out', () => {
		const holder = new NewHolder(['silent']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5}, 10);
		holder.list(20);
		for (let nowMs = 100; !holder.state.isSettled; nowMs += 100) {
			holder.dispatch({type: 'tick'}, nowMs);
		}

		// The takeover was settled by time, and nothing was heard of the worker.
		expect(holder.state.workers.get('silent')!.isFenced).toBe(false);
		expect(listOpenStarts(holder.state, 6000)).toBeUndefined();
		expect(listOpenStarts(holder.state, 15_010)).toEqual([]);
	});
});
