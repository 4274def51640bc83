/**
Days with faults drawn from a seed, played against the real processes in virtual time, and what callers and workers see of them.
*/
import {assertNever, SeededRandom} from '@poplarnotch/common';
import {type JobSpec} from '../../src/index.js';
import {configurationOf, SchedulerWorld, takeOverMs} from './scheduler-world.js';
import {calmLatencyMs, type TableFaults} from './fake-table.js';
import {type HostClock} from './host-clock.js';
import {jobOf, lastingStepOf, stepOf} from './jobs.js';

/** Time for what was accepted to be done once the faults are over. */
const settleMs = 25_000;

/** How large the fleet of a day is. */
export type DaySize = {
	readonly processes: number;
	readonly workersPerPool: number;
	readonly standbyMachines: number;
};

export type Day = {
	readonly seed: number;
	readonly faults: readonly Fault[];
	/** The usual size where it is left out. */
	readonly size?: DaySize;
};

/** What a day showed. */
export type DayResult = {
	readonly brokenPromises: readonly string[];
	/** Share of the jobs handed in that were done within their objective. */
	readonly servedShare: number;
};

const usualSize: DaySize = {processes: 3, workersPerPool: 6, standbyMachines: 2};

/** Faults of the process that schedules. */
type HolderFault = 'kill-holder' | 'freeze-holder' | 'cut-holder' | 'clock-step';
type WorkerFault = 'crash-worker' | 'drain-worker';
type StoreFault = 'store-down' | 'store-slow' | 'lost-answers';
export type Fault = HolderFault | WorkerFault | StoreFault | 'late-orders' | 'wave' | 'kill-all' | 'burst';

export const faults: readonly Fault[] = [
	'kill-holder', 'freeze-holder', 'cut-holder', 'store-down', 'store-slow', 'lost-answers', 'late-orders', 'crash-worker', 'drain-worker', 'wave', 'kill-all', 'clock-step', 'burst',
];

/** Jobs that one customer hands in at once. */
const burstJobs = 12;

type Strike = {
	readonly fault: Fault;
	/** Counts the day's faults. */
	readonly number: number;
	readonly size: DaySize;
	/** Hands in so many jobs at once. */
	readonly handIn: (count: number) => void;
};

/** Sets a fault of every process's way to the store for some time. */
const disturbStores = (world: SchedulerWorld, faulty: Partial<TableFaults>, forMs: number): void => {
	for (const {table} of world.processes) {
		Object.assign(table, faulty);
		world.clock.schedule(forMs, () => {
			const fields = Object.keys(faulty) as Array<keyof TableFaults>;
			Object.assign(table, Object.fromEntries(fields.map(field => [field, calm[field]])));
		});
	}
};

const calm: TableFaults = {isDown: false, lostShare: 0, latencyMs: calmLatencyMs};

const killAll = (world: SchedulerWorld, size: DaySize): void => {
	for (const process of world.processes.filter(({clock}) => !clock.isDead)) {
		world.kill(process);
	}

	world.clock.schedule(1000, () => {
		for (let index = 0; index < size.processes; index++) {
			world.addProcess();
		}
	});
};

const stepClock = (world: SchedulerWorld, clock: HostClock): void => {
	const stepMs = world.random.next() < 0.5 ? 2000 : -2000;
	clock.stepWallClock(stepMs);
	world.clock.schedule(3000, () => {
		clock.stepWallClock(-stepMs);
	});
};

/** Strikes the process that schedules at present, where there is one. */
const strikeHolder = (world: SchedulerWorld, fault: HolderFault): void => {
	const {holder} = world;
	if (holder === undefined) {
		return;
	}

	switch (fault) {
		case 'kill-holder': {
			world.kill(holder);
			world.addProcess();
			break;
		}

		case 'freeze-holder': {
			holder.clock.freeze(1000 + (4000 * world.random.next()));
			break;
		}

		case 'cut-holder': {
			holder.table.isDown = true;
			world.clock.schedule(4000, () => {
				holder.table.isDown = false;
			});
			break;
		}

		case 'clock-step': {
			stepClock(world, holder.clock);
			break;
		}

		default: {
			assertNever(fault);
		}
	}
};

