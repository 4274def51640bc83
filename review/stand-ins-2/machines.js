/**
Stand-in of the platform's machines: it lists them, moves them between pools and takes them for their upkeep. An order ends the worker of its machine; a new one comes after `moveMs` or `upkeepMs`. Machines of a standby pool are off and have no worker.
*/
import {performance} from 'node:perf_hooks';
import {listenJson} from './http.js';

export class Machines {
	/** Orders that were accepted: machine, kind, holder, fencing token and time. */
	orders = [];
	#options;
	#states = new Map();
	#waves = new Map();
	#server;

	/** Options: `workers`, one a machine, each with its `pool`; `standbyPool`, `moveMs`, `upkeepMs`, `record`. */
	constructor(options) {
		this.#options = options;
		for (const worker of options.workers) {
			this.#states.set(worker.machine, {
				worker, state: 'up', fence: 0, doneWaves: new Set(),
			});
		}
	}

	get address() {
		return this.#server.address;
	}

	async listen(ip) {
		this.#server = await listenJson(ip, 0, call => this.#answer(call));
	}

	close() {
		this.#server?.close();
	}

	/** Registers a wave that the operator has ordered. */
	addWave(wave, machines) {
		this.#waves.set(wave, new Set(machines));
	}

	#answer({method, path, headers, body}) {
		switch (`${method} ${path}`) {
			case 'GET /machines': {
				return {status: 200, body: {machines: [...this.#states.values()].map(({worker, state}) => ({...worker.describe(), state: this.#stateOf(worker, state)}))}};
			}

			case 'POST /machine-move':
			case 'POST /machine-upkeep': {
				return this.#order(path, headers, body);
			}

			default: {
				return {status: 404};
			}
		}
	}

	#stateOf(worker, state) {
		return state === 'up' && !worker.isUp && !this.#isStandby(worker) ? 'down' : state;
	}

	#isStandby({pool}) {
		return pool === this.#options.standbyPool;
	}

	#order(path, headers, {machine, pool, wave}) {
		const known = this.#states.get(machine);
		const fence = Number(headers['fencing-token']);
		const holder = headers['lease-holder'];
		const kind = path === '/machine-move' ? `move to ${pool}` : `upkeep for wave ${wave}`;
		if (known === undefined) {
			return {status: 400};
		}

		if (fence < known.fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		known.fence = fence;
		if (wave !== undefined && !this.#waves.get(wave)?.has(machine)) {
			return {status: 409, body: {reason: 'wave'}};
		}

		if (pool === known.worker.pool || known.doneWaves.has(wave)) {
			return {status: 200, body: {}};
		}

		if (this.#stateOf(known.worker, known.state) !== 'up') {
			return {status: 409, body: {reason: 'busy'}};
		}

		this.orders.push({
			machine, kind, holder, fence, atMs: performance.now(),
		});
		this.#options.record(`machine ${machine}: ${kind} ordered by ${holder} with fencing token ${fence}`);
		this.#takeAway(known, wave === undefined ? {state: 'moving', pool, durationMs: this.#options.moveMs} : {state: 'upkeep', pool: known.worker.pool, durationMs: this.#options.upkeepMs});
		if (wave !== undefined) {
			known.doneWaves.add(wave);
		}

		return {status: 200, body: {}};
	}

	#takeAway(known, {state, pool, durationMs}) {
		known.worker.leave();
		known.worker.pool = pool;
		known.state = state;
		setTimeout(() => {
			known.state = 'up';
			if (!this.#isStandby(known.worker)) {
				known.worker.startNext();
			}
		}, durationMs).unref();
	}
}
