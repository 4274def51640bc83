/**
The end and the resumption of a term, in which the process holds the lease and gives orders.
*/
import {resetEvacuationLogs} from './evacuation.js';
import {type LeaseLossReason} from './events.js';
import {logUnstoredEnds} from './progress-persistence.js';
import {recordUnstoredEnds} from './recorded-ends.js';
import {type SchedulerState} from './scheduler-state.js';

/** Ends the term, if there is one, and discards what is known only within a term: runs, and orders to machines. */
export const endTerm = (state: SchedulerState, nowMs: number, reason: LeaseLossReason = 'superseded'): void => {
	logUnstoredEnds(state, nowMs, reason);
	if (state.term !== undefined) {
		recordUnstoredEnds(state, 'the term has ended');
	}

	state.recordedEnds.clear();
	state.term = undefined;
	state.clearRuns(nowMs);
	resetEvacuationLogs(state);
	for (const machine of state.machines.values()) {
		machine.order = undefined;
	}

	for (const wave of state.waves.values()) {
		wave.reserved.clear();
		// A report that is not written by now is not repeated any more.
		wave.reportedState = undefined;
	}
};

/** Ends the term after a higher fencing token was seen, which shows that another process holds the lease. */
export const stepDown = (state: SchedulerState, reason: string, nowMs: number): void => {
	const {term} = state;
	if (term !== undefined) {
		endTerm(state, nowMs);
		state.emit({type: 'stepDown', fencingToken: term.fencingToken, reason});
	}
};

/** Lets a suspended term go on. */
export const resumeTerm = (state: SchedulerState): void => {
	state.isSuspended = false;
	state.isLeaseUnconfirmed = false;
};
