/**
Advances one host of a wave through its steps. Each step is decided only from the current settings, the stored row and the observations, so that any controller can repeat it: a step is stored before its effect, and every effect is idempotent.
*/
import {assertNever, type Host, type Wave} from '@poplarnotch/common';
import {maxDrainAttempts, redrainAfterMs} from '../constants.js';
import {type Decision, type RequestedChange} from '../decision.js';
import {isDrained, hasServedSinceLoss} from '../observations.js';
import {type HostStep, type WaveProgress} from '../types.js';
import {
	dropHost, failHost, finishHosts, moveToStep, postponeHost, skipHost,
} from './progress.js';

/** A host that a wave works on, with everything that its next step depends on. */
export type HostContext = {
	readonly decision: Decision;
	readonly definition: Wave;
	readonly progress: WaveProgress;
	readonly name: string;
	readonly host: Host;
	readonly step: HostStep;
};

/** The wave's progress after a step; `finished` if the host is maintained and serves, which the caller records for all such hosts together. */
export type HostOutcome = WaveProgress | 'finished';

/** The id of a host's reboot in a wave. The platform acts only once on each id. */
export const rebootIdOf = (wave: string, host: string): string => `${wave}/${host}`;

const entityOf = (context: HostContext): string => `/hosts/${context.name}`;

type HostChange = Pick<RequestedChange, 'action' | 'fields'> & Partial<RequestedChange>;

const changeHost = (context: HostContext, change: HostChange): void => {
	context.decision.change({entity: entityOf(context), expectedRevision: context.decision.state.settings.revision, ...change});
};

/** Whether the stored row already contains the host's current step. */
const isStepStored = (context: HostContext): boolean => {
	const stored = context.decision.waves.get(context.progress.wave)?.saved?.hosts[context.name];
	return stored?.step === context.step.step && stored.sinceMs === context.step.sinceMs;
};

const enterStep = (context: HostContext, step: HostStep['step'], fields: Partial<HostStep> = {}): WaveProgress => {
	context.decision.info('wave_host_step', {wave: context.progress.wave, host: context.name, step});
	return moveToStep(context.progress, context.name, {...fields, step, sinceMs: context.decision.nowMs});
};

const canProceed = ({decision, progress, definition}: HostContext): boolean =>
	progress.phase === 'running' && definition.state === 'running' && decision.isHostListFresh;

const startDraining = (context: HostContext): WaveProgress =>
	enterStep(context, 'draining', {drainRevision: context.decision.state.settings.revision});

const cordon = (context: HostContext): WaveProgress => {
	const {decision, host, name, progress} = context;
	if (host.state === 'leaving') {
		return startDraining(context);
	}

	if (decision.isChanging(entityOf(context)) || !isStepStored(context)) {
		return progress;
	}

	const mayCordon = host.state === 'serving' && canProceed(context);
	if (!mayCordon || decision.budgets.slack(host.pool) < 0) {
		decision.releaseHost(name);
		return dropHost(progress, name);
	}

	changeHost(context, {action: 'cordon', fields: {state: 'leaving'}, isExclusive: true});
	return progress;
};

const postponeDrain = (context: HostContext): WaveProgress => {
	const {decision, definition, name, progress} = context;
	const attempts = (progress.postponed[name]?.attempts ?? 0) + 1;
	decision.warn('wave_drain_timeout', {wave: progress.wave, host: name, attempts});
	return postponeHost(enterStep(context, 'releasing'), name, decision.nowMs + (definition.drainTimeoutMs * attempts));
};

/** Whether the host is no longer leaving because an operator changed its state; the wave then drops the host. */
const isOverridden = (host: Host): boolean => host.state !== 'leaving';

const advanceDrain = (context: HostContext): WaveProgress => {
	const {decision, definition, host, name, progress, step} = context;
	if (isOverridden(host)) {
		return dropHost(progress, name);
	}

	if (!canProceed(context) && progress.phase !== 'running') {
		return enterStep(context, 'releasing');
	}

	const observation = decision.state.observations.get(name);
	// The boot count must come from a host list that is newer than the start of the drain.
	const isListedDuringDrain = observation !== undefined && (decision.state.listedAtMs ?? 0) >= step.sinceMs;
	if (isListedDuringDrain && canProceed(context) && isDrained(decision.state, name, step.drainRevision!, step.sinceMs)) {
		return enterStep(context, 'stopping', {bootCountBefore: observation.bootCount});
	}

	return decision.nowMs - step.sinceMs > definition.drainTimeoutMs ? postponeDrain(context) : progress;
};

