/**
The fleet's reducer. Events update the state with observations and responses; decisions are taken only on a tick, which advances all waves and moves as far as possible. The reducer decides nothing until this controller holds the lease, has read the stored waves and sees its own last change in the settings.
*/
import {assertNever, emptyFleetSettings, type Reducer} from '@poplarnotch/common';
import {Decision} from './decision.js';
import {advanceMoves} from './moves/advance-moves.js';
import {transferSpareHosts} from './moves/transfer-spare-hosts.js';
import {
	observeGateReports, observeListing, observeProbe, observeSuspicion,
} from './observations.js';
import {
	type FleetEffect, type FleetEvent, type FleetState, type StoredWave, type WaveProgress, type WaveRecord,
} from './types.js';
import {queryGates, probeUnconfirmedHosts} from './waves/probe-hosts.js';
import {runWaves} from './waves/run-waves.js';

/** The state of a controller at its start. */
export const initialFleetState: FleetState = {
	isActive: false,
	settings: emptyFleetSettings,
	awaitedRevision: 0,
	observations: new Map(),
	listedAtMs: undefined,
	waves: undefined,
	gates: {processIds: undefined, listedAtMs: 0, confirmations: new Map()},
	pending: new Map(),
	acceptedReboots: new Map(),
	moveDrains: new Map(),
	blockedLog: new Map(),
};

type FleetStep = ReturnType<Reducer<FleetState, FleetEvent, FleetEffect>>;

const withoutCalls = (state: FleetState, calls: readonly string[]): FleetState => {
	const pending = new Map(state.pending);
	for (const call of calls) {
		pending.delete(call);
	}

	return {...state, pending};
};

const withoutCall = (state: FleetState, call: string): FleetState => withoutCalls(state, [call]);

const withLease = (state: FleetState, revision: number): FleetState => ({
	...state,
	isActive: true,
	awaitedRevision: revision,
	waves: undefined,
	pending: new Map(),
	acceptedReboots: new Map(),
	moveDrains: new Map(),
});

const recordOf = ({progress, version}: StoredWave): WaveRecord => ({progress, saved: progress, version});

/** Returns the state with the stored waves in place of its own. */
export const withStoredWaves = (state: FleetState, waves: readonly StoredWave[]): FleetState =>
	({...state, waves: new Map(waves.map(stored => [stored.progress.wave, recordOf(stored)]))});

const withSavedWave = (state: FleetState, progress: WaveProgress, version: number): FleetState => {
	const known = state.waves?.get(progress.wave);
	return known === undefined
		? state
		: {...state, waves: new Map(state.waves).set(progress.wave, {...known, saved: progress, version})};
};

const decide = (state: FleetState, nowMs: number): FleetStep => {
	if (!state.isActive || state.settings.revision < state.awaitedRevision) {
		return {state, effects: []};
	}

	const decision = new Decision(state, nowMs);
	probeUnconfirmedHosts(decision);
	if (state.waves === undefined) {
		decision.call({type: 'loadWaves', call: 'waves'});
		return {state: {...decision.finish(), waves: undefined}, effects: decision.effects};
	}

	runWaves(decision);
	transferSpareHosts(decision);
	advanceMoves(decision);
	queryGates(decision);
	return {state: decision.finish(), effects: decision.effects};
};

const applyEvent = (state: FleetState, event: Exclude<FleetEvent, {readonly type: 'tick'}>): FleetState => {
	switch (event.type) {
		case 'leaseTaken': {
			return withLease(state, event.revision);
		}

		case 'leaseLost': {
			return {...state, isActive: false, waves: undefined};
		}

		case 'settingsChanged': {
			return {...state, settings: event.settings};
		}

		case 'wavesLoaded': {
			return withStoredWaves(withoutCall(state, event.call), event.waves);
		}

		case 'waveSaved': {
			return withSavedWave(withoutCall(state, event.call), event.progress, event.version);
		}

		case 'waveSaveUncertain': {
			return {...withoutCall(state, event.call), waves: undefined};
		}

		case 'hostsListed': {
			return observeListing(state, event);
		}

		case 'hostSuspected': {
			return observeSuspicion(state, event);
		}

		case 'probeCompleted': {
			return observeProbe(withoutCall(state, event.call), event);
		}

		case 'gatesReported': {
			return observeGateReports(withoutCall(state, event.call), event);
		}

		case 'changeCommitted': {
			const awaitedRevision = Math.max(state.awaitedRevision, event.revision);
			return {...withoutCalls(state, event.calls), awaitedRevision};
		}

		case 'changeRefused': {
			return withoutCalls(state, event.calls);
		}

		case 'rebootAccepted': {
			const acceptedReboots = new Map(state.acceptedReboots).set(event.rebootId, event.nowMs);
			return {...withoutCall(state, event.call), acceptedReboots};
		}

		case 'callFailed': {
			return withoutCall(state, event.call);
		}

		default: {
			return assertNever(event);
		}
	}
};

/** Applies one event to the fleet's state; a tick also returns effects. */
export const reduceFleet: Reducer<FleetState, FleetEvent, FleetEffect> = (state, event) =>
	event.type === 'tick' ? decide(state, event.nowMs) : {state: applyEvent(state, event), effects: []};
