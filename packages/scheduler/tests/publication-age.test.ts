/**
Counts and loads that a lost holder published are not taken for present ones, whenever they are read.
*/
import {expect, test} from 'vitest';
import {MetricsRegistry, silentLogger, VirtualClock} from '@poplarnotch/common';
import {TableClock} from '@poplarnotch/state';
import {SchedulerState} from '../src/index.js';
import {type PublicationTimes, publicationWrites} from '../src/shell/published-queues.js';
import {QueuePublisher, type QueuePublisherOptions} from '../src/shell/queue-publisher.js';
import {jobOf, stepOf} from './support/jobs.js';
import {
	configurationWithoutStandby, pool, queueOf, SchedulerSimulation, takeoverMs,
} from './support/scheduler-simulation.js';

const jobCount = 40;
const firstJob = jobOf(1, {steps: [stepOf({taskCount: 16})]});
const target = {queue: queueOf(), customer: ''};

/** The users' limit: the share of the waiting jobs that a count may not fall below. */
const minShare = 0.5;

/** Time for which an answer is on its way. */
const answerDelayMs = 8000;

type Process = SchedulerSimulation['processes'][number];

/** A fleet whose workers are full, and whose holder has published that no job waits. */
const fullFleet = async (processes: number): Promise<SchedulerSimulation> => {
	const simulation = new SchedulerSimulation({
		seed: 8, processes, workersPerPool: 2, standbyMachines: 0,
	});
	simulation.fleet.behaviour.runMs = () => 60_000;
	simulation.configure(configurationWithoutStandby(2));
	await simulation.run(takeoverMs);
	void simulation.submit(firstJob);
	await simulation.run(3000);
	expect(simulation.fleet.starts).toHaveLength(16);
	return simulation;
};

const submitWaiting = async (simulation: SchedulerSimulation, process?: Process): Promise<void> => {
	const accepted = Promise.all(Array.from({length: jobCount}, async (_value, index) => simulation.submit(jobOf(100 + index, {steps: [stepOf({taskCount: 1})]}), process)));
	await simulation.run(40);
	expect(await accepted).toEqual(Array.from({length: jobCount}, () => true));
};

/** Asks each process again and again, and returns the counts that were answered, as shares of the jobs that had not begun when it was asked. */
const sharesOf = async (simulation: SchedulerSimulation, processes: readonly Process[], forMs: number): Promise<readonly number[]> => {
	const shares: number[] = [];
	for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 25) {
		const begun = new Set(simulation.fleet.starts.map(({taskKey}) => taskKey).filter(taskKey => !taskKey.startsWith(firstJob.jobId)));
		for (const {scheduler} of processes) {
			void scheduler.jobService.countPending(target).then(count => {
				shares.push(...(count === undefined ? [] : [count / (jobCount - begun.size)]));
			});
		}

		await simulation.run(25);
	}

	return shares;
};

const killAll = (simulation: SchedulerSimulation): void => {
	for (const process of simulation.processes) {
		simulation.kill(process);
	}
};

test('processes that start after all were lost count the jobs that wait, and list them once in 2 s for all callers', async () => {
	const simulation = await fullFleet(6);
	await submitWaiting(simulation);
	killAll(simulation);
	await simulation.run(6000);
	const started = Array.from({length: 5}, () => simulation.addProcess());
	const listings: string[] = [];
	for (const {direct} of started) {
		const listRows = direct.listRows.bind(direct);
		direct.listRows = async prefix => {
			listings.push(prefix);
			return listRows(prefix);
		};
	}

	const shares = await sharesOf(simulation, started, 4000);
	simulation.close();
	expect(shares.length).toBeGreaterThan(500);
	expect(Math.min(...shares)).toBeGreaterThanOrEqual(minShare);
	// Besides, the copy of each process that follows the rows begins with a listing.
	expect(listings.filter(prefix => prefix === 'jobs/').length).toBeLessThanOrEqual(started.length * 3);
});

