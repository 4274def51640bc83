/**
Limits how many hosts a wave may work on at once, so that a bad change reaches only a few hosts. The canary hosts go first. Then the limit grows with the number of hosts that came back healthy. After a failure it shrinks to the number of failures that the wave may still have.
*/
import {type Wave} from '@poplarnotch/common';
import {type WaveProgress} from '../types.js';

/** What the limit depends on. */
export type Exposure = {
	readonly healthy: number;
	readonly failures: number;
	readonly inFlight: number;
};

/** Number of failures at which a wave is paused automatically; at least one. */
export const failureLimit = (wave: Wave): number => Math.max(1, wave.maxFailures);

/** The wave's exposure, from its progress. */
export const exposureOf = (progress: WaveProgress): Exposure => ({
	healthy: Object.keys(progress.done).filter(host => progress.failed[host] === undefined).length,
	failures: progress.failures,
	inFlight: Object.keys(progress.hosts).length,
});

/** How many more hosts the wave may take now. */
export const remainingExposure = (wave: Wave, {healthy, failures, inFlight}: Exposure): number => {
	const failuresLeft = failureLimit(wave) - failures;
	const isCanary = healthy < wave.canaryHosts;
	const stage = isCanary ? wave.canaryHosts - healthy : wave.wideningFactor * healthy;
	const limit = isCanary || failures > 0 ? Math.min(stage, failuresLeft) : stage;
	return Math.max(0, limit - inFlight);
};
