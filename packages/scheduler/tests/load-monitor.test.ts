/**
A holder that is short of processor time must be told apart from one that is short of workers.
*/
import {expect, test} from 'vitest';
import {
	type LogFields, MetricsRegistry, silentLogger, VirtualClock,
} from '@poplarnotch/common';
import {LoadMonitor} from '../src/shell/load-monitor.js';

test('the load of the holder is logged once a second, and not across a break of its term', () => {
	const clock = new VirtualClock();
	const lines: LogFields[] = [];
	const work = {
		starts: 0, polls: 0, openJobs: 3, pollPauseMs: 30.4, termBeganAtMs: 0,
	};
	const monitor = new LoadMonitor({
		work: () => work,
		cpuTimeMs: () => clock.nowMs() * 0.4,
		clock,
		log: {
			...silentLogger, info(fields) {
				lines.push(fields);
			},
		},
		metrics: new MetricsRegistry(),
	});
	const runRounds = (count: number): void => {
		for (let round = 0; round < count; round++) {
			clock.advance(25);
			work.starts += 2;
			work.polls++;
			monitor.recordRound(5, round % 10);
		}
	};

	runRounds(41);
	expect(lines).toEqual([{
		event: 'scheduler_load', overMs: 1000, termAgeMs: 1025, cpuMs: 400, rounds: 40, roundMs: 200, longestRoundMs: 5, largestDelayMs: 9, starts: 80, polls: 40, pollPauseMs: 30, openJobs: 3,
	}]);
	monitor.reset();
	clock.advance(10_000);
	runRounds(2);
	expect(lines.length).toBe(1);
});
