/**
A holder whose progress is not stored starts tasks and reads ends as any other, so that only this line shows it.
*/
import {expect, test} from 'vitest';
import {
	type LogFields, MetricsRegistry, silentLogger, VirtualClock,
} from '@poplarnotch/common';
import {SaveAgeMonitor} from '../src/shell/save-age-monitor.js';

test('a save that stays without a result is logged once a second, and a fast one is not', () => {
	const clock = new VirtualClock();
	const lines: LogFields[] = [];
	const unsaved = {
		saveNumber: 1 as number | undefined, orderedAtMs: 0, jobs: 4, fencingToken: 9,
	};
	const monitor = new SaveAgeMonitor({
		unsaved: () => unsaved, clock, metrics: new MetricsRegistry(), log: {
			...silentLogger, warn(fields) {
				lines.push(fields);
			},
		},
	});
	const checkFor = (forMs: number): void => {
		for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
			clock.advance(50);
			monitor.check();
		}
	};

	checkFor(950);
	expect(lines).toEqual([]);
	checkFor(1100);
	expect(lines.map(({ageMs}) => ageMs)).toEqual([1000, 2000]);
	expect(lines[0]).toMatchObject({
		event: 'progress_unsaved', saveNumber: 1, jobs: 4, fencingToken: 9,
	});
	unsaved.saveNumber = undefined;
	checkFor(3000);
	expect(lines).toHaveLength(2);
});
