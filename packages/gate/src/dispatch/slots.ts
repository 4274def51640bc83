/**
Slots held on backend servers. A slot counts for its host, its pool's queue and its team from the dispatch until the work has certainly ended.
*/
import {type GateState, poolOf} from '../state.js';
import {type HeldSlot} from './tracked-request.js';
import {type EventContext} from './event-context.js';

/** Cancel grace period if the pool is no longer in the settings. */
const defaultGraceMs = 1000;

/** Number of slots that the team holds over all pools. */
export const slotsHeldBy = (state: GateState, team: string): number => state.runningByTeam.get(team) ?? 0;

/** Returns true if the team may hold one more slot. */
export const isBelowAllotment = (state: GateState, team: string): boolean =>
	slotsHeldBy(state, team) < (state.grants.allotmentByTeam.get(team) ?? 0);

/** Acquires a slot. */
export const acquireSlot = (context: EventContext, host: string, pool: string, team: string): HeldSlot => {
	const {state, nowMs} = context;
	state.servers.acquire(host);
	state.runningByTeam.set(team, slotsHeldBy(state, team) + 1);
	poolOf(state, pool).queue.started(team, nowMs);
	const graceMs = state.settings.pools.get(pool)?.cancelGraceMs ?? defaultGraceMs;
	return {
		host, pool, team, acquiredAtMs: nowMs, graceMs,
	};
};

/** Releases a slot whose work has ended or never began. */
export const releaseSlot = (context: EventContext, slot: HeldSlot): void => {
	const {state, nowMs} = context;
	state.servers.release(slot.host);
	const running = slotsHeldBy(state, slot.team) - 1;
	if (running > 0) {
		state.runningByTeam.set(slot.team, running);
	} else {
		state.runningByTeam.delete(slot.team);
	}

	poolOf(state, slot.pool).queue.released(slot.team, nowMs - slot.acquiredAtMs, nowMs);
};

/** Releases a slot after its grace period, when the backend server has certainly stopped the work. */
export const releaseSlotAfterGrace = (context: EventContext, slot: HeldSlot): void => {
	context.state.timers.set(context.nowMs + slot.graceMs, {type: 'slot', slot});
};
