/**
Cases from the review of the mends for ends that no store holds. Guards against hand-overs that cost more than they save, and against notes of a hand-over that say more than their holder knows.
*/
import {
	afterEach, describe, expect, test,
} from 'vitest';
import {
	type FinishedEntry, type RunningEntry, type SchedulerEffect,
} from '../src/index.js';
import {isProgressStored} from '../src/core/progress-persistence.js';
import {listOpenStarts, noteAt, noteNaming} from './support/handover-notes.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {NewHolder, wallOffsetMs} from './support/new-holder.js';
import {NotedEnds} from './support/noted-ends.js';
import {
	configurationWithoutStandby, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

describe('the judge of ends that were taken note of', () => {
	const taskKey = 'job.0.0.0';
	const judge = (): {readonly noted: NotedEnds; readonly violations: string[]} => {
		const violations: string[] = [];
		const noted = new NotedEnds(violation => {
			violations.push(violation);
		});
		return {noted, violations};
	};

	test.each([
		{about: 'too early', nowMs: 5099, isNoted: false},
		{about: 'in time', nowMs: 5100, isNoted: true},
		{
			about: 'just after a disruption', nowMs: 5100, disruptedAtMs: 4000, isNoted: false,
		},
		{
			about: 'long enough after a disruption', nowMs: 5100, disruptedAtMs: 3999, isNoted: true,
		},
		{
			about: 'just before a disruption', nowMs: 5100, disruptedAtMs: 5050, isNoted: false,
		},
	])('an end that was listed counts after 100 ms with no disruption near: $about', ({nowMs, disruptedAtMs, isNoted}) => {
		const {noted} = judge();
		if (disruptedAtMs !== undefined) {
			noted.recordDisruption(disruptedAtMs);
		}

		expect(noted.isNotedByListing(5000, nowMs)).toBe(isNoted);
	});

	test.each([
		{by: 'listed', hasLapsed: false, isViolated: true},
		{by: 'acknowledged', hasLapsed: false, isViolated: true},
		{by: 'listed', hasLapsed: true, isViolated: false},
		{by: 'acknowledged', hasLapsed: true, isViolated: true},
	] as const)('a start after an end that was $by, with a lapsed lease $hasLapsed, violates a guarantee: $isViolated', ({by, hasLapsed, isViolated}) => {
		const {noted, violations} = judge();
		noted.recordStart(taskKey, 1000);
		noted.record({
			taskKey, endedAtMs: 2000, by, hasLapsed,
		});
		expect(violations).toEqual([]);
		noted.recordStart(taskKey, 3000);
		expect(violations.length > 0).toBe(isViolated);
	});

	test('a start before the note and after the end violates a guarantee, as the end is noted later', () => {
		const {noted, violations} = judge();
		noted.recordStart(taskKey, 2500);
		noted.record({
			taskKey, endedAtMs: 2000, by: 'listed', hasLapsed: false,
		});
		expect(violations).toHaveLength(1);
	});

	test('a worker that has listed an end for 100 ms is found by the fleet', async () => {
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 1, workersPerPool: 2, standbyMachines: 0,
		});
		simulation.configure(configurationWithoutStandby(2));
		await simulation.run(takeoverMs);
		const job = jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1})]});
		simulation.fleet.behaviour.runMs = () => 100;
		simulation.processes[0]!.table.latencyMs = 240;
		void simulation.submit(job, simulation.holder);
		while (simulation.fleet.starts.length === 0 || [...simulation.fleet.workers.values()].every(({listedEnds}) => listedEnds.length === 0)) {
			await simulation.run(5);
		}

		await simulation.run(150);
		simulation.close();
		simulation.fleet.notedEnds.recordStart(simulation.fleet.starts[0]!.taskKey, simulation.clock.nowMs());
		expect(simulation.fleet.brokenPromises).toHaveLength(1);
	});

	test.each([
		{about: 'as announced', isAnnounced: true},
		{about: 'by a crash', isAnnounced: false},
	])('an end that was listed just before its worker left $about counts: $isAnnounced', async ({isAnnounced}) => {
		const simulation = new SchedulerSimulation({
			seed: 61, processes: 1, workersPerPool: 2, standbyMachines: 0,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.arePollsAnsweredAtEnds = true;
		await simulation.run(takeoverMs);
		const job = jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1})]});
		simulation.fleet.behaviour.runMs = () => 100;
		simulation.processes[0]!.table.latencyMs = 240;
		void simulation.submit(job, simulation.holder);
		const listing = () => [...simulation.fleet.workers.values()].find(({listedEnds}) => listedEnds.length > 0);
		while (listing() === undefined) {
			await simulation.run(5);
		}

		const {workerId} = listing()!.entry;
		if (isAnnounced) {
			simulation.removeWorker(workerId);
		} else {
			simulation.crashWorker(workerId);
		}

		await simulation.run(150);
		simulation.close();
		simulation.fleet.notedEnds.recordStart(simulation.fleet.starts[0]!.taskKey, simulation.clock.nowMs());
		expect(simulation.fleet.brokenPromises).toHaveLength(isAnnounced ? 1 : 0);
	});
});

