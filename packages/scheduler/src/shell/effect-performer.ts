/**
Performs the scheduler's effects: orders to workers and machines, advice requests, saves and reports. The result of each is dispatched as an event.
*/
import {
	assertNever, type Clock, type Logger, type MetricsRegistry,
} from '@poplarnotch/common';
import {ConflictError, failureReason, type RowCondition} from '@poplarnotch/platform';
import {storeRetryDelayMs} from '../constants.js';
import {
	type JobEnds, type ProgressSave, type SchedulerEffect, type SchedulerEvent,
} from '../core/events.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {type JobStore} from '../jobs/job-store.js';
import {
	type MachineControl, type MayBeSent, type PlacementAdvisor, type WaveReporter, type WorkerAddress, type WorkerControl,
} from '../ports.js';
import {DoneLog} from './done-log.js';
import {StartLog} from './start-log.js';
import {StoredEndsMonitor} from './stored-ends-monitor.js';

/** Time for which it is tried to record ends. Afterwards the leases of their workers are over. */
const maxRecordingMs = 10_000;

export type EffectPerformerOptions = {
	readonly processId: string;
	readonly workerControl: WorkerControl;
	readonly machineControl: MachineControl;
	readonly advisor: PlacementAdvisor;
	readonly waveReporter: WaveReporter;
	readonly store: JobStore;
	/** Reads the newest revision of the store. */
	readonly readRevision: () => Promise<number>;
	readonly state: () => SchedulerState;
	/** The fence of the present term, which is a condition of every save. */
	readonly fence: () => RowCondition | undefined;
	/** Whether orders under this token may be sent at this moment. */
	readonly mayOrder: (fencingToken: number) => boolean;
	/** Called when another process is known to hold the lease of the term with this token. */
	readonly abandonTerm: (fencingToken: number) => void;
	readonly dispatch: (event: SchedulerEvent) => void;
	readonly isClosed: () => boolean;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
};

export class EffectPerformer {
	readonly #options: EffectPerformerOptions;
	readonly #startLog: StartLog;
	readonly #doneLog: DoneLog;
	readonly #storedEnds: StoredEndsMonitor;
	/** Distinguishes the rows with ends that this incarnation of the process records. */
	readonly #recorder: string;
	#recordCount = 0;

	constructor(options: EffectPerformerOptions) {
		this.#options = options;
		this.#startLog = new StartLog(options.clock, options.log);
		this.#doneLog = new DoneLog(options.clock, options.log);
		this.#storedEnds = new StoredEndsMonitor(options);
		this.#recorder = `${options.processId}@${options.clock.wallTimeMs()}`;
	}

	/** Writes the log lines that wait for others. */
	flushLog(): void {
		this.#startLog.flush();
		this.#doneLog.flush();
	}

