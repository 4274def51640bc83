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

	report(workerId: string, nowMs: number, {finished = [], running = [], bornWallMs = wallOffsetMs - 60_000}: Partial<WorkerReport> = {}): void {
		this.dispatch({
			type: 'polled', fencingToken: this.state.term!.fencingToken, workerId, incarnation: this.state.workers.get(workerId)!.incarnation, sentAtMs: nowMs, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: nowMs, bornWallMs, running, finished,
				},
			},
		}, nowMs);
	}
}
