/**
The clients: they hand jobs in, cancel some and look at others. What they do is drawn from a seed; how the calls interleave is not.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type RandomSource} from '@poplarnotch/common';
import {type Daemon} from './daemons.js';
import {drawBetween} from './draws.js';
import {type Received, type Sent} from './http.js';
import {
	isLasting, type Job, type JobBody, type Look, type Step,
} from './ledger.js';
import {type Deployment} from './deployment.js';
import {
	addedQueue, customers, maxAttempts, queues,
} from './settings.js';

const maxSubmissions = 4;
const maxCancels = 10;
const retryMs = 200;
const lookIntervalMs = 100;
const looksAtLast = 300;

/** Shares of the jobs. */
const lastingShare = 0.02;
const repeatedShare = 0.06;
const failingOnceShare = 0.06;
const failingShare = 0.03;
const cancelledShare = 0.08;
const cancelledLastingShare = 0.4;

/** Share of the accepted submissions that arrive once more, seconds later. */
const lateCopyShare = 0.03;

const images = ['left', 'right'] as const;
const firstId = 0xA0_00_00_00;

/** Jobs that are handed in at once on the route that comes and goes, and their work. */
const addedJobs = 4;
const firstAddedId = 0xC0_00_00_00;
const addedWorkMs = 400;
const addedStep: Step = {
	count: 4, cpu: 1500, mem_mb: 500, estimate_ms: addedWorkMs,
};

/** What is known of a job that was not sent yet. */
const notSent = {
	refusals: 0, otherAnswers: 0, acceptedAtMs: undefined, cancelSentAtMs: undefined, cancelledAtMs: undefined,
} as const;

const deadlineMs = 3000;
const refusals = new Set([429, 503]);
const validAnswers = new Set([0, 200, 429, 502, 503, 504]);

export class Traffic {
	readonly #deployment: Deployment;
	/** Draws the jobs, in the order in which they are handed in. */
	readonly #jobRandom: RandomSource;
	/** Draws the daemons and the looks, in an order that depends on the answers. */
	readonly #callRandom: RandomSource;
	readonly #timers: NodeJS.Timeout[] = [];
	readonly #pending: Array<Promise<void>> = [];
	readonly #jobs: Job[] = [];
	#addedJobs = 0;

	constructor(deployment: Deployment, jobRandom: RandomSource, callRandom: RandomSource) {
		this.#deployment = deployment;
		this.#jobRandom = jobRandom;
		this.#callRandom = callRandom;
	}

