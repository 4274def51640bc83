/**
Stand-in of a worker. It runs tasks under leases, refuses orders with an outdated fencing token or attempt, keeps the ends of runs until they are acknowledged, and registers itself in the store.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from '@poplarnotch/common';
import {type Answer, type Call, JsonServer} from './http.js';
import {
	type Ledger, type Loss, parseTask, type Run,
} from './ledger.js';
import {type Record} from './record.js';
import {type RowStore} from './row-store.js';
import {bounds, workerCapacity} from './settings.js';
import {WakeUp} from './wake-up.js';

const maxEnds = 500;
const stopMs = 50;
const startupMs = 300;

/** A registration is written anew this often, and removed after three times as long without that. */
const heartbeatMs = 1500;
export const registrationMs = 3 * heartbeatMs;

/** What a serving task reports as the tail of its response times. */
const servingTailMs = 40;
const maxHoldWaitMs = 2000;

const orderSchema = z.object({
	task: z.string().default(''),
	attempt: z.number().default(0),
	spec: z.string().default(''),
	fencing_token: z.number().default(0),
	deadline_ms: z.number().optional(),
	ack_cursor: z.number().default(0),
	wait_ms: z.number().int().max(maxHoldWaitMs).default(0),
});
type Order = z.infer<typeof orderSchema> & {readonly isLate?: boolean};

/** A run that is at work, with times of its worker's clock. */
type ActiveRun = {
	readonly run: Run;
	readonly beganMs: number;
	endsMs: number;
	readonly isFailing: boolean;
	readonly cpu: number;
	readonly memoryMb: number;
	readonly isServing: boolean;
	stopsMs: number | undefined;
};

/** What a worker knows between two starts. */
const newIncarnation = () => ({
	bornWallMs: Date.now(),
	bornAtMs: performance.now(),
	registrations: 0,
	fence: 0,
	deadlineMs: 0,
	sequence: 0,
	acknowledged: 0,
	active: new Map<string, ActiveRun>(),
	closedAttempts: new Map<string, number>(),
	/** Ends that are not acknowledged yet, in their order. */
	unacknowledged: [] as Run[],
});

export type WorkerOptions = {
	readonly id: string;
	readonly service: string;
	readonly ip: string;
	readonly zone: string;
	readonly rack: string;
	readonly rows: RowStore;
	readonly ledger: Ledger;
	readonly record: Record;
	/** Called before a start is carried out. */
	readonly beforeStart: () => void;
	/** How late a start or stop for the task is carried out, without an answer; 0 if it is answered. */
	readonly lateMsOf: (task: string) => number;
};

export class Worker {
	/** While set, the worker does not register itself. */
	isUnregistered = false;
	/** The same, as the worker does not reach the store. */
	isCutFromStore = false;
	/** While set, no call reaches the worker, and it runs on. */
	isSilent = false;
	/** Orders with this fencing token or a lower one are carried out, and their answers are lost. */
	muteUpToFence = 0;
	/** Orders with this fencing token or a lower one do not arrive. */
	deafUpToFence = 0;
	/** Calls of before a crash may still be carried out. */
	isUnderLateCalls = false;
	/** How late the calls of a path are carried out, without an answer, by the incarnation that is there by then. Others are answered. */
	readonly lateMsByPath = new Map<string, number>();
	readonly #options: WorkerOptions;
	#server: JsonServer | undefined;
	#isUp = false;
	/** When the worker may leave, by the steady clock; set while it drains. */
	#leavesAtMs: number | undefined;
	#lateCalls = 0;
	#incarnation = newIncarnation();
	/** When its registration was last written. */
	#registeredAtMs = Number.NEGATIVE_INFINITY;
	readonly #ended = new WakeUp();

	constructor(options: WorkerOptions) {
		this.#options = options;
	}

	get id(): string {
		return this.#options.id;
	}

	get zone(): string {
		return this.#options.zone;
	}

	get service(): string {
		return this.#options.service;
	}

