/**
Runs all waves for one tick: applies the operator's settings, advances hosts, pauses a wave whose hosts fail, takes further hosts within all budgets, ends waves and stores changed progress.
*/
import {type Wave} from '@poplarnotch/common';
import {repeatedLossWindowMs} from '../constants.js';
import {type Decision} from '../decision.js';
import {hasServedSinceLoss, isServing} from '../observations.js';
import {type WaveProgress} from '../types.js';
import {advanceHost, recoverFailedHost} from './advance-host.js';
import {chooseHosts} from './choose-hosts.js';
import {exposureOf, failureLimit, remainingExposure} from './exposure.js';
import {
	dropHost, endWave, finishHosts, pauseWave, pendingHosts, failReturnedHost, resumeWave, startProgress, takeHosts,
} from './progress.js';

const hasEnded = (progress: WaveProgress): boolean => progress.phase === 'done' || progress.phase === 'aborted';

/** Writes an automatic pause into the wave's setting, so that the operator resumes the wave by setting it to `running`. */
const storePause = (decision: Decision, progress: WaveProgress): WaveProgress => {
	const {pause, wave} = progress;
	if (pause === undefined || pause.isInSettings) {
		return progress;
	}

	if (decision.state.settings.waves.get(wave)?.state !== 'running') {
		return {...progress, pause: {...pause, isInSettings: true}};
	}

	decision.change({
		entity: `/waves/${wave}`,
		action: 'pause',
		fields: {state: 'paused'},
		expectedRevision: decision.state.settings.revision,
	});
	return progress;
};

const applyOperatorState = (definition: Wave | undefined, progress: WaveProgress): WaveProgress => {
	const isPausePending = progress.pause !== undefined && !progress.pause.isInSettings;
	if (definition?.state === 'running') {
		return progress.phase === 'paused' && !isPausePending ? resumeWave(progress) : progress;
	}

	return progress.phase === 'running' ? {...progress, phase: 'paused'} : progress;
};

/** Releases the hosts that the wave no longer works on, so that they count as serving again in the same tick if they serve. */
const releaseDroppedHosts = (decision: Decision, before: WaveProgress, after: WaveProgress): void => {
	for (const name of Object.keys(before.hosts)) {
		if (after.hosts[name] === undefined && !decision.isChanging(`/hosts/${name}`)) {
			decision.releaseHost(name);
		}
	}
};

const advanceHosts = (decision: Decision, definition: Wave, progress: WaveProgress): WaveProgress => {
	let next = progress;
	const finished: string[] = [];
	for (const [name, step] of Object.entries(progress.hosts)) {
		const host = decision.state.settings.hosts.get(name);
		const outcome = host === undefined
			? dropHost(next, name)
			: advanceHost({
				decision, definition, progress: next, name, host, step,
			});
		if (outcome === 'finished') {
			finished.push(name);
		} else {
			next = outcome;
		}
	}

	next = finishHosts(next, finished, decision.nowMs);
	releaseDroppedHosts(decision, progress, next);
	return next;
};

const recoverFailedHosts = (decision: Decision, progress: WaveProgress): WaveProgress => {
	let next = progress;
	for (const name of Object.keys(progress.failed)) {
		next = recoverFailedHost(decision, next, name);
	}

	return next;
};

/** Records a failure for each host that was lost again soon after its return. */
const recordRepeatedLosses = (decision: Decision, progress: WaveProgress): WaveProgress => {
	let next = progress;
	for (const [name, doneAtMs] of Object.entries(progress.done)) {
		const observation = decision.state.observations.get(name);
		const isLost = observation?.lostAtMs !== undefined && observation.lostAtMs > doneAtMs && !hasServedSinceLoss(observation);
		if (isLost && observation.lostAtMs - doneAtMs <= repeatedLossWindowMs && progress.failed[name] === undefined) {
			decision.warn('wave_host_lost_again', {wave: progress.wave, host: name});
			next = failReturnedHost(next, name, decision.nowMs);
		}
	}

	return next;
};

const pauseOnFailures = (decision: Decision, definition: Wave, progress: WaveProgress): WaveProgress => {
	if (progress.phase !== 'running' || progress.failures < failureLimit(definition)) {
		return progress;
	}

	const reason = `${progress.failures} hosts failed: ${Object.keys(progress.failed).slice(-10).join(', ')}`;
	decision.warn('wave_paused', {wave: progress.wave, reason});
	return pauseWave(progress, reason);
};

/** Whether the wave could take the pending host now if the budgets allowed it. */
const isCandidate = (decision: Decision, progress: WaveProgress, name: string): boolean => {
	const {settings, observations} = decision.state;
	const isPostponed = (progress.postponed[name]?.untilMs ?? 0) > decision.nowMs;
	return !isPostponed && !decision.taken.has(name) && isServing(settings.hosts.get(name)!, observations.get(name));
};

const isPastDeadline = (decision: Decision, definition: Wave): boolean =>
	definition.deadlineMs > 0 && decision.nowMs > definition.deadlineMs;

