/**
One holder in virtual time, with its poller, over workers that run nothing and list what has ended on them: 500 ends at a time, until they are acknowledged.
*/
import {VirtualClock} from '@poplarnotch/common';
import {pollPauseMs} from '../../src/constants.js';
import {
	type FinishedEntry, type MachineEntry, reduceScheduler, type SchedulerEffect, SchedulerState, type WorkerAddress, type WorkerControl, type WorkerEntry,
} from '../../src/index.js';
import {WorkerPoller} from '../../src/shell/worker-poller.js';
import {type EventBody} from './event-body.js';
import {pool} from './scheduler-simulation.js';

const roundMs = 25;
const machineListIntervalMs = 400;
const maxListedEnds = 500;
const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};

/** When all workers started, unless `born` tells otherwise. */
export const bornWallMs = 900_000;

export const workerEntryOf = (workerId: string): WorkerEntry => ({
	workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
});

export const machineOf = (workerId: string): MachineEntry => ({
	machineId: `m-${workerId}`, pool, dataCentre: 'dc', state: 'up', capacity, workerId,
});

type PendingSave = {readonly saveNumber: number; readonly jobIds: readonly string[]};

export class ListingWorkers {
	readonly clock = new VirtualClock();
	readonly state = new SchedulerState();
	/** Keys of the tasks that were started. */
	readonly starts: string[] = [];
	/** The ends on each worker, and up to which it was told to forget them. */
	readonly ends = new Map<string, readonly FinishedEntry[]>();
	readonly acknowledged = new Map<string, number>();
	readonly born = new Map<string, number>();
	/** Workers that do not answer. */
	readonly silent = new Set<string>();
	machines: readonly MachineEntry[];
	/** When the takeover was settled. */
	settledAtMs: number | undefined;
	isStoreAway = false;
	/** The job whose progress the store refuses. */
	refusedJobId: string | undefined;
	#pendingSave: PendingSave | undefined;
	readonly #poller: WorkerPoller;

	constructor(workerIds: readonly string[]) {
		this.machines = workerIds.map(workerId => machineOf(workerId));
		const control: Pick<WorkerControl, 'poll'> = {
			poll: async ({workerId}: WorkerAddress, {acknowledgedSequence}) => this.#list(workerId, acknowledgedSequence),
		};
		this.#poller = new WorkerPoller({
			control: control as WorkerControl, clock: this.clock, state: () => this.state, pauseMs: () => pollPauseMs, dispatch: event => {
				this.dispatch(event);
			},
		});
	}

	dispatch(event: EventBody): readonly SchedulerEffect[] {
		const nowMs = this.clock.nowMs();
		const {effects} = reduceScheduler(this.state, {...event, nowMs, wallMs: 1_000_000 + nowMs});
		for (const effect of effects) {
			if (effect.type === 'start') {
				this.starts.push(effect.taskKey);
			}

			if (effect.type === 'save') {
				this.#pendingSave = {saveNumber: effect.save.saveNumber, jobIds: effect.save.jobs.map(({jobId}) => jobId)};
			}

			if (effect.type === 'log' && effect.fields.event === 'takeover_settled') {
				this.settledAtMs = nowMs;
			}
		}

		return effects;
	}

	/** Runs rounds, lists the machines from time to time, polls the workers and answers the saves. */
	async run(forMs: number): Promise<void> {
		for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += roundMs) {
			this.clock.advance(roundMs);
			if (this.clock.nowMs() % machineListIntervalMs === 0) {
				this.dispatch({type: 'machinesListed', sentAtMs: this.clock.nowMs(), machines: this.machines});
			}

			this.dispatch({type: 'tick', jobRowsConfirmedAtMs: this.clock.nowMs()});
			this.#poller.pollDueWorkers(this.clock.nowMs());
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			this.#answerSave();
		}
	}

	#list(workerId: string, acknowledgedSequence: number) {
		if (this.silent.has(workerId)) {
			return {type: 'unreachable'} as const;
		}

		const acknowledged = Math.max(this.acknowledged.get(workerId) ?? 0, acknowledgedSequence);
		this.acknowledged.set(workerId, acknowledged);
		const finished = (this.ends.get(workerId) ?? []).filter(({sequence}) => sequence > acknowledged).slice(0, maxListedEnds);
		return {
			type: 'report', report: {
				clockMs: this.clock.nowMs(), bornWallMs: this.born.get(workerId) ?? bornWallMs, running: [], finished,
			},
		} as const;
	}

	#answerSave(): void {
		if (this.#pendingSave === undefined || this.state.term === undefined || this.isStoreAway) {
			return;
		}

		const {saveNumber, jobIds} = this.#pendingSave;
		this.#pendingSave = undefined;
		this.dispatch({
			type: 'saved', fencingToken: this.state.term.fencingToken, saveNumber, refusedJobIds: jobIds.filter(jobId => jobId === this.refusedJobId),
		});
	}
}
