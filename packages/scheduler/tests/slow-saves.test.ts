/**
Saves that take long while runs end all the time. Guards against ends that no save releases: their workers list them again and again, and after 500 of them no newer ones.
*/
import {beforeEach, expect, test} from 'vitest';
import {
	type FinishedEntry, reduceScheduler, SchedulerState,
} from '../src/index.js';
import {type EventBody} from './support/event-body.js';
import {acceptedChange, jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, pool} from './support/scheduler-simulation.js';

const fencingToken = 5;
const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const taskCount = 100;
const job = jobOf(1, {steps: [stepOf({taskCount})]});
const roundMs = 25;
const saveMs = 240;

let state: SchedulerState;
let nowMs: number;

let endCount: number;
/** When the save under way is stored, and the ends that it stores. */
let savedAtMs: number;
let endsInSave: number;

const dispatch = (event: EventBody): void => {
	const {effects} = reduceScheduler(state, {...event, nowMs, wallMs: 1_000_000 + nowMs});
	if (effects.some(({type}) => type === 'save')) {
		savedAtMs = nowMs + saveMs;
		endsInSave = endCount;
	}
};

const worker = () => state.workers.get('w1')!;

/** The worker lists all ends that it was not told to forget. */
const report = (count: number): void => {
	const finished = Array.from({length: count}, (_value, index): FinishedEntry => ({
		sequence: index + 1, taskKey: `${job.jobId}.0.0.${index}`, attempt: 4001, end: 'done', checkpoint: '',
	})).filter(({sequence}) => sequence > worker().acknowledgedSequence);
	dispatch({
		type: 'polled', fencingToken, workerId: 'w1', incarnation: worker().incarnation, sentAtMs: nowMs - 1, sentAcknowledgement: worker().acknowledgedSequence, answer: {
			type: 'report', report: {
				clockMs: nowMs, bornWallMs: 900_000, running: [], finished,
			},
		},
	});
};

beforeEach(() => {
	state = new SchedulerState();
	nowMs = 0;
	endCount = 0;
	endsInSave = 0;
	savedAtMs = Number.POSITIVE_INFINITY;
	dispatch({type: 'configured', configuration: configurationWithoutStandby(1)});
	dispatch({
		type: 'workersListed', workers: [{
			workerId: 'w1', pool, address: 'w1:1', dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 900_000, coldLeftMs: 0,
		}],
	});
	dispatch({type: 'leaseWon', fencingToken});
	dispatch({type: 'jobsChanged', changes: [acceptedChange(job)]});
});

test('an end is acknowledged with the save that stores it, although others end on its worker while each save is under way', () => {
	let storedEnds = 0;
	while (endCount < taskCount) {
		nowMs += roundMs;
		if (nowMs >= savedAtMs) {
			savedAtMs = Number.POSITIVE_INFINITY;
			storedEnds = endsInSave;
			dispatch({type: 'saved', fencingToken, saveNumber: state.pendingSaveNumber!});
		}

		expect(worker().acknowledgedSequence).toBe(storedEnds);
		report(++endCount);
		dispatch({type: 'tick', jobRowsConfirmedAtMs: nowMs});
	}

	expect(storedEnds).toBeGreaterThan(taskCount / 2);
});
