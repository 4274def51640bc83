/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
Stand-in of the platform's machines: lists them, moves them between pools and carries out their upkeep. A worker is one life of a machine.
*/
import {serve, silence} from './http.js';
import {Worker} from './worker.js';

const answerMs = 10;

export class Cloud {
	/** Decides what becomes of an order: `performed`, `performed-unanswered`, or a delay in ms after which it is performed without an answer. */
	fateOf = () => 'performed';
	/** All workers that ever ran. */
	workers = [];
	/** Begin and end of each upkeep: machine, wave, beganAtMs, endedAtMs. */
	upkeeps = [];
	#options;
	#machines = new Map();
	#server;
	#lives = 0;

	/** `options`: ip, capacity, holdMaxMs, moveMs, upkeepMs, standby (name of the pool whose machines are off), store, record. */
	constructor(options) {
		this.#options = options;
	}

	get address() {
		return this.#server.address;
	}

	async start() {
		this.#server = await serve(this.#options.ip, 0, async call => this.#answer(call));
	}

	close() {
		this.#server.close();
		for (const worker of this.workers.filter(({isUp}) => isUp)) {
			worker.end();
		}
	}

	async addMachine(machine, pool, {zone, rack}) {
		this.#machines.set(machine, {
			machine, pool, state: 'up', zone, rack, worker: undefined, fence: 0, waves: new Set(),
		});
		await this.#boot(machine);
	}

	workerOn(machine) {
		return this.#machines.get(machine).worker;
	}

	async #boot(name) {
		const machine = this.#machines.get(name);
		const {ip, capacity, holdMaxMs, standby, store, record} = this.#options;
		machine.state = 'up';
		if (machine.pool === standby) {
			return;
		}

		const worker = new Worker({
			id: `w-${name}-${++this.#lives}`, service: machine.pool, ip, zone: machine.zone, capacity, labels: ['a', machine.rack], holdMaxMs, store, record,
		});
		await worker.start();
		machine.worker = worker;
		this.workers.push(worker);
		record.add(`machine ${name} is up in ${machine.pool} as ${worker.id}`);
	}

	async #answer({method, path, headers, body}) {
		if (`${method} ${path}` === 'GET /machines') {
			return {status: 200, body: {machines: [...this.#machines.values()].map(machine => this.#describe(machine))}};
		}

		const order = {path, headers, body};
		const fate = this.fateOf(order);
		const text = `${path} ${JSON.stringify(body)} by ${headers['lease-holder']}, fencing token ${headers['fencing-token']}`;
		if (typeof fate === 'number') {
			this.#options.record.add(`cloud: ${text}: no answer, carried out in ${fate} ms`);
			setTimeout(() => {
				const answer = this.#perform(order);
				this.#options.record.add(`cloud: ${text}: carried out late, ${answer.status} ${answer.body.reason ?? ''}`);
			}, fate);
			return silence;
		}

		const answer = this.#perform(order);
		if (fate === 'performed-unanswered') {
			this.#options.record.add(`cloud: ${text}: carried out with ${answer.status}, the answer is lost`);
			return silence;
		}

		this.#options.record.add(`cloud: ${text}: answered ${answer.status} ${answer.body.reason ?? ''}`);
		await new Promise(resolve => {
			setTimeout(resolve, answerMs);
		});
		return answer;
	}

	#describe({machine, pool, state, zone, rack, worker}) {
		return {
			machine, pool, state, zone, labels: ['a', rack], capacity: this.#options.capacity, ...(worker === undefined ? {} : {id: worker.id}),
		};
	}

	#perform({path, headers, body}) {
		const machine = this.#machines.get(body.machine);
		if (machine === undefined) {
			return {status: 400, body: {}};
		}

		const fence = Number(headers['fencing-token'] ?? 0);
		if (fence < machine.fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		machine.fence = fence;
		const isUpkeep = path === '/machine-upkeep';
		if (isUpkeep ? machine.waves.has(body.wave) : machine.pool === body.pool) {
			return {status: 200, body: {}};
		}

		if (machine.state !== 'up') {
			return {status: 409, body: {reason: 'busy'}};
		}

		this.#takeDown(machine, isUpkeep ? {state: 'upkeep', durationMs: this.#options.upkeepMs, wave: body.wave} : {state: 'moving', durationMs: this.#options.moveMs, pool: body.pool});
		return {status: 200, body: {}};
	}

	#takeDown(machine, {state, durationMs, wave, pool}) {
		machine.worker?.end();
		machine.worker = undefined;
		machine.state = state;
		machine.pool = pool ?? machine.pool;
		const upkeep = {
			machine: machine.machine, wave, beganAtMs: Date.now(), endedAtMs: undefined,
		};
		if (wave !== undefined) {
			machine.waves.add(wave);
			this.upkeeps.push(upkeep);
			this.#options.record.add(`upkeep of ${machine.machine} begins`);
		}

		setTimeout(async () => {
			upkeep.endedAtMs = Date.now();
			await this.#boot(machine.machine);
		}, durationMs);
	}
}