/** Fewer workers than this are left alone. */
const leastWorkers = 4;

const strikeWorker = (world: SchedulerWorld, fault: WorkerFault, draw: number): void => {
	const workers = [...world.fleet.workers.values()].filter(({isUp}) => isUp);
	const victim = workers[Math.floor(draw * workers.length)];
	if (victim === undefined || workers.length <= leastWorkers) {
		return;
	}

	if (fault === 'crash-worker') {
		world.crashWorker(victim.entry.workerId);
	} else {
		world.drainWorker(victim.entry.workerId);
	}
};

/** Lets one fault happen. */
const strike = (world: SchedulerWorld, {fault, number, size, handIn}: Strike): void => {
	// Drawn for every fault, so that the days of seeds that once failed stay the same.
	const victimDraw = world.random.next();
	switch (fault) {
		case 'kill-holder':
		case 'freeze-holder':
		case 'cut-holder':
		case 'clock-step': {
			strikeHolder(world, fault);
			break;
		}

		case 'crash-worker':
		case 'drain-worker': {
			strikeWorker(world, fault, victimDraw);
			break;
		}

		case 'store-down': {
			disturbStores(world, {isDown: true}, 3000);
			break;
		}

		case 'store-slow': {
			disturbStores(world, {latencyMs: 800}, 4000);
			break;
		}

		case 'lost-answers': {
			disturbStores(world, {lostShare: 0.3}, 2000);
			break;
		}

		case 'late-orders': {
			Object.assign(world.faults, {lostOrderShare: 0.1, lateOrderMs: 4000});
			world.clock.schedule(2000, () => {
				world.faults.lostOrderShare = 0;
			});
			break;
		}

		case 'kill-all': {
			killAll(world, size);
			break;
		}

		case 'burst': {
			handIn(burstJobs);
			break;
		}

		case 'wave': {
			world.orderWave({
				waveId: number, machineIds: [...world.machines.keys()].slice(0, 4), withinMs: 20_000, concurrency: 2,
			});
			break;
		}

		default: {
			assertNever(fault);
		}
	}
};

const objectiveMs = ({steps}: JobSpec): number => 600 + (2 * steps.reduce((sum, step) => sum + Math.max(step.estimateMs, longestRunMs), 0));

/** Tasks of the stand-in workers run for up to a second. */
const longestRunMs = 1000;

const upperLimit = {cpuMillicores: 20_000, memoryMb: 0, accelerators: 0};

/** One day's callers: hand jobs in, cancel some, and remember what was accepted. */
class Callers {
	readonly accepted: JobSpec[] = [];
	handedIn = 0;
	readonly #world: SchedulerWorld;

	constructor(world: SchedulerWorld) {
		this.#world = world;
	}

	handIn(count: number): void {
		for (let index = 0; index < count; index++) {
			this.handedIn++;
			void this.#submit(this.handedIn);
		}
	}

	cancelOne(): void {
		const world = this.#world;
		const target = this.accepted[Math.floor(world.random.next() * this.accepted.length)];
		if (target === undefined || world.random.next() >= 0.2 || !world.hasLivingProcess) {
			return;
		}

		world.fleet.cancelSent.add(target.jobId);
		void world.anyProcess().scheduler.desk.cancel(target.jobId, {queue: configurationOf(1).queues.get('draws')!, customer: ''}).then(result => {
			if (result === 'cancelled') {
				world.fleet.cancelledAtMs.set(target.jobId, world.clock.nowMs());
			}
		});
	}