describe('hand-over of a busy fleet', () => {
	let simulation: SchedulerSimulation;

	afterEach(() => {
		simulation.close();
		expect(simulation.fleet.brokenPromises).toEqual([]);
	});

	/** A holder looks for a larger process this often. What it has read is stored by the save under way and one more. */
	const yieldCheckMs = 2000;
	const maxSaves = 2;
	const marginMs = 25;

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

		const {state} = former.scheduler;
		const maxHandoverMs = (maxSaves * latencyMs) + marginMs;
		let withoutOrdersMs = 0;
		for (let passedMs = 0; passedMs < yieldCheckMs + maxHandoverMs && state.term !== undefined; passedMs += 5) {
			await simulation.run(5);
			withoutOrdersMs += state.term !== undefined && state.isHandingOver ? 5 : 0;
		}

		expect(state.term).toBeUndefined();
		expect(withoutOrdersMs).toBeLessThanOrEqual(maxHandoverMs);
	}, 60_000);
});

describe('hand-over while starts are awaited', () => {
	/** The bound of lost-holder.test.ts for a graceful shutdown. */
	const maxGapMs = 300;

	const busyWorker = (simulation: SchedulerSimulation): string => simulation.fleet.starts.find(({taskKey}) => taskKey.startsWith(jobOf(1).jobId))!.workerId;

	/** What a holder that stops waits for. */
	const waits: ReadonlyArray<{readonly about: string; readonly begin: (simulation: SchedulerSimulation) => void}> = [
		{about: 'nothing', begin: () => undefined},
		{
			about: 'a worker that drains', begin(simulation) {
				simulation.announceDrain(busyWorker(simulation));
			},
		},
		{
			about: 'a worker that drains and does not answer', begin(simulation) {
				simulation.announceDrain(busyWorker(simulation));
				simulation.cutWorker(busyWorker(simulation), 5000);
			},
		},
		{
			about: 'the platform, to order a machine away', begin(simulation) {
				simulation.faults.machineOrderDelayMs = 400;
				simulation.orderWave({
					waveId: 1, machineIds: [...simulation.machines.keys()], withinMs: 20_000, concurrency: 1,
				});
			},
		},
	];

	test.each(waits.flatMap(wait => [20, 100, 300].map(beforeMs => ({...wait, beforeMs}))))('no start is missing for longer than 300 ms around a stop: the holder waits for $about, for $beforeMs ms by then', async ({begin, beforeMs}) => {
		const simulation = new SchedulerSimulation({
			seed: 21, processes: 6, workersPerPool: 10, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.arePollsAnsweredAtEnds = true;
		simulation.fleet.behaviour.runMs = taskKey => taskKey.startsWith(jobOf(1).jobId) ? 4000 : 100;
		await simulation.run(takeoverMs);
		let jobs = 1;
		void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 5, maxPerWorker: 1})]}), simulation.holder);
		const runUnderLoad = async (forMs: number): Promise<void> => {
			for (let passedMs = 0; passedMs < forMs; passedMs += 20) {
				const submitters = simulation.processes.filter(({scheduler}) => scheduler.state.term === undefined);
				void simulation.submit(jobOf(++jobs, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 2})]}), submitters[jobs % submitters.length]);
				await simulation.run(20);
			}
		};

		await runUnderLoad(1000);
		begin(simulation);
		await runUnderLoad(beforeMs);
		const leftAtMs = simulation.clock.nowMs();
		void simulation.holder!.scheduler.leave();
		await runUnderLoad(2000);
		simulation.close();
		expect(simulation.fleet.brokenPromises).toEqual([]);
		expect(simulation.longestGapMs(leftAtMs)).toBeLessThan(maxGapMs);
	});
});

