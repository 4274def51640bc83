/**
Stand-in of the users' machines: lists them, owns the workers on them, and carries out moves to other pools and upkeeps.

A worker is one life of its machine: an order ends it, and a worker with a new id follows. The machines of the standby pool are off and have none.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock, z} from '@poplarnotch/common';
import {TokenBucket} from '@poplarnotch/standin';
import {type Answer, type Call, JsonServer} from './http.js';
import {type Loss} from './ledger.js';
import {
	bounds, machineRates, pools, standbyPool, workerCapacity, zones,
} from './settings.js';
import {registrationMs, Worker, type WorkerOptions} from './worker.js';

const tickMs = 10;
const racks = 9;
const minStandstillMs = 100;

const orderSchema = z.object({machine: z.string(), pool: z.string().optional(), wave: z.number().optional()});
type Order = z.infer<typeof orderSchema>;

type Machine = {
	readonly id: string;
	readonly zone: string;
	readonly rack: string;
	pool: string;
	state: 'up' | 'moving' | 'upkeep' | 'down';
	worker: Worker | undefined;
	/** Number of workers that it has had. */
	lives: number;
	/** The highest fencing token of its orders. */
	fence: number;
	/** Waves for which its upkeep has begun; the last one is under way while the machine is in upkeep. */
	readonly waves: number[];
};

/** How a worker leaves by itself, and another one follows on its machine. */
export type Departure = {
	readonly noticeMs: number;
	/** Time after which what it runs ends. */
	readonly endsInMs: number;
	/** Time until the next worker joins. */
	readonly awayMs: number;
	/** Whether the next worker has its address. */
	readonly keepsAddress: boolean;
};

type SharedOptions = Omit<WorkerOptions, 'id' | 'service' | 'zone' | 'rack' | 'beforeStart'>;

export class Machines {
	/** Upkeeps beyond what their wave allows at once, and waves that were called completed too early. */
	readonly waveFaults: string[] = [];
	/** Spans in which the soak's own process had no processor time, so that workers and store stood still. */
	readonly standstillsMs: number[] = [];
	/** Orders that were carried out. */
	readonly orders = {moves: 0, upkeeps: 0};
	readonly #options: SharedOptions;
	readonly #machines: readonly Machine[];
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #calls = new TokenBucket(machineRates.ordersPerSecond, new SystemClock());
	readonly #readings = new TokenBucket(machineRates.readingsPerSecond, new SystemClock());
	#server: JsonServer | undefined;
	#isClosed = false;
	#endedFence = 0;
	#advancedAtMs = performance.now();

