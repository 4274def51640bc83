/**
Reducer of the scheduler. Every process tracks configuration, jobs and workers. Only the lease holder has a term, and only a process with a term gives orders.
*/
import {assertNever, type Step} from '@poplarnotch/common';
import {type WaveOrder} from '../types.js';
import {applyAdvice} from './placement-advice.js';
import {dispatchTasks} from './dispatch.js';
import {receiveNote} from './inherited-starts.js';
import {applyEvacuationOrders, logEvacuations} from './evacuation.js';
import {type SchedulerEffect, type SchedulerEvent} from './events.js';
import {
	applyJobChanges, createDueTasks, type CurrentTime, updateOpenJobs,
} from './jobs.js';
import {
	applyMachineAnswer, applyMachineList, limitMachineOrders, repeatMachineOrders,
} from './machines.js';
import {applyPaceAnswer, updatePace} from './throttling.js';
import {poolsLackingRoom} from './pools/pool-capacity.js';
import {updateForecast, resizePools} from './pools/pool-sizing.js';
import {dropOutdatedEvent} from './outdated-events.js';
import {applyInheritedEnds, keepEndsOfDropped, recordUnstoredEnds} from './recorded-ends.js';
import {reconcileRuns} from './relocation.js';
import {
	applyLateReport, applyPollAnswer, applyStartAnswer, applyStopAnswer, resolveReports,
} from './worker-reports.js';
import {applySaved, storeProgress, storeReportedEnds} from './progress-persistence.js';
import {type SchedulerState} from './scheduler-state.js';
import {checkTakeoverSettled, requestRevisions} from './takeover.js';
import {endTerm, resumeTerm} from './terms.js';
import {advanceWaves} from './waves.js';
import {applyWorkerList, expireWorkers} from './workers.js';

const applyWaveOrders = (state: SchedulerState, waves: readonly WaveOrder[], nowMs: number): void => {
	for (const order of waves) {
		if (!state.waves.has(order.waveId)) {
			const stored = state.storedWaves.get(order.waveId);
			state.waves.set(order.waveId, {
				order, orderedAtMs: nowMs, maintained: new Set(stored?.maintained), reserved: new Set(), state: stored?.isCompleted === true ? 'completed' : 'running', reportedState: undefined, isDirty: false,
			});
			state.emit({
				type: 'log', fields: {
					event: 'wave_ordered', waveId: order.waveId, machines: order.machineIds.length, withinMs: order.withinMs, concurrency: order.concurrency,
				},
			});
		}
	}
};

/** Runs one scheduling pass under the current term. */
const runSchedulingPass = (state: SchedulerState, now: CurrentTime): void => {
	const {nowMs} = now;
	expireWorkers(state, nowMs);
	checkTakeoverSettled(state, now);
	requestRevisions(state, nowMs);
	updateOpenJobs(state, now);
	resolveReports(state, now);
	const displaced = reconcileRuns(state, nowMs);
	logEvacuations(state, nowMs);
	// Without a confirmed lease, or before a release, no machine is ordered; with outdated operators' orders, nothing is started or moved.
	const mayOrderMachines = !state.isLeaseUnconfirmed && !state.isReleasePlanned;
	const mayStart = !state.areOrdersOutdated;
	if (mayStart && mayOrderMachines) {
		repeatMachineOrders(state, nowMs);
	}

	const shortages = mayStart ? dispatchTasks(state, displaced, nowMs) : undefined;
	limitMachineOrders(state, nowMs);
	const lackingRoom = poolsLackingRoom(state, shortages ?? new Map(), nowMs);
	updateForecast(state, lackingRoom, nowMs);
	if (mayOrderMachines) {
		advanceWaves(state, lackingRoom, nowMs);
	}

	if (shortages !== undefined && mayOrderMachines) {
		resizePools(state, shortages, nowMs);
	}

	storeProgress(state, nowMs);
};

/** Stores what the workers have reported, without an order to anyone: what only this process knows is lost with its term. The store refuses the save if another process holds the lease. */
const runStoringPass = (state: SchedulerState, now: CurrentTime): void => {
	expireWorkers(state, now.nowMs);
	createDueTasks(state, now);
	resolveReports(state, now);
	storeProgress(state, now.nowMs);
};

const updatePaceAfterPoll = (state: SchedulerState, {workerId, answer, nowMs}: Extract<SchedulerEvent, {readonly type: 'polled'}>): void => {
	const worker = state.workers.get(workerId);
	if (worker !== undefined && answer.type === 'report') {
		updatePace(state, worker, nowMs);
	}
};

