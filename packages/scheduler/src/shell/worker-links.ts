/**
Looks at workers in turn: each look extends the lease of what runs there, reports ends, and tells the worker which ends it may forget. A worker with work is looked at all the time, one without work rarely.
*/
import {type Clock} from '@poplarnotch/common';
import {
	busyLookWaitMs, idleLookEveryMs, lookPauseMs, lookRetryMs,
} from '../constants.js';
import {type SchedulerEvent} from '../core/events.js';
import {type WorkerRecord} from '../core/records.js';
import {type SchedulerState} from '../core/scheduler-state.js';
import {deadlineClockMs, noteLeaseSent} from '../core/workers.js';
import {type WorkerControl} from '../ports.js';

export type WorkerLinksOptions = {
	readonly control: WorkerControl;
	readonly clock: Clock;
	readonly state: () => SchedulerState;
	readonly dispatch: (event: SchedulerEvent) => void;
};

type Link = {
	isLooking: boolean;
	nextLookAtMs: number;
};

const needsLook = (worker: WorkerRecord): boolean =>
	!worker.isFenced || worker.runs.size > 0 || worker.acknowledgedSequence > worker.sentAcknowledgement || worker.silentSinceMs !== undefined;

export class WorkerLinks {
	readonly #options: WorkerLinksOptions;
	readonly #links = new Map<string, Link>();

	constructor(options: WorkerLinksOptions) {
		this.#options = options;
	}

	/** Starts the looks that are due. */
	lookAround(): void {
		const state = this.#options.state();
		if (state.term === undefined) {
			return;
		}

		const nowMs = this.#options.clock.nowMs();
		for (const [workerId, worker] of state.workers) {
			const link = this.#linkOf(workerId);
			const dueMs = needsLook(worker) ? link.nextLookAtMs : Math.max(link.nextLookAtMs, worker.lastAnswerAtMs + idleLookEveryMs);
			const mayRunSomething = !worker.isEnded && (worker.isListed || nowMs < worker.leaseOverAtMs || !worker.isFenced);
			if (!link.isLooking && mayRunSomething && nowMs >= dueMs) {
				void this.#look(worker, link, state.term.fencingToken);
			}
		}

		for (const workerId of this.#links.keys()) {
			if (!state.workers.has(workerId)) {
				this.#links.delete(workerId);
			}
		}
	}

	#linkOf(workerId: string): Link {
		let link = this.#links.get(workerId);
		if (link === undefined) {
			link = {isLooking: false, nextLookAtMs: 0};
			this.#links.set(workerId, link);
		}

		return link;
	}

	async #look(worker: WorkerRecord, link: Link, fencingToken: number): Promise<void> {
		const {clock, control, dispatch} = this.#options;
		const {workerId, address} = worker.entry;
		link.isLooking = true;
		const sentAtMs = clock.nowMs();
		const sentAcknowledgement = worker.acknowledgedSequence;
		// A worker that does not answer gets no longer lease, so that what it ran is surely over some time.
		const deadline = worker.runs.size > 0 && worker.silentSinceMs === undefined ? deadlineClockMs(worker, sentAtMs) : undefined;
		if (deadline !== undefined) {
			noteLeaseSent(worker, sentAtMs);
		}

		// Only a settled worker waits for an end; the first look and acknowledgements are answered at once.
		const waitMs = worker.isFenced && worker.runs.size > 0 && worker.silentSinceMs === undefined ? busyLookWaitMs : 0;
		const answer = await control.look({workerId, address}, {
			fencingToken, acknowledgedSequence: sentAcknowledgement, deadlineClockMs: deadline, waitMs,
		});
		const nowMs = clock.nowMs();
		link.isLooking = false;
		link.nextLookAtMs = nowMs + (answer.type === 'report' ? lookPauseMs : lookRetryMs);
		dispatch({
			type: 'looked', workerId, answer, sentAtMs, sentAcknowledgement, nowMs, wallMs: clock.wallTimeMs(),
		});
	}
}
