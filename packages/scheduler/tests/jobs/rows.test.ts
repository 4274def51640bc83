/**
Encoding of job rows: rows decode to what was encoded, and are no larger than necessary.
*/
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {type JsonValue} from '@poplarnotch/common';
import {maxTasksPerJob} from '../../src/index.js';
import {
	jobChangeFrom, jobKey, jobToJson, progressKey, progressToJson,
} from '../../src/jobs/rows.js';
import {jobOf, lastingStepOf, stepOf} from '../support/jobs.js';

test('an encoded job decodes to the same job', () => {
	const job = jobOf(1, {
		steps: [stepOf(), stepOf({
			taskCount: 2, after: [0], isGang: true, dataRack: 'r-1', image: 'pairing',
		}), lastingStepOf({targetMs: 90})],
	});
	const change = jobChangeFrom({key: jobKey(job.jobId), value: jobToJson(job), version: 3});
	expect(change).toMatchObject({type: 'accepted', job});
});

test('a typical step is encoded in less than 120 bytes', () => {
	const job = jobOf(1, {steps: [stepOf()]});
	const {steps} = jobToJson(job);
	expect(JSON.stringify(steps).length).toBeLessThan(120);
});

test('progress decodes as encoded, and the progress of an ended job contains no task records', () => {
	const taskRecords = {
		doneTasks: {'0.0': [0, 1, 2]}, failures: {'0.1.0': [1001]}, crashRecords: {
			'0.1.0': {
				crashedAttempts: [1001, 1002], presumedAttempts: [1003], trialAttempt: 1002, trialWorker: {workerId: 'w1', bornWallMs: 900_000}, settledTrialAttempt: 0, provenAttempt: 0, clearedAttempt: 0, isGivenUp: true,
			},
		},
	};
	const running = {
		...taskRecords, outcome: undefined, endedWallMs: undefined, hasBegun: true,
	};
	const key = progressKey('00ff');
	expect(jobChangeFrom({key, value: progressToJson(running), version: 3})).toMatchObject({type: 'progressed', progress: running});
	const ended = progressToJson({...running, outcome: 'completed', endedWallMs: 5});
	expect(ended).toEqual({hasBegun: true, outcome: 'completed', endedWallMs: 5});
	expect(jobChangeFrom({key, value: ended, version: 3})).toMatchObject({type: 'progressed', progress: {outcome: 'completed', doneTasks: {}, failures: {}}});
});

const oddValue = fc.oneof(fc.jsonValue({maxDepth: 3}), fc.constantFrom(-1, 0.5, 1e308, 1e15, '', [], {}, null));

test('an odd row in the table of jobs is decoded as nothing, or as a job whose tasks can be created', () => {
	const valid = jobToJson(jobOf(1, {steps: [stepOf(), stepOf({after: [0]})]}));
	const key = jobKey(jobOf(1).jobId);
	const mutated = fc.dictionary(fc.constantFrom(...Object.keys(valid)), oddValue, {minKeys: 1}).map(changes => structuredClone({...valid, ...changes}) as JsonValue);
	fc.assert(fc.property(fc.oneof(mutated, fc.jsonValue() as fc.Arbitrary<JsonValue>), value => {
		const change = jobChangeFrom({key, value, version: 1});
		if (change?.type === 'accepted') {
			expect(change.job.jobId).toBe(jobOf(1).jobId);
			expect(change.job.steps.reduce((sum, {taskCount}) => sum + taskCount, 0) * Math.max(1, change.job.recurrence.count)).toBeLessThanOrEqual(maxTasksPerJob);
			expect(change.job.steps.every(({after}, index) => after.every(earlier => earlier < index))).toBe(true);
		}
	}), {seed: 20_261_205, numRuns: 400});
});