	get #state(): SchedulerState {
		return this.#options.state();
	}

	perform(effect: SchedulerEffect): void {
		switch (effect.type) {
			case 'start': {
				void this.#start(effect);
				break;
			}

			case 'stop': {
				void this.#stop(effect);
				break;
			}

			case 'pace': {
				void this.#pace(effect);
				break;
			}

			case 'requestAdvice': {
				void this.#requestAdvice(effect);
				break;
			}

			case 'save': {
				void this.#save(effect.save, effect.fencingToken);
				break;
			}

			case 'scheduleSave': {
				const {fencingToken, delayMs} = effect;
				this.#options.clock.schedule(delayMs, () => {
					this.#options.dispatch({type: 'saveDue', fencingToken, ...this.#now()});
				});
				break;
			}

			case 'recordEnds': {
				void this.#recordEnds(effect.jobs);
				break;
			}

			case 'move':
			case 'maintain': {
				void this.#orderMachine(effect);
				break;
			}

			case 'reportWave': {
				void this.#reportWave(effect);
				break;
			}

			case 'readRevision': {
				void this.#readRevision(effect);
				break;
			}

			case 'stepDown': {
				this.#options.log.warn({event: 'lease_superseded', fencingToken: effect.fencingToken, reason: effect.reason});
				this.#options.abandonTerm(effect.fencingToken);
				break;
			}

			case 'logDone': {
				this.#doneLog.record(effect.workerId, effect.done);
				break;
			}

			case 'endsStored': {
				this.#storedEnds.record(effect.agesMs);
				break;
			}

			case 'count': {
				this.#options.metrics.increment(effect.name);
				break;
			}

			case 'log': {
				this.#options.log[effect.level ?? 'info'](effect.fields);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	/** Returns where the worker is reached, and which incarnation of it is called. */
	#addressOf(workerId: string): WorkerAddress & {readonly incarnation: number} | undefined {
		const worker = this.#state.workers.get(workerId);
		return worker === undefined ? undefined : {workerId, address: worker.entry.address, incarnation: worker.incarnation};
	}

	/** Asks, right before an order is sent, whether it may be, and keeps the answer. */
	#permissionFor(fencingToken: number): {readonly mayBeSent: MayBeSent; isWithdrawn: boolean} {
		const permission = {
			isWithdrawn: false,
			mayBeSent: (): boolean => {
				permission.isWithdrawn = !this.#options.mayOrder(fencingToken);
				return !permission.isWithdrawn;
			},
		};
		return permission;
	}

	async #start({type: _type, waitedMs, progressVersion, orderToken, ...order}: Extract<SchedulerEffect, {readonly type: 'start'}>): Promise<void> {
		const {workerId, taskKey, attempt} = order;
		const worker = this.#addressOf(workerId);
		const sentAtMs = this.#options.clock.nowMs();
		const permission = this.#permissionFor(order.fencingToken);
		const answer = worker === undefined ? 'wrong-worker' : await this.#options.workerControl.start(worker, {...order, fencingToken: orderToken}, permission.mayBeSent);
		const {isWithdrawn} = permission;
		const durationMs = this.#options.clock.nowMs() - sentAtMs;
		this.#options.metrics.recordMs('task_wait_ms', waitedMs);
		this.#options.metrics.recordMs('worker_start_ms', durationMs);
		const {fencingToken} = order;
		if (answer === 'started') {
			this.#startLog.record({
				taskKey, attempt, workerId, waitedMs, durationMs, fencingToken, progressVersion,
			});
		} else {
			this.#options.log.info({
				event: 'task_not_started', taskKey, attempt, workerId, answer, isWithdrawn, waitedMs, durationMs: Math.round(durationMs), fencingToken,
			});
		}

		this.#options.dispatch({
			type: 'startAnswered', fencingToken, workerId, incarnation: worker?.incarnation ?? 0, taskKey, attempt, answer, isWithdrawn, ...this.#now(),
		});
	}

	async #stop({type: _type, reason, percent, orderToken, ...order}: Extract<SchedulerEffect, {readonly type: 'stop'}>): Promise<void> {
		const {workerId, taskKey, attempt, fencingToken} = order;
		const worker = this.#addressOf(workerId);
		const answer = worker === undefined ? 'wrong-worker' : await this.#options.workerControl.stop(worker, {...order, fencingToken: orderToken});
		this.#options.log.info({
			event: 'task_stop', taskKey, attempt, workerId, reason, percent, answer,
		});
		this.#options.dispatch({
			type: 'stopAnswered', fencingToken, workerId, incarnation: worker?.incarnation ?? 0, taskKey, attempt, answer, ...this.#now(),
		});
	}

	async #pace({type: _type, orderToken, ...order}: Extract<SchedulerEffect, {readonly type: 'pace'}>): Promise<void> {
		const worker = this.#addressOf(order.workerId);
		const answer = worker === undefined ? 'wrong-worker' : await this.#options.workerControl.pace(worker, {...order, fencingToken: orderToken});
		this.#options.log.info({
			event: 'task_pace', taskKey: order.taskKey, workerId: order.workerId, percent: order.percent, answer,
		});
		const {workerId, taskKey, attempt, percent, orderedAtMs, fencingToken} = order;
		this.#options.dispatch({
			type: 'paceAnswered', fencingToken, workerId, incarnation: worker?.incarnation ?? 0, taskKey, attempt, percent, orderedAtMs, answer, ...this.#now(),
		});
	}

	async #requestAdvice({requestNumber, jobId, occurrence, stepIndex, workers}: Extract<SchedulerEffect, {readonly type: 'requestAdvice'}>): Promise<void> {
		const stepKey = `${jobId}.${occurrence}.${stepIndex}`;
		const sentAtMs = this.#options.clock.nowMs();
		const answer = await this.#options.advisor.advise(stepKey, workers.map(({workerId}) => workerId));
		this.#options.log.info({
			event: 'advice', stepKey, asked: workers.length, allowed: answer.type === 'advised' ? answer.tickets.size : undefined, durationMs: Math.round(this.#options.clock.nowMs() - sentAtMs),
		});
		this.#options.dispatch({
			type: 'adviceAnswered', requestNumber, jobId, occurrence, stepIndex, workers, answer, sentAtMs, ...this.#now(),
		});
	}

	async #orderMachine(effect: Extract<SchedulerEffect, {readonly type: 'move' | 'maintain'}>): Promise<void> {
		const sentAtMs = this.#options.clock.nowMs();
		const {fencingToken} = effect;
		const permission = this.#permissionFor(fencingToken);
		const holder = {holder: this.#options.processId, fencingToken, mayBeSent: permission.mayBeSent};
		const received = effect.type === 'move'
			? await this.#options.machineControl.move(effect.machineId, effect.pool, holder)
			: await this.#options.machineControl.maintain(effect.machineId, effect.waveId, holder);
		const {isWithdrawn} = permission;
		// An earlier copy of the order may still be carried out, so the order stands.
		const answer = isWithdrawn ? 'unknown' : received;
		this.#options.log.info({
			event: 'machine_order', order: effect.type, machineId: effect.machineId, answer, isWithdrawn, durationMs: Math.round(this.#options.clock.nowMs() - sentAtMs), fencingToken: effect.fencingToken,
			...(effect.type === 'move' ? {pool: effect.pool, reason: effect.reason} : {waveId: effect.waveId}),
		});
		this.#options.dispatch({
			type: 'machineAnswered', fencingToken: effect.fencingToken, machineId: effect.machineId, orderNumber: effect.orderNumber, answer, ...this.#now(),
		});
	}

	/** Stores the progress under the fence of the term that it belongs to. A save of an earlier term must not be written under a later fence: the holder in between may have stored newer progress. */
	async #save(save: ProgressSave, fencingToken: number): Promise<void> {
		while (this.#isSavePending(save, fencingToken)) {
			const fence = this.#options.fence();
			try {
				if (fence?.version === fencingToken) {
					const refused = await this.#options.store.save(save, fence);
					this.#options.dispatch({
						type: 'saved', fencingToken, saveNumber: save.saveNumber, ...refused, ...this.#now(),
					});
					return;
				}
			} catch (error) {
				if (error instanceof ConflictError) {
					this.#options.log.warn({event: 'save_fenced', saveNumber: save.saveNumber, fencingToken});
					this.#options.abandonTerm(fencingToken);
					this.#options.dispatch({type: 'leaseLost', fencingToken, ...this.#now()});
					return;
				}

				this.#options.log.warn({
					event: 'save_failed', saveNumber: save.saveNumber, jobs: save.jobs.length, reason: failureReason(this.#options.log, 'save progress', error),
				});
			}

			await this.#pause(storeRetryDelayMs);
		}
	}

	/** Repeats the writes while they may still reach another holder in time. A row that is written twice is the same. */
	async #recordEnds(jobs: readonly JobEnds[]): Promise<void> {
		const {clock, log, store} = this.#options;
		const recordId = `${this.#recorder}.${++this.#recordCount}`;
		const startedAtMs = clock.nowMs();
		let isStored = false;
		await this.#repeat(() => clock.nowMs() - startedAtMs < maxRecordingMs, async () => {
			await store.recordEnds(jobs, recordId);
			isStored = true;
			log.info({
				event: 'ends_record_stored', recordId, jobs: jobs.length, durationMs: Math.round(clock.nowMs() - startedAtMs),
			});
		}, error => {
			log.warn({
				event: 'ends_record_failed', recordId, jobs: jobs.length, reason: failureReason(log, 'record ends', error),
			});
		});
		if (!isStored) {
			log.error({event: 'ends_record_abandoned', recordId, jobs: jobs.length});
		}
	}

	#isSavePending(save: ProgressSave, fencingToken: number): boolean {
		return this.#state.term?.fencingToken === fencingToken && this.#state.pendingSaveNumber === save.saveNumber && !this.#options.isClosed();
	}

	async #readRevision({fencingToken, after}: Extract<SchedulerEffect, {readonly type: 'readRevision'}>): Promise<void> {
		let hasFailed = false;
		await this.#repeat(() => this.#state.term?.fencingToken === fencingToken && !this.#state.isSettled, async () => {
			const revision = await this.#options.readRevision();
			this.#options.dispatch({
				type: 'revisionRead', fencingToken, revision, after, ...this.#now(),
			});
		}, error => {
			const reason = failureReason(this.#options.log, 'read revision', error);
			if (!hasFailed) {
				hasFailed = true;
				this.#options.log.warn({
					event: 'revision_not_read', fencingToken, after, reason,
				});
			}
		});
	}

	/** Repeats a report until it is written, unless the wave has reached another state or another term has begun meanwhile: the later report may be written already. */
	async #reportWave({fencingToken, waveId, state}: Extract<SchedulerEffect, {readonly type: 'reportWave'}>): Promise<void> {
		await this.#repeat(() => this.#state.term?.fencingToken === fencingToken && this.#state.waves.get(waveId)?.state === state, async () => {
			await this.#options.waveReporter.report(waveId, state);
			this.#options.log.info({event: 'wave_reported', waveId, state});
		}, error => {
			this.#options.log.warn({
				event: 'wave_report_failed', waveId, state, reason: failureReason(this.#options.log, 'report wave', error),
			});
		});
	}

	/** Repeats a call to the store after each failure, until it succeeds or is no longer wanted. */
	async #repeat(isWanted: () => boolean, call: () => Promise<void>, onFailure: (error: unknown) => void): Promise<void> {
		while (isWanted() && !this.#options.isClosed()) {
			try {
				await call();
				return;
			} catch (error) {
				onFailure(error);
				await this.#pause(storeRetryDelayMs);
			}
		}
	}

	#now(): {readonly nowMs: number; readonly wallMs: number} {
		return {nowMs: this.#options.clock.nowMs(), wallMs: this.#options.clock.wallTimeMs()};
	}

	async #pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.schedule(durationMs, resolve);
		});
	}
}
