/**
Tracks the state of machines and the orders sent for them. Orders carry the term's fencing token and may be repeated: the platform gives the same answer if the operation is already done.
*/
import {maxListingDelayMs, minMachineAbsenceMs, machineOrderRetryMs} from '../constants.js';
import {type MachineAnswer, type UnreadableMachine} from '../ports.js';
import {type MachineEntry} from '../types.js';
import {
	type ListTimes, type MachineOrder, type MachineRecord, type WorkerRecord,
} from './records.js';
import {unstoredEnds} from './progress-persistence.js';
import {type SchedulerState} from './scheduler-state.js';
import {stepDown} from './terms.js';
import {
	endWorker, isPresent, loseRuns, type LossReason, presentIncarnation, returnToService, splitByReturn,
} from './workers.js';

/** A list of machines, and when it was requested and arrived. One that is not of one moment may lack a machine that is there. */
export type ReceivedMachineList = {
	readonly machines: readonly MachineEntry[];
	readonly unreadable?: readonly UnreadableMachine[] | undefined;
	readonly isOfOneMoment?: boolean | undefined;
	readonly sentAtMs: number;
	readonly nowMs: number;
	readonly wallMs: number;
};

/** Applies a list of machines. What is known of a machine whose entry cannot be read stays as it is, as does that of a machine missing from a single list that is not of one moment. */
export const applyMachineList = (state: SchedulerState, {machines, unreadable = [], isOfOneMoment = true, sentAtMs, nowMs, wallMs}: ReceivedMachineList): void => {
	const times: ListTimes = {sentAtMs, arrivedAtMs: nowMs};
	const previous = state.machineList;
	const listed = new Set<string | undefined>(unreadable.map(({machineId}) => machineId));
	for (const entry of machines) {
		listed.add(entry.machineId);
		const known = state.machines.get(entry.machineId);
		if (known === undefined) {
			state.machines.set(entry.machineId, {
				entry, order: undefined, nextOrderAtMs: 0, missingSince: undefined,
			});
			continue;
		}

		if (known.entry.state !== entry.state) {
			state.emit({
				type: 'log', fields: {
					event: 'machine_state', machineId: entry.machineId, pool: entry.pool, state: entry.state, replaces: known.entry.state, workerId: entry.workerId, ordered: known.order?.type,
				},
			});
		}

		known.entry = entry;
		finishOrder(state, known, times);
	}

	for (const [machineId, machine] of state.machines) {
		if (listed.has(machineId)) {
			machine.missingSince = undefined;
		} else if (isOfOneMoment || isLaterList(times, machine.missingSince)) {
			state.machines.delete(machineId);
		} else {
			machine.missingSince ??= times;
		}
	}

	state.machineList = {...times, unreadable};
	if (isOfOneMoment) {
		state.machinesKnownSinceMs = sentAtMs;
	} else if (isLaterList(times, previous)) {
		state.machinesKnownSinceMs = previous.sentAtMs;
	}

	const missedUnreadable = isOfOneMoment ? [] : previous?.unreadable.filter(({machineId}) => machineId === undefined || !listed.has(machineId)) ?? [];
	state.unreadableMachines = [...unreadable, ...missedUnreadable];
	endUnlistedWorkers(state, {
		listed, isOfOneMoment, times, wallMs,
	});
};

/** Returns true if the list was requested after the earlier one had arrived. */
const isLaterList = ({sentAtMs}: ListTimes, earlier: ListTimes | undefined): earlier is ListTimes => earlier !== undefined && sentAtMs >= earlier.arrivedAtMs;

/** Returns true if the list shows that a move was carried out whose answer is not known. */
const isMoveDone = ({entry, order}: MachineRecord, listSentAtMs: number): boolean => order?.type === 'move'
	&& order.phase !== 'accepted'
	&& listSentAtMs > order.firstSentAtMs
	&& entry.pool === order.pool
	&& order.formerPool !== order.pool;