const reportBlockedWave = (decision: Decision, progress: WaveProgress, candidates: readonly string[]): void => {
	const isStuck = candidates.length > 0 && Object.keys(progress.hosts).length === 0;
	const shortfalls = isStuck ? candidates.flatMap(name => decision.budgets.shortfalls(name)) : [];
	const reasons = new Set(shortfalls.map(({budget, shortBy}) => `budget ${budget} is short by ${shortBy}`));
	decision.reportBlocked(`waves/${progress.wave}`, [...reasons].join('; '));
};

const takeNextHosts = (decision: Decision, definition: Wave, progress: WaveProgress): WaveProgress => {
	if (progress.phase !== 'running' || !decision.isHostListFresh || isPastDeadline(decision, definition)) {
		return progress;
	}

	const limit = remainingExposure(definition, exposureOf(progress));
	if (limit === 0) {
		return progress;
	}

	const candidates = pendingHosts(decision.state.settings, definition, progress).filter(name => isCandidate(decision, progress, name));
	const chosen = chooseHosts(decision.state.settings, decision.budgets, candidates, limit);
	decision.markTaken(chosen);
	const next = takeHosts(progress, chosen, decision.nowMs);
	reportBlockedWave(decision, next, chosen.length === 0 ? candidates : []);
	return next;
};

const endIfComplete = (decision: Decision, definition: Wave | undefined, progress: WaveProgress): WaveProgress => {
	if (Object.keys(progress.hosts).length > 0) {
		return progress;
	}

	const isAborted = definition === undefined || definition.state === 'aborted';
	const isDone = definition !== undefined && progress.phase === 'running'
		&& pendingHosts(decision.state.settings, definition, progress).length === 0;
	if (!isAborted && !isDone) {
		return progress;
	}

	const phase = isAborted ? 'aborted' : 'done';
	decision.info('wave_ended', {
		wave: progress.wave, phase, done: Object.keys(progress.done).length, failed: Object.keys(progress.failed).length,
	});
	return endWave(progress, phase, decision.nowMs);
};

/** A wave that was removed from the settings is treated as an aborted one, so that its hosts are released. */
const removedWave: Wave = {
	pools: [], change: 'none', canaryHosts: 1, wideningFactor: 1, maxFailures: 0, drainTimeoutMs: 0, rebootTimeoutMs: 600_000, deadlineMs: 0, state: 'aborted',
};

const runWave = (decision: Decision, definition: Wave | undefined, started: WaveProgress): WaveProgress => {
	const recovered = recoverFailedHosts(decision, started);
	if (hasEnded(recovered)) {
		return recovered;
	}

	const effective = definition ?? removedWave;
	const current = applyOperatorState(definition, storePause(decision, recovered));
	const advanced = recordRepeatedLosses(decision, advanceHosts(decision, effective, current));
	const paused = pauseOnFailures(decision, effective, advanced);
	return endIfComplete(decision, definition, takeNextHosts(decision, effective, paused));
};

const storeProgress = (decision: Decision, wave: string): void => {
	const record = decision.waves.get(wave)!;
	if (record.progress !== record.saved) {
		decision.call({
			type: 'saveWave', call: `save:${wave}`, progress: record.progress, expectedVersion: record.version,
		});
	}
};

/** Runs every wave that has started or that the settings define as running. */
export const runWaves = (decision: Decision): void => {
	const {settings} = decision.state;
	const running = [...settings.waves].filter(([, definition]) => definition.state === 'running').map(([wave]) => wave);
	const names = new Set([...decision.waves.keys(), ...running]);
	for (const wave of [...names].toSorted()) {
		const known = decision.waves.get(wave)?.progress ?? startProgress(wave, decision.nowMs);
		decision.updateWave(runWave(decision, settings.waves.get(wave), known));
		storeProgress(decision, wave);
	}
};

const mayBorrowHosts = (definition: Wave, progress: WaveProgress): boolean => {
	const {healthy, inFlight} = exposureOf(progress);
	return healthy >= definition.canaryHosts || inFlight === 0;
};

/** Pools on which a wave still works, each with the hosts that could be taken now if the budgets allowed it. */
export const demandByPool = (decision: Decision): ReadonlyMap<string, readonly string[]> => {
	const {settings} = decision.state;
	const demand = new Map<string, string[]>();
	const waitingHostsInPoolOf = (name: string): string[] => {
		const pool = settings.hosts.get(name)?.pool ?? '';
		const waiting = demand.get(pool) ?? [];
		demand.set(pool, waiting);
		return waiting;
	};

	for (const {progress} of decision.waves.values()) {
		const definition = settings.waves.get(progress.wave);
		if (definition === undefined || hasEnded(progress) || isPastDeadline(decision, definition)) {
			continue;
		}

		for (const name of Object.keys(progress.hosts)) {
			waitingHostsInPoolOf(name);
		}

		const isBorrowing = progress.phase === 'running' && mayBorrowHosts(definition, progress);
		for (const name of pendingHosts(settings, definition, progress)) {
			const waiting = waitingHostsInPoolOf(name);
			if (isBorrowing && isCandidate(decision, progress, name)) {
				waiting.push(name);
			}
		}
	}

	return demand;
};
