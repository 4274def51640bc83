/**
Events that the scheduler's reducer handles and effects that it emits.
*/
import {
	type AdviceAnswer, type PollAnswer, type MachineAnswer, type OrderAnswer, type StartAnswer, type UnreadableMachine,
} from '../ports.js';
import {
	type FleetConfiguration, type JobProgress, type JobSpec, type MachineEntry, type TaskEnds, type WaveOrder, type WorkerEntry, type WorkerReport,
} from '../types.js';
import {type HandoverNote} from './handover-note.js';

/** Until when a holder that was replaced on suspicion may still start tasks and extend leases on workers, and until when its orders to machines count as recent. */
export type EarlierHolder = {
	readonly mayOrderUntilMs: number;
	readonly mayOrderMachinesUntilMs: number;
};

/** What a takeover asks a revision of the store for: the orders of earlier holders are over, or their last call has arrived. */
export type AwaitedRevision = 'orders' | 'calls';

/** Time of an event on the process's monotonic clock and on the wall clock. */
type EventTime = {readonly nowMs: number; readonly wallMs: number};

/** Why a term ends; `superseded` if another process holds the lease. */
export type LeaseLossReason = 'stopping' | 'yielded' | 'superseded';

/** The term in which an order was sent, or which an event ends or resumes. `dropOutdatedEvent` drops the event if that term is not the present one. */
type OfTerm = {readonly fencingToken: number};

/** The incarnation of the worker that a call was sent to, as this process numbers them. */
type OfIncarnation = {readonly incarnation: number};

/** A worker that the policy service was asked about, and which incarnation of it. */
export type AdvisedWorker = {readonly workerId: string; readonly incarnation: number};

/** What a row of a job holds. */
export type JobRowKind = 'specification' | 'progress' | 'cancellation' | 'ends';

/** A change to the stored rows of one job. */
export type JobChange
	= | {readonly type: 'accepted'; readonly job: JobSpec; readonly rowKey: string; readonly version: number}
		| {readonly type: 'progressed'; readonly jobId: string; readonly progress: JobProgress; readonly rowKey: string; readonly version: number}
		| {readonly type: 'cancelled'; readonly jobId: string; readonly rowKey: string}
		/** Ends that a process has recorded outside of its term. */
		| {readonly type: 'endsRecorded'; readonly jobId: string; readonly ends: TaskEnds; readonly rowKey: string}
		| {readonly type: 'removed'; readonly jobId: string; readonly row: JobRowKind; readonly rowKey: string};

export type SchedulerEvent = EventTime & (
	| {readonly type: 'configured'; readonly configuration: FleetConfiguration}
	| {readonly type: 'wavesOrdered'; readonly waves: readonly WaveOrder[]}
	/** All data centres that are to be evacuated at present. */
	| {readonly type: 'evacuationsOrdered'; readonly dataCentres: readonly string[]}
	| {readonly type: 'workersListed'; readonly workers: readonly WorkerEntry[]}
	| {readonly type: 'jobsChanged'; readonly changes: readonly JobChange[]}
	| {readonly type: 'waveProgressed'; readonly waveId: number; readonly maintained: readonly string[]; readonly isCompleted: boolean}
	/** `earlierHolder` is defined if the earlier holder was replaced on suspicion and may still be alive; any other gives no more orders. `note`: what the last holder left as it released the lease. */
	| {readonly type: 'leaseWon'; readonly fencingToken: number; readonly earlierHolder?: EarlierHolder | undefined; readonly note?: HandoverNote | undefined}
	/** The lease could not be renewed in time, but no other process can have acquired it. */
	| {readonly type: 'leaseUnconfirmed'}
	/** The replaced holder was heard again, or is known to be gone. */
	| {readonly type: 'earlierHolderChanged'; readonly earlierHolder: EarlierHolder}
	/** The lease could not be renewed in time and may pass to another process. */
	| {readonly type: 'leaseSuspended'}
	/** The newest revision of the store after the orders of all earlier holders were over, by default, or their last call had arrived. */
	| (OfTerm & {readonly type: 'revisionRead'; readonly revision: number; readonly after?: AwaitedRevision})
	/** A read from the store has confirmed that no other process holds the lease, so a suspended term goes on. */
	| (OfTerm & {readonly type: 'leaseConfirmed'})
	/** Another process holds the lease of the term, or this one gives it up. */
	| (OfTerm & {readonly type: 'leaseLost'; readonly reason?: LeaseLossReason | undefined})
	/** The process will release the lease of the term, polls no worker any more, is about to release the lease, or goes on because its progress could not be stored in time. */
	| (OfTerm & {readonly type: 'releasePlanned' | 'pollingEnded' | 'handoverBegun' | 'handoverCancelled'})
	/** The save before the release takes long. */
	| (OfTerm & {readonly type: 'storingDelayed'})
	| (OfTerm & OfIncarnation & {readonly type: 'polled'; readonly workerId: string; readonly answer: PollAnswer; readonly sentAtMs: number; readonly sentAcknowledgement: number; readonly sentDeadlineClockMs?: number | undefined})
	/** A report that came after another one had answered the same poll. Only its ends are used: it may tell less of what runs than the first one. */
	| (OfTerm & OfIncarnation & {readonly type: 'reportedLate'; readonly workerId: string; readonly report: WorkerReport})
	/** `isWithdrawn`: the start was not sent since the term was not known to be in force, which says nothing of the worker. */
	| (OfTerm & Partial<OfIncarnation> & {readonly type: 'startAnswered'; readonly workerId: string; readonly taskKey: string; readonly attempt: number; readonly answer: StartAnswer; readonly isWithdrawn?: boolean})
	| (OfTerm & OfIncarnation & {readonly type: 'stopAnswered'; readonly workerId: string; readonly taskKey: string; readonly attempt: number; readonly answer: OrderAnswer})
	| (OfTerm & OfIncarnation & {readonly type: 'paceAnswered'; readonly workerId: string; readonly taskKey: string; readonly attempt: number; readonly percent: number; readonly orderedAtMs: number; readonly answer: OrderAnswer})
	| {readonly type: 'adviceAnswered'; readonly requestNumber: number; readonly jobId: string; readonly occurrence: number; readonly stepIndex: number; readonly workers: readonly AdvisedWorker[]; readonly answer: AdviceAnswer; readonly sentAtMs: number}
	/** The interval since the last save is over. */
	| (OfTerm & {readonly type: 'saveDue'})
	/** The jobs and waves whose rows the store refused are not stored. */
	| (OfTerm & {readonly type: 'saved'; readonly saveNumber: number; readonly refusedJobIds?: readonly string[]; readonly refusedWaveIds?: readonly number[]})
	| {readonly type: 'machinesListed'; readonly machines: readonly MachineEntry[]; readonly unreadable?: readonly UnreadableMachine[]; readonly isOfOneMoment?: boolean; readonly sentAtMs: number}
	| (OfTerm & {readonly type: 'machineAnswered'; readonly machineId: string; readonly orderNumber: number; readonly answer: MachineAnswer})
	/** `areOrdersOutdated`: an evacuation may have been ordered so long ago without this process knowing of it that nothing may be started anywhere. `jobRowsConfirmedAtMs`: when the newest read was sent that found all job rows. `jobRowsRevision`: up to which revision the job rows are known. `workersFollowedSinceMs`: since when the registrations of workers have been read without a gap. */
	| {readonly type: 'tick'; readonly areOrdersOutdated?: boolean; readonly jobRowsConfirmedAtMs?: number | undefined; readonly jobRowsRevision?: number | undefined; readonly workersFollowedSinceMs?: number | undefined}
);