/** Finishes the machine's order once a list shows its effect, and lets the worker take tasks that the machine runs now. An order that had been carried out before changes nothing when it is accepted, so that worker may be one that was taken for ended. */
const finishOrder = (state: SchedulerState, machine: MachineRecord, {sentAtMs: listSentAtMs, arrivedAtMs}: ListTimes): void => {
	const {entry, order} = machine;
	const isAbsenceOver = order?.phase === 'accepted' && listSentAtMs >= order.answeredAtMs! + minMachineAbsenceMs;
	if (order === undefined || entry.state !== 'up' || !(isAbsenceOver || isMoveDone(machine, listSentAtMs))) {
		return;
	}

	machine.order = undefined;
	const worker = workerOn(state, machine);
	if (worker !== undefined) {
		returnToService(state, worker, arrivedAtMs);
	}
};

/** A worker that was born longer ago than this cannot be newer than a list of machines, even if the wall clocks of its host and of this one differ by some seconds. A new lease holder sees all workers for the first time and tells the old ones by this. */
const minUnlistedAgeMs = 6000;

const mayBeNewerThanList = (worker: WorkerRecord, nowMs: number, wallMs: number): boolean =>
	nowMs - worker.firstSeenAtMs <= maxListingDelayMs && (worker.bornWallMs === undefined || wallMs - worker.bornWallMs <= minUnlistedAgeMs);

/** Returns true if the worker may run on a machine whose entry cannot be read. */
const mayRunOnUnreadable = ({entry, machineId}: WorkerRecord, unreadable: readonly UnreadableMachine[]): boolean => unreadable.some(machine =>
	machine.workerId === entry.workerId || (machine.machineId === undefined ? machineId === undefined : machine.machineId === machineId));

type AppliedMachineList = {
	readonly listed: ReadonlySet<string | undefined>;
	readonly isOfOneMoment: boolean;
	readonly times: ListTimes;
	readonly wallMs: number;
};

/** Returns the time since when no machine can have run the worker that the list lacks, if the list proves that. A list that is not of one moment does so if the worker's machine is in it; otherwise it takes a second one. */
const goneSinceMs = (worker: WorkerRecord, {listed, isOfOneMoment, times}: AppliedMachineList): number | undefined => {
	if (isOfOneMoment || (worker.machineId !== undefined && listed.has(worker.machineId))) {
		return times.sentAtMs;
	}

	return isLaterList(times, worker.missingSince) ? worker.missingSince.sentAtMs : undefined;
};

/** Uses a worker again that was taken for ended, if the machine that the list names for it is up. One that a pending order ends is left to the end of that order. */
const reviveNamedWorker = (state: SchedulerState, worker: WorkerRecord, machineId: string, nowMs: number): void => {
	const machine = state.machines.get(machineId)!;
	if (machine.entry.state === 'up' && machine.order === undefined) {
		returnToService(state, worker, nowMs);
	}
};

/** Returns true if the worker may start again under its id: its machine is down or restarting, and runs no other worker. */
const mayReturn = (state: SchedulerState, {machineId, entry: {pool}}: WorkerRecord): boolean => {
	const runsNone = ({entry}: MachineRecord): boolean => entry.workerId === undefined && (entry.state === 'up' || entry.state === 'down');
	if (machineId === undefined) {
		// Which machine ran the worker is not known, so any of its pool without a worker may have.
		return [...state.machines.values()].some(machine => machine.entry.pool === pool && runsNone(machine));
	}

	const machine = state.machines.get(machineId);
	return machine !== undefined && runsNone(machine);
};

