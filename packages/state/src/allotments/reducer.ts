/**
The reducer of a gate's allotments.

An allotment does not expire like a lease: a gate keeps it through any outage, and other gates reclaim it only when the gate is known to be gone and its longest work has ended. A gate that handled no event for `stallLimitMs` may have been replaced in the meantime; it uses nothing until it has read its rows again.
*/
import {assertNever, type Step} from '@poplarnotch/common';
import {type RowChange} from '@poplarnotch/platform';
import {stallLimitMs} from './constants.js';
import {trackGoneHolders} from './gone-holders.js';
import {afterCommit, afterFailure, planTeam} from './plan.js';
import {
	sumFrom, parseAllotmentKey, allotmentFrom,
} from './rows.js';
import {
	type AllotmentEffect, type AllotmentEvent, type AllotmentState, newTeam, type TeamState,
} from './state.js';
import {withShortage, withDemandPeaks} from './target-amount.js';

type AllotmentStep = Step<AllotmentState, AllotmentEffect>;

const updateTeam = (state: AllotmentState, name: string, change: (team: TeamState) => TeamState): AllotmentState => {
	const team = state.teams.get(name) ?? newTeam(name);
	return {...state, teams: new Map(state.teams).set(name, change(team))};
};

const withOwnRow = (team: TeamState, change: RowChange): TeamState => {
	// Either a commit of this gate is pending and its result will set the row, or the change is older than the last commit.
	if (change.version <= team.own.version || team.pending?.type === 'own') {
		return team;
	}

	return {...team, own: allotmentFrom(change.value, change.version)};
};

const withOthersRow = (team: TeamState, holder: string, change: RowChange): TeamState => {
	const known = team.others.get(holder);
	if (known !== undefined && known.version >= change.version) {
		return team;
	}

	const others = new Map(team.others);
	if (change.value === undefined) {
		others.delete(holder);
	} else {
		others.set(holder, allotmentFrom(change.value, change.version));
	}

	return {...team, others};
};

const withRow = (state: AllotmentState, change: RowChange): AllotmentState => {
	const {team: name, holder} = parseAllotmentKey(change.key);
	if (holder === state.holder) {
		const known = state.teams.get(name)?.own;
		const isDeletedByOthers = change.value === undefined && known !== undefined && change.version > known.version && !state.isStopping;
		return {...updateTeam(state, name, team => withOwnRow(team, change)), isEvicted: state.isEvicted || isDeletedByOthers};
	}

	return updateTeam(state, name, team => {
		if (holder !== undefined) {
			return withOthersRow(team, holder, change);
		}

		return change.version > team.heldVersion
			? {...team, held: sumFrom(change.value), heldVersion: change.version}
			: team;
	});
};

const withRows = (state: AllotmentState, event: Extract<AllotmentEvent, {readonly type: 'rowsChanged'}>): AllotmentState => {
	const {changes, sentAtMs, nowMs} = event;
	const changed = changes.reduce(withRow, state);
	const teams = new Map([...changed.teams].map(([name, team]) => [name, team.needsRead ? {...team, needsRead: false} : team]));
	const isVerified = state.unverifiedSinceMs !== undefined && sentAtMs >= state.unverifiedSinceMs;
	return {
		...changed, teams, hasRead: true, readAtMs: nowMs, unverifiedSinceMs: isVerified ? undefined : state.unverifiedSinceMs,
	};
};

const withLimits = (state: AllotmentState, limits: ReadonlyMap<string, number>, workMs: number, nowMs: number): AllotmentState => {
	const names = new Set([...state.teams.keys(), ...limits.keys()]);
	const teams = new Map([...names].map(name => [name, {...state.teams.get(name) ?? newTeam(name), limit: limits.get(name) ?? 0}]));
	const hasShrunk = workMs < state.longestWorkMs && Number.isFinite(state.longestWorkMs);
	const previous = hasShrunk
		? {previousLongestWorkMs: state.longestWorkMs, previousLongestWorkUntilMs: nowMs + state.longestWorkMs}
		: {};
	return {
		...state, teams, longestWorkMs: workMs, ...previous,
	};
};

