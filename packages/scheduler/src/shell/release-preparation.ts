/**
Prepares a planned release of the lease, by a process that stops or yields. What it has ordered and read must not be known to it alone: the next holder would use a machine that is about to be taken away, and hears of ends from workers, some of which may have left by then.
*/
import {type Clock, type Logger} from '@poplarnotch/common';
import {storeAwayAfterMs} from '../constants.js';
import {type SchedulerEvent} from '../core/events.js';
import {awaitsMachineAnswers} from '../core/machines.js';
import {isProgressStored} from '../core/progress-persistence.js';
import {type SchedulerState} from '../core/scheduler-state.js';

/** Time for which the answers to orders to machines are awaited, while tasks are started. */
const maxMachineAnswersMs = 1500;

/** Time within which the workers have answered polls that let them wait for long: `busyPollWaitMs` and an answer. */
const maxLongPollsMs = 550;

/** Time for which the last polls are awaited: `urgentPollWaitMs` and an answer, where the process has its processor for a part of the time only. */
const maxListeningMs = 400;

/** Time within which progress is stored: the save under way and one more, of a quarter of a second each where the store is slow. */
const maxStoringMs = 800;

/** The same for a process that stops: it releases the lease in any case, and leaves what is not stored to the next holder. */
const maxStoringAtStopMs = 350;

/** A save that takes longer may await the outcome of a call that has lost its answer. */
const promptStoringMs = 100;
const checkIntervalMs = 5;

/** The polls of the workers. */
export type Polls = {
	/** A worker that answers may take longer than an urgent poll does to answer the one in flight. */
	readonly awaitsLongPolls: boolean;
	/** A poll of a worker that answers is in flight. */
	readonly awaitsReports: boolean;
};

export type ReleasePreparationOptions = {
	readonly state: () => SchedulerState;
	readonly dispatch: (event: SchedulerEvent) => void;
	readonly polls: () => Polls;
	readonly clock: Clock;
	readonly log: Logger;
};

/** How a preparation went, part by part. */
type PreparationRecord = {
	readonly fencingToken: number;
	readonly areMachinesDone: boolean;
	readonly areReportsHeard: boolean;
	readonly isStored: boolean;
	readonly machinesMs: number;
	readonly listeningMs: number;
	readonly storingMs: number;
};

export class ReleasePreparation {
	readonly #options: ReleasePreparationOptions;

	constructor(options: ReleasePreparationOptions) {
		this.#options = options;
	}

	/** Sends no more orders to machines and awaits the answers, then polls nothing and awaits the reports that are under way, and at last orders nothing and stores what was read. Resolves to whether all is answered and stored, or the term has ended; a store that does not answer delays the release for a short time only. */
	async prepare({isStopping}: {readonly isStopping: boolean}): Promise<boolean> {
		const polls = this.#options.polls();
		const {term, pendingSaveNumber, lastSaveAtMs} = this.#state;
		if (term === undefined) {
			return true;
		}

		if (pendingSaveNumber !== undefined && this.#nowMs() - lastSaveAtMs >= storeAwayAfterMs) {
			// The store does not answer this process, and the next holder may reach it.
			this.#options.log.warn({
				event: 'release_not_prepared', fencingToken: term.fencingToken, pendingSave: pendingSaveNumber, saveAgeMs: Math.round(this.#nowMs() - lastSaveAtMs),
			});
			return false;
		}

		const {fencingToken} = term;
		const plannedAtMs = this.#nowMs();
		this.#dispatch('releasePlanned', fencingToken);
		await this.#waitWithin(fencingToken, maxLongPollsMs, () => !polls.awaitsLongPolls);
		const areMachinesDone = await this.#waitWithin(fencingToken, maxMachineAnswersMs, () => !awaitsMachineAnswers(this.#state));
		const pollingEndedAtMs = this.#nowMs();
		this.#dispatch('pollingEnded', fencingToken);
		const areReportsHeard = await this.#waitWithin(fencingToken, maxListeningMs, () => !polls.awaitsReports);
		const heardAtMs = this.#nowMs();
		this.#dispatch('handoverBegun', fencingToken);
		const isStored = await this.#store(fencingToken, isStopping ? maxStoringAtStopMs : maxStoringMs);
		this.#logPrepared({
			fencingToken,
			areMachinesDone,
			areReportsHeard,
			isStored,
			machinesMs: Math.round(pollingEndedAtMs - plannedAtMs),
			listeningMs: Math.round(heardAtMs - pollingEndedAtMs),
			storingMs: Math.round(this.#nowMs() - heardAtMs),
		});
		return areMachinesDone && isStored;
	}

	/** Stores what was read. Resolves to whether that was done within the time. */
	async #store(fencingToken: number, maxMs: number): Promise<boolean> {
		const isStored = (): boolean => isProgressStored(this.#state, this.#nowMs());
		if (await this.#waitWithin(fencingToken, promptStoringMs, isStored)) {
			return true;
		}

		this.#dispatch('storingDelayed', fencingToken);
		return this.#waitWithin(fencingToken, maxMs - promptStoringMs, isStored);
	}

	/** Logs how long each part took, and which of them reached its time limit. */
	#logPrepared(fields: PreparationRecord): void {
		const isComplete = fields.areMachinesDone && fields.areReportsHeard && fields.isStored;
		this.#options.log[isComplete ? 'info' : 'warn']({event: 'release_prepared', hasTermEnded: this.#state.term?.fencingToken !== fields.fencingToken, ...fields});
	}

	/** Resolves to true once the condition holds or the term has ended, or to false after the given time. */
	async #waitWithin(fencingToken: number, maxMs: number, holds: () => boolean): Promise<boolean> {
		const {clock} = this.#options;
		const untilMs = this.#nowMs() + maxMs;
		while (this.#state.term?.fencingToken === fencingToken && !holds()) {
			if (this.#nowMs() >= untilMs) {
				return false;
			}

			await new Promise<void>(resolve => {
				clock.schedule(checkIntervalMs, resolve);
			});
		}

		return true;
	}

	get #state(): SchedulerState {
		return this.#options.state();
	}

	#nowMs(): number {
		return this.#options.clock.nowMs();
	}

	#dispatch(type: 'releasePlanned' | 'pollingEnded' | 'handoverBegun' | 'storingDelayed', fencingToken: number): void {
		const {clock, dispatch} = this.#options;
		dispatch({
			type, fencingToken, nowMs: clock.nowMs(), wallMs: clock.wallTimeMs(),
		});
	}
}
