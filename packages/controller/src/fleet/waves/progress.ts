/**
Pure functions that update a wave's progress. The decisions are taken by their callers in `run-waves.ts` and `advance-host.ts`.
*/
import {type FleetSettings, type Wave} from '@poplarnotch/common';
import {homePoolOf} from '../budgets/budget-tracker.js';
import {type HostStep, type WaveProgress} from '../types.js';

/** The initial progress of a wave. */
export const startProgress = (wave: string, nowMs: number): WaveProgress => ({
	wave,
	phase: 'running',
	startedAtMs: nowMs,
	hosts: {},
	done: {},
	failed: {},
	skipped: {},
	postponed: {},
	hostMsTotal: 0,
	failures: 0,
});

const without = <Value>(record: Readonly<Record<string, Value>>, name: string): Record<string, Value> => {
	const {[name]: _removed, ...rest} = record;
	return rest;
};

/** Adds hosts to those that the wave works on. */
export const takeHosts = (progress: WaveProgress, hosts: readonly string[], nowMs: number): WaveProgress => hosts.length === 0
	? progress
	: {
		...progress,
		hosts: {
			...progress.hosts,
			...Object.fromEntries(hosts.map((host): [string, HostStep] => [host, {step: 'cordoning', startedAtMs: nowMs, sinceMs: nowMs}])),
		},
	};

/** Moves a host to its next step. */
export const moveToStep = (progress: WaveProgress, host: string, change: Omit<HostStep, 'startedAtMs'>): WaveProgress => ({
	...progress,
	hosts: {...progress.hosts, [host]: {...progress.hosts[host]!, ...change}},
});

/** Removes a host that was not rebooted; the wave may take it again. */
export const dropHost = (progress: WaveProgress, host: string): WaveProgress =>
	({...progress, hosts: without(progress.hosts, host)});

const withoutAll = <Value>(record: Readonly<Record<string, Value>>, names: ReadonlySet<string>): Record<string, Value> =>
	Object.fromEntries(Object.entries(record).filter(([name]) => !names.has(name)));

/** Marks hosts as maintained and serving again. It handles all hosts of one tick together, because each call copies the records. */
export const finishHosts = (progress: WaveProgress, hosts: readonly string[], nowMs: number): WaveProgress => {
	if (hosts.length === 0) {
		return progress;
	}

	const names = new Set(hosts);
	const hostMs = hosts.reduce((sum, host) => sum + nowMs - (progress.hosts[host]?.startedAtMs ?? nowMs), 0);
	return {
		...progress,
		hosts: withoutAll(progress.hosts, names),
		hostMsTotal: progress.hostMsTotal + hostMs,
		done: {...progress.done, ...Object.fromEntries(hosts.map(host => [host, nowMs]))},
		failed: withoutAll(progress.failed, names),
		postponed: withoutAll(progress.postponed, names),
	};
};

/** Records that the host did not return in time. */
export const failHost = (progress: WaveProgress, host: string, nowMs: number): WaveProgress => ({
	...dropHost(progress, host),
	failed: {
		...progress.failed,
		[host]: {atMs: nowMs, reason: 'no-return', bootCountBefore: progress.hosts[host]?.bootCountBefore},
	},
	failures: progress.failures + 1,
});

/** Records that the host was lost again soon after its return. The host stays done, so that it is not rebooted a second time. */
export const failReturnedHost = (progress: WaveProgress, host: string, nowMs: number): WaveProgress => ({
	...progress,
	failed: {...progress.failed, [host]: {atMs: nowMs, reason: 'lost-again'}},
	failures: progress.failures + 1,
});

/** Removes the host from the wave permanently and records the reason. */
export const skipHost = (progress: WaveProgress, host: string, reason: string): WaveProgress => ({
	...dropHost(progress, host),
	skipped: {...progress.skipped, [host]: reason},
});

/** Records that the host's drain timed out; the wave may take the host again after `untilMs`. */
export const postponeHost = (progress: WaveProgress, host: string, untilMs: number): WaveProgress => ({
	...progress,
	postponed: {...progress.postponed, [host]: {untilMs, attempts: (progress.postponed[host]?.attempts ?? 0) + 1}},
});

/** Pauses the wave automatically. The wave's setting still says `running` at this point. */
export const pauseWave = (progress: WaveProgress, reason: string): WaveProgress =>
	({...progress, phase: 'paused', pause: {reason, isInSettings: false}});

/** Resumes the wave and resets its count of failures. */
export const resumeWave = (progress: WaveProgress): WaveProgress => {
	const {pause: _pause, ...rest} = progress;
	return {...rest, phase: 'running', failures: 0};
};

/** Ends the wave. */
export const endWave = (progress: WaveProgress, phase: 'done' | 'aborted', nowMs: number): WaveProgress =>
	({...progress, phase, finishedAtMs: nowMs});

/** Hosts that the wave covers: those whose home pool is one of the wave's pools. */
export const coveredHosts = (settings: FleetSettings, wave: Wave): readonly string[] => {
	const pools = new Set(wave.pools);
	return [...settings.hosts].filter(([, host]) => pools.has(homePoolOf(host))).map(([name]) => name);
};

/** Covered hosts that the wave has neither taken, completed nor skipped, and that have not failed. */
export const pendingHosts = (settings: FleetSettings, wave: Wave, progress: WaveProgress): readonly string[] =>
	coveredHosts(settings, wave).filter(host =>
		progress.hosts[host] === undefined
		&& progress.done[host] === undefined
		&& progress.failed[host] === undefined
		&& progress.skipped[host] === undefined);
