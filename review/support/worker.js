/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
Stand-in of a worker: one life of a machine. It runs tasks under leases, refuses orders with an outdated fencing token or attempt, keeps the ends of runs until they are acknowledged, and registers itself in the store.

A task's behaviour follows from its `spec`, a list of `name=value` pairs: `work` is its run time in ms, and tasks whose index is below `fails` end as failed, as often as they run.
*/
import {performance} from 'node:perf_hooks';
import {serve, silence} from './http.js';

const heartbeatMs = 1500;
const maxEnds = 500;
const tickMs = 10;
const stopMs = 50;

const numberOf = (spec, name, otherwise) => {
	const pair = spec.split(',').find(each => each.startsWith(`${name}=`));
	return pair === undefined ? otherwise : Number(pair.slice(name.length + 1));
};

export class Worker {
	/** While set, the worker answers nobody, and runs on. */
	isCutOff = false;
	isUp = true;
	/** Orders to run that were received, also those that were refused. */
	starts = [];
	#options;
	#bornWallMs = Date.now();
	#bornAtMs = performance.now();
	#fence = 0;
	#running = new Map();
	#finished = [];
	#sequence = 0;
	#acknowledged = 0;
	#closedAttempts = new Map();
	#deadlineMs = 0;
	#server;
	#timers = [];
	#waiting = new Set();

	/** `options`: id, service, ip, zone, capacity, labels, holdMaxMs, store, record. */
	constructor(options) {
		this.#options = options;
	}

	get id() {
		return this.#options.id;
	}

	get service() {
		return this.#options.service;
	}

