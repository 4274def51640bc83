/**
The answer to a renewal comes moments after the holder has ceased to trust its lease, and before its contender has noticed. Guards against a holder that goes on for the rest of its term without a part of its permissions, although no other process ever held the lease.
*/
import {setImmediate as turn} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {MetricsRegistry, silentLogger, VirtualClock} from '@poplarnotch/common';
import {MemoryTableService} from '@poplarnotch/standin';
import {reduceScheduler} from '../src/core/reducer.js';
import {SchedulerState} from '../src/core/scheduler-state.js';
import {TermKeeper} from '../src/shell/term-keeper.js';
import {HostClock} from './support/host-clock.js';
import {jobOf, stepOf} from './support/jobs.js';
import {normalLatencyMs} from './support/fake-table.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

/** Time from the renewal that is answered late to the end of the trust in the one before; the contender, whose ticks a short pause has moved, checks 41 ms later. */
const trustLeftMs = 1300;

const answerDelaysMs = [10, 20, 25, 35, 60].map(lateMs => trustLeftMs + lateMs);

test.each(answerDelaysMs)('a holder whose renewal is answered after %i ms goes on storing progress', async delayMs => {
	const simulation = new SchedulerSimulation({
		seed: 5, processes: 3, workersPerPool: 4, standbyMachines: 0, outageScheduling: false, failureDetectionMs: 0,
	});
	await simulation.run(takeoverMs + 2150);
	const {table, clock, scheduler} = simulation.holder!;
	const {fencingToken} = scheduler.state.term!;
	table.latencyMs = delayMs;
	await simulation.run(1350);
	clock.freeze(140, 'process');
	await simulation.run(1300);
	table.latencyMs = normalLatencyMs;
	await simulation.run(3000);
	const job = jobOf(1, {steps: [stepOf({taskCount: 2})]});
	void simulation.submit(job);
	await simulation.run(3000);
	expect(scheduler.state.term?.fencingToken).toBe(fencingToken);
	expect(scheduler.state.jobs.get(job.jobId)).toMatchObject({outcome: 'completed', isOutcomeStored: true});
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
});

const checkIntervalMs = 20;
const stepMs = 5;

test.each(answerDelaysMs)('a holder that goes on through an outage may order machines again once its renewal is answered after %i ms', async delayMs => {
	const virtualClock = new VirtualClock();
	const clock = new HostClock(virtualClock);
	const table = new MemoryTableService();
	const state = new SchedulerState();
	let latencyMs = normalLatencyMs;
	const lastCommit = {sentAtMs: 0};
	const keeper = new TermKeeper({
		processId: 'holder',
		table: {
			readRows: async keys => table.readRows(keys),
			readPrefix: async prefix => table.readPrefix(prefix),
			changesSince: async (prefix, revision) => table.changesSince(prefix, revision),
			async commit(transaction) {
				lastCommit.sentAtMs = virtualClock.nowMs();
				const result = table.commitNow(transaction);
				await clock.wait(latencyMs);
				return result;
			},
		},
		state: () => state,
		dispatch(event) {
			reduceScheduler(state, event);
		},
		refreshCopies: async () => undefined,
		refreshOrders: async () => undefined,
		onLeaseChanged: () => undefined,
		onTermBegun: () => undefined,
		hasLargerPeer: () => false, polls: () => ({awaitsLongPolls: false, awaitsReports: false}),
		isSuccessor: () => true,
		outage: {peerCount: 1, hasOutageEvidence: () => true, evidenceAtMs: () => clock.nowMs()},
		clock,
		log: silentLogger,
		metrics: new MetricsRegistry(),
	});
	let wasUnconfirmed = false;
	const run = async (forMs: number): Promise<void> => {
		for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
			virtualClock.advance(stepMs);
			await turn();
			if (!clock.isFrozen && virtualClock.nowMs() % checkIntervalMs === 0) {
				keeper.check({nowMs: clock.nowMs(), wallMs: clock.wallTimeMs()}, 0);
				wasUnconfirmed ||= state.isLeaseUnconfirmed;
			}
		}
	};

	keeper.start();
	await run(2000);
	const renewedAtMs = lastCommit.sentAtMs;
	while (lastCommit.sentAtMs === renewedAtMs) {
		await run(stepMs);
	}

	await run(50);
	latencyMs = delayMs;
	await run(1350);
	clock.freeze(140, 'process');
	await run(1300);
	latencyMs = normalLatencyMs;
	await run(3000);
	expect(wasUnconfirmed).toBe(true);
	expect(state).toMatchObject({isSuspended: false, isLeaseUnconfirmed: false});
	keeper.close();
});