const markInMaintenance = (context: HostContext): WaveProgress => {
	const {decision, host, name, progress, step} = context;
	if (host.state === 'maintenance') {
		return enterStep(context, 'rebooting', {drainRevision: decision.state.settings.revision});
	}

	if (decision.isChanging(entityOf(context))) {
		return progress;
	}

	if (isOverridden(host)) {
		return dropHost(progress, name);
	}

	if (progress.phase !== 'running') {
		return enterStep(context, 'releasing');
	}

	if (decision.nowMs - step.sinceMs > redrainAfterMs) {
		return startDraining(context);
	}

	if (isStepStored(context) && canProceed(context)) {
		changeHost(context, {action: 'stop', fields: {state: 'maintenance'}, expectedRevision: step.drainRevision!});
	}

	return progress;
};

/** Whether the host has booted again since `bootCountBefore` was recorded, and has served after that boot. */
const hasReturned = (decision: Decision, name: string, bootCountBefore: number): boolean => {
	const observation = decision.state.observations.get(name);
	return observation !== undefined && observation.bootCount > bootCountBefore && hasServedSinceLoss(observation);
};

/** Requests the reboot once all gates have confirmed the maintenance state as well: an operator may have set the host to serving for a moment in between. */
const requestReboot = (context: HostContext): void => {
	const {decision, definition, name, progress, step} = context;
	if (isDrained(decision.state, name, step.drainRevision!, step.sinceMs)) {
		decision.call({
			type: 'reboot', call: `reboot:${name}`, host: name, rebootId: rebootIdOf(progress.wave, name), change: definition.change,
		});
	}
};

const uncordon = (context: HostContext): void => {
	changeHost(context, {action: 'uncordon', fields: {state: 'serving', maintainedAtMs: Math.round(context.decision.nowMs)}});
};

const advanceReboot = (context: HostContext): HostOutcome => {
	const {decision, definition, host, name, progress, step} = context;
	if (host.state !== 'maintenance') {
		decision.clearReboot(rebootIdOf(progress.wave, name));
		return host.maintainedAtMs >= step.startedAtMs
			? 'finished'
			: skipHost(progress, name, 'an operator changed its state during the reboot');
	}

	if (hasReturned(decision, name, step.bootCountBefore!)) {
		uncordon(context);
		return progress;
	}

	const acceptedAtMs = decision.rebootAcceptedAtMs(rebootIdOf(progress.wave, name));
	if (acceptedAtMs === undefined) {
		requestReboot(context);
		return progress;
	}

	if (decision.nowMs - acceptedAtMs <= definition.rebootTimeoutMs) {
		return progress;
	}

	decision.warn('wave_host_failed', {wave: progress.wave, host: name});
	return failHost(progress, name, decision.nowMs);
};

const release = (context: HostContext): WaveProgress => {
	const {decision, host, name, progress} = context;
	if (decision.isChanging(entityOf(context))) {
		return progress;
	}

	if (host.state === 'leaving') {
		changeHost(context, {action: 'release', fields: {state: 'serving'}});
		return progress;
	}

	const attempts = progress.postponed[name]?.attempts ?? 0;
	return attempts >= maxDrainAttempts
		? skipHost(progress, name, `did not drain in ${attempts} attempts`)
		: dropHost(progress, name);
};

/** Advances the host as far as possible in this tick. */
export const advanceHost = (context: HostContext): HostOutcome => {
	const {step} = context.step;
	switch (step) {
		case 'cordoning': {
			return cordon(context);
		}

		case 'draining': {
			return advanceDrain(context);
		}

		case 'stopping': {
			return markInMaintenance(context);
		}

		case 'rebooting': {
			return advanceReboot(context);
		}

		case 'releasing': {
			return release(context);
		}

		default: {
			return assertNever(step);
		}
	}
};

/** Returns a failed host to service if it has returned after the reboot timeout. */
export const recoverFailedHost = (decision: Decision, progress: WaveProgress, name: string): WaveProgress => {
	const host = decision.state.settings.hosts.get(name);
	const bootCountBefore = progress.failed[name]?.bootCountBefore;
	if (host === undefined || bootCountBefore === undefined) {
		return progress;
	}

	if (host.state === 'serving') {
		return finishHosts(progress, [name], decision.nowMs);
	}

	if (host.state === 'maintenance' && hasReturned(decision, name, bootCountBefore)) {
		decision.change({
			entity: `/hosts/${name}`,
			action: 'recover',
			fields: {state: 'serving', maintainedAtMs: Math.round(decision.nowMs)},
			expectedRevision: decision.state.settings.revision,
		});
	}

	return progress;
};
