import {type LogFields, silentLogger, VirtualClock} from '@poplarnotch/common';
import {expect, test} from 'vitest';
import {DoneLog} from '../src/shell/done-log.js';

test('ends of several workers share a line, which names each with its attempt and its worker', () => {
	const clock = new VirtualClock();
	const lines: LogFields[] = [];
	const log = new DoneLog(clock, {
		...silentLogger, info(fields) {
			lines.push(fields);
		},
	});
	log.record('w-1', [{taskKey: 'a.0.0.0', attempt: 5001}, {taskKey: 'a.0.0.1', attempt: 5002}]);
	log.record('w-2', [{taskKey: 'b.0.0.0', attempt: 5001}]);
	clock.advance(49);
	expect(lines).toEqual([]);
	clock.advance(1);
	expect(lines).toEqual([{event: 'runs_done', count: 3, tasks: 'a.0.0.0#5001:w-1,a.0.0.1#5002:w-1,b.0.0.0#5001:w-2'}]);
	for (let index = 0; index < 45; index++) {
		log.record('w-3', [{taskKey: `c.0.0.${index}`, attempt: 5001}]);
	}

	log.flush();
	clock.advance(100);
	expect(lines.slice(1).map(({count}) => count)).toEqual([40, 5]);
});
