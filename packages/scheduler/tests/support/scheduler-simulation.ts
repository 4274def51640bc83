/**
Simulates a fleet in virtual time: the real scheduler processes over an in-memory table, simulated workers and machines, and seeded faults. The invariants are checked where violations would show: at the workers and in the answers to callers.
*/
import {
	type LogFields, type Logger, MetricsRegistry, SeededRandom, silentLogger, VirtualClock,
} from '@poplarnotch/common';
import {RetryingTableService} from '@poplarnotch/platform';
import {MemoryTableService} from '@poplarnotch/standin';
import {
	PeerUnreachableError, performRelayed, probeKey, type ReachabilityMeter, RelayedTable, type Successor,
} from '@poplarnotch/state';
import {
	type FleetConfiguration, type JobSpec, type PollAnswer, type MachineAnswer, type Resources, type MachineEntry, type OperatorOrders, type OrderAnswer, type PollOrder, type Queue, SchedulerProcess, type StartAnswer, type StartOrder, type StopOrder, type WaveOrder, type WorkerControl, type WorkerEntry,
} from '../../src/index.js';
import {DatagramNetwork} from './datagram-network.js';
import {normalLatencyMs, FakeTable, type TableFaults} from './fake-table.js';
import {FakeWorker, FakeWorkers} from './fake-workers.js';
import {FakePeers, measured} from './fake-peers.js';
import {isDisrupted} from './disruptions.js';
import {FollowedOrders, PublishedValue} from './followed-orders.js';
import {HostClock} from './host-clock.js';

const stepMs = 5;
const orderLatencyMs = 2;
const orderTimeoutMs = 1000;
const moveMs = 1500;

/** Time limit of a machine order. */
const machineOrderTimeoutMs = 1500;

/** Time after which a crashed worker is back on its machine, and after which its old registration has expired. */
const restartMs = 3000;
const registrationMs = 4500;

/** Workers write their registrations anew this often. */
const heartbeatIntervalMs = 1500;
const maintenanceMs = 2000;

/** Fewer than most scenarios have processes, so that callers also reach processes that do not follow the job rows. */
const successorCount = 2;

const drainMs = 3000;

/** Less than the time after which a worker that has shrunk counts as such. */
const resizeNoticeMs = 50;

/** A process that has reached the table only through others for this long is no successor. */
const relayingAfterMs = 400;

/** Time without an answer after which a process refuses jobs at once. */
const storeAwayAfterMs = 200;

/** Period in which a process has its share of processor time. */
const quotaPeriodMs = 100;

export type SimulationFaults = {
	/** Share of orders whose answer is lost; half of them are carried out after a random delay. */
	lostOrderRate: number;
	/** Maximum of that delay. */
	lateOrderMs: number;
	/** Starts and stops all get no answer; half of them are carried out after a random delay. */
	areOrdersUnanswered?: boolean;
	/** Share of machine orders whose answer is lost; half of them are carried out. */
	lostMachineAnswerRate: number;
	/** Time until the platform carries a machine order out. */
	machineOrderDelayMs?: number;
};

/** A call to a worker, as a test may hold it back. */
export type SentCall = {readonly workerId: string} & (
	| {readonly type: 'start'; readonly order: StartOrder}
	| {readonly type: 'stop' | 'pace'; readonly order: StopOrder}
	| {readonly type: 'poll'; readonly order: PollOrder}
);

export type SimulationOptions = {
	readonly seed: number;
	readonly processes: number;
	readonly workersPerPool: number;
	readonly standbyMachines: number;
	/** Share of runs that fail. */
	readonly failureRate?: number;
	/** The table cuts its answers after this many changes. */
	readonly maxChangesPerAnswer?: number | undefined;
	/** Data centres among which the machines are distributed by turns; one, called `dc`, if left out. */
	readonly dataCentres?: readonly string[];
	/** Whether the holder schedules during a full outage of the table; true by default. */
	readonly outageScheduling?: boolean;
	/** Silence after which successors suspect the holder; 0 leaves the decision to the expiry of the lease. */
	readonly failureDetectionMs?: number;
	/** Number of processes that are ready to take over the lease. */
	readonly successors?: number;
	/** Whether processes call the table through others while they do not reach it themselves. */
	readonly relays?: boolean;
};

const secret = 'fleet secret';

type SimulatedProcess = {
	readonly name: string;
	readonly clock: HostClock;
	readonly table: TableFaults;
	/** The process's own path to the table. */
	readonly direct: FakeTable;
	readonly scheduler: SchedulerProcess;
	/** The process was told to stop, so its end is no disruption. */
	isStopping: boolean;
};

