/**
Computes how much of a team's limit a gate should keep or take.

Without contention a gate keeps what recent demand needs plus some headroom, so that writes stay rare. While a live gate requests more than is unallocated, or after the limit was lowered, every gate keeps at most its max-min share, which all gates compute from the same rows.
*/
import {
	contendedHoldMs, contendedWindowMs, headroomShare, uncontendedWindowMs, minReturnShare, yieldMs,
} from './constants.js';
import {type Allotment} from './rows.js';
import {maxMinLevel} from './max-min.js';
import {type AllotmentState, type TeamState, type DemandPeak} from './state.js';

/** What the other gates hold and request. */
type OtherHolders = {
	readonly live: readonly Allotment[];
	/** Sum held by gates that are gone or suspected: they neither return nor request capacity. */
	readonly fixed: number;
	readonly wanted: number;
};

const otherHoldersOf = (state: AllotmentState, team: TeamState): OtherHolders => {
	const allotments = [...team.others];
	const live = allotments.filter(([holder]) => !state.silentHolders.has(holder)).map(([, allotment]) => allotment);
	const fixed = allotments.filter(([holder]) => state.silentHolders.has(holder)).reduce((sum, [, allotment]) => sum + allotment.amount, 0);
	return {live, fixed, wanted: live.reduce((sum, allotment) => sum + allotment.wanted, 0)};
};

export const demandOf = (team: TeamState): number => team.running + team.waiting;

export const unallocatedOf = (team: TeamState): number => Math.max(0, team.limit - team.held);

const withHeadroom = (amount: number): number => Math.ceil(amount * (1 + headroomShare));

const highestDemand = (peak: DemandPeak): number => Math.max(peak.current, peak.previous);

const amountWhenUncontended = (team: TeamState): number => {
	const target = withHeadroom(highestDemand(team.uncontendedPeak));
	const excess = team.own.amount - target;
	const isWorthwhile = excess > 0 && (target === 0 || excess >= team.own.amount * minReturnShare);
	return isWorthwhile ? target : team.own.amount;
};

/** The max-min level of the live gates' demands; each gate's max-min share is its demand, capped at this level. */
const fairLevel = (team: TeamState, others: OtherHolders): number => maxMinLevel(team.limit - others.fixed, [
	demandOf(team),
	...others.live.map(allotment => allotment.amount + allotment.wanted),
]);

const amountWhenContended = (team: TeamState, others: OtherHolders, nowMs: number): number => {
	const demand = highestDemand(team.contendedPeak);
	const level = fairLevel(team, others);
	const isWithinHoldTime = nowMs - team.increasedAtMs < contendedHoldMs;
	const target = Math.min(team.own.amount, demand > level && !isWithinHoldTime ? level : demand);
	// Other gates return capacity too, so this gate covers half of the shortfall.
	const shortfall = Math.ceil((others.wanted - unallocatedOf(team)) / 2);
	return Math.max(target, Math.min(team.usable, team.own.amount - shortfall));
};

const amountWhenOverLimit = (team: TeamState, others: OtherHolders): number =>
	Math.min(team.own.amount, maxMinLevel(team.limit - others.fixed, [team.own.amount, ...others.live.map(allotment => allotment.amount)]));

/** The amount of its current allotment that the gate keeps. */
export const amountToKeep = (state: AllotmentState, team: TeamState, nowMs: number): number => {
	if (state.isStopping) {
		return 0;
	}

	const others = otherHoldersOf(state, team);
	const isContended = others.wanted > unallocatedOf(team);
	const kept = isContended ? amountWhenContended(team, others, nowMs) : amountWhenUncontended(team);
	return team.held > team.limit ? Math.min(kept, amountWhenOverLimit(team, others)) : kept;
};

/** The amount that the gate's allotment should grow to; not below the current amount. */
export const amountToTake = (state: AllotmentState, team: TeamState, nowMs: number): number => {
	const demand = demandOf(team);
	const maxAmount = team.own.amount + unallocatedOf(team);
	if (state.isStopping || demand <= team.own.amount) {
		return team.own.amount;
	}

	const others = otherHoldersOf(state, team);
	if (others.wanted === 0) {
		return Math.min(maxAmount, withHeadroom(demand));
	}

	const level = fairLevel(team, others);
	const isYielding = nowMs - team.decreasedAtMs < yieldMs;
	if (isYielding) {
		return Math.max(team.own.amount, Math.min(maxAmount, demand, level));
	}

	const unrequested = maxAmount - others.wanted;
	return Math.max(team.own.amount, Math.min(maxAmount, Math.max(demand, Math.min(withHeadroom(demand), unrequested))));
};

/** Records since when the demand has exceeded the allotment, or since when it has been covered. */
export const withShortage = (team: TeamState, nowMs: number): TeamState => {
	const isShort = demandOf(team) > team.own.amount;
	const isRecorded = isShort ? team.shortSinceMs !== undefined : team.coveredSinceMs !== undefined;
	if (isRecorded) {
		return team;
	}

	return {...team, shortSinceMs: isShort ? nowMs : undefined, coveredSinceMs: isShort ? undefined : nowMs};
};

const recordDemand = (peak: DemandPeak, demand: number, windowMs: number, nowMs: number): DemandPeak => {
	if (nowMs - peak.startMs >= windowMs) {
		return {startMs: nowMs, current: demand, previous: peak.current};
	}

	return demand > peak.current ? {...peak, current: demand} : peak;
};

/** Records the demand in the current windows and starts new windows when they are over. */
export const withDemandPeaks = (team: TeamState, nowMs: number): TeamState => {
	const demand = demandOf(team);
	return {
		...team,
		uncontendedPeak: recordDemand(team.uncontendedPeak, demand, uncontendedWindowMs, nowMs),
		contendedPeak: recordDemand(team.contendedPeak, demand, contendedWindowMs, nowMs),
	};
};
