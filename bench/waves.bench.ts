/**
Measures maintenance waves on the two current deployments and at the two-year size: violated budgets, the ratio of the rollout time to its lower bound, borrowed hosts and moves compared with their bounds and two baselines, and the duration of a decision.
*/
import {performance} from 'node:perf_hooks';
import {planWave} from '@poplarnotch/controller';
import {
	allServing, boundsOf, fixedBatches, rackByRack,
} from './fleet/bounds.js';
import {type Deployment, deployments} from './fleet/deployments.js';
import {simulateWave} from './fleet/simulate-wave.js';

const targets = {budgetBreaks: 0, rolloutRatio: 1.15, decisionMs: 50};

const rounded = (value: number): number => Math.round(value * 1000) / 1000;

const quantile = (values: readonly number[], share: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return rounded(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!);
};

const measurePlanMs = (deployment: Deployment): number => {
	const {settings} = deployment;
	const startMs = performance.now();
	planWave({
		wave: 'w1', definition: settings.waves.get('w1')!, settings, observations: allServing(settings), nowMs: 0, hostMs: undefined, finished: new Set(),
	});
	return rounded(performance.now() - startMs);
};

const measure = (deployment: Deployment): Readonly<Record<string, unknown>> => {
	const {settings} = deployment;
	const bounds = boundsOf(settings);
	const wave = simulateWave(settings, deployment.tickMs);
	return {
		isDone: wave.isDone,
		budgetBreaks: wave.budgetBreaks,
		rolloutMs: wave.rolloutMs,
		rolloutRatio: rounded(wave.rolloutMs / bounds.rolloutMs),
		bufferHosts: wave.bufferHosts,
		moves: wave.moves,
		bounds,
		fixedBatches: fixedBatches(settings),
		rackByRack: rackByRack(settings),
		decisionP50Ms: quantile(wave.decisionMs, 0.5),
		decisionP99Ms: quantile(wave.decisionMs, 0.99),
		decisionMaxMs: quantile(wave.decisionMs, 1),
		wholePlanMs: measurePlanMs(deployment),
	};
};

/** Measures all deployments. The lower bound in `rolloutRatio` considers only budgets, drains and reboots, so the additional rounds for canary hosts and gradual widening increase the ratio. */
export const run = async (): Promise<Record<string, unknown>> => ({
	targets,
	...Object.fromEntries(deployments().map(deployment => [deployment.name, measure(deployment)])),
});
