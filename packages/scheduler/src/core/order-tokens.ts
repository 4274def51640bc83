/**
The fencing tokens that workers see. An order names its worker by an id that stays when the worker starts again, and one without an answer may be carried out seconds later. So each incarnation of a worker gets orders with a token of its own: once the present one has answered a poll with its token, it refuses whatever is still on its way to an earlier one, be it a start, a stop, a pace, a lease deadline or an acknowledgement.
*/
import {type TaskRun, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Number of incarnations of a worker that the orders of one term can tell apart. */
const incarnationsPerTerm = 1000;

/** Returns the fencing token of orders to the worker's present incarnation. It is higher than those of earlier terms and of orders to earlier incarnations. */
export const orderTokenFor = (state: SchedulerState, {restartCount}: WorkerRecord): number =>
	(state.term!.fencingToken * incarnationsPerTerm) + Math.min(restartCount, incarnationsPerTerm - 1);

/** Returns true if the worker has used up the term's tokens, so that orders to its next incarnation could not be told from those to this one. */
export const areTokensUsedUp = ({restartCount}: WorkerRecord): boolean => restartCount >= incarnationsPerTerm - 1;

/** Returns true if the start has no answer and was ordered from an earlier incarnation of the worker, so that its token tells it from the orders to the present one. */
export const isSupersededStart = ({mayArrive, incarnation, worker}: TaskRun): boolean => mayArrive && incarnation !== worker.incarnation;
