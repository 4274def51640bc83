/**
Compares demand forecasts for pools on the load of queues that burst in turn, against the scheduler's reducer in virtual time and without sockets. Options: forecast, order of the bursts (`stable`, `random`, or `ramp`), seed.

Each pool's queue asks for five times its mean for 5 s and for a twentieth in between; a move takes 1.5 s, and a maintenance wave runs during the second round of bursts. With `ramp`, each queue has a single burst of 8 s that rises for 2.5 s, so that there is nothing to learn from. Prints starts in the first second of a burst, the share of jobs in time, machine seconds in pools and moves.
*/
import {assertNever, SeededRandom, VirtualClock} from '@poplarnotch/common';
import {
	type FleetConfiguration, type JobSpec, type MachineEntry, type PoolForecastName, reduceScheduler, type SchedulerEffect, type SchedulerEvent, SchedulerState, type WorkerEntry,
} from '@poplarnotch/scheduler';

const poolCount = 5;
const machinesPerPool = 50;
const taskMillicores = 8000;
const capacity = {cpuMillicores: 32_000, memoryMb: 64_000, accelerators: 0};

/** Mean rate of each queue, which keeps about a fifth of all machines busy during the burst of one queue. */
const meanJobsPerSecond = 8;
const burstFactor = 5;
const quietFactor = 1 / 20;
const repeatedBurstMs = 5000;
const roundsOfBursts = 4;
const singleBurstMs = 8000;
const rampMs = 2500;
/** Time for the last jobs to end. */
const drainMs = 10_000;

const roundMs = 25;
const answerMs = 5;
const pollPauseMs = 30;
const busyPollMs = 500;
const listIntervalMs = 400;
const moveMs = 1500;
const maintenanceMs = 3000;
const wave = {
	waveId: 1, withinMs: 25_000, concurrency: 12, machineCount: 45, orderedAtMs: poolCount * repeatedBurstMs,
};

const poolName = (index: number): string => `pool-${index}`;
const standby = 'standby';

const configuration: FleetConfiguration = {
	version: 1,
	routes: [],
	customerByKey: new Map(),
	limits: {
		bodyBytes: 0, headerBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
	},
	queues: new Map(Array.from({length: poolCount}, (_value, index) => [poolName(index), {
		name: poolName(index), pool: poolName(index), priority: 0, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 600, isPublic: true, needsAdvice: false,
	}])),
	pools: new Map([...Array.from({length: poolCount}, (_value, index) => poolName(index)), standby]
		.map(name => [name, {name, isStandby: name === standby, enforcesCapacity: false}])),
	customers: new Map(),
};

/** Body of an event without its time. */
type EventBody = SchedulerEvent extends infer Event ? Event extends SchedulerEvent ? Omit<Event, 'nowMs' | 'wallMs'> : never : never;

type ModelRun = {readonly taskKey: string; readonly attempt: number; readonly endsAtMs: number};

type ModelWorker = {
	readonly entry: WorkerEntry;
	readonly runs: Map<string, ModelRun>;
	sequence: number;
	finished: Array<{readonly taskKey: string; readonly attempt: number; readonly sequence: number}>;
	isPollDue: boolean;
	lastPollAtMs: number;
	isGone: boolean;
};

type Results = {
	readonly startsInFirstSecond: number[];
	jobs: number;
	jobsInTime: number;
	machineSeconds: number;
	moves: number;
	waveTookMs: number | undefined;
};

class PoolModel {
	readonly results: Results = {
		startsInFirstSecond: [], jobs: 0, jobsInTime: 0, machineSeconds: 0, moves: 0, waveTookMs: undefined,
	};

	readonly #clock = new VirtualClock();
	readonly #random: SeededRandom;
	/** Arrivals are drawn apart from run times, so that they are the same for each forecast. */
	readonly #arrivals: SeededRandom;
	readonly #state: SchedulerState;
	readonly #order: string;
	readonly #burstMs: number;
	readonly #playMs: number;
	readonly #machines = new Map<string, MachineEntry>();
	readonly #workers = new Map<string, ModelWorker>();
	readonly #specs = new Map<string, JobSpec>();
	#workerCount = 0;
	#bursting = 0;
	#burstBeganAtMs = 0;
	#isListingChanged = false;