describe('hand-over while nothing is unsaved', () => {
	/** The polls under way at the signal are the last ones that list ends to the former holder. */
	test.each([40, 120, 240].flatMap(latencyMs => [10, 40, 70, 320].map(endsAfterMs => ({latencyMs, endsAfterMs}))))('an end that a draining worker lists $endsAfterMs ms after the signal is stored: calls of $latencyMs ms', async ({latencyMs, endsAfterMs}) => {
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 5, workersPerPool: 8, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.arePollsAnsweredAtEnds = true;
		simulation.fleet.behaviour.runMs = () => 60_000;
		await simulation.run(takeoverMs);
		void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 8})]}), simulation.holder);
		await simulation.run(300);
		const draining = [...simulation.fleet.workers.values()].filter(({runs}) => runs.size > 0).slice(0, 4);
		const tasks = draining.flatMap(({runs}) => [...runs.keys()]);
		for (const {entry} of draining) {
			simulation.announceDrain(entry.workerId);
		}

		for (const {table} of simulation.processes) {
			table.latencyMs = latencyMs;
		}

		await simulation.run(2100);
		const endsAtMs = simulation.clock.nowMs() + endsAfterMs;
		for (const run of draining.flatMap(({runs}) => [...runs.values()])) {
			run.endsAtMs = endsAtMs;
		}

		simulation.stop(simulation.holder!, 2500);
		await simulation.run(endsAfterMs + 130);
		for (const {entry} of draining) {
			simulation.removeWorker(entry.workerId);
		}

		await simulation.run(6000);
		simulation.close();
		expect(tasks.length).toBeGreaterThan(0);
		expect(simulation.fleet.brokenPromises).toEqual([]);
	});
});

