/**
Each check of the soak fails where its rule is broken, and holds beside it.
*/
import {describe, expect, it} from 'vitest';
import {checks, type Evidence, startsAfterOtherEnds} from '../checks.js';
import {type Span} from '../lasting-steps.js';
import {
	type Job, Ledger, type Look, type Run,
} from '../ledger.js';
import {Record} from '../record.js';
import {customers, queues} from '../settings.js';
import {type Trouble, Troubles} from '../troubles.js';

const spec = 'work=300';
const step = {
	count: 1, cpu: 1500, mem_mb: 500, estimate_ms: 300,
};

const jobWith = (fields: Partial<Job> = {}): Job => ({
	id: 'a', body: {spec, phases: [step, {...step, after: [0]}]}, queue: queues[0], customer: customers[0], workMs: 300, failures: 0, cancelAfterMs: undefined,
	refusals: 0, otherAnswers: 1, acceptedAtMs: 0, cancelSentAtMs: undefined, cancelledAtMs: undefined, ...fields,
});

const runWith = (fields: Partial<Run> = {}): Run => ({
	task: 'a.0.0.0', attempt: 1, spec, fence: 1, worker: 'w', service: queues[0].name, startedAtMs: 100, isLate: false, usedCpu: 1500, usedMemoryMb: 500,
	endedAtMs: 400, how: 'done', sequence: 1, notedAtMs: 450, lapsedAtMs: undefined, wasIdleAtLapse: false, listedAtMs: undefined, lostAtMs: undefined, lostBy: undefined, ...fields,
});

/** Two runs, of which the first has ended on a worker whose machine was ordered away, or that went in another way. */
const runsBesideLoss = (lostAtMs: number, fields: Partial<Run> = {}): readonly Run[] => [
	runWith({
		notedAtMs: undefined, listedAtMs: 410, lostAtMs, lostBy: 'ordered away', ...fields,
	}), runWith({attempt: 2, startedAtMs: 1000, endedAtMs: 1200}),
];

/** Two runs, of which the first has ended on a worker that stays. */
const runsBesideEnd = (fields: Partial<Run>): readonly Run[] => [runWith({listedAtMs: 410, ...fields}), runWith({attempt: 2, startedAtMs: 700, endedAtMs: 800})];

const lookWith = (fields: Partial<Look> = {}): Look => ({
	job: jobWith(), daemon: 'd', atMs: 50_000, status: 200, state: 'completed', isDone: true, hasFailed: false, ...fields,
});

type Seen = {
	readonly job?: Job;
	readonly runs?: readonly Run[];
	readonly looks?: readonly Look[];
	readonly lastLooks?: readonly Look[];
	readonly troubles?: readonly Trouble[];
	readonly faults?: readonly string[];
	readonly running?: readonly string[];
	readonly waveFaults?: readonly string[];
	/** When orders for lasting tasks were unanswered. */
	readonly unanswered?: readonly Span[];
};

const endedAtMs = 20_000;

const evidenceWith = ({job = jobWith(), runs = [], looks = [], lastLooks = [], troubles = [], faults = [], running = [], waveFaults = [], unanswered = []}: Seen): Evidence => {
	const ledger = new Ledger();
	ledger.jobs.set(job.id, job);
	ledger.looks.push(...looks);
	for (const run of runs) {
		ledger.addRun(run);
	}

	const machines = {
		workers: [{isRunning: (task: string) => running.includes(task)}], orders: {moves: 0, upkeeps: 1}, waveFaults,
	};
	const deployment = {
		ledger, record: new Record(), store: {cutAnswers: 0}, daemons: [{faults}],
		machines, daemonOfFence: () => ({name: 'd'}),
	} as unknown as Evidence['deployment'];
	const played = new Troubles(deployment, {next: () => 0});
	played.played.push(...troubles);
	return {
		deployment, troubles: played, lastingSteps: {jobs: [job], disturbed: unanswered} as unknown as Evidence['lastingSteps'], lastLooks, endedAtMs, wallOffsetMs: 0,
	};
};

