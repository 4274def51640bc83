export {ControllerProcess, type ControllerPorts} from './shell/controller-process.js';
export {controllerSettingsSchema, type ControllerSettings} from './settings.js';
export type {OperatorsResponse, OperatorsRequest, OperatorsRoute} from './operators/types.js';
export {
	BudgetTracker, initialFleetState, planWave, reduceFleet, type FleetEffect, type FleetEvent, type FleetState, type HostObservation,
} from './fleet/index.js';