	start(jobsPerSecond: number, endsAtWallMs: number): void {
		this.#timers.push(setInterval(() => {
			this.#follow(this.#play(this.#drawJob(endsAtWallMs)));
		}, 1000 / jobsPerSecond), setInterval(() => {
			const job = this.#jobs.slice(-looksAtLast).at(Math.floor(this.#callRandom.next() * looksAtLast));
			if (job?.acceptedAtMs !== undefined) {
				this.#follow(this.#look(job));
			}
		}, lookIntervalMs));
	}

	stop(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}
	}

	/** Hands in a job with one lasting step, which is not drawn, and resolves to it. */
	async submitLasting(id: string, taskCount: number): Promise<Job> {
		const job: Job = {
			...notSent, id, queue: queues[0], customer: customers[0], workMs: 0, failures: 0, cancelAfterMs: undefined,
			body: {
				spec: `lasting,tasks=${taskCount}`, phases: [{
					count: taskCount, cpu: 500, mem_mb: 200, estimate_ms: 300, persistent: true,
				}],
			},
		};
		this.#deployment.ledger.jobs.set(id, job);
		await this.#submit(job);
		return job;
	}

	/** Hands jobs in on the route that comes and goes. None is owed: with its route, the daemons may forget a job. */
	submitAdded(): void {
		for (let left = addedJobs; left > 0; left--) {
			const id = (firstAddedId + this.#addedJobs++).toString(16).padStart(16, '0');
			const job: Job = {
				...notSent, id, queue: addedQueue, customer: customers[0], workMs: addedWorkMs, failures: 0, cancelAfterMs: undefined, cancelSentAtMs: performance.now(),
				body: {spec: `added,number=${this.#addedJobs}`, phases: [addedStep, {...addedStep, after: [0]}]},
			};
			this.#deployment.ledger.jobs.set(id, job);
			this.#follow(this.#submit(job).then(() => undefined));
		}
	}

	/** Hands in one more drawn job, and resolves once it is accepted or given up. */
	async submitLast(): Promise<void> {
		await this.#submit(this.#drawJob(Date.now()));
	}

	/** Resolves once all clients have their answers. */
	async finish(): Promise<void> {
		await Promise.all(this.#pending);
	}

	/** Looks at a job; a call without an answer is sent once more, since an idle connection may just have been closed. */
	async lookAtEnd(job: Job): Promise<Look> {
		const look = await this.#lookOnce(job);
		return look.status === 0 ? this.#lookOnce(job) : look;
	}

	#follow(work: Promise<void>): void {
		this.#pending.push(work);
	}

	#between(min: number, max: number): number {
		return drawBetween(this.#jobRandom, min, max);
	}

	#drawJob(endsAtWallMs: number): Job {
		const share = this.#jobRandom.next();
		const lasts = share < lastingShare;
		const isRepeated = !lasts && share < lastingShare + repeatedShare;
		const failureDraw = this.#jobRandom.next();
		const workMs = this.#between(200, 1700);
		const isCancelled = this.#jobRandom.next() < (lasts ? cancelledLastingShare : cancelledShare);
		const failures = failureDraw < failingShare ? Number.POSITIVE_INFINITY : (failureDraw < failingShare + failingOnceShare ? 1 : 0);
		const phases = lasts ? [this.#drawLastingStep()] : Array.from({length: this.#between(1, 3)}, (_value, index) => this.#drawStep(index, workMs));
		const body: JobBody = {spec: `work=${workMs},number=${this.#jobs.length}`, phases, ...(isRepeated ? this.#drawTimes(endsAtWallMs) : {})};
		const job: Job = {
			...notSent, id: (firstId + this.#jobs.length).toString(16).padStart(16, '0'), queue: this.#pick(queues), customer: this.#pick(customers),
			body, workMs, failures: lasts ? 0 : failures, cancelAfterMs: isCancelled ? this.#between(0, 4000) : undefined,
		};
		this.#jobs.push(job);
		this.#deployment.ledger.jobs.set(job.id, job);
		return job;
	}

	#drawLastingStep(): Step {
		return {
			count: this.#between(1, 3), cpu: 500, mem_mb: 200, estimate_ms: 300, image: this.#pick(images), persistent: true, target_ms: 400,
		};
	}

	#drawStep(index: number, workMs: number): Step {
		const step = {
			count: this.#between(1, 10), cpu: 1500, mem_mb: 500, estimate_ms: workMs, image: this.#pick(images),
		};
		const isFree = this.#jobRandom.next() < 0.3;
		return index === 0 || isFree ? step : {...step, after: [this.#between(0, index - 1)]};
	}

	#pick<Value>(choices: readonly Value[]): Value {
		return choices[this.#between(0, choices.length - 1)]!;
	}

	/** Times of a job that repeats: all are due before the traffic ends. */
	#drawTimes(endsAtWallMs: number): Pick<JobBody, 'repeat_count' | 'start_ms' | 'period_ms'> {
		const count = this.#between(2, 4);
		const startMs = Date.now() + this.#between(500, 4000);
		const periodMs = Math.min(this.#between(800, 4000), Math.floor(Math.max(0, endsAtWallMs - startMs) / count));
		return {repeat_count: count, start_ms: startMs, period_ms: Math.max(200, periodMs)};
	}

	async #play(job: Job): Promise<void> {
		const hasLateCopy = this.#callRandom.next() < lateCopyShare;
		if (!await this.#submit(job)) {
			return;
		}

		if (hasLateCopy) {
			await sleep(1000);
			await this.#send('POST', job, this.#pickDaemon());
		}

		if (job.cancelAfterMs !== undefined) {
			await sleep(job.cancelAfterMs);
			await this.#cancel(job);
		}
	}

	/** Hands a job in until it is accepted or the submissions are used up. */
	async #submit(job: Job): Promise<boolean> {
		for (let submission = 1; submission <= maxSubmissions; submission++) {
			const {status} = await this.#send('POST', job, this.#pickDaemon());
			if (refusals.has(status)) {
				job.refusals++;
			} else {
				job.otherAnswers++;
			}

			if (status === 200) {
				job.acceptedAtMs = performance.now();
				return true;
			}

			await sleep(retryMs);
		}

		return false;
	}

	async #cancel(job: Job): Promise<void> {
		job.cancelSentAtMs = performance.now();
		for (let call = 1; call <= maxCancels; call++) {
			const {status} = await this.#send('DELETE', job, this.#pickDaemon());
			if (status === 200) {
				job.cancelledAtMs = performance.now();
			}

			if (status === 200 || status === 410) {
				return;
			}

			await sleep(retryMs);
		}
	}

	async #look(job: Job): Promise<void> {
		this.#deployment.ledger.looks.push(await this.#lookOnce(job));
	}

	async #lookOnce(job: Job): Promise<Look> {
		const {ledger} = this.#deployment;
		const daemon = this.#pickDaemon();
		const {status, body} = await this.#send('GET', job, daemon);
		const {state} = (body ?? {}) as {readonly state?: string};
		const atMs = performance.now();
		const tasks = ledger.tasksOf(job);
		return {
			job, daemon: daemon.name, atMs, status, state,
			isDone: tasks.every(task => ledger.isDoneBy(task, atMs)), hasFailed: !isLasting(job) && tasks.some(task => ledger.failedRuns(task) >= maxAttempts),
		};
	}

	#pickDaemon(): Daemon {
		const {daemons} = this.#deployment;
		const open = daemons.filter(({takesCalls}) => takesCalls);
		const choice = open.length === 0 ? daemons : open;
		return choice[Math.floor(this.#callRandom.next() * choice.length)]!;
	}

	async #send(method: Sent['method'], job: Job, daemon: Daemon): Promise<Received> {
		const {ledger, record} = this.#deployment;
		const headers = {host: job.queue.host, key: job.customer.key, 'deadline-ms': String(deadlineMs)};
		const received = await daemon.clients.call({
			method, path: `${job.queue.prefix}${job.id}`, headers, body: method === 'POST' ? job.body : undefined,
		});
		const {state = ''} = (received.body ?? {}) as {readonly state?: string};
		const text = `${method} ${job.id} at ${daemon.name}: ${received.status === 0 ? 'no answer' : received.status} ${state}`;
		record.add(`client: ${text}`);
		const isOfMissingRoute = job.queue === addedQueue && received.status === 404;
		if (!validAnswers.has(received.status) && !isOfMissingRoute && !(received.status === 410 && method !== 'POST')) {
			ledger.oddAnswers.push(text);
		}

		return received;
	}
}