	constructor(count: number, options: SharedOptions) {
		this.#options = options;
		this.#machines = Array.from({length: count}, (_value, index) => ({
			id: `m${100 + index}`, zone: zones[index % zones.length]!, rack: `r${index % racks}`, pool: pools[index % pools.length]!,
			state: 'up', worker: undefined, lives: 0, fence: 0, waves: [],
		}));
	}

	get address(): string {
		return this.#server!.address;
	}

	get ids(): readonly string[] {
		return this.#machines.map(({id}) => id);
	}

	/** The workers that are there, also those that have crashed and are to start again. */
	get workers(): readonly Worker[] {
		return this.#machines.flatMap(({worker}) => worker ?? []);
	}

	/** The highest fencing token that a worker has seen. */
	get fence(): number {
		return Math.max(this.#endedFence, ...this.workers.map(({fence}) => fence));
	}

	async start(): Promise<void> {
		this.#server = await JsonServer.listen(this.#options.ip, 0, call => this.#answer(call));
		for (const machine of this.#machines) {
			await this.#join(machine);
		}

		this.#advancedAtMs = performance.now();
		this.#timers.push(setInterval(() => {
			this.#noteStandstill();
			this.#advance();
			for (const worker of this.workers) {
				worker.keepRegistered(performance.now());
			}
		}, tickMs));
	}

	/** The ends that workers have listed and no holder has acknowledged. */
	describeListedEnds(): string {
		const ages = this.workers.flatMap(({listedEnds}) => listedEnds).map(({listedAtMs}) => performance.now() - listedAtMs!);
		return `${ages.length} ends are listed and not acknowledged, the oldest for ${Math.round(Math.max(0, ...ages))} ms`;
	}

	close(): void {
		this.#isClosed = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#server?.close();
		for (const worker of this.workers) {
			worker.end();
		}
	}

	/** The worker drains and leaves; another one joins its machine. Resolves then. */
	async replace(worker: Worker, {noticeMs, endsInMs, awayMs, keepsAddress}: Departure): Promise<void> {
		const machine = this.#machines.find(each => each.worker === worker);
		if (machine !== undefined && !this.#isClosed) {
			worker.drain(noticeMs, endsInMs);
			await sleep(noticeMs);
			await this.#leave(machine, {
				state: 'down', loss: 'left', awayMs, port: keepsAddress ? worker.port : 0,
			});
		}
	}

	/** The wave is said to be completed. */
	noteCompleted(wave: number, ids: readonly string[]): void {
		this.#options.record.add(`wave ${wave} is said to be completed`);
		const missing = this.#machines.filter(({id, waves}) => ids.includes(id) && !waves.includes(wave));
		this.waveFaults.push(...missing.map(({id}) => `wave ${wave} was called completed before the upkeep of ${id}`));
	}

	#noteStandstill(): void {
		const pauseMs = performance.now() - this.#advancedAtMs;
		this.#advancedAtMs += pauseMs;
		if (pauseMs >= minStandstillMs) {
			this.standstillsMs.push(pauseMs);
			this.#options.record.add(`the soak stood still for ${Math.round(pauseMs)} ms`);
		}
	}

	#advance(): void {
		for (const worker of this.workers.filter(({isUp}) => isUp)) {
			worker.advance();
		}
	}

	async #join(machine: Machine, port = 0): Promise<void> {
		const {id, pool, zone, rack} = machine;
		if (pool !== standbyPool && !this.#isClosed) {
			machine.lives++;
			const worker = new Worker({
				...this.#options, id: `w-${id}-${machine.lives}`, service: pool, zone, rack, beforeStart: () => {
					// Where processor time is short, the timer may not have ended a run elsewhere whose lease has lapsed.
					this.#advance();
				},
			});
			await worker.start(port);
			machine.worker = worker;
			if (this.#isClosed) {
				worker.end();
			}
		}

		machine.state = 'up';
	}

	#answer({method, path, headers, body}: Call): Answer {
		if (`${method} ${path}` === 'GET /machines') {
			return this.#readings.tryTake() ? {status: 200, body: {machines: this.#machines.map(machine => this.#describe(machine))}} : {status: 429};
		}

		if (!this.#calls.tryTake()) {
			return {status: 429};
		}

		const {data: order} = orderSchema.safeParse(body);
		const machine = this.#machines.find(({id}) => id === order?.machine);
		if (order === undefined || machine === undefined) {
			return {status: 400};
		}

		const {'fencing-token': fence, 'lease-holder': holder} = headers;
		const answer = this.#carryOut(path, machine, order, Number(fence));
		this.#options.record.add(`${path} ${JSON.stringify(order)} by ${String(holder)}, fencing token ${String(fence)}: ${JSON.stringify(answer)}`);
		return answer;
	}

	#carryOut(path: string, machine: Machine, {pool, wave}: Order, fence: number): Answer {
		const isMove = path === '/machine-move';
		if (isMove ? pool === undefined || !pools.includes(pool) : path !== '/machine-upkeep' || wave === undefined) {
			return {status: 400};
		}

		if (fence < machine.fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		machine.fence = fence;
		const order = this.#options.rows.read('op', `wave/${wave}`) as {readonly machines: readonly string[]; readonly cap: number} | undefined;
		if (!isMove && order?.machines.includes(machine.id) !== true) {
			return {status: 409, body: {reason: 'wave'}};
		}

		if (isMove ? machine.pool === pool : machine.waves.includes(wave!)) {
			return {status: 200, body: {}};
		}

		if (this.#stateOf(machine) !== 'up' || machine.worker?.isDraining) {
			return {status: 409, body: {reason: 'busy'}};
		}

		if (isMove) {
			this.orders.moves++;
			machine.pool = pool!;
			void this.#leave(machine, {state: 'moving', loss: 'ordered away', awayMs: bounds.move_s * 1000});
		} else {
			const away = this.#machines.filter(({state, waves}) => state === 'upkeep' && waves.at(-1) === wave);
			if (away.length >= order!.cap) {
				this.waveFaults.push(`wave ${wave} allows ${order!.cap} at once, and the upkeep of ${machine.id} began beside ${away.map(({id}) => id).join(', ')}`);
			}

			this.orders.upkeeps++;
			machine.waves.push(wave!);
			void this.#leave(machine, {state: 'upkeep', loss: 'ordered away', awayMs: bounds.upkeep_s * 1000});
		}

		return {status: 200, body: {}};
	}

	/** Ends the machine's worker at once; a new one joins later. */
	async #leave(machine: Machine, {state, loss, awayMs, port}: {readonly state: Machine['state']; readonly loss: Loss; readonly awayMs: number; readonly port?: number}): Promise<void> {
		const {worker} = machine;
		machine.state = state;
		machine.worker = undefined;
		if (worker !== undefined) {
			worker.endFor(loss);
			this.#endedFence = Math.max(this.#endedFence, worker.fence);
			setTimeout(() => {
				worker.unregister();
			}, loss === 'left' ? 0 : registrationMs).unref();
		}

		await sleep(awayMs);
		await this.#join(machine, port);
	}

	#stateOf({state, worker}: Machine): string {
		return worker?.isUp === false ? 'down' : state;
	}

	#describe(machine: Machine): Readonly<Record<string, unknown>> {
		const {id, pool, zone, rack, worker} = machine;
		return {
			machine: id, pool, state: this.#stateOf(machine), zone, labels: ['a', rack], capacity: workerCapacity, ...(worker?.isUp ? {id: worker.id} : {}),
		};
	}
}
