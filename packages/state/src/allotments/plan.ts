/**
Plans the next step for one team: lower the usable amount, return capacity, take capacity, or reclaim a gone gate's allotment.

The order of the steps protects the limit: the usable amount drops before the row is written, and only capacity that is not in use is returned; taken capacity is usable only after its commit was applied.
*/
import {type Transaction} from '@poplarnotch/platform';
import {
	allotmentRetryMs, maxRowAgeMs, returnDelayMs, reclaimProbability, capacityRequestClearMs, capacityRequestDelayMs,
} from './constants.js';
import {mayReclaim} from './gone-holders.js';
import {
	deleteAllotment, allotmentKey, putAllotment, putSum, sumKey,
} from './rows.js';
import {
	type AllotmentEffect, type AllotmentState, type PendingCommit, type TeamState,
} from './state.js';
import {amountToKeep, amountToTake, demandOf} from './target-amount.js';

type TeamStep = {
	readonly team: TeamState;
	readonly effects: readonly AllotmentEffect[];
};

const unchanged = (team: TeamState): TeamStep => ({team, effects: []});

const sumCondition = (team: TeamState) => ({key: sumKey(team.team), version: team.heldVersion});

const ownTransaction = (state: AllotmentState, team: TeamState, pending: PendingCommit): Transaction => {
	const ownCondition = {key: allotmentKey(team.team, state.holder), version: team.own.version};
	const ownWrite = state.isStopping && pending.amount === 0
		? deleteAllotment(team.team, state.holder)
		: putAllotment(team.team, state.holder, pending.amount, pending.wanted);
	return pending.writesSum
		? {conditions: [sumCondition(team), ownCondition], writes: [putSum(team.team, pending.held), ownWrite]}
		: {conditions: [ownCondition], writes: [ownWrite]};
};

/** Requests a read of the rows; planning is repeated with the result. */
const rereadRows = (team: TeamState): TeamStep => ({team: {...team, needsRead: true}, effects: [{type: 'readRows'}]});

/** The values that this gate's row should have. */
type OwnTarget = {
	readonly amount: number;
	readonly wanted: number;
};

const commitOwn = (state: AllotmentState, team: TeamState, target: OwnTarget, nowMs: number): TeamStep => {
	const {amount, wanted} = target;
	const pending: PendingCommit = {
		type: 'own', writesSum: amount !== team.own.amount, held: team.held + amount - team.own.amount, amount, wanted, holder: state.holder,
	};
	return pending.writesSum && nowMs - state.readAtMs > maxRowAgeMs
		? rereadRows(team)
		: {team: {...team, pending}, effects: [{type: 'commit', team: team.team, transaction: ownTransaction(state, team, pending)}]};
};

const commitReclaim = (team: TeamState, holder: string): TeamStep => {
	const allotment = team.others.get(holder)!;
	const pending: PendingCommit = {
		type: 'reclaim', writesSum: true, held: team.held - allotment.amount, amount: allotment.amount, wanted: 0, holder,
	};
	const transaction: Transaction = {
		conditions: [sumCondition(team), {key: allotmentKey(team.team, holder), version: allotment.version}],
		writes: [putSum(team.team, pending.held), deleteAllotment(team.team, holder)],
	};
	return {team: {...team, pending}, effects: [{type: 'commit', team: team.team, transaction}]};
};

/** Lowers the usable amount at once, but raises it only when no commit of this gate's row is pending or unconfirmed. */
const withUsable = (state: AllotmentState, team: TeamState, keep: number, nowMs: number): TeamState => {
	const isCertain = !team.hasUnconfirmedCommit && team.pending?.type !== 'own';
	const usable = state.isEvicted ? 0 : Math.min(keep, team.own.amount, isCertain ? Number.POSITIVE_INFINITY : team.usable);
	return usable === team.usable ? team : {...team, usable, loweredAtMs: usable < team.usable ? nowMs : team.loweredAtMs};
};

const hasPassed = (sinceMs: number | undefined, durationMs: number, nowMs: number): boolean =>
	sinceMs !== undefined && nowMs - sinceMs >= durationMs;

/** The capacity that the gate requests from others on top of the amount; 0 until requests have waited for `capacityRequestDelayMs`. */
const requestedCapacityOf = (team: TeamState, amount: number, nowMs: number): number =>
	hasPassed(team.shortSinceMs, capacityRequestDelayMs, nowMs) ? Math.max(0, demandOf(team) - amount) : 0;