const apply = (state: SchedulerState, event: SchedulerEvent): void => {
	switch (event.type) {
		case 'configured': {
			state.configuration = event.configuration;
			break;
		}

		case 'wavesOrdered': {
			applyWaveOrders(state, event.waves, event.nowMs);
			break;
		}

		case 'evacuationsOrdered': {
			applyEvacuationOrders(state, event.dataCentres, event.nowMs);
			break;
		}

		case 'workersListed': {
			applyWorkerList(state, event.workers, event.nowMs);
			break;
		}

		case 'jobsChanged': {
			applyJobChanges(state, event.changes, event);
			break;
		}

		case 'waveProgressed': {
			const wave = state.waves.get(event.waveId);
			state.storedWaves.set(event.waveId, event);
			for (const machineId of event.maintained) {
				wave?.maintained.add(machineId);
			}

			if (wave !== undefined && event.isCompleted) {
				wave.state = 'completed';
			}

			break;
		}

		case 'leaseWon': {
			if (state.term?.fencingToken === event.fencingToken) {
				resumeTerm(state);
			} else {
				endTerm(state, event.nowMs);
				state.beginTerm(event.fencingToken, event.nowMs);
				state.earlierHolder = event.earlierHolder;
				receiveNote(state, event.note, event.nowMs);
				createDueTasks(state, event);
				applyInheritedEnds(state, event.note?.ends ?? {}, event);
				// Status reports refer to tasks, which must be created before the first report arrives.
				updateOpenJobs(state, event);
			}

			break;
		}

		case 'leaseConfirmed': {
			resumeTerm(state);
			break;
		}

		case 'leaseUnconfirmed': {
			state.isLeaseUnconfirmed = true;
			break;
		}

		case 'earlierHolderChanged': {
			state.earlierHolder = event.earlierHolder;
			break;
		}

		case 'revisionRead': {
			if (event.after === 'calls') {
				state.registrationsAfterRevision = event.revision;
			} else {
				state.newJobsAfterRevision = event.revision;
			}

			break;
		}

		case 'leaseSuspended': {
			state.isSuspended = true;
			break;
		}

		case 'leaseLost': {
			endTerm(state, event.nowMs, event.reason);
			break;
		}

		case 'releasePlanned': {
			state.isReleasePlanned = true;
			break;
		}

		case 'pollingEnded': {
			state.isPollingEnded = true;
			break;
		}

		case 'handoverBegun': {
			state.isHandingOver = true;
			runStoringPass(state, event);
			break;
		}

		case 'storingDelayed': {
			recordUnstoredEnds(state, 'the save takes long');
			break;
		}

		case 'handoverCancelled': {
			state.isReleasePlanned = false;
			state.isPollingEnded = false;
			state.isHandingOver = false;
			break;
		}

		case 'polled': {
			applyPollAnswer(state, event);
			updatePaceAfterPoll(state, event);
			storeReportedEnds(state, event.nowMs);
			break;
		}

		case 'reportedLate': {
			applyLateReport(state, event);
			storeReportedEnds(state, event.nowMs);
			break;
		}

		case 'startAnswered': {
			applyStartAnswer(state, event);
			break;
		}

		case 'stopAnswered': {
			applyStopAnswer(state, event);
			break;
		}

		case 'adviceAnswered': {
			applyAdvice(state, event);
			break;
		}

		case 'paceAnswered': {
			applyPaceAnswer(state, event);
			break;
		}

		case 'saveDue': {
			state.isSaveScheduled = false;
			storeReportedEnds(state, event.nowMs);
			break;
		}

		case 'saved': {
			applySaved(state, event);
			storeReportedEnds(state, event.nowMs);
			break;
		}

		case 'machinesListed': {
			applyMachineList(state, event);
			break;
		}

		case 'machineAnswered': {
			applyMachineAnswer(state, event.machineId, event.answer, event.nowMs);
			break;
		}

		case 'tick': {
			state.areOrdersOutdated = event.areOrdersOutdated === true;
			state.jobRowsConfirmedAtMs = event.jobRowsConfirmedAtMs;
			state.jobRowsRevision = event.jobRowsRevision;
			state.workersFollowedSinceMs = event.workersFollowedSinceMs;
			if (state.term === undefined) {
				expireWorkers(state, event.nowMs);
			} else if (state.isSuspended || state.isHandingOver) {
				runStoringPass(state, event);
			} else {
				runSchedulingPass(state, event);
			}

			break;
		}

		default: {
			assertNever(event);
		}
	}
};

/** Mutates the state, which only the reducer owns, and returns the effects to perform. */
export const reduceScheduler = (state: SchedulerState, event: SchedulerEvent): Step<SchedulerState, SchedulerEffect> => {
	if (dropOutdatedEvent(state, event)) {
		keepEndsOfDropped(state, event);
	} else {
		apply(state, event);
	}

	return {state, effects: state.takeEffects()};
};