const brokenOf = (rule: string, fields: Seen): number => checks[rule]!(evidenceWith(fields)).broken.length;

const trouble: Trouble = {
	kind: 'storeall', fromMs: 0, toMs: 60_000, daemons: 'all', workers: new Set(), isRoutine: false,
};
const change: Trouble = {...trouble, daemons: new Set(), isRoutine: true};
const lastingJob = jobWith({body: {spec, phases: [{...step, persistent: true}]}});
const timedJob = jobWith({
	body: {
		spec, phases: [step], repeat_count: 2, start_ms: 1000, period_ms: 500,
	},
});

describe('the checks of the soak', () => {
	it.each([
		['TWICE', 'two runs at once', {runs: [runWith(), runWith({attempt: 2, startedAtMs: 399, endedAtMs: 700})]}, 1],
		['TWICE', 'a run beside one that never ended', {runs: [runWith({endedAtMs: undefined, how: undefined}), runWith({attempt: 2, startedAtMs: 9000})]}, 1],
		['TWICE', 'a start after an end that is acknowledged later', {runs: [runWith({notedAtMs: 900}), runWith({attempt: 2, startedAtMs: 500, endedAtMs: 800})]}, 1],
		['TWICE', 'a start after an end that is never acknowledged', {runs: [runWith({notedAtMs: undefined}), runWith({attempt: 2, startedAtMs: 500, endedAtMs: 800})]}, 0],
		['TWICE', 'a start after an end that was listed for 100 ms and lost by an order', {runs: runsBesideLoss(510)}, 1],
		['TWICE', 'a start after an end that was lost by an order before a holder could store it', {runs: runsBesideLoss(509)}, 0],
		['TWICE', 'a start after an end that nobody listed before the order', {runs: runsBesideLoss(900, {listedAtMs: undefined})}, 0],
		['TWICE', 'such an end beside a store that is away', {runs: runsBesideLoss(510), troubles: [trouble]}, 1],
		['TWICE', 'a start after an end that was listed for 100 ms when its worker left', {runs: runsBesideLoss(510, {lostBy: 'left'})}, 1],
		['TWICE', 'the same beside the stop of a daemon', {runs: runsBesideLoss(510, {lostBy: 'left'}), troubles: [{...trouble, kind: 'term'}]}, 1],
		['TWICE', 'the same beside a store that is away', {runs: runsBesideLoss(510, {lostBy: 'left'}), troubles: [trouble]}, 0],
		['TWICE', 'the same 3 s after the store was away', {runs: runsBesideLoss(510, {lostBy: 'left'}), troubles: [{...trouble, fromMs: -9000, toMs: -2591}]}, 1],
		['TWICE', 'a start after an end that was listed for less when its worker left', {runs: runsBesideLoss(509, {lostBy: 'left'})}, 0],
		['TWICE', 'a start after an end that was listed for 100 ms when its worker crashed', {runs: runsBesideLoss(510, {lostBy: 'crashed'})}, 0],
		['TWICE', 'a start after an end whose lease lapsed', {runs: [runWith({lapsedAtMs: 420}), runWith({attempt: 2, startedAtMs: 500, endedAtMs: 800})]}, 0],
		['TWICE', 'a start after an end that was listed for 100 ms when its lease lapsed', {runs: runsBesideEnd({lapsedAtMs: 510})}, 1],
		['TWICE', 'the same beside a store that is away', {runs: runsBesideEnd({lapsedAtMs: 510}), troubles: [trouble]}, 0],
		['TWICE', 'a start after an end that is listed and not acknowledged', {runs: runsBesideEnd({notedAtMs: undefined})}, 1],
		['TWICE', 'the same within 3 s before a store is away', {runs: runsBesideEnd({notedAtMs: undefined}), troubles: [{...trouble, fromMs: 3510}]}, 0],
		['TWICE', 'the same over 3 s before a store is away', {runs: runsBesideEnd({notedAtMs: undefined}), troubles: [{...trouble, fromMs: 3511}]}, 1],
		['TWICE', 'a start after an end that was listed for over 3 s when its worker crashed', {runs: runsBesideLoss(3511, {lostBy: 'crashed'})}, 1],
		['TWICE', 'a start over 1 s after the job was shown as completed', {runs: [runWith({startedAtMs: 1501, endedAtMs: 1700})], looks: [lookWith({atMs: 500})]}, 1],
		['TWICE', 'the same by a daemon that is not in touch', {runs: [runWith({startedAtMs: 1501, endedAtMs: 1700})], looks: [lookWith({atMs: 500})], troubles: [trouble]}, 0],
		['TWICE', 'the same by an order that was carried out late', {runs: [runWith({startedAtMs: 1501, endedAtMs: 1700, isLate: true})], looks: [lookWith({atMs: 500})]}, 0],
		['TWICE', 'a start within 1 s after the job was shown as completed', {runs: [runWith({startedAtMs: 1500, endedAtMs: 1700})], looks: [lookWith({atMs: 500})]}, 0],
		['TWICE', 'a start after a run that was stopped', {runs: [runWith({how: 'stopped'}), runWith({attempt: 2, startedAtMs: 500, endedAtMs: 800})]}, 0],
		['ORDER', 'a start before the step in `after` is done', {runs: [runWith(), runWith({task: 'a.0.1.0', startedAtMs: 399})]}, 1],
		['ORDER', 'a start after the step in `after` is done', {runs: [runWith(), runWith({task: 'a.0.1.0', startedAtMs: 401})]}, 0],
		['ORDER', 'a start before its time', {job: timedJob, runs: [runWith({task: 'a.1.0.0', startedAtMs: 1249})]}, 1],
		['ORDER', 'a start at its time', {job: timedJob, runs: [runWith({task: 'a.1.0.0', startedAtMs: 1251})]}, 0],
		['BUDGET', 'a start after two failed ends', {runs: [runWith({how: 'failed'}), runWith({how: 'failed', startedAtMs: 500, endedAtMs: 800}), runWith({startedAtMs: 900})]}, 1],
		['BUDGET', 'a start after two failed ends, one not acknowledged', {runs: [runWith({how: 'failed'}), runWith({how: 'failed', notedAtMs: undefined}), runWith({startedAtMs: 900})]}, 0],
		['UNASKED', 'another spec', {runs: [runWith({spec: 'work=1'})]}, 1],
		['UNASKED', 'an unknown job', {runs: [runWith({task: 'b.0.0.0'})]}, 1],
		['UNASKED', 'an unknown step', {runs: [runWith({task: 'a.0.2.0'})]}, 1],
		['UNASKED', 'an unknown index', {runs: [runWith({task: 'a.0.0.1'})]}, 1],
		['UNASKED', 'an unknown occurrence', {runs: [runWith({task: 'a.1.0.0'})]}, 1],
		['UNASKED', 'a task as it was sent', {runs: [runWith()]}, 0],
		['CANCELLED', 'a start over 3 s after the cancelling', {job: jobWith({cancelledAtMs: 100}), runs: [runWith({startedAtMs: 3101})]}, 1],
		['CANCELLED', 'such a start beside a trouble', {job: jobWith({cancelledAtMs: 100}), runs: [runWith({startedAtMs: 3101})], troubles: [trouble]}, 0],
		['CANCELLED', 'a run that goes on', {job: jobWith({cancelledAtMs: 150}), runs: [runWith({endedAtMs: 3351})]}, 1],
		['CANCELLED', 'the same beside a change of the configuration', {job: jobWith({cancelledAtMs: 150}), runs: [runWith({endedAtMs: 3351})], troubles: [change]}, 1],
		['ROUTE', 'a worker of another service', {runs: [runWith({service: queues[1].name})]}, 1],
		['ROUTE', 'a worker of the service', {runs: [runWith()]}, 0],
		['WAVE', 'an upkeep too many', {waveFaults: ['wave 1']}, 1],
		['REFUSED', 'a start of a refused job', {job: jobWith({refusals: 4, otherAnswers: 0}), runs: [runWith()]}, 1],
		['REFUSED', 'a start of a job whose submission got no answer', {job: jobWith({refusals: 3}), runs: [runWith()]}, 0],
		['LIMIT', 'too much processor time', {runs: [runWith({usedCpu: 16_001})]}, 1],
		['LIMIT', 'too much memory', {runs: [runWith({usedMemoryMb: 40_000})]}, 1],
		['MIXED', 'shown as completed before its end', {looks: [lookWith({isDone: false})]}, 1],
		['SHOWN', 'an accepted job that is not known', {looks: [lookWith({status: 410, state: undefined})]}, 1],
		['SHOWN', 'the same beside a trouble', {looks: [lookWith({status: 410, state: undefined})], troubles: [trouble]}, 0],
		['SHOWN', 'failed without cause', {looks: [lookWith({state: 'failed'})]}, 1],
		['SHOWN', 'cancelled without cause', {looks: [lookWith({state: 'cancelled'})]}, 1],
		['LOST', 'no answer at the end', {lastLooks: [lookWith({status: 0, state: undefined})]}, 1],
		['LOST', 'not completed at the end', {lastLooks: [lookWith({state: 'running'})]}, 1],
		['LOST', 'a lasting task that is not at work', {job: lastingJob, lastLooks: [lookWith({job: lastingJob, state: 'running'})]}, 1],
		['LOST', 'a lasting task at work', {job: lastingJob, lastLooks: [lookWith({job: lastingJob, state: 'running'})], running: ['a.0.0.0']}, 0],
		['UNSERVED', 'a lasting task that is never started', {job: lastingJob}, 1],
		['UNSERVED', 'one that is started within 3 s', {job: lastingJob, runs: [runWith({startedAtMs: 2999, endedAtMs: undefined, how: undefined})]}, 0],
		['UNSERVED', 'one that is not started again', {job: lastingJob, runs: [runWith({endedAtMs: endedAtMs - 3000, how: 'stopped'})]}, 1],
		['UNSERVED', 'one that is not started after its orders were unanswered', {job: lastingJob, unanswered: [{fromMs: 0, toMs: endedAtMs - 7000}]}, 1],
		['UNSERVED', 'one whose orders were unanswered less than 7 s ago', {job: lastingJob, unanswered: [{fromMs: 0, toMs: endedAtMs - 6999}]}, 0],
		['UNSERVED', 'one that waits in a trouble', {job: lastingJob, troubles: [trouble]}, 0],
		['UNSERVED', 'one that waits beside a change of the configuration', {job: lastingJob, troubles: [change]}, 1],
		['FAULT', 'a process that ended by itself', {faults: ['d ended by itself']}, 1],
		['PLAYED', 'no trouble', {}, 1],
		['PLAYED', 'no job accepted', {job: jobWith({acceptedAtMs: undefined}), troubles: [trouble]}, 1],
		['PLAYED', 'a job and a trouble', {troubles: [trouble]}, 0],
	])('%s: %s', (rule, _case, fields, broken) => {
		expect(brokenOf(rule, fields)).toBe(broken);
	});
});

it.each([
	['listed for 100 ms, on a worker that crashed', {lostBy: 'crashed'}],
	['listed for 100 ms, on a worker that left', {lostBy: 'left', notedAtMs: undefined}],
	['not listed for 100 ms, on a worker that was ordered away', {lostAtMs: 509}],
	['not listed for 100 ms, on a worker that left', {listedAtMs: undefined, lostBy: 'left'}],
	['with a lease that lapsed', {lapsedAtMs: 420}],
	['with a lease that lapsed while the worker ran nothing', {lapsedAtMs: 420, wasIdleAtLapse: true}],
] as const)('a start after an end as done that nobody had to take note of is counted: %s', (reason, fields) => {
	const starts = startsAfterOtherEnds(evidenceWith({runs: runsBesideLoss(510, fields), troubles: [trouble]}));
	expect([...starts].map(([each, {length}]) => [each, length])).toEqual([[reason, 1]]);
});

it('a start after an end that is taken note of is no such start', () => {
	expect(startsAfterOtherEnds(evidenceWith({runs: runsBesideLoss(510)})).size).toBe(0);
});
