/**
What is believed of machines and of the orders given for them. Orders carry the term's fencing token and may be repeated: the platform answers alike where the operation is done already.
*/
import {machineAwayMinMs, machineOrderRetryMs} from '../constants.js';
import {type MachineAnswer} from '../ports.js';
import {type MachineEntry} from '../types.js';
import {type MachineRecord, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';
import {endWorker} from './workers.js';

/** Takes a listing of all machines into account. */
export const applyMachineList = (state: SchedulerState, entries: readonly MachineEntry[], sentAtMs: number): void => {
	const listed = new Set<string>();
	for (const entry of entries) {
		listed.add(entry.machineId);
		const known = state.machines.get(entry.machineId);
		if (known === undefined) {
			state.machines.set(entry.machineId, {entry, order: undefined, notBeforeMs: 0});
			continue;
		}

		if (known.entry.state !== entry.state) {
			state.emit({
				type: 'note', fields: {
					event: 'machine_state', machineId: entry.machineId, pool: entry.pool, state: entry.state, replaces: known.entry.state, workerId: entry.workerId, ordered: known.order?.type,
				},
			});
		}

		known.entry = entry;
		const {order} = known;
		if (order?.phase === 'accepted' && entry.state === 'up' && sentAtMs >= order.answeredAtMs! + machineAwayMinMs) {
			known.order = undefined;
		}
	}

	for (const machineId of state.machines.keys()) {
		if (!listed.has(machineId)) {
			state.machines.delete(machineId);
		}
	}

	state.machinesListedAtMs = sentAtMs;
	endUnnamedWorkers(state, sentAtMs);
};

/** Time after which a worker that registered itself is named by the list of machines. */
const namedAfterMs = 1000;

/** A worker has ended where no machine carries it any more; one that has only just registered may be newer than the list of machines. */
const endUnnamedWorkers = (state: SchedulerState, nowMs: number): void => {
	const named = new Map<string, string>();
	for (const {entry} of state.machines.values()) {
		if (entry.workerId !== undefined) {
			named.set(entry.workerId, entry.machineId);
		}
	}

	for (const [workerId, worker] of state.workers) {
		const machineId = named.get(workerId);
		if (named.size > 0 && machineId === undefined && (worker.machineId !== undefined || !worker.isListed || nowMs - worker.seenAtMs > namedAfterMs)) {
			endWorker(state, worker, nowMs, 'machine-runs-another-worker');
		}

		worker.machineId = machineId ?? worker.machineId;
	}
};

/** The worker that lives on the machine. */
export const workerOn = (state: SchedulerState, machine: MachineRecord): WorkerRecord | undefined =>
	machine.entry.workerId === undefined ? undefined : state.workers.get(machine.entry.workerId);

export const orderMove = (state: SchedulerState, machine: MachineRecord, pool: string, nowMs: number, reason: string): void => {
	machine.order = {
		type: 'move', waveId: undefined, pool, sentAtMs: nowMs, phase: 'sent', answeredAtMs: undefined,
	};
	reserveWorker(state, machine);
	state.emit({
		type: 'move', machineId: machine.entry.machineId, pool, fencingToken: state.term!.fencingToken, reason,
	});
};

export const orderMaintenance = (state: SchedulerState, machine: MachineRecord, waveId: number, nowMs: number): void => {
	machine.order = {
		type: 'maintain', waveId, pool: undefined, sentAtMs: nowMs, phase: 'sent', answeredAtMs: undefined,
	};
	reserveWorker(state, machine);
	state.emit({
		type: 'maintain', machineId: machine.entry.machineId, waveId, fencingToken: state.term!.fencingToken,
	});
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

export const applyMachineAnswer = (state: SchedulerState, machineId: string, answer: MachineAnswer, nowMs: number): void => {
	const machine = state.machines.get(machineId);
	if (answer === 'fenced') {
		state.term = undefined;
		state.emit({type: 'stepDown', reason: `machine ${machineId} was ordered with a higher token`});
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
			const worker = workerOn(state, machine);
			if (worker !== undefined) {
				endWorker(state, worker, nowMs, 'machine-ordered-away');
			}

			if (order.waveId !== undefined) {
				noteMaintained(state, order.waveId, machineId);
			}

			break;
		}

		case 'unknown': {
			// It may have been carried out: the same order is sent again until it is answered.
			order.phase = 'retry';
			break;
		}

		case 'not-in-wave': {
			machine.order = undefined;
			releaseWorker(state, machine);
			noteMaintained(state, order.waveId!, machineId);
			break;
		}

		case 'busy':
		case 'refused': {
			machine.order = undefined;
			machine.notBeforeMs = nowMs + machineOrderRetryMs;
			releaseWorker(state, machine);
			break;
		}
	}
};

const noteMaintained = (state: SchedulerState, waveId: number, machineId: string): void => {
	const wave = state.waves.get(waveId);
	if (wave !== undefined && !wave.maintained.has(machineId)) {
		wave.maintained.add(machineId);
		wave.reserved.delete(machineId);
		wave.isDirty = true;
	}
};

/** Sends orders again whose outcome is unknown. */
export const repeatMachineOrders = (state: SchedulerState, nowMs: number): void => {
	for (const machine of state.machines.values()) {
		const {order} = machine;
		if (order?.phase === 'retry' && nowMs - order.answeredAtMs! >= machineOrderRetryMs) {
			if (order.type === 'maintain') {
				orderMaintenance(state, machine, order.waveId!, nowMs);
			} else {
				orderMove(state, machine, order.pool!, nowMs, 'repeated');
			}
		}
	}
};

/** The machine can take an order and is not about to leave. */
export const isOrderable = (state: SchedulerState, machine: MachineRecord, nowMs: number): boolean => machine.order === undefined
	&& nowMs >= machine.notBeforeMs
	&& machine.entry.state === 'up'
	&& workerOn(state, machine)?.entry.isDraining !== true;

export const isStandby = (state: SchedulerState, machine: MachineRecord): boolean =>
	state.configuration.pools.get(machine.entry.pool)?.isStandby === true;

/** Nothing runs on the machine and nothing can be on its way to it. */
export const isIdle = (state: SchedulerState, machine: MachineRecord, nowMs: number): boolean => {
	if (isStandby(state, machine)) {
		return true;
	}

	const worker = workerOn(state, machine);
	if (worker === undefined) {
		return state.isSettled;
	}

	const isCertain = worker.isFenced && (worker.silentSinceMs === undefined || nowMs >= worker.leaseOverAtMs);
	return isCertain && worker.runs.size === 0;
};

/** The machine could serve in a pool as it is: it is switched off, or its worker answers. */
export const isSound = (state: SchedulerState, machine: MachineRecord): boolean =>
	isStandby(state, machine) || workerOn(state, machine)?.silentSinceMs === undefined;
