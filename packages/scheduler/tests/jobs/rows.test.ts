/**
Job rows: what is written is read back, and no larger than it must be.
*/
import {expect, test} from 'vitest';
import {
	jobChangeFrom, jobKey, jobToJson, progressKey, progressToJson,
} from '../../src/jobs/rows.js';
import {jobOf, lastingStepOf, stepOf} from '../support/jobs.js';

test('a job is read back as it was written', () => {
	const job = jobOf(1, {
		steps: [stepOf(), stepOf({
			taskCount: 2, after: [0], isGang: true, dataRack: 'r-1', image: 'pairing',
		}), lastingStepOf({targetMs: 90})],
	});
	const change = jobChangeFrom({key: jobKey('edge-1', job.jobId), value: jobToJson(job), version: 3});
	expect(change).toMatchObject({type: 'accepted', job});
});

test('a usual step takes less than 120 bytes', () => {
	const job = jobOf(1, {steps: [stepOf()]});
	const {steps} = jobToJson(job);
	expect(JSON.stringify(steps).length).toBeLessThan(120);
});

test('progress is read back, and that of an ended job names no tasks', () => {
	const facts = {doneTasks: {'0.0': [0, 1, 2]}, failures: {'0.1.0': [1001]}};
	const running = {
		...facts, outcome: undefined, endedWallMs: undefined, hasBegun: true,
	};
	const key = progressKey('00ff');
	expect(jobChangeFrom({key, value: progressToJson(running), version: 3})).toMatchObject({type: 'progressed', progress: running});
	const ended = progressToJson({...running, outcome: 'completed', endedWallMs: 5});
	expect(ended).toEqual({hasBegun: true, outcome: 'completed', endedWallMs: 5});
	expect(jobChangeFrom({key, value: ended, version: 3})).toMatchObject({type: 'progressed', progress: {outcome: 'completed', doneTasks: {}, failures: {}}});
});
