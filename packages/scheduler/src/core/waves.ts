/**
Runs maintenance waves: reserves machines so that they drain, orders their maintenance within the wave's concurrency, and reports a wave as completed once every machine that still exists has been maintained.

Idle machines go first, those in an evacuated data centre before all others, since nothing starts there. As long as the wave still ends in time, it leaves the machines of a pool in a burst and, while such a pool lacks room, the standby machines, with which the pool grows. Machines that were reserved before the burst are released. Of the others, as many are reserved in advance as may be down at once, so that they drain while the first ones are being maintained.
*/
import {type MachineRecord, type WaveRecord} from './records.js';
import {
	isIdle, isMachineEvacuated, isOrderable, isStandby, orderMaintenance, workerOn,
} from './machines.js';
import {type SchedulerState} from './scheduler-state.js';

const isDownFor = (machine: MachineRecord, wave: WaveRecord): boolean =>
	machine.entry.state === 'maintenance' || (machine.order?.type === 'maintain' && machine.order.waveId === wave.order.waveId);

const machinesOf = (state: SchedulerState, wave: WaveRecord): readonly MachineRecord[] =>
	wave.order.machineIds.flatMap(machineId => state.machines.get(machineId) ?? []);

/** Returns the cost of draining the machine; machines with a lower cost are drained first. */
const drainCost = (state: SchedulerState, machine: MachineRecord): number => {
	const worker = workerOn(state, machine);
	let cost = 0;
	for (const run of worker?.runs.values() ?? []) {
		cost += run.task?.step.spec.isLasting === true ? 10 : 1;
	}

	return cost;
};

/** Returns true for a machine without tasks in an evacuated data centre. One whose lasting tasks fit nowhere yet is not preferred, since it would occupy the wave until they do. */
const isEmptied = (state: SchedulerState, machine: MachineRecord): boolean =>
	isMachineEvacuated(state, machine) && (workerOn(state, machine)?.runs.size ?? 0) === 0;

const reserveMachine = (state: SchedulerState, wave: WaveRecord, machine: MachineRecord): void => {
	wave.reserved.add(machine.entry.machineId);
	const worker = workerOn(state, machine);
	if (worker !== undefined) {
		worker.isReserved = true;
	}
};

/** Returns the machine to its pool. */
const releaseMachine = (state: SchedulerState, wave: WaveRecord, machine: MachineRecord): void => {
	const worker = workerOn(state, machine);
	wave.reserved.delete(machine.entry.machineId);
	if (worker !== undefined) {
		worker.isReserved = false;
	}
};

/** Marks machines whose maintenance is pending, so that lasting tasks are not placed there. */
const markMaintenanceDue = (state: SchedulerState, remaining: readonly MachineRecord[]): void => {
	for (const machine of remaining) {
		const worker = workerOn(state, machine);
		if (worker !== undefined) {
			worker.isMaintenanceDue = true;
		}
	}
};

/** Estimated time from the reservation of a machine until it is back. Maintenance takes about 3 s, and draining about one. */
const expectedAbsenceMs = 5000;

/** Returns true if the wave would still end in time if it did not start another machine now. */
const hasTimeLeft = ({order, orderedAtMs}: WaveRecord, remainingCount: number, nowMs: number): boolean =>
	orderedAtMs + order.withinMs - nowMs > Math.ceil(remainingCount / Math.max(1, order.concurrency)) * expectedAbsenceMs;

/** Returns the machines that can accept an order and that the wave may take, the first to be drained first. The sort keys are collected beforehand, because a drain cost goes through all runs on the machine. */
const inDrainOrder = (state: SchedulerState, remaining: readonly MachineRecord[], {needed, canWait, nowMs}: {readonly needed: ReadonlySet<MachineRecord>; readonly canWait: boolean; readonly nowMs: number}): readonly MachineRecord[] => remaining
	.filter(machine => isOrderable(state, machine, nowMs) && !(canWait && needed.has(machine)))
	.map(machine => ({
		machine, isNeeded: needed.has(machine), isEmptied: isEmptied(state, machine), drainCost: drainCost(state, machine),
	}))
	.toSorted((a, b) => Number(b.isEmptied) - Number(a.isEmptied) || Number(a.isNeeded) - Number(b.isNeeded) || a.drainCost - b.drainCost)
	.map(({machine}) => machine);