/** Ends workers that no machine runs any more, except for those that may have registered after the machines were listed. Uses those again that were taken for ended, by an earlier list or in an earlier term, and that a machine runs. */
const endUnlistedWorkers = (state: SchedulerState, list: AppliedMachineList): void => {
	const {times, wallMs} = list;
	const {sentAtMs: nowMs} = times;
	const machineIdByWorker = new Map<string, string>();
	const ended = new Map<WorkerRecord, number>();
	for (const {entry, missingSince} of state.machines.values()) {
		if (entry.workerId !== undefined && missingSince === undefined) {
			machineIdByWorker.set(entry.workerId, entry.machineId);
		}
	}

	for (const [workerId, worker] of state.workers) {
		const machineId = machineIdByWorker.get(workerId);
		const isMissing = machineIdByWorker.size > 0 && machineId === undefined && !mayRunOnUnreadable(worker, state.unreadableMachines);
		const sinceMs = isMissing ? goneSinceMs(worker, list) : undefined;
		if (sinceMs !== undefined && worker.lastReportSentAtMs < sinceMs && (worker.machineId !== undefined || !worker.isListed || !mayBeNewerThanList(worker, nowMs, wallMs))) {
			ended.set(worker, sinceMs);
		}

		if (!isMissing) {
			worker.missingSince = undefined;
		} else if (worker.missingSince === undefined || isLaterList(times, worker.missingSince)) {
			worker.missingSince = times;
		}

		worker.machineId = machineId ?? worker.machineId;
		if (worker.isEnded && machineId !== undefined) {
			reviveNamedWorker(state, worker, machineId, times.arrivedAtMs);
		}
	}

	for (const [worker] of ended) {
		// Unanswered starts were kept while the worker might return; now its machine runs another one, or is gone.
		if (worker.isEnded && !mayReturn(state, worker)) {
			loseRuns(state, worker, nowMs, {reason: 'machine-runs-another-worker', wasLeaving: true});
		}
	}

	const losses = [...ended].filter(([{isEnded}]) => !isEnded).map(([worker, sinceMs], _index, all) => ({worker, sinceMs, reason: lossReasonOf(state, worker, all.map(([other]) => other))}));
	for (const {worker, sinceMs, reason} of losses) {
		const ordered = [...worker.runs.values()].filter(({orderedAtMs, startedAtMs = sinceMs}) => orderedAtMs <= sinceMs && startedAtMs <= sinceMs);
		if (ordered.length === worker.runs.size) {
			endWorker(state, worker, nowMs, {reason, mayReturn: mayReturn(state, worker)});
		} else {
			// Runs that were ordered or confirmed since may be those of a worker that has started again under its id. The next list decides.
			const {lost, open} = splitByReturn(worker, mayReturn(state, worker));
			loseRuns(state, worker, nowMs, {reason, lost: lost.filter(run => ordered.includes(run)), undecided: open.filter(run => ordered.includes(run))});
		}
	}
};

/** Tells a crash of one worker from an order of this or an earlier lease holder, from the removal of the machine, and from the loss of a whole rack, for which no task is to blame. */
const lossReasonOf = (state: SchedulerState, worker: WorkerRecord, ended: readonly WorkerRecord[]): LossReason => {
	const machine = worker.machineId === undefined ? undefined : state.machines.get(worker.machineId);
	if (worker.machineId !== undefined && machine === undefined) {
		return 'machine-removed';
	}

	// A list that was read late shows a move by the new pool alone.
	if (machine?.entry.state === 'moving' || machine?.entry.state === 'maintenance' || (machine !== undefined && machine.entry.pool !== worker.entry.pool)) {
		return 'machine-ordered-away';
	}

	const {rack} = worker.entry;
	const lostOnRack = ended.filter(other => other.entry.rack === rack);
	const isAnyAnswering = [...state.workers.values()].some(other => other.entry.rack === rack && !other.isEnded && !ended.includes(other) && other.silentSinceMs === undefined);
	return lostOnRack.length > 1 && mayHaveFailedTogether(lostOnRack) && !isAnyAnswering ? 'rack-lost' : 'machine-runs-another-worker';
};

/** Returns false if one of the workers still answered after another had fallen silent. */
const mayHaveFailedTogether = (workers: readonly WorkerRecord[]): boolean => {
	const lastAnswerAtMs = Math.max(...workers.map(worker => worker.lastAnswerAtMs));
	return workers.every(worker => worker.silentSinceMs === undefined || worker.silenceNoticedAtMs >= lastAnswerAtMs);
};

/** Returns the worker that runs on the machine. */
export const workerOn = (state: SchedulerState, machine: MachineRecord): WorkerRecord | undefined =>
	machine.entry.workerId === undefined ? undefined : state.workers.get(machine.entry.workerId);

