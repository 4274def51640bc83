/**
Delivers answers late, or twice, to the reducers of simulated processes, as slow connections and repeated calls may. The process may be in a later term by then, the worker in a later incarnation, and the machine under another order.
*/
import {ReducerRuntime} from '@poplarnotch/common';
import {vi} from 'vitest';
import {type SchedulerEvent, type SchedulerState} from '../../src/index.js';
import {type SchedulerSimulation} from './scheduler-simulation.js';

export type Disturbance = {
	/** Share of the answers that are delivered once more. */
	readonly repeatRate: number;
	/** Share of the answers that are delivered late only. */
	readonly lateRate: number;
	readonly maxDelayMs: number;
};

/** Answers to calls. Other events are dispatched without waiting for anything. */
const answerTypes: ReadonlySet<string> = new Set<SchedulerEvent['type']>([
	'polled', 'startAnswered', 'stopAnswered', 'paceAnswered', 'adviceAnswered', 'machineAnswered', 'machinesListed', 'saved', 'leaseLost', 'leaseConfirmed',
]);

const {dispatch} = ReducerRuntime.prototype;

let activeCount = 0;

/** Disturbs the answers to all processes until the returned function is called. Answers that are on their way by then still arrive. */
export const disturbAnswers = (simulation: SchedulerSimulation, {repeatRate, lateRate, maxDelayMs}: Disturbance): (() => void) => {
	const {random, clock} = simulation;
	activeCount++;
	simulation.areAnswersDisturbed = true;
	const deliverLate = (runtime: ReducerRuntime<unknown, unknown, unknown>, event: SchedulerEvent): void => {
		const delayMs = maxDelayMs * random.next();
		clock.schedule(delayMs, () => {
			const receiver = simulation.processes.find(({scheduler}) => scheduler.state === runtime.state as SchedulerState);
			if (receiver !== undefined && !receiver.clock.isDead && !receiver.clock.isFrozen) {
				dispatch.call(runtime, {...event, nowMs: receiver.clock.nowMs(), wallMs: receiver.clock.wallTimeMs()});
			}
		});
	};

	const spy = vi.spyOn(ReducerRuntime.prototype, 'dispatch').mockImplementation(function (this: ReducerRuntime<unknown, unknown, unknown>, event: unknown) {
		const isAnswer = answerTypes.has((event as SchedulerEvent).type);
		const draw = isAnswer ? random.next() : 1;
		if (draw < repeatRate + lateRate) {
			deliverLate(this, event as SchedulerEvent);
		}

		if (draw >= lateRate) {
			dispatch.call(this, event);
		}
	});
	return () => {
		activeCount--;
		simulation.areAnswersDisturbed = false;
		if (activeCount === 0) {
			spy.mockRestore();
		}
	};
};
