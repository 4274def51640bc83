/* eslint-disable camelcase -- Fields are named by the users' pages. */
/**
Stand-in of a worker: runs tasks under leases, refuses what the users' pages say it refuses, lists the ends of runs until they are acknowledged, and registers itself in the store.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenJson} from './http.js';

const maxEndsPerReport = 500;
const stopMs = 50;
const startupMs = 300;
const holdMaxMs = 10_000;
const maxHoldWaitMs = 2000;
const holdCheckMs = 5;

const newLife = () => ({
	bornWallMs: Date.now(), bornAtMs: performance.now(), seq: 0, fence: 0, deadlineMs: 0, lastNumber: 0, running: new Map(), closedAttempts: new Map(), ends: [],
});

export class Worker {
	#options;
	#server;
	#life = newLife();
	#isUp = false;
	/** How many workers the machine has run before. */
	#generation = 0;

	/** `durationOf` returns how long a task works in ms, infinite for one that lasts. `disturb` may return `{lateMs}` for an order: it then gets no answer and is carried out that much later. */
	constructor(options) {
		this.#options = options;
		this.pool = options.pool;
	}

	/** A machine that was moved or kept up runs another worker. */
	get id() {
		return `w-${this.machine}-${this.#generation}`;
	}

	get machine() {
		return this.#options.machine;
	}

	get isUp() {
		return this.#isUp;
	}

	get fence() {
		return this.#life.fence;
	}

	/** Names of the tasks that run here. */
	get tasks() {
		return [...this.#life.running.keys()];
	}

	isAtWork(task) {
		return this.#life.running.has(task);
	}

	describe() {
		const {machine, zone, rack, capacity} = this.#options;
		return {
			machine, pool: this.pool, state: this.#isUp ? 'up' : 'down', zone, labels: ['a', rack], capacity, ...(this.#isUp ? {id: this.id} : {}),
		};
	}

	async start() {
		this.#life = newLife();
		this.#server = await listenJson(this.#options.ip, this.#server?.port ?? 0, async call => this.#answer(call));
		this.#isUp = true;
		this.#options.record(`${this.id} starts, born ${this.#life.bornWallMs}`);
		this.register();
	}

	/** Ends without a word, with all that runs here. */
	crash() {
		this.#isUp = false;
		this.#server.close();
		for (const {task, attempt} of this.#life.running.values()) {
			this.#options.record(`${this.id} ${task}#${attempt} is gone with its worker`);
		}

		this.#life.running.clear();
		this.#options.record(`${this.id} has crashed`);
	}

	/** Ends because its machine was ordered away, with all that runs here. */
	leave() {
		if (this.#isUp) {
			this.crash();
			this.#options.store.remove('servers', this.id);
		}
	}

	/** Another worker of the machine starts. */
	async startNext() {
		this.#generation++;
		await this.start();
	}

	close() {
		if (this.#isUp) {
			this.#isUp = false;
			this.#server.close();
		}
	}

	register() {
		if (this.#isUp) {
			const {zone, rack, capacity, store} = this.#options;
			this.#life.seq++;
			store.put('servers', this.id, {
				service: this.pool, addr: this.#server.address, zone, version: '1', slots: 8, state: 'ready', cold_left_ms: 0, capacity, labels: ['a', rack], seq: this.#life.seq, born: this.#life.bornWallMs,
			});
		}
	}

	/** Ends the runs whose time has come. */
	advance() {
		const nowMs = this.#clockMs;
		for (const run of this.#life.running.values()) {
			if (nowMs >= this.#life.deadlineMs) {
				this.#end(run, 'lapsed');
			} else if (run.stopsMs !== undefined && nowMs >= run.stopsMs) {
				this.#end(run, 'stopped');
			} else if (nowMs >= run.endsMs) {
				this.#end(run, 'done');
			}
		}
	}

	get #clockMs() {
		return Math.floor(performance.now() - this.#life.bornAtMs);
	}

	#end(run, how) {
		const number = ++this.#life.lastNumber;
		this.#life.running.delete(run.task);
		this.#closeAttempt(run);
		this.#life.ends.push([number, run.task, run.attempt, how, '']);
		this.#options.record(`${this.id} ${run.task}#${run.attempt} ends ${how}, number ${number}`);
	}

	#closeAttempt({task, attempt}) {
		this.#life.closedAttempts.set(task, Math.max(this.#life.closedAttempts.get(task) ?? 0, attempt));
	}

	async #answer({path, headers, body = {}}) {
		if (this.#options.isCutOff?.(this)) {
			return 'silence';
		}

		if (headers['target-instance'] !== undefined && headers['target-instance'] !== this.id) {
			return {status: 421, body: {clock_ms: this.#clockMs}};
		}

		const disturbance = this.#options.disturb?.(this, path, body);
		if (disturbance !== undefined) {
			const life = this.#life;
			this.#options.record(`${this.id} ${path} ${body.task}#${body.attempt} gets no answer, is carried out ${disturbance.lateMs} ms later`);
			setTimeout(async () => {
				if (life === this.#life && this.#isUp) {
					const answer = await this.#carryOut(path, body);
					this.#options.record(`${this.id} ${path} ${body.task}#${body.attempt} carried out late: ${answer.status} ${answer.body.reason ?? ''}`);
				}
			}, disturbance.lateMs).unref();
			return 'silence';
		}

		const answer = await this.#carryOut(path, body);
		// What was answered as the link was cut does not arrive.
		if (this.#options.isCutOff?.(this)) {
			return 'silence';
		}

		if (path !== '/hold') {
			this.#options.record(`${this.id} ${path} ${body.task}#${body.attempt} fencing token ${body.fencing_token}: ${answer.status} ${answer.body?.reason ?? ''}`);
		}

		return answer;
	}

	async #carryOut(path, order) {
		this.advance();
		const {fencing_token: fence = 0} = order;
		if (fence < this.#life.fence) {
			return this.#refuse('fence');
		}

		this.#life.fence = fence;
		switch (path) {
			case '/run-start': {
				return this.#start(order);
			}

			case '/run-stop': {
				return this.#stop(order);
			}

			case '/hold': {
				return this.#hold(order);
			}

			case '/pace': {
				return this.#accept();
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	#accept() {
		return {status: 200, body: {clock_ms: this.#clockMs}};
	}

	#refuse(reason) {
		return {status: 409, body: {clock_ms: this.#clockMs, reason}};
	}

	#extend(deadlineMs) {
		this.#life.deadlineMs = Math.max(this.#life.deadlineMs, Math.min(deadlineMs, this.#clockMs + holdMaxMs));
	}

	#start({task, attempt, deadline_ms: deadlineMs = 0}) {
		const nowMs = this.#clockMs;
		if (deadlineMs <= nowMs) {
			return this.#refuse('late');
		}

		this.#extend(deadlineMs);
		const present = this.#life.running.get(task);
		if (present?.attempt === attempt) {
			return this.#accept();
		}

		if (present !== undefined || attempt <= (this.#life.closedAttempts.get(task) ?? 0)) {
			return this.#refuse('old');
		}

		this.#life.running.set(task, {
			task, attempt, beganMs: nowMs, endsMs: nowMs + this.#options.durationOf(task), stopsMs: undefined,
		});
		this.#options.onStart?.(this, task, attempt);
		return this.#accept();
	}

	#stop({task, attempt}) {
		const run = this.#life.running.get(task);
		if (run !== undefined && run.attempt <= attempt) {
			run.stopsMs ??= this.#clockMs + stopMs;
		}

		this.#closeAttempt({task, attempt});
		return this.#accept();
	}

	async #hold({deadline_ms: deadlineMs, ack_cursor: cursor = 0, wait_ms: waitMs = 0}) {
		const life = this.#life;
		if (deadlineMs !== undefined) {
			this.#extend(deadlineMs);
		}

		life.ends = life.ends.filter(([number]) => number > cursor);
		const untilMs = this.#clockMs + Math.min(waitMs, maxHoldWaitMs);
		while (life.ends.length === 0 && this.#clockMs < untilMs && life === this.#life) {
			await sleep(holdCheckMs);
		}

		const nowMs = this.#clockMs;
		return {
			status: 200, body: {
				clock_ms: nowMs,
				born: life.bornWallMs,
				running: [...life.running.values()].map(({task, attempt, beganMs, endsMs}) => [task, attempt, '', this.#percentOf(beganMs, endsMs, nowMs), 100]),
				finished: life.ends.slice(0, maxEndsPerReport),
			},
		};
	}

	#percentOf(beganMs, endsMs, nowMs) {
		const isLasting = endsMs === Number.POSITIVE_INFINITY;
		const share = (nowMs - beganMs) / (isLasting ? startupMs : endsMs - beganMs);
		return Math.min(isLasting ? 100 : 99, Math.floor(100 * share));
	}
}