describe('hand-over while many jobs end', () => {
	/** With several times as many rows to be saved while a slow call lasts as one transaction takes. */
	const stops = [
		...[4, 40, 120, 240].flatMap(latencyMs => [0, 150, 300, 450].map(phaseMs => ({
			latencyMs, phaseMs, workers: 100, endIntervalMs: 2.5,
		}))),
		{
			latencyMs: 240, phaseMs: 150, workers: 250, endIntervalMs: 1,
		},
	];
	test.each(stops)('ends that a holder has read are stored before it stops: calls of $latencyMs ms, after $phaseMs ms, $workers workers', async ({latencyMs, phaseMs, workers, endIntervalMs}) => {
		const leavers = 0.4 * workers;
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

		await simulation.run(2500 + phaseMs);
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

describe('a larger process and a platform that does not answer orders for machines in time', () => {
	/** A yield may cost a holder a quarter of its time at most, and it is not repeated without end. */
	const observedMs = 10_000;
	const maxShare = 0.25;

	test.each([0, 400, 2000])('a holder goes on starting tasks while its orders are under way: %i ms', async delayMs => {
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 4, workersPerPool: 20, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		await simulation.run(takeoverMs);
		simulation.faults.machineOrderDelayMs = delayMs;
		simulation.orderWave({
			waveId: 1, machineIds: [...simulation.machines.keys()], withinMs: 30_000, concurrency: 2,
		});
		await simulation.run(200);
		const former = simulation.holder!;
		for (const {name} of simulation.processes.filter(process => process !== former)) {
			simulation.cpuMillicores.set(name, 1350);
		}

		let withoutOrdersMs = 0;
		for (let passedMs = 0; passedMs < observedMs; passedMs += 5) {
			await simulation.run(5);
			withoutOrdersMs += former.scheduler.state.term !== undefined && former.scheduler.state.isHandingOver ? 5 : 0;
		}

		simulation.close();
		expect(withoutOrdersMs).toBeLessThanOrEqual(maxShare * observedMs);
		expect(former.scheduler.state.term).toBeUndefined();
	});
});

describe('the note of a hand-over', () => {
	/** No start of a lost holder is carried out later than this after its loss. */
	const maxStartDelayMs = 15_000;
	const promptMs = 1500;
	const noticeMs = 2000;

	test.each([1000, 3000, 20_000])('is there again once the starts of a lost holder are over, though the lease is handed over every %i ms', async intervalMs => {
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 5, workersPerPool: 8, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		await simulation.run(takeoverMs);
		simulation.kill(simulation.holder!);
		const lostAtMs = simulation.clock.nowMs();
		const stopMs = 500;
		/** Hands the lease over and returns the time until the takeover is settled. */
		const handOver = async (): Promise<number> => {
			const earlier = simulation.holder;
			if (earlier !== undefined) {
				// A process that stays though it has left would hold a place among the successors.
				simulation.stop(earlier, stopMs);
			}

			simulation.addProcess();
			while (simulation.holder === undefined || simulation.holder === earlier) {
				await simulation.run(5);
			}

			const {state} = simulation.holder.scheduler;
			const {wonAtMs} = state.term!;
			while (!state.isSettled) {
				await simulation.run(5);
			}

			return simulation.clock.nowMs() - wonAtMs;
		};

		while (simulation.holder === undefined || simulation.clock.nowMs() < lostAtMs + maxStartDelayMs + 2000) {
			await simulation.run(intervalMs);
			await handOver();
		}

		for (const workerId of ['w-0', 'w-3', 'w-6']) {
			simulation.takeAwayWorker(workerId, noticeMs);
		}

		await simulation.run(noticeMs + 50);
		const settledAfterMs = await handOver();
		simulation.close();
		expect(settledAfterMs).toBeLessThan(promptMs);
	}, 60_000);

	test('a start that was left to a holder stays open though its worker was heard: the next incarnation carries it out', () => {
		const holder = new NewHolder(['here', 'there']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming('here')}, 10);
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

describe('a worker that has started again under its id just before a hand-over', () => {
	const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
	const running: readonly RunningEntry[] = [{
		taskKey: `${job.jobId}.0.0.0`, attempt: 4001, checkpoint: '', percent: 10, figure: 0,
	}];

	/** The former holder's start was answered by the present incarnation, which is neither registered nor listed with its machine for up to a second. */
	test.each([true, false])('its task is not started elsewhere while the list of machines lacks it: reported before the list %s', isReportedFirst => {
		const holder = new NewHolder(['here', 'back']);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]}, 5);
		// The former holder names the worker, whose run no report has listed to it.
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming('back')}, 10);
		holder.report('here', 15);
		const reports = [20, 25];
		for (const nowMs of isReportedFirst ? reports : []) {
			holder.report('back', nowMs, {running, bornWallMs: wallOffsetMs - 300});
		}

		holder.list(30, ['back']);
		const effects = [50, 75, 100].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs));
		expect(effects.filter(({type}) => type === 'start')).toEqual([]);
	});
});

