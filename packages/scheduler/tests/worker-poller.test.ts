/**
A holder under load must gather run ends of busy workers, but not at the cost of trials, which keep their workers from other tasks, or of machines that are about to leave.
*/
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {maxPollPauseMs, pollPauseMs} from '../src/constants.js';
import {
	reduceScheduler, SchedulerState, type WorkerAddress, type WorkerControl, type WorkerEntry,
} from '../src/index.js';
import {WorkerPoller} from '../src/shell/worker-poller.js';

const entryOf = (workerId: string): WorkerEntry => ({
	workerId, pool: 'pairing', address: `${workerId}:1`, dataCentre: 'dc', isDraining: workerId === 'draining', capacity: {cpuMillicores: 1000, memoryMb: 1000, accelerators: 0}, labels: [], rack: 'r', bornWallMs: 1, coldLeftMs: 0,
});

test('only workers whose run ends can wait are polled less often under load', async () => {
	const clock = new VirtualClock();
	const state = new SchedulerState();
	reduceScheduler(state, {
		type: 'workersListed', workers: ['busy', 'draining', 'reserved', 'on-trial'].map(workerId => entryOf(workerId)), nowMs: 0, wallMs: 0,
	});
	reduceScheduler(state, {
		type: 'leaseWon', fencingToken: 1, nowMs: 0, wallMs: 0,
	});
	state.workers.get('reserved')!.isReserved = true;
	state.workers.get('on-trial')!.trial = {
		tasks: [], workers: [], attempt: 1, saveNumber: 1, plannedAtMs: 0, isStarted: true,
	};
	const polls: string[] = [];
	const poller = new WorkerPoller({
		control: {
			async poll({workerId}: WorkerAddress) {
				polls.push(workerId);
				return {
					type: 'report', report: {
						clockMs: 0, bornWallMs: 1, running: [], finished: [],
					},
				};
			},
		} as unknown as WorkerControl,
		clock, state: () => state, pauseMs: () => maxPollPauseMs, dispatch() {
			// The workers stay as they are, so each of them is to be polled again.
		},
	});
	for (let elapsedMs = 0; elapsedMs < 10 * maxPollPauseMs; elapsedMs += pollPauseMs / 2) {
		poller.pollDueWorkers();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.advance(pollPauseMs / 2);
	}

	const countOf = (workerId: string): number => polls.filter(polled => polled === workerId).length;
	expect(countOf('busy')).toBeLessThanOrEqual(11);
	for (const workerId of ['draining', 'reserved', 'on-trial']) {
		expect(countOf(workerId), workerId).toBeGreaterThan(40);
	}
});
