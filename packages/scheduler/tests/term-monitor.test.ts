/**
A holder that stood still, and one that takes over again a moment after its last term, are told from others only by these lines.
*/
import {expect, test} from 'vitest';
import {type LogFields, silentLogger, VirtualClock} from '@poplarnotch/common';
import {type ObservedTerm, TermMonitor} from '../src/shell/term-monitor.js';

test('a term is logged as it begins, and its standstills as it ends', () => {
	const clock = new VirtualClock();
	const lines: LogFields[] = [];
	let term: ObservedTerm | undefined;
	const monitor = new TermMonitor({
		term: () => term, clock, log: {
			...silentLogger, info(fields) {
				lines.push(fields);
			},
		},
	});
	const begin = (fencingToken: number): void => {
		term = {
			fencingToken, wonAtMs: clock.nowMs(), openStarts: 2, unknownStartsUntilMs: clock.nowMs() + 300, openJobs: 7, isEarlierHolderLost: fencingToken === 9,
		};
	};

	monitor.recordRound(400);
	begin(9);
	monitor.recordRound(400);
	expect(lines).toEqual([{
		event: 'term_began', fencingToken: 9, sinceEarlierTermMs: undefined, openStarts: 2, unknownForMs: 300, openJobs: 7, earlierHolder: 'lost',
	}]);
	for (const latenessMs of [0, 350, 20, 120]) {
		clock.advance(500);
		monitor.recordRound(latenessMs);
	}

	term = undefined;
	monitor.recordRound(0);
	expect(lines.at(-1)).toEqual({
		event: 'term_standstills', fencingToken: 9, longestMs: 350, count: 2, totalMs: 470,
	});
	clock.advance(1200);
	begin(14);
	monitor.recordRound(0);
	expect(lines.at(-1)).toMatchObject({
		event: 'term_began', fencingToken: 14, sinceEarlierTermMs: 1200, earlierHolder: 'stopped-or-none',
	});
	expect(lines).toHaveLength(3);
});