/** Progress to store. The shell retries the save until it succeeds or the lease is lost. `isRetry`: the store has refused the row before, and may refuse it again. */
export type ProgressSave = {
	readonly saveNumber: number;
	readonly jobs: ReadonlyArray<{readonly jobId: string; readonly progress: JobProgress; readonly isRetry?: boolean}>;
	readonly waves: ReadonlyArray<{readonly waveId: number; readonly maintained: readonly string[]; readonly isCompleted: boolean; readonly isRetry?: boolean}>;
};

/** Ends of tasks of one job. */
export type JobEnds = {readonly jobId: string; readonly ends: TaskEnds};

export type SchedulerEffect
	= | {
		readonly type: 'start'; readonly workerId: string; readonly taskKey: string; readonly attempt: number;
		readonly ticket: string; readonly payload: string; readonly checkpoint: string; readonly deadlineClockMs: number;
		readonly fencingToken: number;
		/** The fencing token that the worker sees. */
		readonly orderToken: number;
		/** How long the task has waited, for the log and the wait-time metric. */
		readonly waitedMs: number;
		/** At the beginning of a term, the version of the stored progress that the start rests on, for the log; 0 if none was read. */
		readonly progressVersion: number | undefined;
	}
	| {readonly type: 'stop'; readonly workerId: string; readonly taskKey: string; readonly attempt: number; readonly fencingToken: number; readonly orderToken: number; readonly reason: string; readonly percent: number}
	| {readonly type: 'pace'; readonly workerId: string; readonly taskKey: string; readonly attempt: number; readonly fencingToken: number; readonly orderToken: number; readonly percent: number; readonly orderedAtMs: number}
	| {readonly type: 'requestAdvice'; readonly requestNumber: number; readonly jobId: string; readonly occurrence: number; readonly stepIndex: number; readonly workers: readonly AdvisedWorker[]}
	/** `fencingToken`: the term whose fence is the condition of the save. */
	| {readonly type: 'save'; readonly save: ProgressSave; readonly fencingToken: number}
	/** Stores ends without the fence, in rows of their own. The shell retries until they are stored, for a while. */
	| {readonly type: 'recordEnds'; readonly jobs: readonly JobEnds[]}
	| {readonly type: 'move'; readonly machineId: string; readonly orderNumber: number; readonly pool: string; readonly fencingToken: number; readonly reason: string}
	| {readonly type: 'maintain'; readonly machineId: string; readonly orderNumber: number; readonly waveId: number; readonly fencingToken: number}
	| {readonly type: 'reportWave'; readonly fencingToken: number; readonly waveId: number; readonly state: 'running' | 'completed'}
	/** Asks for the newest revision of the store. The shell retries the read until it succeeds or the takeover is settled. */
	| {readonly type: 'readRevision'; readonly fencingToken: number; readonly after: AwaitedRevision}
	/** The term with this token has ended because a higher token was seen. */
	| {readonly type: 'stepDown'; readonly fencingToken: number; readonly reason: string}
	/** Asks for the event `saveDue` after this time. */
	| {readonly type: 'scheduleSave'; readonly fencingToken: number; readonly delayMs: number}
	/** The progress that rests on these ends is stored. `agesMs`: for each, the time since the report that listed it. */
	| {readonly type: 'endsStored'; readonly agesMs: readonly number[]}
	/** Names the ends `done` that a report of the worker lists for the first time, for the log. */
	| {readonly type: 'logDone'; readonly workerId: string; readonly done: ReadonlyArray<{readonly taskKey: string; readonly attempt: number}>}
	/** Increments a counter of the process's metrics. */
	| {readonly type: 'count'; readonly name: string}
	| {readonly type: 'log'; readonly level?: 'warn'; readonly fields: {readonly event: string} & Readonly<Record<string, string | number | boolean | undefined>>};
