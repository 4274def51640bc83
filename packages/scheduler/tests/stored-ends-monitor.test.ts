import {
	type LogFields, MetricsRegistry, silentLogger, VirtualClock,
} from '@poplarnotch/common';
import {expect, test} from 'vitest';
import {StoredEndsMonitor} from '../src/shell/stored-ends-monitor.js';

test('the time from the report of an end to its stored progress is logged every five seconds, with the number of those over 100 ms', () => {
	const clock = new VirtualClock();
	const metrics = new MetricsRegistry();
	const lines: LogFields[] = [];
	const monitor = new StoredEndsMonitor({
		clock, metrics, log: {
			...silentLogger, info(fields) {
				lines.push(fields);
			},
		},
	});
	monitor.record([20, 100]);
	clock.advance(4999);
	monitor.record([180]);
	expect(lines).toEqual([]);
	clock.advance(1);
	monitor.record([60]);
	expect(lines).toEqual([{
		event: 'ends_stored', overMs: 5000, count: 4, meanMs: 90, longestMs: 180, late: 1,
	}]);
	clock.advance(5000);
	monitor.record([10]);
	expect(lines[1]).toMatchObject({
		count: 1, meanMs: 10, longestMs: 10, late: 0,
	});
	expect(metrics.quantileMs('end_stored_ms', 0.5)).toBeGreaterThanOrEqual(60);
});
