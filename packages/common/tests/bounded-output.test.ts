/**
Bounded log output with a reader that has stopped and with too many lines.
*/
import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {BoundedOutput, VirtualClock, writeFully} from '@poplarnotch/common';

const describeDropped = (count: number): string => `dropped=${count}\n`;

test('a reader that has stopped does not block the process, and dropped lines are counted', () => {
	let isRead = false;
	let pending: (() => void) | undefined;
	let text = '';
	const clock = new VirtualClock();
	const output = new BoundedOutput((bytes, done) => {
		const finish = (): void => {
			text += Buffer.from(bytes).toString();
			done(undefined);
		};

		if (isRead) {
			finish();
		} else {
			pending = finish;
		}
	}, clock, describeDropped);
	const line = `${'x'.repeat(10_000)}\n`;
	let accepted = 0;
	for (let index = 0; index < 1500; index++) {
		accepted += output.write(line) ? 1 : 0;
	}

	expect(accepted).toBeLessThan(150);
	expect(output.dropped).toBe(1500 - accepted);
	isRead = true;
	pending?.();
	clock.advance(1000);
	expect(output.write('after\n')).toBe(true);
	expect(text).toContain(`dropped=${1500 - accepted}\nafter\n`);
});

test('at most 2000 lines per second are accepted', () => {
	const clock = new VirtualClock();
	const output = new BoundedOutput((_bytes, done) => {
		done(undefined);
	}, clock, describeDropped);
	let accepted = 0;
	for (let index = 0; index < 10_000; index++) {
		accepted += output.write('line\n') ? 1 : 0;
	}

	expect(accepted).toBe(2000);
	clock.advance(1000);
	expect(output.write('line\n')).toBe(true);
});

test('lines that a full pipe accepts only in part are written completely and in order', async () => {
	let text = '';
	let calls = 0;
	const writeAll = writeFully((bytes, done) => {
		calls++;
		if (calls % 2 === 0) {
			done(Object.assign(new Error('full'), {code: 'EAGAIN'}), 0);
			return;
		}

		const part = bytes.subarray(0, 7);
		text += Buffer.from(part).toString();
		done(undefined, part.length);
	});
	const output = new BoundedOutput(writeAll, new VirtualClock(), describeDropped);
	output.write('the first line\n');
	output.write('the second line\n');
	await expect.poll(() => text).toBe('the first line\nthe second line\n');
	expect(output.dropped).toBe(0);
});

test('no line is lost to a collector that keeps the first 8 KiB of each write', () => {
	let kept = '';
	const clock = new VirtualClock();
	const output = new BoundedOutput(writeFully((bytes, done) => {
		kept += Buffer.from(bytes.subarray(0, 8192)).toString();
		done(undefined, bytes.length);
	}), clock, describeDropped, 5);
	const lines = Array.from({length: 300}, (_value, index) => `${index} ${'x'.repeat(100)}\n`);
	for (const line of lines) {
		output.write(line);
	}

	clock.advance(5);
	expect(kept).toBe(lines.join(''));
});

test('lines that follow each other closely share a write, and a process that ends writes its last lines', async () => {
	const writes: string[] = [];
	const pending: Array<() => void> = [];
	const clock = new VirtualClock();
	const output = new BoundedOutput((bytes, done) => {
		writes.push(Buffer.from(bytes).toString());
		pending.push(() => {
			done(undefined);
		});
	}, clock, describeDropped, 5);
	output.write('a\n');
	clock.advance(4);
	output.write('b\n');
	expect(writes).toEqual([]);
	clock.advance(1);
	expect(writes).toEqual(['a\nb\n']);
	output.write('c\n');
	clock.advance(5);
	expect(writes).toHaveLength(1);
	const flushed = output.flush();
	pending[0]!();
	expect(writes).toEqual(['a\nb\n', 'c\n']);
	pending[1]!();
	await flushed;
	await output.flush();
});

test('lines of a write that failed are counted as dropped', () => {
	let text = '';
	let isFailing = true;
	const clock = new VirtualClock();
	const output = new BoundedOutput((bytes, done) => {
		if (isFailing) {
			done(new Error('no space left'));
			return;
		}

		text += Buffer.from(bytes).toString();
		done(undefined);
	}, clock, describeDropped, 5);
	output.write('first\n');
	output.write('second\n');
	clock.advance(5);
	isFailing = false;
	output.write('third\n');
	clock.advance(5);
	expect(text).toBe('dropped=2\nthird\n');
});

test('lines dropped for their number in the last second of a process are reported as it stops', async () => {
	let text = '';
	const clock = new VirtualClock();
	const output = new BoundedOutput((bytes, done) => {
		text += Buffer.from(bytes).toString();
		done(undefined);
	}, clock, describeDropped, 5);
	for (let index = 0; index < 2003; index++) {
		output.write('line\n');
	}

	await output.flush();
	expect(text).toMatch(/^(?:line\n){2000}dropped=3\n$/v);
});