	constructor(forecast: PoolForecastName, order: string, seed: number) {
		this.#random = new SeededRandom(seed);
		this.#arrivals = new SeededRandom(seed + 1000);
		this.#order = order;
		this.#burstMs = order === 'ramp' ? singleBurstMs : repeatedBurstMs;
		this.#playMs = poolCount * this.#burstMs * (order === 'ramp' ? 1 : roundsOfBursts);
		this.#state = new SchedulerState(undefined, forecast);
		for (let index = 0; index < poolCount * machinesPerPool; index++) {
			this.#machines.set(`m-${index}`, {
				machineId: `m-${index}`, pool: poolName(index % poolCount), dataCentre: 'dc', state: 'up', capacity, workerId: undefined,
			});
			this.#boot(`m-${index}`);
		}
	}

	run(): void {
		this.#dispatch({type: 'configured', configuration});
		this.#listWorkers();
		this.#dispatch({type: 'leaseWon', fencingToken: 1});
		for (let nowMs = 0; nowMs < this.#playMs + drainMs; nowMs += 5) {
			this.#clock.advance(5);
			if (nowMs % listIntervalMs === 0) {
				this.#dispatch({type: 'machinesListed', machines: [...this.#machines.values()], sentAtMs: this.#clock.nowMs()});
			}

			if (nowMs < this.#playMs) {
				this.#submit(nowMs);
			}

			if (nowMs === wave.orderedAtMs) {
				const machineIds = Array.from({length: wave.machineCount}, (_value, index) => `m-${index * 5}`);
				this.#dispatch({type: 'wavesOrdered', waves: [{...wave, machineIds}]});
			}

			this.#advanceWorkers();
			if (nowMs % roundMs === 0) {
				this.#round();
			}
		}

		this.#countJobs();
	}

	#now(): {readonly nowMs: number; readonly wallMs: number} {
		return {nowMs: this.#clock.nowMs(), wallMs: this.#clock.nowMs()};
	}

	#dispatch(event: EventBody): void {
		for (const effect of reduceScheduler(this.#state, {...event, ...this.#now()}).effects) {
			this.#perform(effect);
		}
	}

	#round(): void {
		this.#dispatch({type: 'tick'});
		const inPools = [...this.#machines.values()].filter(({pool}) => pool !== standby).length;
		this.results.machineSeconds += this.#clock.nowMs() < this.#playMs ? inPools * roundMs / 1000 : 0;
	}

	#perform(effect: SchedulerEffect): void {
		switch (effect.type) {
			case 'start': {
				if (effect.taskKey.startsWith(`${this.#bursting}`) && this.#clock.nowMs() < this.#burstBeganAtMs + 1000) {
					this.results.startsInFirstSecond.push(this.results.startsInFirstSecond.pop()! + 1);
				}

				this.#clock.schedule(answerMs, () => {
					const worker = this.#workers.get(effect.workerId)!;
					worker.runs.set(effect.taskKey, {taskKey: effect.taskKey, attempt: effect.attempt, endsAtMs: this.#clock.nowMs() + 500 + (500 * this.#random.next())});
					this.#dispatch({
						type: 'startAnswered', fencingToken: 1, workerId: effect.workerId, taskKey: effect.taskKey, attempt: effect.attempt, answer: worker.isGone ? 'wrong-worker' : 'started',
					});
				});
				break;
			}

			case 'save': {
				this.#clock.schedule(answerMs, () => {
					this.#dispatch({type: 'saved', fencingToken: 1, saveNumber: effect.save.saveNumber});
				});
				break;
			}

			case 'readRevision': {
				this.#clock.schedule(answerMs, () => {
					this.#dispatch({type: 'revisionRead', fencingToken: 1, revision: 0});
				});
				break;
			}

			case 'move':
			case 'maintain': {
				this.#clock.schedule(answerMs, () => {
					this.#orderMachine(effect);
				});
				break;
			}

			case 'reportWave': {
				this.results.waveTookMs = this.#clock.nowMs() - wave.orderedAtMs;
				break;
			}

			case 'count':
			case 'endsStored':
			case 'log':
			case 'logDone':
			case 'pace':
			case 'recordEnds':
			case 'requestAdvice':
			case 'scheduleSave':
			case 'stepDown':
			case 'stop': {
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#orderMachine(effect: Extract<SchedulerEffect, {readonly type: 'move' | 'maintain'}>): void {
		const machine = this.#machines.get(effect.machineId)!;
		if (machine.state !== 'up') {
			this.#dispatch({
				type: 'machineAnswered', fencingToken: 1, machineId: effect.machineId, orderNumber: effect.orderNumber, answer: 'busy',
			});
			return;
		}

		if (machine.workerId !== undefined) {
			this.#workers.get(machine.workerId)!.isGone = true;
			this.#workers.delete(machine.workerId);
			this.#isListingChanged = true;
		}

		this.results.moves += effect.type === 'move' ? 1 : 0;
		this.#machines.set(effect.machineId, {
			...machine, state: effect.type === 'move' ? 'moving' : 'maintenance', pool: effect.type === 'move' ? effect.pool : machine.pool, workerId: undefined,
		});
		this.#clock.schedule(effect.type === 'move' ? moveMs : maintenanceMs, () => {
			this.#boot(effect.machineId);
		});
		this.#dispatch({
			type: 'machineAnswered', fencingToken: 1, machineId: effect.machineId, orderNumber: effect.orderNumber, answer: 'accepted',
		});
	}

	#boot(machineId: string): void {
		const machine = this.#machines.get(machineId)!;
		if (machine.pool === standby) {
			this.#machines.set(machineId, {...machine, state: 'up'});
			return;
		}

		const workerId = `w-${this.#workerCount++}`;
		this.#machines.set(machineId, {...machine, state: 'up', workerId});
		this.#workers.set(workerId, {
			entry: {
				workerId, pool: machine.pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: ['a'], rack: `r-${Number(machineId.slice(2)) % 40}`, bornWallMs: 1, coldLeftMs: 0,
			},
			runs: new Map(), sequence: 0, finished: [], isPollDue: true, lastPollAtMs: Number.NEGATIVE_INFINITY, isGone: false,
		});
		this.#isListingChanged = true;
	}

	#listWorkers(): void {
		this.#isListingChanged = false;
		this.#dispatch({type: 'workersListed', workers: [...this.#workers.values()].map(({entry}) => entry)});
	}

	#advanceWorkers(): void {
		if (this.#isListingChanged) {
			this.#listWorkers();
		}

		const nowMs = this.#clock.nowMs();
		for (const worker of this.#workers.values()) {
			for (const run of worker.runs.values()) {
				if (nowMs >= run.endsAtMs) {
					worker.runs.delete(run.taskKey);
					worker.sequence++;
					worker.finished.push({taskKey: run.taskKey, attempt: run.attempt, sequence: worker.sequence});
					worker.isPollDue = true;
				}
			}

			if (nowMs - worker.lastPollAtMs >= (worker.isPollDue ? pollPauseMs : busyPollMs)) {
				this.#report(worker);
			}
		}
	}

	#report(worker: ModelWorker): void {
		const nowMs = this.#clock.nowMs();
		const finished = worker.finished.map(entry => ({...entry, end: 'done' as const, checkpoint: ''}));
		worker.finished = [];
		worker.isPollDue = false;
		worker.lastPollAtMs = nowMs;
		this.#dispatch({
			type: 'polled', fencingToken: 1, workerId: worker.entry.workerId, incarnation: this.#state.workers.get(worker.entry.workerId)!.incarnation, sentAtMs: nowMs - 1, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: nowMs, bornWallMs: 1, finished, running: [...worker.runs.values()].map(({taskKey, attempt}) => ({
						taskKey, attempt, checkpoint: '', percent: 0, figure: 0,
					})),
				},
			},
		});
	}

	#submit(nowMs: number): void {
		if (nowMs % this.#burstMs === 0) {
			const next = (this.#bursting + 1) % poolCount;
			this.#bursting = this.#order === 'random' ? (next + Math.floor(this.#arrivals.next() * (poolCount - 1))) % poolCount : next;
			this.#burstBeganAtMs = this.#clock.nowMs();
			this.results.startsInFirstSecond.push(0);
		}

		const rise = this.#order === 'ramp' ? Math.min(1, (nowMs % this.#burstMs) / rampMs) : 1;
		for (let pool = 0; pool < poolCount; pool++) {
			const perStep = meanJobsPerSecond * (pool === this.#bursting ? Math.max(quietFactor, burstFactor * rise) : quietFactor) * 5 / 1000;
			if (this.#arrivals.next() < perStep) {
				this.#submitJob(pool);
			}
		}
	}

	#submitJob(pool: number): void {
		const stepCount = this.#arrivals.next() < 0.6 ? 2 : 1;
		const estimateMs = 750 * (0.5 + this.#arrivals.next());
		const job: JobSpec = {
			jobId: `${pool}${this.#specs.size.toString(16).padStart(15, '0')}`, queue: poolName(pool), customer: '', payload: '', recurrence: {count: 0, firstDueWallMs: 0, periodMs: 0}, acceptedWallMs: this.#clock.nowMs(),
			steps: Array.from({length: stepCount}, (_value, step) => ({
				taskCount: 8, needs: {cpuMillicores: taskMillicores, memoryMb: 3000, accelerators: 0}, estimateMs, after: step === 0 ? [] : [0], isCheckpointing: false, isGang: false, prefersOneRack: false, requiredLabel: '', dataRack: '', maxPerWorker: 0, isLasting: false, image: '', targetMs: 0, isFilling: false, mayMiss: 0,
			})),
		};
		this.#specs.set(job.jobId, job);
		this.#dispatch({
			type: 'jobsChanged', changes: [{
				type: 'accepted', job, rowKey: job.jobId, version: 1,
			}],
		});
	}

	/** A job is in time if it ends within its objective, of which the chain is taken at the longest run time. */
	#countJobs(): void {
		for (const spec of this.#specs.values()) {
			const endedWallMs = this.#state.jobs.get(spec.jobId)?.endedWallMs;
			this.results.jobs++;
			this.results.jobsInTime += endedWallMs !== undefined && endedWallMs - spec.acceptedWallMs <= 600 + (2 * 1000 * spec.steps.length) ? 1 : 0;
		}
	}
}

const meanOf = (values: readonly number[]): number => Math.round(values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length));

const play = (forecast: PoolForecastName, order: string, seed: number): Readonly<Record<string, unknown>> => {
	const model = new PoolModel(forecast, order, seed);
	model.run();
	const {startsInFirstSecond, jobs, jobsInTime, machineSeconds, moves, waveTookMs} = model.results;
	return {
		forecast, order, seed, jobs, startsFirstRound: meanOf(startsInFirstSecond.slice(0, poolCount)), startsLaterRounds: meanOf(startsInFirstSecond.slice(poolCount)), inTimePercent: Math.round(1000 * jobsInTime / jobs) / 10, machineSeconds: Math.round(machineSeconds), moves, waveTookMs,
	};
};

export const run = async ([forecast, order, seed]: readonly string[]): Promise<Readonly<Record<string, unknown>>> => ({
	plays: (forecast === undefined ? ['recent-arrivals', 'bursts'] as const : [forecast as PoolForecastName])
		.flatMap(name => (order === undefined ? ['stable', 'random', 'ramp'] : [order]).map(burstOrder => play(name, burstOrder, Number(seed ?? 1)))),
});