type SimulatedMachine = {
	entry: MachineEntry;
	returnsAtMs: number;
	nextState: 'up';
	nextPool: string;
	/** Highest fencing token of any order. */
	fencingToken: number;
	/** The waves for which the machine has been maintained. */
	readonly waves: Set<number>;
};

type MachineOrder = {
	readonly machineId: string;
	readonly fencingToken: number;
	readonly forMs: number;
	/** Pool of a move. */
	readonly target?: string;
	readonly waveId?: number;
};

/** Time within which a process wins the lease and polls all workers. */
export const takeoverMs = 3500;

export const pool = 'pairing';
export const standbyPool = 'spare';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

/** A queue with defaults that suit most tests. */
export const queueOf = (overrides: Partial<Queue> = {}): Queue => ({
	name: 'draws', pool, priority: 0, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 600, isPublic: true, needsAdvice: false, ...overrides,
});

export const configurationOf = (version: number, overrides: Partial<FleetConfiguration> = {}): FleetConfiguration => ({
	version,
	routes: [{host: 'draws.example', pathPrefix: '/q/', queue: 'draws'}],
	customerByKey: new Map([['key-1', 'altan']]),
	limits: {
		bodyBytes: 1000, headerBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	},
	queues: new Map([['draws', queueOf()]]),
	pools: new Map([
		[pool, {name: pool, isStandby: false, enforcesCapacity: false}],
		[standbyPool, {name: standbyPool, isStandby: true, enforcesCapacity: false}],
	]),
	customers: new Map([['altan', {name: 'altan', weight: 1, upperLimit: {cpuMillicores: 0, memoryMb: 0, accelerators: 0}}]]),
	...overrides,
});

/** A configuration without a standby pool, so that all workers stay in their pool. */
export const configurationWithoutStandby = (version: number): FleetConfiguration =>
	configurationOf(version, {pools: new Map([[pool, {name: pool, isStandby: false, enforcesCapacity: false}]])});

const loseNoOrder: (processName: string, workerId: string) => boolean = () => false;
const connectAtOnce: (fencingToken: number) => number = () => 0;
const delayNoCall: (call: SentCall) => number | undefined = () => undefined;

/** How often a process's copy of the operators' rows is confirmed while the store answers. */
const defaultOrdersConfirmMs = 500;

/** Age of the operators' rows at which a holder starts nothing any more. */
export const maxOrdersAgeMs = 4500;

export class SchedulerSimulation {
	readonly clock = new VirtualClock();
	readonly table = new MemoryTableService();
	readonly fleet: FakeWorkers;
	readonly processes: SimulatedProcess[] = [];
	readonly faults: SimulationFaults = {lostOrderRate: 0, lateOrderMs: 0, lostMachineAnswerRate: 0};
	readonly machines = new Map<string, SimulatedMachine>();
	readonly waveStates = new Map<number, string>();
	readonly maintained = new Set<string>();
	/** CPU capacity of processes that differ from the others, by name. */
	readonly cpuMillicores = new Map<string, number>();
	/** Configuration versions that came into force, over all processes. */
	readonly configuredVersions: number[] = [];
	readonly random: SeededRandom;
	/** The processes have evidence that the store is unavailable for all of them. */
	hasOutageEvidence = false;
	/** Machines in the order in which their maintenance began. */
	readonly maintenanceOrder: string[] = [];
	/** Moves that were carried out. */
	readonly moves: Array<{readonly machineId: string; readonly target: string; readonly atMs: number}> = [];
	/** Fields of the lines that processes logged about evacuations and withheld starts. */
	readonly logged: LogFields[] = [];
	/** Fields of the lines that tell how terms began and ended. */
	readonly termLines: LogFields[] = [];
	ordersConfirmMs = defaultOrdersConfirmMs;
	/** Time until the processes have read what a worker registers. */
	registrationDelayMs = 1;
	/** Workers answer a poll as soon as a run has ended, as the platform's do, and not after a fixed time. */
	arePollsAnsweredAtEnds = false;
	/** Answers are delivered late or twice, which is a disruption. */
	areAnswersDisturbed = false;
	readonly peers = new FakePeers();
	readonly datagrams = new DatagramNetwork(this.clock);
	/** Returns true if the process's orders do not reach the worker. */
	isOrderLost = loseNoOrder;
	/** How long an order under this token waits for a connection before it is sent. */
	connectMsOf = connectAtOnce;
	/** Returns how late a call is carried out, without an answer, by the incarnation that its worker has by then; `undefined` for a call that is answered. */
	lateMsOf = delayNoCall;
	/** Accepted orders to machines. */
	readonly machineOrders: Array<{readonly machineId: string; readonly fencingToken: number; readonly atMs: number}> = [];
	readonly #outageScheduling: boolean;
	readonly #failureDetectionMs: number;
	readonly #successorCount: number;
	readonly #relays: boolean;
	readonly #maxChangesPerAnswer: number | undefined;
	readonly #orders: PublishedValue<OperatorOrders>;
	readonly #workers = new PublishedValue<readonly WorkerEntry[]>([]);
	#configuration = configurationOf(1);
	#waves: readonly WaveOrder[] = [];
	#evacuated: readonly string[] = [];
	readonly #dataCentres: readonly string[];
	readonly #log: Logger;
	#workerCount = 0;
	#processCount = 0;
	#registrationsLapsedUntilMs = 0;
	/** When the registrations of crashed workers expire. */
	readonly #expiresAtMs = new Map<FakeWorker, number>();

