/**
Intervals, timeouts and limits of the scheduler.
*/

/** Lease on everything that runs on a worker, extended by each start order and poll. It outlasts a lease holder that freezes for 3 s and its replacement, and releases the tasks of a dead worker within the 5 s that operators accept. */
export const taskLeaseMs = 5000;

/** Factor by which a lease can last longer on this process's clock, since workers' clocks may be 2% slow. */
export const clockDriftFactor = 1.03;

/** Added to the end of a lease to allow for rounding and for the time that an expiry takes. */
export const leaseMarginMs = 250;

/** Longest lease that a worker grants, unless the platform's settings say otherwise. */
export const defaultMaxWorkerLeaseMs = 10_000;

/** A call to a worker that got no answer may be carried out this long after it was sent. */
export const maxCallDelayMs = 15_000;

/** A lease deadline can arrive this long after it was drawn up, unless the worker carries the call out late: a poll is sent once more after its wait, and given up, with its connection closed, within a second of that. */
export const maxUnansweredCallMs = 3000;

/** A process follows the registrations of workers without a gap if it has read them at least this often: a read may wait for changes for 1.5 s, and comes a second after the one before. */
export const maxRegistryGapMs = 3000;

/** Wall clocks of workers and of this process differ by less than this, also while one of them is set. */
export const maxWallClockErrorMs = 3000;

/** How long a busy worker may wait for a run to end before it answers a poll. This is also the sampling interval of its progress. */
export const busyPollWaitMs = 500;

/** Delay between two polls of a worker, so that run ends in quick succession arrive in one report. */
export const pollPauseMs = 30;

/** The same while the lease holder lacks processor time. It adds little to a task's run time and is short against leases, stall detection and the poll that proves a run. */
export const maxPollPauseMs = 160;

/** A report with so many ends may have left out further ones. */
export const maxEndsPerReport = 500;

/** A poll that has not been answered this long after its wait is sent once more: workers leave some calls without an answer, and until the next one is answered the ends of their runs are not known. A healthy worker answers within a few ms. */
export const pollRepeatMs = 200;

/** Delay after an unanswered poll. */
export const pollRetryMs = 250;

/** A worker that has not answered for this long counts as dead once its leases expire: two polls have failed by then. */
export const workerSilenceTimeoutMs = 1200;

/** Poll interval of an idle worker; such a poll only renews its fencing token and its clock reading. */
export const idlePollIntervalMs = 4000;

/** Number of failed runs within `failureWindowMs` after which a worker is quarantined. */
export const quarantineFailures = 3;
export const failureWindowMs = 4000;

/** Duration of a quarantine: about the length of the partial faults that operators see. */
export const quarantineMs = 4000;

/** A run that the worker still lists this long after its start is proven: a later crash of the worker is not blamed on it while there are younger runs. Tasks that crash their worker do so within some 10 ms of their start. */
export const provenAfterMs = 150;

/** A run of this length clears its task of earlier crashes. */
export const clearedAfterMs = 10_000;

/** How long starts and ends are gathered that share a log line. */
export const logGatherMs = 50;

/** A log line names at most this many runs. */
export const maxLoggedRuns = 40;

/** Number of observed crashes after which a task is given up if it was the only unproven run on the last worker, and if it was not. */
export const maxCrashesInTrial = 2;
export const maxCrashes = 3;

/** Number of crashes after which a task is given up although some of them are only presumed. */
export const maxPossibleCrashes = 4;

/** Share of a pool's usable workers on which tasks may be on trial at the same time while other tasks wait; each of these workers starts no other task meanwhile. */
export const trialWorkerShare = 1 / 3;

/** Time between two trials on one worker while other tasks wait, so that these get their turn in a pool of few workers. */
export const trialPauseMs = 300;

/** A trial that cannot start within this time after it was planned releases its workers. */
export const trialPlanTimeoutMs = 2000;

/** While a save has been waiting for this long, no trial is planned, since its start depends on the next save. */
export const storeAwayAfterMs = 1000;

/** How long a worker with a trial, or one that drains, may wait for a run to end before it answers a poll: a trial ends with the first report after `provenAfterMs`, and a holder that gives up its lease waits for the answers of draining workers. */
export const urgentPollWaitMs = 100;

/** A stop that has had no effect is ordered again after this time. */
export const stopRetryMs = 600;

/** A task whose progress has not changed for this long counts as stalled. A healthy task gains a percent in 20 to 50 ms, one on a slow worker in about 300 ms. */
export const taskStallTimeoutMs = 1500;

/** Retention of ended jobs: callers may query them for two minutes, and clock differences and the sweep interval take some more. */
export const endedJobRetentionMs = 150_000;

/** Delay after which a machine order with an unknown outcome is repeated. */
export const machineOrderRetryMs = 700;

/** After a machine has accepted an order to move or to be maintained, lists that show it as up are ignored for this long, since they lag behind. */
export const minMachineAbsenceMs = 1000;

/** A worker that registers itself is named in the list of machines within this time. */
export const maxListingDelayMs = 1000;

/** Maximum number of a job's tasks over all its occurrences. The scheduler creates a record for each. */
export const maxTasksPerJob = 8000;

/** Progress that the store has refused for its size or form is saved again after this time: it may be refused for another cause, and it shrinks when its job ends. */
export const refusedSaveRetryMs = 1000;

/** Delay after a failed call to the store. It allows a few attempts within the second in which the end of an outage should be noticed. */
export const storeRetryDelayMs = 150;