test('a process that receives a publication long after it was made counts the jobs that wait', async () => {
	const simulation = await fullFleet(5);
	const {holder} = simulation;
	const outsider = simulation.processes.find(({scheduler}) => scheduler.state.jobs.size === 0)!;
	const waitForChanges = outsider.direct.waitForChanges.bind(outsider.direct);
	let isDelayed = false;
	outsider.direct.waitForChanges = async (prefix, ...rest) => {
		const page = await waitForChanges(prefix, ...rest);
		const publishes = page.changes.some(({key}) => key.startsWith('control/pending/'));
		if (publishes && !isDelayed) {
			isDelayed = true;
			await outsider.clock.wait(answerDelayMs);
		}

		return page;
	};

	await simulation.run(3000);
	expect(isDelayed).toBe(true);
	await submitWaiting(simulation, holder);
	const shares = await sharesOf(simulation, [outsider], answerDelayMs);
	simulation.close();
	expect(shares.length).toBeGreaterThan(50);
	expect(Math.min(...shares)).toBeGreaterThanOrEqual(minShare);
});

type Reading = {
	/** What the table service's clock shows when the publication is read. */
	readonly readAtTableMs: number;
	readonly times: PublicationTimes | undefined;
	/** Time for which the answer was on its way, and time since it arrived. */
	readonly transitMs?: number;
	readonly sinceMs?: number;
};

test.each<[string, Reading, {readonly counts: boolean; readonly loads: boolean}]>([
	['that was just made is used', {readAtTableMs: 50_000, times: {loadsAtMs: 49_900, jobsAtMs: 49_900}}, {counts: true, loads: true}],
	['is as old as what it counts, not as its rows', {readAtTableMs: 50_000, times: {loadsAtMs: 49_900, jobsAtMs: 46_900}}, {counts: false, loads: true}],
	['that a holder made before it was lost is not used', {readAtTableMs: 50_000, times: {loadsAtMs: 44_000, jobsAtMs: 44_000}}, {counts: false, loads: false}],
	['whose answer was long on its way is not used', {readAtTableMs: 50_000, times: {loadsAtMs: 49_900, jobsAtMs: 49_900}, transitMs: 4000}, {counts: false, loads: false}],
	['that was read long ago is not used', {readAtTableMs: 50_000, times: {loadsAtMs: 49_900, jobsAtMs: 49_900}, sinceMs: 3500}, {counts: false, loads: false}],
	['of unknown age is not used', {readAtTableMs: 50_000, times: undefined}, {counts: false, loads: false}],
	['of another run of the table service\'s clock is not used', {readAtTableMs: 1000, times: {loadsAtMs: 49_900, jobsAtMs: 49_900}}, {counts: false, loads: false}],
])('a publication %s', (_name, {readAtTableMs, times, transitMs = 0, sinceMs = 0}, {counts, loads}) => {
	const clock = new VirtualClock();
	const tableClock = new TableClock(clock);
	const publisher = new QueuePublisher({
		table: undefined as unknown as QueuePublisherOptions['table'], state: () => new SchedulerState(), tableClock, jobRowsConfirmedAtMs: () => undefined,
		maxRowBytes: 4000, clock, log: silentLogger, metrics: new MetricsRegistry(),
	});
	clock.advance(10_000);
	const sentAtMs = clock.nowMs();
	clock.advance(transitMs);
	tableClock.record({tableClockMs: readAtTableMs, sentAtMs});
	const load = {
		pool, priority: 0, drainMs: [60_000, 60_000, 60_000, 60_000, 60_000], overShare: [],
	};
	const writes = publicationWrites({jobsByQueue: new Map([['draws', 7]]), loads: [load], times}, {publication: '1.1', maxRowBytes: 4000, formerRows: 0}).flat();
	publisher.apply(writes.map(write => ({key: write.key, value: write.type === 'put' ? write.value : undefined, version: 1})));
	clock.advance(sinceMs);
	expect(publisher.pendingByQueue()?.get('draws')).toBe(counts ? 7 : undefined);
	expect(publisher.loadOf(queueOf())).toEqual(loads ? load : undefined);
});