	get running() {
		return [...this.#running.values()];
	}

	async start(port = 0) {
		this.#server = await serve(this.#options.ip, port, async call => this.#answer(call));
		this.#timers = [setInterval(() => {
			this.#advance();
		}, tickMs), setInterval(() => {
			this.#register();
		}, heartbeatMs)];
		this.#register();
	}

	/** Ends everything that runs here, and the worker. */
	end() {
		this.isUp = false;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const run of this.running) {
			run.endedAtMs = Date.now();
			run.how = 'gone';
			this.#options.record.add(`${this.id} ends with ${run.task}#${run.attempt}`);
		}

		this.#running.clear();
		this.#server.close();
		this.#options.store.remove('servers', this.id);
	}

	/** Crashes, and starts again under the same id after a while. The address stays the same. */
	async restart(downMs) {
		const {id, record} = this.#options;
		const [, port] = this.#server.address.split(':');
		record.add(`${id} crashes`);
		this.isUp = false;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const run of this.running) {
			run.endedAtMs = Date.now();
			run.how = 'gone';
		}

		this.#server.close();
		await new Promise(resolve => {
			setTimeout(resolve, downMs);
		});
		this.registrations = 0;
		this.#bornWallMs = Date.now();
		this.#bornAtMs = performance.now();
		this.#fence = 0;
		this.#running = new Map();
		this.#finished = [];
		this.#sequence = 0;
		this.#acknowledged = 0;
		this.#closedAttempts = new Map();
		this.#deadlineMs = 0;
		this.isUp = true;
		record.add(`${id} starts again`);
		await this.start(Number(port));
	}

	#register() {
		const {id, service, zone, capacity, labels, store} = this.#options;
		this.registrations = (this.registrations ?? 0) + 1;
		store.put('servers', id, {
			service, addr: this.#server.address, zone, version: '1', slots: 8, state: 'ready', capacity, labels, cold_left_ms: 0, seq: this.registrations, born: this.#bornWallMs,
		});
	}

	get #clockMs() {
		return Math.floor(performance.now() - this.#bornAtMs);
	}

	#advance() {
		const nowMs = this.#clockMs;
		const isLapsed = this.#running.size > 0 && nowMs >= this.#deadlineMs;
		for (const run of this.running) {
			if (isLapsed) {
				this.#finish(run, 'lapsed');
			} else if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) {
				this.#finish(run, 'stopped');
			} else if (nowMs >= run.endsAtMs) {
				this.#finish(run, run.fails ? 'failed' : 'done');
			}
		}
	}

	#finish(run, how) {
		this.#running.delete(run.task);
		this.#closedAttempts.set(run.task, Math.max(this.#closedAttempts.get(run.task) ?? 0, run.attempt));
		this.#finished.push([++this.#sequence, run.task, run.attempt, how, '']);
		run.endedAtMs = Date.now();
		run.how = how;
		this.#options.record.add(`${this.id} ${run.task}#${run.attempt} ends ${how}`);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #answer({path, headers, body}) {
		if (this.isCutOff) {
			return silence;
		}

		if (headers['target-instance'] !== undefined && headers['target-instance'] !== this.id) {
			return {status: 421, body: {clock_ms: this.#clockMs}};
		}

		const fence = body.fencing_token ?? 0;
		if (fence < this.#fence) {
			return {status: 409, body: {clock_ms: this.#clockMs, reason: 'fence'}};
		}

		this.#fence = fence;
		switch (path) {
			case '/run-start': {
				return this.#start(body);
			}

			case '/run-stop': {
				return this.#stop(body);
			}

			case '/hold': {
				return this.#hold(body);
			}

			case '/pace': {
				return {status: 200, body: {clock_ms: this.#clockMs}};
			}

			default: {
				return {status: 404};
			}
		}
	}

	#extend(deadlineMs) {
		this.#deadlineMs = Math.max(this.#deadlineMs, Math.min(deadlineMs, this.#clockMs + this.#options.holdMaxMs));
	}

	#start({task, attempt, spec, deadline_ms: deadlineMs, fencing_token: fence}) {
		const nowMs = this.#clockMs;
		const refuse = reason => ({status: 409, body: {clock_ms: nowMs, reason}});
		if (deadlineMs <= nowMs) {
			return refuse('late');
		}

		this.#extend(deadlineMs);
		const known = this.#running.get(task);
		if (known?.attempt === attempt) {
			return {status: 200, body: {clock_ms: nowMs}};
		}

		if (known !== undefined || attempt <= (this.#closedAttempts.get(task) ?? 0)) {
			return refuse('old');
		}

		const index = Number(task.split('.')[3]);
		const run = {
			task, attempt, spec, worker: this.id, startedAtMs: Date.now(), endedAtMs: undefined, endsAtMs: nowMs + numberOf(spec, 'work', 1000), fails: index < numberOf(spec, 'fails', 0),
		};
		this.#running.set(task, run);
		this.starts.push(run);
		this.#options.record.add(`${this.id} ${task}#${attempt} starts, fencing token ${fence}`);
		return {status: 200, body: {clock_ms: nowMs}};
	}

	#stop({task, attempt}) {
		const run = this.#running.get(task);
		if (run !== undefined && run.attempt <= attempt) {
			run.stopAtMs ??= this.#clockMs + stopMs;
		}

		this.#closedAttempts.set(task, Math.max(this.#closedAttempts.get(task) ?? 0, attempt));
		return {status: 200, body: {clock_ms: this.#clockMs}};
	}

	async #hold({deadline_ms: deadlineMs, ack_cursor: acknowledged = 0, wait_ms: waitMs = 0}) {
		if (deadlineMs !== undefined) {
			this.#extend(deadlineMs);
		}

		if (acknowledged > this.#acknowledged) {
			this.#acknowledged = acknowledged;
			this.#options.record.add(`${this.id} ends acknowledged up to ${acknowledged}`);
			this.#finished = this.#finished.filter(([sequence]) => sequence > acknowledged);
		}

		if (waitMs > 0 && this.#finished.length === 0) {
			await this.#nextEnd(waitMs);
		}

		if (this.isCutOff) {
			return silence;
		}

		const nowMs = this.#clockMs;
		return {
			status: 200, body: {
				clock_ms: nowMs,
				born: this.#bornWallMs,
				running: this.running.map(run => {
					const startedMs = run.startedAtMs - this.#bornWallMs;
					const share = (nowMs - startedMs) / Math.max(1, run.endsAtMs - startedMs);
					return [run.task, run.attempt, '', Math.max(0, Math.min(99, Math.floor(100 * share)))];
				}),
				finished: this.#finished.slice(0, maxEnds),
			},
		};
	}

	async #nextEnd(waitMs) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.#waiting.add(wake);
		});
	}
}
