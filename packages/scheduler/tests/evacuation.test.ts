/**
Evacuation of data centres. Each test guards against starts in a data centre after an operator has ordered its evacuation, or against damage that the evacuation itself would do.
*/
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {reduceScheduler, SchedulerState} from '../src/index.js';
import {jobOf, lastingStepOf, stepOf} from './support/jobs.js';
import {
	configurationOf, configurationWithoutStandby, maxOrdersAgeMs, pool, SchedulerSimulation, standbyPool, takeoverMs,
} from './support/scheduler-simulation.js';

/** Time within which a running holder applies an order. */
const effectiveMs = 600;

let simulation: SchedulerSimulation;

const options = {
	seed: 23, processes: 3, workersPerPool: 6, standbyMachines: 4, dataCentres: ['north', 'south'],
};

beforeEach(() => {
	simulation = new SchedulerSimulation(options);
});

afterEach(() => {
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const dataCentreOf = (workerId: string): string => simulation.fleet.workers.get(workerId)!.entry.dataCentre;

/** Returns the starts in the data centre from the given time on. */
const startsIn = (dataCentre: string, sinceMs: number): readonly string[] => simulation.fleet.starts
	.filter(({workerId, atMs}) => atMs >= sinceMs && dataCentreOf(workerId) === dataCentre)
	.map(({taskKey, workerId, atMs}) => `${Math.round(atMs)} ms: ${taskKey} on ${workerId}`);

let jobCount = 0;

/** Submits jobs that keep all workers busy, for the given time. */
const runUnderLoad = async (forMs: number, taskCount = 6): Promise<void> => {
	for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
		if (simulation.hasRunningProcess) {
			void simulation.submit(jobOf(++jobCount, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount})]}));
		}

		await simulation.run(100);
	}
};

test('nothing starts in an evacuated data centre until the order is withdrawn, and the work runs elsewhere', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnderLoad(1000);
	expect(startsIn('north', 0).length).toBeGreaterThan(0);
	simulation.orderEvacuation('north');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	await runUnderLoad(3000);
	expect(startsIn('north', effectiveAtMs)).toEqual([]);
	expect(startsIn('south', effectiveAtMs).length).toBeGreaterThan(0);
	simulation.orderEvacuation('north', false);
	await runUnderLoad(2000);
	expect(startsIn('north', effectiveAtMs).length).toBeGreaterThan(0);
});

test('machines of an evacuated data centre are not moved into a pool, those of others are', async () => {
	await simulation.run(takeoverMs);
	simulation.orderEvacuation('north');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	await runUnderLoad(4000);
	const arrived = simulation.moves.filter(({target, atMs}) => target === pool && atMs >= effectiveAtMs).map(({machineId}) => simulation.machines.get(machineId)!.entry.dataCentre);
	expect(arrived.length).toBeGreaterThan(0);
	expect(new Set(arrived)).toEqual(new Set(['south']));
});

test('idle machines of an evacuated data centre go to standby although their pool is busy', async () => {
	await simulation.run(takeoverMs);
	const poolsOfNorth = () => new Set([...simulation.machines.values()].filter(({entry}) => entry.dataCentre === 'north').map(({entry}) => entry.pool));
	await runUnderLoad(4000, 20);
	expect(poolsOfNorth()).toContain(pool);
	simulation.orderEvacuation('north');
	await runUnderLoad(5000, 20);
	expect(poolsOfNorth()).toEqual(new Set([standbyPool]));
});

test('an evacuation ordered right before the holder is killed holds for its successor from the first start on', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnderLoad(500);
	// The successors' calls that watch the operators' rows hang, so only a read at the takeover shows them the order.
	simulation.ordersConfirmMs = 60_000;
	await simulation.run(600);
	const successors = simulation.processes.filter(process => process !== simulation.holder);
	for (const {table} of successors) {
		table.isDown = true;
	}

	simulation.orderEvacuation('north');
	const orderedAtMs = simulation.clock.nowMs();
	simulation.kill(simulation.holder!);
	await runUnderLoad(2000);
	for (const {table} of successors) {
		table.isDown = false;
	}

	await runUnderLoad(8000);
	expect(startsIn('north', orderedAtMs)).toEqual([]);
	expect(startsIn('south', orderedAtMs).length).toBeGreaterThan(0);
});

