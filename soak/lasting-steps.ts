/**
Jobs with lasting steps of two and three tasks, whose starts and stops are left unanswered for a while, one after the other, and are carried out late. They are played beside the traffic and the troubles, and have a sequence of draws of their own. In the calm after that, no task may stay unserved.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type RandomSource} from '@poplarnotch/common';
import {drawBetween} from './draws.js';
import {type Job, parseTask} from './ledger.js';
import {type Record} from './record.js';

const jobsPerRound = 4;
const firstId = 0xB0_00_00_00;

/** When each round begins, as a share of the traffic's duration, and how late its orders are carried out at least. Those of the first round come after the deadline of the starts, so no start takes effect. */
const rounds = [{at: 0.1, minLateMs: 5500}, {at: 0.6, minLateMs: 200}] as const;
const maxLateMs = 9000;

/** Long enough for a start to time out and for the stop that follows it to be sent. */
const minUnansweredMs = 2500;
const maxUnansweredMs = 4500;

/** A span of time, by the steady clock. */
export type Span = {
	readonly fromMs: number;
	toMs: number;
};

export type LastingStepsOptions = {
	readonly random: RandomSource;
	/** Hands a job in until it is accepted or the submissions are used up. */
	readonly submit: (id: string, taskCount: number) => Promise<Job>;
	readonly record: Record;
};

export class LastingSteps {
	readonly jobs: Job[] = [];
	/** When orders were unanswered, or were still to be carried out. */
	readonly disturbed: Span[] = [];
	readonly #options: LastingStepsOptions;
	readonly #ids = new Set<string>();
	#lateMs = 0;

	constructor(options: LastingStepsOptions) {
		this.#options = options;
	}

	/** How late an order for the task is carried out, without an answer; 0 if it is answered. */
	lateMsOf(task: string): number {
		return this.#ids.has(parseTask(task).id) ? this.#lateMs : 0;
	}

	/** Plays all rounds and resolves once the last late order is carried out. */
	async play(durationMs: number): Promise<void> {
		const beganAtMs = performance.now();
		for (const {at, minLateMs} of rounds) {
			await sleep(Math.max(0, beganAtMs + (at * durationMs) - performance.now()));
			await this.#playRound(minLateMs);
		}
	}

	/** New jobs are started, and those of earlier rounds are started again, under the same silence. */
	async #playRound(minLateMs: number): Promise<void> {
		const {random, record, submit} = this.#options;
		const lateMs = drawBetween(random, minLateMs, maxLateMs);
		const unansweredMs = drawBetween(random, minUnansweredMs, maxUnansweredMs);
		const span: Span = {fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY};
		this.disturbed.push(span);
		this.#lateMs = lateMs;
		record.add(`orders for lasting steps get no answer for ${unansweredMs} ms, and are carried out ${lateMs} ms late`);
		const submitted = Promise.all(Array.from({length: jobsPerRound}, async (_value, index) => {
			const id = (firstId + this.#ids.size).toString(16).padStart(16, '0');
			this.#ids.add(id);
			this.jobs.push(await submit(id, 2 + (index % 2)));
		}));
		await sleep(unansweredMs);
		this.#lateMs = 0;
		await Promise.all([submitted, sleep(lateMs)]);
		span.toMs = performance.now();
		record.add('orders for lasting steps are answered, and the late ones are carried out');
	}
}