	constructor(options: SimulationOptions) {
		this.random = new SeededRandom(options.seed);
		const record = (fields: LogFields): void => {
			if (/^(?:evacuation|starts)_/v.test(fields.event)) {
				this.logged.push(fields);
			} else if (/^(?:release|term|takeover|ends_left|end_of_unknown|event_outdated)/v.test(fields.event)) {
				this.termLines.push(fields);
			}
		};

		this.#log = {...silentLogger, info: record, warn: record};
		this.#dataCentres = options.dataCentres ?? ['dc'];
		this.#outageScheduling = options.outageScheduling ?? true;
		this.#failureDetectionMs = options.failureDetectionMs ?? 600;
		this.#successorCount = options.successors ?? successorCount;
		this.#relays = options.relays ?? false;
		this.#maxChangesPerAnswer = options.maxChangesPerAnswer;
		const taskRandom = new Map<string, number>();
		const drawFor = (key: string): number => {
			let value = taskRandom.get(key);
			if (value === undefined) {
				value = this.random.next();
				taskRandom.set(key, value);
			}

			return value;
		};

		this.fleet = new FakeWorkers(this.clock, {
			runMs: key => 100 + (900 * drawFor(key)),
			fails: (key, attempt) => drawFor(`${key} ${attempt}`) < (options.failureRate ?? 0),
		});
		this.#orders = new PublishedValue<OperatorOrders>({configuration: this.#configuration, waves: [], evacuatedDataCentres: []});
		for (let index = 0; index < options.workersPerPool; index++) {
			this.#addMachine(`m-${index}`, pool, this.#rackOf(index));
		}

		for (let index = 0; index < options.standbyMachines; index++) {
			this.#addMachine(`s-${index}`, standbyPool, `r-s${index}`);
		}

		this.#writeRegistrations();
		for (let index = 0; index < options.processes; index++) {
			this.addProcess();
		}
	}

	get holder(): SimulatedProcess | undefined {
		return this.processes.filter(({clock}) => !clock.isDead).find(({scheduler}) => scheduler.state.term !== undefined && !scheduler.state.isSuspended);
	}