test.each([
	['more tasks than can be created', {steps: [{...stepOf(), taskCount: 1e9}]}],
	['more occurrences than can be created', {recurrence: {count: 1e9, firstDueWallMs: 0, periodMs: 0}}],
	['a step that waits for a later one', {steps: [{...stepOf(), after: [1]}, stepOf()]}],
	['no step', {steps: []}],
	['the id of another job', {jobId: jobOf(2).jobId}],
])('a job row with %s is not used', (_case, odd) => {
	const {jobId} = jobOf(1);
	expect(jobChangeFrom({key: jobKey(jobId), value: {...jobToJson(jobOf(1)), ...odd}, version: 1})).toBeUndefined();
});

test('a job row under a key of another partition is not used', () => {
	const job = jobOf(1);
	const elsewhere = jobKey(job.jobId).replace(/\/p\d+\//v, '/other/');
	expect(jobChangeFrom({key: elsewhere, value: jobToJson(job), version: 1})).toBeUndefined();
	expect(jobChangeFrom({key: `${elsewhere}/cancel`, value: {}, version: 1})).toBeUndefined();
	expect(jobChangeFrom({key: elsewhere, value: undefined, version: 1})).toBeUndefined();
});

/** Size of a row's JSON text that the platform takes. */
const maxRowBytes = 49_152;

const progressWith = (doneTasks: Readonly<Record<string, readonly number[]>>) => ({
	doneTasks, failures: {}, crashRecords: {}, outcome: undefined, endedWallMs: undefined, hasBegun: true,
});

const upTo = (count: number): readonly number[] => Array.from({length: count}, (_value, index) => index);

// Guards against ends that are acknowledged but not stored, since the row of a large job is refused.
test.each([
	{occurrences: 1, tasks: maxTasksPerJob}, {occurrences: maxTasksPerJob, tasks: 1}, {occurrences: 100, tasks: 80},
])('the progress of the largest job fits into a row: $occurrences times $tasks tasks', ({occurrences, tasks}) => {
	const doneWhere = (isDone: (occurrence: number, index: number) => boolean): Readonly<Record<string, readonly number[]>> => Object.fromEntries(upTo(occurrences)
		.map((occurrence): [string, readonly number[]] => [`${occurrence}.0`, upTo(tasks).filter(index => isDone(occurrence, index))])
		.filter(([, done]) => done.length > 0));
	for (const doneTasks of [doneWhere(() => true), doneWhere((occurrence, index) => (occurrence + index) % 2 === 0)]) {
		const value = progressToJson(progressWith(doneTasks));
		expect(JSON.stringify(value).length).toBeLessThan(maxRowBytes);
		expect(jobChangeFrom({key: progressKey('00ff'), value, version: 3})).toMatchObject({progress: {doneTasks}});
	}
});

test('any done tasks are decoded as encoded', () => {
	const done = fc.dictionary(fc.tuple(fc.nat(20), fc.nat(3)).map(([occurrence, step]) => `${occurrence}.${step}`), fc.uniqueArray(fc.nat(90), {minLength: 1, maxLength: 40}).map(indexes => indexes.toSorted((a, b) => a - b)));
	fc.assert(fc.property(done, doneTasks => {
		expect(jobChangeFrom({key: progressKey('00ff'), value: progressToJson(progressWith(doneTasks)), version: 3})).toMatchObject({progress: {doneTasks}});
	}), {seed: 20_261_205, numRuns: 200});
});

test('progress of an earlier version is read, and ranges of more tasks than a job has are not', () => {
	const key = progressKey('00ff');
	expect(jobChangeFrom({key, value: {hasBegun: true, doneTasks: {'0.0': [0, 2]}}, version: 3})).toMatchObject({progress: {doneTasks: {'0.0': [0, 2]}}});
	expect(jobChangeFrom({key, value: {hasBegun: true, doneRanges: [['0-9999', 0, '0-9999']]}, version: 3})).toBeUndefined();
	expect(jobChangeFrom({key, value: {hasBegun: true, doneRanges: [['9-1', 0, 'x']]}, version: 3})).toBeUndefined();
});
