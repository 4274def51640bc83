/**
One process's state, driven event by event without a shell.
*/
import {
	reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerEntry, type WorkerReport,
} from '../../src/index.js';
import {type EventBody} from './event-body.js';
import {configurationOf, pool} from './scheduler-simulation.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
export const wallOffsetMs = 1_000_000;

/** What a poll was sent by and to. */
type SentPoll = {readonly fencingToken: number; readonly incarnation: number};

const reportOf = (nowMs: number, report: Partial<WorkerReport>): WorkerReport => ({
	clockMs: nowMs, bornWallMs: wallOffsetMs - 60_000, running: [], finished: [], ...report,
});

/** A process that takes over, driven event by event. */
export class NewHolder {
	readonly state = new SchedulerState();

	constructor(readonly workers: readonly string[]) {
		this.dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
		this.dispatch({
			type: 'workersListed', workers: workers.map((workerId): WorkerEntry => ({
				workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: wallOffsetMs - 60_000, coldLeftMs: 0,
			})),
		}, 0);
	}

	dispatch(event: EventBody, nowMs: number): readonly SchedulerEffect[] {
		return reduceScheduler(this.state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects;
	}

	list(sentAtMs: number, down: readonly string[] = []): void {
		this.dispatch({
			type: 'machinesListed', sentAtMs, isOfOneMoment: true, machines: this.workers.map(workerId => ({
				machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: down.includes(workerId) ? 'down' : 'up', capacity, workerId: down.includes(workerId) ? undefined : workerId,
			} as const)),
		}, sentAtMs + 10);
	}

	/** Passes on the answer to a poll, by default one of the present term to the present incarnation. */
	report(workerId: string, nowMs: number, report: Partial<WorkerReport> = {}, poll: Partial<SentPoll> = {}): readonly SchedulerEffect[] {
		return this.dispatch({
			type: 'polled', ...this.#completed(workerId, poll), workerId, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {type: 'report', report: reportOf(nowMs, report)},
		}, nowMs);
	}

	/** Passes on a report that came after another one had answered its poll. */
	reportLate(workerId: string, nowMs: number, report: Partial<WorkerReport>, poll: Partial<SentPoll> = {}): readonly SchedulerEffect[] {
		return this.dispatch({
			type: 'reportedLate', ...this.#completed(workerId, poll), workerId, report: reportOf(nowMs, report),
		}, nowMs);
	}

	/** All workers report that they run nothing, and all machines are listed. */
	settle(nowMs: number): void {
		for (const workerId of this.workers) {
			this.report(workerId, nowMs);
		}

		this.list(nowMs);
	}

	#completed(workerId: string, {fencingToken = this.state.term!.fencingToken, incarnation = this.state.workers.get(workerId)!.incarnation}: Partial<SentPoll>): SentPoll {
		return {fencingToken, incarnation};
	}
}

export const startedTasks = (effects: readonly SchedulerEffect[]): readonly string[] => effects.flatMap(effect => effect.type === 'start' ? [effect.taskKey] : []);

/** Returns the ends that are to be recorded without the fence. */
export const recordsOf = (effects: readonly SchedulerEffect[]) => effects.flatMap(effect => effect.type === 'recordEnds' ? effect.jobs : []);