	/** Jobs that ended in time, of all that were handed in and have an end of their own. */
	get servedShare(): number {
		const {jobs} = this.#world.anyProcess().scheduler.state;
		const inTime = this.accepted.filter(spec => {
			const endedWallMs = jobs.get(spec.jobId)?.endedWallMs;
			return isLasting(spec) || (endedWallMs !== undefined && endedWallMs - spec.acceptedWallMs <= objectiveMs(spec));
		});
		return inTime.length / Math.max(1, this.handedIn);
	}

	async #submit(number: number): Promise<void> {
		const acceptedWallMs = this.#world.clock.wallTimeMs();
		const job = number % 6 === 0
			? jobOf(number, {customer: '', acceptedWallMs, steps: [lastingStepOf()]})
			: jobOf(number, {acceptedWallMs, steps: [stepOf({taskCount: 1 + (number % 5)}), stepOf({taskCount: 2, after: [0]})]});
		if (this.#world.hasLivingProcess && await this.#world.submit(job)) {
			this.accepted.push(job);
		}
	}
}

const isLasting = ({steps}: JobSpec): boolean => steps[0]!.isLasting;

/** The outcome is stored, or every lasting task runs once. */
const isSettled = (world: SchedulerWorld, {jobId, steps}: JobSpec): boolean => {
	const taskKeys = Array.from({length: steps[0]!.taskCount}, (_value, index) => `${jobId}.0.0.${index}`);
	return world.anyProcess().scheduler.state.jobs.get(jobId)?.isOutcomeStored === true
		|| (steps[0]!.isLasting && taskKeys.every(key => world.fleet.runsOf(key) === 1));
};

/** Plays a day: four jobs and then a fault, by turns, and time to settle in the end. */
export const playDay = async ({seed, faults: drawn, size = usualSize}: Day): Promise<DayResult> => {
	const world = new SchedulerWorld({seed, failShare: 0.03, ...size});
	world.fleet.upperLimits.set('altan', upperLimit);
	world.configure(configurationOf(2, {customers: new Map([['altan', {name: 'altan', weight: 1, upperLimit}]])}));
	await world.run(takeOverMs);
	const callers = new Callers(world);
	for (const [index, fault] of drawn.entries()) {
		for (let number = 0; number < 4; number++) {
			callers.handIn(1);
			await world.run(400);
		}

		strike(world, {
			fault, number: index + 1, size, handIn(count) {
				callers.handIn(count);
			},
		});
		callers.cancelOne();
	}

	await world.run(settleMs);
	const unfinished = callers.accepted.filter(job => !isSettled(world, job)).map(({jobId}) => `unfinished: ${jobId}`);
	const unacknowledged = [...world.fleet.workers.values()].filter(worker => worker.isUp && worker.hasUnacknowledged)
		.map(worker => `ends not acknowledged: ${worker.entry.workerId}`);
	const waves = [...world.waveStates].filter(([, state]) => state !== 'completed').map(([waveId]) => `wave ${waveId} is not completed`);
	const {servedShare} = callers;
	world.close();
	return {brokenPromises: [...world.fleet.brokenPromises, ...unfinished, ...unacknowledged, ...waves], servedShare};
};

/** Chances that a drawn day has an unusual size. */
const drawSize = (random: SeededRandom): DaySize => {
	const draw = (least: number, most: number): number => least + Math.floor(random.next() * (most - least + 1));
	const kind = random.next();
	if (kind < 0.03) {
		return {processes: 30, workersPerPool: 60, standbyMachines: 10};
	}

	return kind < 0.3
		? {processes: draw(1, 8), workersPerPool: draw(4, 30), standbyMachines: draw(0, 6)}
		: usualSize;
};

/** The day that a seed stands for. */
export const drawDay = (seed: number): Day => {
	const random = new SeededRandom(seed);
	const count = 2 + Math.floor(random.next() * 6);
	const drawn = Array.from({length: count}, () => faults[Math.floor(random.next() * faults.length)]!);
	return {seed, faults: drawn, size: drawSize(random)};
};
