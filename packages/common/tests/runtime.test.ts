/**
Tests of the reducer runtime, the lifecycle manager and the log format.
*/
import {Writable} from 'node:stream';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	createLogger, LifecycleManager, ReducerRuntime, ReleaseTimeoutError, VirtualClock,
} from '../src/index.js';

describe('reducer runtime', () => {
	test('an event that an effect dispatches is queued, and effects are performed in order', () => {
		const seen: string[] = [];
		const runtime = new ReducerRuntime<readonly number[], number, string>([], (handled, event) => ({
			state: [...handled, event], effects: event < 3 ? [`a${event}`, `b${event}`] : [],
		}), effect => {
			seen.push(effect);
			if (effect.startsWith('a')) {
				runtime.dispatch(Number(effect.slice(1)) + 1);
			}
		});
		runtime.dispatch(1);
		expect(runtime.state).toEqual([1, 2, 3]);
		expect(seen).toEqual(['a1', 'b1', 'a2', 'b2']);
	});

	test('an effect that throws does not block later events', () => {
		const runtime = new ReducerRuntime<number, number, number>(0, (state, event) => ({state: state + event, effects: [event]}), effect => {
			if (effect === 1) {
				throw new RangeError('scripted');
			}
		});
		expect(() => {
			runtime.dispatch(1);
		}).toThrow(RangeError);
		runtime.dispatch(2);
		expect(runtime.state).toBe(3);
	});
});

describe('lifecycle manager', () => {
	test('releases in reverse order, once, and reports resources that fail or time out', async () => {
		const clock = new VirtualClock();
		const lifecycle = new LifecycleManager(clock);
		const released: string[] = [];
		const hanging = new Promise<void>(() => {
			// Never resolves.
		});
		lifecycle.own('first', () => {
			released.push('first');
		});
		lifecycle.own('hangs', async () => hanging, 100);
		lifecycle.own('fails', () => {
			throw new RangeError('scripted');
		});
		lifecycle.own('last', () => {
			released.push('last');
		});
		const done = lifecycle.releaseAll();
		// Runs the earlier releases, so that the timer of the hanging one is set.
		for (let turn = 0; turn < 20; turn++) {
			await Promise.resolve();
		}

		clock.advance(100);
		const failures = await done;
		expect(failures.map(failure => [failure.name, (failure.error as Error).constructor])).toEqual([['fails', RangeError], ['hangs', ReleaseTimeoutError]]);
		expect(released).toEqual(['last', 'first']);
		expect(await lifecycle.releaseAll()).toBe(failures);
	});
});

describe('log', () => {
	test('every event is logged as one line of key=value pairs that can be parsed back', () => {
		fc.assert(fc.property(fc.string(), fc.integer(), (text, count) => {
			const lines: string[] = [];
			const output = new Writable({
				write(chunk, _encoding, done) {
					lines.push(String(chunk));
					done();
				},
			});
			createLogger('p1', 'info', output).info({event: 'happened', text, count});
			expect(lines).toHaveLength(1);
			const line = lines[0]!;
			expect(line.indexOf('\n')).toBe(line.length - 1);
			const fields = /event=happened text=(?<text>.*) count=(?<count>-?\d+)\n$/v.exec(line)?.groups;
			expect(fields?.count).toBe(String(count));
			expect(fields!.text!.startsWith('"') ? JSON.parse(fields!.text!) : fields!.text).toBe(text);
		}), {seed: 63, numRuns: 200});
	});
});