	addProcess(): SimulatedProcess {
		const name = `process-${this.#processCount++}`;
		const clock = new HostClock(this.clock);
		const tableFaults: TableFaults = {
			isDown: false, lostAnswerRate: 0, latencyMs: normalLatencyMs, maxChangesPerAnswer: this.#maxChangesPerAnswer,
		};
		const {meter, outage} = this.peers.add(name, clock, {
			isActive: () => process.scheduler.state.term !== undefined,
			probe: async () => relayed?.readRows([probeKey]),
			onPathSilent(unansweredMs) {
				relayed?.abandonDirectPath(unansweredMs);
			},
		});
		const direct = new FakeTable({
			table: this.table, clock, platformClock: this.clock, random: this.random, faults: tableFaults,
		});
		const relayed = this.#relays ? this.#relayedTableOf(name, direct, meter, clock) : undefined;
		const table = relayed ?? measured(direct, meter);
		const process: SimulatedProcess = {
			name,
			clock,
			table: tableFaults,
			direct,
			isStopping: false,
			scheduler: new SchedulerProcess({
				processId: name,
				table,
				resolvingTable: new RetryingTableService(table, {
					client: name, instance: name, retryTimeoutMs: 200, settleTimeoutMs: 120_000, backoff: {firstMs: 30, longestMs: 200}, clock, random: this.random,
				}),
				orders: new FollowedOrders(this.#orders, {
					clock, table: tableFaults, isReached: () => relayed?.relayedForMs !== undefined || (!tableFaults.isDown && tableFaults.isSilent !== true), confirmIntervalMs: () => this.ordersConfirmMs,
				}),
				workers: {
					...this.#workers.follow(clock, () => this.registrationDelayMs), setMode: () => undefined, refresh: async () => {
						await clock.wait(this.registrationDelayMs);
						return undefined;
					},
				},
				workerControl: this.#controlFor(name, clock),
				machineControl: {
					list: async () => {
						await clock.wait(orderLatencyMs);
						return {machines: [...this.machines.values()].map(({entry}) => entry), unreadable: [], isOfOneMoment: true};
					},
					move: async (machineId, target, {fencingToken, mayBeSent}) => this.#orderMachine(clock, {
						machineId, fencingToken, forMs: moveMs, target,
					}, mayBeSent),
					maintain: async (machineId, waveId, {fencingToken, mayBeSent}) => this.#orderMachine(clock, {
						machineId, fencingToken, forMs: maintenanceMs, waveId,
					}, mayBeSent),
				},
				advisor: {
					advise: async (stepKey, workerIds) => {
						await clock.wait(orderLatencyMs);
						return this.fleet.advise(stepKey, workerIds);
					},
				},
				waveReporter: {
					report: async (waveId, state) => {
						await clock.wait(orderLatencyMs);
						this.waveStates.set(waveId, state);
					},
				},
				maxConfigurationAgeMs: Number.POSITIVE_INFINITY,
				maxOrdersAgeMs,
				hasOutageEvidence: () => this.hasOutageEvidence || (this.#outageScheduling && outage.hasOutageEvidence()),
				hasLargerPeer: () => this.processes.some(other => !other.clock.isDead && other.name !== name && (this.cpuMillicores.get(other.name) ?? 0) > (this.cpuMillicores.get(name) ?? 0)),
				relayedForMs: () => relayed?.relayedForMs,
				isSuccessor: () => this.#isAmongLargest(name) && (relayed?.relayedForMs ?? 0) < relayingAfterMs,
				isStoreAway: () => clock.nowMs() - (meter.failingSinceMs ?? Number.POSITIVE_INFINITY) >= storeAwayAfterMs,
				outage: this.#outageScheduling ? outage : undefined,
				failureDetection: this.#failureDetectionMs === 0
					? undefined
					: {
						transport: this.datagrams.transportOf(name, clock), secret: () => secret, successors: () => this.#largest(), detectionMs: this.#failureDetectionMs,
					},
				onConfigured: ({version}) => {
					this.configuredVersions.push(version);
				},
				onControlRows: () => undefined,
				clock,
				log: this.#log,
				metrics: new MetricsRegistry(),
			}),
		};
		this.processes.push(process);
		process.scheduler.start();
		return process;
	}

	configure(configuration: FleetConfiguration): void {
		this.#configuration = configuration;
		this.#publishOrders();
	}

	orderWave(wave: WaveOrder): void {
		this.#waves = [...this.#waves, wave];
		this.#publishOrders();
	}

	/** Writes or deletes the order to evacuate a data centre. */
	orderEvacuation(dataCentre: string, isOrdered = true): void {
		this.#evacuated = [...this.#evacuated.filter(other => other !== dataCentre), ...(isOrdered ? [dataCentre] : [])];
		this.#publishOrders();
	}

	/** Submits a job to a running process and resolves to whether it was accepted. */
	async submit(job: JobSpec, process = this.randomProcess()): Promise<boolean> {
		this.fleet.jobs.set(job.jobId, job);
		const result = await process.scheduler.jobService.submit(job);
		return result === 'accepted';
	}

	/** Longest time without a start since the given time. */
	longestGapMs(sinceMs: number): number {
		const startsMs = this.fleet.starts.map(({atMs}) => atMs).filter(atMs => atMs >= sinceMs);
		const timesMs = [sinceMs, ...startsMs, this.clock.nowMs()];
		return Math.max(...timesMs.slice(1).map((atMs, index) => atMs - timesMs[index]!));
	}

	get hasRunningProcess(): boolean {
		return this.processes.some(({clock}) => !clock.isDead && !clock.isFrozen);
	}

	randomProcess(): SimulatedProcess {
		const running = this.processes.filter(({clock}) => !clock.isDead && !clock.isFrozen);
		return running[Math.floor(this.random.next() * running.length)]!;
	}

	kill(process: SimulatedProcess): void {
		process.clock.isDead = true;
		if (!process.isStopping) {
			this.fleet.notedEnds.recordDisruption(this.clock.nowMs());
		}
	}

	/** Tells the process to stop, as the platform does: it has some time until it is ended. */
	stop(process: SimulatedProcess, graceMs: number): void {
		process.isStopping = true;
		void process.scheduler.leave();
		this.clock.schedule(graceMs, () => {
			this.kill(process);
		});
	}

	/** Lets the process stand still for the given part of each period, as under a quota of processor time, until it is ended or the time is over. */
	throttle({clock}: SimulatedProcess, forMs: number, stillMs: () => number): void {
		const untilMs = this.clock.nowMs() + forMs;
		const freeze = (): void => {
			if (!clock.isDead && this.clock.nowMs() < untilMs) {
				clock.freeze(stillMs(), 'quota');
				this.clock.schedule(quotaPeriodMs, freeze);
			}
		};

		freeze();
	}

	crashWorker(workerId: string): void {
		this.fleet.workers.get(workerId)?.crash();
		this.#publishWorkers();
	}

	/** Changes the capacity that the worker reports; what runs on it runs on. Starts are checked against a smaller one once orders that were sent before have arrived. */
	resizeWorker(workerId: string, resized: Resources): void {
		const worker = this.fleet.workers.get(workerId)!;
		const hasGrown = resized.cpuMillicores > worker.entry.capacity.cpuMillicores;
		worker.entry = {...worker.entry, capacity: resized};
		this.#publishWorkers();
		this.clock.schedule(hasGrown ? 0 : resizeNoticeMs, () => {
			worker.enforcedCapacity = resized;
		});
	}

	/** Makes the workers of the data centre report that they are cold for some more time. */
	coolWorkers(dataCentre: string, coldLeftMs: number): void {
		for (const worker of this.fleet.workers.values()) {
			if (worker.entry.dataCentre === dataCentre) {
				worker.entry = {...worker.entry, coldLeftMs};
			}
		}

		this.#publishWorkers();
	}

	/** Removes the registrations of all workers for some time, as an outage of the store does; the workers run on and are within reach. */
	lapseRegistrations(forMs: number): void {
		const untilMs = this.clock.nowMs() + forMs;
		this.#registrationsLapsedUntilMs = untilMs;
		this.#publishWorkers();
		this.clock.schedule(forMs, () => {
			this.#publishWorkers();
		});
	}

	/** Puts the worker out of reach for some time; what runs on it runs on until its lease expires. */
	cutWorker(workerId: string, forMs: number): void {
		const worker = this.fleet.workers.get(workerId)!;
		worker.isCut = true;
		this.clock.schedule(forMs, () => {
			worker.isCut = false;
		});
	}

	/** Crashes all workers of the rack at once; their machines return with new workers. */
	loseRack(rack: string): void {
		this.#loseWorkers(worker => worker.entry.rack === rack);
	}

	/** Crashes the worker that runs the task; its machine returns with a new worker. */
	loseWorkerOf(taskKey: string): void {
		this.#loseWorkers(worker => worker.runs.has(taskKey));
	}

	drainWorker(workerId: string, noticeMs = drainMs): void {
		const worker = this.fleet.workers.get(workerId);
		if (worker !== undefined) {
			this.announceDrain(workerId);
			this.clock.schedule(noticeMs, () => {
				this.#removeWorker(worker);
			});
		}
	}

	/** Ends the worker, which must have drained, and removes its machine permanently. */
	removeWorker(workerId: string): void {
		this.#removeWorker(this.fleet.workers.get(workerId)!);
	}

	/** Drains the worker and replaces it by another one on the same machine, which is listed as down meanwhile. */
	replaceWorker(workerId: string, noticeMs: number): void {
		this.announceDrain(workerId);
		this.clock.schedule(noticeMs, () => {
			const machine = this.#machineOf(workerId);
			if (machine?.entry.state === 'up') {
				this.fleet.workers.get(workerId)!.leave();
				machine.entry = {...machine.entry, state: 'down', workerId: undefined};
				machine.nextPool = machine.entry.pool;
				machine.returnsAtMs = this.clock.nowMs() + restartMs;
				this.#publishWorkers();
			}
		});
	}

	/** Takes the worker away on short notice: it drains and is gone after that, while its registration stays until it expires. Its machine is down and comes back with another worker. */
	takeAwayWorker(workerId: string, noticeMs: number): void {
		this.announceDrain(workerId);
		this.clock.schedule(noticeMs, () => {
			const worker = this.fleet.workers.get(workerId)!;
			worker.leave();
			this.#restartCrashed(worker);
			this.#publishWorkers();
		});
	}

	/** Makes the worker report that it drains. */
	announceDrain(workerId: string): void {
		this.fleet.workers.get(workerId)!.isDraining = true;
		this.#publishWorkers();
	}

	/** Crashes the worker, which starts again under its id after some time; its registration is read some time after that. */
	restartWorkerLate(workerId: string, downMs: number, registrationDelayMs: number): void {
		this.fleet.workers.get(workerId)!.crash();
		this.clock.schedule(downMs, () => {
			// The machine may have been ordered away meanwhile.
			if (this.#machineOf(workerId) !== undefined) {
				this.#beginIncarnation(workerId);
				this.clock.schedule(registrationDelayMs, () => {
					this.#publishWorkers();
				});
			}
		});
	}

	/** Crashes the worker's machine, which is listed as down until the worker starts again under its id; its registration stays. */
	crashBriefly(workerId: string, downMs: number): void {
		const worker = this.fleet.workers.get(workerId)!;
		const machine = this.#machineOf(workerId);
		if (machine?.entry.state !== 'up' || !worker.isUp) {
			return;
		}

		this.fleet.recordLost(worker.runs.keys());
		worker.crash();
		this.#expiresAtMs.set(worker, this.clock.nowMs() + registrationMs);
		machine.entry = {...machine.entry, state: 'down', workerId: undefined};
		machine.nextPool = machine.entry.pool;
		machine.returnsAtMs = Number.POSITIVE_INFINITY;
		this.clock.schedule(downMs, () => {
			machine.entry = {...machine.entry, state: 'up', workerId};
			this.#beginIncarnation(workerId);
			this.#publishWorkers();
		});
	}

	/** Restarts the worker under its id; the new incarnation does not drain and knows nothing. */
	restartWorker(workerId: string): void {
		this.fleet.workers.get(workerId)!.crash();
		this.#beginIncarnation(workerId);
		this.#publishWorkers();
	}

	/** Advances time in small steps, so that answers and timers interleave. */
	async run(forMs: number): Promise<void> {
		const untilMs = this.clock.nowMs() + forMs;
		while (this.clock.nowMs() < untilMs) {
			this.clock.advance(stepMs);
			if (this.areAnswersDisturbed || this.processes.some(process => isDisrupted(process))) {
				this.fleet.notedEnds.recordDisruption(this.clock.nowMs());
			}

			for (const worker of this.fleet.workers.values()) {
				if (worker.isUp) {
					worker.advance(stepMs);
				}

				if (worker.isCrashed && !this.#expiresAtMs.has(worker)) {
					this.#restartCrashed(worker);
				}
			}

			this.#advanceMachines();
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	}

	close(): void {
		for (const {clock} of this.processes) {
			clock.isDead = true;
		}
	}

	/** Whether the process is ready to take over the lease; the others read jobs from the table when a caller asks. */
	#relayedTableOf(name: string, direct: FakeTable, meter: ReachabilityMeter, clock: HostClock): RelayedTable {
		const others = (): readonly SimulatedProcess[] => this.processes.filter(other => other.name !== name && !other.clock.isDead);
		return new RelayedTable({
			direct,
			peers: () => others().map(other => other.name),
			async callPeer(peerName, _method, parameters) {
				await clock.wait(orderLatencyMs);
				const peer = others().find(other => other.name === peerName);
				if (peer === undefined || peer.clock.isFrozen) {
					throw new PeerUnreachableError(`${peerName} does not answer`);
				}

				return structuredClone(await performRelayed(peer.direct, parameters, () => !peer.table.isDown && peer.table.isSilent !== true));
			},
			meter,
			random: this.random,
			clock,
		});
	}

	#isAmongLargest(name: string): boolean {
		return this.#largest().some(({processId}) => processId === name);
	}

	#largest(): readonly Successor[] {
		return this.processes.filter(({clock}) => !clock.isDead)
			.map(process => ({processId: process.name, cpuMillicores: this.cpuMillicores.get(process.name) ?? 0}))
			.toSorted((a, b) => b.cpuMillicores - a.cpuMillicores)
			.slice(0, this.#successorCount);
	}

	/** Two machines of a data centre share a rack. */
	#rackOf(index: number): string {
		const count = this.#dataCentres.length;
		const rack = Math.floor(index / (2 * count));
		return count === 1 ? `r-${rack}` : `r-${this.#dataCentres[index % count]!}-${rack}`;
	}

	#addMachine(machineId: string, machinePool: string, rack: string): void {
		this.machines.set(machineId, {
			entry: {
				machineId, pool: machinePool, dataCentre: this.#dataCentres[this.machines.size % this.#dataCentres.length]!, state: 'up', capacity, workerId: undefined,
			}, returnsAtMs: 0, nextState: 'up', nextPool: machinePool, fencingToken: 0, waves: new Set(),
		});
		this.#bootWorker(machineId, rack);
	}

	#bootWorker(machineId: string, rack: string): void {
		const machine = this.machines.get(machineId)!;
		if (machine.entry.pool === standbyPool) {
			return;
		}

		const workerId = `w-${this.#workerCount++}`;
		this.fleet.workers.set(workerId, new FakeWorker(this.fleet, {
			workerId, pool: machine.entry.pool, address: `${workerId}:1`, dataCentre: machine.entry.dataCentre, isDraining: false, capacity, labels: ['a', rack], rack, bornWallMs: this.clock.nowMs(), coldLeftMs: 0,
		}));
		machine.entry = {...machine.entry, workerId};
	}

	/** Removes the worker and its machine permanently. */
	#removeWorker(worker: FakeWorker): void {
		worker.leave();
		for (const [machineId, {entry}] of this.machines) {
			if (entry.workerId === worker.entry.workerId) {
				this.machines.delete(machineId);
			}
		}

		this.#publishWorkers();
	}

	#loseWorkers(isLost: (worker: FakeWorker) => boolean): void {
		for (const worker of this.fleet.workers.values()) {
			if (worker.isUp && isLost(worker)) {
				worker.crash();
				worker.isCrashed = true;
				this.#restartCrashed(worker);
			}
		}
	}

	/** The machine of a crashed worker is listed as down and returns with a new worker; the registration of the old one expires later. */
	#restartCrashed(worker: FakeWorker): void {
		const nowMs = this.clock.nowMs();
		this.#expiresAtMs.set(worker, nowMs + registrationMs);
		this.clock.schedule(registrationMs, () => {
			this.#publishWorkers();
		});
		for (const machine of this.machines.values()) {
			if (machine.entry.workerId === worker.entry.workerId) {
				machine.entry = {...machine.entry, state: 'down', workerId: undefined};
				machine.nextPool = machine.entry.pool;
				machine.returnsAtMs = nowMs + restartMs;
			}
		}
	}

	#isRegistered(worker: FakeWorker): boolean {
		if (this.clock.nowMs() < this.#registrationsLapsedUntilMs) {
			return false;
		}

		return worker.isUp || this.clock.nowMs() < (this.#expiresAtMs.get(worker) ?? 0);
	}

	#advanceMachines(): void {
		for (const [machineId, machine] of this.machines) {
			if (machine.entry.state !== 'up' && this.clock.nowMs() >= machine.returnsAtMs) {
				machine.entry = {...machine.entry, state: 'up', pool: machine.nextPool};
				this.#bootWorker(machineId, `r-${machineId}`);
				this.#publishWorkers();
			}
		}
	}

	async #orderMachine(clock: HostClock, order: MachineOrder, mayBeSent: () => boolean): Promise<MachineAnswer> {
		await this.#connect(clock, order.fencingToken);
		if (!mayBeSent()) {
			return 'refused';
		}

		await clock.wait(orderLatencyMs + (this.faults.machineOrderDelayMs ?? 0));
		const {lostMachineAnswerRate} = this.faults;
		const isLost = lostMachineAnswerRate > 0 && this.random.next() < lostMachineAnswerRate;
		if (isLost && this.random.next() < 0.5) {
			await clock.wait(machineOrderTimeoutMs);
			return 'unknown';
		}

		const answer = this.#performMachineOrder(order);
		await clock.wait(isLost ? machineOrderTimeoutMs : 0);
		return isLost ? 'unknown' : answer;
	}

	/** Carries an order out as the platform does: one that is done already is accepted again and changes nothing. */
	#performMachineOrder({machineId, fencingToken, forMs, target, waveId}: MachineOrder): MachineAnswer {
		const machine = this.machines.get(machineId);
		if (machine !== undefined && fencingToken < machine.fencingToken) {
			return 'fenced';
		}

		if (machine !== undefined && (waveId === undefined ? machine.nextPool === target : machine.waves.has(waveId))) {
			machine.fencingToken = fencingToken;
			return 'accepted';
		}

		if (machine?.entry.state !== 'up') {
			return 'busy';
		}

		const worker = machine.entry.workerId === undefined ? undefined : this.fleet.workers.get(machine.entry.workerId);
		for (const run of worker?.runs.values() ?? []) {
			this.fleet.checkStop(worker!, run);
		}

		worker?.leave();
		this.machineOrders.push({machineId, fencingToken, atMs: this.clock.nowMs()});
		machine.fencingToken = fencingToken;
		machine.entry = {...machine.entry, state: target === undefined ? 'maintenance' : 'moving', workerId: undefined};
		machine.nextPool = target ?? machine.entry.pool;
		if (target === undefined) {
			machine.waves.add(waveId!);
			this.maintained.add(machineId);
			this.maintenanceOrder.push(machineId);
		} else {
			this.moves.push({machineId, target, atMs: this.clock.nowMs()});
		}

		machine.returnsAtMs = this.clock.nowMs() + forMs;
		this.#publishWorkers();
		return 'accepted';
	}

	#machineOf(workerId: string): SimulatedMachine | undefined {
		return [...this.machines.values()].find(({entry}) => entry.workerId === workerId);
	}

	#beginIncarnation(workerId: string): void {
		const {entry} = this.fleet.workers.get(workerId)!;
		this.fleet.workers.set(workerId, new FakeWorker(this.fleet, {...entry, bornWallMs: this.clock.nowMs()}));
	}

	/** Each worker that is up writes its registration anew, also one that the hosts do not reach. */
	#writeRegistrations(): void {
		const {revision} = this.table.commitNow({conditions: [], writes: [{type: 'put', key: 'servers/heartbeats', value: this.clock.nowMs()}]});
		for (const worker of this.fleet.workers.values()) {
			if (worker.isUp) {
				worker.entry = {...worker.entry, registeredVersion: revision};
			}
		}

		this.#publishWorkers();
		this.clock.schedule(heartbeatIntervalMs, () => {
			this.#writeRegistrations();
		});
	}

	#publishWorkers(): void {
		const entries = [...this.fleet.workers.values()].filter(worker => this.#isRegistered(worker)).map(({entry, isDraining}) => ({...entry, isDraining}));
		this.#workers.publish(entries);
	}

	#publishOrders(): void {
		this.#orders.publish({configuration: this.#configuration, waves: this.#waves, evacuatedDataCentres: this.#evacuated});
	}

	/** Resolves when the worker has an end to list, or after the time for which the poll waits; never if the poll's sender is dead. */
	async #waitForEnd(clock: HostClock, workerId: string, waitMs: number): Promise<void> {
		const untilMs = this.clock.nowMs() + waitMs;
		while (this.clock.nowMs() < untilMs && (this.fleet.workers.get(workerId)?.unlistedEnds.length ?? 0) === 0) {
			await new Promise<void>(resolve => {
				this.clock.schedule(stepMs, resolve);
			});
		}

		if (clock.isDead || clock.isHarmed) {
			await clock.wait(0);
		}
	}

	/** Delivers a call, possibly late and possibly without returning its answer. */
	async #deliver<Answer>({name, clock, lostRate = this.faults.lostOrderRate}: Pick<SimulatedProcess, 'name' | 'clock'> & {readonly lostRate?: number | undefined}, call: SentCall, execute: (worker: FakeWorker) => Answer, lost: Answer): Promise<Answer> {
		const {workerId} = call;
		// A sent order reaches its worker even if the sender dies or freezes.
		await new Promise<void>(resolve => {
			this.clock.schedule(orderLatencyMs, resolve);
		});
		// The incarnation that is there when the order arrives takes it.
		const worker = this.fleet.workers.get(workerId);
		if (!worker?.isUp || worker.isCut || this.isOrderLost(name, workerId)) {
			await clock.wait(worker?.isCrashed === true ? orderLatencyMs : orderTimeoutMs);
			return lost;
		}

		const lateMs = this.lateMsOf(call);
		if (lateMs !== undefined) {
			this.#executeLate(workerId, lateMs, execute);
			await clock.wait(orderTimeoutMs);
			return lost;
		}

		if (this.random.next() < lostRate) {
			if (this.random.next() < 0.5) {
				this.#executeLate(workerId, this.random.next() * this.faults.lateOrderMs, execute);
			}

			await clock.wait(orderTimeoutMs);
			return lost;
		}

		const answer = execute(worker);
		await clock.wait(orderLatencyMs);
		return answer;
	}

	/** Carries a call out later, on the incarnation that the worker has by then. */
	#executeLate(workerId: string, lateMs: number, execute: (worker: FakeWorker) => unknown): void {
		this.clock.schedule(lateMs, () => {
			const present = this.fleet.workers.get(workerId);
			if (present?.isUp === true) {
				this.fleet.isOrderLate = true;
				execute(present);
				this.fleet.isOrderLate = false;
			}
		});
	}

	async #connect(clock: HostClock, fencingToken: number): Promise<void> {
		const connectMs = this.connectMsOf(fencingToken);
		if (connectMs > 0) {
			await clock.wait(connectMs);
		}
	}

	#controlFor(name: string, clock: HostClock): WorkerControl {
		const sender = {name, clock};
		const ordering = () => ({...sender, lostRate: this.faults.areOrdersUnanswered === true ? 1 : undefined});
		return {
			start: async ({workerId}, order, mayBeSent) => {
				await this.#connect(clock, order.fencingToken);
				return mayBeSent() ? this.#deliver<StartAnswer>(ordering(), {type: 'start', workerId, order}, target => target.start(order), 'unknown') : 'not-sent';
			},
			stop: async ({workerId}, order) => this.#deliver<OrderAnswer>(ordering(), {type: 'stop', workerId, order}, target => target.stop(order), 'unknown'),
			pace: async ({workerId}, order) => this.#deliver<OrderAnswer>(sender, {type: 'pace', workerId, order}, target => target.pace(order), 'unknown'),
			poll: async ({workerId}, order) => {
				await (this.arePollsAnsweredAtEnds ? this.#waitForEnd(clock, workerId, order.waitMs) : clock.wait(Math.min(order.waitMs, 50)));
				return this.#deliver<PollAnswer>(sender, {type: 'poll', workerId, order}, target => target.poll(order), {type: 'unreachable'});
			},
		};
	}
}
