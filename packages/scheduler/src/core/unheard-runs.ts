/**
When runs count as over that nobody has heard end. Each bound after which a task is started elsewhere although its worker is out of reach stands here; `docs/design/unheard-runs.md` has them side by side with the other proofs that a run has ended.

A lease is a deadline on the clock of the incarnation that it was sent to. There it is over a lease time after the last sending, whatever the rate of the clock. The next incarnation of the worker, whose clock starts anew, takes such a deadline for one far ahead, and grants its longest lease. It does so until it has seen a higher token. So the shorter bound needs a proof of the incarnation: a report that lists the run, what the last holder has left, or a registration that was written after the orders of earlier holders were over.
*/
import {
	clockDriftFactor, leaseMarginMs, maxCallDelayMs, maxRegistryGapMs, maxUnansweredCallMs, maxWallClockErrorMs, taskLeaseMs,
} from '../constants.js';
import {areAllStartsAccountedFor, areStartsAccountedFor} from './inherited-starts.js';
import {type CurrentTime} from './jobs.js';
import {type TaskRun, type WorkerRecord} from './records.js';
import {type SchedulerState} from './scheduler-state.js';

/** Returns when a lease that was sent at this time is over on the incarnation that it was meant for, whatever the rate of its clock. */
export const leaseExpiryAfter = (sentAtMs: number): number => sentAtMs + (taskLeaseMs * clockDriftFactor) + leaseMarginMs;

/** Returns when the longest lease that workers grant is over if it was granted at this time. */
export const longestLeaseExpiryAfter = ({maxWorkerLeaseMs}: SchedulerState, grantedAtMs: number): number =>
	grantedAtMs + (maxWorkerLeaseMs * clockDriftFactor) + leaseMarginMs;

/** Records that a lease deadline was sent: tasks may run on the worker until then. */
export const recordLeaseSent = (worker: WorkerRecord, nowMs: number): void => {
	worker.lastLeaseSentAtMs = Math.max(worker.lastLeaseSentAtMs, nowMs);
	worker.leaseExpiresAtMs = Math.max(worker.leaseExpiresAtMs, leaseExpiryAfter(nowMs));
};

/** Counts with calls to the earlier incarnation of a worker that has not answered under its own token: unanswered starts among them begin with the longest lease. */
export const recordEarlierLeases = (state: SchedulerState, worker: WorkerRecord, nowMs: number): void => {
	const openArrivals = [...worker.runs.values()].flatMap(({mayArrive, orderedAtMs}) => mayArrive ? orderedAtMs + maxCallDelayMs : []);
	worker.leaseExpiresAtMs = Math.max(worker.leaseExpiresAtMs, longestLeaseExpiryAfter(state, Math.max(nowMs, ...openArrivals)));
};

/** Counts with the leases that the worker was granted before it answered under its own token: it refuses all later calls to its earlier incarnation. */
export const endEarlierLeases = (state: SchedulerState, worker: WorkerRecord, {sentLeaseExpiresAtMs, nowMs}: {readonly sentLeaseExpiresAtMs: number; readonly nowMs: number}): void => {
	worker.leaseExpiresAtMs = worker.restartedAtMs === undefined
		? Math.min(worker.leaseExpiresAtMs, sentLeaseExpiresAtMs)
		: Math.max(sentLeaseExpiresAtMs, longestLeaseExpiryAfter(state, Math.min(nowMs, worker.restartedAtMs + maxCallDelayMs)));
};

/** Returns when the run is over if its worker is not heard any more. A run that no report of the present incarnation lists may be one of the next incarnation, of which this process does not know: an answer to a start does not name the incarnation. */
export const runOverAtMs = (state: SchedulerState, {listedIncarnation, worker}: TaskRun): number => worker.isEnded || listedIncarnation === worker.incarnation
	? worker.leaseExpiresAtMs
	: Math.max(worker.leaseExpiresAtMs, longestLeaseExpiryAfter(state, worker.lastLeaseSentAtMs + maxUnansweredCallMs));

/** Returns true if the worker has registered itself, as the incarnation that this process knows, after the last call of earlier holders had arrived. */
const isIncarnationConfirmed = ({registrationsAfterRevision}: SchedulerState, {entry, bornWallMs}: WorkerRecord): boolean => bornWallMs !== undefined
	&& entry.bornWallMs === bornWallMs
	&& registrationsAfterRevision !== undefined
	&& (entry.registeredVersion ?? 0) > registrationsAfterRevision;

/** Returns when the last call of earlier holders has arrived, unless a worker carries it out late. */
export const earlierCallsOverAtMs = ({earlierOrdersOverAtMs}: SchedulerState): number => earlierOrdersOverAtMs + maxUnansweredCallMs;

/** Returns until when calls to earlier incarnations may reach the one that this process knows, if that is the present one. A process that follows the registrations has seen each restart since then. */
const callsToEarlierUntilMs = ({workersFollowedSinceMs = Number.POSITIVE_INFINITY}: SchedulerState, {firstSeenAtMs, restartedAtMs, bornWallMs}: WorkerRecord, {nowMs, wallMs}: CurrentTime): number => {
	const bornAtMs = bornWallMs === undefined ? Number.POSITIVE_INFINITY : nowMs - (wallMs - bornWallMs) + maxWallClockErrorMs;
	const followedSinceMs = restartedAtMs === undefined ? workersFollowedSinceMs : Number.POSITIVE_INFINITY;
	return Math.min(firstSeenAtMs, bornAtMs, followedSinceMs) + maxCallDelayMs;
};

