export {type AdmissionControl, admitAll, DrainTimeAdmission} from './admission/admission-control.js';
export {maxTasksPerJob} from './constants.js';
export {reduceScheduler} from './core/reducer.js';
export {orderPolicyNames, type OrderPolicyName} from './core/order/order-policies.js';
export type {JobChange, SchedulerEffect, SchedulerEvent} from './core/events.js';
export {type PoolForecastName, poolForecastNames} from './core/pools/demand-forecast.js';
export {SchedulerState} from './core/scheduler-state.js';
export {
	JobService, type Admission, type CallTarget, type CancelResult, type StatusResult, type SubmitResult,
} from './jobs/job-service.js';
export type * from './ports.js';
export {SchedulerProcess, type SchedulerProcessOptions} from './shell/scheduler-process.js';
export type * from './types.js';
