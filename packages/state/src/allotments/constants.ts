/**
Intervals and thresholds of allotments.
*/

/** Interval between ticks, at which the next step of each team is planned. */
export const allotmentTickMs = 100;

/** Interval between reads of the allotments' changes. */
export const allotmentPollMs = 1000;

/** Interval between reads while this gate's demand exceeds its allotments. */
export const unmetDemandPollMs = 250;

/** Window of the peak demand that a gate keeps without contention; the current and the previous window count. */
export const uncontendedWindowMs = 5000;

/** Window of the peak demand that a gate keeps while others request capacity; the current and the previous window count. */
export const contendedWindowMs = 500;

/** Headroom that is kept and taken above the demand, as a share of the demand. */
export const headroomShare = 0.1;

/** An idle excess smaller than this share of the allotment is not returned, to save writes. */
export const minReturnShare = 0.25;

/** Time between lowering the usable amount and writing the row, in which the gate is notified. */
export const returnDelayMs = 50;

/** Time after taking capacity during which a gate does not return capacity that its demand needs to gates that request it. */
export const contendedHoldMs = 1000;

/** Time after a return during which a gate takes no more than its max-min share, so that unallocated capacity is left to gates that request it. */
export const yieldMs = 1500;

/** Time for which requests must wait before the gate requests capacity from others: work that ends in the meantime makes room. */
export const capacityRequestDelayMs = 300;

/** Time for which the demand must be covered before a request for capacity is cleared from the row. */
export const capacityRequestClearMs = 2000;

/** Rows read longer ago than this are read again before the sum is written, because another gate has often written it in the meantime. */
export const maxRowAgeMs = 40;

/** Mean pause after a failed or conflicting commit; the actual pause is 0.5 to 1.5 times this. */
export const allotmentRetryMs = 200;

/** A process that handled no event for this long may have been replaced in the meantime. Must be shorter than `reclaimMarginMs`. */
export const stallLimitMs = 3000;

/** Margin added to the longest work time before a gone holder's allotment is reclaimed. */
export const reclaimMarginMs = 10_000;

/** Probability per tick that this process reclaims what is due, so that not all gates try at once. */
export const reclaimProbability = 0.2;
