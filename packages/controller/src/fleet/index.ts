export {BudgetTracker} from './budgets/budget-tracker.js';
export {initialFleetState, reduceFleet} from './reducer.js';
export {
	type FleetEffect, type FleetEvent, type FleetState, type HostObservation,
} from './types.js';
export {planWave} from './waves/plan-wave.js';
