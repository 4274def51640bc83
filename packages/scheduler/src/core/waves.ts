/**
Runs maintenance waves: reserves machines so that they run empty, orders their maintenance within the wave's concurrency, and reports the wave as completed once every machine that still exists has been maintained.

Machines without work go first. Of the others, as many are reserved ahead as may be down, so that the next ones run empty while the first are away.
*/
import {type MachineRecord, type WaveRecord} from './records.js';
import {
	isIdle, isOrderable, orderMaintenance, workerOn,
} from './machines.js';
import {type SchedulerState} from './scheduler-state.js';

const isDownFor = (machine: MachineRecord, wave: WaveRecord): boolean =>
	machine.entry.state === 'maintenance' || (machine.order?.type === 'maintain' && machine.order.waveId === wave.order.waveId);

const machinesOf = (state: SchedulerState, wave: WaveRecord): readonly MachineRecord[] =>
	wave.order.machineIds.flatMap(machineId => state.machines.get(machineId) ?? []);

/** Machines with little to clear away come first. */
const clearingCost = (state: SchedulerState, machine: MachineRecord): number => {
	const worker = workerOn(state, machine);
	let cost = 0;
	for (const run of worker?.runs.values() ?? []) {
		cost += run.task?.step.spec.isLasting === true ? 10 : 1;
	}

	return cost;
};

const reserve = (state: SchedulerState, wave: WaveRecord, machine: MachineRecord): void => {
	wave.reserved.add(machine.entry.machineId);
	const worker = workerOn(state, machine);
	if (worker !== undefined) {
		worker.isReserved = true;
	}
};

/** Lasting tasks are kept off machines whose maintenance is still to come. */
const markDue = (state: SchedulerState, remaining: readonly MachineRecord[]): void => {
	for (const machine of remaining) {
		const worker = workerOn(state, machine);
		if (worker !== undefined) {
			worker.isDue = true;
		}
	}
};

const advance = (state: SchedulerState, wave: WaveRecord, nowMs: number): void => {
	const machines = machinesOf(state, wave);
	const remaining = machines.filter(({entry}) => !wave.maintained.has(entry.machineId));
	const downCount = machines.filter(machine => isDownFor(machine, wave)).length;
	markDue(state, remaining);
	if (remaining.length === 0 && downCount === 0) {
		complete(state, wave, nowMs);
		return;
	}

	let freeCount = wave.order.concurrency - downCount;
	const orderable = remaining.filter(machine => isOrderable(state, machine, nowMs))
		.toSorted((a, b) => clearingCost(state, a) - clearingCost(state, b));
	for (const machine of orderable) {
		if (freeCount > 0 && isIdle(state, machine, nowMs)) {
			freeCount--;
			orderMaintenance(state, machine, wave.order.waveId, nowMs);
		}
	}

	const clearing = remaining.filter(({entry}) => wave.reserved.has(entry.machineId));
	for (const machine of clearing) {
		// The machine may run another worker by now than when it was reserved.
		reserve(state, wave, machine);
	}

	let clearCount = wave.order.concurrency - clearing.length;
	for (const machine of orderable) {
		if (clearCount > 0 && machine.order === undefined && !wave.reserved.has(machine.entry.machineId)) {
			clearCount--;
			reserve(state, wave, machine);
		}
	}
};

const complete = (state: SchedulerState, wave: WaveRecord, nowMs: number): void => {
	wave.state = 'completed';
	wave.isDirty = true;
	state.emit({
		type: 'note', fields: {
			event: 'wave_completed', waveId: wave.order.waveId, machines: wave.maintained.size, afterMs: Math.round(nowMs - wave.orderedAtMs),
		},
	});
};

/** Advances all waves. Needs a listing of machines from this term, so that a machine that another holder sent away is not counted as up. */
export const advanceWaves = (state: SchedulerState, nowMs: number): void => {
	if (state.machinesListedAtMs === undefined || state.machinesListedAtMs < state.term!.wonAtMs) {
		return;
	}

	for (const wave of state.waves.values()) {
		if (wave.state === 'running') {
			advance(state, wave, nowMs);
		}

		if (wave.reportedState !== wave.state && !(wave.state === 'completed' && wave.isDirty)) {
			wave.reportedState = wave.state;
			state.emit({type: 'reportWave', waveId: wave.order.waveId, state: wave.state});
		}
	}
};