test('an evacuation survives two takeovers', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.orderEvacuation('north');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	for (let takeover = 0; takeover < 2; takeover++) {
		simulation.kill(simulation.holder!);
		simulation.addProcess();
		await runUnderLoad(6000);
	}

	expect(startsIn('north', effectiveAtMs)).toEqual([]);
	expect(startsIn('south', effectiveAtMs).length).toBeGreaterThan(0);
});

/** Number of tasks of the jobs' first steps that serve. */
const servingCount = (): number => [...simulation.fleet.workers.values()]
	.reduce((sum, worker) => sum + [...worker.runs.values()].filter(run => run.step.isLasting && worker.isServing(run)).length, 0);

const lastingRunsIn = (dataCentre: string): number => [...simulation.fleet.workers.values()].filter(({entry, isUp}) => isUp && entry.dataCentre === dataCentre)
	.reduce((sum, worker) => sum + [...worker.runs.values()].filter(run => run.step.isLasting).length, 0);

const halfMachine = {cpuMillicores: 4000, memoryMb: 500, accelerators: 0};

/** Runs until the time is over and returns the smallest number of lasting tasks that served meanwhile. */
const fewestServing = async (forMs: number): Promise<number> => {
	let fewest = Number.POSITIVE_INFINITY;
	for (let passedMs = 0; passedMs < forMs; passedMs += 10) {
		await simulation.run(10);
		fewest = Math.min(fewest, servingCount());
	}

	return fewest;
};

const submitServices = (count: number, needs = halfMachine): void => {
	for (let number = 0; number < count; number++) {
		void simulation.submit(jobOf(++jobCount, {steps: [lastingStepOf({taskCount: 1, needs})]}));
	}
};

test('lasting tasks of many jobs that find a single free place are not all stopped for it', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	submitServices(11);
	await simulation.run(1500);
	expect(servingCount()).toBe(11);
	// Of twelve places, the free one is in the other data centre.
	const evacuated = lastingRunsIn('north') === 6 ? 'north' : 'south';
	simulation.orderEvacuation(evacuated);
	expect(await fewestServing(6000)).toBe(10);
	expect(servingCount()).toBe(11);
	expect(lastingRunsIn(evacuated)).toBe(5);
});

test('capacity for lasting tasks that fit nowhere is added elsewhere before they are stopped', async () => {
	await simulation.run(takeoverMs);
	submitServices(8);
	await simulation.run(6000);
	expect(servingCount()).toBe(8);
	const evacuated = lastingRunsIn('north') > 0 ? 'north' : 'south';
	simulation.orderEvacuation(evacuated);
	const fewest = await fewestServing(12_000);
	expect(lastingRunsIn(evacuated)).toBe(0);
	expect(servingCount()).toBe(8);
	expect(fewest).toBeGreaterThan(0);
});

test('capacity that is kept for a lasting task is not taken by ending tasks while its run is being stopped', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	submitServices(6, stepOf().needs);
	await runUnderLoad(3000, 20);
	const evacuated = lastingRunsIn('north') > 0 ? 'north' : 'south';
	simulation.orderEvacuation(evacuated);
	await runUnderLoad(12_000, 20);
	expect(lastingRunsIn(evacuated)).toBe(0);
	const startedAgainAfterMs = simulation.fleet.stops.filter(({atMs}) => atMs >= takeoverMs).map(({taskKey, atMs}) =>
		simulation.fleet.starts.find(start => start.taskKey === taskKey && start.atMs > atMs)!.atMs - atMs);
	expect(startedAgainAfterMs.length).toBeGreaterThan(0);
	expect(Math.max(...startedAgainAfterMs)).toBeLessThan(300);
});

test('ending tasks finish where they run, with checkpoints as well', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	void simulation.submit(jobOf(++jobCount, {steps: [stepOf({taskCount: 40, isCheckpointing: true})]}));
	await simulation.run(100);
	simulation.orderEvacuation('north');
	await simulation.run(3000);
	expect(simulation.fleet.stops).toEqual([]);
	expect(simulation.fleet.starts.length).toBe(40);
});