/** Creates the order, or its repetition if the machine has one already. */
const newOrder = (state: SchedulerState, machine: MachineRecord, nowMs: number): Omit<MachineOrder, 'type' | 'waveId' | 'pool'> => {
	const worker = workerOn(state, machine);
	const {firstSentAtMs, endsIncarnation, formerPool} = machine.order ?? {
		firstSentAtMs: nowMs, endsIncarnation: worker && presentIncarnation(worker), formerPool: machine.entry.pool,
	};
	return {
		orderNumber: ++state.machineOrderCount, firstSentAtMs, endsIncarnation, formerPool, phase: 'sent', answeredAtMs: undefined,
	};
};

export const orderMove = (state: SchedulerState, machine: MachineRecord, pool: string, nowMs: number, reason: string): void => {
	machine.order = {
		...newOrder(state, machine, nowMs), type: 'move', waveId: undefined, pool,
	};
	state.machineOrdersLeft--;
	reserveWorker(state, machine);
	state.emit({
		type: 'move', machineId: machine.entry.machineId, orderNumber: machine.order.orderNumber, pool, fencingToken: state.term!.fencingToken, reason,
	});
};

export const orderMaintenance = (state: SchedulerState, machine: MachineRecord, waveId: number, nowMs: number): void => {
	machine.order = {
		...newOrder(state, machine, nowMs), type: 'maintain', waveId, pool: undefined,
	};
	state.machineOrdersLeft--;
	reserveWorker(state, machine);
	state.emit({
		type: 'maintain', machineId: machine.entry.machineId, orderNumber: machine.order.orderNumber, waveId, fencingToken: state.term!.fencingToken,
	});
};

/** For this long after a takeover, machine orders are limited. */
const takeoverPeriodMs = 3000;

/** Maximum number of machine orders in a round after a takeover: the starts of waiting tasks come first, and the answers of all workers are still arriving. */
const maxTakeoverOrders = 20;

/** Sets the number of machine orders that the round may send. */
export const limitMachineOrders = (state: SchedulerState, nowMs: number): void => {
	state.machineOrdersLeft = nowMs - state.term!.wonAtMs < takeoverPeriodMs ? maxTakeoverOrders : Number.POSITIVE_INFINITY;
};

const reserveWorker = (state: SchedulerState, machine: MachineRecord): void => {
	const worker = workerOn(state, machine);
	if (worker !== undefined) {
		worker.isReserved = true;
	}
};

const releaseWorker = (state: SchedulerState, machine: MachineRecord): void => {
	const worker = workerOn(state, machine);
	if (worker !== undefined) {
		worker.isReserved = false;
	}
};

/** Applies the answer to the machine's present order. */
export const applyMachineAnswer = (state: SchedulerState, machineId: string, answer: MachineAnswer, nowMs: number): void => {
	const machine = state.machines.get(machineId);
	if (answer === 'fenced') {
		stepDown(state, `machine ${machineId} was ordered with a higher token`, nowMs);
		return;
	}

	if (machine?.order?.phase !== 'sent') {
		return;
	}

	const {order} = machine;
	order.answeredAtMs = nowMs;
	switch (answer) {
		case 'accepted': {
			order.phase = 'accepted';
			if (order.endsIncarnation !== undefined && isPresent(order.endsIncarnation)) {
				endWorker(state, order.endsIncarnation.worker, nowMs, {reason: 'machine-ordered-away'});
			}

			if (order.waveId !== undefined) {
				markMaintained(state, order.waveId, machineId);
			}

			break;
		}

		case 'unknown': {
			// The order may have been carried out, so the same order is sent again until it is answered.
			order.phase = 'retry';
			break;
		}

		case 'not-in-wave': {
			machine.order = undefined;
			releaseWorker(state, machine);
			markMaintained(state, order.waveId!, machineId);
			break;
		}

		case 'busy':
		case 'refused': {
			machine.order = undefined;
			machine.nextOrderAtMs = nowMs + machineOrderRetryMs;
			releaseWorker(state, machine);
			break;
		}
	}
};

const markMaintained = (state: SchedulerState, waveId: number, machineId: string): void => {
	const wave = state.waves.get(waveId);
	if (wave !== undefined && !wave.maintained.has(machineId)) {
		wave.maintained.add(machineId);
		wave.reserved.delete(machineId);
		wave.isDirty = true;
	}
};

