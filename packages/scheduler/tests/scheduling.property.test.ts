/**
Runs randomly generated fault scenarios against the real processes and checks the invariants.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	type Scenario, answerFaults, departureFaults, faults, incarnationFaults, outageFaults, randomScenario, runScenario,
} from './support/random-scenario.js';

const fixedSeed = 20_261_204;

/** Scenarios that failed once, with the cause. */
const regressionScenarios: readonly Scenario[] = [
	// Polls of an unreachable worker kept extending its lease.
	{seed: 521_501, faults: ['kill-holder', 'crash-worker', 'lost-answers', 'lost-answers', 'lost-answers', 'crash-worker']},
	// A lease holder that had been frozen ordered a machine away under its old term.
	{seed: 13, faults: ['freeze-holder', 'lost-answers', 'freeze-holder', 'late-orders', 'drain-worker', 'crash-worker']},
	// A machine whose worker had gone was never maintained.
	{seed: 674_041, faults: ['freeze-holder', 'crash-worker', 'wave', 'lost-answers', 'wave', 'drain-worker']},
	// A lasting task was stopped as not serving although it had started to serve since its worker's last report.
	{seed: 999_994, faults: ['late-orders', 'wave', 'late-orders', 'wave', 'wave']},
	// A start that was carried out late was stopped at once, while another task of its step was unavailable.
	{seed: 106_656, faults: ['lost-answers', 'wave', 'kill-holder', 'store-slow', 'lost-answers', 'late-orders']},
	// A new lease holder relocated tasks before it had renewed the leases of all workers.
	{seed: 131_214, faults: ['store-slow', 'wave', 'lost-answers', 'freeze-holder', 'late-orders', 'freeze-holder', 'wave']},
	// A reserved machine came back with another worker, which was never drained.
	{seed: 861_836, faults: ['store-down', 'store-down', 'lost-answers', 'freeze-holder', 'wave', 'wave', 'store-slow']},
	// A save that was applied late overwrote newer progress.
	{seed: 18, faults: ['wave', 'kill-holder', 'late-orders', 'wave', 'lost-answers', 'store-down']},
	// A lost stop was ordered again on a draining worker although another task of its step had been stopped in the meantime.
	randomScenario(1058),
];

/** Scenarios with crashing tasks that failed once, with the cause. */
const crashingRegressionScenarios: readonly Scenario[] = [
	// A start without an answer counted as a crash, so a job failed after one crash.
	{seed: 10, faults: ['late-orders', 'wave', 'freeze-holder', 'late-orders', 'freeze-holder', 'late-orders', 'lost-answers'], crashingEvery: 5},
	// A lasting task on an unregistered worker counted as serving until a poll failed.
	{seed: 971_466, faults: ['wave', 'store-slow', 'freeze-holder', 'crash-worker', 'cut-holder'], crashingEvery: 7},
	// Crashes of workers that a wave had reserved were not counted.
	{seed: 14, faults: ['cut-holder', 'late-orders', 'freeze-holder', 'wave'], crashingEvery: 4},
	// A start that was lost while its job ended occupied its worker for good.
	{seed: 162_200, faults: ['kill-all', 'store-slow', 'late-orders', 'clock-step', 'late-orders', 'wave'], crashingEvery: 3},
	// Three crashes were lost with their holders, and a fourth was cleared although the trial that followed had crashed its worker.
	{seed: 92_723, faults: ['freeze-holder', 'cut-holder', 'kill-all', 'late-orders', 'wave', 'kill-all'], crashingEvery: 3},
];

/** Scenarios around outages that failed once, with the cause. */
const outageRegressionScenarios: readonly Scenario[] = [
	// A holder whose save had been rejected held the lease again later and acknowledged the ends without storing them.
	{seed: 56_848, faults: ['burst', 'lost-answers', 'cut-holder', 'freeze-holder', 'store-out', 'burst'], size: {processes: 6, workersPerPool: 6, standbyMachines: 1}},
];

/** Scenarios with answers that belong to something earlier, that failed once, with the cause. */
const answerRegressionScenarios: readonly Scenario[] = [
	// A poll acknowledged ends by the numbers of an earlier incarnation of its worker.
	{seed: 966_417, faults: ['restart-worker', 'crash-worker', 'restart-worker', 'late-orders']},
];

