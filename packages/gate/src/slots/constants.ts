/**
Periods of the slot rebalancing.
*/

/** How often the shell sends a `slotTick`. */
export const slotTickMs = 20;

/** How often the shell sends a `slotTick` while no request waits and no slot is in transfer. */
export const idleSlotTickMs = 100;

/** Minimum time between two reports of a pool whose demand changes. */
export const reportPeriodMs = 100;

/** Time after which an unchanged report is first sent again; the time doubles with each repeat. */
export const idleReportPeriodMs = 2000;

/** Minimum time between two rebalancings of a pool. */
export const rebalancePeriodMs = 100;

/** Maximum time between two repeats of an unchanged report. */
export const maxIdlePeriodMs = 64_000;

/** Smallest change of a team's demand that is reported, as a fraction of the demand. */
export const minReportedChange = 0.1;

/** Minimum time after the removal of a gate before its slots are allocated anew; a longer `cancelGraceMs` of a pool takes precedence. */
export const removedGateDelayMs = 2000;

/** Time for which a host's slots must be missing before they are allocated anew. A transfer makes slots appear to be missing in the reports for less than that. */
export const missingSlotsDelayMs = 500;
