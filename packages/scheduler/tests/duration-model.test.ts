/**
Announced durations are off by half in either direction, and some queues are always too optimistic or too cautious.
*/
import {describe, expect, test} from 'vitest';
import {defaultFactors, DurationModel} from '../src/core/model/duration-model.js';
import {LikelyInTimeFirst} from '../src/core/order/likely-in-time-first.js';
import {playOverload} from './support/overload-model.js';

const recordSteps = (model: DurationModel, {count, factor, image = '', atMs = 0}: {readonly count: number; readonly factor: (index: number) => number; readonly image?: string; readonly atMs?: number}): void => {
	for (let index = 0; index < count; index++) {
		model.record({
			queue: 'draws', image, estimateMs: 500, durationMs: 500 * factor(index),
		}, atMs);
	}
};

describe('factors between real and announced durations', () => {
	test('are the default ones while there are few samples, or no announced durations', () => {
		const model = new DurationModel();
		recordSteps(model, {count: 19, factor: () => 3});
		model.record({
			queue: 'draws', image: '', estimateMs: 0, durationMs: 500,
		}, 0);
		expect(model.factorsOf('draws', '')).toEqual(defaultFactors);
	});

	test('are the 20th and the 65th percentile of recent steps', () => {
		const model = new DurationModel();
		recordSteps(model, {count: 100, factor: index => 1 + (index / 100)});
		const {short, long} = model.factorsOf('draws', '');
		expect(short).toBeCloseTo(1.2, 1);
		expect(long).toBeCloseTo(1.65, 1);
		expect(model.factorsOf('others', '')).toEqual(defaultFactors);
	});

	// Guards against judging a queue for minutes by what it ran before.
	test('follow a change within two generations', () => {
		const model = new DurationModel();
		recordSteps(model, {count: 1000, factor: () => 3});
		recordSteps(model, {count: 410, factor: () => 1, atMs: 10_000});
		expect(model.factorsOf('draws', '').long).toBeCloseTo(1, 1);
	});

	test('outlast the gap between two bursts', () => {
		const model = new DurationModel();
		recordSteps(model, {count: 100, factor: () => 3});
		recordSteps(model, {count: 5, factor: () => 1, atMs: 100_000});
		expect(model.factorsOf('draws', '').long).toBeCloseTo(3, 1);
	});

	test('are those of the image once it has enough samples', () => {
		const model = new DurationModel();
		recordSteps(model, {count: 100, factor: () => 1});
		recordSteps(model, {count: 19, factor: () => 4, image: 'slow'});
		expect(model.factorsOf('draws', 'slow').short).toBeCloseTo(1, 1);
		recordSteps(model, {count: 1, factor: () => 4, image: 'slow'});
		expect(model.factorsOf('draws', 'slow').short).toBeCloseTo(4, 1);
	});
});

// Guards against a margin that is too large for queues with exact estimates: with the default factors, 74 to 76 percent of the value is reached.
test('learned factors serve more of a queue with exact estimates', () => {
	const values = [1, 2, 3, 4].map(seed => playOverload(new LikelyInTimeFirst(), {
		seed, burstLoad: 2, burstMs: 6000, gapMs: 18_000, bursts: 3, drawFactor: () => 1,
	}).valuePercent);
	expect(values.reduce((sum, value) => sum + value, 0) / values.length).toBeGreaterThan(77);
});
