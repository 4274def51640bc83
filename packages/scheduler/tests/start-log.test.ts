/**
The lines on starts and ends must stay few under load, or the holder's log drops lines and its processor time goes into them.
*/
import {expect, test} from 'vitest';
import {type LogFields, silentLogger, VirtualClock} from '@poplarnotch/common';
import {StartLog} from '../src/shell/start-log.js';

test('the starts of a step are logged together, none is left out, and a process that stops writes the last ones', () => {
	const clock = new VirtualClock();
	const lines: LogFields[] = [];
	const startLog = new StartLog(clock, {
		...silentLogger, info(fields) {
			lines.push(fields);
		},
	});
	const record = (step: string, count: number, progressVersion?: number): void => {
		for (let index = 0; index < count; index++) {
			startLog.record({
				taskKey: `${step}.${index}`, attempt: 7, workerId: `w-${index}`, waitedMs: index, durationMs: 3.4, fencingToken: 9, progressVersion,
			});
		}
	};

	record('a.0.0', 3);
	record('b.0.1', 100);
	expect(lines).toEqual([]);
	clock.advance(50);
	expect(lines[0]).toEqual({
		event: 'tasks_started', stepKey: 'a.0.0', count: 3, tasks: '0#7:w-0,1#7:w-1,2#7:w-2', waitedMs: 2, durationMs: 3, fencingToken: 9,
	});
	expect(lines.slice(1).map(({count}) => count)).toEqual([40, 40, 20]);
	record('c.0.0', 1, 0);
	record('c.0.0', 1, 417);
	startLog.flush();
	expect(lines.at(-1)).toMatchObject({stepKey: 'c.0.0', tasks: '0#7:w-0@0,0#7:w-0@417'});
	clock.advance(100);
	expect(lines.length).toBe(5);
});