test('under any faults, capacity, limits, step order, single runs and availability hold, and no accepted job is lost', async () => {
	const scenario: fc.Arbitrary<Scenario> = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		faults: fc.array(fc.constantFrom(...faults), {minLength: 2, maxLength: 7}),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async generated => {
			const {brokenPromises} = await runScenario(generated);
			expect(brokenPromises).toEqual([]);
		}),
		{
			examples: regressionScenarios.map((former): [Scenario] => [former]), seed: fixedSeed, numRuns: Number(process.env.POPLARNOTCH_DAYS ?? 12), endOnFailure: true,
		},
	);
}, 600_000);

test('under any faults, tasks that crash their workers are given up, and the others beside them are done', async () => {
	const scenario: fc.Arbitrary<Scenario> = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		faults: fc.array(fc.constantFrom(...faults), {minLength: 2, maxLength: 7}),
		crashingEvery: fc.integer({min: 3, max: 8}),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async generated => {
			const {brokenPromises} = await runScenario(generated);
			expect(brokenPromises).toEqual([]);
		}),
		{
			examples: crashingRegressionScenarios.map((former): [Scenario] => [former]), seed: fixedSeed, numRuns: Number(process.env.POPLARNOTCH_DAYS ?? 12), endOnFailure: true,
		},
	);
}, 600_000);

test('around outages of the store that outlast the lease, full or partial, the same holds', async () => {
	const scenario: fc.Arbitrary<Scenario> = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		faults: fc.array(fc.constantFrom(...outageFaults), {minLength: 2, maxLength: 7}),
		size: fc.record({processes: fc.integer({min: 1, max: 6}), workersPerPool: fc.constant(6), standbyMachines: fc.integer({min: 0, max: 2})}),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async generated => {
			const {brokenPromises} = await runScenario(generated);
			expect(brokenPromises).toEqual([]);
		}),
		{
			examples: outageRegressionScenarios.map((former): [Scenario] => [former]), seed: fixedSeed, numRuns: Number(process.env.POPLARNOTCH_DAYS ?? 12), endOnFailure: true,
		},
	);
}, 600_000);

test('with answers that arrive late, twice or in a later term, order or incarnation, the same holds', async () => {
	const scenario: fc.Arbitrary<Scenario> = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		faults: fc.array(fc.constantFrom(...answerFaults), {minLength: 2, maxLength: 7}),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async generated => {
			const {brokenPromises} = await runScenario(generated);
			expect(brokenPromises).toEqual([]);
		}),
		{
			examples: answerRegressionScenarios.map((former): [Scenario] => [former]), seed: fixedSeed, numRuns: Number(process.env.POPLARNOTCH_DAYS ?? 12), endOnFailure: true,
		},
	);
}, 600_000);

test('with calls that reach a later incarnation of their worker, the same holds', async () => {
	const scenario: fc.Arbitrary<Scenario> = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		faults: fc.array(fc.constantFrom(...incarnationFaults), {minLength: 2, maxLength: 7}),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async generated => {
			const {brokenPromises} = await runScenario(generated);
			expect(brokenPromises).toEqual([]);
		}),
		{seed: fixedSeed, numRuns: Number(process.env.POPLARNOTCH_DAYS ?? 12), endOnFailure: true},
	);
}, 600_000);

test('with hand-overs beside workers that leave or are replaced, the same holds', async () => {
	const scenario: fc.Arbitrary<Scenario> = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		faults: fc.array(fc.constantFrom(...departureFaults), {minLength: 3, maxLength: 8}),
		size: fc.record({processes: fc.integer({min: 3, max: 6}), workersPerPool: fc.integer({min: 6, max: 16}), standbyMachines: fc.integer({min: 0, max: 2})}),
		runTimeFactor: fc.constant(2.4),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async generated => {
			const {brokenPromises} = await runScenario(generated);
			expect(brokenPromises).toEqual([]);
		}),
		{seed: fixedSeed, numRuns: Number(process.env.POPLARNOTCH_DAYS ?? 12), endOnFailure: true},
	);
}, 600_000);

test('without process or store faults, every job meets its objective on the existing pool', async () => {
	const {brokenPromises, servedShare} = await runScenario({seed: 7, faults: ['wave']});
	expect(brokenPromises).toEqual([]);
	expect(servedShare).toBe(1);
});
