/**
Context in which one event is handled: the state, the time, and the effects collected so far.
*/
import {type Problem} from '@poplarnotch/common';
import {type GateState} from '../state.js';
import {type GateEffect, type RequestId} from '../types.js';

/** Context of the event that is being handled. */
export type EventContext = {
	readonly state: GateState;
	readonly nowMs: number;
	readonly effects: GateEffect[];
};

/** Increments a counter metric. */
export const count = (context: EventContext, name: string): void => {
	context.effects.push({type: 'countMetric', name});
};

/** Records a duration in a metric. */
export const recordDuration = (context: EventContext, name: string, durationMs: number): void => {
	context.effects.push({type: 'recordDuration', name, durationMs});
};

/** Answers the caller with a problem and counts the refusal by the problem's type. */
export const refuse = (context: EventContext, requestId: RequestId, problem: Problem): void => {
	context.effects.push({type: 'refuse', requestId, problem});
	count(context, `gate_refused_${problem.type.replaceAll('-', '_')}_total`);
};
