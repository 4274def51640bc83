/**
Paces and bounds of the scheduler.
*/

/** Lease that each order and look gives to everything on a worker: outlasts a holder that stands still for 3 s and its replacement, and frees the tasks of a dead worker within the 5 s that operators accept. */
export const taskLeaseMs = 5000;

/** How much longer a lease can last by this process's clock: workers' clocks may be 2% slow. */
export const leaseStretch = 1.03;

/** Added to the end of a lease for rounding and the time that an expiry takes. */
export const leaseMarginMs = 250;

/** How long a worker with work may wait for an end before it answers a look; also how often its progress is sampled. */
export const busyLookWaitMs = 500;

/** Pause between two looks at a worker, so that ends in quick succession arrive together. */
export const lookPauseMs = 30;

/** Pause after a look that got no answer. */
export const lookRetryMs = 250;

/** A worker without an answer for this long gets no new work: two looks have failed by then. */
export const silentWorkerMs = 1200;

/** How long a worker without work is left alone; only its fence and its clock are renewed. */
export const idleLookEveryMs = 4000;

/** Failed runs on one worker within `failureWindowMs` after which it gets no new work for a while. */
export const quarantineFailures = 3;
export const failureWindowMs = 4000;

/** How long a worker that fails its tasks is avoided: about the length of the partial faults that operators see. */
export const quarantineMs = 4000;

/** A task whose progress has not moved for this long stands still: a healthy one gains a percent in 20 to 50 ms, one on a slow worker in about 300 ms. */
export const stalledTaskMs = 1500;

/** How long ended jobs are kept: callers may ask for two minutes, and clocks and sweeps take some more. */
export const keepEndedJobsMs = 150_000;

/** Orders of maintenance or moves that got no certain answer are repeated after this pause. */
export const machineOrderRetryMs = 700;

/** A machine that was ordered away counts as away at least this long, since listings lag. */
export const machineAwayMinMs = 1000;

/** Pause after a call to the store that failed: a few tries within the second in which an outage should be noticed as over. */
export const storeRetryMs = 150;