/** Returns true if the machine runs a worker that the order was not sent for. If the order is carried out only when it is repeated, it ends that worker. */
const runsOtherWorker = (state: SchedulerState, machine: MachineRecord, {endsIncarnation}: MachineOrder): boolean => {
	const worker = workerOn(state, machine);
	return worker !== undefined && worker.incarnation !== endsIncarnation?.incarnation;
};

/** Returns true while an order to a machine is under way. */
export const awaitsMachineAnswers = ({machines}: SchedulerState): boolean => [...machines.values()].some(({order}) => order?.phase === 'sent');

/** Repeats orders whose outcome is unknown. A machine that runs another worker by now is drained first. A move into a pool is not repeated in a data centre that has been evacuated since; the list of machines shows whether it was carried out. */
export const repeatMachineOrders = (state: SchedulerState, nowMs: number): void => {
	for (const machine of state.machines.values()) {
		const {order} = machine;
		if (order?.phase === 'retry' && nowMs - order.answeredAtMs! >= machineOrderRetryMs) {
			const isIntoPool = order.type === 'move' && state.configuration.pools.get(order.pool!)?.isStandby !== true;
			if (isIntoPool && isMachineEvacuated(state, machine)) {
				machine.order = undefined;
				releaseWorker(state, machine);
			} else if (runsOtherWorker(state, machine, order) && !isIdle(state, machine, nowMs)) {
				reserveWorker(state, machine);
			} else if (order.type === 'maintain') {
				orderMaintenance(state, machine, order.waveId!, nowMs);
			} else {
				orderMove(state, machine, order.pool!, nowMs, 'repeated');
			}
		}
	}
};

/** Returns true if the machine can accept an order and its worker is not draining. No machine is ordered while an earlier holder may have ordered it just now. */
export const isOrderable = (state: SchedulerState, machine: MachineRecord, nowMs: number): boolean => machine.order === undefined
	&& nowMs >= machine.nextOrderAtMs
	&& nowMs >= (state.earlierHolder?.mayOrderMachinesUntilMs ?? 0)
	&& machine.entry.state === 'up'
	&& workerOn(state, machine)?.entry.isDraining !== true;

export const isStandby = (state: SchedulerState, machine: MachineRecord): boolean =>
	state.configuration.pools.get(machine.entry.pool)?.isStandby === true;

/** Returns true if the machine is in an evacuated data centre. Where the platform does not report the data centre of machines, that of the worker decides. */
export const isMachineEvacuated = (state: SchedulerState, machine: MachineRecord): boolean => {
	const dataCentre = machine.entry.dataCentre === '' ? workerOn(state, machine)?.entry.dataCentre : machine.entry.dataCentre;
	return dataCentre !== undefined && state.evacuations.has(dataCentre);
};

/** Returns true if the worker lists ends, or may list further ones, whose progress is not stored. An order for its machine would end the worker, and the next lease holder would start their tasks again. */
const hasUnstoredEnds = (worker: WorkerRecord): boolean => worker.mayLackEnds || unstoredEnds(worker) > 0;

/** Returns true if nothing runs on the machine, no start order can be in flight to it, and all that has ended on it is stored. */
export const isIdle = (state: SchedulerState, machine: MachineRecord, nowMs: number): boolean => {
	const worker = workerOn(state, machine);
	if (isStandby(state, machine)) {
		return worker === undefined || !hasUnstoredEnds(worker);
	}

	if (worker === undefined) {
		return state.isSettled;
	}

	const isCertain = worker.isFenced && (worker.silentSinceMs === undefined || nowMs >= worker.leaseExpiresAtMs);
	return isCertain && !hasUnstoredEnds(worker) && worker.runs.size === 0 && worker.expectedRuns.size === 0 && worker.trial === undefined;
};

/** Returns true if the machine could serve in a pool: it is switched off, or its worker answers polls. */
export const isServiceable = (state: SchedulerState, machine: MachineRecord): boolean =>
	isStandby(state, machine) || workerOn(state, machine)?.silentSinceMs === undefined;
