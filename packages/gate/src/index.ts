export {reduceGate} from './reducer.js';
export {
	createGateState, describeGateState, poolDemands, runningOnHost, teamDemands, type GateState,
} from './state.js';
export {slotTickMs} from './slots/constants.js';
export {reduceSlots} from './slots/reducer.js';
export {createSlotState} from './slots/state.js';
export type {
	SlotEffect, SlotEvent, SlotMessage, SlotPeer, SlotState,
} from './slots/types.js';
export type {TeamLoad} from './dispatch/fair-queue.js';
export type {
	ArrivedRequest,
	AttemptFailed,
	AttemptStage,
	BackendServer,
	ClaimResolution,
	GateEffect,
	GateEvent,
	GateGrants,
	RecordedOutcome,
	RequestId,
} from './types.js';