/** Returns the machines that pools in a burst use, and the standby machines while such a pool lacks room. */
const neededMachines = (state: SchedulerState, remaining: readonly MachineRecord[], lackingRoom: ReadonlySet<string>): ReadonlySet<MachineRecord> => {
	const isGrowing = [...lackingRoom].some(pool => state.demand.isInBurst(pool));
	return new Set(remaining.filter(machine => !isEmptied(state, machine)
		&& (isStandby(state, machine) ? isGrowing : state.demand.isInBurst(machine.entry.pool))));
};

const advanceWave = (state: SchedulerState, wave: WaveRecord, lackingRoom: ReadonlySet<string>, nowMs: number): void => {
	const machines = machinesOf(state, wave);
	const remaining = machines.filter(({entry}) => !wave.maintained.has(entry.machineId));
	const downCount = machines.filter(machine => isDownFor(machine, wave)).length;
	markMaintenanceDue(state, remaining);
	if (remaining.length === 0 && downCount === 0) {
		completeWave(state, wave, nowMs);
		return;
	}

	let maintenanceSlots = wave.order.concurrency - downCount;
	const needed = neededMachines(state, remaining, lackingRoom);
	const canWait = hasTimeLeft(wave, remaining.length, nowMs);
	// A reserved machine that the wave does not take now would serve nobody.
	for (const machine of canWait ? needed : []) {
		if (machine.order === undefined && wave.reserved.has(machine.entry.machineId)) {
			releaseMachine(state, wave, machine);
		}
	}

	const beingDrained = remaining.filter(({entry}) => wave.reserved.has(entry.machineId));
	let drainSlots = wave.order.concurrency - beingDrained.length;
	const orderable = maintenanceSlots > 0 || drainSlots > 0 ? inDrainOrder(state, remaining, {needed, canWait, nowMs}) : [];
	for (const machine of orderable) {
		if (maintenanceSlots > 0 && state.machineOrdersLeft > 0 && isIdle(state, machine, nowMs)) {
			maintenanceSlots--;
			orderMaintenance(state, machine, wave.order.waveId, nowMs);
		}
	}

	for (const machine of beingDrained) {
		// The machine may run a different worker than when it was reserved.
		reserveMachine(state, wave, machine);
	}

	for (const machine of orderable) {
		if (drainSlots > 0 && machine.order === undefined && !wave.reserved.has(machine.entry.machineId)) {
			drainSlots--;
			reserveMachine(state, wave, machine);
		}
	}
};

const completeWave = (state: SchedulerState, wave: WaveRecord, nowMs: number): void => {
	wave.state = 'completed';
	wave.isDirty = true;
	state.emit({
		type: 'log', fields: {
			event: 'wave_completed', waveId: wave.order.waveId, machines: wave.maintained.size, afterMs: Math.round(nowMs - wave.orderedAtMs),
		},
	});
};

/** Advances all waves. Requires a machine list from this term, so that a machine that another holder sent to maintenance is not counted as up. */
export const advanceWaves = (state: SchedulerState, lackingRoom: ReadonlySet<string>, nowMs: number): void => {
	if (!state.areMachinesOfTerm) {
		return;
	}

	for (const wave of state.waves.values()) {
		if (wave.state === 'running') {
			advanceWave(state, wave, lackingRoom, nowMs);
		}

		if (wave.reportedState !== wave.state && !(wave.state === 'completed' && wave.isDirty)) {
			wave.reportedState = wave.state;
			state.emit({
				type: 'reportWave', fencingToken: state.term!.fencingToken, waveId: wave.order.waveId, state: wave.state,
			});
		}
	}
};
