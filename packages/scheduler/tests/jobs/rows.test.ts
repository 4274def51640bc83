/**
Encoding of job rows: rows decode to what was encoded, and are no larger than necessary.
*/
import {expect, test} from 'vitest';
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
				crashedAttempts: [1001, 1002], presumedAttempts: [1003], trialAttempt: 1002, settledTrialAttempt: 0, provenAttempt: 0, clearedAttempt: 0, isGivenUp: true,
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