test('an order that is withdrawn while lasting tasks are relocated leaves the others where they are', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	void simulation.submit(jobOf(++jobCount, {steps: [lastingStepOf({taskCount: 6})]}));
	await simulation.run(1500);
	expect(lastingRunsIn('north')).toBe(3);
	void simulation.submit(jobOf(++jobCount, {steps: [lastingStepOf({taskCount: 6, mayMiss: 1, maxPerWorker: 2})]}));
	await simulation.run(1500);
	const before = lastingRunsIn('north');
	simulation.orderEvacuation('north');
	for (let passedMs = 0; passedMs < 3000 && simulation.fleet.stops.length === 0; passedMs += 5) {
		await simulation.run(5);
	}

	simulation.orderEvacuation('north', false);
	await simulation.run(3000);
	expect(simulation.fleet.stops.length).toBe(1);
	expect(lastingRunsIn('north')).toBeGreaterThanOrEqual(before - 1);
	expect(servingCount()).toBe(12);
});

const loggedEvents = (): readonly string[] => simulation.logged.map(({event, dataCentre}) => dataCentre === undefined ? event : `${event} ${String(dataCentre)}`);

test('a wave maintains the machines of an evacuated data centre first and completes although a rack is lost meanwhile', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnderLoad(1000);
	simulation.orderEvacuation('north');
	// Without load, the machines elsewhere are idle as well.
	await simulation.run(2500);
	const effectiveAtMs = simulation.clock.nowMs();
	simulation.orderWave({
		waveId: 1, machineIds: ['m-5', 'm-4', 'm-3', 'm-2', 'm-1', 'm-0'], withinMs: 60_000, concurrency: 1,
	});
	await simulation.run(100);
	await runUnderLoad(2500);
	simulation.loseRack('r-south-0');
	await runUnderLoad(20_000);
	expect(simulation.maintenanceOrder.slice(0, 3).toSorted((a, b) => a < b ? -1 : 1)).toEqual(['m-0', 'm-2', 'm-4']);
	expect(simulation.waveStates.get(1)).toBe('completed');
	expect(startsIn('north', effectiveAtMs)).toEqual([]);
});

test('a wave over all machines and the evacuation of lasting tasks do not wait for each other', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	void simulation.submit(jobOf(++jobCount, {steps: [lastingStepOf({taskCount: 4, maxPerWorker: 2})]}));
	await simulation.run(1500);
	expect(lastingRunsIn('north')).toBeGreaterThan(0);
	simulation.orderEvacuation('north');
	simulation.orderWave({
		waveId: 1, machineIds: [...simulation.machines.keys()].filter(machineId => machineId.startsWith('m-')), withinMs: 60_000, concurrency: 1,
	});
	// The first maintained machine returns later than that, so all workers elsewhere are still due for maintenance.
	await simulation.run(2000);
	expect(lastingRunsIn('north')).toBe(0);
	await simulation.run(40_000);
	expect(simulation.waveStates.get(1)).toBe('completed');
});

test('a cold worker gets work only once the warm ones are full, until it reports that it is warm', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.coolWorkers('north', 3000);
	await simulation.run(50);
	const submit = async (taskCount: number): Promise<number> => {
		const fromMs = simulation.clock.nowMs();
		void simulation.submit(jobOf(++jobCount, {steps: [stepOf({taskCount}), stepOf({taskCount, after: [0], isFilling: true})]}));
		await simulation.run(4000);
		return startsIn('north', fromMs).length;
	};

	expect(await submit(24)).toBe(0);
	expect(await submit(30)).toBeGreaterThan(0);
	simulation.coolWorkers('north', 0);
	simulation.coolWorkers('south', 3000);
	await simulation.run(50);
	expect(await submit(24)).toBe(48);
});

test('a holder that cannot confirm the operators\' rows starts nothing once they are too old, unless the store is unavailable for every process', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.ordersConfirmMs = 60_000;
	// The last regular confirmation.
	await simulation.run(500);
	await runUnderLoad(maxOrdersAgeMs + 100);
	const withheldFromMs = simulation.clock.nowMs();
	await runUnderLoad(1500);
	const startsSince = (sinceMs: number) => simulation.fleet.starts.filter(({atMs}) => atMs >= sinceMs).length;
	expect(startsSince(withheldFromMs)).toBe(0);
	expect(loggedEvents()).toContain('starts_withheld');
	simulation.hasOutageEvidence = true;
	await runUnderLoad(1000);
	expect(startsSince(withheldFromMs)).toBeGreaterThan(0);
	// The evidence counts as a confirmation up to its end.
	simulation.hasOutageEvidence = false;
	const endedAtMs = simulation.clock.nowMs();
	await runUnderLoad(1000);
	expect(startsSince(endedAtMs)).toBeGreaterThan(0);
});

