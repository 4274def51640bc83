/**
Plays one run: starts a deployment, sends traffic, injects troubles, waits until all has to be finished, and judges.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type LifecycleManager, SeededRandom, withTimeLimit} from '@poplarnotch/common';
import {checks, type Evidence, startsAfterOtherEnds} from './checks.js';
import {askForCounts, describeCounts} from './counts.js';
import {Deployment, type DeploymentOptions} from './deployment.js';
import {LastingSteps} from './lasting-steps.js';
import {type Job, type Look} from './ledger.js';
import {bounds} from './settings.js';
import {Traffic} from './traffic.js';
import {Troubles} from './troubles.js';

export type SoakOptions = DeploymentOptions & {
	readonly seed: number;
	/** Time for which jobs are handed in. */
	readonly durationMs: number;
	readonly jobsPerSecond: number;
	readonly troubles: readonly string[];
	/** Series of troubles that go on side by side. */
	readonly series: number;
	/** How often all daemons are killed at once after the traffic, each time just after a job was accepted. */
	readonly closings: number;
};

export type SoakReport = {
	readonly passed: number;
	readonly failed: number;
	readonly lines: readonly string[];
};

/** Time from the moment at which all daemons are ready to the first job. */
const leadMs = 1000;
const clientsAtEnd = 16;
const maxShownPerCheck = 10;

/** Time that a run may take beyond its traffic. */
const maxOverrunMs = 120_000;

const maxClosingMs = 40_000;

/** Separates the sequences that are drawn from one seed. */
const streams = {
	jobs: 1, calls: 2, troubles: 3, cuts: 4, lastingSteps: 5, closings: 6,
} as const;
const randomOf = (seed: number, stream: keyof typeof streams): SeededRandom => new SeededRandom((seed * 16) + streams[stream]);

/** Time for which jobs are handed in before each closing, and the longest time from the acceptance of its last job to the loss of all daemons. */
const beforeClosingMs = 1500;
const maxAfterAcceptanceMs = 60;

/** Hands in jobs and kills all daemons just after the last of them was accepted, again and again. */
const closeOften = async ({closings, jobsPerSecond, seed}: SoakOptions, traffic: Traffic, troubles: Troubles): Promise<void> => {
	const random = randomOf(seed, 'closings');
	for (let left = closings; left > 0; left--) {
		traffic.start(jobsPerSecond, Date.now() + beforeClosingMs);
		await sleep(beforeClosingMs);
		traffic.stop();
		await traffic.submitLast();
		await sleep(random.next() * maxAfterAcceptanceMs);
		await troubles.close();
	}

	await traffic.finish();
};

const lookAtAll = async (traffic: Traffic, jobs: readonly Job[]): Promise<readonly Look[]> => {
	const looks: Look[] = [];
	const waiting = [...jobs];
	await Promise.all(Array.from({length: clientsAtEnd}, async () => {
		for (let job = waiting.pop(); job !== undefined; job = waiting.pop()) {
			looks.push(await traffic.lookAtEnd(job));
		}
	}));
	return looks;
};

const judge = (evidence: Evidence): SoakReport => {
	const results = Object.entries(checks).map(([rule, check]) => ({rule, ...check(evidence)}));
	const lines = results.flatMap(({rule, judged, what, broken}) => {
		const result = broken.length > 0 ? 'FAILED' : (judged === 0 ? 'none  ' : 'ok    ');
		const shown = broken.slice(0, maxShownPerCheck).map(text => `         ${rule}: ${text}`);
		return [`  ${result} ${rule} (${judged} ${what}, ${broken.length} broken)`, ...shown];
	});
	const failed = results.filter(({broken}) => broken.length > 0).length;
	const startsByReason = [...startsAfterOtherEnds(evidence)];
	const others = startsByReason.map(([reason, starts]) => `  seen   ${starts.length} starts after an end as done that nobody had to take note of, ${reason}`);
	for (const text of startsByReason.flatMap(([reason, starts]) => starts.map(start => `${reason}: ${start}`))) {
		evidence.deployment.record.add(`seen, ${text}`);
	}

	const {daemons, quota, machines: {standstillsMs}} = evidence.deployment;
	const seen = [
		...describeCounts(daemons),
		...(quota === undefined ? [] : [quota.describe()]),
		`${standstillsMs.length} standstills of the soak's own process, the longest of ${Math.round(Math.max(0, ...standstillsMs))} ms`,
	];
	lines.push(...others, ...seen.map(text => `  seen   ${text}`));
	return {passed: results.filter(({judged, broken}) => judged > 0 && broken.length === 0).length, failed, lines};
};

const play = async (options: SoakOptions, lifecycle: LifecycleManager): Promise<SoakReport> => {
	const {seed, durationMs, jobsPerSecond, series} = options;
	const deployment = new Deployment(options, randomOf(seed, 'cuts'), lifecycle);
	await deployment.start();
	await sleep(leadMs);
	const traffic = new Traffic(deployment, randomOf(seed, 'jobs'), randomOf(seed, 'calls'));
	const troubles = new Troubles(deployment, randomOf(seed, 'troubles'));
	lifecycle.own('traffic', () => {
		traffic.stop();
	});
	traffic.start(jobsPerSecond, Date.now() + durationMs);
	const lastingSteps = new LastingSteps({
		random: randomOf(seed, 'lastingSteps'), record: deployment.record, submit: async (id, taskCount) => traffic.submitLasting(id, taskCount),
	});
	deployment.lastingSteps = lastingSteps;
	deployment.traffic = traffic;
	lifecycle.own('counts', askForCounts(deployment));
	const disturbed = Promise.all([troubles.play(options.troubles, series, durationMs), lastingSteps.play(durationMs)]);
	await sleep(durationMs);
	traffic.stop();
	await Promise.all([disturbed, traffic.finish()]);
	await closeOften(options, traffic, troubles);
	deployment.record.add('traffic and troubles are over');
	await sleep(bounds.finish_s * 1000);
	const owed = [...deployment.ledger.jobs.values()].filter(({acceptedAtMs, cancelSentAtMs}) => acceptedAtMs !== undefined && cancelSentAtMs === undefined);
	const lastLooks = await lookAtAll(traffic, owed);
	const report = judge({
		deployment, troubles, lastingSteps, lastLooks, endedAtMs: performance.now(), wallOffsetMs: Date.now() - performance.now(),
	});
	for (const line of report.lines) {
		deployment.record.add(line);
	}

	return report;
};

/** Plays one run and releases all that it started. */
export const playSoak = async (options: SoakOptions, lifecycle: LifecycleManager): Promise<SoakReport> => {
	try {
		return await withTimeLimit(options.durationMs + maxOverrunMs + (options.closings * maxClosingMs), async () => play(options, lifecycle));
	} finally {
		await lifecycle.releaseAll();
	}
};
