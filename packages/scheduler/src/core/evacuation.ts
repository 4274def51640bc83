/**
Evacuation of data centres: while an operator's order for a data centre exists, nothing new is started there and none of its machines is moved into a pool.

The load this answers: an operator expects a data centre to fail or to lose its network within minutes. Its workers still answer, so without the order they would get new tasks that are then lost.
*/
import {type SchedulerState} from './scheduler-state.js';

/** Applies the complete list of data centres that are to be evacuated. */
export const applyEvacuationOrders = (state: SchedulerState, dataCentres: readonly string[], nowMs: number): void => {
	const ordered = new Set(dataCentres);
	for (const dataCentre of state.evacuations.keys()) {
		if (!ordered.has(dataCentre)) {
			state.evacuations.delete(dataCentre);
		}
	}

	for (const dataCentre of ordered) {
		if (!state.evacuations.has(dataCentre)) {
			state.evacuations.set(dataCentre, {
				dataCentre, knownSinceMs: nowMs, withoutRoom: [], waitingForStep: [],
			});
		}
	}

	for (const worker of state.workers.values()) {
		worker.isEvacuated = state.evacuations.has(worker.entry.dataCentre);
	}
};