test.each([0, 600])('a holder that was frozen while the evacuation was ordered, or its successor, reads the order before it starts anything (failure detection after %i ms)', async failureDetectionMs => {
	simulation.close();
	simulation = new SchedulerSimulation({...options, failureDetectionMs});
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.ordersConfirmMs = 60_000;
	await runUnderLoad(1000);
	const {holder} = simulation;
	holder!.clock.freeze(1500);
	await simulation.run(50);
	simulation.orderEvacuation('north');
	const orderedAtMs = simulation.clock.nowMs();
	// The answer that would tell the holder of the order is lost when it wakes.
	holder!.table.isDown = true;
	await simulation.run(1550);
	holder!.table.isDown = false;
	await runUnderLoad(3000);
	// Without failure detection, a pause of this length leaves the lease with its holder.
	expect(simulation.holder === holder).toBe(failureDetectionMs === 0);
	expect(startsIn('north', orderedAtMs + 50)).toEqual([]);
	expect(startsIn('south', orderedAtMs + 50).length).toBeGreaterThan(0);
});

test('two data centres are evacuated in turn', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	for (const [evacuated, serving] of [['north', 'south'], ['south', 'north']] as const) {
		simulation.orderEvacuation(evacuated);
		simulation.orderEvacuation(serving, false);
		await simulation.run(effectiveMs);
		const effectiveAtMs = simulation.clock.nowMs();
		await runUnderLoad(2000);
		expect(startsIn(evacuated, effectiveAtMs)).toEqual([]);
		expect(startsIn(serving, effectiveAtMs).length).toBeGreaterThan(0);
	}

	await simulation.run(3000);
	expect(loggedEvents()).toEqual(expect.arrayContaining(['evacuation_started north', 'evacuation_empty north', 'evacuation_ended north', 'evacuation_started south', 'evacuation_empty south']));
});

test('an order that is written while the store rejects half of the processes, the holder among them, holds within the bound', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	await runUnderLoad(500);
	const first = simulation.holder!;
	first.table.isDown = true;
	simulation.processes.find(process => process !== first)!.table.isDown = true;
	simulation.orderEvacuation('north');
	const boundAtMs = simulation.clock.nowMs() + 5000;
	await runUnderLoad(9000);
	expect(startsIn('north', boundAtMs)).toEqual([]);
	expect(startsIn('south', boundAtMs).length).toBeGreaterThan(0);
});

test('with every data centre evacuated, jobs are accepted and wait until an order is withdrawn', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.orderEvacuation('north');
	simulation.orderEvacuation('south');
	await simulation.run(effectiveMs);
	const job = jobOf(++jobCount, {steps: [stepOf()]});
	const accepted = simulation.submit(job);
	await simulation.run(2000);
	expect(await accepted).toBe(true);
	expect(simulation.fleet.starts).toEqual([]);
	expect(loggedEvents()).toContain('evacuation_of_all_data_centres');
	simulation.orderEvacuation('south', false);
	await simulation.run(3000);
	expect(simulation.fleet.isDone(`${job.jobId}.0.0.0`)).toBe(true);
});

test('the evacuation of an unknown data centre is logged and changes nothing', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	simulation.orderEvacuation('nowhere');
	await simulation.run(effectiveMs);
	const effectiveAtMs = simulation.clock.nowMs();
	await runUnderLoad(1000);
	expect(loggedEvents()).toEqual(['evacuation_unknown nowhere']);
	expect(simulation.holder!.scheduler.dump()).toMatchObject({evacuations: [{dataCentre: 'nowhere', isKnown: false}]});
	for (const dataCentre of ['north', 'south']) {
		expect(startsIn(dataCentre, effectiveAtMs).length).toBeGreaterThan(0);
	}
});

test('progress is logged at most once a second while many tasks end', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	void simulation.submit(jobOf(++jobCount, {steps: [stepOf({taskCount: 48})]}));
	await simulation.run(100);
	simulation.orderEvacuation('north');
	await simulation.run(950);
	expect(loggedEvents()).toEqual(['evacuation_started north', 'evacuation_progress north']);
	await simulation.run(1500);
	expect(loggedEvents().at(-1)).toBe('evacuation_empty north');
});