/** Detects a stall of the process by the time since its last event. */
const detectStall = (state: AllotmentState, nowMs: number): AllotmentState => {
	const wasStalled = state.lastEventMs !== undefined && nowMs - state.lastEventMs >= stallLimitMs;
	return {...state, lastEventMs: nowMs, unverifiedSinceMs: wasStalled ? nowMs : state.unverifiedSinceMs};
};

const applyEvent = (state: AllotmentState, event: AllotmentEvent): AllotmentState => {
	switch (event.type) {
		case 'demandChanged': {
			return updateTeam(state, event.team, team => ({...team, running: event.running, waiting: event.waiting}));
		}

		case 'limitsChanged': {
			return withLimits(state, event.limits, event.longestWorkMs, event.nowMs);
		}

		case 'rowsChanged': {
			return withRows(state, event);
		}

		case 'membersChanged': {
			return {...state, members: event.view};
		}

		case 'committed': {
			return updateTeam(state, event.team, team => afterCommit(team, event.revision, event.nowMs));
		}

		case 'commitFailed': {
			return updateTeam(state, event.team, team => afterFailure(team, event.failure, event.nowMs, event.random));
		}

		case 'tick': {
			return state;
		}

		case 'releaseRequested': {
			return {...state, isStopping: true};
		}

		default: {
			return assertNever(event);
		}
	}
};

/** The amount that listeners are notified of: 0 while it is unverified that this gate was not replaced. */
const amountToNotify = (state: AllotmentState, team: TeamState): number =>
	state.unverifiedSinceMs !== undefined || state.isEvicted ? 0 : team.usable;

const teamsToPlan = (state: AllotmentState, event: AllotmentEvent): Iterable<string> =>
	'team' in event ? [event.team] : state.teams.keys();

const planTeams = (state: AllotmentState, event: AllotmentEvent): AllotmentStep => {
	const teams = new Map(state.teams);
	const effects: AllotmentEffect[] = [];
	const random = event.type === 'tick' ? event.random : undefined;
	for (const name of teamsToPlan(state, event)) {
		const step = planTeam(state, withShortage(withDemandPeaks(teams.get(name)!, event.nowMs), event.nowMs), event.nowMs, random);
		const amount = amountToNotify(state, step.team);
		if (amount !== step.team.notifiedAmount) {
			effects.push({type: 'notify', team: name, amount});
		}

		effects.push(...step.effects);
		teams.set(name, {...step.team, notifiedAmount: amount});
	}

	return {state: {...state, teams}, effects};
};

const reclaimedEffects = (state: AllotmentState, event: AllotmentEvent): readonly AllotmentEffect[] => {
	const pending = event.type === 'committed' ? state.teams.get(event.team)?.pending : undefined;
	return event.type === 'committed' && pending?.type === 'reclaim'
		? [{
			type: 'reclaimed', team: event.team, holder: pending.holder, amount: pending.amount,
		}]
		: [];
};

const mustRead = (before: AllotmentState, after: AllotmentState, event: AllotmentEvent): boolean =>
	(event.type === 'commitFailed' && event.failure !== 'unavailable')
	|| (after.unverifiedSinceMs !== undefined && after.unverifiedSinceMs !== before.unverifiedSinceMs);

/** Applies one event and returns the new state with its effects. */
export const reduceAllotments = (state: AllotmentState, event: AllotmentEvent): AllotmentStep => {
	const stepped = applyEvent(detectStall(state, event.nowMs), event);
	// Demand changes with every request but does not affect holders, so this event skips the scan for gone holders.
	const applied = event.type === 'demandChanged' ? stepped : trackGoneHolders(stepped, event.nowMs);
	const planned = planTeams(applied, event);
	const effects: AllotmentEffect[] = [...planned.effects, ...reclaimedEffects(state, event)];
	if (mustRead(state, planned.state, event)) {
		effects.push({type: 'readRows'});
	}

	if (planned.state.isEvicted && !state.isEvicted) {
		effects.push({type: 'evicted'});
	}

	return {state: planned.state, effects};
};