describe('ends of a job that is not read yet', () => {
	const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});
	const done: FinishedEntry = {
		sequence: 1, taskKey: `${job.jobId}.0.0.0`, attempt: 4001, end: 'done', checkpoint: '',
	};

	const holderWithEnd = (): NewHolder => {
		const holder = new NewHolder(['here', 'there']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		holder.dispatch({type: 'tick', jobRowsConfirmedAtMs: 5}, 15);
		holder.report('here', 20, {finished: [done]});
		holder.report('there', 25);
		holder.list(30);
		return holder;
	};

	test('a hand-over waits for the job, since no store holds the ends', () => {
		const holder = holderWithEnd();
		holder.dispatch({type: 'handoverBegun', fencingToken: 5}, 50);
		expect(isProgressStored(holder.state, 50)).toBe(false);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]}, 60);
		holder.dispatch({type: 'tick', jobRowsConfirmedAtMs: 55}, 75);
		expect(isProgressStored(holder.state, 75)).toBe(false);
		holder.dispatch({type: 'saved', fencingToken: 5, saveNumber: holder.state.pendingSaveNumber!}, 80);
		expect(isProgressStored(holder.state, 80)).toBe(true);
	});

	test('they are not forgotten if their worker starts again before the job is read', () => {
		const holder = holderWithEnd();
		for (const nowMs of [2000, 2010]) {
			holder.report('here', nowMs, {bornWallMs: wallOffsetMs + 1500});
		}

		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]}, 2500);
		const effects = [2525, 2550, 2575].flatMap(nowMs => holder.dispatch({type: 'tick', jobRowsConfirmedAtMs: 2510}, nowMs));
		expect(holder.state.isSettled).toBe(true);
		expect(effects.filter(({type}) => type === 'start')).toEqual([]);
	});
});

describe('the note of a large fleet', () => {
	/** The store's limit on the encoded value of a row. */
	const maxRowBytes = 65_536;
	const fleetSize = 1400;
	const idOf = (index: number): string => `i-${(0x10_00_00_00 + (index * 7919)).toString(16)}`;

	test.each([900, 1000, fleetSize])('fits into a row with %i workers that have open starts', count => {
		const ids = Array.from({length: count}, (_value, index) => idOf(index));
		const holder = new NewHolder(['here']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming(...ids)}, 10);
		const note = noteAt(holder.state, 10 + (1000 / 3));
		expect(4 * Math.ceil(JSON.stringify({handover: note}).length / 3)).toBeLessThanOrEqual(maxRowBytes);
	});

	test('is complete although all workers have just started a task', () => {
		const ids = Array.from({length: fleetSize}, (_value, index) => idOf(index));
		const holder = new NewHolder(ids);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		for (const workerId of ids) {
			holder.report(workerId, 20);
		}

		holder.list(30);
		holder.dispatch({
			type: 'jobsChanged', changes: [acceptedChange(jobOf(1, {acceptedWallMs: wallOffsetMs, steps: [stepOf({taskCount: fleetSize, maxPerWorker: 1})]}))],
		}, 40);
		for (const effect of holder.dispatch({type: 'tick'}, 50)) {
			if (effect.type === 'start') {
				const {workerId, taskKey, attempt} = effect;
				holder.dispatch({
					type: 'startAnswered', fencingToken: 5, workerId, taskKey, attempt, answer: 'started',
				}, 60);
			}
		}

		expect(ids.filter(workerId => holder.state.workers.get(workerId)!.runs.size > 0).length).toBe(fleetSize);
		expect(noteAt(holder.state, 70).unknownForMs).toBe(0);
	});
});