/** Returns when the leases are over that were granted by deadlines of an incarnation that began and ended between two reads of the registrations: its clock was no further than that. */
const unseenLeasesOverAtMs = ({workersFollowedSinceMs = Number.POSITIVE_INFINITY}: SchedulerState, {firstSeenAtMs}: WorkerRecord): number =>
	firstSeenAtMs > workersFollowedSinceMs ? leaseExpiryAfter(firstSeenAtMs + maxRegistryGapMs) : Number.NEGATIVE_INFINITY;

/** Returns until when a start may arrive at a worker that is not registered any more: a holder starts nothing there, and reads the registrations as often as it renews its lease. */
const startsArriveUntilMs = ({isListed, unlistedAtMs}: WorkerRecord): number =>
	isListed || unlistedAtMs === undefined ? Number.POSITIVE_INFINITY : unlistedAtMs + maxRegistryGapMs + maxUnansweredCallMs;

/** Until when earlier holders may have drawn up leases for a worker, until when these may have arrived, and whether the incarnation is known that has them. */
type EarlierCalls = {
	readonly sentUntilMs: number;
	readonly arrivedUntilMs: number;
	readonly isPresentKnown: boolean;
};

/** Returns when the leases are over that earlier holders may have granted on the worker. */
const earlierLeasesOverAtMs = (state: SchedulerState, worker: WorkerRecord, {sentUntilMs, arrivedUntilMs, isPresentKnown}: EarlierCalls, now: CurrentTime): number => {
	// Nothing runs on a worker that has ended, and only a report tells what its next incarnation runs.
	if (worker.isEnded || areStartsAccountedFor(state, worker.entry.workerId)) {
		return leaseExpiryAfter(sentUntilMs);
	}

	const longestOverAtMs = Math.max(leaseExpiryAfter(sentUntilMs), longestLeaseExpiryAfter(state, Math.min(arrivedUntilMs, startsArriveUntilMs(worker))));
	if (!isPresentKnown) {
		return longestOverAtMs;
	}

	const callsUntilMs = Math.min(arrivedUntilMs, callsToEarlierUntilMs(state, worker, now));
	return Math.max(leaseExpiryAfter(sentUntilMs), longestLeaseExpiryAfter(state, callsUntilMs), Math.min(longestOverAtMs, unseenLeasesOverAtMs(state, worker)));
};

const inheritedBoundOf = ({inheritedBounds, inheritedOthersUntilMs}: SchedulerState, workerId: string): number => inheritedBounds.get(workerId) ?? inheritedOthersUntilMs;

/** Counts with the leases that earlier holders may have granted until the worker first answered, on runs that it lists. */
export const recordLeasesOfEarlierHolders = (state: SchedulerState, worker: WorkerRecord, now: CurrentTime): void => {
	const sentUntilMs = Math.min(now.nowMs, state.earlierOrdersOverAtMs);
	const arrivedUntilMs = Math.min(now.nowMs, earlierCallsOverAtMs(state));
	recordLeaseSent(worker, sentUntilMs);
	worker.leaseExpiresAtMs = Math.max(
		worker.leaseExpiresAtMs,
		inheritedBoundOf(state, worker.entry.workerId),
		earlierLeasesOverAtMs(state, worker, {sentUntilMs, arrivedUntilMs, isPresentKnown: true}, now),
	);
};

/** Returns when the runs of earlier holders are over on a worker that this process has not heard. What the last holder has stated says nothing of a start that reaches an incarnation which has begun since. */
export const earlierRunsOverAtMs = (state: SchedulerState, worker: WorkerRecord, now: CurrentTime): number => {
	const {earlierOrdersOverAtMs, inheritedBounds, term} = state;
	const {entry: {workerId}, restartedAtMs = Number.NEGATIVE_INFINITY} = worker;
	const inheritedMs = inheritedBoundOf(state, workerId);
	if (inheritedBounds.has(workerId) && restartedAtMs < term!.wonAtMs) {
		return inheritedMs;
	}

	return Math.max(inheritedMs, earlierLeasesOverAtMs(state, worker, {
		sentUntilMs: earlierOrdersOverAtMs, arrivedUntilMs: earlierCallsOverAtMs(state), isPresentKnown: isIncarnationConfirmed(state, worker),
	}, now));
};

/** Returns when the runs of earlier holders are over on a worker that is not registered. */
export const unregisteredRunsOverAtMs = (state: SchedulerState, workerId: string): number => {
	const inheritedMs = inheritedBoundOf(state, workerId);
	if (state.inheritedBounds.has(workerId)) {
		return inheritedMs;
	}

	return Math.max(inheritedMs, areStartsAccountedFor(state, workerId) ? leaseExpiryAfter(state.earlierOrdersOverAtMs) : longestLeaseExpiryAfter(state, earlierCallsOverAtMs(state)));
};

/** Returns when the runs of earlier holders are over on workers of which not even the ids are known: any that the last holder has named may be among them. */
export const unknownRunsOverAtMs = (state: SchedulerState): number => areAllStartsAccountedFor(state)
	? Math.max(leaseExpiryAfter(state.earlierOrdersOverAtMs), state.inheritedOthersUntilMs, ...state.inheritedBounds.values())
	: longestLeaseExpiryAfter(state, earlierCallsOverAtMs(state));

/** Returns when everything is over that may run on the worker, if nobody sends it any more leases. */
export const allRunsOverAtMs = (state: SchedulerState, worker: WorkerRecord, now: CurrentTime): number => Math.max(
	worker.leaseExpiresAtMs,
	...[...worker.runs.values()].map(run => runOverAtMs(state, run)),
	worker.isFenced ? Number.NEGATIVE_INFINITY : earlierRunsOverAtMs(state, worker, now),
);