test('the log of the progress names what blocks lasting tasks', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	submitServices(11);
	await simulation.run(1500);
	const evacuated = lastingRunsIn('north') === 6 ? 'north' : 'south';
	simulation.orderEvacuation(evacuated);
	await simulation.run(4000);
	const progress = simulation.logged.filter(({event}) => event === 'evacuation_progress');
	expect(progress.at(-1)).toMatchObject({
		dataCentre: evacuated, endingRuns: 0, lastingRuns: 5, withoutRoom: 5, waitingForStep: 0,
	});
});

test('a gang with members in an evacuated data centre finishes where it runs, and the next one starts elsewhere', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	const gangOf = (taskCount: number) => jobOf(++jobCount, {steps: [stepOf({taskCount, isGang: true, needs: halfMachine})]});
	const first = gangOf(8);
	void simulation.submit(first);
	await simulation.run(60);
	expect(startsIn('north', 0).length).toBeGreaterThan(0);
	expect(startsIn('south', 0).length).toBeGreaterThan(0);
	simulation.orderEvacuation('north');
	const orderedAtMs = simulation.clock.nowMs();
	const second = gangOf(6);
	await simulation.run(50);
	void simulation.submit(second);
	await simulation.run(4000);
	expect(simulation.fleet.starts.filter(({taskKey}) => taskKey.startsWith(first.jobId)).length).toBe(8);
	const {jobs} = simulation.holder!.scheduler.state;
	expect([first, second].map(({jobId}) => jobs.get(jobId)!.outcome)).toEqual(['completed', 'completed']);
	expect(startsIn('north', orderedAtMs + 20)).toEqual([]);
});

test('a trial that was planned on a worker of the data centre is not started there any more', async () => {
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	let crashCount = 0;
	simulation.fleet.behaviour.crashesAfterMs = taskKey => taskKey.endsWith('.0.0.0') && crashCount === 0 ? 10 : undefined;
	const job = jobOf(++jobCount, {steps: [stepOf({taskCount: 1})]});
	void simulation.submit(job);
	for (let waitedMs = 0; simulation.fleet.crashes.size === 0 && waitedMs < 3000; waitedMs += 5) {
		await simulation.run(5);
	}

	crashCount = 1;
	const trials = () => [...simulation.holder!.scheduler.state.trials];
	for (let waitedMs = 0; trials().length === 0 && waitedMs < 9000; waitedMs += 5) {
		await simulation.run(5);
	}

	// The save that the trial waits for is delayed until the order is known.
	const evacuated = trials()[0]!.workers[0]!.entry.dataCentre;
	simulation.holder!.table.latencyMs = 200;
	simulation.orderEvacuation(evacuated);
	await simulation.run(120);
	simulation.holder!.table.latencyMs = 4;
	const knownAtMs = simulation.clock.nowMs();
	await simulation.run(6000);
	expect(startsIn(evacuated, knownAtMs)).toEqual([]);
	expect(simulation.fleet.isDone(`${job.jobId}.0.0.0`)).toBe(true);
});

test('a move into a pool whose outcome is unknown is not repeated once its data centre is evacuated', () => {
	const state = new SchedulerState();
	const at = (nowMs: number) => ({nowMs, wallMs: nowMs});
	reduceScheduler(state, {type: 'configured', configuration: configurationOf(1), ...at(1)});
	reduceScheduler(state, {type: 'leaseWon', fencingToken: 1, ...at(2)});
	reduceScheduler(state, {
		type: 'machinesListed', sentAtMs: 3, ...at(3), machines: ['north', 'south'].map(dataCentre => ({
			machineId: dataCentre, pool: standbyPool, dataCentre, state: 'up', capacity: halfMachine, workerId: undefined,
		})),
	});
	for (const machine of state.machines.values()) {
		machine.order = {
			type: 'move', waveId: undefined, pool, orderNumber: 1, firstSentAtMs: 3, endsIncarnation: undefined, formerPool: standbyPool, phase: 'retry', answeredAtMs: 4,
		};
	}

	reduceScheduler(state, {type: 'evacuationsOrdered', dataCentres: ['north'], ...at(5)});
	const {effects} = reduceScheduler(state, {type: 'tick', ...at(2000)});
	expect(effects.flatMap(effect => effect.type === 'move' ? effect.machineId : [])).toEqual(['south']);
	expect(state.machines.get('north')!.order).toBeUndefined();
});