describe('a worker that the note names for a short time', () => {
	const job = jobOf(1, {steps: [stepOf({taskCount: 1})]});

	test('is not passed over by a list from within that time', () => {
		const holder = new NewHolder(['here', 'back']);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]}, 5);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: {openStarts: {back: 700}, unknownForMs: 0, unlistedForMs: 0}}, 10);
		holder.report('here', 15);
		holder.list(30, ['back']);
		// The platform lists no machines meanwhile.
		const early = [50, 400, 800, 1200].flatMap(nowMs => holder.dispatch({type: 'tick'}, nowMs));
		expect(early.filter(({type}) => type === 'start')).toEqual([]);
		holder.list(1300, ['back']);
		const later = holder.dispatch({type: 'tick'}, 1350);
		expect(later.filter(({type}) => type === 'start')).toHaveLength(1);
	});
});

describe('a hand-over that has begun', () => {
	const begin = (): NewHolder => {
		const holder = new NewHolder(['here', 'there']);
		holder.dispatch({type: 'leaseWon', fencingToken: 5, note: noteNaming()}, 10);
		holder.report('here', 15);
		holder.report('there', 15);
		holder.list(20);
		holder.dispatch({type: 'tick'}, 50);
		expect(holder.state.isSettled).toBe(true);
		return holder;
	};

	test('starts nothing until it is cancelled', () => {
		const holder = begin();
		holder.dispatch({type: 'handoverBegun', fencingToken: 5}, 60);
		holder.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobOf(1, {steps: [stepOf({taskCount: 1})]}))]}, 65);
		const startsOf = (effects: readonly SchedulerEffect[]): readonly SchedulerEffect[] => effects.filter(({type}) => type === 'start');
		expect([75, 100, 125].flatMap(nowMs => startsOf(holder.dispatch({type: 'tick'}, nowMs)))).toEqual([]);
		holder.dispatch({type: 'handoverCancelled', fencingToken: 5}, 130);
		expect(startsOf(holder.dispatch({type: 'tick'}, 150))).toHaveLength(1);
	});

	test('is not complete before the progress of a wave is stored', () => {
		const holder = begin();
		holder.dispatch({
			type: 'wavesOrdered', waves: [{
				waveId: 1, machineIds: ['m-here', 'm-there'], withinMs: 60_000, concurrency: 1,
			}],
		}, 55);
		const order = holder.dispatch({type: 'tick'}, 75).find(effect => effect.type === 'maintain');
		expect(order).toBeDefined();
		holder.dispatch({type: 'handoverBegun', fencingToken: 5}, 80);
		if (order?.type === 'maintain') {
			holder.dispatch({
				type: 'machineAnswered', fencingToken: 5, machineId: order.machineId, orderNumber: order.orderNumber, answer: 'accepted',
			}, 90);
		}

		expect(isProgressStored(holder.state, 90)).toBe(false);
		holder.dispatch({type: 'tick'}, 100);
		expect(isProgressStored(holder.state, 100)).toBe(false);
		holder.dispatch({type: 'saved', fencingToken: 5, saveNumber: holder.state.pendingSaveNumber!}, 105);
		expect(isProgressStored(holder.state, 105)).toBe(true);
	});

	test('is cancelled by a holder that yields if its progress is not stored in time', async () => {
		const simulation = new SchedulerSimulation({
			seed: 58, processes: 4, workersPerPool: 8, standbyMachines: 0, successors: 4,
		});
		simulation.configure(configurationWithoutStandby(2));
		simulation.arePollsAnsweredAtEnds = true;
		simulation.fleet.behaviour.runMs = taskKey => 1000 + (10 * Number(taskKey.split('.').at(-1)));
		await simulation.run(takeoverMs);
		void simulation.submit(jobOf(1, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 600})]}), simulation.holder);
		await simulation.run(1500);
		const former = simulation.holder!;
		const {state} = former.scheduler;
		former.table.latencyMs = 1600;
		for (const {name} of simulation.processes.filter(process => process !== former)) {
			simulation.cpuMillicores.set(name, 1350);
		}

		await simulation.run(3600);
		const token = state.term?.fencingToken;
		simulation.close();
		expect(token).toBeDefined();
		expect(state.isHandingOver).toBe(false);
	});
});
