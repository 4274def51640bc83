/**
Describes the plan and the progress of a wave as JSON for operators, from the fleet's state.
*/
import {type JsonObject, type Wave} from '@poplarnotch/common';
import {type FleetState, type WaveProgress} from '../types.js';
import {planWave} from './plan-wave.js';
import {coveredHosts, pendingHosts} from './progress.js';

/** Mean time that a host took, over all known waves; `undefined` if no host has finished. */
const meanHostMs = (state: FleetState): number | undefined => {
	let totalMs = 0;
	let count = 0;
	for (const {progress} of state.waves?.values() ?? []) {
		totalMs += progress.hostMsTotal;
		count += Object.keys(progress.done).length;
	}

	return count === 0 ? undefined : totalMs / count;
};

/** The plan of a wave as returned by `GET /v1/waves/{wave}/plan`; `undefined` if the settings define no such wave. */
export const describeWavePlan = (state: FleetState, wave: string, nowMs: number): JsonObject | undefined => {
	const definition = state.settings.waves.get(wave);
	if (definition === undefined) {
		return undefined;
	}

	const progress = state.waves?.get(wave)?.progress;
	const plan = planWave({
		wave,
		definition,
		settings: state.settings,
		observations: state.observations,
		nowMs,
		hostMs: meanHostMs(state),
		finished: new Set([...Object.keys(progress?.done ?? {}), ...Object.keys(progress?.skipped ?? {})]),
	});
	const {bindingBudget, ...rest} = plan;
	return {...rest, ...(bindingBudget === undefined ? {} : {bindingBudget})};
};

const describeWaiting = (state: FleetState, definition: Wave, progress: WaveProgress, nowMs: number): JsonObject => {
	const names = pendingHosts(state.settings, definition, progress);
	const notServing = names.filter(name => state.settings.hosts.get(name)?.state !== 'serving');
	const postponed = names.filter(name => (progress.postponed[name]?.untilMs ?? 0) > nowMs);
	return {count: names.length, notServing, postponed};
};

/** A wave's progress as returned by `GET /v1/waves/{wave}`; `undefined` if the wave is neither defined nor started. */
export const describeWaveProgress = (state: FleetState, wave: string, nowMs: number): JsonObject | undefined => {
	const definition = state.settings.waves.get(wave);
	const progress = state.waves?.get(wave)?.progress;
	if (progress === undefined) {
		return definition === undefined
			? undefined
			: {wave, phase: 'planned', hosts: coveredHosts(state.settings, definition).length};
	}

	const blocked = state.blockedLog.get(`waves/${wave}`) ?? '';
	return {
		wave,
		phase: progress.phase,
		startedAtMs: progress.startedAtMs,
		...(progress.finishedAtMs === undefined ? {} : {finishedAtMs: progress.finishedAtMs}),
		...(progress.pause === undefined ? {} : {pausedBecause: progress.pause.reason}),
		...(blocked === '' ? {} : {blockedBy: blocked}),
		inFlight: Object.fromEntries(Object.entries(progress.hosts).map(([host, {step, sinceMs}]) => [host, {step, sinceMs}])),
		done: Object.keys(progress.done),
		failed: Object.fromEntries(Object.entries(progress.failed).map(([host, {atMs, reason}]) => [host, {atMs, reason}])),
		skipped: progress.skipped,
		waiting: definition === undefined ? {count: 0} : describeWaiting(state, definition, progress, nowMs),
	};
};