	get labels(): readonly string[] {
		return ['a', this.#options.rack];
	}

	get isUp(): boolean {
		return this.#isUp;
	}

	get isDraining(): boolean {
		return this.#leavesAtMs !== undefined;
	}

	get port(): number {
		return this.#server!.port;
	}

	/** Ends `done` that a holder was told of and has not acknowledged. */
	get listedEnds(): readonly Run[] {
		return this.#incarnation.unacknowledged.filter(({how, listedAtMs}) => how === 'done' && listedAtMs !== undefined);
	}

	/** Calls are still to be carried out late. */
	get hasLateCalls(): boolean {
		return this.#lateCalls > 0;
	}

	/** Highest fencing token that the worker has seen. */
	get fence(): number {
		return this.#incarnation.fence;
	}

	isRunning(task: string): boolean {
		return this.#incarnation.active.has(task);
	}

	/** Starts an incarnation that knows nothing of earlier ones. */
	async start(port = this.#server?.port ?? 0): Promise<void> {
		this.#server = await JsonServer.listen(this.#options.ip, port, async call => this.#answer(call));
		this.#incarnation = newIncarnation();
		this.#isUp = true;
		this.register();
	}

	/** Crashes, and starts again after a while under the same id and address. */
	async restart(downMs: number): Promise<void> {
		this.#options.record.add(`${this.id} crashes`);
		this.endFor('crashed');
		await sleep(downMs);
		await this.start();
		this.#options.record.add(`${this.id} starts again`);
	}

	/** Ends everything that runs here, and the worker. */
	end(): void {
		this.#isUp = false;
		this.#server?.close();
		for (const {run} of this.#incarnation.active.values()) {
			run.endedAtMs = performance.now();
			run.how = 'gone';
		}

		this.#incarnation.active.clear();
	}

	/** Ends, and takes the ends along that are not acknowledged. */
	endFor(loss: Loss): void {
		for (const run of this.#incarnation.unacknowledged) {
			run.lostAtMs = performance.now();
			run.lostBy = loss;
		}

		this.#options.record.add(`${this.id} is gone, ${loss}, with ${this.#incarnation.unacknowledged.length} ends that are not acknowledged`);
		this.end();
	}

	/** Reports that it drains, and serves on. What is at work, and does not last, ends after `endsInMs`. */
	drain(noticeMs: number, endsInMs: number): void {
		this.#leavesAtMs = performance.now() + noticeMs;
		this.#options.record.add(`${this.id} drains, and leaves in ${noticeMs} ms`);
		for (const active of this.#incarnation.active.values()) {
			active.endsMs = active.endsMs === Number.POSITIVE_INFINITY ? active.endsMs : this.#clockMs + endsInMs;
		}

		this.register();
	}

	register(): void {
		if (this.#isUp && !this.isUnregistered && !this.isCutFromStore) {
			this.#incarnation.registrations++;
			this.#registeredAtMs = performance.now();
			this.#options.rows.put('servers', this.id, {
				service: this.#options.service, addr: this.#server!.address, zone: this.zone, version: '1', slots: 8, ...this.#stateFields, cold_left_ms: 0,
				capacity: workerCapacity, labels: this.labels, seq: this.#incarnation.registrations, born: this.#incarnation.bornWallMs,
			});
		}
	}

	unregister(): void {
		const name = {table: 'servers', key: this.id};
		if (this.#options.rows.live(name) !== undefined) {
			this.#options.rows.apply([], [name]);
		}
	}

	/** Writes its registration anew when that is due; one that has not been written for long is removed. */
	keepRegistered(nowMs: number): void {
		if (nowMs - this.#registeredAtMs >= heartbeatMs) {
			this.register();
		}

		if (nowMs - this.#registeredAtMs >= registrationMs) {
			this.unregister();
		}
	}

	/** Ends the runs whose time has come. */
	advance(): void {
		const nowMs = this.#clockMs;
		const hasLapsed = nowMs >= this.#incarnation.deadlineMs;
		if (hasLapsed) {
			for (const run of this.#incarnation.unacknowledged.filter(({lapsedAtMs}) => lapsedAtMs === undefined)) {
				run.lapsedAtMs = performance.now();
				run.wasIdleAtLapse = this.#incarnation.active.size === 0;
			}
		}

		for (const active of this.#incarnation.active.values()) {
			if (hasLapsed) {
				this.#finish(active, 'lapsed');
			} else if (active.stopsMs !== undefined && nowMs >= active.stopsMs) {
				this.#finish(active, 'stopped');
			} else if (nowMs >= active.endsMs) {
				this.#finish(active, active.isFailing ? 'failed' : 'done');
			}
		}
	}

	get #stateFields(): {readonly state: string; readonly remaining_ms?: number} {
		return this.#leavesAtMs === undefined ? {state: 'ready'} : {state: 'draining', remaining_ms: Math.max(0, Math.floor(this.#leavesAtMs - performance.now()))};
	}

	get #clockMs(): number {
		return Math.floor(performance.now() - this.#incarnation.bornAtMs);
	}

	#finish({run}: ActiveRun, how: NonNullable<Run['how']>): void {
		this.#incarnation.active.delete(run.task);
		this.#close(run.task, run.attempt);
		run.endedAtMs = performance.now();
		run.how = how;
		run.sequence = ++this.#incarnation.sequence;
		this.#incarnation.unacknowledged.push(run);
		this.#options.record.add(`${this.id} ${run.task}#${run.attempt} ends ${how}, number ${run.sequence}`);
		this.#ended.notify();
		if (how === 'done') {
			this.#options.ledger.noteDone(run.task, run.endedAtMs);
		}
	}

	#close(task: string, attempt: number): void {
		this.#incarnation.closedAttempts.set(task, Math.max(this.#incarnation.closedAttempts.get(task) ?? 0, attempt));
	}

	async #answer({path, headers, body}: Call): Promise<Answer> {
		if (this.isSilent) {
			return 'silence';
		}

		const target = headers['target-instance'];
		if (target !== undefined && target !== this.id) {
			return {status: 421, body: {clock_ms: this.#clockMs}};
		}

		const parsed = orderSchema.safeParse(body);
		if (!parsed.success) {
			return {status: 400};
		}

		const order = parsed.data;
		if (order.fencing_token <= this.deafUpToFence) {
			return 'silence';
		}

		const lateMs = this.#lateMsOf(path, order);
		if (lateMs > 0) {
			this.#lateCalls++;
			setTimeout(() => {
				this.#lateCalls--;
				void this.#carryOut(path, {...order, isLate: true});
			}, lateMs);
			return 'silence';
		}

		const answer = await this.#carryOut(path, order);
		if (this.isSilent || order.fencing_token <= this.muteUpToFence) {
			return 'silence';
		}

		if (path === '/hold' && answer !== 'silence' && answer !== 'reset' && answer.status === 200) {
			this.#noteListed();
		}

		return answer;
	}

	#lateMsOf(path: string, {task}: Order): number {
		const isOrder = path === '/run-start' || path === '/run-stop';
		return Math.max(this.lateMsByPath.get(path) ?? 0, isOrder ? this.#options.lateMsOf(task) : 0);
	}

	async #carryOut(path: string, order: Order): Promise<Answer> {
		if (!this.#isUp) {
			return 'silence';
		}

		if (order.fencing_token < this.#incarnation.fence) {
			return this.#refuse('fence');
		}

		this.#incarnation.fence = order.fencing_token;
		switch (path) {
			case '/run-start': {
				return this.#begin(order);
			}

			case '/run-stop': {
				return this.#stop(order);
			}

			case '/hold': {
				return this.#hold(order);
			}

			case '/pace': {
				return {status: 200, body: {clock_ms: this.#clockMs}};
			}

			default: {
				return {status: 404};
			}
		}
	}

	#refuse(reason: string): Answer {
		return {status: 409, body: {clock_ms: this.#clockMs, reason}};
	}

	#extend(deadlineMs: number): void {
		this.#incarnation.deadlineMs = Math.max(this.#incarnation.deadlineMs, Math.min(deadlineMs, this.#clockMs + bounds.hold_max_ms));
	}

	#begin(order: Order): Answer {
		this.#options.beforeStart();
		const {task, attempt, deadline_ms: deadlineMs = 0} = order;
		const nowMs = this.#clockMs;
		if (deadlineMs <= nowMs) {
			return this.#refuse('late');
		}

		this.#extend(deadlineMs);
		const present = this.#incarnation.active.get(task);
		if (present?.run.attempt === attempt) {
			return {status: 200, body: {clock_ms: nowMs}};
		}

		if (present !== undefined || attempt <= (this.#incarnation.closedAttempts.get(task) ?? 0)) {
			return this.#refuse('old');
		}

		this.#run(order, nowMs);
		return {status: 200, body: {clock_ms: nowMs}};
	}

	#run({task, attempt, spec, fencing_token: fence, isLate = false}: Order, nowMs: number): void {
		const {ledger, record} = this.#options;
		const {id, step: stepNumber, index} = parseTask(task);
		const job = ledger.jobs.get(id);
		const step = job?.body.phases[stepNumber];
		const cpu = step?.cpu ?? 0;
		const memoryMb = step?.mem_mb ?? 0;
		const others = [...this.#incarnation.active.values()];
		const run: Run = {
			task, attempt, spec, fence, worker: this.id, service: this.#options.service, startedAtMs: performance.now(), isLate,
			usedCpu: others.reduce((sum, other) => sum + other.cpu, cpu),
			usedMemoryMb: others.reduce((sum, other) => sum + other.memoryMb, memoryMb),
			endedAtMs: undefined, how: undefined, sequence: undefined, notedAtMs: undefined, lapsedAtMs: undefined, wasIdleAtLapse: false,
			listedAtMs: undefined, lostAtMs: undefined, lostBy: undefined,
		};
		this.#incarnation.active.set(task, {
			run, beganMs: nowMs, endsMs: step?.persistent ? Number.POSITIVE_INFINITY : nowMs + (job?.workMs ?? 0),
			isFailing: index === 0 && ledger.failedRuns(task) < (job?.failures ?? 0), cpu, memoryMb, isServing: step?.target_ms !== undefined, stopsMs: undefined,
		});
		ledger.addRun(run);
		record.add(`${this.id} ${task}#${attempt} starts${isLate ? ' late' : ''}, fencing token ${fence}`);
	}

	#stop({task, attempt}: Order): Answer {
		const active = this.#incarnation.active.get(task);
		if (active !== undefined && active.run.attempt <= attempt) {
			active.stopsMs ??= this.#clockMs + stopMs;
		}

		this.#close(task, attempt);
		return {status: 200, body: {clock_ms: this.#clockMs}};
	}

	async #hold({deadline_ms: deadlineMs, ack_cursor: acknowledged, wait_ms: waitMs}: Order): Promise<Answer> {
		this.advance();
		if (deadlineMs !== undefined) {
			this.#extend(deadlineMs);
		}

		this.#acknowledge(acknowledged);
		if (waitMs > 0 && this.#incarnation.unacknowledged.length === 0) {
			await this.#ended.wait(waitMs);
		}

		const nowMs = this.#clockMs;
		return {
			status: 200, body: {
				clock_ms: nowMs,
				born: this.#incarnation.bornWallMs,
				running: [...this.#incarnation.active.values()].map(active => this.#describe(active, nowMs)),
				finished: this.#incarnation.unacknowledged.slice(0, maxEnds).map(({sequence, task, attempt, how}) => [sequence, task, attempt, how, '']),
			},
		};
	}

	#describe({run, beganMs, endsMs, isServing, cpu}: ActiveRun, nowMs: number): readonly unknown[] {
		const durationMs = endsMs === Number.POSITIVE_INFINITY ? startupMs : endsMs - beganMs;
		const maxPercent = endsMs === Number.POSITIVE_INFINITY ? 100 : 99;
		const percent = Math.min(maxPercent, Math.floor(100 * (nowMs - beganMs) / Math.max(1, durationMs)));
		return [run.task, run.attempt, '', percent, isServing ? servingTailMs : cpu];
	}

	#noteListed(): void {
		for (const run of this.#incarnation.unacknowledged.slice(0, maxEnds)) {
			run.listedAtMs ??= performance.now();
		}

		this.#options.ledger.listings.notify();
	}

	#acknowledge(acknowledged: number): void {
		if (acknowledged <= this.#incarnation.acknowledged) {
			return;
		}

		this.#incarnation.acknowledged = acknowledged;
		this.#options.record.add(`${this.id} ends acknowledged up to ${acknowledged}, fencing token ${this.#incarnation.fence}`);
		for (const run of this.#incarnation.unacknowledged.filter(({sequence}) => sequence! <= acknowledged)) {
			run.notedAtMs = performance.now();
		}

		this.#incarnation.unacknowledged = this.#incarnation.unacknowledged.filter(({sequence}) => sequence! > acknowledged);
	}
}
