/**
Stand-in of the users' machines: lists them and owns the workers on them.
*/
import {JsonServer} from './http.js';
import {queue, workerCapacity, zones} from './settings.js';
import {Worker, type WorkerOptions} from './worker.js';

const tickMs = 10;
const heartbeatMs = 1500;
const racks = 9;

export class Machines {
	readonly workers: readonly Worker[];
	readonly #ip: string;
	readonly #timers: NodeJS.Timeout[] = [];
	#server: JsonServer | undefined;

	constructor(count: number, options: Omit<WorkerOptions, 'id' | 'zone' | 'rack' | 'beforeStart'>) {
		this.#ip = options.ip;
		this.workers = Array.from({length: count}, (_value, index) => new Worker({
			...options, id: `w-m${100 + index}`, zone: zones[index % zones.length]!, rack: `r${index % racks}`, beforeStart: () => {
				// Where processor time is short, the timer may not have ended a run elsewhere whose lease has lapsed.
				this.#advance();
			},
		}));
	}

	get address(): string {
		return this.#server!.address;
	}

	/** The highest fencing token that a worker has seen. */
	get fence(): number {
		return Math.max(...this.workers.map(({fence}) => fence));
	}

	async start(): Promise<void> {
		this.#server = await JsonServer.listen(this.#ip, 0, ({method, path}) =>
			`${method} ${path}` === 'GET /machines' ? {status: 200, body: {machines: this.workers.map(worker => this.#describe(worker))}} : {status: 400, body: {}});
		for (const worker of this.workers) {
			await worker.start();
		}

		this.#timers.push(setInterval(() => {
			this.#advance();
		}, tickMs), setInterval(() => {
			for (const worker of this.workers) {
				worker.register();
			}
		}, heartbeatMs));
	}

	close(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#server?.close();
		for (const worker of this.workers) {
			worker.end();
		}
	}

	#advance(): void {
		for (const worker of this.workers.filter(({isUp}) => isUp)) {
			worker.advance();
		}
	}

	#describe({id, zone, labels, isUp}: Worker): Readonly<Record<string, unknown>> {
		return {
			machine: id.slice('w-'.length), pool: queue.name, state: isUp ? 'up' : 'down', zone, labels, capacity: workerCapacity, ...(isUp ? {id} : {}),
		};
	}
}