/** Whether the requested capacity in this gate's row differs so much that it is worth a write. */
const isRequestOutdated = (team: TeamState, wanted: number, nowMs: number): boolean => wanted === 0
	? team.own.wanted > 0 && hasPassed(team.coveredSinceMs, capacityRequestClearMs, nowMs)
	: wanted >= team.own.wanted * 2;

const planOwn = (state: AllotmentState, team: TeamState, keep: number, nowMs: number): TeamStep => {
	if (keep < team.own.amount) {
		const amount = Math.max(keep, team.running);
		const hasReturnDelayPassed = nowMs - team.loweredAtMs >= returnDelayMs;
		const surplus = team.own.amount - keep;
		const returned = team.own.amount - amount;
		// While running work ends one by one, the excess is returned in steps of at least a quarter.
		const isWorthwhile = returned > 0 && (amount === keep || returned * 4 >= surplus);
		return hasReturnDelayPassed && isWorthwhile ? commitOwn(state, team, {amount, wanted: requestedCapacityOf(team, amount, nowMs)}, nowMs) : unchanged(team);
	}

	const amount = amountToTake(state, team, nowMs);
	const wanted = state.isStopping ? 0 : requestedCapacityOf(team, amount, nowMs);
	if (amount > team.own.amount || team.hasUnconfirmedCommit || isRequestOutdated(team, wanted, nowMs)) {
		return commitOwn(state, team, {amount, wanted}, nowMs);
	}

	const hasEmptyRow = state.isStopping && team.own.version > 0 && team.own.amount === 0;
	return hasEmptyRow ? commitOwn(state, team, {amount: 0, wanted: 0}, nowMs) : unchanged(team);
};

const reclaimable = (state: AllotmentState, team: TeamState, nowMs: number): string | undefined =>
	[...team.others.keys()].find(holder => mayReclaim(state, holder, nowMs));

/** Plans one team. `random` is defined only at ticks, when allotments of gone gates are reclaimed. */
export const planTeam = (state: AllotmentState, team: TeamState, nowMs: number, random: number | undefined): TeamStep => {
	const keep = amountToKeep(state, team, nowMs);
	const lowered = withUsable(state, team, keep, nowMs);
	const mayCommit = state.hasRead && state.unverifiedSinceMs === undefined && !state.isEvicted && lowered.pending === undefined && !lowered.needsRead && nowMs >= lowered.retryAtMs;
	if (!mayCommit) {
		return unchanged(lowered);
	}

	const holder = random !== undefined && random < reclaimProbability ? reclaimable(state, lowered, nowMs) : undefined;
	return holder === undefined ? planOwn(state, lowered, keep, nowMs) : commitReclaim(lowered, holder);
};

/** Handles the success of the pending commit. */
export const afterCommit = (team: TeamState, revision: number, nowMs: number): TeamState => {
	const {pending} = team;
	if (pending === undefined) {
		return team;
	}

	const isNewestSum = pending.writesSum && revision > team.heldVersion;
	const committed: TeamState = {
		...team,
		pending: undefined,
		held: isNewestSum ? pending.held : team.held,
		heldVersion: isNewestSum ? revision : team.heldVersion,
	};
	if (pending.type === 'reclaim') {
		const others = new Map(team.others);
		others.delete(pending.holder);
		return {...committed, others};
	}

	return {
		...committed,
		hasUnconfirmedCommit: false,
		own: {amount: pending.amount, wanted: pending.wanted, version: revision},
		increasedAtMs: pending.amount > team.own.amount ? nowMs : team.increasedAtMs,
		decreasedAtMs: pending.amount < team.own.amount ? nowMs : team.decreasedAtMs,
	};
};

/** Handles the failure of the pending commit. */
export const afterFailure = (team: TeamState, failure: 'conflict' | 'unavailable' | 'unknown', nowMs: number, random: number): TeamState => ({
	...team,
	pending: undefined,
	// The commit may still be applied later. The usable amount is no larger than the amount before or after it, and must not rise until another commit supersedes it.
	hasUnconfirmedCommit: team.hasUnconfirmedCommit || (failure === 'unknown' && team.pending?.type === 'own'),
	needsRead: failure !== 'unavailable',
	retryAtMs: nowMs + (allotmentRetryMs * (0.5 + random)),
});
