/**
Determines which holders are known to be gone and when their allotments may be reclaimed.
*/
import {type MembersView, type MemberStatus} from '../membership/types.js';
import {reclaimMarginMs} from './constants.js';
import {parseHolderId} from './rows.js';
import {type AllotmentState} from './state.js';

const statusOf = (view: MembersView, holder: string): MemberStatus => {
	const {processId, incarnation} = parseHolderId(holder);
	// A view that was read before the holder registered proves nothing about it.
	if (view.revision < incarnation) {
		return 'live';
	}

	if (view.unreadable.includes(processId)) {
		return 'suspected';
	}

	const member = view.members.find(candidate => candidate.processId === processId);
	return member === undefined || member.incarnation > incarnation ? 'gone' : member.status;
};

/** Records which holders are suspected or gone, and since when each gone holder has been gone. If a holder reappears and is gone again later, the time starts anew. */
export const trackGoneHolders = (state: AllotmentState, nowMs: number): AllotmentState => {
	const {members} = state;
	if (members === undefined) {
		return state;
	}

	const holders = new Set([...state.teams.values()].flatMap(team => [...team.others.keys()]));
	const silent = [...holders].filter(holder => statusOf(members, holder) !== 'live');
	const gone = silent.filter(holder => statusOf(members, holder) === 'gone');
	return {
		...state,
		silentHolders: new Set(silent),
		goneSinceMs: new Map(gone.map(holder => [holder, state.goneSinceMs.get(holder) ?? nowMs])),
	};
};

const longestWorkMs = (state: AllotmentState, nowMs: number): number =>
	nowMs < state.previousLongestWorkUntilMs ? Math.max(state.previousLongestWorkMs, state.longestWorkMs) : state.longestWorkMs;

/** Whether a holder has been gone for so long that all its work has ended. */
export const mayReclaim = (state: AllotmentState, holder: string, nowMs: number): boolean => {
	const sinceMs = state.goneSinceMs.get(holder);
	return sinceMs !== undefined && nowMs - sinceMs >= longestWorkMs(state, nowMs) + reclaimMarginMs;
};
