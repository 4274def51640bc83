/**
A new lease holder starts a job before every worker has reported only if no earlier holder can have started it. Guards against a second start of a job that this process has merely read late (TWICE).
*/
import {expect, test} from 'vitest';
import {type SchedulerEffect} from '../src/core/events.js';
import {reduceScheduler} from '../src/core/reducer.js';
import {SchedulerState} from '../src/core/scheduler-state.js';
import {type WorkerEntry} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf} from './support/jobs.js';
import {configurationOf, pool} from './support/scheduler-simulation.js';

const wallOffsetMs = 1_000_000;
const bornWallMs = wallOffsetMs - 60_000;
const fencingToken = 5;
const ordersOverAtMs = 2000;
const goneAtMs = 100;

/** The newest revision of the store once the orders of the earlier holder are over. */
const revision = 40;

const workerOf = (workerId: string): WorkerEntry => ({
	workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity: {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0}, labels: [], rack: 'r', bornWallMs, coldLeftMs: 0,
});

class Holder {
	readonly #state = new SchedulerState();

	/** Takes over from a holder that may give orders for some time, and hears one of two workers. */
	constructor() {
		this.dispatch({type: 'configured', configuration: configurationOf(1)}, 0);
		this.dispatch({type: 'workersListed', workers: [workerOf('heard'), workerOf('unheard')]}, 0);
		this.dispatch({type: 'leaseWon', fencingToken, earlierHolder: {mayOrderUntilMs: ordersOverAtMs, mayOrderMachinesUntilMs: 3000}}, 0);
		this.dispatch({
			type: 'polled', fencingToken, workerId: 'heard', incarnation: 1, sentAtMs: 1, sentAcknowledgement: 0, answer: {
				type: 'report', report: {
					clockMs: 0, bornWallMs, running: [], finished: [],
				},
			},
		}, 5);
	}

	dispatch(event: EventBody, nowMs: number): readonly SchedulerEffect[] {
		return reduceScheduler(this.#state, {...event, nowMs, wallMs: wallOffsetMs + nowMs}).effects;
	}

	/** Runs rounds, answers the question for the newest revision, and returns the number of starts. */
	run(fromMs: number, toMs: number): number {
		let starts = 0;
		for (let nowMs = fromMs; nowMs < toMs; nowMs += 20) {
			const effects = this.dispatch({type: 'tick'}, nowMs);
			starts += effects.filter(({type}) => type === 'start').length;
			if (effects.some(({type}) => type === 'readRevision')) {
				this.dispatch({type: 'revisionRead', fencingToken, revision}, nowMs + 5);
			}
		}

		return starts;
	}

	read(version: number, nowMs: number, rowKey = 'row'): void {
		this.dispatch({type: 'jobsChanged', changes: [acceptedChange(jobOf(1), {version, rowKey})]}, nowMs);
	}

	hearThatEarlierHolderIsGone(): void {
		this.dispatch({type: 'earlierHolderChanged', earlierHolder: {mayOrderUntilMs: goneAtMs, mayOrderMachinesUntilMs: goneAtMs}}, goneAtMs);
	}
}

test.each([
	{about: 'before the earlier holder is heard to be gone', isGone: true, readAtMs: 60},
	{about: 'after the earlier holder is heard to be gone', isGone: true, readAtMs: 150},
	{about: 'long after the earlier holder is heard to be gone', isGone: true, readAtMs: 900},
	{about: 'after the orders of the earlier holder are over', isGone: false, readAtMs: ordersOverAtMs + 50},
])('a job that was stored before, and is read $about, waits for the worker that may run it', ({isGone, readAtMs}) => {
	const holder = new Holder();
	let starts = holder.run(20, Math.min(readAtMs, goneAtMs));
	if (isGone && readAtMs > goneAtMs) {
		holder.hearThatEarlierHolderIsGone();
	}

	starts += holder.run(Math.min(readAtMs, goneAtMs) + 20, readAtMs);
	holder.read(revision, readAtMs);
	if (isGone && readAtMs < goneAtMs) {
		holder.hearThatEarlierHolderIsGone();
	}

	starts += holder.run(Math.max(readAtMs, goneAtMs) + 10, readAtMs + 1000);
	expect(starts).toBe(0);
});

test('a job that was stored after the orders of the earlier holder were over starts at once', () => {
	const holder = new Holder();
	expect(holder.run(20, ordersOverAtMs + 40)).toBe(0);
	holder.read(revision + 1, ordersOverAtMs + 50);
	expect(holder.run(ordersOverAtMs + 60, ordersOverAtMs + 100)).toBeGreaterThan(0);
});

test('a job of which an earlier row is stored as well is not new', () => {
	const holder = new Holder();
	holder.run(20, ordersOverAtMs + 40);
	holder.read(revision, ordersOverAtMs + 50);
	holder.read(revision + 1, ordersOverAtMs + 50, 'later row');
	expect(holder.run(ordersOverAtMs + 60, ordersOverAtMs + 1000)).toBe(0);
});
